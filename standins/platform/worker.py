"""A worker in memory: runs under leases, fencing tokens and late orders."""

import asyncio
import dataclasses
from collections.abc import Callable

from standins.platform.log import Refused


@dataclasses.dataclass
class RunHistory:
    """One run as it happened, in loop time.

    Attributes:
        noted: the controller has taken note of the end, and the lease had
            not lapsed in between.
    """

    task: str
    run: int
    started_at: float
    ended_at: float | None = None
    how: str = ""
    noted: bool = False


@dataclasses.dataclass
class _Running:
    history: RunHistory
    cpu: int
    timer: asyncio.TimerHandle | None


class Worker:
    """One life of a worker.

    Args:
        name: its id.
        born_ms: unix milliseconds of its start.
        cpu: thousandths of cores.
        work_s: seconds that a task takes, by its name; None for a task that
            lasts.
        fails: whether a run ends as failed, by task name.
        clock_rate: how fast its clock goes.

    Attributes:
        alive: it runs, and answers who reaches it.
    """

    def __init__(
        self,
        name: str,
        born_ms: int,
        cpu: int,
        work_s: Callable[[str], float | None],
        fails: Callable[[str], bool] = lambda task: False,
        clock_rate: float = 1.0,
    ):
        self.name = name
        self.born_ms = born_ms
        self.cpu = cpu
        self.alive = True
        self.histories: list[RunHistory] = []
        self._work_s = work_s
        self._fails = fails
        self._clock_rate = clock_rate
        self._loop = asyncio.get_running_loop()
        self._born_at = self._loop.time()
        self._token = 0
        self._lease_deadline_ms = 0
        self._running_by_task: dict[str, _Running] = {}
        self._refused_up_to: dict[str, int] = {}
        self._ended: list[list] = []
        self._history_by_number: dict[int, RunHistory] = {}
        self._number = 0
        self._changed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Its own clock."""
        age_s = self._loop.time() - self._born_at
        return int(age_s * self._clock_rate * 1000) + 1000

    def start(
        self, task: str, run: int, cpu: int, deadline_ms: int, token: int
    ) -> None:
        """Starts a run, or refuses."""
        self._check_token(token)
        self._expire()
        current = self._running_by_task.get(task)
        if current is not None and current.history.run == run:
            self._extend(deadline_ms)
            return
        if current is not None or run <= self._refused_up_to.get(task, 0):
            raise Refused(409, {"reason": "old"})
        if deadline_ms <= self.clock_ms:
            raise Refused(409, {"reason": "late"})
        used = sum(each.cpu for each in self._running_by_task.values())
        if used + cpu > self.cpu:
            raise Refused(409, {"reason": "room"})
        self._extend(deadline_ms)
        history = RunHistory(task, run, self._loop.time())
        self.histories.append(history)
        seconds = self._work_s(task)
        timer = None
        if seconds is not None:
            how = "failed" if self._fails(task) else "done"
            timer = self._loop.call_later(seconds, self._end, task, how)
        self._running_by_task[task] = _Running(history, cpu, timer)

    def stop(self, task: str, run: int, token: int) -> None:
        """Stops a run, and refuses it and lower ones from then on."""
        self._check_token(token)
        self._expire()
        current = self._running_by_task.get(task)
        if current is not None and current.history.run == run:
            self._end(task, "stopped")
        self._refused_up_to[task] = max(run, self._refused_up_to.get(task, 0))

    async def renew_lease(
        self, token: int, seen: int, deadline_ms: int | None, wait_s: float
    ) -> tuple[list[list], list[list]]:
        """Renews the lease; returns what runs and what has ended."""
        self._check_token(token)
        self._expire()
        self._note(seen)
        if deadline_ms is not None:
            self._extend(deadline_ms)
        if wait_s and not self._ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                self._expire()
        running = [
            [task, each.history.run, "", 100, 0]
            for task, each in self._running_by_task.items()
        ]
        return running, [list(row) for row in self._ended[:500]]

    def _note(self, seen: int) -> None:
        """Drops the ends that the controller has taken note of."""
        for row in self._ended:
            if row[0] <= seen:
                history = self._history_by_number.pop(row[0], None)
                if history is not None:
                    history.noted = True
        self._ended = [row for row in self._ended if row[0] > seen]

    def crash(self) -> None:
        """Ends the life; nothing runs any more."""
        self.alive = False
        for task in list(self._running_by_task):
            self._end(task, "gone")

    def _extend(self, deadline_ms: int) -> None:
        self._lease_deadline_ms = max(self._lease_deadline_ms, deadline_ms)
        delay = (
            (self._lease_deadline_ms - self.clock_ms) / 1000 / self._clock_rate
        )
        self._loop.call_later(max(0.0, delay) + 0.001, self._expire)

    def _expire(self) -> None:
        if self.clock_ms >= self._lease_deadline_ms:
            # Ends from before may be taken as lapsed, whoever reads of them.
            self._history_by_number.clear()
            for task in list(self._running_by_task):
                self._end(task, "lapsed")

    def _check_token(self, token: int) -> None:
        if token < self._token:
            raise Refused(409, {"reason": "fence"})
        self._token = token

    def _end(self, task: str, how: str) -> None:
        running = self._running_by_task.pop(task, None)
        if running is None:
            return
        if running.timer is not None:
            running.timer.cancel()
        running.history.ended_at = self._loop.time()
        running.history.how = how
        self._refused_up_to[task] = running.history.run
        self._number += 1
        self._ended.append([self._number, task, running.history.run, how, ""])
        self._history_by_number[self._number] = running.history
        self._changed.set()
