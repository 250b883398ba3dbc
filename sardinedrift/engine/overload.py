"""Detects backlogs, and reports them to the entries.

An overload that lasts makes more and more jobs overdue, and each further job
that is accepted makes the others later still. Entries then refuse jobs (load
shedding), so that those that were accepted are completed.
"""

from collections.abc import Iterable

import msgspec

from sardinedrift.engine.catalogue import (
    Backlog,
    OverloadRecord,
    overload_record,
)
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import QueuePolicy, Size, Step
from sardinedrift.engine.objectives import has_objective, is_overdue
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import QueueId

# A job starves once it has had no run for this long.
STARVATION_S = 2.0
# Fewer starving jobs may have causes of their own, such as a worker that is
# about to return.
MIN_STARVING_JOBS = 4
# The same for a smaller share of the jobs of a client account on a queue.
MIN_STARVING_SHARE = 0.25
# A reported backlog persists while overdue jobs wait, in at least this share of
# the numbers above; otherwise each run that starts would let jobs in.
RECOVERED_SHARE = 0.5
REPORT_INTERVAL_S = 1.0
# A report applies for this long, so that one of a controller that has failed
# does not keep jobs out.
VALIDITY_MS = 3000
# A successor continues a report that has expired for less than this time, as
# there was no controller to repeat it.
INHERITANCE_MS = 5000


class LargestWorker:
    """Upper bounds of what the workers of a fleet offer to one task.

    Workers that are being evacuated offer nothing.

    Args:
        workers: the workers.
    """

    def __init__(self, workers: Iterable[Worker]):
        cpu = memory_mb = accelerators = 0
        labels: set[str] = set()
        offering = [worker for worker in workers if not worker.evacuated]
        self._any = bool(offering)
        for worker in offering:
            capacity = worker.registered.capacity
            cpu = max(cpu, capacity.cpu)
            memory_mb = max(memory_mb, capacity.memory_mb)
            accelerators = max(accelerators, capacity.accelerators)
            labels |= worker.registered.labels
        self._size = Size(cpu, memory_mb, accelerators)
        self._labels = labels

    def may_run(self, step: Step) -> bool:
        """Returns False if a task of a step fits on no worker."""
        return (
            self._any
            and step.size.cpu <= self._size.cpu
            and step.size.memory_mb <= self._size.memory_mb
            and step.size.accelerators <= self._size.accelerators
            and (not step.label or step.label in self._labels)
        )


class _Counts(msgspec.Struct):
    """Unfinished jobs of a client account on a queue, or of several accounts.

    Attributes:
        overdue: those that are overdue and have waiting tasks.
        starving: the overdue ones that have had no run for a while.
    """

    unfinished: int = 0
    overdue: int = 0
    starving: int = 0

    def add(self, other: "_Counts") -> None:
        """Adds the jobs of another account."""
        self.unfinished += other.unfinished
        self.overdue += other.overdue
        self.starving += other.starving

    @property
    def is_backlog(self) -> bool:
        """Whether so many jobs starve that a further one would only wait."""
        return self.starving >= self._limit()

    @property
    def persists(self) -> bool:
        """Whether a reported backlog has not been worked off."""
        return self.overdue >= RECOVERED_SHARE * self._limit()

    def _limit(self) -> float:
        return max(MIN_STARVING_JOBS, MIN_STARVING_SHARE * self.unfinished)


def find_backlogs(
    jobs: Iterable[Job],
    policy_by_id: dict[QueueId, QueuePolicy],
    largest: LargestWorker,
    now: float,
    now_ms: float,
    reported: frozenset[Backlog] = frozenset(),
) -> frozenset[Backlog]:
    """Returns the client accounts and queues whose overdue jobs starve.

    Jobs that fit on no worker don't count: they say nothing about others. Where
    no account has a backlog by itself, those of a queue are counted together.

    Args:
        jobs: the unfinished jobs.
        policy_by_id: the policies of their queues.
        largest: bounds of what workers offer.
        now: boot-time clock in seconds.
        now_ms: current time in Unix ms.
        reported: the backlogs found before.
    """
    counts_by_backlog = _count_jobs(jobs, policy_by_id, largest, now, now_ms)
    found = {
        backlog
        for backlog, counts in counts_by_backlog.items()
        if counts.is_backlog or (backlog in reported and counts.persists)
    }
    others_by_queue: dict[QueueId, _Counts] = {}
    for backlog, counts in counts_by_backlog.items():
        if backlog not in found:
            others = others_by_queue.setdefault(backlog.queue_id, _Counts())
            others.add(counts)
    return frozenset(
        backlog
        for backlog, counts in counts_by_backlog.items()
        if backlog in found
        or (counts.starving and others_by_queue[backlog.queue_id].is_backlog)
    )


