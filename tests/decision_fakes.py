"""An in-memory log with lagging readers, and a clock set by the test."""

import asyncio
import random

from sardinedrift import changes as ch
from sardinedrift import fold, snapshots
from sardinedrift.exceptions import LogUnavailable, PublishUnknown
from sardinedrift.identifiers import Identity
from sardinedrift.ports import Clock
from sardinedrift.state import State
from tests.sample_changes import gone, join, new_change_id, put_team
from tests.sample_changes import join_ack as ack

__all__ = [
    "FakeClock",
    "FakeFollower",
    "FakeLog",
    "FakePeers",
    "FakePublisher",
    "ack",
    "gone",
    "identity",
    "join",
    "new_change_id",
    "put_team",
    "request_id",
]


class FakeClock(Clock):
    def __init__(self, time=1_000_000.0):
        self.time = time

    def now(self):
        return self.time


class FakeLog:
    """Records with their times; `head` is the state of a reader at the end."""

    def __init__(self, clock):
        self.clock = clock
        self.records = []
        self.head = State()

    def append(self, *changes):
        data = ch.encode_batch(ch.Batch(tuple(changes)))
        self.records.append((self.clock.now(), data))
        return fold.apply_record(
            self.head, len(self.records) - 1, self.clock.now(), data
        )


class FakeFollower:
    """A reader that folds only when `fold` is called."""

    def __init__(self, log):
        self.log = log
        self.state = State()
        self.log_up = True
        self.folded = asyncio.Event()

    async def changed(self, after):
        while self.state.offset <= after:
            self.folded.clear()
            await self.folded.wait()

    def fold(self, count=1_000_000):
        while count and self.state.offset + 1 < len(self.log.records):
            offset = self.state.offset + 1
            fold.apply_record(self.state, offset, *self.log.records[offset])
            count -= 1
            self.folded.set()

    def load_snapshot(self):
        """Replaces the state by a snapshot of the end of the log."""
        if self.state.offset < self.log.head.offset:
            self.state = snapshots.decode(snapshots.encode(self.log.head))
            self.folded.set()

    def result_of(self, change_id):
        row = self.state.tables.result_by_change_id.get(change_id)
        return row[1] if row else None


class FakePublisher:
    """Publishes according to `mode`.

    Attributes:
        mode: "ok"; "lost": appends, but the outcome is unknown; "late": keeps
            the batch for `deliver`; "twice": appends, and keeps it as well;
            "down": the log is unavailable.
        late: batches that are not delivered yet.
    """

    def __init__(self, follower):
        self.follower = follower
        self.mode = "ok"
        self.late = []

    async def publish(self, changes, deadline, atomic=False):
        del deadline, atomic
        if self.mode == "down":
            raise LogUnavailable("down")
        if self.mode == "late":
            self.late.append(changes)
            raise PublishUnknown("late")
        if self.mode == "twice":
            self.late.append(changes)
        results = self.follower.log.append(*changes)
        if self.mode == "lost":
            raise PublishUnknown("lost")
        self.follower.fold()
        return results

    def deliver(self):
        """Appends the batches that are not delivered yet."""
        for changes in self.late:
            self.follower.log.append(*changes)
        self.late.clear()

    def deliver_one(self, index, again=False):
        """Appends one of these; `again` keeps it for another delivery."""
        self.follower.log.append(*self.late[index])
        if not again:
            del self.late[index]


class FakePeers:
    """Peers without exchanges by default; records the calls."""

    def __init__(self):
        self.calls = []
        self.exchange_by_id = {}

    def exchange_of(self, entry_id):
        return self.exchange_by_id.get(entry_id)

    async def call(self, entry_id, path, message, reply_type, deadline):
        self.calls.append((entry_id, path, message))
        return reply_type()


def identity(entry_id):
    return Identity(entry_id, "dc1", "127.0.0.1:1")


def request_id(made, number):
    """Returns a UUIDv7 made at a time in unix seconds."""
    bits = random.Random(number).getrandbits(74)
    value = int(made * 1000) << 80 | 7 << 76 | (bits >> 62) << 64
    value |= 2 << 62 | bits & ((1 << 62) - 1)
    text = f"{value:032x}"
    parts = (text[:8], text[8:12], text[12:16], text[16:20], text[20:])
    return "-".join(parts)
