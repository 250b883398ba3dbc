"""Base classes of the typed changes."""

import msgspec

from sardinedrift.identifiers import ChangeId


class Change(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all changes."""

    change_id: ChangeId


class OperatorChange(Change, frozen=True, kw_only=True):
    """A change by an operator, accepted only at one revision of its object.

    Attributes:
        expected_revision: revision of the object that the operator has read;
            0 when the object must not exist.
    """

    expected_revision: int
