"""In-memory state of workers: capacity, runs, leases and health."""

import collections
from collections.abc import Iterable, Sequence

from sardinedrift.engine.coldstarts import ColdStarts
from sardinedrift.engine.model import MachineId, Pool, Size, TaskId, WorkerId
from sardinedrift.engine.ports import RegisteredWorker
from sardinedrift.engine.sizes import fits_when_empty
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.workerprocess import MAX_CLOCK_DRIFT, WorkerProcess
from sardinedrift.identifiers import DataCentreId, PoolId

# Number of recent run outcomes that determine the health of a worker.
HEALTH_WINDOW = 6
# This many failures among them, without a success, make it unhealthy.
UNHEALTHY_FAILURES = 2
# An unhealthy worker gets one trial task after this time.
PROBATION_S = 4.0


class Worker:
    """A worker as known to the controller of the current term.

    Attributes:
        registered: its current registration.
        listed: the registration is present in the store.
        contacted: it has answered in this term, so it rejects the orders of
            earlier controllers.
        suspect: it did not answer the last order, or not as expected.
        answered_at: boot-time clock of its last answer.
        process: what is known of its current process.
        previous_lease_expires_at: boot-time clock at which any lease has
            expired that an earlier controller granted, or that was computed for
            an earlier process.
        long_lease_expires_at: boot-time clock at which a lease has expired that
            an earlier controller recorded, as it is longer than usual.
        reserved: it is being drained for a move or for upkeep.
        evacuated: its data centre is being evacuated.
        long_running_count: number of long-running tasks on it.
        serving_count: number of tasks on it with a tail latency target.
        filler_count: number of tasks on it that use only idle CPU.
        terminated: all runs on it have ended and it will not start any more.
        cold: it is slow after its start, as of the last `Fleet.update_cold`.
        cold_starts: limits the starts on it while it is cold.
    """

    def __init__(
        self, registered: RegisteredWorker, previous_lease_expires_at: float
    ):
        self.registered = registered
        self.worker_id: WorkerId = registered.worker_id
        self.listed = True
        self.contacted = False
        self.suspect = False
        self.answered_at = float("-inf")
        self.process = WorkerProcess(registered.born_ms)
        self.previous_lease_expires_at = previous_lease_expires_at
        self.long_lease_expires_at = float("-inf")
        self.reserved = False
        self.evacuated = False
        self.terminated = False
        self.cold = False
        self.cold_starts = ColdStarts()
        self.run_by_task: dict[TaskId, Run] = {}
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0
        self.long_running_count = 0
        self.serving_count = 0
        self.filler_count = 0
        self._outcomes: collections.deque[bool] = collections.deque(
            maxlen=HEALTH_WINDOW
        )
        self._unhealthy_since = 0.0
        self._count_by_step: dict[TaskId, int] = {}

    @property
    def pool_id(self) -> PoolId:
        """The pool to which it belongs."""
        return self.registered.pool_id

    @property
    def cold_until(self) -> float:
        """Boot-time clock until which it is slow after its start."""
        return self.registered.cold_until

    def starts_left(self, now: float) -> int | None:
        """Returns how many starts it can take now; None for any number."""
        return self.cold_starts.left(now) if now < self.cold_until else None

    @property
    def free(self) -> Size:
        """Its free capacity."""
        capacity = self.registered.capacity
        return Size(
            capacity.cpu - self.used_cpu,
            capacity.memory_mb - self.used_memory,
            capacity.accelerators - self.used_accelerators,
        )

    def free_without(self, runs: Iterable[Run]) -> Size:
        """Returns its free capacity once some of its runs have ended."""
        steps = [run.task.step for run in runs]
        free = self.free
        return Size(
            free.cpu + sum(step.size.cpu for step in steps if not step.fills),
            free.memory_mb + sum(step.size.memory_mb for step in steps),
            free.accelerators + sum(step.size.accelerators for step in steps),
        )

    def accepts_work(self, now: float) -> bool:
        """Whether new work may be placed on it now."""
        return self.is_available(now) and self.starts_left(now) != 0

    def is_available(self, now: float) -> bool:
        """Whether its capacity is there for new work, at once or soon."""
        return (
            self.listed
            and self.contacted
            and not self.suspect
            and not self.reserved
            and not self.evacuated
            and not self.terminated
            and not self.registered.draining
            and self._healthy_or_on_probation(now)
        )

    def can_fit(self, task: Task) -> bool:
        """Whether a task fits the free capacity and the limit of its step."""
        step, capacity = task.step, self.registered.capacity
        size = step.size
        cpu = 0 if step.fills else size.cpu
        return (
            self.used_cpu + cpu <= capacity.cpu
            and self.used_memory + size.memory_mb <= capacity.memory_mb
            and self.used_accelerators + size.accelerators
            <= capacity.accelerators
            and (
                not step.max_per_worker
                or self.count_of_step(task) < step.max_per_worker
            )
        )

    def can_fit_when_empty(self, task: Task) -> bool:
        """Whether a task would fit if the worker were empty."""
        return fits_when_empty(
            task.step, self.registered.capacity, self.registered.labels
        )

    def count_of_step(self, task: Task) -> int:
        """Returns the number of its tasks of the same step and occurrence."""
        return self._count_by_step.get(step_key(task.task_id), 0)

    def add(self, run: Run) -> None:
        """Adds a run and counts its resources as used."""
        self.run_by_task[run.task.task_id] = run
        self._update_usage(run, 1)
        if run.decided_at < self.cold_until:
            self.cold_starts.record(run.decided_at)

    def remove(self, run: Run) -> None:
        """Removes a run and releases its resources."""
        if self.run_by_task.get(run.task.task_id) is run:
            del self.run_by_task[run.task.task_id]
            self._update_usage(run, -1)

    def record_outcome(self, succeeded: bool, now: float) -> None:
        """Records the outcome of a run in the health history."""
        if not succeeded and self._outcomes and not any(self._outcomes):
            self._unhealthy_since = now
        self._outcomes.append(succeeded)
        if (
            not succeeded
            and list(self._outcomes).count(False) == UNHEALTHY_FAILURES
        ):
            self._unhealthy_since = now

    @property
    def unhealthy(self) -> bool:
        """Whether its recent runs have failed, without a success."""
        return len(self._outcomes) >= UNHEALTHY_FAILURES and not any(
            self._outcomes
        )

    @property
    def last_run_failed(self) -> bool:
        """Whether the most recent run on it failed."""
        return bool(self._outcomes) and not self._outcomes[-1]

    def latest_lease_expiry(self, now: float) -> float:
        """Returns the latest expiry of its lease, on the boot-time clock."""
        clock = self.process.clock
        if clock is None:
            return self.previous_lease_expires_at
        remaining_ms = self.process.lease_ms - clock.lower_bound(now)
        expiry = now + max(0.0, remaining_ms) / 1000 / (1 - MAX_CLOCK_DRIFT)
        if self.contacted:
            return expiry
        return max(expiry, self.previous_lease_expires_at)

    def lease_expired(self, now: float) -> bool:
        """Whether its lease has expired, even with maximum clock drift."""
        if now < self.previous_lease_expires_at and not self.contacted:
            return False
        clock = self.process.clock
        if clock is None:
            return now >= self.previous_lease_expires_at
        return clock.lower_bound(now) > self.process.lease_ms

    def _healthy_or_on_probation(self, now: float) -> bool:
        if not self.unhealthy:
            return True
        return (
            not self.run_by_task and now - self._unhealthy_since > PROBATION_S
        )

    def _update_usage(self, run: Run, sign: int) -> None:
        step = run.task.step
        self.used_cpu += 0 if step.fills else sign * step.size.cpu
        self.used_memory += sign * step.size.memory_mb
        self.used_accelerators += sign * step.size.accelerators
        self.long_running_count += sign if step.long_running else 0
        self.serving_count += sign if step.target_ms else 0
        self.filler_count += sign if step.fills else 0
        key = step_key(run.task.task_id)
        count = self._count_by_step.get(key, 0) + sign
        if count:
            self._count_by_step[key] = count
        else:
            del self._count_by_step[key]


