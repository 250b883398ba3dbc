"""Searches for event sequences with a second run or a false `not_run`."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from sardinedrift.claims import Claims
from sardinedrift.identifiers import Outcome
from tests.claim_world import FencedFromTwo, World

HOLDERS = st.sampled_from(["h1", "h2"])
ATTEMPTS = st.integers(0, 3)


class ClaimMachine(RuleBasedStateMachine):
    kind = Claims

    def __init__(self):
        super().__init__()
        self.world = World(self.kind)

    def _entry(self, data):
        return data.draw(st.sampled_from(sorted(self.world.entry_by_id)))

    @precondition(lambda self: len(self.world.entry_by_id) < 5)
    @rule()
    def join(self):
        self.world.join()

    @precondition(lambda self: self.world.entry_by_id)
    @rule(data=st.data(), count=st.integers(1, 4))
    def fold(self, data, count):
        self.world.fold(self._entry(data), count)

    @precondition(lambda self: self.world.entry_by_id)
    @rule(data=st.data())
    def catch_up_and_acknowledge(self, data):
        entry_id = self._entry(data)
        self.world.fold(entry_id)
        self.world.acknowledge(entry_id)

    @precondition(lambda self: len(self.world.entry_by_id) > 1)
    @rule(data=st.data())
    def end_entry(self, data):
        self.world.end_entry(self._entry(data))

    @precondition(lambda self: len(self.world.entry_by_id) > 1)
    @rule(data=st.data())
    def leave(self, data):
        entry_id = self._entry(data)
        self.world.stop(entry_id)
        self.world.leave(entry_id)

    @rule(error=st.floats(-0.5, 0.5), prefix=st.booleans())
    def make(self, error, prefix):
        self.world.make_request_id(error, prefix)

    @precondition(
        lambda self: self.world.request_ids and self.world.entry_by_id
    )
    @rule(data=st.data(), holder=HOLDERS, attempt=ATTEMPTS)
    def claim_everywhere(self, data, holder, attempt):
        """Sends one attempt to all owners; 0 stands for no number."""
        request_id = data.draw(st.sampled_from(self.world.request_ids[-6:]))
        entries = data.draw(st.permutations(sorted(self.world.entry_by_id)))
        for entry_id in entries:
            self.world.claim(entry_id, request_id, holder, attempt)

    @precondition(lambda self: self.world.claim_by_request_id)
    @rule(data=st.data(), holder=HOLDERS, attempt=ATTEMPTS)
    def claim_held_up(self, data, holder, attempt):
        """Ends one attempt as not run, then claims with a delayed attempt."""
        request_id = data.draw(
            st.sampled_from(sorted(self.world.claim_by_request_id))
        )
        entry_id, _, _ = self.world.claim_by_request_id[request_id]
        self.world.end(request_id, Outcome.NOT_RUN)
        if entry_id in self.world.entry_by_id:
            self.world.claim(entry_id, request_id, holder, attempt)

    @precondition(lambda self: self.world.entry_by_id)
    @rule(data=st.data())
    def make_and_claim_everywhere(self, data):
        self.world.make_request_id()
        self.claim_everywhere(data, "h1", 0)

    @precondition(lambda self: 0 < len(self.world.entry_by_id) < 5)
    @rule(data=st.data())
    def join_seen_by_the_joiner_first(self, data):
        """Members acknowledge a join and do not fold its activation yet."""
        members = sorted(self.world.entry_by_id)
        joiner_id = self.world.join()
        for entry_id in members:
            self.world.fold(entry_id)
        for entry_id in members:
            self.world.acknowledge(entry_id)
        self.world.fold(joiner_id)
        self.world.clock.time += 3.0
        for _ in range(3):
            self.make_and_claim_everywhere(data)

    @precondition(lambda self: self.world.claim_by_request_id)
    @rule(data=st.data(), outcome=st.sampled_from(list(Outcome)))
    def end(self, data, outcome):
        request_ids = sorted(self.world.claim_by_request_id)
        self.world.end(data.draw(st.sampled_from(request_ids)), outcome)

    @precondition(lambda self: self.world.claim_by_request_id)
    @rule(data=st.data())
    def release_repeatedly(self, data):
        """Claims a released id again and repeats the first release."""
        request_id = data.draw(
            st.sampled_from(sorted(self.world.claim_by_request_id))
        )
        entry_id, holder, _ = self.world.claim_by_request_id[request_id]
        self.world.end(request_id, Outcome.NOT_RUN)
        if entry_id in self.world.entry_by_id:
            attempt = self.world.next_attempt(request_id)
            self.world.claim(entry_id, request_id, holder, attempt)
            self.world.send_end(-1)
            self.world.claim(entry_id, request_id, "h3", attempt + 1)

    @precondition(lambda self: self.world.ends)
    @rule(data=st.data())
    def repeat_end(self, data):
        index = data.draw(st.integers(0, len(self.world.ends) - 1))
        self.world.send_end(index)

    @rule(seconds=st.sampled_from([0.1, 0.7, 3.0, 60.0, 400.0]))
    def pass_time(self, seconds):
        self.world.clock.time += seconds


class FencedFromTwoMachine(ClaimMachine):
    kind = FencedFromTwo


class ClaimSearchTest(unittest.TestCase):
    def _search(self, machine):
        run_state_machine_as_test(
            machine,
            settings=settings(
                derandomize=True,
                max_examples=150,
                stateful_step_count=60,
                deadline=None,
            ),
        )

    def test_no_sequence_grants_an_id_twice_or_makes_not_run_false(self):
        """Guards against a second run, and a run after a refusal."""
        self._search(ClaimMachine)

    def test_search_finds_unnumbered_pairs(self):
        """Guards against a search that misses delayed attempts."""
        with self.assertRaisesRegex(AssertionError, "not_run was false"):
            self._search(FencedFromTwoMachine)
