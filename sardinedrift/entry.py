"""Runs one entry process from its start to its graceful stop."""

import asyncio
import contextlib
import functools
import os
import signal
import socket
from collections.abc import AsyncIterator, Coroutine, Iterator

import aiomisc
from aiohttp import web
from loguru import logger

from sardinedrift import callerbounds, logs, runtime, testcontrols
from sardinedrift.assembly import EntryComponents, new_entry_id
from sardinedrift.boundedserver import BoundedAppRunner
from sardinedrift.drains import drain_entry
from sardinedrift.identifiers import EntryId, Identity
from sardinedrift.settings import Address, Settings
from sardinedrift.timeline import EventKind

_LEAVE_TIMEOUT_SECONDS = 10.0
# Time to leave, linger and close after the drain.
_STOP_MARGIN_SECONDS = 30.0
# Time for answers to reach callers that read slowly.
SHUTDOWN_TIMEOUT_SECONDS = 5.0
# Without cancellation, a closed connection of a caller would be noticed only at
# the end of its request.
_RUNNER_OPTIONS = {
    "access_log": None,
    "shutdown_timeout": SHUTDOWN_TIMEOUT_SECONDS,
    "handler_cancellation": True,
}
# Peers that have not yet folded the leave still send requests to this entry.
_LINGER_SECONDS = 1.0


