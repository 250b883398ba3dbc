"""Callers of the soak test: they submit, poll and cancel jobs."""

import asyncio
import dataclasses
import enum
import json
import random
import time
from collections.abc import Callable

import aiohttp

REQUEST_TIMEOUT_S = 4.0
POLL_INTERVAL_S = 0.4
HOST = "jobs.example"
MAX_TASK_ATTEMPTS = 2
MAX_REQUEST_ATTEMPTS = 4
FINAL_STATES = ("completed", "failed", "cancelled")


class JobKind(enum.Enum):
    """Kind of a job; the value is the state it settles in if not cancelled."""

    SHORT = "completed"
    FAILING = "failed"
    LONG_RUNNING = "running"


@dataclasses.dataclass
class Submission:
    """Submission of a job; `status` is None without a complete response."""

    sent_at: float
    status: int | None


@dataclasses.dataclass
class StateReport:
    """State of a job in a response of an entry; "" for status 410.

    Attributes:
        address: address of the entry.
        requested_at: time before the request, by the monotonic clock.
        received_at: time after the response, by the monotonic clock.
    """

    address: str
    requested_at: float
    received_at: float
    state: str


@dataclasses.dataclass
class SoakJob:
    """A job as its caller sees it; times are of the monotonic clock.

    Attributes:
        key: API key that it is submitted with.
        cancelled_at: when its cancellation was acknowledged, if it was.
    """

    job_id: str
    kind: JobKind
    key: str
    steps: list[dict]
    submissions: list[Submission] = dataclasses.field(default_factory=list)
    state_reports: list[StateReport] = dataclasses.field(default_factory=list)
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None

    @property
    def accepted_at(self) -> float | None:
        """Time at which the first acknowledged submission was sent."""
        return next(
            (each.sent_at for each in self.submissions if each.status == 200),
            None,
        )

    @property
    def ended(self) -> bool:
        """Whether a response has shown a final state."""
        return any(each.state in FINAL_STATES for each in self.state_reports)


def make_job(rng: random.Random, key: str) -> SoakJob:
    """Returns a random job; the first letter of its id encodes its kind."""
    kind = rng.choices(list(JobKind), (8, 1, 2))[0]
    step = {"count": rng.randint(1, 5), "cpu": 1000, "mem_mb": 100}
    steps = [{**step, "estimate_ms": 300}]
    if kind is JobKind.LONG_RUNNING:
        steps[0] |= {"long_running": True, "max_per_server": 2}
    elif rng.random() < 0.5:
        steps.append({**steps[0], "count": rng.randint(1, 3), "after": [0]})
    prefix = {
        JobKind.SHORT: "a",
        JobKind.FAILING: "b",
        JobKind.LONG_RUNNING: "c",
    }
    job_id = prefix[kind] + f"{rng.getrandbits(60):015x}"
    return SoakJob(job_id, kind, key, steps)


def task_duration_s(task: str) -> float | None:
    """Returns the seconds that a task takes; None if it runs until stopped."""
    return None if task[0] == "c" else 0.15 + int(task[15], 16) / 16


def task_fails(task: str) -> bool:
    """Returns whether a task fails, given its name."""
    return task[0] == "b" and task.endswith(".0.0")


class Caller:
    """Submits one job after the other over persistent connections.

    Args:
        addresses: addresses of the entries.
        rng: source of random numbers.
        current_key: returns the valid API key.
        withdrawn_keys: returns the API keys that were withdrawn.

    Attributes:
        jobs: all jobs that it has made, also those not accepted.
    """

    def __init__(
        self,
        addresses: list[str],
        rng: random.Random,
        current_key: Callable[[], str],
        withdrawn_keys: Callable[[], list[str]],
    ):
        self.jobs: list[SoakJob] = []
        self._addresses = addresses
        self._rng = rng
        self._current_key = current_key
        self._withdrawn_keys = withdrawn_keys
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Submits jobs until the task is cancelled."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            while True:
                job = make_job(self._rng, self._choose_key())
                self.jobs.append(job)
                await self._submit_and_poll(job)

    async def poll_until_settled(self, deadline: float) -> None:
        """Polls accepted jobs at all entries until each has settled.

        Args:
            deadline: time of the monotonic clock at which polling stops.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            open_jobs = [job for job in self.jobs if job.accepted_at]
            while open_jobs and time.monotonic() < deadline:
                await asyncio.sleep(POLL_INTERVAL_S)
                for job in open_jobs:
                    for address in self._addresses:
                        await self._poll(job, address)
                open_jobs = [job for job in open_jobs if not _is_settled(job)]

    async def _submit_and_poll(self, job: SoakJob) -> None:
        body = json.dumps({"spec": job.job_id, "steps": job.steps}).encode()
        for _ in range(MAX_REQUEST_ATTEMPTS):
            submission = Submission(time.monotonic(), None)
            job.submissions.append(submission)
            submission.status, _ = await self._call(
                "POST", self._random_address(), job, body
            )
            if submission.status == 200:
                break
            await asyncio.sleep(0.2)
        if job.accepted_at is None:
            return
        if self._rng.random() < 0.15:
            await self._call("POST", self._random_address(), job, body)
        for _ in range(self._rng.randint(1, 6)):
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._poll(job, self._random_address())
        if job.kind is JobKind.LONG_RUNNING and self._rng.random() < 0.6:
            await self._cancel(job)

    async def _cancel(self, job: SoakJob) -> None:
        job.cancel_sent_at = time.monotonic()
        for _ in range(MAX_REQUEST_ATTEMPTS):
            status, _ = await self._call("DELETE", self._random_address(), job)
            if status == 200:
                job.cancelled_at = time.monotonic()
                return

    async def _poll(self, job: SoakJob, address: str) -> None:
        requested_at = time.monotonic()
        status, body = await self._call("GET", address, job)
        if status in (200, 410):
            state = json.loads(body)["state"] if status == 200 else ""
            job.state_reports.append(
                StateReport(address, requested_at, time.monotonic(), state)
            )

    def _choose_key(self) -> str:
        """Returns the valid key, or in one of four cases a withdrawn one."""
        withdrawn = self._withdrawn_keys()
        if withdrawn and self._rng.random() < 0.25:
            return self._rng.choice(withdrawn)
        return self._current_key()

    def _random_address(self) -> str:
        return self._rng.choice(self._addresses)

    async def _call(
        self, method: str, address: str, job: SoakJob, body: bytes = b""
    ) -> tuple[int | None, bytes]:
        """Returns status and body; the status is None without a response."""
        url = f"http://{address}/q/{job.job_id}"
        headers = {"Host": HOST, "Credential": job.key}
        if method != "POST":
            headers["Credential"] = self._current_key()
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return None, b""


def _is_settled(job: SoakJob) -> bool:
    last_state = job.state_reports[-1].state if job.state_reports else None
    if job.cancel_sent_at is not None:
        return last_state in FINAL_STATES
    return last_state == job.kind.value
