"""Availability budgets of pools, counted in the folded state.

The own instances of a pool are those in it, less the ones it has borrowed,
plus the ones it has lent. During a wave at least this number less
`max_unavailable` instances stay available: own instances that are unavailable
or lent reduce the available ones, borrowed instances that are available
increase them.
"""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift import objects
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import (
    DataCentreId,
    InstanceId,
    PoolId,
    WaveId,
    WaveState,
)
from sardinedrift.state import State

Rack = tuple[DataCentreId, str]


class Usage(NamedTuple):
    """Use of the budgets of a pool.

    Attributes:
        unavailable: own instances that are unavailable or lent.
        borrowed: available instances that the pool has borrowed.
        unavailable_by_rack: the same own instances by rack. Borrowed
            instances never raise a rack budget, as they are in other racks.
    """

    unavailable: int
    borrowed: int
    unavailable_by_rack: collections.Counter[Rack]


def rack_of(instance: objects.Instance) -> Rack:
    """Returns the rack of an instance, unique across data centres."""
    return instance.data_centre_id, instance.rack


def usage(
    state: State, pool_id: PoolId, without: InstanceId | None = None
) -> Usage:
    """Counts the use of the budgets of a pool.

    Args:
        state: the folded state.
        pool_id: the pool.
        without: instance that is not counted, or None.
    """
    by_rack: collections.Counter[Rack] = collections.Counter()
    borrowed = 0
    for instance in _own_and_borrowed(state, pool_id):
        if instance.instance_id == without:
            continue
        available = instance.pool_id == pool_id and instance.available
        if instance.home_pool_id != pool_id:
            borrowed += available
        elif not available:
            by_rack[rack_of(instance)] += 1
    return Usage(by_rack.total(), borrowed, by_rack)


def _own_and_borrowed(
    state: State, pool_id: PoolId
) -> Iterator[objects.Instance]:
    yield from state.instances_of(pool_id)
    for instance in state.lent_instances():
        if instance.lent_from == pool_id and instance.pool_id != pool_id:
            yield instance


def check_budgets(state: State, instance: objects.Instance) -> None:
    """Checks that an instance may become unavailable to its pool.

    The instance is an own one of the pool or a borrowed one. A borrowed
    instance that is unavailable raises no budget, so it may always leave.

    Raises:
        StateError: a budget would be exceeded.
    """
    if instance.home_pool_id != instance.pool_id and not instance.available:
        return
    pool = state.tables.pool_by_id[instance.pool_id]
    used = usage(state, pool.pool_id, without=instance.instance_id)
    own = instance.home_pool_id == pool.pool_id
    allowed = pool.max_unavailable + used.borrowed
    if used.unavailable + own > allowed:
        raise StateError(
            "budget_exhausted",
            f"{used.unavailable} instances of pool {pool.pool_id} are "
            f"unavailable; its budget is {pool.max_unavailable}, raised by "
            f"{used.borrowed} lent instances",
            "instance_id",
        )
    in_rack = used.unavailable_by_rack[rack_of(instance)]
    if own and in_rack + 1 > pool.max_unavailable_per_rack:
        raise StateError(
            "budget_exhausted",
            f"{in_rack} instances of rack {instance.rack} are unavailable; "
            f"its budget is {pool.max_unavailable_per_rack}",
            "instance_id",
        )


def has_running_wave(state: State, pool_id: PoolId) -> bool:
    """Returns whether a pool has a running wave."""
    return any(
        wave.pool_id == pool_id and wave.state is WaveState.RUNNING
        for wave in state.tables.wave_by_id.values()
    )


def borrowed_instances(state: State, wave_id: WaveId) -> list[objects.Instance]:
    """Returns the instances that a wave borrows, in id order.

    Instances that still move to the pool of the wave or back are included.
    """
    return [e for e in state.lent_instances() if e.lent_wave_id == wave_id]
