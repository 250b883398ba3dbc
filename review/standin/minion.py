"""A minion that follows the operators' pages, with its capacity and lease."""

import asyncio
import dataclasses
import time
import zlib
from collections.abc import Callable

MAX_HOLD_MS = 10_000
MAX_LISTED_ENDS = 500
CHECKPOINT_S = 0.5


class Rejected(Exception):  # noqa: N818
    """A call that the minion rejects.

    Attributes:
        status: HTTP status of the response.
        reason: reason in its body, or "".
    """

    def __init__(self, status: int, reason: str = ""):
        super().__init__(f"{status} {reason}")
        self.status = status
        self.reason = reason


@dataclasses.dataclass(frozen=True)
class Unit:
    """What a work unit needs and how it behaves.

    Attributes:
        cpu: thousandths of a core.
        mem_mb: memory in megabytes.
        work_s: duration; None for a unit that lasts.
        failing_runs: number of its first runs that end `failed`.
        checkpoints: it saves its progress with each CHECKPOINT_S of work.
    """

    cpu: int
    mem_mb: int
    work_s: float | None
    failing_runs: int = 0
    checkpoints: bool = False


@dataclasses.dataclass
class Run:
    """One run of a work unit on a minion.

    Attributes:
        how: how it ended, or "" while it is at work.
        number: number of its end in the minion's list, or 0.
        noted: a controller has taken note of its end.
    """

    task: str
    run: int
    minion: str
    started_at: float
    unit: Unit
    ended_at: float | None = None
    how: str = ""
    number: int = 0
    noted: bool = False
    timer: asyncio.TimerHandle | None = None


class Minion:
    """A guarded minion, from its start on.

    Args:
        name: its id.
        unit_of: returns what a work unit needs, given its name.
        record: receives a line for each event.
        cpu: capacity in thousandths of a core.
        mem_mb: memory in megabytes.
    """

    def __init__(
        self,
        name: str,
        unit_of: Callable[[str], Unit],
        record: Callable[[str], None],
        cpu: int = 32_000,
        mem_mb: int = 65_536,
    ):
        self.name = name
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.runs: list[Run] = []
        self._unit_of = unit_of
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._born_at = self._loop.time()
        self.born_ms = time.time_ns() // 1_000_000
        self._token = 0
        self._deadline_ms = 0
        self._running: dict[str, Run] = {}
        self._highest_ended: dict[str, int] = {}
        self._ended: list[Run] = []
        self._ends = 0
        self._end_listed = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """Time of its own clock in ms."""
        return int((self._loop.time() - self._born_at) * 1000) + 1000

    def start(self, body: dict) -> dict:
        """Starts a run, or does nothing if that run is there already."""
        self._check_token(body["fencing_token"])
        task, number = body["task"], body["run"]
        current = self._running.get(task)
        if current is not None and current.run == number:
            self._extend(body["deadline_ms"])
            return {}
        if current is not None or number <= self._highest_ended.get(task, 0):
            self._extend(body["deadline_ms"])
            raise Rejected(409, "old")
        if body["deadline_ms"] <= self.clock_ms:
            raise Rejected(409, "late")
        unit = self._unit_of(task)
        self._extend(body["deadline_ms"])
        if not self._has_room(unit):
            raise Rejected(409, "room")
        run = Run(task, number, self.name, self._loop.time(), unit)
        if unit.work_s is not None:
            how = "failed" if number <= unit.failing_runs else "done"
            run.timer = self._loop.call_later(unit.work_s, self._end, run, how)
        self._running[task] = run
        self.runs.append(run)
        self._record(f"{self.name} starts {task} run {number}")
        return {}

    def stop(self, body: dict) -> dict:
        """Stops a run; it and earlier ones are rejected from then on."""
        self._check_token(body["fencing_token"])
        task, number = body["task"], body["run"]
        current = self._running.get(task)
        if current is not None and current.run == number:
            self._end(current, "stopped")
        self._note_ended(task, number)
        return {}

    async def hold(self, body: dict) -> dict:
        """Renews the lease and lists what runs and what has ended."""
        self._check_token(body["fencing_token"])
        self._take_note(body["last_seen"])
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self._ended:
            self._end_listed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._end_listed.wait()
            except TimeoutError:
                self._lapse()
        now = self._loop.time()
        running = [
            [
                run.task,
                run.run,
                _saved(run, now),
                _percent(run, now),
                run.unit.cpu,
            ]
            for run in self._running.values()
        ]
        ended = [
            [run.number, run.task, run.run, run.how, ""]
            for run in self._ended[:MAX_LISTED_ENDS]
        ]
        return {"running": running, "ended": ended}

    def crash(self) -> None:
        """Ends all runs; nothing of them is listed any more."""
        for run in list(self._running.values()):
            self._end(run, "crashed")
        self._ended.clear()

    def pace(self, body: dict) -> dict:
        """Accepts a pace, which changes nothing here."""
        self._check_token(body["fencing_token"])
        return {}

    def _has_room(self, unit: Unit) -> bool:
        runs = self._running.values()
        return (
            sum(run.unit.cpu for run in runs) + unit.cpu <= self.cpu
            and sum(run.unit.mem_mb for run in runs) + unit.mem_mb
            <= self.mem_mb
        )

    def _check_token(self, token: int) -> None:
        self._lapse()
        if token < self._token:
            raise Rejected(409, "fence")
        self._token = token

    def _extend(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms + MAX_HOLD_MS)
        if deadline_ms <= self._deadline_ms:
            return
        self._deadline_ms = deadline_ms
        delay_s = max(0, deadline_ms - self.clock_ms) / 1000
        self._loop.call_later(delay_s + 0.001, self._lapse)

    def _lapse(self) -> None:
        if self.clock_ms < self._deadline_ms:
            return
        # What has ended before a lapse and isn't noted yet, never will be.
        for run in self._ended:
            run.number = -abs(run.number)
        self._ended = [run for run in self._ended if run.number > 0]
        for run in list(self._running.values()):
            self._end(run, "lapsed")

    def _take_note(self, last_seen: int) -> None:
        for run in self._ended:
            if run.number <= last_seen:
                run.noted = True
        self._ended = [run for run in self._ended if run.number > last_seen]

    def _end(self, run: Run, how: str) -> None:
        if self._running.get(run.task) is not run:
            return
        del self._running[run.task]
        if run.timer is not None:
            run.timer.cancel()
        run.ended_at = self._loop.time()
        run.how = how
        self._note_ended(run.task, run.run)
        self._ends += 1
        run.number = self._ends
        self._ended.append(run)
        self._end_listed.set()
        self._record(f"{self.name} ends {run.task} run {run.run}: {how}")

    def _note_ended(self, task: str, number: int) -> None:
        highest = self._highest_ended.get(task, 0)
        self._highest_ended[task] = max(highest, number)


def _percent(run: Run, now: float) -> float:
    if run.unit.work_s is None:
        return 100
    return min(99, int(100 * (now - run.started_at) / run.unit.work_s))


def _saved(run: Run, now: float) -> str:
    count = int((now - run.started_at) / CHECKPOINT_S)
    if not run.unit.checkpoints or not count:
        return ""
    return f"{count:08x}{zlib.crc32(run.task.encode()):08x}"
