"""Slots in use, as known to a scheduler."""

import collections
from collections.abc import Hashable, Iterable

from sardinedrift.identifiers import (
    EntryId,
    GrantId,
    InstanceId,
    WorkClass,
)
from sardinedrift.messages import HeldGrant

# A grant missing from a single report may not be lost: the entry may have made
# that report before it received the grant.
REPORTS_UNTIL_LOST = 2
# Ended ids are kept so that a delayed repetition of a request takes no slot.
_MAX_ENDED = 20_000


class Grants:
    """Grants in use, counted per minion and work class.

    Attributes:
        running_by_instance: number of grants in use, by minion.
        running_by_class: number of grants in use, by work class.
    """

    def __init__(self):
        self.running_by_instance: collections.Counter[InstanceId] = (
            collections.Counter()
        )
        self.running_by_class: collections.Counter[WorkClass] = (
            collections.Counter()
        )
        self._grant_by_id: dict[GrantId, HeldGrant] = {}
        self._address_by_id: dict[GrantId, str] = {}
        self._missed_reports_by_id: dict[GrantId, int] = {}
        self._ids_by_entry: dict[EntryId, set[GrantId]] = {}
        self._entry_by_id: dict[GrantId, EntryId] = {}
        self._ended: dict[GrantId, None] = {}

    def __len__(self) -> int:
        return len(self._grant_by_id)

    def get(self, grant_id: GrantId) -> HeldGrant | None:
        """Returns a grant in use, or None."""
        return self._grant_by_id.get(grant_id)

    def address_of(self, grant_id: GrantId) -> str:
        """Returns the address of the minion of a grant; "" when unknown."""
        return self._address_by_id.get(grant_id, "")

    def ended_recently(self, grant_id: GrantId) -> bool:
        """Returns whether a grant or a request has ended recently."""
        return grant_id in self._ended

    def add(self, entry_id: EntryId, grant: HeldGrant, address: str) -> None:
        """Counts a slot as in use."""
        self._grant_by_id[grant.grant_id] = grant
        self._address_by_id[grant.grant_id] = address
        self._missed_reports_by_id[grant.grant_id] = 0
        self._entry_by_id[grant.grant_id] = entry_id
        self._ids_by_entry.setdefault(entry_id, set()).add(grant.grant_id)
        self.running_by_instance[grant.instance_id] += 1
        self.running_by_class[grant.work_class] += 1

    def mark_ended(self, grant_id: GrantId) -> None:
        """Records a grant or a slot request that its entry has ended."""
        self._ended[grant_id] = None
        if len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]

    def end(self, grant_id: GrantId) -> HeldGrant | None:
        """Frees a slot.

        Returns:
            Its grant, or None when it was not in use.
        """
        grant = self._grant_by_id.pop(grant_id, None)
        if grant is None:
            return None
        del self._address_by_id[grant_id]
        del self._missed_reports_by_id[grant_id]
        entry_id = self._entry_by_id.pop(grant_id)
        self._ids_by_entry[entry_id].discard(grant_id)
        if not self._ids_by_entry[entry_id]:
            del self._ids_by_entry[entry_id]
        _decrease(self.running_by_instance, grant.instance_id)
        _decrease(self.running_by_class, grant.work_class)
        return grant

    def ids_of_entry(self, entry_id: EntryId) -> list[GrantId]:
        """Returns the ids of the grants of one entry."""
        return list(self._ids_by_entry.get(entry_id, ()))

    def record_report(
        self, entry_id: EntryId, listed: Iterable[GrantId]
    ) -> list[GrantId]:
        """Records a report of an entry about the grants that it holds.

        Args:
            entry_id: the entry.
            listed: ids of the grants in the report.

        Returns:
            Ids of the grants missing from `REPORTS_UNTIL_LOST` consecutive
            reports; they count as lost.
        """
        listed = set(listed)
        lost = []
        for grant_id in self.ids_of_entry(entry_id):
            if grant_id in listed:
                self._missed_reports_by_id[grant_id] = 0
                continue
            self._missed_reports_by_id[grant_id] += 1
            if self._missed_reports_by_id[grant_id] >= REPORTS_UNTIL_LOST:
                lost.append(grant_id)
        return lost


def _decrease(counter: collections.Counter[Hashable], key: Hashable) -> None:
    counter[key] -= 1
    if not counter[key]:
        del counter[key]
