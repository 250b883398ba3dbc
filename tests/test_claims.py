"""Claims: what an owner grants and refuses, rule by rule."""

import unittest

from sardinedrift import changes as ch
from sardinedrift import membership
from sardinedrift.claims import Claims
from sardinedrift.identifiers import Outcome
from tests.claim_world import (
    HOME,
    FencedFromTwo,
    NoHistoryRule,
    NoJoinRule,
    NoStop,
    ReleasesTwice,
    Unfenced,
    World,
)
from tests.decision_fakes import identity, new_change_id


class ClaimTest(unittest.TestCase):
    def _pair(self, kind=Claims):
        """Returns a world with two members that have folded all records."""
        world = World(kind)
        world.fold("e0")
        world.join()
        world.fold("e0")
        world.acknowledge("e0")
        world.fold("e0")
        world.fold("e1")
        world.clock.time += 5.0
        return world

    def _new_id_owned_by(self, world, entry_id):
        entries = world.log.head.active_entries(HOME)
        while True:
            request_id = world.make_request_id()
            if membership.rendezvous(request_id, entries) == entry_id:
                return request_id

    def _join_scenario(self, kind):
        """Counts grants while the old owner has not folded an activation."""
        world = self._pair(kind)
        world.join()
        for entry_id in ("e0", "e1"):
            world.fold(entry_id)
            world.acknowledge(entry_id)
        world.fold("e2")
        world.clock.time += 5.0
        for _ in range(30):
            request_id = world.make_request_id()
            for entry_id in ("e2", "e1", "e0"):
                world.claim(entry_id, request_id)
        return world.grant_count

    def test_join_rule(self):
        """Guards against the old owner granting ids of the new one."""
        self.assertEqual(self._join_scenario(Claims), 30)
        with self.assertRaisesRegex(AssertionError, "granted twice"):
            self._join_scenario(NoJoinRule)

    def _gone_scenario(self, kind):
        world = self._pair(kind)
        request_id = self._new_id_owned_by(world, "e1")
        self.assertEqual(world.claim("e1", request_id), "claimed")
        world.end_entry("e1")
        world.fold("e0")
        return world.claim("e0", request_id)

    def test_new_owner_refuses_older_ids(self):
        """Guards against a new owner that lacks the claims of the old one."""
        self.assertEqual(self._gone_scenario(Claims), "owner_is_new")
        with self.assertRaisesRegex(AssertionError, "granted twice"):
            self._gone_scenario(NoHistoryRule)

    def _leave_scenario(self, kind):
        world = self._pair(kind)
        world.stop("e1")
        world.leave("e1")
        world.fold("e0")
        world.clock.time += 5.0
        for _ in range(30):
            request_id = world.make_request_id()
            world.claim("e0", request_id)
            world.claim("e1", request_id)
        return world.grant_count

    def test_stopping_owner_grants_nothing(self):
        """Guards against grants by an owner that has not folded its leave."""
        self.assertEqual(self._leave_scenario(Claims), 30)
        with self.assertRaisesRegex(AssertionError, "granted twice"):
            self._leave_scenario(NoStop)

    def _repeated_release(self, kind):
        world = self._pair(kind)
        request_id = self._new_id_owned_by(world, "e1")
        world.claim("e1", request_id, attempt=1)
        world.end(request_id, Outcome.NOT_RUN)
        self.assertEqual(world.claim("e1", request_id, attempt=2), "claimed")
        world.send_end(0)
        return world.claim("e1", request_id, "h2", attempt=3)

    def test_repeated_release_does_not_release_a_later_claim(self):
        """Guards against a release message that is delivered twice."""
        code = self._repeated_release(Claims)
        self.assertEqual(code, "duplicate_request")
        with self.assertRaisesRegex(AssertionError, "granted twice"):
            self._repeated_release(ReleasesTwice)

    def _delayed_attempt(self, kind, refused, attempt):
        """Ends one attempt as not run, then claims with another attempt."""
        world = self._pair(kind)
        request_id = self._new_id_owned_by(world, "e1")
        world.claim("e1", request_id, "h2", attempt=refused)
        world.end(request_id, Outcome.NOT_RUN)
        return world.claim("e1", request_id, "h1", attempt=attempt)

    def test_attempt_held_up_does_not_run_after_not_run(self):
        """Guards against a not_run that another attempt makes false."""
        for refused in (0, 1, 2):
            for attempt in (0, 1, 2, 3):
                lower = max(attempt, 1) <= max(refused, 1)
                code = "superseded" if lower else "claimed"
                with self.subTest(refused=refused, attempt=attempt):
                    actual_code = self._delayed_attempt(
                        Claims, refused, attempt
                    )
                    self.assertEqual(actual_code, code)
        for kind, refused, attempt in (
            (Unfenced, 2, 1),
            (FencedFromTwo, 0, 0),
            (FencedFromTwo, 1, 0),
            (FencedFromTwo, 0, 1),
            (FencedFromTwo, 1, 1),
        ):
            with self.assertRaisesRegex(AssertionError, "not_run was false"):
                self._delayed_attempt(kind, refused, attempt)

    def test_codes_follow_the_request(self):
        """Guards against a wrong conclusion about a repeated request."""
        world = self._pair()
        request_id = self._new_id_owned_by(world, "e0")
        self.assertEqual(world.claim("e0", request_id), "claimed")
        self.assertEqual(world.claim("e0", request_id), "duplicate_request")
        world.end(request_id, Outcome.ANSWERED)
        self.assertEqual(world.claim("e0", request_id), "already_answered")
        self.assertEqual(world.claim("e1", request_id), "not_owner")
        self.assertEqual(world.claim("e0", "no-uuid"), "malformed")
        early = world.make_request_id(error=2.0)
        self.assertEqual(world.claim("e0", early), "malformed")

    def test_clock_that_steps_back_does_not_revive_an_id(self):
        """Guards against an id granted again after its claim was dropped."""
        world = self._pair()
        request_id = self._new_id_owned_by(world, "e0")
        world.claim("e0", request_id)
        world.clock.time += 400.0
        self.assertEqual(world.claim("e0", request_id), "expired")
        self.assertEqual(len(world.entry_by_id["e0"].claims), 0)
        world.clock.time -= 399.0
        self.assertEqual(world.claim("e0", request_id), "expired")

    def test_memory_is_bounded(self):
        """Guards against ids that exhaust the memory of their owner."""
        world = self._pair()
        follower = world.entry_by_id["e0"].follower
        claims = Claims(identity("e0"), follower, world.clock, max_claims=1)
        first = self._new_id_owned_by(world, "e0")
        second = self._new_id_owned_by(world, "e0")
        self.assertEqual(claims.claim(first, "h1").code, "claimed")
        self.assertEqual(claims.claim(second, "h1").code, "claims_full")

    def test_new_data_centre_does_not_move_older_ids(self):
        """Guards against a new home that lacks the claims of the old one."""
        world = self._pair()
        request_id = world.make_request_id(prefix=False)
        world.log.append(
            ch.PutDataCentre(
                change_id=new_change_id(),
                expected_revision=0,
                data_centre_id="dc0",
                region="north",
            )
        )
        for entry_id in ("e0", "e1"):
            world.fold(entry_id)
            code = world.claim(entry_id, request_id)
            self.assertIn(code, ("not_owner", "owner_is_new"))
