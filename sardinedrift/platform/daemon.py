"""Assembles, runs and stops one entry process."""

import asyncio
import gc
import os
import signal
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sardinedrift.clientbounds import LegalBounds, derive_bounds
from sardinedrift.engine.appends import GroupAppender
from sardinedrift.engine.catalogue import (
    EntryCapacity,
    JobCatalogue,
    entry_capacity_record,
)
from sardinedrift.engine.clock import SystemClock
from sardinedrift.engine.configurationview import ConfigurationView
from sardinedrift.engine.controller import TermController
from sardinedrift.engine.dependencies import ControllerDependencies, Ports
from sardinedrift.engine.entry import Entry
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.feed import Feed, jobs_poll_interval_s
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.suitability import Suitability
from sardinedrift.engine.supervision import keep_running
from sardinedrift.engine.term import Candidate
from sardinedrift.exceptions import SettingsError
from sardinedrift.platform.http import HttpClient
from sardinedrift.platform.machines import HttpMachines
from sardinedrift.platform.published import PublishedView, Registrations
from sardinedrift.platform.server import Server
from sardinedrift.platform.settings import Settings, load
from sardinedrift.platform.store import JOBS_TOPIC, LogStore
from sardinedrift.platform.workers import HttpAdvice, HttpWorkerOrders

# Calls with an API key are refused once the configuration is older than this
# share of `Bounds.revoke_ms`. The margin keeps a slow clock or a late read from
# exceeding that bound.
KEY_AGE_SHARE = 0.6
# The settings file may change without a SIGHUP, so it is also polled.
SETTINGS_CHECK_INTERVAL_S = 1.0
GAUGE_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.2
# Connections to the store, for the long polls and appends of one entry.
STORE_CONNECTIONS = 16
ORDER_CONNECTIONS = 4
# A worker's lease is renewed over the connection of its last report. With
# several, that would not be the one that the next request takes.
REPORT_CONNECTIONS = 1
# Readiness is withdrawn this long before listening ends, so that the load
# balancer stops sending connections.
UNREADY_DELAY_S = 0.5
# Share of the grace time for completing calls in progress. The rest is for
# handing over control before, and for the shutdown after.
DRAIN_GRACE_SHARE = 0.6
METRICS_PORT = 7000
# Overrides the address of the metrics, to run several entries on one machine.
METRICS_VARIABLE = "SARDINEDRIFT_METRICS"


class _Clients(NamedTuple):
    """HTTP clients of a running entry, by what they call."""

    store: HttpClient
    orders: HttpClient
    reports: HttpClient


class _Parts(NamedTuple):
    """The components of a running entry."""

    catalogue: JobCatalogue
    job_feed: Feed
    published: PublishedView
    appender: GroupAppender
    entry: Entry
    candidate: Candidate
    server: Server


