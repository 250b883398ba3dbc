"""In-memory worker with a lease, fencing tokens and order deadlines."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from standins.platform.log import Refused

# Longest lease that a worker grants; longer ones are shortened.
MAX_LEASE_MS = 10_000
# Number of ends that a report lists at the most.
MAX_LISTED_ENDS = 500
# Tasks that start on a cold worker take longer by this factor.
COLD_FACTOR = 2.0


@dataclasses.dataclass
class RunHistory:
    """History of one run; times are those of the event loop.

    Attributes:
        how: how the run ended, or "" while it is running.
        acknowledged: whether the controller acknowledged the end before the
            lease lapsed.
        zone: data centre of the worker.
    """

    task: str
    run: int
    started_at: float
    ended_at: float | None = None
    how: str = ""
    acknowledged: bool = False
    zone: str = ""


class UnreadAcknowledgement(NamedTuple):
    """Acknowledgement of ends up to a number that a worker has not listed."""

    worker: str
    number: int


@dataclasses.dataclass
class _Running:
    history: RunHistory
    cpu: int
    timer: asyncio.TimerHandle | None


class Worker:
    """A worker from its start to its crash.

    Args:
        name: id of the worker.
        born_ms: time of its start, in milliseconds since the Unix epoch.
        cpu: capacity in thousandths of a core.
        task_duration_s: returns the seconds that a task takes, given its
            name, or None for a task that runs until it is stopped.
        fails: returns whether a run fails, given the task name.
        clock_rate: rate of its clock relative to the event loop's.
        zone: its data centre.
        cold_s: seconds for which it is cold after its start.

    Attributes:
        alive: whether it has not crashed.
        histories: all runs that it started.
        max_listed_ends: number of ends that a report lists at the most.
        unread_acknowledgements: acknowledgements of ends that this process has
            not listed.
    """

    def __init__(
        self,
        name: str,
        born_ms: int,
        cpu: int,
        task_duration_s: Callable[[str], float | None],
        fails: Callable[[str], bool] = lambda task: False,
        clock_rate: float = 1.0,
        zone: str = "zone",
        cold_s: float = 0.0,
    ):
        self.zone = zone
        self.name = name
        self.born_ms = born_ms
        self.cpu = cpu
        self.alive = True
        self.histories: list[RunHistory] = []
        self.max_listed_ends = MAX_LISTED_ENDS
        self.unread_acknowledgements: list[UnreadAcknowledgement] = []
        self._task_duration_s = task_duration_s
        self._fails = fails
        self._clock_rate = clock_rate
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._cold_until = self._started_at + cold_s
        self._fencing_token = 0
        self._lease_deadline_ms = 0
        self._running_by_task: dict[str, _Running] = {}
        self._max_refused_run_by_task: dict[str, int] = {}
        self._end_reports: list[list] = []
        self._history_by_report_number: dict[int, RunHistory] = {}
        self._last_report_number = 0
        self._last_listed_number = 0
        self._run_ended = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Time of the worker's own clock in milliseconds."""
        age_s = self._loop.time() - self._started_at
        return int(age_s * self._clock_rate * 1000) + 1000

    @property
    def cold_left_ms(self) -> int:
        """For how many more milliseconds it is cold."""
        return max(0, int((self._cold_until - self._loop.time()) * 1000))

    def start(
        self, task: str, run: int, cpu: int, deadline_ms: int, token: int
    ) -> None:
        """Starts a run; starting a current run again renews the lease.

        Args:
            task: name of the task.
            run: number of the run; numbers of a task must increase.
            cpu: thousandths of a core that the run takes.
            deadline_ms: end of the lease by the worker's clock.
            token: fencing token of the controller.

        Raises:
            Refused: the token or the run number is old, the deadline has
                passed or there is not enough CPU.
        """
        self._check_token(token)
        self._expire_lease()
        current = self._running_by_task.get(task)
        if current is not None and current.history.run == run:
            self._extend_lease(deadline_ms)
            return
        if current is not None or run <= self._max_refused_run_by_task.get(
            task, 0
        ):
            raise Refused(409, {"reason": "old"})
        if deadline_ms <= self.clock_ms:
            raise Refused(409, {"reason": "late"})
        used = sum(running.cpu for running in self._running_by_task.values())
        if used + cpu > self.cpu:
            raise Refused(409, {"reason": "room"})
        self._extend_lease(deadline_ms)
        history = RunHistory(task, run, self._loop.time(), zone=self.zone)
        self.histories.append(history)
        seconds = self._task_duration_s(task)
        timer = None
        if seconds is not None:
            seconds *= COLD_FACTOR if self.cold_left_ms else 1.0
            how = "failed" if self._fails(task) else "done"
            timer = self._loop.call_later(seconds, self._end_run, task, how)
        self._running_by_task[task] = _Running(history, cpu, timer)

    def stop(self, task: str, run: int, token: int) -> None:
        """Stops a run, and refuses runs up to its number from then on."""
        self._check_token(token)
        self._expire_lease()
        current = self._running_by_task.get(task)
        if current is not None and current.history.run == run:
            self._end_run(task, "stopped")
        self._max_refused_run_by_task[task] = max(
            run, self._max_refused_run_by_task.get(task, 0)
        )

    async def renew_lease(
        self, token: int, last_seen: int, deadline_ms: int | None, wait_s: float
    ) -> tuple[list[list], list[list]]:
        """Renews the lease and reports running and ended runs.

        Args:
            token: fencing token of the controller.
            last_seen: number of the last end report that the controller has
                read; reports up to it are dropped.
            deadline_ms: end of the lease by the worker's clock; None leaves
                the lease as it is.
            wait_s: maximum time to wait for an end report, in seconds.

        Returns:
            Rows of running runs, and the oldest end reports.
        """
        self._check_token(token)
        self._expire_lease()
        self._acknowledge(last_seen)
        if deadline_ms is not None:
            self._extend_lease(deadline_ms)
        if wait_s and not self._end_reports:
            self._run_ended.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._run_ended.wait()
            except TimeoutError:
                self._expire_lease()
        running = [
            [task, current.history.run, "", 100, 0]
            for task, current in self._running_by_task.items()
        ]
        listed = self._end_reports[: self.max_listed_ends]
        if listed:
            self._last_listed_number = max(
                self._last_listed_number, listed[-1][0]
            )
        return running, [list(row) for row in listed]

    def _acknowledge(self, last_seen: int) -> None:
        """Drops the end reports that the controller has read."""
        if last_seen > self._last_listed_number:
            self.unread_acknowledgements.append(
                UnreadAcknowledgement(self.name, last_seen)
            )
        for row in self._end_reports:
            if row[0] <= last_seen:
                history = self._history_by_report_number.pop(row[0], None)
                if history is not None:
                    history.acknowledged = True
        self._end_reports = [
            row for row in self._end_reports if row[0] > last_seen
        ]

    def crash(self) -> None:
        """Ends the worker and all its runs."""
        self.alive = False
        for task in list(self._running_by_task):
            self._end_run(task, "gone")

    def _extend_lease(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_LEASE_MS)
        self._lease_deadline_ms = max(self._lease_deadline_ms, deadline_ms)
        delay = (
            (self._lease_deadline_ms - self.clock_ms) / 1000 / self._clock_rate
        )
        self._loop.call_later(max(0.0, delay) + 0.001, self._expire_lease)

    def _expire_lease(self) -> None:
        if self.clock_ms >= self._lease_deadline_ms:
            # A controller may treat runs that ended before the lease lapsed
            # as lapsed, even if it reads their end reports later, so those
            # no longer count as acknowledged.
            self._history_by_report_number.clear()
            for task in list(self._running_by_task):
                self._end_run(task, "lapsed")

    def _check_token(self, token: int) -> None:
        if token < self._fencing_token:
            raise Refused(409, {"reason": "fence"})
        self._fencing_token = token

    def _end_run(self, task: str, how: str) -> None:
        running = self._running_by_task.pop(task, None)
        if running is None:
            return
        if running.timer is not None:
            running.timer.cancel()
        running.history.ended_at = self._loop.time()
        running.history.how = how
        self._max_refused_run_by_task[task] = running.history.run
        self._last_report_number += 1
        self._end_reports.append(
            [self._last_report_number, task, running.history.run, how, ""]
        )
        self._history_by_report_number[self._last_report_number] = (
            running.history
        )
        self._run_ended.set()
