"""Relays: correct refusals, and one claim for all relays of a request."""

import unittest

import msgspec

from sardinedrift.exceptions import AdmissionError, PeerError
from sardinedrift.identifiers import Outcome
from sardinedrift.messages import ClaimReply
from sardinedrift.relays import RELAY_HEADER, ErrorBody
from tests.path_fakes import ACKNOWLEDGED, RequestPath

NOT_RUN = Outcome.NOT_RUN
UNKNOWN = Outcome.UNKNOWN
ANSWERED = Outcome.ANSWERED


def reply(outcome, code="code"):
    if outcome is ANSWERED:
        return 200, {"Sardinedrift-Outcome": "answered"}, b"done"
    body = msgspec.json.encode(ErrorBody(code, "text", outcome))
    return 503, {"sardinedrift-outcome": outcome.value}, body


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def check(self, path, code, outcome, ends, **fields):
        self.assertEqual(await path.outcome(**fields), (code, outcome))
        await path.check_settled()
        self.assertEqual(path.claim_outcomes(), ends)

    async def test_non_member_relays_or_refuses(self):
        path = RequestPath(entries=("e2",))
        await self.check(path, "no_member", NOT_RUN, [], own_id=True)
        path.peers.add("e3", "dc2")
        path.peers.add("e2", "dc1")
        path.peers.handlers["/peer/requests"] = [
            PeerError("refused", sent=False),
            reply(ANSWERED),
        ]
        path.peers.handlers["/peer/claims"] = ClaimReply(code="claimed")
        path.peers.handlers["/peer/claims/end"] = ACKNOWLEDGED
        await self.check(path, "", ANSWERED, [])
        self.assertEqual([post[0] for post in path.peers.posts], ["e2", "e3"])
        self.assertEqual(path.minions.sent, [])
        ends = [each[2].outcome for each in path.peers.calls[1:]]
        self.assertEqual(ends, [ANSWERED])

    async def test_all_relays_of_a_non_member_run_under_one_claim(self):
        """Guards against an attempt that is refused as superseded by itself.

        This would happen if each member claimed the request id anew.
        """
        path = RequestPath(entries=("e2",))
        path.peers.add("e2", "dc1")
        path.peers.add("e3", "dc2")
        path.peers.handlers["/peer/requests"] = [reply(NOT_RUN)] * 2
        path.peers.handlers["/peer/claims"] = ClaimReply(code="claimed")
        path.peers.handlers["/peer/claims/end"] = ACKNOWLEDGED
        await self.check(path, "code", NOT_RUN, [])
        for _, headers, _ in path.peers.posts:
            relayed = msgspec.json.decode(headers[RELAY_HEADER])
            self.assertTrue(relayed["claimed"])
        self.assertEqual(len(path.peers.posts), 2)
        paths = [path for _, path, _ in path.peers.calls]
        self.assertEqual(paths, ["/peer/claims", "/peer/claims/end"])
        self.assertIs(path.peers.calls[1][2].outcome, NOT_RUN)

    async def test_relay_outcomes(self):
        """Guards against a second relay of a request that may have run."""
        for handler, posts, result in (
            (PeerError("reset"), 1, ("relay_broken", UNKNOWN)),
            ((200, {}, b""), 1, ("relay_broken", UNKNOWN)),
            (reply(UNKNOWN), 1, ("code", UNKNOWN)),
            (reply(NOT_RUN), 2, ("code", NOT_RUN)),
        ):
            path = RequestPath(instances=())
            path.peers.add("e3", "dc2")
            path.peers.add("e4", "dc2")
            path.peers.add("e5", "dc2", endpoints=False)
            path.peers.handlers["/peer/requests"] = handler
            await self.check(path, *result, [result[1]])
            self.assertEqual(len(path.peers.posts), posts)

    async def test_at_most_two_hops(self):
        path = RequestPath(instances=())
        path.peers.add("e3", "dc2")
        path.peers.handlers["/peer/requests"] = reply(ANSWERED)
        request = msgspec.structs.replace(path.request(), hops=("e8", "e9"))
        with self.assertRaises(AdmissionError) as caught:
            await path.dispatcher.handle(request)
        self.assertEqual(caught.exception.code, "no_endpoint")

    async def test_relays_to_a_spare_unit(self):
        path = RequestPath(units=0)
        path.peers.add("e3", "dc2", spare=1)
        path.peers.add("e2", "dc1", spare=1)
        path.peers.handlers["/peer/requests"] = reply(ANSWERED)
        await self.check(path, "", ANSWERED, [ANSWERED])
        self.assertEqual(path.peers.posts[0][0], "e2")
