"""Which minions may receive work now."""

from sardinedrift.identifiers import (
    DataCentreId,
    InstanceKind,
    InstanceState,
    PoolId,
)
from sardinedrift.objects import Instance
from sardinedrift.state import State


def usable_instances(
    state: State, data_centre_id: DataCentreId, pool_id: PoolId, view
) -> list[Instance]:
    """Returns the minions of a pool that may receive work now."""
    return [
        instance
        for instance in state.instances_at(data_centre_id, pool_id)
        if usable(instance, view)
    ]


def usable_pools(
    state: State, data_centre_id: DataCentreId, view
) -> list[PoolId]:
    """Returns the pools with a usable minion in a data centre."""
    return [
        pool_id
        for pool_id in state.tables.pool_by_id
        if usable_instances(state, data_centre_id, pool_id, view)
    ]


def usable(instance: Instance, view) -> bool:
    """Tells whether an instance is a minion that may receive work now."""
    return (
        instance.kind is InstanceKind.MINION
        and instance.state is InstanceState.ACTIVE
        and instance.up
        and instance.slots > 0
        and not view.leaving(instance.instance_id)
    )
