"""Tests members and peers over loopback sockets."""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from aiohttp import web

from sardinedrift import allowances, members, peerapi
from sardinedrift import changes as ch
from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryState, Identity
from sardinedrift.links import Timing
from sardinedrift.members import Members
from sardinedrift.messages import Acknowledged, Exchange
from sardinedrift.peers import Peers
from sardinedrift.publisher import Publisher
from tests.fakes import FakeLog, SystemClock, running, until
from tests.sample_changes import gone, join, put_team

TIMING = Timing(0.02, 0.3)


class FakeInstanceView:
    """Instance list view that contains the given entries."""

    def __init__(self, *entry_ids):
        self.entry_ids = set(entry_ids)

    def listed(self, instance_id):
        return instance_id in self.entry_ids


class Entry:
    """Log follower, peers and membership of one entry."""

    def __init__(self, entry_id, log, view, seeds=(), address=None):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        host, port = (address or "127.0.0.1:0").split(":")
        self.socket.bind((host, int(port)))
        self.address = "{}:{}".format(*self.socket.getsockname())
        identity = Identity(entry_id, "dc1", self.address)
        clock = SystemClock()
        self.identity = identity
        self.follower = Follower(log, clock, poll_timeout_seconds=0.05)
        publisher = Publisher(log, self.follower, clock)
        self.peers = Peers(
            identity,
            self.follower,
            clock,
            seeds,
            self.make_exchange,
            local_timing=TIMING,
            remote_timing=TIMING,
        )
        self.members = Members(
            identity,
            self.follower,
            publisher,
            self.peers,
            view,
            clock,
            evidence_seconds=0.2,
            check_interval_seconds=0.02,
        )

    def make_exchange(self, _):
        return Exchange(
            entry_id=self.identity.entry_id,
            data_centre_id="dc1",
            address=self.address,
            member=self.members.active,
            ready=self.follower.ready,
            stopping=False,
            offset=self.follower.state.offset,
            current_at=self.follower.current_at,
        )

    @contextlib.asynccontextmanager
    async def serving(self):
        app = web.Application()
        dependencies = peerapi.RouteDependencies(self.peers, self.follower)
        app.add_routes(peerapi.routes(dependencies))
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        await web.SockSite(runner, self.socket).start()
        try:
            async with running(self.follower, self.peers, self.members):
                yield self
        finally:
            await runner.cleanup()

    def state_of(self, entry_id):
        entry = self.follower.state.tables.entry_by_id.get(entry_id)
        return entry.state if entry else None


class MembersTest(unittest.IsolatedAsyncioTestCase):
    """Entry "a" is a member and the seed of the other entries."""

    async def asyncSetUp(self):
        self.log = FakeLog()
        self.view = FakeInstanceView("a", "b")
        self.a = Entry("a", self.log, self.view)
        await self.enterAsyncContext(self.a.serving())
        await until(lambda: self.a.members.active)

    def entry(self, entry_id="b", log=None, address=None):
        seeds = [self.a.address]
        return Entry(entry_id, log or self.log, self.view, seeds, address)

    async def test_joins_acknowledges_and_leaves(self):
        """Guards against a join that members have not acknowledged."""
        a, b = self.a, self.entry()
        async with b.serving():
            await until(lambda: b.members.active)
            await until(lambda: a.peers.live_members("dc1") == ["a", "b"])
            await b.members.leave("a")
            await until(lambda: a.state_of("b") is EntryState.GONE)
            self.assertFalse(b.members.retired.is_set())

    async def test_a_killed_entry_is_recorded_as_gone(self):
        """Guards against joins and moves that wait for an ended entry."""
        a, b = self.a, self.entry()
        async with b.serving():
            await until(lambda: b.members.active)
        await until(lambda: a.peers.ended_since("b"))
        self.assertIs(a.state_of("b"), EntryState.ACTIVE)
        self.view.entry_ids.discard("b")
        await until(lambda: a.state_of("b") is EntryState.GONE)

    async def test_a_frozen_entry_is_never_recorded_as_gone(self):
        """Guards against treating an unresponsive process as ended."""
        a, b = self.a, self.entry()
        async with b.serving():
            await until(lambda: b.members.active)
            frozen = socket.socket()
            frozen.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        frozen.bind(("127.0.0.1", int(b.address.split(":")[1])))
        with frozen:
            frozen.listen(200)
            self.view.entry_ids.discard("b")
            await until(lambda: "b" not in a.peers.live("dc1"))
            await asyncio.sleep(1.0)
            self.assertIs(a.state_of("b"), EntryState.ACTIVE)

    async def test_a_restarted_process_replaces_the_old_id_at_once(self):
        """Guards against sending work to the id of an ended process."""
        a, b = self.a, self.entry()
        self.view.entry_ids.add("c")
        async with b.serving():
            await until(lambda: a.peers.live("dc1") == ["a", "b"])
        c = self.entry("c", address=b.address)
        async with c.serving():
            await until(lambda: "c" in a.peers.live("dc1"))
            self.assertNotIn("b", a.peers.live("dc1"))

    async def test_an_entry_recorded_as_gone_retires(self):
        """Guards against a process that continues without membership."""
        self.log.put_changes(gone("a"))
        await until(self.a.members.retired.is_set)

    async def test_units_of_an_ended_entry_return_in_a_quiet_log(self):
        """Guards against units that are released only by an unrelated change.

        The fold releases them by the time of a record; without other records
        their team would be refused until then.
        """
        self.enterContext(
            mock.patch.object(allowances, "RUN_DEADLINE_MARGIN_SECONDS", 0.1)
        )
        self.enterContext(
            mock.patch.object(members, "RELEASE_MARGIN_SECONDS", 0.05)
        )
        state = self.a.follower.state
        self.log.put_changes(put_team(limit=4), join("b"))
        await until(lambda: self.a.state_of("b") is EntryState.ACTIVE)
        self.log.put_changes(
            ch.AllowanceTake(
                publisher_id="b", sequence=1, units_by_team={"red": 4}
            )
        )
        await until(lambda: state.unallocated("red") == 0)
        self.log.put_changes(gone("b"))
        await until(lambda: state.unallocated("red") == 4)

    async def test_relays_records_and_snapshots_in_an_outage(self):
        """Guards against requiring the platform when a peer has the state."""
        down = FakeLog()
        down.up = False
        b = self.entry(log=down)
        async with b.serving():
            await until(lambda: b.follower.ready)
            offset = self.log.put_changes(gone("nobody"))
            await until(lambda: b.follower.state.offset >= offset)
            await until(lambda: b.follower.current_at > 0)

    async def test_blocked_calls_fail_unsent(self):
        """Guards against fault injection that lets calls through."""
        a, b = self.a, self.entry()
        async with b.serving():
            await until(lambda: "a" in b.peers.live("dc1"))
            b.peers.blocked.add(a.address)
            with self.assertRaises(PeerError) as caught:
                await b.peers.call(
                    "a", "/peer/x", Acknowledged(), Acknowledged, 2e9
                )
            self.assertFalse(caught.exception.sent)
            with self.assertRaises(PeerError):
                b.peers.receive(a.make_exchange(None))
