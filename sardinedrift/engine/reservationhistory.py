"""Follows the reservations of a pool from pass to pass; performs no I/O."""

import enum
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import msgspec

from sardinedrift.engine.fleet import step_key
from sardinedrift.engine.model import TaskId, TaskState, WorkerId
from sardinedrift.engine.task import Task

if TYPE_CHECKING:
    from sardinedrift.engine.reservations import Reservation

# Capacity is kept idle for a step at most for this long: a short job that waits
# longer than its objective allows beyond its critical path, 0.6 times its
# duration plus 0.6 s, is late in any case.
MAX_HOLD_S = 2.5
# A step that could not start in that time gets no reservation for this time.
RETRY_DELAY_S = 2.5


class ReservationOutcome(enum.Enum):
    """What became of a reservation.

    Attributes:
        MADE: a step got one that had none.
        STARTED: a task started that had one.
        TOO_LONG: it was dropped because the capacity would be idle too long.
        DROPPED: no reservation was made in the last pass.
        ENDED: its job has ended.
    """

    MADE = "made"
    STARTED = "started"
    TOO_LONG = "too_long"
    DROPPED = "dropped"
    ENDED = "ended"


class ReservationChange(msgspec.Struct, frozen=True):
    """Change of the reservations of a step.

    Attributes:
        task: the first task with a reservation.
        outcome: what changed.
        held_s: for how long the step has had reservations, since its last task
            started.
        reservations: those of the step in this pass.
    """

    task: Task
    outcome: ReservationOutcome
    held_s: float
    reservations: "tuple[Reservation, ...]" = ()


class _HeldStep(msgspec.Struct):
    """A step that has or had reservations.

    Attributes:
        tasks: its tasks that had one in the last pass with any.
        since: boot-time clock at which it got one, or at which the last of its
            tasks started.
        last_at: boot-time clock of the last pass with any.
        worker_ids: workers of these reservations.
        current: the last pass had any.
    """

    tasks: list[Task]
    since: float
    last_at: float
    worker_ids: frozenset[WorkerId] = frozenset()
    current: bool = True

    @property
    def task(self) -> Task:
        return self.tasks[0]

    @property
    def any_started(self) -> bool:
        return any(task.state is not TaskState.WAITING for task in self.tasks)


class ReservationHistory:
    """For how long the steps of a pool have had reservations.

    It bounds the time for which capacity is idle. The reservations themselves
    are computed in each pass, so a new controller needs no history.
    """

    def __init__(self) -> None:
        self._held_by_step: dict[TaskId, _HeldStep] = {}

    def deadline(self, key: TaskId, now: float) -> float:
        """Returns until when a reservation of a step may last."""
        held = self._held_by_step.get(key)
        return (held.since if held else now) + MAX_HOLD_S

    def worker_ids(self, key: TaskId) -> frozenset[WorkerId]:
        """Returns the workers that were last reserved for a step."""
        held = self._held_by_step.get(key)
        return held.worker_ids if held else frozenset()

    def update(
        self,
        made: "Iterable[Reservation]",
        expired_steps: set[TaskId],
        now: float,
    ) -> Iterator[ReservationChange]:
        """Yields the changes since the last pass.

        Args:
            made: the reservations of this pass.
            expired_steps: steps that got none, as it would last too long.
            now: boot-time clock in seconds.
        """
        made_by_step: dict[TaskId, list[Reservation]] = {}
        for reservation in made:
            key = step_key(reservation.task.task_id)
            made_by_step.setdefault(key, []).append(reservation)
        for key in list(self._held_by_step):
            if key not in made_by_step:
                yield from self._drop(key, key in expired_steps, now)
        for key, reservations in made_by_step.items():
            yield from self._hold(key, reservations, now)

    def _hold(
        self, key: TaskId, reservations: "list[Reservation]", now: float
    ) -> Iterator[ReservationChange]:
        tasks = [each.task for each in reservations]
        held = self._held_by_step.get(key)
        if held is None:
            held = self._held_by_step[key] = _HeldStep(
                tasks, now, now, current=False
            )
        elif held.current and held.any_started:
            yield _change(held, ReservationOutcome.STARTED, now)
            held.since = now
        if not held.current:
            yield ReservationChange(
                tasks[0],
                ReservationOutcome.MADE,
                now - held.since,
                tuple(reservations),
            )
        held.tasks, held.last_at, held.current = tasks, now, True
        held.worker_ids = frozenset(
            hold.worker.worker_id
            for reservation in reservations
            for hold in reservation.holds
        )

    def _drop(
        self, key: TaskId, expired: bool, now: float
    ) -> Iterator[ReservationChange]:
        held = self._held_by_step[key]
        if held.current:
            outcome = _outcome_of(held, expired)
            yield _change(held, outcome, now)
            if outcome is ReservationOutcome.STARTED:
                del self._held_by_step[key]
                return
        held.current = False
        if now - held.last_at > RETRY_DELAY_S:
            del self._held_by_step[key]


def _change(
    held: _HeldStep, outcome: ReservationOutcome, now: float
) -> ReservationChange:
    return ReservationChange(held.task, outcome, now - held.since)


def _outcome_of(held: _HeldStep, expired: bool) -> ReservationOutcome:
    if held.any_started:
        return ReservationOutcome.STARTED
    if held.task.job.ended:
        return ReservationOutcome.ENDED
    if expired:
        return ReservationOutcome.TOO_LONG
    return ReservationOutcome.DROPPED
