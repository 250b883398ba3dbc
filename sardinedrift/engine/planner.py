"""Applies decisions on tasks: starts, stalls, preemption and pacing."""

import math

from sardinedrift.engine.advising import Advisor
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.limiter import OrderLimiter
from sardinedrift.engine.lookahead import LookAhead
from sardinedrift.engine.model import QueuePolicy, WorkerId
from sardinedrift.engine.orders import Orders
from sardinedrift.engine.pacing import decide_paces
from sardinedrift.engine.placement import (
    Assignment,
    group_by_pool,
    order_jobs,
    plan_pool,
)
from sardinedrift.engine.preemption import Preemption
from sardinedrift.engine.reservations import Reservations
from sardinedrift.engine.stalls import stalled
from sardinedrift.engine.task import Run, Task
from sardinedrift.engine.waitinglog import WaitingLog
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import PoolId, QueueId

# Minimum time between two pace changes on a worker. The effect of a change
# appears in the figures that workers report over the next half second.
PACE_INTERVAL_S = 0.7


class Planner:
    """Places, stops and paces the tasks of all pools.

    Args:
        control: state of the term.
        orders: sends starts, stops and pace changes to workers.
        advisor: returns the workers that are permitted to run a step.
        limiter: bounds the orders in flight, and so the tasks placed at once.
    """

    def __init__(
        self,
        control: ControllerState,
        orders: Orders,
        advisor: Advisor,
        limiter: OrderLimiter,
    ):
        self._limiter = limiter
        self._control = control
        self._orders = orders
        self._advisor = advisor
        self._paced_at: dict[WorkerId, float] = {}
        self._waiting_log = WaitingLog(control)
        self._look_ahead = LookAhead(control)

    def plan(self) -> None:
        """Places waiting tasks, and preempts runs if one waits too long."""
        control = self._control
        if control.published.current() is None or not control.published.loaded:
            # The limits of the client accounts, or the evacuated data centres,
            # are not known yet.
            return
        now, now_ms = control.clock.boot(), control.clock.unix_ms()
        policy_by_id = control.policies()
        self._refresh_teams(now)
        control.fleet.update_cold(now)
        jobs_by_pool = group_by_pool(control.job_by_id.values(), policy_by_id)
        workers_by_pool = control.fleet.by_pool()
        placed: list[Run] = []
        self._waiting_log.begin_pass()
        self._look_ahead.begin_pass(set(jobs_by_pool), now)
        allowance = self._limiter.free
        for index, (pool_id, jobs) in enumerate(jobs_by_pool.items()):
            ordered = order_jobs(
                jobs, policy_by_id, control.team_use, now_ms, control.estimates
            )
            share = math.ceil(
                (allowance - len(placed)) / (len(jobs_by_pool) - index)
            )
            workers = workers_by_pool.get(pool_id, [])
            placed += self._plan_one_pool(
                pool_id, ordered, workers, policy_by_id, now, share
            )
        control.placement_limited = len(placed) >= allowance
        control.saturation.record_pass(
            bool(jobs_by_pool)
            and (control.placement_limited or self._limiter.lowered)
        )
        if placed:
            control.writer.call_when_durable(lambda: self._start_all(placed))

    def review(self) -> None:
        """Stops stalled runs and adjusts the pace of filling tasks."""
        now = self._control.clock.boot()
        self._waiting_log.forget_ended()
        for worker in self._control.fleet.worker_by_id.values():
            if not worker.run_by_task:
                continue
            runs = worker.run_by_task.values()
            for run in list(stalled(runs, now, worker.cold_until)):
                self._stop_stalled(run, worker, now)
            self._adjust_paces(worker, now)

    def _refresh_teams(self, now: float) -> None:
        configuration = self._control.published.current()
        if configuration is not None:
            self._control.team_use.team_by_id = configuration.team_by_id
        self._control.team_use.average(now)

    def _plan_one_pool(
        self,
        pool_id: PoolId,
        jobs: list[Job],
        workers: list[Worker],
        policy_by_id: dict[QueueId, QueuePolicy],
        now: float,
        max_count: int,
    ) -> list[Run]:
        """Places the waiting tasks of a pool, and preempts runs for them.

        Args:
            pool_id: the pool.
            jobs: its jobs with startable tasks, in placement order.
            workers: its workers.
            policy_by_id: the policies of the queues.
            now: boot-time clock in seconds.
            max_count: number of placed tasks after which it stops.

        Returns:
            The runs of the placed tasks, which have not been ordered yet.
        """
        reservations = self._look_ahead.begin_pool(pool_id, workers, now)
        placed = self._place_tasks(
            jobs, workers, policy_by_id, now, max_count, reservations
        )
        self._look_ahead.end_pool(pool_id, reservations, now)
        _record_waits(jobs, now)
        self._waiting_log.write(jobs, workers, now, bool(reservations.made))
        self._preempt(jobs, workers, policy_by_id, now)
        return placed

    def _place_tasks(
        self,
        jobs: list[Job],
        workers: list[Worker],
        policy_by_id: dict[QueueId, QueuePolicy],
        now: float,
        max_count: int,
        reservations: Reservations,
    ) -> list[Run]:
        def permitted(task: Task) -> frozenset[WorkerId] | None:
            policy = policy_by_id[task.job.submission.queue_id]
            if not policy.advised:
                return None
            return self._advisor.permitted_workers(task, workers)

        chosen = plan_pool(
            jobs,
            workers,
            self._control.team_use,
            now,
            permitted,
            max_count,
            reservations,
        )
        return [self._place(each, now) for each in chosen]

    def _place(self, chosen: Assignment, now: float) -> Run:
        worker = self._control.fleet.worker_by_id[chosen.worker_id]
        self._look_ahead.record_wait(chosen.task, worker, now)
        chosen.task.waiting_since = 0.0
        return self._control.place(chosen.task, worker, now)

    def _start_all(self, placed: list[Run]) -> None:
        for run in placed:
            self._orders.start_soon(run)

    def _preempt(
        self,
        jobs: list[Job],
        workers: list[Worker],
        policy_by_id: dict[QueueId, QueuePolicy],
        now: float,
    ) -> None:
        for run in Preemption(policy_by_id, now).choose(jobs, workers):
            self._control.log.write(
                Event.PREEMPTED,
                job=run.task.job.job_id,
                task=run.task.task_id[1:],
                run=run.number,
                worker=run.worker_id,
                percent=run.percent,
            )
            self._orders.stop_soon(run)

    def _stop_stalled(self, run: Run, worker: Worker, now: float) -> None:
        self._control.log.write(
            Event.STALLED,
            job=run.task.job.job_id,
            task=run.task.task_id[1:],
            run=run.number,
            worker=run.worker_id,
            percent=run.percent,
            still_s=round(now - run.progressed_at, 3),
        )
        run.task.failed_on.add(run.worker_id)
        worker.record_outcome(False, now)
        self._orders.stop_soon(run)

    def _adjust_paces(self, worker: Worker, now: float) -> None:
        if now - self._paced_at.get(worker.worker_id, 0.0) < PACE_INTERVAL_S:
            return
        changes = decide_paces(worker.run_by_task.values())
        if changes:
            self._paced_at[worker.worker_id] = now
        for change in changes:
            self._orders.set_pace_soon(change.run, change.percent)


def _record_waits(jobs: list[Job], now: float) -> None:
    """Records since when the tasks that were not placed have waited.

    Tasks that become startable are added at the end, so the search ends at the
    first one that was recorded before.
    """
    for job in jobs:
        for task in reversed(job.waiting.values()):
            if task.waiting_since:
                break
            task.waiting_since = now
