"""Reviews which machines change their pool."""

import itertools
from collections.abc import Callable

from sardinedrift.engine.capacity import (
    MachineView,
    Move,
    Stock,
    decide_moves,
)
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.demand import (
    PoolDemand,
    machines_needed,
    measure_demand,
)
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker, total_size
from sardinedrift.engine.machineinventory import MachineInventory, Operation
from sardinedrift.engine.model import MachineId
from sardinedrift.engine.ports import Machine, MachineState
from sardinedrift.identifiers import PoolId

# Moves begin while fewer operations are on their way; each is watched.
MAX_OPERATIONS = 200


class PoolReview:
    """Weighs what the pools have against what they need.

    Args:
        control: state of the term.
        book: the machines.
        begin: begins an operation.
        is_allowed: whether a machine may stand in a pool.
    """

    def __init__(
        self,
        control: ControllerState,
        book: MachineInventory,
        begin: Callable[[Operation], None],
        is_allowed: Callable[[MachineId, PoolId], bool],
    ):
        self._control = control
        self._book = book
        self._begin = begin
        self._is_allowed = is_allowed
        self._idle_since: dict[MachineId, float] = {}
        self._movable_since: dict[Worker | None, float] = {}

    def review(self) -> None:
        """Begins the moves that are worth it now."""
        stock = self._stock()
        room = MAX_OPERATIONS - len(self._book.operation_by_id)
        for move in itertools.islice(decide_moves(stock), max(0, room)):
            self._begin_move(move, stock)

    def _stock(self) -> Stock:
        now = self._control.clock.boot()
        spare = self._book.spare_pool()
        views = []
        have: dict[PoolId, int] = {}
        for machine in self._book.machine_by_id.values():
            operation = self._book.operation_by_id.get(machine.machine_id)
            pool_id = machine.pool_id
            if operation is not None and operation.pool_id is not None:
                pool_id = operation.pool_id
            worker = self._control.fleet.current_worker_on(machine.machine_id)
            if self._counts(machine, operation, worker, spare):
                have[pool_id] = have.get(pool_id, 0) + 1
            if operation is not None or machine.state is not MachineState.UP:
                self._idle_since.pop(machine.machine_id, None)
                continue
            if self._book.is_quiet(machine.machine_id):
                continue
            idle_s = self._idle_span(machine.machine_id, worker, now)
            off = machine.pool_id == spare
            movable_s = self._movable_span(worker, now)
            views.append(
                MachineView(
                    machine.machine_id,
                    machine.pool_id,
                    idle_s,
                    off,
                    movable_s,
                )
            )
        return Stock(views, have, self._needs(now), spare, self._is_allowed)

    def _counts(
        self,
        machine: Machine,
        operation: Operation | None,
        worker: Worker | None,
        spare: PoolId | None,
    ) -> bool:
        """Whether a machine serves its pool, or will shortly."""
        if operation is not None:
            return operation.pool_id is not None
        if machine.pool_id == spare:
            return machine.state is MachineState.UP
        return (
            worker is not None
            and not worker.suspect
            and not worker.unhealthy
            and not worker.registered.draining
        )

    def _needs(self, now: float) -> dict[PoolId, int]:
        control = self._control
        demand_by_pool = measure_demand(
            control.job_by_id.values(), control.queues()
        )
        cpu, memory_mb = self._usual_size()
        return {
            pool_id: machines_needed(
                demand_by_pool.get(pool_id, PoolDemand()),
                control.arrivals.arriving_cpu(pool_id, now),
                cpu,
                memory_mb,
            )
            for pool_id in self._pools_in_use()
        }

    def _pools_in_use(self) -> set[PoolId]:
        queues = self._control.queues().values()
        return {queue.pool_id for queue in queues}

    def _usual_size(self) -> tuple[int, int]:
        machines = self._book.machine_by_id.values()
        count = max(1, len(machines))
        return (
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

    def _movable_span(self, worker: Worker | None, now: float) -> float | None:
        """Returns for how long a worker's tasks could stand elsewhere."""
        if worker is None or worker.reserved or not worker.run_by_task:
            self._movable_since.pop(worker, None)
            return None
        runs = worker.run_by_task.values()
        if worker.long_running_count < len(runs) or not self._fit_elsewhere(
            worker, now
        ):
            self._movable_since.pop(worker, None)
            return None
        return now - self._movable_since.setdefault(worker, now)

    def _fit_elsewhere(self, worker: Worker, now: float) -> bool:
        """Whether other workers that long-running tasks hold have the room."""
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

    def _begin_move(self, move: Move, stock: Stock) -> None:
        operation = Operation(move.machine_id, pool_id=move.pool_id)
        self._control.log.write(
            Event.RESERVED,
            machine=move.machine_id,
            pool=self._book.machine_by_id[move.machine_id].pool_id,
            target=move.pool_id,
            need=stock.need_by_pool,
            have=stock.have_by_pool,
        )
        self._begin(operation)
