"""One process of the program on the stand-in platform."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import socket
import sys

ROOT = pathlib.Path(__file__).resolve().parents[2]


# Below the range from which systems take ports for outgoing connections, so
# that none of these gets a chosen port before the program listens.
_PORTS = range(20_000, 32_000)


def free_address() -> str:
    """Returns an address that nobody listens on now."""
    while True:
        port = random.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


class Program:
    """A process that can be started again.

    Args:
        folder: where its settings and its log lie.
        name: of the entry.
        store: address of the store.
        machines: address of the machine service.
        module: what is run.

    Attributes:
        front_address: where callers connect.
        readiness_address: where readiness is asked.
        metrics_address: where metrics are served.
        log: file with its standard output.
        settings: its settings file.
        process: the newest process, if any was started.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        store: str,
        machines: str,
        module: tuple[str, ...] = ("sardinedrift.platform",),
    ):
        self.name = name
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self._store = store
        self._machines = machines
        self._module = module
        self._log_begin = 0
        self.choose_addresses()

    def choose_addresses(self) -> None:
        """Takes addresses that are free now, and writes the settings."""
        self.front_address, self.readiness_address = (
            free_address(),
            free_address(),
        )
        self.metrics_address = free_address()
        self.settings.write_text(
            f"node={self.name}\nzone=zone\nip=127.0.0.1\n"
            f"listen.front={self.front_address}\n"
            f"listen.readiness_addr={self.readiness_address}\n"
            f"platform.address={self._store}\n"
            f"cloud.address={self._machines}\n"
            "new.unknown.field=1\nbounds.revoke_ms=5000\n"
        )

    async def start(self, stdout: int | None = None) -> None:
        """Starts a process; its output goes to the log unless told else."""
        with self.log.open("ab") as log:
            self._log_begin = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._module,
                cwd=ROOT,
                stdout=log if stdout is None else stdout,
                env={
                    **os.environ,
                    "SARDINEDRIFT_CONFIG": str(self.settings),
                    "SARDINEDRIFT_METRICS": self.metrics_address,
                },
            )

    @property
    def served(self) -> bool:
        """Whether the newest process has begun to serve."""
        return b'"started"' in self.log.read_bytes()[self._log_begin :]

    async def kill(self) -> None:
        """Kills the process if it runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def events(self) -> list[dict]:
        """Returns the lines of its log."""
        lines = self.log.read_bytes().splitlines()
        return [json.loads(line) for line in lines]
