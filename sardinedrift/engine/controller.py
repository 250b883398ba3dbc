"""The controller: takes over the recorded state, then plans until its end."""

import asyncio
import contextlib
from collections.abc import Callable

from sardinedrift.engine import gauges
from sardinedrift.engine.advising import Advisor
from sardinedrift.engine.catalogue import (
    JobCatalogue,
    TermRecord,
)
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.fleet import MAX_CLOCK_DRIFT
from sardinedrift.engine.machineinventory import QuietMachines
from sardinedrift.engine.machinemanager import MachineManager
from sardinedrift.engine.metrics import Metrics
from sardinedrift.engine.model import (
    WorkerId,
)
from sardinedrift.engine.orders import LEASE_MS, Orders
from sardinedrift.engine.planner import Planner
from sardinedrift.engine.ports import (
    AdviceService,
    MachineService,
    PublishedState,
    RecordStore,
    RegisteredWorker,
    WaveReports,
    WorkerOrders,
)
from sardinedrift.engine.progresswriter import ProgressWriter
from sardinedrift.engine.retention import expired_jobs, removal_records
from sardinedrift.engine.roster import ForeignLeases, Roster
from sardinedrift.engine.term import RENEWAL_TIMEOUT_S, Term
from sardinedrift.identifiers import JobId, Offset

# Decisions are reviewed at least this often, for due times and ages.
REVIEW_S = 0.25
RETENTION_EVERY_S = 10.0
# Until then an earlier controller may have renewed leases where we could not.
FOREIGN_S = RENEWAL_TIMEOUT_S + LEASE_MS / 1000 * (1 + 2 * MAX_CLOCK_DRIFT)

CLOSED_LEASE_S = LEASE_MS / 1000 * (1 + 2 * MAX_CLOCK_DRIFT)


class Ports:
    """What a controller reaches: one object of each port.

    Attributes:
        registrations: makes a feed of workers for a listener, which is told
            each worker id with its registration, or None when it is gone.
    """

    def __init__(
        self,
        store: RecordStore,
        workers: WorkerOrders,
        registrations: Callable[
            [Callable[[WorkerId, RegisteredWorker | None], None]], Feed
        ],
        machines: MachineService,
        advice: AdviceService,
        reports: WaveReports,
    ):
        self.store = store
        self.workers = workers
        self.registrations = registrations
        self.machines = machines
        self.advice = advice
        self.reports = reports


class ControllerDependencies:
    """What a controller works with, in every term.

    Args:
        topic: keyed topic of the jobs.
        jobs: feed of the jobs, into the catalogue.
        catalogue: the jobs.
        published: what operators ask for.
        outside: the ports.
        clock: current times.
        log: takes log lines.
        metrics: counts.
        machine_quiet_s: no orders for machines this long after a change of
            controllers.
        status_s: how long the state of an ended job is kept for callers.
    """

    def __init__(
        self,
        topic: str,
        jobs: Feed,
        catalogue: JobCatalogue,
        published: PublishedState,
        outside: Ports,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
        machine_quiet_s: float,
        status_s: float,
    ):
        self.topic = topic
        self.jobs = jobs
        self.catalogue = catalogue
        self.published = published
        self.outside = outside
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.machine_quiet_s = machine_quiet_s
        self.status_s = status_s


