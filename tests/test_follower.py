"""Follower: each reader sees a prefix of one sequence and never reverts."""

import asyncio
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinedrift import fold, snapshots
from sardinedrift.exceptions import AppendUnknown, LogUnavailable
from sardinedrift.follower import Follower, PeerSource
from sardinedrift.ring import RecordRing
from sardinedrift.state import State
from tests.fakes import FakeLog, SystemClock, running, until
from tests.sample_changes import put_team


class FakePeers(PeerSource):
    """Peers that are other followers of the test."""

    def __init__(self, *followers):
        self.followers = list(followers)

    async def snapshot(self, beyond):
        for each in self.followers:
            if each.ready and each.state.offset > beyond:
                return snapshots.decode(snapshots.encode(each.state))
        return None

    def highest_offset(self):
        if not any(each.ready for each in self.followers):
            return None
        return max(each.state.offset for each in self.followers)


def make(log, peers=None):
    return Follower(
        log,
        SystemClock(),
        peers,
        poll_timeout_seconds=0.0,
        max_backoff_seconds=0.02,
    )


def encoded(state):
    return msgspec.json.encode(state.tables)


def folded(records):
    state = State()
    for record in records:
        fold.apply_record(state, record.offset, record.time, record.data)
    return state


def put_teams(log, count, start=0):
    for index in range(start, start + count):
        log.put_changes(put_team(f"team{index}"))


def log_of(count):
    """Returns a log of `count` records, each of which creates a team."""
    log = FakeLog()
    put_teams(log, count)
    return log


async def ready(log):
    """Returns a follower that has caught up with a log."""
    follower = make(log)
    while not follower.ready:
        await follower.step()
    return follower


def put_snapshot(log, state, without=()):
    for chunk in snapshots.chunks(state, f"s{state.offset}"):
        if chunk.index not in without:
            log.put_changes(chunk)


class StartTest(unittest.IsolatedAsyncioTestCase):
    async def test_starts_at_the_first_record(self):
        """Guards against reporting ready before the end of the log."""
        log = log_of(600)
        follower = make(log)
        await follower.step()
        self.assertFalse(follower.ready)
        self.assertIn("of 600", follower.not_ready_reason)
        await follower.step()
        self.assertTrue(follower.ready)
        self.assertEqual(encoded(follower.state), encoded(folded(log.records)))

    async def test_starts_from_a_snapshot_after_expiry(self):
        """Guards against an entry that cannot start once records expired."""
        log = log_of(5)
        put_snapshot(log, folded(log.records))
        put_teams(log, 5, start=5)
        expected = folded(log.records)
        log.expire(5)
        follower = await ready(log)
        self.assertEqual(encoded(follower.state), encoded(expected))

    async def test_skips_an_incomplete_snapshot(self):
        """Guards against loading an incomplete snapshot."""
        log = log_of(5)
        chunk = next(snapshots.chunks(folded(log.records), "half"))
        log.put_changes(msgspec.structs.replace(chunk, count=2))
        log.expire(5)
        follower = make(log)
        await follower.step()
        self.assertFalse(follower.ready)
        self.assertIn("no complete snapshot", follower.not_ready_reason)
        self.assertEqual(follower.state.offset, -1)

    async def test_starts_from_a_peer_in_an_outage(self):
        """Guards against an entry that cannot start while the log is down."""
        log = log_of(5)
        peer = await ready(log)
        log.up = False
        follower = make(log)
        await follower.step()
        self.assertIn("no ready peer", follower.not_ready_reason)
        follower.set_peer_source(FakePeers(peer))
        await follower.step()
        self.assertTrue(follower.ready)
        self.assertEqual(encoded(follower.state), encoded(peer.state))

    async def test_is_not_ready_below_the_highest_reachable_peer(self):
        """Guards against serving on an older state than a reachable peer."""
        log = log_of(3)
        low = await ready(log)
        put_teams(log, 2, start=3)
        high = await ready(log)
        log.up = False
        follower = make(log, FakePeers(low, high))
        await follower.step()
        self.assertFalse(follower.ready)
        self.assertIn("peers at 4", follower.not_ready_reason)
        follower.fold_records(high.records_from(3))
        await follower.step()
        self.assertTrue(follower.ready)

    async def test_retries_until_the_log_is_back(self):
        """Guards against giving up after a long outage."""
        log = FakeLog()
        log.up = False
        follower = make(log)
        async with running(follower):
            await until(lambda: "outage" in follower.not_ready_reason)
            log.up = True
            await until(lambda: follower.ready)


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_equal_lower_and_gapped_records_are_ignored(self):
        """Guards against folding a record twice or out of order."""
        log = log_of(6)
        follower = make(log)
        follower.fold_records(log.records[:3])
        before = encoded(follower.state)
        follower.fold_records(log.records[:3])
        follower.fold_records(log.records[4:])
        self.assertEqual(encoded(follower.state), before)
        follower.fold_records(log.records[2:])
        self.assertEqual(encoded(follower.state), encoded(folded(log.records)))

    async def test_a_shorter_log_never_lowers_the_offset(self):
        """Guards against reverting to an older configuration."""
        log = log_of(5)
        follower = await ready(log)
        current_at = follower.current_at
        del log.records[2:]
        self.assertFalse(await follower.step())
        self.assertEqual(follower.state.offset, 4)
        self.assertEqual(follower.current_at, current_at)

    async def test_loads_newer_state_after_a_long_cut(self):
        """Guards against waiting for records that expired during the outage."""
        log = log_of(3)
        follower = await ready(log)
        put_teams(log, 4, start=3)
        other = await ready(log)
        log.expire(6)
        await follower.step()
        self.assertEqual(follower.state.offset, 2)
        follower.set_peer_source(FakePeers(other))
        versions = follower.state.version_by_table.copy()
        await follower.step()
        self.assertEqual(encoded(follower.state), encoded(other.state))
        for table, version in versions.items():
            self.assertGreater(follower.state.version_by_table[table], version)

    async def test_current_through_a_peer_only_at_its_offset(self):
        """Guards against reporting a state that lacks records as current."""
        log = log_of(2)
        follower = make(log)
        follower.fold_records(log.records[:1])
        follower.update_current_at(1, 500.0)
        self.assertEqual(follower.current_at, 0.0)
        follower.fold_records(log.records)
        follower.update_current_at(1, 500.0)
        self.assertEqual(follower.current_at, 500.0)

    async def test_waiters(self):
        """Guards against a lost wake-up and an unbounded wait."""
        log = FakeLog()
        follower = make(log)
        self.assertFalse(await follower.wait_offset(0, 0.0))
        waiting = asyncio.create_task(follower.changed(-1))
        async with running(follower):
            put_teams(log, 1)
            await asyncio.wait_for(waiting, 20)
        change_id = next(iter(follower.state.tables.result_by_change_id))
        self.assertTrue(follower.result_of(change_id).accepted)

    def test_ring_is_bounded(self):
        """Guards against unbounded memory and gaps in the returned records."""
        log = log_of(10)
        ring = RecordRing(max_records=4)
        for record in log.records:
            ring.add(record)
        self.assertEqual(ring.records_from(5), [])
        self.assertEqual(ring.records_from(8), log.records[8:])