def step_key(task_id: TaskId) -> TaskId:
    """Returns the same key for all tasks of a step and occurrence."""
    return task_id._replace(index=0)


class Fleet:
    """All workers, indexed by id and by machine.

    Attributes:
        worker_by_id: the workers; changed only through `add` and `remove`.
        evacuated: data centres that are being evacuated; changed only through
            `set_evacuated`.
    """

    def __init__(self) -> None:
        self.evacuated: frozenset[DataCentreId] = frozenset()
        self.worker_by_id: dict[WorkerId, Worker] = {}
        self._incarnations_by_machine: dict[MachineId, list[Worker]] = {}
        self._pool_by_id: dict[PoolId, Pool] = {}

    def add(self, worker: Worker) -> None:
        """Adds a worker."""
        worker.evacuated = self._is_evacuated(worker)
        worker.cold_starts.per_s = self._cold_per_s(worker)
        self.worker_by_id[worker.worker_id] = worker
        machine_id = worker.registered.machine_id
        if machine_id:
            self._incarnations_by_machine.setdefault(machine_id, []).append(
                worker
            )

    def remove(self, worker: Worker) -> None:
        """Removes a worker."""
        del self.worker_by_id[worker.worker_id]
        self._remove_from_machine(worker)

    def register(self, worker: Worker, registered: RegisteredWorker) -> None:
        """Replaces the registration of a worker."""
        self._remove_from_machine(worker)
        worker.registered = registered
        self.add(worker)

    def set_evacuated(self, evacuated: frozenset[DataCentreId]) -> None:
        """Sets the data centres that are being evacuated."""
        self.evacuated = evacuated
        for worker in self.worker_by_id.values():
            worker.evacuated = self._is_evacuated(worker)

    def _is_evacuated(self, worker: Worker) -> bool:
        return worker.registered.data_centre_id in self.evacuated

    def set_pools(self, pool_by_id: dict[PoolId, Pool]) -> None:
        """Sets the pools, as published by operators."""
        self._pool_by_id = pool_by_id
        for worker in self.worker_by_id.values():
            worker.cold_starts.per_s = self._cold_per_s(worker)

    def _cold_per_s(self, worker: Worker) -> float:
        pool = self._pool_by_id.get(worker.pool_id)
        return pool.cold_per_s if pool else 0.0

    def update_cold(self, now: float) -> None:
        """Determines which workers are slow after their start."""
        for worker in self.worker_by_id.values():
            worker.cold = now < worker.cold_until

    def of_data_centre(self, data_centre_id: DataCentreId) -> list[Worker]:
        """Returns the workers of a data centre."""
        return [
            worker
            for worker in self.worker_by_id.values()
            if worker.registered.data_centre_id == data_centre_id
        ]

    def incarnations_on(self, machine_id: MachineId) -> Sequence[Worker]:
        """Returns the known workers of a machine, earlier ones included."""
        return self._incarnations_by_machine.get(machine_id, ())

    def current_worker_on(self, machine_id: MachineId) -> Worker | None:
        """Returns the current worker of a machine.

        A worker without a registration counts if there is no other, since the
        store can lose registrations temporarily while the worker keeps running.
        """
        current = None
        for worker in self.incarnations_on(machine_id):
            if not worker.terminated and (worker.listed or current is None):
                current = worker
        return current

    def _remove_from_machine(self, worker: Worker) -> None:
        machine_id = worker.registered.machine_id
        if not machine_id:
            return
        incarnations = self._incarnations_by_machine[machine_id]
        incarnations.remove(worker)
        if not incarnations:
            del self._incarnations_by_machine[machine_id]

    def of_pool(self, pool_id: PoolId) -> list[Worker]:
        """Returns the workers of a pool."""
        return [
            worker
            for worker in self.worker_by_id.values()
            if worker.pool_id == pool_id
        ]

    def by_pool(self) -> dict[PoolId, list[Worker]]:
        """Returns all workers, grouped by pool."""
        workers_by_pool: dict[PoolId, list[Worker]] = {}
        for worker in self.worker_by_id.values():
            workers_by_pool.setdefault(worker.pool_id, []).append(worker)
        return workers_by_pool


def total_size(runs: Iterable[Run]) -> Size:
    """Returns the total resources requested by runs."""
    cpu = memory = accelerators = 0
    for run in runs:
        size = run.task.step.size
        cpu += size.cpu
        memory += size.memory_mb
        accelerators += size.accelerators
    return Size(cpu, memory, accelerators)
