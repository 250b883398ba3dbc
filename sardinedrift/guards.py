"""Keeps one guarded worker in step with the fold, under its lease."""

import contextlib
import uuid
from collections.abc import AsyncIterator, Callable

from prometheus_client import Counter

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.exceptions import WorkerRefused, WorkerUnknown
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    ChangeId,
    EntryId,
    InstanceId,
    InstanceState,
    JobState,
    JobStep,
    Offset,
)
from sardinedrift.overuse import OveruseThrottle
from sardinedrift.ports import (
    Clock,
    TaskUse,
    UsageReport,
    WorkerPort,
    WorkerTask,
)
from sardinedrift.probation import Probation
from sardinedrift.reports import RUNNING, Report, progress, task_id

LEASE_SECONDS = 5.0
# Renewed with less left, so that it lasts until the task has started.
RENEW_SECONDS = 4.0
# Covers the clock error between an entry and a worker.
START_MARGIN_SECONDS = 1.0
ORDER_SECONDS = 1.0
_UNLIMITED = 1 << 20
_UNSETTLED = (JobState.PLACED, JobState.CANCELLING)

_starts = Counter(
    "sardinedrift_task_starts_total", "Starts of tasks on workers.", ["outcome"]
)
_failed_orders = Counter(
    "sardinedrift_worker_orders_failed_total",
    "Orders that a worker refused or did not answer.",
    ["reason"],
)


