"""The controller: restores the stored state and plans until its term ends."""

import asyncio
import contextlib

import msgspec

from sardinedrift.engine import gauges, overload
from sardinedrift.engine.advising import Advisor
from sardinedrift.engine.catalogue import TermRecord
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.dependencies import ControllerDependencies
from sardinedrift.engine.evacuation import EvacuationReview
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.leases import LEASE_MS
from sardinedrift.engine.limiter import OrderLimiter
from sardinedrift.engine.machineinventory import MachineCooldown
from sardinedrift.engine.machinemanager import MachineManager
from sardinedrift.engine.model import MachineId
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.overload import OverloadReporter
from sardinedrift.engine.pace import Pace
from sardinedrift.engine.planner import Planner
from sardinedrift.engine.progresswriter import ProgressWriter
from sardinedrift.engine.retention import expired_jobs, removal_records
from sardinedrift.engine.roster import PredecessorLeases, Roster
from sardinedrift.engine.term import RENEWAL_TIMEOUT_S, Term
from sardinedrift.engine.workerprocess import LEASE_MARGIN
from sardinedrift.identifiers import JobId, Offset

# Decisions are reviewed at least at this interval, as due times and ages change
# without an event.
REVIEW_INTERVAL_S = 0.25
RETENTION_INTERVAL_S = 10.0
# A new controller waits no longer than this for what operators published before
# its term. Its feed reads that as well, but a poll in progress may be older.
REFRESH_TIMEOUT_S = 1.0
# Share of the time that planning may take.
MAX_PLANNING_SHARE = 0.25
# This long after the start of a term, all leases renewed by a predecessor
# have expired, also on workers that this controller cannot reach.
PREDECESSOR_LEASES_S = RENEWAL_TIMEOUT_S + LEASE_MS / 1000 * LEASE_MARGIN
# The same after a closed term, whose controller renews no more leases.
CLOSED_TERM_LEASES_S = LEASE_MS / 1000 * LEASE_MARGIN


