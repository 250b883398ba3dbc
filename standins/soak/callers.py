"""Callers of a soak: they hand in, follow and cancel jobs."""

import asyncio
import dataclasses
import enum
import json
import random
import time
from collections.abc import Callable

import aiohttp

CALL_S = 4.0
LOOK_S = 0.4
HOST = "jobs.example"
MAX_ATTEMPTS = 2
TRIES = 4
ENDED = ("completed", "failed", "cancelled")


class JobKind(enum.Enum):
    """What becomes of a job that is left alone."""

    SHORT = "completed"
    POISON = "failed"
    LASTING = "running"


@dataclasses.dataclass
class Attempt:
    """One call; `status` is None when no complete answer came."""

    sent_at: float
    status: int | None


@dataclasses.dataclass
class Sighting:
    """A state that a caller was told; "" for an answer 410."""

    address: str
    asked_at: float
    told_at: float
    state: str


@dataclasses.dataclass
class SoakJob:
    """A job as its caller knows it; times are of the monotonic clock."""

    job_id: str
    kind: JobKind
    key: str
    steps: list[dict]
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    sightings: list[Sighting] = dataclasses.field(default_factory=list)
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None

    @property
    def accepted_at(self) -> float | None:
        """When it was first acknowledged, about."""
        return next(
            (each.sent_at for each in self.attempts if each.status == 200), None
        )

    @property
    def ended(self) -> bool:
        """Whether its caller was told its end."""
        return any(each.state in ENDED for each in self.sightings)


def make_job(chance: random.Random, key: str) -> SoakJob:
    """Returns a job of a random shape; its id tells its kind to workers."""
    kind = chance.choices(list(JobKind), (8, 1, 2))[0]
    step = {"count": chance.randint(1, 5), "cpu": 1000, "mem_mb": 100}
    steps = [{**step, "estimate_ms": 300}]
    if kind is JobKind.LASTING:
        steps[0] |= {"long_running": True, "max_per_server": 2}
    elif chance.random() < 0.5:
        steps.append({**steps[0], "count": chance.randint(1, 3), "after": [0]})
    prefix = {JobKind.SHORT: "a", JobKind.POISON: "b", JobKind.LASTING: "c"}
    job_id = prefix[kind] + f"{chance.getrandbits(60):015x}"
    return SoakJob(job_id, kind, key, steps)


def work_s(task: str) -> float | None:
    """Returns how long a task takes, by its name."""
    return None if task[0] == "c" else 0.15 + int(task[15], 16) / 16


def fails(task: str) -> bool:
    """Whether a task fails, by its name."""
    return task[0] == "b" and task.endswith(".0.0")


class Caller:
    """Hands in jobs one after the other, over connections that stay open.

    Args:
        addresses: of the entries.
        chance: random numbers.
        key: returns the key in force.
        old_keys: returns keys that were withdrawn.
    """

    def __init__(
        self,
        addresses: list[str],
        chance: random.Random,
        key: Callable[[], str],
        old_keys: Callable[[], list[str]],
    ):
        self.jobs: list[SoakJob] = []
        self._addresses = addresses
        self._chance = chance
        self._key = key
        self._old_keys = old_keys
        self._session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Calls until cancelled."""
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            while True:
                job = make_job(self._chance, self._choose_key())
                self.jobs.append(job)
                await self._play(job)

    async def settle(self, until: float) -> None:
        """Asks every entry for every job until each has told its end."""
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        async with aiohttp.ClientSession(timeout=timeout) as self._session:
            open_jobs = [job for job in self.jobs if job.accepted_at]
            while open_jobs and time.monotonic() < until:
                await asyncio.sleep(LOOK_S)
                for job in open_jobs:
                    for address in self._addresses:
                        await self._look(job, address)
                open_jobs = [job for job in open_jobs if not _settled(job)]

    async def _play(self, job: SoakJob) -> None:
        body = json.dumps({"spec": job.job_id, "steps": job.steps}).encode()
        for _ in range(TRIES):
            attempt = Attempt(time.monotonic(), None)
            job.attempts.append(attempt)
            attempt.status, _ = await self._call("POST", self._any(), job, body)
            if attempt.status == 200:
                break
            await asyncio.sleep(0.2)
        if job.accepted_at is None:
            return
        if self._chance.random() < 0.15:
            await self._call("POST", self._any(), job, body)
        for _ in range(self._chance.randint(1, 6)):
            await asyncio.sleep(LOOK_S)
            await self._look(job, self._any())
        if job.kind is JobKind.LASTING and self._chance.random() < 0.6:
            await self._cancel(job)

    async def _cancel(self, job: SoakJob) -> None:
        job.cancel_sent_at = time.monotonic()
        for _ in range(TRIES):
            status, _ = await self._call("DELETE", self._any(), job)
            if status == 200:
                job.cancelled_at = time.monotonic()
                return

    async def _look(self, job: SoakJob, address: str) -> None:
        asked_at = time.monotonic()
        status, body = await self._call("GET", address, job)
        if status in (200, 410):
            state = json.loads(body)["state"] if status == 200 else ""
            job.sightings.append(
                Sighting(address, asked_at, time.monotonic(), state)
            )

    def _choose_key(self) -> str:
        """Returns the key in force, or now and then a withdrawn one."""
        old = self._old_keys()
        if old and self._chance.random() < 0.25:
            return self._chance.choice(old)
        return self._key()

    def _any(self) -> str:
        return self._chance.choice(self._addresses)

    async def _call(
        self, method: str, address: str, job: SoakJob, body: bytes = b""
    ) -> tuple[int | None, bytes]:
        """Returns status and body; the status is None without an answer."""
        url = f"http://{address}/q/{job.job_id}"
        headers = {"Host": HOST, "Credential": job.key}
        if method != "POST":
            headers["Credential"] = self._key()
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return None, b""


def _settled(job: SoakJob) -> bool:
    last = job.sightings[-1].state if job.sightings else None
    if job.cancel_sent_at is not None:
        return last in ENDED
    return last == job.kind.value