class Daemon:
    """One entry process.

    Args:
        path: path of the settings file.
        settings: content of that file when the process started.
    """

    def __init__(self, path: str, settings: Settings):
        self._path = path
        self._settings = settings
        self._modified_ns = _modification_time_ns(path)
        self._clock = SystemClock()
        self._log = EventLog(settings.node)
        self._metrics = Metrics()
        self._stop = asyncio.Event()

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, "signal")
        store_client = HttpClient(
            STORE_CONNECTIONS, self._metrics.record_store_call
        )
        order_client = HttpClient(
            ORDER_CONNECTIONS, self._metrics.record_order_call
        )
        report_client = HttpClient(
            REPORT_CONNECTIONS, self._metrics.record_order_call
        )
        clients = _Clients(store_client, order_client, report_client)
        try:
            await self._run_parts(clients)
        finally:
            for client in clients:
                await client.aclose()

    async def _run_parts(self, clients: _Clients) -> None:
        parts = self._make_parts(clients)
        await self._start_listening(parts.server)
        # This task is stopped before the others, so that another entry is
        # elected.
        control = self._start("election", parts.candidate.run)
        tasks = [
            self._start("jobs", parts.job_feed.run),
            self._start("published", parts.published.feed.run),
            self._start("settings", self._watch_settings),
            self._start(
                "capacity", lambda: self._publish_capacity(parts.appender)
            ),
            self._start("gauges", lambda: self._update_gauges(parts)),
        ]
        gc.freeze()
        self._log.write(Event.STARTED, zone=self._settings.zone)
        await self._stop.wait()
        self._log.write(Event.STOPPING)
        await self._drain(parts, control)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        self._log.write(Event.STOPPED)

    def _start(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> asyncio.Task:
        """Starts a component, which is restarted after an error."""
        return asyncio.create_task(keep_running(name, run, self._log))

    def _make_parts(self, clients: _Clients) -> _Parts:
        store = LogStore(
            clients.store,
            lambda: self._settings.store.address,
            self._settings.node,
            lambda: self._settings.store.record_bytes,
        )
        catalogue = JobCatalogue()
        job_feed = Feed(
            store,
            JOBS_TOPIC,
            catalogue.apply_record,
            self._clock,
            self._log,
            lambda: jobs_poll_interval_s(
                len(catalogue.capacity_by_node),
                self._settings.store.reads_per_s,
            ),
        )
        published = PublishedView(store, self._clock, self._log, self._metrics)
        appender = GroupAppender(store, JOBS_TOPIC)
        max_key_age_s = self._settings.bounds.revoke_ms / 1000 * KEY_AGE_SHARE
        view = ConfigurationView(
            published.current, published.feed, max_key_age_s
        )
        entry = Entry(
            view, catalogue, job_feed, appender, self._clock, self._log
        )
        controller_dependencies = self._make_controller_dependencies(
            store, clients, job_feed, catalogue, published
        )
        candidate = Candidate(
            store,
            lambda term: TermController(controller_dependencies, term).run(),
            Suitability(catalogue.capacity_by_node),
            self._clock,
            self._log,
        )
        limits = self._settings.limits
        server = Server(
            entry,
            self._clock,
            self._log,
            self._metrics,
            derive_bounds(limits.memory_mb, limits.max_fds),
            lambda: _legal_bounds(published),
        )
        return _Parts(
            catalogue,
            job_feed,
            published,
            appender,
            entry,
            candidate,
            server,
        )

    async def _start_listening(self, server: Server) -> None:
        listen = self._settings.listen
        await server.listen_callers(listen.front)
        if listen.ready:
            await server.listen_readiness(listen.ready)
        await server.listen_metrics(
            os.environ.get(
                METRICS_VARIABLE, f"{self._settings.ip}:{METRICS_PORT}"
            )
        )

    async def _drain(self, parts: _Parts, control: asyncio.Task) -> None:
        """Hands over control, then completes the calls in progress."""
        parts.server.draining = True
        control.cancel()
        await asyncio.wait([control])
        await parts.candidate.leave()
        await asyncio.sleep(UNREADY_DELAY_S)
        await parts.server.aclose(
            self._settings.bounds.grace_s * DRAIN_GRACE_SHARE
        )
        await parts.appender.aclose()

    def _make_controller_dependencies(
        self,
        store: LogStore,
        clients: _Clients,
        job_feed: Feed,
        catalogue: JobCatalogue,
        published: PublishedView,
    ) -> ControllerDependencies:
        registrations = Registrations(
            store, self._clock, self._log, self._metrics
        )
        ports = Ports(
            store,
            HttpWorkerOrders(clients.orders, clients.reports),
            registrations.make_feed,
            HttpMachines(
                clients.orders,
                lambda: self._settings.machines.address,
                self._settings.node,
                self._log,
            ),
            HttpAdvice(clients.orders, lambda: self._settings.advice),
            store,
        )
        return ControllerDependencies(
            JOBS_TOPIC,
            job_feed,
            catalogue,
            published,
            ports,
            self._clock,
            self._log,
            self._metrics,
            self._settings.bounds.lease_ms / 1000,
            self._settings.bounds.status_s,
            self._settings.bounds.max_hold_ms,
        )

    async def _update_gauges(self, parts: _Parts) -> None:
        """Updates the gauges at a fixed interval."""
        entry = parts.entry
        gauge = self._metrics.gauges.labels
        while True:
            gauge("configuration_age_seconds").set(entry.configuration_age)
            gauge("jobs_age_seconds").set(entry.feed_age)
            gauge("ready").set(entry.ready)
            gauge("controls").set(parts.candidate.is_controller)
            gauge("known_jobs").set(len(parts.catalogue.known_by_id))
            gauge("evacuated_data_centres").set(len(parts.published.evacuated))
            await asyncio.sleep(GAUGE_INTERVAL_S)

    async def _publish_capacity(self, appender: GroupAppender) -> None:
        """Records the capacity of this machine once."""
        limits = self._settings.limits
        capacity = EntryCapacity(
            limits.cpu_share * limits.cores, limits.link_mbps
        )
        record = entry_capacity_record(self._settings.node, capacity)
        while True:
            try:
                await appender.append(record)
            except StoreError:
                await asyncio.sleep(RETRY_DELAY_S)
            else:
                return

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if _modification_time_ns(self._path) != self._modified_ns:
                self._reload("file")

    def _reload(self, cause: str) -> None:
        self._modified_ns = _modification_time_ns(self._path)
        try:
            settings = load(self._path)
        except SettingsError as error:
            # The current settings stay in force until the file changes again.
            self._log.write(Event.FAULT, where="settings", error=str(error))
            return
        changed = [
            name
            for name in Settings.__struct_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._log.write(Event.RELOADED, cause=cause, changed=changed)


def _legal_bounds(published: PublishedView) -> LegalBounds:
    configuration = published.current()
    return configuration.legal_bounds if configuration else LegalBounds()


def _modification_time_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0
