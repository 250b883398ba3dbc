"""Availability budgets of pools, counted in the folded state.

The own instances of a pool are those that belong to it, less the ones lent to
it, plus the ones it has lent. At least its number of own instances less
`max_unavailable` stay available through every wave: own instances that are
unavailable or lent lower that number, lent instances that are up raise it.
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
    """How much of the budgets of a pool is used.

    Attributes:
        unavailable: own instances that are unavailable or lent.
        lent: available instances that the pool has borrowed.
        unavailable_by_rack: own instances by rack; the rack budget is never
            raised by borrowed instances, which stand in other racks.
    """

    unavailable: int
    lent: int
    unavailable_by_rack: collections.Counter[Rack]


def rack_of(instance: objects.Instance) -> Rack:
    """Returns the rack of an instance, unique across data centres."""
    return instance.data_centre_id, instance.rack


def usage(
    state: State, pool_id: PoolId, without: InstanceId | None = None
) -> Usage:
    """Counts the use of the budgets of a pool, one instance excepted."""
    by_rack: collections.Counter[Rack] = collections.Counter()
    lent = 0
    for instance in _counted(state, pool_id):
        if instance.instance_id == without:
            continue
        here = instance.pool_id == pool_id and instance.available
        if instance.home_pool_id != pool_id:
            lent += here
        elif not here:
            by_rack[rack_of(instance)] += 1
    return Usage(by_rack.total(), lent, by_rack)


def _counted(state: State, pool_id: PoolId) -> Iterator[objects.Instance]:
    yield from state.instances_of(pool_id)
    for instance in state.lent_instances():
        if instance.lent_from == pool_id and instance.pool_id != pool_id:
            yield instance


def check_take(state: State, instance: objects.Instance) -> None:
    """Raises StateError when making one unavailable would break a budget.

    The instance is an own one of its pool, or one lent to it. One that is
    lent and unavailable raises no budget, so it may always leave.
    """
    if instance.home_pool_id != instance.pool_id and not instance.available:
        return
    pool = state.tables.pool_by_id[instance.pool_id]
    used = usage(state, pool.pool_id, without=instance.instance_id)
    own = instance.home_pool_id == pool.pool_id
    allowed = pool.max_unavailable + used.lent
    if used.unavailable + own > allowed:
        raise StateError(
            "budget_exhausted",
            f"{used.unavailable} instances of pool {pool.pool_id} are "
            f"unavailable; its budget is {pool.max_unavailable}, raised by "
            f"{used.lent} lent instances",
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
    """Tells whether a wave runs in a pool."""
    return any(
        wave.pool_id == pool_id and wave.state is WaveState.RUNNING
        for wave in state.tables.wave_by_id.values()
    )


def borrowed_instances(state: State, wave_id: WaveId) -> list[objects.Instance]:
    """Returns the instances lent to a wave or on their way, in id order."""
    return [e for e in state.lent_instances() if e.lent_wave_id == wave_id]
