"""Units that this entry has locked because it gives or returns them."""

from collections import Counter
from collections.abc import Iterable, Iterator

from sardinedrift import changes as ch
from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.follower import Follower
from sardinedrift.identifiers import EntryId, TeamId


class Transfers:
    """Locked units, until the fold shows what became of them.

    The numbers of this entry's changes of allowances are made here. A number
    is never used for a second change, not even after a cancelled one: only a
    change that no record holds is cancelled, so that its number is a gap.

    Args:
        entry_id: this entry.
        follower: its state tells the highest folded number.
    """

    def __init__(self, entry_id: EntryId, follower: Follower):
        self._entry_id = entry_id
        self._follower = follower
        self._last_sequence = 0
        self._locked_by_team: Counter[TeamId] = Counter()
        # In the order of the numbers.
        self._transfer_by_sequence: dict[
            int, ch.AllowanceGive | ch.AllowanceReturn
        ] = {}
        self._maybe_appended: set[int] = set()

    def locked(self, team_id: TeamId) -> int:
        """Returns the units of a team that must not be used."""
        return self._locked_by_team[team_id]

    def take(
        self, receiver: EntryId, units_by_team: dict[TeamId, int]
    ) -> ch.AllowanceTake:
        """Returns a take for this entry or a peer; it locks nothing."""
        return ch.AllowanceTake(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            receiver_id=None if receiver == self._entry_id else receiver,
            units_by_team=units_by_team,
        )

    def give(self, receiver: EntryId, units_by_team: dict[TeamId, int]) -> None:
        """Locks units for a peer; published with the next batch."""
        change = ch.AllowanceGive(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            receiver_id=receiver,
            units_by_team=units_by_team,
        )
        self._lock(change)

    def give_back(self, units_by_team: dict[TeamId, int]) -> None:
        """Locks units to return them to the limit."""
        change = ch.AllowanceReturn(
            publisher_id=self._entry_id,
            sequence=self._next_sequence(),
            units_by_team=units_by_team,
        )
        self._lock(change)

    def unsettled(self) -> Iterator[ch.AllowanceGive | ch.AllowanceReturn]:
        """Yields the changes to publish, again or for the first time.

        Every batch must hold all of them, in this order and before takes;
        otherwise a later number would settle one that is in no record.
        """
        self.settle()
        yield from self._transfer_by_sequence.values()

    def note_unknown(self, batch: Iterable[AllowanceChange]) -> None:
        """Notes that the changes of a batch may be in the log."""
        for change in batch:
            if change.sequence in self._transfer_by_sequence:
                self._maybe_appended.add(change.sequence)

    def cancel(self, batch: Iterable[AllowanceChange]) -> None:
        """Unlocks the changes of a batch that were never appended.

        Those that an earlier append may have put into the log stay locked.
        """
        for change in batch:
            known = change.sequence in self._transfer_by_sequence
            if known and change.sequence not in self._maybe_appended:
                self._unlock(change.sequence)

    def settle(self) -> None:
        """Unlocks what the fold has given away or refused to give."""
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