def _count_jobs(
    jobs: Iterable[Job],
    policy_by_id: dict[QueueId, QueuePolicy],
    largest: LargestWorker,
    now: float,
    now_ms: float,
) -> dict[Backlog, _Counts]:
    counts_by_backlog: dict[Backlog, _Counts] = {}
    for job in jobs:
        policy = policy_by_id.get(job.submission.queue_id)
        if policy is None or job.ended or not _is_possible(job, largest):
            continue
        backlog = Backlog(job.submission.queue_id, job.submission.team_id)
        counts = counts_by_backlog.setdefault(backlog, _Counts())
        counts.unfinished += 1
        if job.waiting and is_overdue(job, policy, now_ms):
            counts.overdue += 1
            counts.starving += _starves(job, now)
    return counts_by_backlog


def _is_possible(job: Job, largest: LargestWorker) -> bool:
    return all(largest.may_run(step) for step in job.submission.steps)


def _starves(job: Job, now: float) -> bool:
    if job.active:
        return False
    first = next(iter(job.waiting.values()), None)
    return (
        first is not None
        and first.waiting_since > 0.0
        and now - first.waiting_since > STARVATION_S
    )


def _count_tasks(jobs: Iterable[Job]) -> int:
    """Returns the number of tasks left of jobs that have an objective."""
    return sum(job.remaining_tasks for job in jobs if has_objective(job))


def _waiting_backlogs(jobs: Iterable[Job]) -> frozenset[Backlog]:
    """Returns the queues and client accounts that have waiting jobs."""
    return frozenset(
        Backlog(job.submission.queue_id, job.submission.team_id)
        for job in jobs
        if job.waiting and has_objective(job)
    )


class OverloadReporter:
    """Records the backlogs in the store, where all entries read them.

    Args:
        control: state of the term.
    """

    def __init__(self, control: ControllerState):
        self._control = control
        self._reported: frozenset[Backlog] = frozenset()
        self._inherit_report()

    def _inherit_report(self) -> None:
        """Continues the report of an earlier controller.

        The backlog remains when the controller changes, but this one has not
        measured anything yet, and would let jobs in for some seconds.
        """
        control = self._control
        overload = control.catalogue.overload
        if (
            overload is not None
            and control.clock.unix_ms() < overload.until_ms + INHERITANCE_MS
        ):
            self._reported = frozenset(overload.backlogs)
            control.saturation.saturated = overload.saturated
            control.saturation.severe = overload.all_accounts

    def report(self) -> None:
        """Records the backlogs, unless there are none now nor before."""
        control = self._control
        now_ms = control.clock.unix_ms()
        jobs = control.job_by_id.values()
        backlogs = find_backlogs(
            jobs,
            control.policies(),
            LargestWorker(control.fleet.worker_by_id.values()),
            control.clock.boot(),
            now_ms,
            self._reported,
        )
        saturation = control.saturation
        was_severe = saturation.severe
        saturation.sample(_count_tasks(jobs), control.clock.boot())
        if saturation.saturated:
            backlogs |= _waiting_backlogs(jobs)
        if backlogs or self._reported or saturation.saturated:
            record = OverloadRecord(
                now_ms + VALIDITY_MS,
                tuple(backlogs),
                saturation.saturated,
                saturation.severe,
            )
            control.writer.add_record(overload_record(record))
        if backlogs != self._reported or saturation.severe != was_severe:
            control.log.write(
                Event.OVERLOAD,
                backlogs=[(each.queue_id, each.team_id) for each in backlogs],
                saturated=saturation.saturated,
                all_accounts=saturation.severe,
                remaining_s=saturation.remaining_s,
            )
        self._reported = backlogs