_followers = st.integers(0, 2)
_steps = st.one_of(
    st.tuples(st.just("append"), st.sampled_from(["done", "lost", "never"])),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("step"), _followers),
    st.tuples(st.just("relay"), st.tuples(_followers, _followers)),
    st.tuples(st.just("snapshot"), st.none()),
    st.tuples(st.just("expire"), st.integers(1, 4)),
)


class World:
    """Three followers of one log, and the reference state at each offset."""

    def __init__(self):
        self.log = FakeLog()
        self.log.record_time = 1.0
        self.followers = [make(self.log) for _ in range(3)]
        for follower in self.followers:
            others = [each for each in self.followers if each is not follower]
            follower.set_peer_source(FakePeers(*others))
        self.reference = State()
        self.state_by_offset = {-1: encoded(self.reference)}
        self.unanswered = []
        self.teams = 0

    async def append(self, outcome):
        self.log.lost_answers = int(outcome == "lost")
        self.log.lost_appends = int(outcome == "never")
        if not self.unanswered:
            self.teams += 1
            self.unanswered.append(put_team(f"team{self.teams}"))
        change = self.unanswered[0]
        try:
            batch = fold.ch.Batch((change,))
            await self.log.append(fold.ch.encode_batch(batch), 0.0)
        except (AppendUnknown, LogUnavailable):
            pass
        else:
            self.unanswered.clear()
        self.log.lost_answers = self.log.lost_appends = 0

    async def outage(self, down):
        self.log.up = not down

    async def step(self, index):
        await self.followers[index].step()

    async def relay(self, pair):
        source, target = (self.followers[each] for each in pair)
        target.fold_records(source.records_from(target.state.offset + 1))

    async def snapshot(self, _):
        put_snapshot(self.log, self.reference)

    async def expire(self, count):
        first = min(self.log.first + count, self.log.next)
        self.log.expire(first)

    def advance(self):
        for record in self.log.records:
            if record.offset > self.reference.offset:
                fold.apply_record(
                    self.reference, record.offset, record.time, record.data
                )
                key = record.offset
                self.state_by_offset[key] = encoded(self.reference)


class PrefixTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(_steps, max_size=40))
    def test_every_follower_has_a_prefix_of_one_sequence(self, steps):
        """Guards against forks, gaps, reverts and changes applied twice."""

        async def play():
            world = World()
            for name, argument in steps:
                before = [each.state.offset for each in world.followers]
                await getattr(world, name)(argument)
                world.advance()
                for follower, low in zip(world.followers, before, strict=True):
                    offset = follower.state.offset
                    self.assertGreaterEqual(offset, low)
                    self.assertEqual(
                        encoded(follower.state), world.state_by_offset[offset]
                    )
            rows = world.reference.tables.team_by_id.values()
            self.assertTrue(all(team.revision == 1 for team in rows))

        asyncio.run(play())