class EntryService(aiomisc.Service):
    """Runs one entry under an `aiomisc` entry point."""

    def __init__(self, settings: Settings):
        super().__init__()
        self._settings = settings
        self._stack = contextlib.AsyncExitStack()
        self._tasks: set[asyncio.Task] = set()
        self._stopped = False
        self._site_by_name: dict[str, web.SockSite] = {}

    async def start(self) -> None:
        """Opens the listeners and starts all tasks."""
        settings = self._settings
        sockets = {
            name: _bind(getattr(settings, name))
            for name in ("callers", "peers", "admin")
        }
        identity = Identity(
            new_entry_id(settings.data_centre),
            settings.data_centre,
            _address_of(sockets["peers"]),
        )
        logs.configure(settings.logs, identity)
        self._components = components = EntryComponents(settings, identity)
        await self._stack.enter_async_context(components.open())
        for name, runner in self._make_runners().items():
            serving = _serve(runner, sockets[name])
            self._site_by_name[name] = await self._stack.enter_async_context(
                serving
            )
        for coroutine in self._background_coroutines():
            self._spawn(coroutine)
        components.events.record(
            EventKind.ENTRY_STARTED, components.follower.state.offset
        )
        addresses = {name: _address_of(sock) for name, sock in sockets.items()}
        logger.bind(**addresses).info("entry has started")

    def _make_runners(self) -> dict[str, web.AppRunner]:
        """Creates the runner of each listener, in order of opening."""
        admin = self._components.admin.application()
        if self._settings.test_controls:
            testcontrols.add_routes(admin, self._components)
        bound = functools.partial(
            callerbounds.new_server,
            self._settings.limits,
            self._components.metrics,
        )
        return {
            "peers": web.AppRunner(
                self._components.peer_application(), **_RUNNER_OPTIONS
            ),
            "admin": web.AppRunner(admin, **_RUNNER_OPTIONS),
            "callers": BoundedAppRunner(
                self._components.callers.application(),
                bound,
                **_RUNNER_OPTIONS,
            ),
        }

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops gracefully, without aborting requests before the drain ends."""
        if self._stopped:
            return
        self._stopped = True
        components = self._components
        components.stopping = True
        components.callers.leave()
        components.events.record(
            EventKind.ENTRY_STOPPING, components.follower.state.offset
        )
        logger.info("entry is stopping")
        # The load balancer and the peers need time to notice the stop; requests
        # that arrive in the meantime are served.
        await asyncio.sleep(self._settings.timings.grace_seconds)
        # A caller whose connection is refused tries another entry at once.
        await self._site_by_name["callers"].stop()
        deadline = components.clock.now() + self._settings.timings.drain_seconds
        if not await drain_entry(
            components.callers,
            components.dispatcher,
            deadline,
            components.clock,
        ):
            logger.warning(
                "drain timed out with requests in progress; skipping the leave"
            )
        else:
            await self._leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stack.aclose()
        logger.info("entry has stopped")

    async def _leave(self) -> None:
        components = self._components
        components.claims.stop()
        components.limits.stop()
        if not components.members.active:
            return
        try:
            async with asyncio.timeout(_LEAVE_TIMEOUT_SECONDS):
                await components.members.leave(self._successor())
        except TimeoutError:
            logger.warning(
                "leave not published within the timeout; stopping without it"
            )
        await asyncio.sleep(_LINGER_SECONDS)

    def _successor(self) -> EntryId | None:
        """Returns the peer that receives the allowances of this entry."""
        components = self._components
        own_data_centre = components.identity.data_centre_id
        others = sorted(
            components.follower.state.tables.memberships_by_data_centre
        )
        for data_centre_id in (own_data_centre, *others):
            for entry_id in components.peers.live_members(data_centre_id):
                if entry_id != components.identity.entry_id:
                    return entry_id
        return None

    def _background_coroutines(self) -> Iterator[Coroutine]:
        """Yields the coroutines that run for the lifetime of the entry."""
        components = self._components
        yield components.follower.run()
        yield components.view.run()
        yield components.peers.run()
        yield components.members.run()
        yield components.limits.run()
        yield components.snapshotter.run()
        yield components.drain_acks.run()
        yield components.observer.run()
        yield components.watcher.run()
        yield components.watcher.run_readiness()
        yield components.jobs.run()
        yield components.waves.run()
        yield self._refresh_on_records()
        yield self._refresh_on_list()
        yield self._forget_dead_peers()
        yield self._exit_when_retired()

    async def _refresh_on_records(self) -> None:
        components = self._components
        while True:
            await components.follower.changed(components.follower.state.offset)
            components.schedulers.refresh()

    async def _refresh_on_list(self) -> None:
        components = self._components
        while True:
            await components.view.changed()
            components.schedulers.refresh()

    async def _forget_dead_peers(self) -> None:
        components = self._components
        own_data_centre = components.identity.data_centre_id
        live: set[EntryId] = set()
        while True:
            await components.peers.changed()
            now_live = set(components.peers.live(own_data_centre))
            for entry_id in live - now_live:
                components.schedulers.drop_entry(entry_id)
            live = now_live

    async def _exit_when_retired(self) -> None:
        """Kills the process when the log records this entry as gone.

        Its work is assigned to other entries, so it must not continue.
        """
        await self._components.members.retired.wait()
        logger.error("the log records this entry as gone; exiting")
        os.kill(os.getpid(), signal.SIGKILL)

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(_exit_on_failure)


def run(settings: Settings) -> None:
    """Runs an entry until SIGTERM or SIGINT, then stops it gracefully."""
    timings = settings.timings
    shutdown_timeout = (
        timings.grace_seconds + timings.drain_seconds + _STOP_MARGIN_SECONDS
    )
    with aiomisc.entrypoint(
        EntryService(settings),
        loop_factory=runtime.new_event_loop,
        log_config=False,
        pool_size=2,
        catch_signals=(signal.SIGINT, signal.SIGTERM),
        shutdown_timeout=shutdown_timeout,
    ) as loop:
        loop.run_forever()


@contextlib.asynccontextmanager
async def _serve(
    runner: web.AppRunner, listener: socket.socket
) -> AsyncIterator[web.SockSite]:
    """Serves an application on a bound socket; yields the site."""
    await runner.setup()
    site = web.SockSite(runner, listener)
    await site.start()
    try:
        yield site
    finally:
        await runner.cleanup()


def _bind(address: Address) -> socket.socket:
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    return aiomisc.bind_socket(
        family, socket.SOCK_STREAM, address=address.host, port=address.port
    )


def _address_of(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _exit_on_failure(task: asyncio.Task) -> None:
    """Kills the process when a background task has failed.

    Without one of its tasks, an entry would appear live to its peers but not
    do its work; a new process starts from scratch within seconds.
    """
    if task.cancelled() or task.exception() is None:
        return
    logger.opt(exception=task.exception()).critical(
        "a background task has failed; exiting"
    )
    os.kill(os.getpid(), signal.SIGKILL)
