"""Classifies tasks by the share of a worker that they occupy."""

import enum

from sardinedrift.engine.model import Size

# A worker holds at least eight small tasks, and at most two large ones.
SMALL_SHARE = 1 / 8
LARGE_SHARE = 1 / 3


class TaskSize(enum.Enum):
    """Size of a task relative to a worker."""

    SMALL = "small"
    MEDIUM = "medium"
    LARGE = "large"


def size_class(size: Size, capacity: Size) -> TaskSize:
    """Returns the class of a size by the resource of which it takes most."""
    share = max(
        size.cpu / max(1, capacity.cpu),
        size.memory_mb / max(1, capacity.memory_mb),
        size.accelerators / max(1, capacity.accelerators),
    )
    if share <= SMALL_SHARE:
        return TaskSize.SMALL
    return TaskSize.LARGE if share > LARGE_SHARE else TaskSize.MEDIUM
