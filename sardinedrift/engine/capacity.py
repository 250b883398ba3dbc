"""Which machines change their pool; without a network."""

from collections.abc import Callable

import msgspec

from sardinedrift.engine.model import MachineId
from sardinedrift.identifiers import PoolId

# An idle machine is handed over after this long when another pool needs it,
LENDING_IDLE_S = 0.2
# and put into the spare pool after this long: a move costs about as much as
# standing in a pool for a second.
PARKING_IDLE_S = 1.0
# Long-running tasks are gathered on fewer machines after this long: each is
# away for a moment, and a burst would scatter them again.
GATHERING_S = 3.0


class MachineView(msgspec.Struct, frozen=True):
    """A machine as this decision sees it.

    Attributes:
        idle_s: seconds for which nothing has run on it; None when something
            runs, or its worker is not known yet.
        off: it stands in the spare pool.
        movable_s: seconds for which only long-running tasks have run on it
            that others of its pool have room for; None otherwise.
    """

    machine_id: MachineId
    pool_id: PoolId
    idle_s: float | None
    off: bool
    movable_s: float | None = None


class Move(msgspec.Struct, frozen=True):
    """Decision to move a machine to a pool."""

    machine_id: MachineId
    pool_id: PoolId


class Stock(msgspec.Struct, frozen=True):
    """Machines and needs.

    Attributes:
        machines: those that are up and not in an operation.
        have_by_pool: machines in each pool, including those on their way in
            and without those on their way out.
        need_by_pool: machines that each pool in use needs.
        spare_pool_id: where machines are off, or None.
        allowed: tells whether a machine may stand in a pool.
    """

    machines: list[MachineView]
    have_by_pool: dict[PoolId, int]
    need_by_pool: dict[PoolId, int]
    spare_pool_id: PoolId | None
    allowed: Callable[[MachineId, PoolId], bool]


def decide_moves(stock: Stock) -> list[Move]:
    """Returns moves: first to pools in need, then to the spare pool."""
    have = dict(stock.have_by_pool)
    free = {machine.machine_id: machine for machine in stock.machines}
    moves: list[Move] = []
    lacking = sorted(
        stock.need_by_pool,
        key=lambda pool_id: have.get(pool_id, 0) - stock.need_by_pool[pool_id],
    )
    for pool_id in lacking:
        while have.get(pool_id, 0) < stock.need_by_pool[pool_id]:
            donor = _choose_donor(stock, have, free, pool_id)
            if donor is None:
                break
            moves.append(Move(donor.machine_id, pool_id))
            have[donor.pool_id] -= 1
            have[pool_id] = have.get(pool_id, 0) + 1
            del free[donor.machine_id]
    return moves + _park(stock, have, free)


def _choose_donor(
    stock: Stock,
    have: dict[PoolId, int],
    free: dict[MachineId, MachineView],
    pool_id: PoolId,
) -> MachineView | None:
    candidates = [
        machine
        for machine in free.values()
        if machine.pool_id != pool_id
        and stock.allowed(machine.machine_id, pool_id)
        and (
            machine.off
            or (
                _is_idle(machine, LENDING_IDLE_S)
                and _surplus(stock, have, machine.pool_id) > 0
            )
        )
    ]
    # One that stands in another pool costs something there; one that is off
    # does not.
    return min(
        candidates,
        key=lambda machine: (machine.off, machine.machine_id),
        default=None,
    )


def _park(
    stock: Stock,
    have: dict[PoolId, int],
    free: dict[MachineId, MachineView],
) -> list[Move]:
    spare = stock.spare_pool_id
    if spare is None:
        return []
    moves = []
    for machine in free.values():
        if (
            not machine.off
            and _is_idle(machine, PARKING_IDLE_S)
            and _surplus(stock, have, machine.pool_id) > 0
            and stock.allowed(machine.machine_id, spare)
        ):
            have[machine.pool_id] -= 1
            moves.append(Move(machine.machine_id, spare))
    return moves + _gather(stock, have, free, spare)


def _gather(
    stock: Stock,
    have: dict[PoolId, int],
    free: dict[MachineId, MachineView],
    spare: PoolId,
) -> list[Move]:
    """Returns at most one move a pool, of a machine that can be emptied."""
    move_by_pool: dict[PoolId, Move] = {}
    for machine in free.values():
        if (
            machine.movable_s is not None
            and machine.movable_s >= GATHERING_S
            and _surplus(stock, have, machine.pool_id) > 0
            and stock.allowed(machine.machine_id, spare)
        ):
            move_by_pool.setdefault(
                machine.pool_id, Move(machine.machine_id, spare)
            )
    return list(move_by_pool.values())


def _surplus(stock: Stock, have: dict[PoolId, int], pool_id: PoolId) -> int:
    return have.get(pool_id, 0) - stock.need_by_pool.get(pool_id, 0)


def _is_idle(machine: MachineView, span_s: float) -> bool:
    return machine.idle_s is not None and machine.idle_s >= span_s
