"""Reconciles one guarded worker with the folded state, under its lease."""

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
from sardinedrift.reports import RUNNING, TaskReport, progress_change, task_id

LEASE_DURATION_SECONDS = 5.0
# Remaining time below which the lease is renewed; it must outlast a start.
RENEWAL_THRESHOLD_SECONDS = 4.0
# Covers the clock error between an entry and a worker.
START_MARGIN_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 1.0
_UNLIMITED = 1 << 20
_STATES_WITH_ORDERS = (JobState.PLACED, JobState.CANCELLING)

_starts = Counter(
    "sardinedrift_task_starts_total", "Starts of tasks on workers.", ["outcome"]
)
_failed_orders = Counter(
    "sardinedrift_worker_orders_failed_total",
    "Orders that a worker refused or did not answer.",
    ["reason"],
)


class WorkerReconciler:
    """Reconciles one worker for the entry that schedules its pool.

    Args:
        entry_id: this entry, the lease holder.
        instance_id: the worker.
        follower: holds the folded state.
        workers: sends the orders.
        clock: source of the time.
        is_live: returns whether another entry is live.

    Attributes:
        pending_changes: changes to publish, found by the last pass.
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
        self.pending_changes: list[ch.AnyChange] = []
        self._entry_id = entry_id
        self._instance_id = instance_id
        self._follower = follower
        self._workers = workers
        self._clock = clock
        self._is_live = is_live
        # Not reused: starts sent under this lease may still reach the worker.
        self._previous_lease = self._use().lease
        self._granted_lease = Offset(-1)
        self._reachable = False
        self._lease_expires_at = 0.0
        self._takeover_at: float | None = None
        self._lease_by_unconfirmed_task: dict[str, Offset] = {}
        self._end_report_by_task: dict[str, TaskReport] = {}
        self._probation = Probation(clock)
        self._overuse = OveruseThrottle(workers, clock)

    def placement_capacity(self) -> int:
        """Returns how many more jobs may be placed on the worker now.

        The worker must have granted the newest lease, which is renewed before
        a task starts, and answered the last order. After a failed task it gets
        one job at a time until a task succeeds.
        """
        if not (
            self._reachable and self._is_lease_granted() and self._worker()
        ):
            return 0
        return self._probation.placement_capacity(
            len(self._use().job_ids), _UNLIMITED
        )

    def has_orders(self) -> bool:
        """Returns whether a lease, a start or a stop is due."""
        worker = self._worker()
        if worker is None:
            return False
        jobs = self._follower.state.placed_jobs(self._instance_id)
        if not self._is_lease_granted():
            return worker.available or bool(jobs)
        draining = bool(jobs) and worker.state is InstanceState.DRAINING
        return draining or any(job.state in _STATES_WITH_ORDERS for job in jobs)

    @property
    def lease(self) -> Offset:
        """Number of the lease last granted by the worker."""
        return self._granted_lease

    async def reconcile(self) -> None:
        """Takes the lease, starts and stops tasks, and reads the usage."""
        worker = self._worker()
        changes: list[ch.AnyChange] = []
        if worker is not None and (worker.available or self._use().job_ids):
            try:
                async for change in self._reconcile(worker):
                    changes.append(change)
                self._reachable = True
            except WorkerRefused as refusal:
                _failed_orders.labels(refusal.code).inc()
            except WorkerUnknown:
                self._reachable = False
                _failed_orders.labels("unknown").inc()
        self.pending_changes = changes

    async def _reconcile(
        self, worker: objects.Instance
    ) -> AsyncIterator[ch.AnyChange]:
        use = self._use()
        if not self._holds_lease(use):
            if self._may_take_lease(use):
                yield self._take_lease_change()
            return
        self._takeover_at = None
        if not self._is_lease_granted():
            await self._renew_lease(worker.address, use.lease)
        report = await self._workers.usage(
            worker.address, self._order_deadline()
        )
        await self._stop_orphaned_tasks(worker, report)
        use_by_task = {each.task_id: each for each in report.tasks}
        jobs = self._follower.state.placed_jobs(self._instance_id)
        self._drop_other_tasks({task_id(job) for job in jobs})
        for job in jobs:
            if self._follower.state.tables.job_by_id.get(job.job_id) != job:
                # The job changed while earlier ones were reconciled.
                continue
            task_use = use_by_task.get(task_id(job))
            try:
                change = await self._reconcile_job(
                    worker, job, task_use, report.at
                )
            except WorkerRefused as refusal:
                _failed_orders.labels(refusal.code).inc()
                continue
            if change is not None:
                yield change

    def _holds_lease(self, use: objects.WorkerUse) -> bool:
        return use.holder == self._entry_id and use.lease > self._previous_lease

    def _may_take_lease(self, use: objects.WorkerUse) -> bool:
        """Returns whether this entry may take the lease now.

        A live holder keeps it for one more lease duration. Otherwise two
        entries that both act as scheduler would take it in turn at each record.
        """
        now = self._clock.now()
        if use.holder in (None, self._entry_id):
            return True
        if not self._is_live(use.holder):
            return True
        if self._takeover_at is None:
            self._takeover_at = now + LEASE_DURATION_SECONDS
        return now >= self._takeover_at

    def _take_lease_change(self) -> ch.TakeWorkerLease:
        return ch.TakeWorkerLease(
            change_id=ChangeId(uuid.uuid4().hex),
            instance_id=self._instance_id,
            entry_id=self._entry_id,
        )

    def _is_lease_granted(self) -> bool:
        """Returns whether the worker granted the newest lease to this entry.

        The lease may have expired since; no other entry has a newer one then.
        """
        use = self._use()
        return self._holds_lease(use) and use.lease == self._granted_lease

    async def _renew_lease(self, address: str, lease: Offset) -> None:
        now = self._clock.now()
        if (
            lease == self._granted_lease
            and now < self._lease_expires_at - RENEWAL_THRESHOLD_SECONDS
        ):
            return
        expires_at = now + LEASE_DURATION_SECONDS
        await self._workers.take_lease(
            address, self._entry_id, lease, expires_at, self._order_deadline()
        )
        self._granted_lease, self._lease_expires_at = lease, expires_at

    def _is_lease_valid(self) -> bool:
        remaining = self._lease_expires_at - self._clock.now()
        return self._is_lease_granted() and remaining > START_MARGIN_SECONDS

    async def _stop_orphaned_tasks(
        self, worker: objects.Instance, report: UsageReport
    ) -> None:
        """Stops tasks whose placement has ended.

        Tasks placed after the state's offset belong to a later lease holder.
        """
        state = self._follower.state
        jobs = state.placed_jobs(self._instance_id)
        placed = {task_id(job) for job in jobs}
        for task_use in report.tasks:
            place = task_use.task_id.rpartition(".")[2]
            orphaned = task_use.task_id not in placed and place.isdecimal()
            if (
                orphaned
                and task_use.state == "running"
                and int(place) <= state.offset
            ):
                with contextlib.suppress(WorkerRefused):
                    await self._workers.stop(
                        worker.address, task_use.task_id, self._order_deadline()
                    )

    async def _reconcile_job(
        self,
        worker: objects.Instance,
        job: objects.Job,
        task_use: TaskUse | None,
        reported_at: float,
    ) -> ch.AnyChange | None:
        """Reconciles one job; returns the change to publish, if any."""
        end = self._end_report_by_task.get(task_id(job))
        if end is not None:
            return self._progress_change(job, end)
        if task_use is not None and task_use.state != "running":
            return self._report_end_state(job, task_use.state)
        if job.state is JobState.CANCELLING:
            return await self._stop(worker, job, "cancelled")
        draining = worker.state is InstanceState.DRAINING
        if draining and (job.preemptible or job.state is JobState.PLACED):
            return await self._stop(worker, job, "drained")
        if self._exceeds_run_time(job):
            return await self._stop(worker, job, "run_too_long")
        if task_use is None:
            return await self._start(worker, job)
        self._probation.count_success()
        if await self._overuse.enforce(
            worker.address,
            task_use,
            job.memory_gb,
            reported_at,
            self._order_deadline(),
        ):
            peak = self._overuse.peak(task_use.task_id)
            return await self._stop(worker, job, "used_too_much", peak)
        if job.state is JobState.PLACED:
            return self._progress_change(job, RUNNING)
        return None

    def _exceeds_run_time(self, job: objects.Job) -> bool:
        ends_at = job.time + job.max_run_seconds
        return job.state is JobState.RUNNING and self._clock.now() > ends_at

    async def _start(
        self, worker: objects.Instance, job: objects.Job
    ) -> ch.AnyChange | None:
        """Starts the task of a job; has no effect on a running task."""
        await self._renew_lease(worker.address, self._granted_lease)
        if not self._is_lease_valid():
            return None
        name = task_id(job)
        task = WorkerTask(
            task_id=name,
            lease_number=self._granted_lease,
            cores=job.cores,
            memory_gb=job.memory_gb,
            accelerators=job.accelerators,
        )
        try:
            state = await self._workers.start(
                worker.address, task, self._order_deadline()
            )
        except WorkerUnknown:
            _starts.labels("unknown").inc()
            self._lease_by_unconfirmed_task[name] = task.lease_number
            return None
        except WorkerRefused as refusal:
            _starts.labels(refusal.code).inc()
            if refusal.code == "does_not_fit":
                return self._report_end(
                    job, TaskReport(JobStep.FAILED, refusal.code)
                )
            self._lease_expires_at = 0.0
            return None
        _starts.labels(state).inc()
        if state != "running":
            return self._report_end_state(job, state)
        if job.state is JobState.RUNNING:
            return None
        return self._progress_change(job, RUNNING)

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
                    worker.address, name, self._order_deadline()
                )
            state = await self._workers.stop(
                worker.address, name, self._order_deadline()
            )
        except WorkerRefused as refusal:
            if refusal.code != "no_such_task":
                raise
            if self._lease_by_unconfirmed_task.get(name) == self._granted_lease:
                # The worker refuses a late start only under a newer lease.
                return self._take_lease_change()
            state = "stopped"
        if state != "stopped":
            return self._report_end_state(job, state)
        if reason == "run_too_long":
            return self._report_end(
                job, TaskReport(JobStep.FAILED, reason, final=True)
            )
        end = TaskReport(JobStep.STOPPED, reason, memory_gb=memory_gb)
        return self._report_end(job, end)

    def _report_end_state(self, job: objects.Job, state: str) -> ch.AnyChange:
        if state == "failed":
            self._probation.count_failure()
            return self._report_end(
                job, TaskReport(JobStep.FAILED, "task_failed")
            )
        if state == "done":
            self._probation.count_success()
            return self._report_end(job, TaskReport(JobStep.DONE))
        return self._report_end(job, TaskReport(JobStep.STOPPED, "stopped"))

    def _report_end(self, job: objects.Job, end: TaskReport) -> ch.JobProgress:
        """Stores the end report of a task until the fold ends its placement.

        Usage reports of a stopped task have no reason and no learned size.
        """
        self._end_report_by_task[task_id(job)] = end
        return self._progress_change(job, end)

    def _progress_change(
        self, job: objects.Job, report: TaskReport
    ) -> ch.JobProgress:
        return progress_change(job, self._granted_lease, report)

    def _drop_other_tasks(self, placed: set[str]) -> None:
        """Drops the records of tasks that are no longer placed."""
        self._overuse.retain(placed)
        for rows in (self._lease_by_unconfirmed_task, self._end_report_by_task):
            for name in rows.keys() - placed:
                del rows[name]

    def _order_deadline(self) -> float:
        return self._clock.now() + ORDER_TIMEOUT_SECONDS

    def _worker(self) -> objects.Instance | None:
        tables = self._follower.state.tables
        return tables.instance_by_id.get(self._instance_id)

    def _use(self) -> objects.WorkerUse:
        rows = self._follower.state.tables.worker_use_by_instance
        return rows.get(self._instance_id) or objects.WorkerUse(
            self._instance_id
        )
