"""Creates the reservations of each pass, and logs and counts their changes."""

from collections.abc import Collection

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.expectedends import ExpectedEnds
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.reservationhistory import (
    ReservationChange,
    ReservationHistory,
)
from sardinedrift.engine.reservations import Reservations
from sardinedrift.engine.task import Task
from sardinedrift.engine.tasksize import size_class
from sardinedrift.identifiers import PoolId

# Lines written about reservations; further changes are only counted.
MAX_LINES_PER_SECOND = 20


class LookAhead:
    """Prepares the reservations of each pool and reports what becomes of them.

    Args:
        control: state of the term.
    """

    def __init__(self, control: ControllerState):
        self._control = control
        self._history_by_pool: dict[PoolId, ReservationHistory] = {}
        self._second = 0
        self._lines_left = MAX_LINES_PER_SECOND

    def begin_pass(self, pools: Collection[PoolId], now: float) -> None:
        """Begins a pass of the planner.

        Args:
            pools: pools with startable tasks; no task waits in the others.
            now: boot-time clock in seconds.
        """
        for pool_id in list(self._history_by_pool):
            if pool_id not in pools:
                self._end_waits(pool_id, now)

    def begin_pool(
        self, pool_id: PoolId, workers: list[Worker], now: float
    ) -> Reservations:
        """Returns the reservations of a pool for this pass, at first none."""
        history = self._history_by_pool.setdefault(
            pool_id, ReservationHistory()
        )
        ends = ExpectedEnds(self._control.estimates, now)
        return Reservations(workers, self._control.team_use, ends, history, now)

    def end_pool(
        self, pool_id: PoolId, reservations: Reservations, now: float
    ) -> None:
        """Reports the reservations that a pass has made in a pool."""
        gauge = self._control.metrics.reserved_idle_cpu.labels(pool_id)
        gauge.set(reservations.idle_cpu)
        history = self._history_by_pool[pool_id]
        for change in history.update(
            reservations.made, reservations.expired_steps, now
        ):
            self._report(change, pool_id, now)

    def record_wait(self, task: Task, worker: Worker, now: float) -> None:
        """Records for how long a task has waited that is now placed."""
        waited_s = now - task.waiting_since if task.waiting_since else 0.0
        kind = size_class(task.step.size, worker.registered.capacity)
        histogram = self._control.metrics.task_wait_seconds
        histogram.labels(kind.value).observe(waited_s)

    def _end_waits(self, pool_id: PoolId, now: float) -> None:
        """Reports the ends of all reservations of a pool."""
        self._control.metrics.reserved_idle_cpu.labels(pool_id).set(0)
        history = self._history_by_pool.pop(pool_id)
        for change in history.update((), set(), now):
            self._report(change, pool_id, now)

    def _report(
        self, change: ReservationChange, pool_id: PoolId, now: float
    ) -> None:
        outcome = change.outcome.value
        self._control.metrics.reservations.labels(outcome).inc()
        if int(now) != self._second:
            self._second, self._lines_left = int(now), MAX_LINES_PER_SECOND
        if not self._lines_left:
            return
        self._lines_left -= 1
        holds = [hold for each in change.reservations for hold in each.holds]
        self._control.log.write(
            Event.RESERVATION,
            job=change.task.job.job_id,
            task=change.task.task_id[1:],
            outcome=outcome,
            pool=pool_id,
            held_s=round(change.held_s, 3),
            workers=[hold.worker.worker_id for hold in holds],
            in_s=[round(hold.at - now, 3) for hold in holds],
            idle_cpu=sum(hold.idle_cpu for hold in holds),
        )