class TermController:
    """Controller of one term; all its tasks end with the term.

    Args:
        dependencies: dependencies shared by all terms.
        term: fencing token and time limits.
    """

    def __init__(self, dependencies: ControllerDependencies, term: Term):
        self._dependencies = dependencies
        self._term = term
        self._clock = dependencies.clock
        self._writer = ProgressWriter(
            dependencies.ports.store,
            dependencies.topic,
            term,
            dependencies.log,
        )
        self._control = ControllerState(
            term,
            dependencies.catalogue,
            self._writer,
            dependencies.published,
            dependencies.clock,
            dependencies.log,
            dependencies.metrics,
            dependencies.max_lease_ms,
        )
        self._limiter = OrderLimiter()
        self._orders = Orders(
            self._control,
            dependencies.ports.workers,
            self._limiter,
            lambda worker: self._roster.wake(worker),
        )
        self._roster = Roster(
            self._control, self._orders, dependencies.ports.workers
        )
        self._control.stop_run = self._orders.stop_soon
        self._advisor = Advisor(
            dependencies.ports.advice,
            dependencies.clock,
            dependencies.log,
            self._control.changed.set,
        )
        self._orders.advisor = self._advisor
        self._planner = Planner(
            self._control, self._orders, self._advisor, self._limiter
        )
        self._evacuation_review = EvacuationReview(self._control)
        self._pace = Pace(dependencies.clock, MAX_PLANNING_SHARE)
        self._roster.predecessor_leases = PredecessorLeases(
            term.started_at + PREDECESSOR_LEASES_S
        )
        self._cooldown = self._make_cooldown(None)
        self._writer.make_term_record = self._term_record
        self._machine_manager: MachineManager | None = None

    async def run(self) -> None:
        """Restores the stored state, then plans until the term ends.

        Raises:
            ExceptionGroup: with `StoreFenced` when the store has seen the
                higher token of a later controller.
        """
        with self._dependencies.job_feed.poll_frequently():
            await self._run()

    async def _run(self) -> None:
        try:
            async with asyncio.TaskGroup() as group:
                self._roster.group = group
                await self._restore_state(group)
                group.create_task(self._limiter.measure())
                group.create_task(self._plan_forever())
                group.create_task(self._review_forever())
                group.create_task(self._report_overload())
                group.create_task(self._remove_expired())
                group.create_task(self._update_gauges())
                self._machine_manager = self._make_machine_manager()
                group.create_task(self._machine_manager.run())
                await self._term.wait_end()
                raise _TermEnded
        except* _TermEnded:
            await self._close()
        finally:
            self._dependencies.catalogue.observer = None
            gauges.clear(self._dependencies.metrics)
            self._advisor.close()
            self._orders.close()

    def _make_machine_manager(self) -> MachineManager:
        return MachineManager(
            self._control,
            self._dependencies.ports.machines,
            self._dependencies.ports.reports,
            self._roster.wake,
            self._cooldown,
        )

    async def _close(self) -> None:
        """Records that the term is closed, so that its successor waits less."""
        self._orders.close()
        record = msgspec.structs.replace(
            self._term_record(),
            closed=True,
            leases=tuple(self._roster.unusual_leases()),
        )
        with contextlib.suppress(StoreError):
            await self._writer.close_term(record)

    def _term_record(self) -> TermRecord:
        ordered = (
            self._machine_manager.recently_ordered()
            if self._machine_manager
            else self._cooldown.affected(self._clock.boot())
        )
        return TermRecord(
            self._term.token,
            self._dependencies.log.node,
            ordered=tuple(sorted(ordered or ())),
            orders_recorded=ordered is not None,
            leases=tuple(self._roster.long_leases()),
        )

    def _make_cooldown(
        self, machine_ids: frozenset[MachineId] | None
    ) -> MachineCooldown:
        interval_s = self._dependencies.machine_cooldown_s
        return MachineCooldown(
            self._term.started_at + interval_s, machine_ids, interval_s
        )

    async def _restore_state(self, group: asyncio.TaskGroup) -> None:
        end = await self._writer.fence()
        await self._dependencies.job_feed.wait_for_offset(end)
        predecessor = self._dependencies.catalogue.newest_term
        self._shorten_waits(predecessor)
        await self._writer.record_term(self._term_record())
        self._dependencies.log.write(
            Event.TERM_BEGUN,
            token=self._term.token,
            earlier_token=predecessor.token if predecessor else None,
            earlier_node=predecessor.node if predecessor else None,
            earlier_closed=predecessor.closed if predecessor else None,
            jobs=len(self._dependencies.catalogue.known_by_id),
            records_end=end,
        )
        registrations = self._dependencies.ports.registrations(
            self._roster.on_registration
        )
        group.create_task(registrations.run())
        refreshing = group.create_task(
            self._dependencies.published.refresh(REFRESH_TIMEOUT_S)
        )
        await registrations.wait_for_offset(Offset(0))
        self._dependencies.catalogue.observer = self._on_job_change
        for job_id in list(self._dependencies.catalogue.known_by_id):
            self._restore_job(job_id)
        await refreshing
        self._evacuation_review.review()
        self._roster.start_sessions()
        group.create_task(self._writer.run())

    def _shorten_waits(self, predecessor: TermRecord | None) -> None:
        """Shortens the waits by what the record of the last term says.

        The record names the machines that were sent orders recently, and the
        workers with longer leases than usual. That of a closed term also names
        the workers that it could not reach, with the rest of their leases.
        """
        if predecessor is None:
            self._roster.predecessor_leases = PredecessorLeases(
                self._term.started_at
            )
            self._cooldown = self._make_cooldown(frozenset())
            return
        if predecessor.orders_recorded:
            self._cooldown = self._make_cooldown(frozenset(predecessor.ordered))
        now = self._clock.boot()
        expires_at = (
            now + CLOSED_TERM_LEASES_S
            if predecessor.closed
            else self._term.started_at + PREDECESSOR_LEASES_S
        )
        # Without the end of the term, a lease may have been renewed after it
        # was recorded.
        earliest = float("-inf") if predecessor.closed else expires_at
        self._roster.predecessor_leases = PredecessorLeases(
            expires_at,
            {
                lease.worker_id: max(earliest, now + lease.left_ms / 1000)
                for lease in predecessor.leases
            },
        )

    def _restore_job(self, job_id: JobId) -> None:
        """Restores a job; one that cannot be restored must not end the term."""
        try:
            self._on_job_change(job_id)
        except Exception as error:
            self._dependencies.log.write(
                Event.FAULT, where="restore", job=job_id, error=repr(error)
            )

    def _on_job_change(self, job_id: JobId) -> None:
        known = self._dependencies.catalogue.find(job_id)
        if known is None:
            return
        job = self._control.job_by_id.get(job_id)
        if job is None:
            if not self._is_fully_ended(job_id):
                job = self._control.admit(known.submission)
            if job is not None:
                self._roster.attach_restored(job)
        elif known.cancelled:
            self._control.cancel(job)

    def _is_fully_ended(self, job_id: JobId) -> bool:
        known = self._dependencies.catalogue.find(job_id)
        return known is not None and known.ended_ms > 0 and not known.has_runs

    async def _plan_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REVIEW_INTERVAL_S):
                    await self._control.changed.wait()
            await asyncio.sleep(self._pace.delay_s())
            self._control.changed.clear()
            with self._pace.measure():
                self._open_due()
                self._evacuation_review.review()
                if self._term.may_order:
                    self._planner.plan()

    async def _review_forever(self) -> None:
        """Reviews the runs at intervals, as their ages change without events.

        The review looks at all runs, so it is not part of each planning pass.
        """
        while True:
            await asyncio.sleep(REVIEW_INTERVAL_S)
            self._evacuation_review.review()
            if self._term.may_order:
                self._planner.review()

    async def _report_overload(self) -> None:
        reporter = OverloadReporter(self._control)
        while True:
            if self._term.may_order:
                reporter.report()
            await asyncio.sleep(overload.REPORT_INTERVAL_S)

    async def _update_gauges(self) -> None:
        while True:
            gauges.update(self._control, self._dependencies.metrics)
            await asyncio.sleep(gauges.UPDATE_INTERVAL_S)

    async def _remove_expired(self) -> None:
        while True:
            await asyncio.sleep(RETENTION_INTERVAL_S)
            for job_id in list(
                expired_jobs(
                    self._dependencies.catalogue,
                    self._clock.unix_ms(),
                    self._dependencies.status_s,
                )
            ):
                known = self._dependencies.catalogue.known_by_id[job_id]
                for record in removal_records(job_id, known):
                    self._writer.add_record(record)

    def _open_due(self) -> None:
        now_ms = self._clock.unix_ms()
        for job in self._control.job_by_id.values():
            if job.submission.repeats:
                job.create_due_occurrences(now_ms)


class _TermEnded(Exception):  # noqa: N818
    """Cancels the task group of a term."""
