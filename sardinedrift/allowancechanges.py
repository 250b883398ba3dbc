"""Typed changes of allowances; `changes` offers them with all others.

They carry a number of their publisher instead of a change id, because the
fold keeps one number per publisher in place of the results of all changes.
"""

import msgspec

from sardinedrift.identifiers import ChangeId, EntryId, TeamId


class AllowanceChange(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True
):
    """Base of the changes of allowances.

    Attributes:
        publisher_id: the member that publishes the change.
        sequence: grows with each change of the publisher, from 1 on; never
            used for another change.
    """

    publisher_id: EntryId
    sequence: int
    units_by_team: dict[TeamId, int]

    @property
    def change_id(self) -> ChangeId:
        """Id of the change, for waiting on its result."""
        return ChangeId(f"{self.publisher_id}/{self.sequence}")


class AllowanceTake(AllowanceChange, frozen=True, kw_only=True):
    """Takes units from the unallocated rest of limits, as far as it goes.

    Attributes:
        receiver_id: gets the units; None: the publisher.
    """

    receiver_id: EntryId | None = None


class AllowanceGive(AllowanceChange, frozen=True, kw_only=True):
    """Gives units, already locked by the publisher, to another entry."""

    receiver_id: EntryId


class AllowanceReturn(AllowanceChange, frozen=True, kw_only=True):
    """Gives units, already locked by the publisher, back to the limit."""
