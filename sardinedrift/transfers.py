"""Units that this entry has locked because it gives or returns them."""

import math
import uuid
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from sardinedrift import changes as ch
from sardinedrift.fold import RESULT_LIFETIME_SECONDS
from sardinedrift.follower import Follower
from sardinedrift.identifiers import ChangeId, EntryId, TeamId


class _Transfer(NamedTuple):
    """Units under way; `publish_until` is inf before an append may exist."""

    change: ch.AllowanceGive | ch.AllowanceReturn
    publish_until: float = math.inf


class Transfers:
    """Locked units, until the fold shows what became of them.

    Args:
        entry_id: this entry.
        follower: tells the result of a change id with `result_of`.
    """

    def __init__(self, entry_id: EntryId, follower: Follower):
        self._entry_id = entry_id
        self._follower = follower
        self._locked_by_team: Counter[TeamId] = Counter()
        self._transfer_by_id: dict[ChangeId, _Transfer] = {}

    def locked(self, team_id: TeamId) -> int:
        """Returns the units of a team that must not be used."""
        return self._locked_by_team[team_id]

    def give(self, receiver: EntryId, units_by_team: dict[TeamId, int]) -> None:
        """Locks units for a peer; published with the next batch."""
        change = ch.AllowanceGive(
            change_id=self.fresh_id(),
            giver_id=self._entry_id,
            receiver_id=receiver,
            units_by_team=units_by_team,
        )
        self._lock(change)

    def give_back(self, units_by_team: dict[TeamId, int]) -> None:
        """Locks units to return them to the limit."""
        change = ch.AllowanceReturn(
            change_id=self.fresh_id(),
            entry_id=self._entry_id,
            units_by_team=units_by_team,
        )
        self._lock(change)

    def unsettled(self, now: float) -> Iterator[ch.AnyChange]:
        """Yields the changes to publish, again or for the first time.

        A change is not published again when the fold may have forgotten its
        first result, because it would then be applied twice. One that was
        never appended is published however long the log was down.
        """
        self.settle()
        for transfer in self._transfer_by_id.values():
            if now < transfer.publish_until:
                yield transfer.change

    def note_unknown(self, batch: Iterable[ch.AnyChange], now: float) -> None:
        """Notes that changes may be in the log, from a time on at the earliest.

        Args:
            batch: what was published.
            now: unix seconds before the first append.
        """
        until = now + RESULT_LIFETIME_SECONDS / 2
        for change in batch:
            known = self._transfer_by_id.get(change.change_id)
            if known and known.publish_until == math.inf:
                transfer = _Transfer(known.change, until)
                self._transfer_by_id[change.change_id] = transfer

    def cancel(self, batch: Iterable[ch.AnyChange]) -> None:
        """Unlocks the changes of a batch that were never appended.

        Those that an earlier append may have put into the log stay locked.
        """
        for change in batch:
            transfer = self._transfer_by_id.get(change.change_id)
            if transfer and transfer.publish_until == math.inf:
                self._unlock(transfer)

    def settle(self) -> None:
        """Unlocks what the fold has given away or refused to give."""
        for change_id, transfer in list(self._transfer_by_id.items()):
            if self._follower.result_of(change_id) is not None:
                self._unlock(transfer)

    def drop_refused(self, results: list[ch.Result]) -> None:
        """Unlocks what was refused before it was appended.

        A receiver was a member when the units were locked, so a refusal means
        that it has ended. That is final: no earlier append of the same change
        can still be accepted.
        """
        for result in results:
            transfer = self._transfer_by_id.get(result.change_id)
            if transfer and not result.accepted:
                self._unlock(transfer)

    def fresh_id(self) -> ChangeId:
        """Returns a new change id."""
        return ChangeId(f"{self._entry_id}-{uuid.uuid4().hex}")

    def _unlock(self, transfer: _Transfer) -> None:
        del self._transfer_by_id[transfer.change.change_id]
        self._locked_by_team.subtract(transfer.change.units_by_team)

    def _lock(self, change: ch.AllowanceGive | ch.AllowanceReturn) -> None:
        self._transfer_by_id[change.change_id] = _Transfer(change)
        self._locked_by_team.update(change.units_by_team)
