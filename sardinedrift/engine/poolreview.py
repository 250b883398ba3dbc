"""Reviews the pools and begins moves of machines between them."""

import collections
import itertools
from collections.abc import Callable, Iterator

from sardinedrift.engine.capacity import (
    CapacityState,
    MachineView,
    Move,
    decide_moves,
)
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.demand import (
    MachineNeed,
    PoolDemand,
    machines_needed,
    measure_demand,
)
from sardinedrift.engine.events import Event
from sardinedrift.engine.expectedends import ExpectedEnds
from sardinedrift.engine.fleet import Worker, total_size
from sardinedrift.engine.machineinventory import MachineInventory, Operation
from sardinedrift.engine.model import MachineId, Size
from sardinedrift.engine.ports import Machine, MachineState
from sardinedrift.engine.sharing import share_machines
from sardinedrift.engine.unplaced import machines_with_unplaced
from sardinedrift.identifiers import PoolId

# Moves begin only while fewer operations are in progress, because each one is
# polled until it completes.
MAX_OPERATIONS = 200
# A move that waits for short tasks is abandoned if they still run after this
# time, because estimates are rough.
DRAIN_TIMEOUT_S = 3.0


class PoolReview:
    """Compares the machines of each pool with its need, and begins moves.

    Args:
        control: state of the term.
        inventory: known machines and operations in progress.
        begin: begins an operation.
        is_allowed: returns whether a machine may be moved to a pool.
    """

    def __init__(
        self,
        control: ControllerState,
        inventory: MachineInventory,
        begin: Callable[[Operation], None],
        is_allowed: Callable[[MachineId, PoolId], bool],
    ):
        self._control = control
        self._inventory = inventory
        self._begin = begin
        self._is_allowed = is_allowed
        self._idle_since: dict[MachineId, float] = {}
        self._drainable_since: dict[Worker | None, float] = {}

    def review(self) -> None:
        """Begins the moves that are due."""
        state = self._capacity_state()
        slots = MAX_OPERATIONS - len(self._inventory.operation_by_id)
        for move in itertools.islice(decide_moves(state), max(0, slots)):
            self._begin_move(move, state)

    def _capacity_state(self) -> CapacityState:
        now = self._control.clock.boot()
        spare_pool_id = self._inventory.spare_pool()
        share_by_pool = self._share_by_pool(now)
        return CapacityState(
            list(self._movable_machines(spare_pool_id, now)),
            self._count_by_pool(spare_pool_id),
            {pool_id: each.total for pool_id, each in share_by_pool.items()},
            spare_pool_id,
            self._is_allowed,
            {pool_id: each.on_time for pool_id, each in share_by_pool.items()},
        )

    def _count_by_pool(self, spare_pool_id: PoolId | None) -> dict[PoolId, int]:
        """Returns how many machines each pool has, now or after their moves."""
        count_by_pool: collections.Counter[PoolId] = collections.Counter()
        for machine in self._inventory.machine_by_id.values():
            operation = self._inventory.operation_by_id.get(machine.machine_id)
            worker = self._control.fleet.current_worker_on(machine.machine_id)
            if self._counts(machine, operation, worker, spare_pool_id):
                target = operation.pool_id if operation else None
                count_by_pool[target or machine.pool_id] += 1
        return dict(count_by_pool)

    def _movable_machines(
        self, spare_pool_id: PoolId | None, now: float
    ) -> Iterator[MachineView]:
        """Yields the machines that may be moved, as input to the decision."""
        ends = ExpectedEnds(self._control.estimates, now)
        for machine in self._inventory.machine_by_id.values():
            machine_id = machine.machine_id
            if (
                machine_id in self._inventory.operation_by_id
                or machine.state is not MachineState.UP
            ):
                self._idle_since.pop(machine_id, None)
                continue
            worker = self._control.fleet.current_worker_on(machine_id)
            listed_late = (
                worker is not None and worker.pool_id != machine.pool_id
            )
            # A list that is older than a registration says nothing.
            if listed_late or self._inventory.in_cooldown(machine_id):
                continue
            yield MachineView(
                machine_id,
                machine.pool_id,
                self._idle_span(machine_id, worker, now),
                machine.pool_id == spare_pool_id,
                self._drainable_span(worker, now),
                _short_tasks_span(worker, ends, now),
                self._inventory.is_evacuated(machine),
            )

    def _counts(
        self,
        machine: Machine,
        operation: Operation | None,
        worker: Worker | None,
        spare_pool_id: PoolId | None,
    ) -> bool:
        """Whether a machine counts for its pool, now or after its move."""
        if self._inventory.is_evacuated(machine):
            return False
        if operation is not None:
            return operation.pool_id is not None
        if machine.pool_id == spare_pool_id:
            return machine.state is MachineState.UP
        return (
            worker is not None
            and not worker.suspect
            and not worker.unhealthy
            and not worker.registered.draining
        )

    def _share_by_pool(self, now: float) -> dict[PoolId, MachineNeed]:
        """Returns the machines that each pool needs and may have."""
        control = self._control
        demand_by_pool = measure_demand(
            control.job_by_id.values(),
            control.policies(),
            control.clock.unix_ms(),
        )
        size = self._average_size()
        with_unplaced = machines_with_unplaced(
            control.job_by_id.values(),
            control.policies(),
            control.fleet.of_pool,
            control.team_use,
            size,
            now,
        )
        need_by_pool = {
            pool_id: machines_needed(
                demand_by_pool.get(pool_id, PoolDemand()),
                control.arrivals.arriving_load(pool_id, now),
                size,
            ).at_least(with_unplaced.get(pool_id, 0))
            for pool_id in self._pools_in_use()
        }
        return share_machines(need_by_pool, len(self._inventory.usable()))

    def _pools_in_use(self) -> set[PoolId]:
        policies = self._control.policies().values()
        return {policy.pool_id for policy in policies}

    def _average_size(self) -> Size:
        machines = self._inventory.usable()
        count = max(1, len(machines))
        return Size(
            sum(each.capacity.cpu for each in machines) // count,
            sum(each.capacity.memory_mb for each in machines) // count,
        )

    def _idle_span(
        self,
        machine_id: MachineId,
        worker: Worker | None,
        now: float,
    ) -> float | None:
        if worker is None or not worker.contacted or worker.run_by_task:
            self._idle_since.pop(machine_id, None)
            return None
        return now - self._idle_since.setdefault(machine_id, now)

    def _drainable_span(
        self, worker: Worker | None, now: float
    ) -> float | None:
        """Returns for how long a worker could have been drained, in seconds.

        Returns None if it has tasks that cannot move to other workers.
        """
        if worker is None or worker.reserved or not worker.run_by_task:
            self._drainable_since.pop(worker, None)
            return None
        runs = worker.run_by_task.values()
        if worker.long_running_count < len(runs) or not self._fit_elsewhere(
            worker, now
        ):
            self._drainable_since.pop(worker, None)
            return None
        return now - self._drainable_since.setdefault(worker, now)

    def _fit_elsewhere(self, worker: Worker, now: float) -> bool:
        """Whether another worker with long-running tasks has the capacity."""
        others = [
            other
            for other in self._control.fleet.of_pool(worker.pool_id)
            if other is not worker
            and other.long_running_count
            and other.accepts_work(now)
        ]
        tasks = [run.task for run in worker.run_by_task.values()]
        size = total_size(worker.run_by_task.values())
        return any(
            other.free.cpu >= size.cpu
            and other.free.memory_mb >= size.memory_mb
            and other.free.accelerators >= size.accelerators
            and not any(task.step.max_per_worker for task in tasks)
            for other in others
        )

    def _begin_move(self, move: Move, state: CapacityState) -> None:
        operation = Operation(move.machine_id, pool_id=move.pool_id)
        if move.drains:
            now = self._control.clock.boot()
            operation.drain_deadline = now + DRAIN_TIMEOUT_S
        self._control.log.write(
            Event.RESERVED,
            machine=move.machine_id,
            pool=self._inventory.machine_by_id[move.machine_id].pool_id,
            target=move.pool_id,
            drains=move.drains,
            need=state.need_by_pool,
            on_time=state.on_time_by_pool,
            have=state.count_by_pool,
        )
        self._begin(operation)


def _short_tasks_span(
    worker: Worker | None, ends: ExpectedEnds, now: float
) -> float | None:
    """Returns the expected seconds until the tasks of a worker end.

    Returns None if it has no tasks, or others than short ones. The time for
    which a worker is slow after its start is not part of an estimate.
    """
    if worker is None or worker.reserved or not worker.run_by_task:
        return None
    if worker.long_running_count or worker.filler_count:
        return None
    return (
        max(
            ends.end_of(run, worker.cold_until)
            for run in worker.run_by_task.values()
        )
        - now
    )