class TermController:
    """Controls for one term; everything it starts ends with the term.

    Args:
        parts: what it works with.
        term: its token and bounds.
    """

    def __init__(self, parts: ControllerDependencies, term: Term):
        self._parts = parts
        self._term = term
        self._clock = parts.clock
        self._writer = ProgressWriter(parts.outside.store, parts.topic, term)
        self._control = ControllerState(
            term,
            parts.catalogue,
            self._writer,
            parts.published,
            parts.clock,
            parts.log,
            parts.metrics,
        )
        self._orders = Orders(
            self._control,
            parts.outside.workers,
            lambda worker: self._roster.wake(worker),
        )
        self._roster = Roster(
            self._control, self._orders, parts.outside.workers
        )
        self._control.stop_run = self._orders.stop_soon
        self._advisor = Advisor(
            parts.outside.advice,
            parts.clock,
            parts.log,
            self._control.changed.set,
        )
        self._orders.tickets = self._advisor
        self._planner = Planner(self._control, self._orders, self._advisor)
        self._roster.foreign = ForeignLeases(term.begun_at + FOREIGN_S)
        self._quiet = QuietMachines(term.begun_at + parts.machine_quiet_s, None)
        self._machinery: MachineManager | None = None

    async def run(self) -> None:
        """Takes over, then plans until the term ends.

        Raises:
            StoreFenced: another controller has taken over; in a group.
        """
        with self._parts.jobs.poll_frequently():
            await self._run()

    async def _run(self) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                self._roster.group = group
                await self._take_over(group)
                group.create_task(self._plan_forever())
                group.create_task(self._remove_expired())
                group.create_task(self._show_gauges())
                self._machinery = self._make_machinery()
                group.create_task(self._machinery.run())
                await self._term.wait_end()
                raise _TermEnded
        except* _TermEnded:
            await self._close()
        finally:
            self._parts.catalogue.observer = None
            gauges.clear(self._parts.metrics)
            self._advisor.close()
            self._orders.close()

    def _make_machinery(self) -> MachineManager:
        return MachineManager(
            self._control,
            self._parts.outside.machines,
            self._parts.outside.reports,
            self._roster.wake,
            self._quiet,
        )

    async def _close(self) -> None:
        """Tells the successor that no order of this term is on its way."""
        self._orders.close()
        since = self._clock.boot() - self._parts.machine_quiet_s
        ordered = self._machinery.ordered_since(since)
        record = TermRecord(
            self._term.token,
            self._parts.log.node,
            True,
            ordered,
            tuple(self._roster.silent_workers()),
        )
        with contextlib.suppress(StoreError):
            await self._writer.close_term(record)

    async def _take_over(self, group: asyncio.TaskGroup) -> None:
        end = await self._writer.fence()
        await self._parts.jobs.wait_for_offset(end)
        predecessor = self._parts.catalogue.newest_term
        self._judge_predecessor(predecessor)
        record = TermRecord(self._term.token, self._parts.log.node)
        await self._writer.record_term(record)
        self._parts.log.write(
            Event.TERM_BEGUN,
            token=self._term.token,
            earlier_token=predecessor.token if predecessor else None,
            earlier_node=predecessor.node if predecessor else None,
            earlier_closed=predecessor.closed if predecessor else None,
            jobs=len(self._parts.catalogue.known_by_id),
            records_end=end,
        )
        registrations = self._parts.outside.registrations(
            self._roster.take_registration
        )
        group.create_task(registrations.run())
        await registrations.wait_for_offset(Offset(0))
        self._parts.catalogue.observer = self._on_job
        for job_id in list(self._parts.catalogue.known_by_id):
            self._on_job(job_id)
        group.create_task(self._writer.run())

    def _judge_predecessor(self, predecessor: TermRecord | None) -> None:
        """Shortens the waits when the last controller ended in order."""
        if predecessor is None:
            self._roster.foreign = ForeignLeases(self._term.begun_at)
            self._quiet = QuietMachines(self._term.begun_at, frozenset())
        elif predecessor.closed:
            now = self._clock.boot()
            self._roster.foreign = ForeignLeases(
                now + CLOSED_LEASE_S,
                {
                    silent.worker_id: now + silent.left_ms / 1000
                    for silent in predecessor.silent
                },
            )
            self._quiet = QuietMachines(
                self._quiet.until, frozenset(predecessor.ordered)
            )

    def _on_job(self, job_id: JobId) -> None:
        known = self._parts.catalogue.find(job_id)
        if known is None:
            return
        job = self._control.job_by_id.get(job_id)
        if job is None:
            if not self._is_over(job_id):
                job = self._control.admit(known.submission)
            if job is not None:
                self._roster.attach_restored(job)
        elif known.cancelled:
            self._control.cancel(job)

    def _is_over(self, job_id: JobId) -> bool:
        known = self._parts.catalogue.find(job_id)
        progress = known.progress if known else None
        return (
            progress is not None
            and progress.ended_ms > 0
            and not any(record.worker_id for record in progress.tasks)
        )

    async def _plan_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REVIEW_S):
                    await self._control.changed.wait()
            self._control.changed.clear()
            self._open_due()
            if self._term.may_order:
                self._planner.plan()
                self._planner.review()

    async def _show_gauges(self) -> None:
        while True:
            gauges.update(self._control, self._parts.metrics)
            await asyncio.sleep(gauges.UPDATE_INTERVAL_S)

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(RETENTION_EVERY_S)
            for job_id in list(
                expired_jobs(
                    self._parts.catalogue,
                    self._clock.unix_ms(),
                    self._parts.status_s,
                )
            ):
                for record in removal_records(job_id):
                    self._writer.add_record(record)

    def _open_due(self) -> None:
        now_ms = self._clock.unix_ms()
        for job in self._control.job_by_id.values():
            job.create_due_occurrences(now_ms)


class _TermEnded(Exception):  # noqa: N818
    """Ends the task group of a term."""
