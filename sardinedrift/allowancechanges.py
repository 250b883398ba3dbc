"""Allowance changes; `changes` exports them with all other change types.

They carry a sequence number of their publisher instead of a change id, so that
the fold keeps one number per publisher instead of one result per change.
"""

import msgspec

from sardinedrift.identifiers import ChangeId, EntryId, TeamId


class AllowanceChange(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, omit_defaults=True
):
    """Base of the allowance changes.

    Attributes:
        publisher_id: the member that publishes the change.
        sequence: number of the change; starts at 1, increases with each change
            of the publisher and is never reused.
        units_by_team: number of units to take, give or return.
    """

    publisher_id: EntryId
    sequence: int
    units_by_team: dict[TeamId, int]

    @property
    def change_id(self) -> ChangeId:
        """The change id under which publishers wait for the result."""
        return ChangeId(f"{self.publisher_id}/{self.sequence}")


class AllowanceTake(AllowanceChange, frozen=True, kw_only=True):
    """Takes units from the unallocated part of limits.

    When fewer units are unallocated, only those are taken.

    Attributes:
        receiver_id: the entry that receives the units; None: the publisher.
    """

    receiver_id: EntryId | None = None


class AllowanceGive(AllowanceChange, frozen=True, kw_only=True):
    """Transfers units, locked by the publisher, to another entry.

    Attributes:
        receiver_id: the entry that receives the units.
    """

    receiver_id: EntryId


class AllowanceReturn(AllowanceChange, frozen=True, kw_only=True):
    """Returns units, locked by the publisher, to the team limit."""
