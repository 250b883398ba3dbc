"""Tests fetching records from peers while the platform is unreachable."""

import unittest

import msgspec

from sardinedrift import changes as ch
from sardinedrift.exceptions import PeerError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import Identity
from sardinedrift.links import Timing
from sardinedrift.messages import Exchange, RecordsReply
from sardinedrift.peerlinks import LinkTable
from sardinedrift.peerrecords import PeerRecords
from sardinedrift.ports import LogRecord
from tests.fakes import FakeLog, ManualClock

PAGE_SIZE = 50
LAST_OFFSET = 3 * PAGE_SIZE


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.follower = Follower(FakeLog(), self.clock)
        self.links = LinkTable(
            Identity("a", "dc1", "a"),
            self.clock,
            Timing(0.25, 0.75),
            Timing(1.0, 3.0),
            lambda data_centre_id: set(),
        )
        self.link = self.links.add("b")
        self.links.record_answered(self.link, exchange())

    async def relay(self, get):
        records = PeerRecords(self.links, self.follower, get, self.clock)
        await records.relay(self.link)

    async def test_all_pages_are_relayed_at_once(self):
        """Guards against fetching one page per exchange, seconds apart."""
        await self.relay(answer_page)
        self.assertEqual(self.follower.state.offset, LAST_OFFSET)

    async def test_a_peer_without_the_records_ends_the_relay(self):
        """Guards against endless requests for records the peer lacks."""
        requested_paths = []

        async def answer_without_records(address, path, deadline):
            del address, deadline
            requested_paths.append(path)
            if len(requested_paths) > 3:
                raise PeerError("the same records were requested repeatedly")
            reply = RecordsReply(records=[], next=LAST_OFFSET + 1)
            return 200, {}, msgspec.json.encode(reply)

        await self.relay(answer_without_records)
        self.assertEqual(len(requested_paths), 1)


def exchange():
    return Exchange(
        entry_id="b",
        data_centre_id="dc2",
        address="b",
        member=True,
        ready=True,
        stopping=False,
        offset=LAST_OFFSET,
        current_at=0.0,
    )


async def answer_page(address, path, deadline):
    """Returns the response with one page of the peer's records."""
    del address, deadline
    start = int(path.partition("=")[2])
    data = ch.encode_batch(ch.Batch(()))
    records = [
        LogRecord(offset, 1.0, data)
        for offset in range(start, min(start + PAGE_SIZE, LAST_OFFSET + 1))
    ]
    reply = RecordsReply(records=records, next=LAST_OFFSET + 1)
    return 200, {}, msgspec.json.encode(reply)
