"""One entry process: its parts, their life and its settings."""

import asyncio
import gc
import os
import signal
from typing import NamedTuple

from sardinedrift.engine.appends import GroupAppender
from sardinedrift.engine.catalogue import (
    EntryCapacity,
    JobCatalogue,
    entry_capacity_record,
)
from sardinedrift.engine.clock import SystemClock
from sardinedrift.engine.controller import (
    ControllerDependencies,
    Ports,
    TermController,
)
from sardinedrift.engine.entry import ConfigurationView, Entry
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.suitability import is_eligible
from sardinedrift.engine.term import Candidate
from sardinedrift.exceptions import SettingsError
from sardinedrift.platform.http import HttpClient
from sardinedrift.platform.machines import HttpMachines
from sardinedrift.platform.published import OperatorView, Registrations
from sardinedrift.platform.server import Server
from sardinedrift.platform.settings import Settings, load
from sardinedrift.platform.store import JOBS_TOPIC, OPERATOR_TOPIC, LogStore
from sardinedrift.platform.workers import HttpAdvice, HttpWorkerOrders

# Keyed calls stop at this share of the time in which a withdrawn key must
# stop working, so that a slow clock or a late read does not pass the bound.
KEYS_AGE_SHARE = 0.6
# The settings file may also change without a signal.
SETTINGS_CHECK_S = 1.0
MEASURE_S = 1.0
RETRY_S = 0.2
# Long polls and appends of one entry to the store.
STORE_CONNECTIONS = 12
ORDER_CONNECTIONS = 4
# Readiness is withdrawn this long before listening ends, so that the balancer
# sends no more connections.
UNREADY_S = 0.5
# Share of the grace time in which calls on their way are served; the rest is
# for handing control over before and for ending after.
GRACE_SHARE = 0.6
METRICS_PORT = 7000
# Overrides the address of the metrics, for several entries on one machine.
METRICS_VARIABLE = "SARDINEDRIFT_METRICS"


class _Parts(NamedTuple):
    """The parts of an entry that run."""

    catalogue: JobCatalogue
    jobs: Feed
    published: Feed
    appender: GroupAppender
    entry: Entry
    candidate: Candidate
    server: Server


