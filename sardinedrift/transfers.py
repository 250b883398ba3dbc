"""Locks on units that this entry is giving to peers or returning."""

from collections import Counter
from collections.abc import Iterable, Iterator

from sardinedrift import changes as ch
from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryId, TeamId


class Transfers:
    """Transfers in progress, whose units stay locked until they are folded.

    This class assigns the sequence numbers of all allowance changes of the
    entry. A number is never reused, not even after a cancellation: only
    changes that are in no record of the log are cancelled, so their numbers
    remain gaps.

    Args:
        entry_id: this entry.
        follower: provides the highest folded sequence number of this entry.
    """

    def __init__(self, entry_id: EntryId, follower: Follower):
        self._entry_id = entry_id
        self._follower = follower
        self._last_sequence = 0
        self._locked_by_team: Counter[TeamId] = Counter()
        # In ascending order of sequence number.
        self._transfer_by_sequence: dict[
            int, ch.AllowanceGive | ch.AllowanceReturn
        ] = {}
        self._maybe_appended: set[int] = set()

    def locked(self, team_id: TeamId) -> int:
        """Returns the locked units of a team, which must not be used."""
        return self._locked_by_team[team_id]

    def take(
        self, receiver: EntryId, units_by_team: dict[TeamId, int]
    ) -> ch.AllowanceTake:
        """Creates a take for this entry or a peer; it locks no units."""
        return ch.AllowanceTake(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            receiver_id=None if receiver == self._entry_id else receiver,
            units_by_team=units_by_team,
        )

    def give(self, receiver: EntryId, units_by_team: dict[TeamId, int]) -> None:
        """Locks units for a peer; the next batch publishes the transfer."""
        change = ch.AllowanceGive(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            receiver_id=receiver,
            units_by_team=units_by_team,
        )
        self._lock(change)

    def return_units(self, units_by_team: dict[TeamId, int]) -> None:
        """Locks units; the next batch returns them to the team limit."""
        change = ch.AllowanceReturn(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            units_by_team=units_by_team,
        )
        self._lock(change)

    def unsettled(self) -> Iterator[ch.AllowanceGive | ch.AllowanceReturn]:
        """Yields all transfers that are not known to be folded.

        Every batch must contain all of them, in this order and before any
        take. Otherwise a later number, once folded, would mark an earlier
        transfer as settled that is in no record.
        """
        self.settle()
        yield from self._transfer_by_sequence.values()

    def mark_unknown(self, batch: Iterable[AllowanceChange]) -> None:
        """Marks the transfers of a batch as possibly appended to the log."""
        for change in batch:
            if change.sequence in self._transfer_by_sequence:
                self._maybe_appended.add(change.sequence)

    def cancel(self, batch: Iterable[AllowanceChange]) -> None:
        """Cancels the transfers of a batch that were never appended.

        Their units are unlocked. Transfers that an earlier append may have
        written to the log stay locked.
        """
        for change in batch:
            unsettled = change.sequence in self._transfer_by_sequence
            if unsettled and change.sequence not in self._maybe_appended:
                self._unlock(change.sequence)

    def settle(self) -> None:
        """Unlocks the units of transfers that were folded or refused."""
        rows = self._follower.state.tables.sequence_by_publisher
        folded = rows.get(self._entry_id, 0)
        for sequence in list(self._transfer_by_sequence):
            if sequence > folded:
                break
            self._unlock(sequence)

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence

    def _lock(self, change: ch.AllowanceGive | ch.AllowanceReturn) -> None:
        self._transfer_by_sequence[change.sequence] = change
        self._locked_by_team.update(change.units_by_team)

    def _unlock(self, sequence: int) -> None:
        change = self._transfer_by_sequence.pop(sequence)
        self._maybe_appended.discard(sequence)
        self._locked_by_team.subtract(change.units_by_team)
