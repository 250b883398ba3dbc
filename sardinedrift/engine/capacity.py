"""Decides which machines move between pools; performs no I/O."""

from collections.abc import Callable, Iterator

import msgspec

from sardinedrift.engine.model import MachineId
from sardinedrift.identifiers import PoolId

# Idle time after which a machine may move to another pool that needs it.
TRANSFER_IDLE_S = 0.2
# Idle time after which a machine moves to the spare pool: a move costs about as
# much as one second in another pool.
SWITCH_OFF_IDLE_S = 1.0
# Long-running tasks are consolidated on fewer machines after this long: each
# task is briefly unavailable while it moves, and a burst would spread the tasks
# out again.
CONSOLIDATION_DELAY_S = 3.0
# A machine whose tasks take longer to end would join the other pool too late.
MAX_SHORT_TASKS_S = 1.5


class MachineView(msgspec.Struct, frozen=True):
    """State of a machine, as input to the decision.

    Attributes:
        idle_s: seconds without a running task; None if tasks run or its worker
            is not known yet.
        off: whether it is in the spare pool, where machines are switched off.
        drainable_s: seconds during which it has run only long-running tasks
            that another worker of its pool has the capacity for; None
            otherwise.
        short_tasks_s: estimated seconds until its tasks end, if it has tasks
            and all of them are short; None otherwise.
        evacuated: its data centre is being evacuated, so it serves no pool.
    """

    machine_id: MachineId
    pool_id: PoolId
    idle_s: float | None
    off: bool
    drainable_s: float | None = None
    short_tasks_s: float | None = None
    evacuated: bool = False


class Move(msgspec.Struct, frozen=True):
    """Decision to move a machine to a pool.

    Attributes:
        drains: the machine has short tasks, which end before it moves.
    """

    machine_id: MachineId
    pool_id: PoolId
    drains: bool = False


class CapacityState(msgspec.Struct, frozen=True):
    """Machines, and the number that each pool has and needs.

    Attributes:
        machines: machines that are up and without an operation in progress.
        count_by_pool: number of machines in each pool, including machines that
            are moving into it and excluding machines that are moving out and
            those of evacuated data centres.
        need_by_pool: number of machines that each pool in use needs; its share
            of them while there are too few.
        spare_pool_id: pool whose machines are switched off, or None.
        is_allowed: returns whether a machine may be moved to a pool.
        on_time_by_pool: the part of `need_by_pool` for work that can be on
            time.
    """

    machines: list[MachineView]
    count_by_pool: dict[PoolId, int]
    need_by_pool: dict[PoolId, int]
    spare_pool_id: PoolId | None
    is_allowed: Callable[[MachineId, PoolId], bool]
    on_time_by_pool: dict[PoolId, int] = {}


def decide_moves(state: CapacityState) -> list[Move]:
    """Returns moves to pools that lack machines, then to the spare pool."""
    count_by_pool = dict(state.count_by_pool)
    available = {machine.machine_id: machine for machine in state.machines}
    moves: list[Move] = []
    for pool_id in _by_shortage(state.need_by_pool, count_by_pool):
        while count_by_pool.get(pool_id, 0) < state.need_by_pool[pool_id]:
            donor = _choose_donor(state, count_by_pool, available, pool_id)
            if donor is None:
                break
            moves.append(Move(donor.machine_id, pool_id))
            count_by_pool[donor.pool_id] -= 1
            count_by_pool[pool_id] = count_by_pool.get(pool_id, 0) + 1
            del available[donor.machine_id]
    moves += _drain_late_work(state, count_by_pool, available)
    return moves + _switch_off(state, count_by_pool, available)


def _by_shortage(
    need_by_pool: dict[PoolId, int], count_by_pool: dict[PoolId, int]
) -> list[PoolId]:
    """Returns the pools, those that lack the most machines first."""
    return sorted(
        need_by_pool,
        key=lambda pool_id: (
            count_by_pool.get(pool_id, 0) - need_by_pool[pool_id]
        ),
    )