class Daemon:
    """One entry.

    Args:
        path: settings file.
        settings: what it held at the start.
    """

    def __init__(self, path: str, settings: Settings):
        self._path = path
        self._settings = settings
        self._modified = _modified(path)
        self._clock = SystemClock()
        self._log = EventLog(settings.node)
        self._metrics = Metrics()
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        store_client = HttpClient(
            STORE_CONNECTIONS, self._metrics.record_store_call
        )
        order_client = HttpClient(
            ORDER_CONNECTIONS, self._metrics.record_order_call
        )
        try:
            await self._run_parts(store_client, order_client)
        finally:
            await store_client.aclose()
            await order_client.aclose()

    async def _run_parts(
        self, store_client: HttpClient, order_client: HttpClient
    ) -> None:
        parts = self._make_parts(store_client, order_client)
        await self._listen(parts.server)
        # Control ends before the rest, so that another entry takes it over.
        control = asyncio.create_task(parts.candidate.run())
        tasks = [
            asyncio.create_task(work)
            for work in (
                parts.jobs.run(),
                parts.published.run(),
                self._watch_settings(),
                self._tell_strength(parts.appender),
                self._measure(parts),
            )
        ]
        gc.freeze()
        self._log.write(Event.STARTED, zone=self._settings.zone)
        await self._wait_for_stop([control, *tasks])
        self._log.write(Event.STOPPING)
        await self._drain(parts, control)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        self._log.write(Event.STOPPED)

    def _make_parts(
        self, store_client: HttpClient, order_client: HttpClient
    ) -> _Parts:
        store = LogStore(
            store_client,
            lambda: self._settings.store.address,
            self._settings.node,
        )
        catalogue = JobCatalogue()
        jobs = self._feed(store, JOBS_TOPIC, catalogue.apply_record)
        operator = OperatorView(self._log, self._metrics)
        published = self._feed(store, OPERATOR_TOPIC, operator.take)
        appender = GroupAppender(store, JOBS_TOPIC)
        keys_age_s = self._settings.bounds.revoke_ms / 1000 * KEYS_AGE_SHARE
        view = ConfigurationView(operator.current, published, keys_age_s)
        entry = Entry(view, catalogue, jobs, appender, self._clock, self._log)
        control = self._controller_parts(
            store, order_client, jobs, catalogue, operator
        )
        candidate = Candidate(
            store,
            lambda term: TermController(control, term).run(),
            lambda node: is_eligible(node, catalogue.capacity_by_node),
            self._clock,
            self._log,
        )
        server = Server(entry, self._clock, self._log, self._metrics)
        return _Parts(
            catalogue, jobs, published, appender, entry, candidate, server
        )

    async def _listen(self, server: Server) -> None:
        listen = self._settings.listen
        await server.listen_callers(listen.front)
        if listen.ready:
            await server.listen_ready(listen.ready)
        await server.listen_metrics(
            os.environ.get(
                METRICS_VARIABLE, f"{self._settings.ip}:{METRICS_PORT}"
            )
        )

    async def _drain(self, parts: _Parts, control: asyncio.Task) -> None:
        """Hands control over, then serves the calls on their way."""
        parts.server.draining = True
        control.cancel()
        await asyncio.wait([control])
        await parts.candidate.leave()
        await asyncio.sleep(UNREADY_S)
        await parts.server.aclose(self._settings.bounds.grace_s * GRACE_SHARE)
        await parts.appender.aclose()

    async def _wait_for_stop(self, tasks: list[asyncio.Task]) -> None:
        """Waits for a signal; a part that ends by itself is an error."""
        stop = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait(
            [stop, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done - {stop}:
            self._log.write(Event.FAULT, where="entry", error=repr(task))
            task.result()

    def _feed(self, store: LogStore, topic: str, listener) -> Feed:
        return Feed(store, topic, listener, self._clock, self._log)

    def _controller_parts(
        self,
        store: LogStore,
        client: HttpClient,
        jobs: Feed,
        catalogue: JobCatalogue,
        operator: OperatorView,
    ) -> ControllerDependencies:
        registrations = Registrations(
            store, self._clock, self._log, self._metrics
        )
        outside = Ports(
            store,
            HttpWorkerOrders(client),
            registrations.feed,
            HttpMachines(
                client,
                lambda: self._settings.machines.address,
                self._settings.node,
            ),
            HttpAdvice(client, lambda: self._settings.advice),
            store,
        )
        return ControllerDependencies(
            JOBS_TOPIC,
            jobs,
            catalogue,
            operator,
            outside,
            self._clock,
            self._log,
            self._metrics,
            self._settings.bounds.lease_ms / 1000,
            self._settings.bounds.status_s,
        )

    async def _measure(self, parts: _Parts) -> None:
        """Keeps the gauges current."""
        entry = parts.entry
        gauge = self._metrics.gauges.labels
        while True:
            gauge("configuration_age_seconds").set(entry.configuration_age)
            gauge("jobs_age_seconds").set(entry.feed_age)
            gauge("ready").set(entry.ready)
            gauge("controls").set(parts.candidate.is_controller)
            gauge("known_jobs").set(len(parts.catalogue.known_by_id))
            await asyncio.sleep(MEASURE_S)

    async def _tell_strength(self, appender: GroupAppender) -> None:
        """Records once what this machine carries; then waits for ever."""
        limits = self._settings.limits
        strength = EntryCapacity(
            limits.cpu_share * limits.cores, limits.link_mbps
        )
        record = entry_capacity_record(self._settings.node, strength)
        while True:
            try:
                await appender.append(record)
                break
            except StoreError:
                await asyncio.sleep(RETRY_S)
        await asyncio.Event().wait()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            if _modified(self._path) != self._modified:
                self._reload("file")

    def _reload(self, cause: str) -> None:
        self._modified = _modified(self._path)
        try:
            settings = load(self._path)
        except SettingsError as error:
            # The settings in force stay; a later change is read again.
            self._log.write(Event.FAULT, where="settings", error=str(error))
            return
        changed = [
            name
            for name in Settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.write(Event.RELOADED, cause=cause, changed=changed)


def _modified(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0
