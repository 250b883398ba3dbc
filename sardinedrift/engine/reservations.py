"""Reserves capacity for the first tasks that can't start; performs no I/O.

Small tasks would otherwise fill each gap before it is large enough for a large
task. Later tasks may start first (backfill) where they don't delay that task:
they are expected to end before it can start, or leave enough capacity.
"""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sardinedrift.engine.expectedends import ExpectedEnds
from sardinedrift.engine.fleet import Worker, step_key
from sardinedrift.engine.model import Size, TaskId, WorkerId
from sardinedrift.engine.reservationhistory import ReservationHistory
from sardinedrift.engine.sizes import (
    add_size,
    fits_into,
    multiply_size,
    occupied_by,
    smaller_of,
)
from sardinedrift.engine.task import Task
from sardinedrift.engine.teamuse import TeamUse
from sardinedrift.identifiers import TeamId

# Reservations of a pool at a time; a gang has one.
MAX_RESERVATIONS = 4
# Share of a pool's workers that have a reservation, but at least one worker.
MAX_RESERVED_SHARE = 0.25
# Searches for capacity in a pass: each one looks at all workers of the pool.
MAX_SEARCHES = 8
# A later task is taken to end before a reservation if this many times its
# expected duration is left: the longest run of a step takes 1.4 to 1.5 times
# the median in half of the steps.
BACKFILL_MARGIN = 1.5
# A reservation goes to another worker only if that has the capacity sooner by
# this time, as the capacity that was kept free until then is given up.
MIN_GAIN_S = 0.25
# A job without a run must not wait 3 s while a pool has room for it and is half
# free. Reservations don't apply to it after this time.
EXEMPTION_DELAY_S = 1.0
# A pool counts as half free up to this share of its cores in use, as runs that
# have ended on their workers are still counted until the next report.
HALF_FREE_USE = 0.6


class Hold(msgspec.Struct):
    """Capacity reserved on one worker.

    Attributes:
        worker: the worker.
        at: boot-time clock at which the task is expected to start.
        size: reserved capacity.
        unreserved: capacity that others may occupy beyond that time.
    """

    worker: Worker
    at: float
    size: Size
    unreserved: Size

    @property
    def idle_cpu(self) -> int:
        """Millicores that are free now and reserved."""
        return max(0, min(self.worker.free.cpu, self.size.cpu))


class Reservation(msgspec.Struct, frozen=True):
    """Reserved capacity for a task, or for all members of a gang.

    Attributes:
        task: the task, or the first member.
        at: boot-time clock at which it is expected to start.
        holds: reserved capacity, one for each worker.
    """

    task: Task
    at: float
    holds: tuple[Hold, ...]


class _Place(NamedTuple):
    """Room for one task on a worker from a time on."""

    at: float
    worker: Worker


class _TeamHold(msgspec.Struct):
    """Reservations of a client account: their total, and the first start."""

    size: Size
    at: float


