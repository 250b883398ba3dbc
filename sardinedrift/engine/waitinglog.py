"""Logs the jobs that wait, and why, at a bounded cost."""

import enum
from collections.abc import Iterable

import msgspec

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.sizes import fits_when_empty
from sardinedrift.engine.task import Task
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import JobId

# A job is logged once its first task has waited this long, and again after
# intervals that double.
FIRST_INTERVAL_S = 1.0
MAX_INTERVAL_S = 8.0
# To find the reason, all workers of a pool are examined, so a pass logs only
# some jobs of a large backlog; the others follow in later passes.
MAX_LINES_PER_PASS = 10


class WaitReason(enum.Enum):
    """Reason why a job waits.

    Attributes:
        CAPACITY: no available worker has enough free resources.
        LIMIT: the task would exceed the limit of its client account.
        COLD: workers that have enough free resources are slow after their start
            and can take no more starts now.
        ADVICE: an available worker has enough free resources, but the advice
            service does not permit it.
        ORDERS: the controller sends as many orders as it can handle.
        RESERVED: a worker has enough free resources, but they are reserved
            for a task that comes first.
        NO_WORKER: no worker of the pool is large enough for the task and has
            the label that it requires.
        EVACUATED: the same, but there are workers or machines like that in a
            data centre that is being evacuated, and no machines elsewhere.
    """

    CAPACITY = "room"
    LIMIT = "limit"
    COLD = "cold"
    ADVICE = "advice"
    ORDERS = "orders"
    RESERVED = "reserved"
    NO_WORKER = "no_worker"
    EVACUATED = "evacuated"


class _Schedule(msgspec.Struct):
    """When a job is logged next.

    Attributes:
        due_at: boot-time clock.
        interval_s: interval after that.
    """

    due_at: float
    interval_s: float


class WaitingLog:
    """Logs jobs that wait for a start.

    Args:
        control: state of the term.
    """

    def __init__(self, control: ControllerState):
        self._control = control
        self._schedule_by_job: dict[JobId, _Schedule] = {}
        self._lines_left = 0

    def begin_pass(self) -> None:
        """Begins a pass of the planner."""
        self._lines_left = MAX_LINES_PER_PASS

    def forget_ended(self) -> None:
        """Forgets the jobs that have ended."""
        jobs = self._control.job_by_id
        self._schedule_by_job = {
            job_id: schedule
            for job_id, schedule in self._schedule_by_job.items()
            if job_id in jobs
        }

    def write(
        self,
        jobs: Iterable[Job],
        workers: list[Worker],
        now: float,
        has_reservations: bool = False,
    ) -> None:
        """Writes the lines that are due for the jobs of a pool.

        Args:
            jobs: jobs with tasks that wait.
            workers: workers of the pool.
            now: boot-time clock in seconds.
            has_reservations: capacity of the pool is reserved.
        """
        for job in jobs:
            if not self._lines_left:
                return
            first = next(iter(job.waiting.values()), None)
            if first is not None and self._is_due(first, now):
                self._lines_left -= 1
                self._write_line(job, first, workers, now, has_reservations)

    def _is_due(self, task: Task, now: float) -> bool:
        if now - task.waiting_since < FIRST_INTERVAL_S:
            return False
        schedule = self._schedule_by_job.setdefault(
            task.job.job_id, _Schedule(now, FIRST_INTERVAL_S)
        )
        if now < schedule.due_at:
            return False
        schedule.due_at = now + schedule.interval_s
        schedule.interval_s = min(MAX_INTERVAL_S, 2 * schedule.interval_s)
        return True

    def _write_line(
        self,
        job: Job,
        task: Task,
        workers: list[Worker],
        now: float,
        has_reservations: bool,
    ) -> None:
        able = [worker for worker in workers if worker.can_fit_when_empty(task)]
        ready = [worker for worker in able if worker.accepts_work(now)]
        self._control.log.write(
            Event.WAITING,
            job=job.job_id,
            reason=self._reason(task, able, now, has_reservations).value,
            tasks=len(job.waiting),
            workers=len(workers),
            ready=len(ready),
            free_cpu=max((each.free.cpu for each in ready), default=0),
        )

    def _reason(
        self,
        task: Task,
        able: list[Worker],
        now: float,
        has_reservations: bool,
    ) -> WaitReason:
        submission = task.job.submission
        if not self._control.team_use.allows(
            submission.team_id, task.step.size
        ):
            return WaitReason.LIMIT
        if all(worker.evacuated for worker in able):
            return self._reason_without_workers(task, able)
        with_capacity = [
            worker
            for worker in able
            if worker.is_available(now) and worker.can_fit(task)
        ]
        if not with_capacity:
            return WaitReason.CAPACITY
        if not any(worker.accepts_work(now) for worker in with_capacity):
            return WaitReason.COLD
        policy = self._control.policies().get(submission.queue_id)
        if self._control.placement_limited:
            return WaitReason.ORDERS
        if policy and policy.advised:
            return WaitReason.ADVICE
        return WaitReason.RESERVED if has_reservations else WaitReason.ORDERS

    def _reason_without_workers(
        self, task: Task, evacuated: list[Worker]
    ) -> WaitReason:
        """Returns the reason if the pool has no worker that may run a task.

        Args:
            task: the task.
            evacuated: workers that could, but are being evacuated. They may
                have been switched off since.
        """
        data_centre_ids = {
            machine.data_centre_id
            for machine in self._control.machine_by_id.values()
            if fits_when_empty(task.step, machine.capacity, machine.labels)
        }
        if not data_centre_ids <= self._control.fleet.evacuated:
            return WaitReason.NO_WORKER
        if not data_centre_ids and not evacuated:
            return WaitReason.NO_WORKER
        return WaitReason.EVACUATED
