"""Selects the minions that may receive work."""

from typing import Protocol

from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    DataCentreId,
    InstanceKind,
    InstanceState,
    PoolId,
)
from sardinedrift.instancelist import InstanceView
from sardinedrift.objects import Instance
from sardinedrift.state import State


class LeavingView(Protocol):
    """The part of the instance view that this module uses."""

    def leaving(self, instance_id: str) -> bool:
        """Returns whether an instance is listed as leaving."""


def usable_instances(
    state: State,
    data_centre_id: DataCentreId,
    pool_id: PoolId,
    view: LeavingView,
) -> list[Instance]:
    """Returns the minions of a pool that may receive work now."""
    return [
        instance
        for instance in state.instances_at(data_centre_id, pool_id)
        if is_usable(instance, view)
    ]


def usable_pools(
    state: State, data_centre_id: DataCentreId, view: LeavingView
) -> list[PoolId]:
    """Returns the pools with a usable minion in a data centre."""
    return [
        pool_id
        for pool_id in state.tables.pool_by_id
        if usable_instances(state, data_centre_id, pool_id, view)
    ]


def is_usable(instance: Instance, view: LeavingView) -> bool:
    """Returns whether an instance is a minion that may receive work."""
    return (
        instance.kind is InstanceKind.MINION
        and instance.state is InstanceState.ACTIVE
        and instance.up
        and instance.slots > 0
        and not view.leaving(instance.instance_id)
    )


class UsablePools:
    """The usable pools of one data centre, cached until an input changes.

    Args:
        data_centre_id: the data centre.
        follower: holds the folded state.
        view: the instance list of the data centre.
    """

    def __init__(
        self,
        data_centre_id: DataCentreId,
        follower: Follower,
        view: InstanceView,
    ):
        self._data_centre_id = data_centre_id
        self._follower = follower
        self._view = view
        self._cache_key: tuple = ()
        self._pool_ids: list[PoolId] = []

    def ids(self) -> list[PoolId]:
        """Returns the pools with a usable minion now."""
        state = self._follower.state
        versions = state.version_by_table
        cache_key = (
            state,
            versions["instance_by_id"],
            versions["pool_by_id"],
            self._view.version,
        )
        if cache_key != self._cache_key:
            self._cache_key = cache_key
            self._pool_ids = usable_pools(
                state, self._data_centre_id, self._view
            )
        return self._pool_ids
