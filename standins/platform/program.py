"""Runs a process of the program against the stand-in platform."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import socket
import sys
from collections.abc import Iterator

from standins.platform.log import MAX_RECORD_BYTES

ROOT = pathlib.Path(__file__).resolve().parents[2]


# Below the ephemeral port range, so that no outgoing connection occupies a
# chosen port before the program listens on it.
_PORTS = range(20_000, 32_000)


def _ports_in_turn() -> Iterator[int]:
    """Yields the ports in turn, from a different one in each process.

    So an address is not given to two programs before they listen on it.
    """
    first = random.SystemRandom().choice(_PORTS)
    yield from itertools.cycle(
        (*range(first, _PORTS.stop), *_PORTS[: first - _PORTS.start])
    )


_next_ports = _ports_in_turn()


def free_address() -> str:
    """Returns a loopback address whose port is unused at present."""
    while True:
        port = next(_next_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"


class Program:
    """A process of the program that can be restarted.

    Args:
        folder: directory of the settings file and the log file.
        name: name of the entry.
        store_address: address of the store.
        machines_address: address of the machine service.
        module: module to run, followed by its arguments.

    Attributes:
        front_address: address for callers.
        readiness_address: address of the readiness check.
        metrics_address: address that serves metrics.
        log: file that collects the standard output of all its processes.
        settings: settings file.
        process: the last process started, or None.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        store_address: str,
        machines_address: str,
        module: tuple[str, ...] = ("sardinedrift.platform",),
    ):
        self.name = name
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.conf"
        self.process: asyncio.subprocess.Process | None = None
        self._store_address = store_address
        self._machines_address = machines_address
        self._module = module
        self._log_offset = 0
        self.choose_addresses()

    def choose_addresses(self) -> None:
        """Chooses unused addresses and writes the settings file."""
        self.front_address, self.readiness_address = (
            free_address(),
            free_address(),
        )
        self.metrics_address = free_address()
        self.settings.write_text(
            f"node={self.name}\nzone=zone\nip=127.0.0.1\n"
            f"listen.front={self.front_address}\n"
            f"listen.readiness_addr={self.readiness_address}\n"
            f"platform.address={self._store_address}\n"
            f"platform.record_bytes={MAX_RECORD_BYTES}\n"
            f"cloud.address={self._machines_address}\n"
            "new.unknown.field=1\nbounds.revoke_ms=5000\n"
        )

    async def start(self, stdout: int | None = None) -> None:
        """Starts a process.

        Args:
            stdout: file descriptor for its standard output; None for the log
                file.
        """
        with self.log.open("ab") as log:
            self._log_offset = log.tell()
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
    def has_started(self) -> bool:
        """Whether the last process has logged that it serves calls."""
        return b'"started"' in self.log.read_bytes()[self._log_offset :]

    async def kill(self) -> None:
        """Kills the process if it is running."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def events(self) -> list[dict]:
        """Returns the decoded lines of the log file."""
        lines = self.log.read_bytes().splitlines()
        return [json.loads(line) for line in lines]
