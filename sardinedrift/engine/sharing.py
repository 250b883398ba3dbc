"""Shares the machines between the pools; performs no I/O."""

from collections.abc import Mapping

from sardinedrift.engine.demand import MachineNeed
from sardinedrift.identifiers import PoolId


def share_machines(
    need_by_pool: Mapping[PoolId, MachineNeed], machines: int
) -> dict[PoolId, MachineNeed]:
    """Returns how much of its need each pool may have.

    Work that can be on time comes first, so that a backlog which is late does
    not make the work of other pools late. Both shares are max-min fair: a pool
    whose need is small gets it in full, whatever the others need.

    Args:
        need_by_pool: need of each pool.
        machines: number of machines to share.
    """
    on_time_by_pool = _share(
        {pool_id: need.on_time for pool_id, need in need_by_pool.items()},
        machines,
    )
    late_by_pool = _share(
        {
            pool_id: need.total - on_time_by_pool[pool_id]
            for pool_id, need in need_by_pool.items()
        },
        machines - sum(on_time_by_pool.values()),
    )
    return {
        pool_id: MachineNeed(on_time, on_time + late_by_pool[pool_id])
        for pool_id, on_time in on_time_by_pool.items()
    }


def _share(need_by_pool: dict[PoolId, int], machines: int) -> dict[PoolId, int]:
    """Returns max-min fair shares, in whole machines."""
    share_by_pool: dict[PoolId, int] = {}
    ascending = sorted(need_by_pool, key=lambda pool_id: need_by_pool[pool_id])
    for index, pool_id in enumerate(ascending):
        equal_share = machines // (len(ascending) - index)
        share = min(need_by_pool[pool_id], equal_share)
        share_by_pool[pool_id] = share
        machines -= share
    return share_by_pool
