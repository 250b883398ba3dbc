"""An admin application with the real fold and fakes for everything else."""

import asyncio
import contextlib
import threading
import time

from aiohttp import web

from sardinedrift import admin, fold, metrics, timeline
from sardinedrift import changes as ch
from sardinedrift.exceptions import PeerError
from sardinedrift.identifiers import Identity
from sardinedrift.state import State
from tests.fakes import SystemClock

IDENTITY = Identity("e1", "dc1", "127.0.0.1:7101")


class Follower:
    """Folds the batches that the publisher appends."""

    def __init__(self):
        self.state = State()
        self.current_at = time.time()

    def append(self, changes, atomic=False):
        data = ch.encode_batch(ch.Batch(tuple(changes), atomic))
        offset = self.state.offset + 1
        return fold.apply_record(self.state, offset, float(offset), data)


class Publisher:
    """Appends in memory; raises `error`, if set.

    The error is raised before the append, or after it if
    `error_after_append` is set.
    """

    def __init__(self, follower):
        self.follower = follower
        self.error = None
        self.error_after_append = False
        self.posted = []

    async def publish(self, changes, deadline, atomic=False):
        self.posted.append([change.change_id for change in changes])
        if self.error and not self.error_after_append:
            raise self.error
        results = self.follower.append(changes, atomic)
        if self.error:
            raise self.error
        return results


class Peers:
    """Other entries; those without a timeline do not answer calls."""

    def __init__(self):
        self.live_by_data_centre = {"dc1": ["e1"]}
        self.exchange_by_entry = {}
        self.timeline_by_entry = {}

    def live(self, data_centre_id):
        return self.live_by_data_centre.get(data_centre_id, [])

    def exchange_of(self, entry_id):
        return self.exchange_by_entry.get(entry_id)

    async def call(self, entry_id, path, message, reply_type, deadline):
        if path != timeline.PEER_PATH or entry_id not in self.timeline_by_entry:
            raise PeerError("no answer")
        return self.timeline_by_entry[entry_id].answer(message)


class FakeEntry:
    """An entry with its admin application and access to its fakes."""

    def __init__(self):
        self.follower = Follower()
        self.publisher = Publisher(self.follower)
        self.peers = Peers()
        self.metrics = metrics.Metrics()
        self.events = timeline.Timeline(IDENTITY, SystemClock())
        self.reason = ""
        self.application = admin.Admin(
            IDENTITY,
            self.follower,
            self.publisher,
            self.peers,
            SystemClock(),
            self.events,
            self.metrics,
            lambda: self.reason,
        ).application()


@contextlib.contextmanager
def serving(entry):
    """Serves the admin application in a thread; yields its address."""
    loop = asyncio.new_event_loop()
    runner = web.AppRunner(entry.application)

    async def start():
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        return runner.addresses[0][1]

    port = loop.run_until_complete(start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield f"127.0.0.1:{port}"
    finally:
        asyncio.run_coroutine_threadsafe(runner.cleanup(), loop).result(10)
        loop.call_soon_threadsafe(loop.stop)
        thread.join(10)
        loop.close()