class Guard:
    """One worker, as seen by the entry that schedules its pool.

    Args:
        entry_id: this entry, holder of the lease.
        instance_id: the worker.
        follower: holds the folded state.
        workers: takes the orders.
        clock: current time.
        is_live: tells whether another entry is live.

    Attributes:
        pending: changes that the last visit found to be published.
    """

    def __init__(
        self,
        entry_id: EntryId,
        instance_id: InstanceId,
        follower: Follower,
        workers: WorkerPort,
        clock: Clock,
        is_live: Callable[[EntryId], bool],
    ):
        self.pending: list[ch.AnyChange] = []
        self._entry_id = entry_id
        self._instance_id = instance_id
        self._follower = follower
        self._workers = workers
        self._clock = clock
        self._is_live = is_live
        # A lease that an earlier guard of this entry took is not used: its
        # starts may still be on their way to the worker.
        self._older_lease = self._use().lease
        self._granted = Offset(-1)
        self._answering = False
        self._lapses_at = 0.0
        self._take_after: float | None = None
        self._lease_of_unclear: dict[str, Offset] = {}
        self._end_by_task: dict[str, Report] = {}
        self._probation = Probation(clock)
        self._overuse = OveruseThrottle(workers, clock)

    def room(self) -> int:
        """Returns how many more jobs may be placed here now.

        A worker that failed tasks gets one at a time until one succeeds. The
        worker has granted the lease of this entry before, and answered last;
        the lease is renewed when a task starts.
        """
        if not (self._answering and self._is_granted() and self._worker()):
            return 0
        return self._probation.room(len(self._use().job_ids), _UNLIMITED)

    def has_orders(self) -> bool:
        """Tells whether something is to be started, stopped or leased."""
        worker = self._worker()
        if worker is None:
            return False
        jobs = self._follower.state.placed_jobs(self._instance_id)
        if not self._is_granted():
            return worker.available or bool(jobs)
        draining = bool(jobs) and worker.state is InstanceState.DRAINING
        return draining or any(job.state in _UNSETTLED for job in jobs)

    @property
    def lease(self) -> Offset:
        """Number of the lease last granted by the worker."""
        return self._granted

    async def visit(self) -> None:
        """Takes the lease, starts and stops tasks, and reads the usage."""
        worker = self._worker()
        found: list[ch.AnyChange] = []
        if worker is not None and (worker.available or self._use().job_ids):
            try:
                async for change in self._visit(worker):
                    found.append(change)
                self._answering = True
            except WorkerRefused as refused:
                _failed_orders.labels(refused.code).inc()
            except WorkerUnknown:
                self._answering = False
                _failed_orders.labels("unknown").inc()
        self.pending = found

    async def _visit(
        self, worker: objects.Instance
    ) -> AsyncIterator[ch.AnyChange]:
        use = self._use()
        if not self._is_own(use):
            if self._may_take(use):
                yield self._take()
            return
        self._take_after = None
        if not self._is_granted():
            await self._renew(worker.address, use.lease)
        report = await self._workers.usage(worker.address, self._limit())
        await self._stop_strays(worker, report)
        line_by_task = {each.task_id: each for each in report.tasks}
        jobs = self._follower.state.placed_jobs(self._instance_id)
        self._forget_tasks({task_id(job) for job in jobs})
        for job in jobs:
            if self._follower.state.tables.job_by_id.get(job.job_id) != job:
                # It has changed while earlier ones were followed.
                continue
            line = line_by_task.get(task_id(job))
            try:
                change = await self._follow(worker, job, line, report.at)
            except WorkerRefused as refused:
                _failed_orders.labels(refused.code).inc()
                continue
            if change is not None:
                yield change

    def _is_own(self, use: objects.WorkerUse) -> bool:
        return use.holder == self._entry_id and use.lease > self._older_lease

    def _may_take(self, use: objects.WorkerUse) -> bool:
        """Leaves a live holder the time of one lease.

        Two entries that both take themselves for the scheduler would
        otherwise take the lease from each other with every record.
        """
        now = self._clock.now()
        if use.holder in (None, self._entry_id):
            return True
        if not self._is_live(use.holder):
            return True
        if self._take_after is None:
            self._take_after = now + LEASE_SECONDS
        return now >= self._take_after

    def _take(self) -> ch.TakeWorkerLease:
        return ch.TakeWorkerLease(
            change_id=ChangeId(uuid.uuid4().hex),
            instance_id=self._instance_id,
            entry_id=self._entry_id,
        )

    def _is_granted(self) -> bool:
        """Tells whether the worker has granted the newest lease, if it is own.

        It may have lapsed since; then nobody else has a newer one.
        """
        use = self._use()
        return self._is_own(use) and use.lease == self._granted

    async def _renew(self, address: str, lease: Offset) -> None:
        now = self._clock.now()
        if lease == self._granted and now < self._lapses_at - RENEW_SECONDS:
            return
        lapses_at = now + LEASE_SECONDS
        await self._workers.take_lease(
            address, self._entry_id, lease, lapses_at, self._limit()
        )
        self._granted, self._lapses_at = lease, lapses_at

    def _lease_in_force(self) -> bool:
        left = self._lapses_at - self._clock.now()
        return self._is_granted() and left > START_MARGIN_SECONDS

    async def _stop_strays(
        self, worker: objects.Instance, report: UsageReport
    ) -> None:
        """Stops tasks whose place has ended.

        A task of a place beyond the own offset belongs to a later holder.
        """
        state = self._follower.state
        jobs = state.placed_jobs(self._instance_id)
        known = {task_id(job) for job in jobs}
        for line in report.tasks:
            place = line.task_id.rpartition(".")[2]
            stray = line.task_id not in known and place.isdecimal()
            if stray and line.state == "running" and int(place) <= state.offset:
                with contextlib.suppress(WorkerRefused):
                    await self._workers.stop(
                        worker.address, line.task_id, self._limit()
                    )

    async def _follow(
        self,
        worker: objects.Instance,
        job: objects.Job,
        line: TaskUse | None,
        reported_at: float,
    ) -> ch.AnyChange | None:
        """Brings one job forward; returns what to publish about it."""
        end = self._end_by_task.get(task_id(job))
        if end is not None:
            return self._progress(job, end)
        if line is not None and line.state != "running":
            return self._ended(job, line.state)
        if job.state is JobState.CANCELLING:
            return await self._stop(worker, job, "cancelled")
        draining = worker.state is InstanceState.DRAINING
        if draining and (job.preemptible or job.state is JobState.PLACED):
            return await self._stop(worker, job, "drained")
        if self._over_time(job):
            return await self._stop(worker, job, "run_too_long")
        if line is None:
            return await self._start(worker, job)
        self._probation.count_success()
        if await self._overuse.enforce(
            worker.address, line, job.memory_gb, reported_at, self._limit()
        ):
            peak = self._overuse.peak(line.task_id)
            return await self._stop(worker, job, "used_too_much", peak)
        if job.state is JobState.PLACED:
            return self._progress(job, RUNNING)
        return None

    def _over_time(self, job: objects.Job) -> bool:
        ends_at = job.time + job.max_run_seconds
        return job.state is JobState.RUNNING and self._clock.now() > ends_at

    async def _start(
        self, worker: objects.Instance, job: objects.Job
    ) -> ch.AnyChange | None:
        """Starts the task of a job; a task that runs already goes on."""
        await self._renew(worker.address, self._granted)
        if not self._lease_in_force():
            return None
        name = task_id(job)
        task = WorkerTask(
            task_id=name,
            lease_number=self._granted,
            cores=job.cores,
            memory_gb=job.memory_gb,
            accelerators=job.accelerators,
        )
        try:
            state = await self._workers.start(
                worker.address, task, self._limit()
            )
        except WorkerUnknown:
            _starts.labels("unknown").inc()
            self._lease_of_unclear[name] = task.lease_number
            return None
        except WorkerRefused as refused:
            _starts.labels(refused.code).inc()
            if refused.code == "does_not_fit":
                return self._end(job, Report(JobStep.FAILED, refused.code))
            self._lapses_at = 0.0
            return None
        _starts.labels(state).inc()
        if state != "running":
            return self._ended(job, state)
        if job.state is JobState.RUNNING:
            return None
        return self._progress(job, RUNNING)

    async def _stop(
        self,
        worker: objects.Instance,
        job: objects.Job,
        reason: str,
        memory_gb: float | None = None,
    ) -> ch.AnyChange | None:
        """Stops the task of a job after a checkpoint."""
        name = task_id(job)
        try:
            if reason != "cancelled":
                await self._workers.checkpoint(
                    worker.address, name, self._limit()
                )
            state = await self._workers.stop(
                worker.address, name, self._limit()
            )
        except WorkerRefused as refused:
            if refused.code != "no_such_task":
                raise
            if self._lease_of_unclear.get(name) == self._granted:
                # A start without an answer may still arrive. Only a newer
                # lease makes the worker refuse it.
                return self._take()
            state = "stopped"
        if state != "stopped":
            return self._ended(job, state)
        if reason == "run_too_long":
            return self._end(job, Report(JobStep.FAILED, reason, final=True))
        end = Report(JobStep.STOPPED, reason, memory_gb=memory_gb)
        return self._end(job, end)

    def _ended(self, job: objects.Job, state: str) -> ch.AnyChange:
        if state == "failed":
            self._probation.count_failure()
            return self._end(job, Report(JobStep.FAILED, "task_failed"))
        if state == "done":
            self._probation.count_success()
            return self._end(job, Report(JobStep.DONE))
        return self._end(job, Report(JobStep.STOPPED, "stopped"))

    def _end(self, job: objects.Job, end: Report) -> ch.JobProgress:
        """Remembers why a task ended until the fold has ended its place.

        The worker only tells that it stopped; the learned size and the reason
        would be lost when a report is repeated.
        """
        self._end_by_task[task_id(job)] = end
        return self._progress(job, end)

    def _progress(self, job: objects.Job, report: Report) -> ch.JobProgress:
        return progress(job, self._granted, report)

    def _forget_tasks(self, known: set[str]) -> None:
        """Drops what is remembered of tasks that are placed no more."""
        self._overuse.retain(known)
        for rows in (self._lease_of_unclear, self._end_by_task):
            for name in rows.keys() - known:
                del rows[name]

    def _limit(self) -> float:
        return self._clock.now() + ORDER_SECONDS

    def _worker(self) -> objects.Instance | None:
        tables = self._follower.state.tables
        return tables.instance_by_id.get(self._instance_id)

    def _use(self) -> objects.WorkerUse:
        rows = self._follower.state.tables.worker_use_by_instance
        return rows.get(self._instance_id) or objects.WorkerUse(
            self._instance_id
        )
