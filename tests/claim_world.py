"""Simulated owners of request ids, and variants of `Claims` with one fault."""

from sardinedrift import changes as ch
from sardinedrift import membership
from sardinedrift.claims import Claims
from sardinedrift.identifiers import EntryState, Outcome
from tests.decision_fakes import (
    FakeClock,
    FakeFollower,
    FakeLog,
    ack,
    gone,
    identity,
    join,
    new_change_id,
    request_id,
)

HOME = "dc1"


class NoJoinRule(Claims):
    """Serves the ids of a joiner until its activation is folded."""

    def _owns(self, state, data_centre_id, request_id, entry_id):
        return membership.owner(state, data_centre_id, request_id) == entry_id


class NoHistoryRule(Claims):
    """Grants ids that an earlier owner may have granted."""

    def _owned_since_creation(
        self, state, data_centre_id, request_id, entry_id
    ):
        return True


class NoStop(Claims):
    """Grants ids while its leave is being appended to the log."""

    def stop(self):
        pass


class ReleasesTwice(Claims):
    """Applies a repeated release of an earlier claim to a later claim."""

    def end(self, request_id, holder, outcome):
        claim = self._claim_by_id.get(request_id)
        if claim:
            claim.released_by.clear()
        super().end(request_id, holder, outcome)


class Unfenced(Claims):
    """Grants attempts in any order."""

    def _superseded(self, claim, attempt):
        return False


class FencedFromTwo(Claims):
    """Fences only attempts after one that the caller numbered 2 or higher."""

    def _superseded(self, claim, attempt):
        return max(attempt, 2) <= claim.attempt


class _Entry:
    def __init__(self, log, clock, entry_id, kind):
        self.follower = FakeFollower(log)
        self.follower.fold()
        self.claims = kind(identity(entry_id), self.follower, clock)


class World:
    """Entries of one data centre, each with its own lagging fold."""

    def __init__(self, kind=Claims):
        self.kind = kind
        self.clock = FakeClock()
        self.log = FakeLog(self.clock)
        self.log.append(
            ch.PutDataCentre(
                change_id=new_change_id(),
                expected_revision=0,
                data_centre_id=HOME,
                region="north",
            )
        )
        self.entry_by_id = {}
        self.request_ids = []
        self.claim_by_request_id = {}
        self.refused_attempt_by_request_id = {}
        self.ends = []
        self.entry_count = 0
        self.grant_count = 0
        self.join()
        self.clock.time += 5.0

    def join(self):
        entry_id = f"e{self.entry_count}"
        self.entry_count += 1
        self.log.append(join(entry_id))
        entry = _Entry(self.log, self.clock, entry_id, self.kind)
        self.entry_by_id[entry_id] = entry
        return entry_id

    def fold(self, entry_id, count=1_000_000):
        self.entry_by_id[entry_id].follower.fold(count)

    def acknowledge(self, entry_id):
        """Acknowledges every join that this entry has folded."""
        tables = self.entry_by_id[entry_id].follower.state.tables
        for joiner in tables.entry_by_id.values():
            if joiner.state is EntryState.JOINING:
                self.log.append(ack(entry_id, joiner.entry_id))

    def end_entry(self, entry_id):
        """Ends an entry without a leave and records it as gone."""
        del self.entry_by_id[entry_id]
        self.log.append(gone(entry_id))

    def stop(self, entry_id):
        self.entry_by_id[entry_id].claims.stop()

    def leave(self, entry_id):
        self.log.append(
            ch.EntryLeave(change_id=new_change_id(), entry_id=entry_id)
        )

    def make_request_id(self, error=0.0, prefix=True):
        number = len(self.request_ids)
        made = request_id(self.clock.time + error, number)
        self.request_ids.append(f"{HOME}.{made}" if prefix else made)
        return self.request_ids[-1]

    def claim(self, entry_id, request_id, holder="h1", attempt=0):
        claims = self.entry_by_id[entry_id].claims
        code = claims.claim(request_id, holder, attempt).code
        if code == "claimed":
            assert request_id not in self.claim_by_request_id, "granted twice"
            number = max(attempt, 1)
            refused = self.refused_attempt_by_request_id.get(request_id, 0)
            assert number > refused, "not_run was false"
            self.claim_by_request_id[request_id] = (entry_id, holder, number)
            self.grant_count += 1
        return code

    def next_attempt(self, request_id):
        """Returns the attempt number of a caller that sends an id again."""
        return self.refused_attempt_by_request_id.get(request_id, 0) + 1

    def end(self, request_id, outcome):
        """Ends a request; `send_end` can repeat the message to the owner.

        After `NOT_RUN` the caller may rely on it: neither this attempt nor
        an equal or lower one of the id runs any more.
        """
        entry_id, holder, number = self.claim_by_request_id[request_id]
        if outcome is Outcome.NOT_RUN:
            del self.claim_by_request_id[request_id]
            self.refused_attempt_by_request_id[request_id] = number
        self.ends.append((entry_id, request_id, holder, outcome))
        self.send_end(-1)

    def send_end(self, index):
        entry_id, request_id, holder, outcome = self.ends[index]
        if entry_id in self.entry_by_id:
            claims = self.entry_by_id[entry_id].claims
            claims.end(request_id, holder, outcome)