def _drain_late_work(
    state: CapacityState,
    count_by_pool: dict[PoolId, int],
    available: dict[MachineId, MachineView],
) -> Iterator[Move]:
    """Yields moves of machines that are busy with late work.

    They go to pools that lack machines for work which can be on time, and are
    taken only from pools that have more than they need for such work.
    """
    on_time = state.on_time_by_pool
    donors = sorted(
        (
            machine
            for machine in available.values()
            if not machine.evacuated
            and machine.short_tasks_s is not None
            and machine.short_tasks_s <= MAX_SHORT_TASKS_S
        ),
        key=lambda machine: (machine.short_tasks_s, machine.machine_id),
    )
    for pool_id in _by_shortage(on_time, count_by_pool):
        for machine in donors:
            if count_by_pool.get(pool_id, 0) >= on_time[pool_id]:
                break
            needed_there = on_time.get(machine.pool_id, 0)
            if (
                machine.machine_id in available
                and machine.pool_id != pool_id
                and count_by_pool.get(machine.pool_id, 0) > needed_there
                and state.is_allowed(machine.machine_id, pool_id)
            ):
                count_by_pool[machine.pool_id] -= 1
                count_by_pool[pool_id] = count_by_pool.get(pool_id, 0) + 1
                del available[machine.machine_id]
                yield Move(machine.machine_id, pool_id, drains=True)


def _choose_donor(
    state: CapacityState,
    count_by_pool: dict[PoolId, int],
    available: dict[MachineId, MachineView],
    pool_id: PoolId,
) -> MachineView | None:
    candidates = [
        machine
        for machine in available.values()
        if machine.pool_id != pool_id
        and not machine.evacuated
        and state.is_allowed(machine.machine_id, pool_id)
        and (
            machine.off
            or (
                _is_idle(machine, TRANSFER_IDLE_S)
                and _surplus(state, count_by_pool, machine.pool_id) > 0
            )
        )
    ]
    # Idle machines of other pools come first: unlike machines that are off,
    # they incur a cost where they are.
    return min(
        candidates,
        key=lambda machine: (machine.off, machine.machine_id),
        default=None,
    )


def _switch_off(
    state: CapacityState,
    count_by_pool: dict[PoolId, int],
    available: dict[MachineId, MachineView],
) -> list[Move]:
    spare_pool_id = state.spare_pool_id
    if spare_pool_id is None:
        return []
    moves = []
    for machine in available.values():
        if (
            not machine.off
            and _is_idle(machine, SWITCH_OFF_IDLE_S)
            and state.is_allowed(machine.machine_id, spare_pool_id)
        ):
            if not machine.evacuated:
                if _surplus(state, count_by_pool, machine.pool_id) <= 0:
                    continue
                count_by_pool[machine.pool_id] -= 1
            moves.append(Move(machine.machine_id, spare_pool_id))
    return moves + _consolidate(state, count_by_pool, available, spare_pool_id)


def _consolidate(
    state: CapacityState,
    count_by_pool: dict[PoolId, int],
    available: dict[MachineId, MachineView],
    spare_pool_id: PoolId,
) -> list[Move]:
    """Returns at most one move per pool, of a machine that can be drained."""
    move_by_pool: dict[PoolId, Move] = {}
    for machine in available.values():
        if (
            not machine.evacuated
            and machine.drainable_s is not None
            and machine.drainable_s >= CONSOLIDATION_DELAY_S
            and _surplus(state, count_by_pool, machine.pool_id) > 0
            and state.is_allowed(machine.machine_id, spare_pool_id)
        ):
            move_by_pool.setdefault(
                machine.pool_id, Move(machine.machine_id, spare_pool_id)
            )
    return list(move_by_pool.values())


def _surplus(
    state: CapacityState, count_by_pool: dict[PoolId, int], pool_id: PoolId
) -> int:
    return count_by_pool.get(pool_id, 0) - state.need_by_pool.get(pool_id, 0)


def _is_idle(machine: MachineView, duration_s: float) -> bool:
    return machine.idle_s is not None and machine.idle_s >= duration_s
