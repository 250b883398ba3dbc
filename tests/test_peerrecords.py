"""Records that an entry cut off from the platform fetches from peers."""

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

PAGE = 50
LAST = 3 * PAGE


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
        self.links.note_answered(self.link, exchange())

    async def relay(self, get):
        records = PeerRecords(self.links, self.follower, get, self.clock)
        await records.relay(self.link)

    async def test_all_pages_are_relayed_at_once(self):
        """Guards against one page for each exchange, seconds apart."""
        await self.relay(page)
        self.assertEqual(self.follower.state.offset, LAST)

    async def test_a_peer_without_the_records_ends_the_relay(self):
        """Guards against endless asking for what the peer does not have."""
        asked = []

        async def nothing(address, path, deadline):
            del address, deadline
            asked.append(path)
            if len(asked) > 3:
                raise PeerError("asked again and again")
            reply = RecordsReply(records=[], next=LAST + 1)
            return 200, {}, msgspec.json.encode(reply)

        await self.relay(nothing)
        self.assertEqual(len(asked), 1)


def exchange():
    return Exchange(
        entry_id="b",
        data_centre_id="dc2",
        address="b",
        member=True,
        ready=True,
        stopping=False,
        offset=LAST,
        current_at=0.0,
    )


async def page(address, path, deadline):
    """Answers one page of records of the peer."""
    del address, deadline
    start = int(path.partition("=")[2])
    data = ch.encode_batch(ch.Batch(()))
    records = [
        LogRecord(offset, 1.0, data)
        for offset in range(start, min(start + PAGE, LAST + 1))
    ]
    reply = RecordsReply(records=records, next=LAST + 1)
    return 200, {}, msgspec.json.encode(reply)
