"""Entries of one data centre that own claims, and owners without a rule."""

from sardinedrift import changes as ch
from sardinedrift import membership
from sardinedrift.claims import Claims
from sardinedrift.identifiers import EntryState, Outcome
from tests.decision_fakes import (
    FakeClock,
    FakeFollower,
    FakeLog,
    ack,
    cid,
    gone,
    identity,
    join,
    request_id,
)

HOME = "dc1"


class NoJoinRule(Claims):
    """Serves the ids of a joiner until its activation is folded."""

    def _owns(self, state, data_centre_id, request_id, entry_id):
        return membership.owner(state, data_centre_id, request_id) == entry_id


class NoHistoryRule(Claims):
    """Grants ids that an earlier owner may have granted."""

    def _owned_since_made(self, state, data_centre_id, request_id, entry_id):
        return True


class NoStop(Claims):
    """Grants ids while its leave is on the way to the log."""

    def stop(self):
        pass


class ReleasesTwice(Claims):
    """Takes a repeated message about an earlier claim for the later one."""

    def end(self, request_id, holder, outcome):
        claim = self._claim_by_id.get(request_id)
        if claim:
            claim.released_by.clear()
        super().end(request_id, holder, outcome)


class Unfenced(Claims):
    """Fences no attempt."""

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
                change_id=cid(),
                expected_revision=0,
                data_centre_id=HOME,
                region="north",
            )
        )
        self.entry_by_id = {}
        self.made = []
        self.claim_by_name = {}
        self.refused_by_name = {}
        self.ends = []
        self.count = 0
        self.granted = 0
        self.join()
        self.clock.time += 5.0

    def join(self):
        entry_id = f"e{self.count}"
        self.count += 1
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
        """Shows an entry gone after its process has ended."""
        del self.entry_by_id[entry_id]
        self.log.append(gone(entry_id))

    def stop(self, entry_id):
        self.entry_by_id[entry_id].claims.stop()

    def leave(self, entry_id):
        self.log.append(ch.EntryLeave(change_id=cid(), entry_id=entry_id))

    def make(self, error=0.0, prefix=True):
        number = len(self.made)
        made = request_id(self.clock.time + error, number)
        self.made.append(f"{HOME}.{made}" if prefix else made)
        return self.made[-1]

    def claim(self, entry_id, name, holder="h1", attempt=0):
        claims = self.entry_by_id[entry_id].claims
        code = claims.claim(name, holder, attempt).code
        if code == "claimed":
            assert name not in self.claim_by_name, "granted twice"
            number = max(attempt, 1)
            refused = self.refused_by_name.get(name, 0)
            assert number > refused, "not_run was false"
            self.claim_by_name[name] = (entry_id, holder, number)
            self.granted += 1
        return code

    def next_attempt(self, name):
        """Returns the number with which a caller sends an id again."""
        return self.refused_by_name.get(name, 0) + 1

    def end(self, name, outcome):
        """Ends a request; the message to the owner can be sent again.

        After `NOT_RUN` the caller may rely on it: neither this attempt nor
        an equal or lower one of the id runs any more.
        """
        entry_id, holder, number = self.claim_by_name[name]
        if outcome is Outcome.NOT_RUN:
            del self.claim_by_name[name]
            self.refused_by_name[name] = number
        self.ends.append((entry_id, name, holder, outcome))
        self.send_end(-1)

    def send_end(self, index):
        entry_id, name, holder, outcome = self.ends[index]
        if entry_id in self.entry_by_id:
            claims = self.entry_by_id[entry_id].claims
            claims.end(name, holder, outcome)