class Reservations:
    """Reservations of a pool in one planning pass.

    Args:
        workers: workers of the pool.
        use: use of the client accounts.
        ends: expected ends of runs.
        history: for how long steps have had reservations.
        now: boot-time clock in seconds.

    Attributes:
        made: the reservations of this pass.
        expired_steps: steps that get none, as capacity would be idle too long.
    """

    def __init__(
        self,
        workers: list[Worker],
        use: TeamUse,
        ends: ExpectedEnds,
        history: ReservationHistory,
        now: float,
    ):
        self.made: list[Reservation] = []
        self.expired_steps: set[TaskId] = set()
        self._workers = workers
        self._use = use
        self._ends = ends
        self._history = history
        self._now = now
        self._searches_left = MAX_SEARCHES
        self._half_free = False
        self._hold_by_worker: dict[WorkerId, Hold] = {}
        self._hold_by_team: dict[TeamId, _TeamHold] = {}

    @property
    def exhausted(self) -> bool:
        """Whether no further reservation can be made in this pass."""
        return len(self.made) >= MAX_RESERVATIONS or self._searches_left <= 0

    @property
    def idle_cpu(self) -> int:
        """Millicores that are free now and reserved."""
        return sum(hold.idle_cpu for hold in self._hold_by_worker.values())

    def duration_s(self, task: Task) -> float:
        """Returns a task's expected duration; 0 if no reservation applies."""
        if not self.made or self._is_exempt(task):
            return 0.0
        return self._ends.duration_s(task)

    def admit(self, task: Task, worker: Worker) -> bool:
        """Whether a task that fits on a worker delays no reservation."""
        if worker.worker_id not in self._hold_by_worker:
            return True
        return fits_into(occupied_by(task.step), self.usable(task, worker))

    def usable(self, task: Task, worker: Worker) -> Size:
        """Returns the free capacity of a worker that a task may occupy."""
        hold = self._hold_by_worker.get(worker.worker_id)
        if hold is None or self._may_precede(task, hold.at):
            return worker.free
        return smaller_of(worker.free, hold.unreserved)

    def allow_use(self, task: Task, size: Size) -> bool:
        """Whether the account's limit permits a size beside reservations.

        Args:
            task: the task, or a member of the gang.
            size: total size to start.
        """
        team_id = task.job.submission.team_id
        hold = self._hold_by_team.get(team_id)
        if hold is not None and not self._may_precede(task, hold.at):
            size = add_size(size, hold.size)
        return self._use.allows(team_id, size)

    def record_start(self, task: Task, worker: Worker) -> None:
        """Records that a task was placed on a worker."""
        hold = self._hold_by_worker.get(worker.worker_id)
        if hold is not None and not self._ends_before(task, hold.at):
            size = occupied_by(task.step)
            hold.unreserved = add_size(hold.unreserved, size, -1)

    def wants(self, task: Task) -> bool:
        """Whether a task that can't start may get a reservation."""
        if self.exhausted or task.step.fills:
            return False
        count = task.step.count if task.step.gang else 1
        return self._limit_permits(task, multiply_size(task.step.size, count))

    def reserve(
        self,
        task: Task,
        workers: list[Worker],
        permitted: frozenset[WorkerId] | None,
    ) -> None:
        """Reserves capacity for the waiting tasks of a step that can't start.

        Args:
            task: a waiting task of the step, which `wants` a reservation.
            workers: workers that accept work.
            permitted: the workers that are permitted; None permits all.
        """
        self._searches_left -= 1
        hosts = [
            worker
            for worker in workers
            if worker.worker_id not in self._hold_by_worker
            and worker.worker_id not in task.failed_on
            and worker.accepts_work(self._now)
            and (permitted is None or worker.worker_id in permitted)
        ]
        waiting = task.job.waiting_siblings(task)
        if task.step.gang:
            self._reserve_for_gang(waiting, hosts)
        else:
            self._reserve_for_each(waiting, task, hosts)

    def _reserve_for_each(
        self, waiting: list[Task], task: Task, hosts: list[Worker]
    ) -> None:
        """Makes reservations for tasks of a step, each on its own worker."""
        count = min(
            MAX_RESERVATIONS - len(self.made),
            self._max_holds() - len(self._hold_by_worker),
        )
        places = self._soonest_places(task, hosts, count, 1)
        for each, place in zip(waiting, places, strict=False):
            if not self._limit_permits(each, each.step.size):
                return
            if not self._check_deadline(each, place.at):
                return
            holds = tuple(self._holds(each, [place], place.at))
            self._add(Reservation(each, place.at, holds), 1)

    def _reserve_for_gang(
        self, members: list[Task], hosts: list[Worker]
    ) -> None:
        """Makes one reservation for all members of a gang."""
        task, count = members[0], len(members)
        if count < task.step.count:
            return
        places = self._soonest_places(task, hosts, count, count)
        if len(places) < count or not self._check_deadline(task, places[-1].at):
            return
        holds = tuple(self._holds(task, places, places[-1].at))
        if len(self._hold_by_worker) + len(holds) <= self._max_holds():
            self._add(Reservation(task, places[-1].at, holds), count)

    def _check_deadline(self, task: Task, at: float) -> bool:
        """Returns whether a step may have a reservation until a time.

        If not, the step is recorded as expired.
        """
        key = step_key(task.task_id)
        if at <= self._history.deadline(key, self._now):
            return True
        self.expired_steps.add(key)
        return False

    def _limit_permits(self, task: Task, size: Size) -> bool:
        team_id = task.job.submission.team_id
        hold = self._hold_by_team.get(team_id)
        if hold is not None:
            size = add_size(size, hold.size)
        return self._use.allows(team_id, size)

    def _soonest_places(
        self, task: Task, hosts: list[Worker], count: int, most: int
    ) -> list[_Place]:
        """Returns the places for tasks of a step, the soonest first.

        Args:
            task: one of the tasks.
            hosts: the workers that may run them.
            count: number of places.
            most: number of them on the same worker.
        """
        places = (
            _Place(at, worker)
            for worker in hosts
            for at in itertools.islice(
                self._ends.times_of_capacity(worker, task), most
            )
        )
        held = self._history.worker_ids(step_key(task.task_id))

        def rank(place: _Place) -> tuple[float, WorkerId]:
            worker_id = place.worker.worker_id
            gain_s = MIN_GAIN_S if worker_id in held else 0.0
            return (place.at - gain_s, worker_id)

        return heapq.nsmallest(count, places, key=rank)

    def _holds(
        self, task: Task, places: list[_Place], at: float
    ) -> Iterator[Hold]:
        """Yields what to reserve on each of the workers with places."""
        places_by_worker: dict[WorkerId, list[_Place]] = {}
        for place in places:
            places_by_worker.setdefault(place.worker.worker_id, []).append(
                place
            )
        for group in places_by_worker.values():
            worker = group[0].worker
            size = multiply_size(occupied_by(task.step), len(group))
            free = self._ends.free_at(worker, at)
            yield Hold(worker, at, size, add_size(free, size, -1))

    def _max_holds(self) -> int:
        return max(1, int(MAX_RESERVED_SHARE * len(self._workers)))

    def _add(self, reservation: Reservation, count: int) -> None:
        if not self.made:
            self._half_free = _is_half_free(self._workers)
        self.made.append(reservation)
        for hold in reservation.holds:
            self._hold_by_worker[hold.worker.worker_id] = hold
        task = reservation.task
        size = multiply_size(task.step.size, count)
        team_hold = self._hold_by_team.setdefault(
            task.job.submission.team_id, _TeamHold(Size(), reservation.at)
        )
        team_hold.size = add_size(team_hold.size, size)
        team_hold.at = min(team_hold.at, reservation.at)

    def _may_precede(self, task: Task, at: float) -> bool:
        return self._is_exempt(task) or self._ends_before(task, at)

    def _ends_before(self, task: Task, at: float) -> bool:
        duration_s = self._ends.duration_s(task)
        return self._now + BACKFILL_MARGIN * duration_s <= at

    def _is_exempt(self, task: Task) -> bool:
        """Whether reservations must not hold a task back."""
        if task.step.long_running:
            return True
        waited_s = self._now - task.waiting_since
        return (
            self._half_free
            and not task.job.active
            and task.waiting_since > 0.0
            and waited_s >= EXEMPTION_DELAY_S
        )


def _is_half_free(workers: list[Worker]) -> bool:
    capacity = sum(worker.registered.capacity.cpu for worker in workers)
    used = sum(worker.used_cpu for worker in workers)
    return used < HALF_FREE_USE * capacity
