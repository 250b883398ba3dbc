"""A small deployment: the platform, entry processes and clients."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine

import aiohttp

from review.standin.minion import Run
from review.standin.platform import Platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "pule25.example"
KEY = "key-0"
TENANT = "tenant-0"
# The case could not run, as opposed to a rule that held or was broken.
NOT_RUN = 2

_SETTINGS = """\
node={node}
role=entry
machine_class=front
serves=front
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listen.front={front}
listen.readiness_addr={ready}
port_range={ports}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.config_apply_ms=2000
bounds.revoke_ms=5000
bounds.grace_s=6
bounds.lease_ms=3000
bounds.status_s=120
bounds.max_hold_ms=10000
bounds.stop_grace_ms=400
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.require_fencing=true
orders=call
platform.address={store}
platform.form=log
platform.writes_per_s=800
platform.reads_per_s=2000
platform.parts=32
platform.append_ms=2.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.part_mb=200
cloud.address={cloud}
cloud.rate_per_s=64.0
cloud.duties_per_s=64.0
"""


def route(name: str, prefix: str, service: str, **fields: object) -> dict:
    """Returns a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "unsafe",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 4,
        "stretch": 1.6,
        **fields,
    }


def configuration(version: int, routes: list[dict]) -> dict:
    """Returns a configuration with one tenant and the routes' services."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "rejects_overload": True} for name in services
        ],
        "limits": {"max_body_bytes": 262144},
        "tenants": [
            {
                "name": TENANT,
                "api_keys": [KEY],
                "weight": 1,
                "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0},
            }
        ],
    }


class Recorder:
    """Writes what was sent, answered and run to a file.

    Args:
        path: the file.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, line: str) -> None:
        """Writes a line with the seconds since the begin."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
        self._file.flush()


class Entry:
    """A process of the program, started by the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path, platform: Platform):
        ports = _free_ports(3)
        self.name = name
        self.front, self.ready, metrics = (
            f"127.0.0.1:{port}" for port in ports
        )
        self.process: asyncio.subprocess.Process | None = None
        self._log = folder / f"{name}.log"
        self._environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "SARDINEDRIFT_CONFIG": str(folder / f"{name}.conf"),
            "SARDINEDRIFT_METRICS": metrics,
        }
        (folder / f"{name}.conf").write_text(
            _SETTINGS.format(
                node=name,
                front=self.front,
                ready=self.ready,
                ports=f"{ports[2]},{ports[2]}",
                store=platform.store_address,
                cloud=platform.cloud_address,
            )
        )

    async def start(self) -> None:
        """Starts a process."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sardinedrift.platform",
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=log,
            )

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Returns what its processes have written."""
        return self._log.read_text(errors="replace")


class Deployment:
    """Entries on a stand-in platform, and a client.

    Args:
        record: receives a line for each event.
        folder: directory of the settings and logs.
    """

    def __init__(self, record: Recorder, folder: pathlib.Path):
        self.record = record
        self.platform = Platform(record)
        self.entries: list[Entry] = []
        self._folder = folder
        self._session: aiohttp.ClientSession | None = None

    @contextlib.asynccontextmanager
    async def running(
        self, entries: int, prepare: Callable[[], Coroutine]
    ) -> AsyncIterator[None]:
        """Starts all; ends all processes on exit.

        Args:
            entries: number of entries.
            prepare: publishes the configuration and adds the minions.
        """
        self._session = aiohttp.ClientSession()
        try:
            await self.platform.start()
            await prepare()
            for index in range(entries):
                entry = Entry(f"front-{index}", self._folder, self.platform)
                self.entries.append(entry)
                await entry.start()
            for entry in self.entries:
                await self.wait_ready(entry)
            self.record("all entries are ready")
            yield
        finally:
            for entry in self.entries:
                await entry.kill()
            await self._session.close()
            await self.platform.aclose()

    async def wait_ready(self, entry: Entry, timeout_s: float = 30.0) -> None:
        """Waits until an entry is ready.

        Raises:
            TimeoutError: it isn't in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                if await self._is_ready(entry):
                    return
                await asyncio.sleep(0.05)

    async def _is_ready(self, entry: Entry) -> bool:
        try:
            async with self._session.get(f"http://{entry.ready}/ready") as got:
                return got.status == 200
        except aiohttp.ClientError:
            return False

    async def call(
        self,
        entry: Entry,
        method: str,
        path: str,
        body: dict | None = None,
        wait_s: float = 3.0,
    ) -> tuple[int, dict]:
        """Makes a client's call; returns status and body; 0 for no answer."""
        headers = {
            "Host": HOST,
            "Credential": KEY,
            "Deadline-Ms": str(int(wait_s * 1000)),
        }
        url = f"http://{entry.front}{path}"
        try:
            async with (
                asyncio.timeout(wait_s),
                self._session.request(
                    method, url, json=body, headers=headers
                ) as got,
            ):
                status, answer = got.status, await got.json()
        except (TimeoutError, aiohttp.ClientError) as error:
            status, answer = 0, {"error": repr(error)}
        self.record(f"{method} {path} at {entry.name}: {status} {answer}")
        return status, answer

    async def submit(self, entry: Entry, path: str, job: dict) -> None:
        """Submits a job until it is accepted.

        Raises:
            TimeoutError: it isn't accepted in 20 s.
        """
        async with asyncio.timeout(20.0):
            while True:
                status, _ = await self.call(entry, "POST", path, job)
                if status == 200:
                    return
                await asyncio.sleep(0.2)

    async def wait_first_end(self, timeout_s: float = 60.0) -> None:
        """Waits until a run has ended.

        Raises:
            TimeoutError: none has in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                if any(run.how for run in self.platform.runs()):
                    return
                await asyncio.sleep(0.02)

    async def controller(self, timeout_s: float = 15.0) -> Entry:
        """Returns the entry that the store's group lists as controller.

        Raises:
            TimeoutError: there is none in time.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                owner, _ = self.platform.log.members(
                    "sardinedrift", 1.2, time.monotonic()
                )
                for entry in self.entries:
                    if entry.name == owner and entry.process.returncode is None:
                        return entry
                await asyncio.sleep(0.02)


def starts_after_done(runs: list[Run]) -> list[str]:
    """Returns the starts after a run ended `done` whose end was noted."""
    done_by_task: dict[str, Run] = {}
    for run in sorted(runs, key=lambda each: each.started_at):
        if run.how == "done" and run.noted:
            done_by_task.setdefault(run.task, run)
    return [
        f"{run.task} run {run.run}, after run {done.run}"
        for run in runs
        if (done := done_by_task.get(run.task))
        and run.started_at > done.ended_at
    ]


def main(
    case: pathlib.Path,
    run: Callable[[Deployment, bool], Coroutine[None, None, bool]],
) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held.

    Args:
        case: folder of the case.
        run: runs it, with the disruption or without; returns whether the rule
            held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Recorder(case / "record.txt")
    record(f"trouble: {trouble}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(record, pathlib.Path(folder))
            held = asyncio.run(_limited(run(deployment, trouble)))
            if os.environ.get("KEEP_LOGS"):
                for entry in deployment.entries:
                    target = pathlib.Path(os.environ["KEEP_LOGS"]) / entry.name
                    target.write_text(entry.log_text())
    except Exception as error:
        record(f"the case could not run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    record("the rule held" if held else "the rule was broken")
    raise SystemExit(0 if held else 1)


async def _limited(work: Coroutine[None, None, bool]) -> bool:
    async with asyncio.timeout(115.0):
        return await work


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
