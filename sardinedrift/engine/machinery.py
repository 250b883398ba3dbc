"""Carries out moves and upkeep of machines, one task for each operation."""

import asyncio
from collections.abc import Callable

import msgspec

from sardinedrift.engine import upkeep
from sardinedrift.engine.capacity import (
    MachineView,
    Move,
    Stock,
    decide_moves,
)
from sardinedrift.engine.catalogue import WaveRecord, wave_record
from sardinedrift.engine.control import Control
from sardinedrift.engine.demand import PoolDemand, machines_needed, measure
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import (
    OrderError,
    OrderRefused,
    StoreError,
)
from sardinedrift.engine.fleet import Worker, total_size
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import (
    Machine,
    MachineService,
    MachineState,
    Refusal,
    WaveOrder,
    WaveReports,
)
from sardinedrift.identifiers import PoolId

REVIEW_S = 0.08
# The list of machines is read this often while an operation is on its way,
BUSY_LIST_S = 0.4
# and this often otherwise.
QUIET_LIST_S = 4.0
RETRY_S = 0.2
# An operation that shows no effect after this long is given up.
BACK_S = 8.0


class Operation(msgspec.Struct):
    """A move or an upkeep on its way.

    Attributes:
        pool_id: target of a move; None for an upkeep.
        wave: wave of an upkeep; None for a move.
        ordered: the machine service has accepted it.
        urgent: short tasks are stopped as well.
    """

    machine_id: MachineId
    pool_id: PoolId | None = None
    wave: WaveNumber | None = None
    ordered: bool = False
    urgent: bool = False


class QuietMachines(msgspec.Struct, frozen=True):
    """Machines that get no order for a while after a change of controllers.

    Orders of two controllers for one machine must not follow each other
    closely.

    Attributes:
        until: boot-time clock.
        machine_ids: the machines; None for all.
    """

    until: float
    machine_ids: frozenset[MachineId] | None

    def covers(self, machine_id: MachineId) -> bool:
        """Whether a machine is among them."""
        return self.machine_ids is None or machine_id in self.machine_ids


