"""Workers in the controller's memory: room, runs, leases and health."""

import collections
from collections.abc import Iterable, Sequence

from sardinedrift.engine.model import MachineId, Size, TaskId, WorkerId
from sardinedrift.engine.ports import RegisteredWorker
from sardinedrift.engine.task import Run, Task
from sardinedrift.identifiers import PoolId

# A worker's clock may run this much slower than ours.
MAX_CLOCK_DRIFT = 0.02
# Recent ends that tell whether a worker fails what it starts.
HEALTH_WINDOW = 6
# Among these, so many failures without a success make it a bad worker.
BAD_FAILURES = 2
# A bad worker is tried again with one task after this long.
PROBATION_S = 4.0


class WorkerClock:
    """A lower bound of a worker's own clock, from its last reading."""

    __slots__ = ("at", "clock_ms")

    def __init__(self, clock_ms: int, at: float):
        self.clock_ms = clock_ms
        self.at = at

    def estimate(self, now: float) -> int:
        """Returns the reading at a normal pace, in ms."""
        return int(self.clock_ms + (now - self.at) * 1000)

    def least(self, now: float) -> float:
        """Returns the lowest reading that is possible now, in ms."""
        passed_ms = (now - self.at) * 1000
        return self.clock_ms + passed_ms * (1 - MAX_CLOCK_DRIFT)


class Worker:
    """One life of a worker, as the controller knows it.

    Attributes:
        registered: its registration, replaced when that changes.
        listed: the registration is present.
        contacted: it has answered in this term, and so has the fence.
        suspect: its last answer failed to come.
        answered_at: boot-time clock of its last answer.
        born_ms: start of its life as last stated.
        clock: its clock, once contacted.
        lease_ms: latest deadline sent, on its own clock.
        previous_lease_expires_at: when a lease of an earlier controller has
            ended for certain, by the boot-time clock.
        last_stored_end: ends up to this number are stored.
        reserved: it is to be emptied for a move or an upkeep.
        long_running_count: long-running tasks on it.
        serving_count: tasks on it whose response times have a target.
        filler_count: tasks on it that use what others leave.
        terminated: everything on it has ended for good.
    """

    def __init__(self, registered: RegisteredWorker, foreign: float):
        self.registered = registered
        self.worker_id: WorkerId = registered.worker_id
        self.listed = True
        self.contacted = False
        self.suspect = False
        self.answered_at = float("-inf")
        self.born_ms = registered.born_ms
        self.clock: WorkerClock | None = None
        self.lease_ms = 0
        self.previous_lease_expires_at = foreign
        self.last_stored_end = 0
        self.reserved = False
        self.terminated = False
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
        self._bad_since = 0.0
        self._count_by_step: dict[TaskId, int] = {}

    @property
    def pool_id(self) -> PoolId:
        """The pool it serves."""
        return self.registered.pool_id

    @property
    def free(self) -> Size:
        """What is free on it."""
        capacity = self.registered.capacity
        return Size(
            capacity.cpu - self.used_cpu,
            capacity.memory_mb - self.used_memory,
            capacity.accelerators - self.used_accelerators,
        )

    def accepts_work(self, now: float) -> bool:
        """Whether new work may be placed on it."""
        return (
            self.listed
            and self.contacted
            and not self.suspect
            and not self.reserved
            and not self.terminated
            and not self.registered.draining
            and self._trusted(now)
        )

    def can_fit(self, task: Task) -> bool:
        """Whether a task fits into what is free, and its step's spread."""
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
        step, capacity = task.step, self.registered.capacity
        labels = self.registered.labels
        return (
            (step.fills or step.size.cpu <= capacity.cpu)
            and step.size.memory_mb <= capacity.memory_mb
            and step.size.accelerators <= capacity.accelerators
            and (not step.label or step.label in labels)
        )

    def count_of_step(self, task: Task) -> int:
        """Returns how many tasks of the same step and occurrence it runs."""
        return self._count_by_step.get(_step_key(task.task_id), 0)

    def add(self, run: Run) -> None:
        """Takes a run into account."""
        self.run_by_task[run.task.task_id] = run
        self._account(run, 1)

    def remove(self, run: Run) -> None:
        """Frees what a run takes."""
        if self.run_by_task.get(run.task.task_id) is run:
            del self.run_by_task[run.task.task_id]
            self._account(run, -1)

    def record_outcome(self, succeeded: bool, now: float) -> None:
        """Remembers how a run ended, for the health of the worker."""
        if not succeeded and self._outcomes and not any(self._outcomes):
            self._bad_since = now
        self._outcomes.append(succeeded)
        if not succeeded and list(self._outcomes).count(False) == BAD_FAILURES:
            self._bad_since = now

    @property
    def unhealthy(self) -> bool:
        """Whether it failed what it ran lately."""
        return len(self._outcomes) >= BAD_FAILURES and not any(self._outcomes)

    @property
    def last_run_failed(self) -> bool:
        """Whether its last run failed, or nothing has ended well there."""
        return bool(self._outcomes) and not self._outcomes[-1]

    def latest_lease_expiry(self, now: float) -> float:
        """Returns when every lease on it has ended, by the boot-time clock."""
        if self.clock is None:
            return self.previous_lease_expires_at
        left_ms = self.lease_ms - self.clock.least(now)
        return now + max(0.0, left_ms) / 1000 / (1 - MAX_CLOCK_DRIFT)

    def leases_expired(self, now: float) -> bool:
        """Whether every lease on it has ended for certain."""
        if now < self.previous_lease_expires_at and not self.contacted:
            return False
        if self.clock is None:
            return now >= self.previous_lease_expires_at
        return self.clock.least(now) > self.lease_ms

    def _trusted(self, now: float) -> bool:
        if not self.unhealthy:
            return True
        return not self.run_by_task and now - self._bad_since > PROBATION_S

    def _account(self, run: Run, sign: int) -> None:
        step = run.task.step
        self.used_cpu += 0 if step.fills else sign * step.size.cpu
        self.used_memory += sign * step.size.memory_mb
        self.used_accelerators += sign * step.size.accelerators
        self.long_running_count += sign if step.long_running else 0
        self.serving_count += sign if step.target_ms else 0
        self.filler_count += sign if step.fills else 0
        key = _step_key(run.task.task_id)
        count = self._count_by_step.get(key, 0) + sign
        if count:
            self._count_by_step[key] = count
        else:
            del self._count_by_step[key]


