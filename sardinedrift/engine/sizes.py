"""Arithmetic of requested and available resources."""

from collections.abc import Collection

from sardinedrift.engine.model import Size, Step


def occupied_by(step: Step) -> Size:
    """Returns the capacity that a task of a step occupies on its worker."""
    if not step.fills:
        return step.size
    return Size(0, step.size.memory_mb, step.size.accelerators)


def add_size(total: Size, size: Size, sign: int = 1) -> Size:
    """Returns the sum of two sizes; a `sign` of -1 subtracts the second."""
    return Size(
        total.cpu + sign * size.cpu,
        total.memory_mb + sign * size.memory_mb,
        total.accelerators + sign * size.accelerators,
    )


def fits_into(size: Size, free: Size) -> bool:
    """Whether a size is available in some free capacity."""
    return (
        size.cpu <= free.cpu
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def fits_when_empty(
    step: Step, capacity: Size, labels: Collection[str]
) -> bool:
    """Whether a task of a step may run on an empty worker.

    Args:
        step: the step.
        capacity: capacity of the worker or machine.
        labels: its labels.
    """
    return (
        (step.fills or step.size.cpu <= capacity.cpu)
        and step.size.memory_mb <= capacity.memory_mb
        and step.size.accelerators <= capacity.accelerators
        and (not step.label or step.label in labels)
    )


def multiply_size(size: Size, count: int) -> Size:
    """Returns the total of a number of equal sizes."""
    return Size(
        size.cpu * count, size.memory_mb * count, size.accelerators * count
    )


def smaller_of(first: Size, second: Size) -> Size:
    """Returns the smaller value of each resource."""
    return Size(
        min(first.cpu, second.cpu),
        min(first.memory_mb, second.memory_mb),
        min(first.accelerators, second.accelerators),
    )