class Machinery:
    """Decides on operations and carries them out.

    Args:
        control: state of the term.
        service: takes the orders.
        reports: tells operators how waves are.
        wake: wakes the session of a worker.
        quiet: machines that an earlier controller may have given orders
            lately, and until when they get none.
    """

    def __init__(
        self,
        control: Control,
        service: MachineService,
        reports: WaveReports,
        wake: Callable[[Worker], None],
        quiet: QuietMachines,
    ):
        self._control = control
        self._service = service
        self._reports = reports
        self._wake = wake
        self._quiet = quiet
        self._ordered_at: dict[MachineId, float] = {}
        self._machine_by_id: dict[MachineId, Machine] = {}
        self._operation_by_id: dict[MachineId, Operation] = {}
        self._idle_since: dict[MachineId, float] = {}
        self._movable_since: dict[Worker | None, float] = {}
        self._refused: set[tuple[MachineId, PoolId]] = set()
        self._begun_by_wave: dict[WaveNumber, set[MachineId]] = {}
        self._seen_at: dict[WaveNumber, float] = {}
        self._completed: set[WaveNumber] = set()
        self._listed_at = float("-inf")
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """Decides until cancelled."""
        for number, record in self._control.catalogue.wave_by_number.items():
            self._begun_by_wave[number] = set(record.begun)
            if record.completed:
                self._completed.add(number)
        async with asyncio.TaskGroup() as group:
            self._group = group
            while True:
                await self._refresh_list()
                if self._control.term.may_order and self._machine_by_id:
                    self._review_waves()
                    self._review_pools()
                await asyncio.sleep(REVIEW_S)

    def ordered_since(self, at: float) -> tuple[MachineId, ...]:
        """Returns the machines that got an order since a time."""
        return tuple(
            machine_id
            for machine_id, ordered_at in self._ordered_at.items()
            if ordered_at >= at
        )

    def _is_quiet(self, machine_id: MachineId) -> bool:
        now = self._control.clock.boot()
        return now < self._quiet.until and self._quiet.covers(machine_id)

    async def _refresh_list(self) -> None:
        now = self._control.clock.boot()
        every = BUSY_LIST_S if self._operation_by_id else QUIET_LIST_S
        if now - self._listed_at < every:
            return
        self._listed_at = now
        try:
            machines = await self._service.list_machines()
        except OrderError as error:
            self._control.log.write(
                Event.DEPENDENCY_LOST,
                dependency="machines",
                error=repr(error),
            )
            return
        self._machine_by_id = {each.machine_id: each for each in machines}

    # Pools

    def _review_pools(self) -> None:
        stock = self._stock()
        for move in decide_moves(stock):
            self._begin_move(move, stock)

    def _stock(self) -> Stock:
        now = self._control.clock.boot()
        spare = self._spare_pool()
        worker_by_machine = self._worker_by_machine()
        views = []
        have: dict[PoolId, int] = {}
        for machine in self._machine_by_id.values():
            operation = self._operation_by_id.get(machine.machine_id)
            pool_id = machine.pool_id
            if operation is not None and operation.pool_id is not None:
                pool_id = operation.pool_id
            worker = worker_by_machine.get(machine.machine_id)
            if self._counts(machine, operation, worker, spare):
                have[pool_id] = have.get(pool_id, 0) + 1
            if operation is not None or machine.state is not MachineState.UP:
                continue
            if self._is_quiet(machine.machine_id):
                continue
            idle_s = self._idle_span(machine.machine_id, worker_by_machine, now)
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
            and not worker.bad
            and not worker.registered.draining
        )

    def _needs(self, now: float) -> dict[PoolId, int]:
        control = self._control
        demand_by_pool = measure(control.job_by_id.values(), control.queues())
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
        machines = self._machine_by_id.values()
        count = max(1, len(machines))
        return (
            sum(each.capacity.cpu for each in machines) // count,
            sum(each.capacity.memory_mb for each in machines) // count,
        )

    def _spare_pool(self) -> PoolId | None:
        configuration = self._control.published.current()
        pools = configuration.pool_by_id.values() if configuration else ()
        return next((pool.pool_id for pool in pools if pool.spare), None)

    def _worker_by_machine(self) -> dict[MachineId, Worker]:
        """Returns the present worker of each machine.

        A worker whose registration is missing may run on: the store can lose
        registrations for a while.
        """
        worker_by_machine: dict[MachineId, Worker] = {}
        for worker in self._control.fleet.worker_by_id.values():
            machine_id = worker.registered.machine_id
            if not worker.gone and (
                worker.listed or machine_id not in worker_by_machine
            ):
                worker_by_machine[machine_id] = worker
        return worker_by_machine

    def _idle_span(
        self,
        machine_id: MachineId,
        worker_by_machine: dict[MachineId, Worker],
        now: float,
    ) -> float | None:
        worker = worker_by_machine.get(machine_id)
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
        if worker.lasting < len(runs) or not self._fit_elsewhere(worker, now):
            self._movable_since.pop(worker, None)
            return None
        return now - self._movable_since.setdefault(worker, now)

    def _fit_elsewhere(self, worker: Worker, now: float) -> bool:
        """Whether other workers that long-running tasks hold have the room."""
        others = [
            other
            for other in self._control.fleet.of_pool(worker.pool_id)
            if other is not worker and other.lasting and other.may_take(now)
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

    def _is_allowed(self, machine_id: MachineId, pool_id: PoolId) -> bool:
        return (machine_id, pool_id) not in self._refused

    def _begin_move(self, move: Move, stock: Stock) -> None:
        operation = Operation(move.machine_id, pool_id=move.pool_id)
        self._operation_by_id[move.machine_id] = operation
        self._control.log.write(
            Event.RESERVED,
            machine=move.machine_id,
            pool=self._machine_by_id[move.machine_id].pool_id,
            target=move.pool_id,
            need=stock.need_by_pool,
            have=stock.have_by_pool,
        )
        self._spawn(operation)

    # Waves

    def _review_waves(self) -> None:
        now = self._control.clock.boot()
        waves = self._control.published.wave_by_number
        for number, wave in waves.items():
            if number in self._completed:
                continue
            if number not in self._seen_at:
                self._seen_at[number] = now
                self._spawn_status(number, completed=False)
            self._review_wave(wave, now)

    def _review_wave(self, wave: WaveOrder, now: float) -> None:
        begun = self._begun_by_wave.setdefault(wave.number, set())
        left = [
            machine_id
            for machine_id in wave.machine_ids
            if machine_id in self._machine_by_id and machine_id not in begun
        ]
        operations = [
            each
            for each in self._operation_by_id.values()
            if each.wave == wave.number
        ]
        if not left and not operations:
            self._complete(wave)
            return
        urgent = now > self._seen_at[wave.number] + wave.duration_s - (
            upkeep.URGENT_S
        )
        for operation in operations:
            operation.urgent = urgent
        ordered = sum(1 for each in operations if each.ordered)
        preparing = len(operations) - ordered
        down = ordered + self._down_before(wave)
        worker_by_machine = self._worker_by_machine()
        machines = [
            self._wave_machine(machine_id, worker_by_machine)
            for machine_id in left
            if machine_id not in self._operation_by_id
            and not self._is_quiet(machine_id)
        ]
        for machine_id in upkeep.choose_next(
            machines, preparing, down, wave.max_down
        ):
            operation = Operation(machine_id, wave=wave.number, urgent=urgent)
            self._operation_by_id[machine_id] = operation
            self._control.log.write(
                Event.RESERVED,
                machine=machine_id,
                pool=self._machine_by_id[machine_id].pool_id,
                wave=wave.number,
                left=len(left),
                down=down,
                most=wave.max_down,
            )
            self._spawn(operation)

    def _down_before(self, wave: WaveOrder) -> int:
        """Returns machines in upkeep that an earlier controller ordered."""
        machines = (
            self._machine_by_id.get(machine_id)
            for machine_id in wave.machine_ids
            if machine_id not in self._operation_by_id
        )
        return sum(
            1
            for machine in machines
            if machine is not None and machine.state is MachineState.UPKEEP
        )

    def _wave_machine(
        self, machine_id: MachineId, worker_by_machine: dict[MachineId, Worker]
    ) -> upkeep.WaveMachine:
        worker = worker_by_machine.get(machine_id)
        runs = list(worker.run_by_task.values()) if worker else []
        return upkeep.WaveMachine(
            machine_id,
            self._machine_by_id[machine_id].state is MachineState.UP,
            len(runs),
            sum(1 for run in runs if run.task.step.long_running),
        )

    def _complete(self, wave: WaveOrder) -> None:
        self._completed.add(wave.number)
        self._record_wave(wave.number)
        self._control.log.write(Event.WAVE, wave=wave.number, completed=True)
        self._control.writer.after(
            lambda: self._spawn_status(wave.number, completed=True)
        )

    def _record_wave(self, number: WaveNumber) -> None:
        record = WaveRecord(
            tuple(sorted(self._begun_by_wave.get(number, ()))),
            number in self._completed,
        )
        self._control.writer.add(wave_record(number, record))

    def _spawn_status(self, number: WaveNumber, completed: bool) -> None:
        if self._group is not None:
            self._group.create_task(self._write_status(number, completed))

    async def _write_status(self, number: WaveNumber, completed: bool) -> None:
        while True:
            try:
                await self._reports.report_wave(number, completed)
            except StoreError:
                await asyncio.sleep(RETRY_S)
            else:
                return

    # Operations

    def _spawn(self, operation: Operation) -> None:
        self._group.create_task(self._operate(operation))

    async def _operate(self, operation: Operation) -> None:
        machine_id = operation.machine_id
        worker = self._worker_by_machine().get(machine_id)
        if worker is not None:
            worker.reserved = True
        try:
            if worker is not None:
                await self._empty(operation, worker)
            if await self._order(operation):
                if worker is not None:
                    worker.gone = True
                    self._wake(worker)
                await self._wait_back(operation, worker)
        finally:
            if worker is not None:
                worker.reserved = False
                self._control.changed.set()
            self._operation_by_id.pop(machine_id, None)
            self._idle_since.pop(machine_id, None)
            self._listed_at = float("-inf")

    async def _empty(self, operation: Operation, worker: Worker) -> None:
        """Waits until nothing runs on a worker, and moves on what lasts."""
        while worker.run_by_task and not worker.gone:
            runs = worker.run_by_task.values()
            for run in upkeep.runs_to_stop(
                list(runs), operation.urgent, self._control.clock.boot()
            ):
                self._control.stop(run)
            await asyncio.sleep(REVIEW_S)

    async def _order(self, operation: Operation) -> bool:
        """Gives the order until it is answered; returns whether it took."""
        while True:
            if not self._control.term.may_order:
                await asyncio.sleep(RETRY_S)
                continue
            operation.ordered = True
            self._ordered_at[operation.machine_id] = self._control.clock.boot()
            try:
                await self._send(operation)
            except OrderRefused as error:
                if not await self._note_refusal(operation, error.reason):
                    operation.ordered = False
                    return False
            except OrderError as error:
                self._log_refusal(operation, repr(error))
                await asyncio.sleep(RETRY_S)
            else:
                self._log_order(operation)
                return True

    async def _send(self, operation: Operation) -> None:
        token = self._control.token
        if operation.pool_id is not None:
            await self._service.move(
                operation.machine_id, operation.pool_id, token
            )
        else:
            await self._service.begin_upkeep(
                operation.machine_id, operation.wave, token
            )
            self._begun_by_wave[operation.wave].add(operation.machine_id)
            self._record_wave(operation.wave)

    async def _note_refusal(
        self, operation: Operation, reason: Refusal
    ) -> bool:
        """Returns whether the order is to be sent again."""
        self._log_refusal(operation, reason.value)
        if reason is Refusal.FENCED:
            self._control.term.end()
            return False
        if reason is Refusal.INVALID and operation.pool_id is not None:
            self._refused.add((operation.machine_id, operation.pool_id))
        if reason is Refusal.UNHEALTHY:
            await asyncio.sleep(RETRY_S)
            return True
        return False

    async def _wait_back(
        self, operation: Operation, before: Worker | None
    ) -> None:
        """Waits until the machine is up again."""
        clock = self._control.clock
        sent_at = clock.boot()
        while clock.boot() < sent_at + BACK_S:
            await asyncio.sleep(REVIEW_S)
            worker = self._worker_by_machine().get(operation.machine_id)
            if worker is not None and worker is not before:
                if worker.contacted:
                    return
                continue
            machine = self._machine_by_id.get(operation.machine_id)
            if self._listed_at <= sent_at + BUSY_LIST_S:
                continue
            if machine is None or machine.state is MachineState.DOWN:
                return
            if (
                machine.state is MachineState.UP
                and machine.pool_id == self._spare_pool()
            ):
                return

    def _log_order(self, operation: Operation) -> None:
        moved = operation.pool_id is not None
        self._control.log.write(
            Event.MACHINE_MOVED if moved else Event.UPKEEP_BEGUN,
            machine=operation.machine_id,
            target=operation.pool_id,
            wave=operation.wave,
            token=self._control.token,
        )

    def _log_refusal(self, operation: Operation, reason: str) -> None:
        self._control.log.write(
            Event.MACHINE_REFUSED,
            machine=operation.machine_id,
            target=operation.pool_id,
            wave=operation.wave,
            reason=reason,
        )