def _step_key(task_id: TaskId) -> TaskId:
    return task_id._replace(index=0)


class Fleet:
    """All workers, by id and by machine.

    Attributes:
        worker_by_id: the workers; to be changed by `add` and `remove` only.
    """

    def __init__(self) -> None:
        self.worker_by_id: dict[WorkerId, Worker] = {}
        self._lives_by_machine: dict[MachineId, list[Worker]] = {}

    def add(self, worker: Worker) -> None:
        """Takes a worker in."""
        self.worker_by_id[worker.worker_id] = worker
        machine_id = worker.registered.machine_id
        if machine_id:
            self._lives_by_machine.setdefault(machine_id, []).append(worker)

    def remove(self, worker: Worker) -> None:
        """Removes a worker."""
        del self.worker_by_id[worker.worker_id]
        self._leave_machine(worker)

    def register(self, worker: Worker, registered: RegisteredWorker) -> None:
        """Replaces the registration of a worker."""
        self._leave_machine(worker)
        worker.registered = registered
        self.add(worker)

    def incarnations_on(self, machine_id: MachineId) -> Sequence[Worker]:
        """Returns the workers that a machine had and has, as known."""
        return self._lives_by_machine.get(machine_id, ())

    def current_worker_on(self, machine_id: MachineId) -> Worker | None:
        """Returns the present worker of a machine.

        A worker whose registration is missing may run on: the store can lose
        registrations for a while.
        """
        present = None
        for worker in self.incarnations_on(machine_id):
            if not worker.terminated and (worker.listed or present is None):
                present = worker
        return present

    def _leave_machine(self, worker: Worker) -> None:
        machine_id = worker.registered.machine_id
        if not machine_id:
            return
        lives = self._lives_by_machine[machine_id]
        lives.remove(worker)
        if not lives:
            del self._lives_by_machine[machine_id]

    def of_pool(self, pool_id: PoolId) -> list[Worker]:
        """Returns the workers of a pool."""
        return [
            worker
            for worker in self.worker_by_id.values()
            if worker.pool_id == pool_id
        ]

    def by_pool(self) -> dict[PoolId, list[Worker]]:
        """Returns all workers, by their pool."""
        workers_by_pool: dict[PoolId, list[Worker]] = {}
        for worker in self.worker_by_id.values():
            workers_by_pool.setdefault(worker.pool_id, []).append(worker)
        return workers_by_pool


def total_size(runs: Iterable[Run]) -> Size:
    """Returns the sum of what runs ask for."""
    cpu = memory = accelerators = 0
    for run in runs:
        size = run.task.step.size
        cpu += size.cpu
        memory += size.memory_mb
        accelerators += size.accelerators
    return Size(cpu, memory, accelerators)
