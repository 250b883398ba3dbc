"""Starts a small fleet as separate processes on loopback addresses.

Used by the demonstration, the benchmarks and the multi-process tests.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import yaml

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0
LISTENERS = ("callers", "peers", "admin")
_POLL_INTERVAL_SECONDS = 0.05


class FleetError(Exception):
    """An operation on the fleet failed or did not finish in time."""


class Minion(NamedTuple):
    """A running minion."""

    name: str
    pool: str
    data_centre: str
    rack: str
    address: str
    process: subprocess.Popen


class Entry(NamedTuple):
    """A running entry process."""

    name: str
    data_centre: str
    callers: str
    peers: str
    admin: str
    process: subprocess.Popen


def call(
    address: str,
    path: str,
    message: Any = None,
    timeout_seconds: float = 10.0,
) -> Any:
    """Sends a GET request, or a POST request if a message is given.

    Returns:
        The decoded JSON body, or the bytes of a body that is not JSON.

    Raises:
        urllib.error.URLError: the service answered with an error status or is
            unreachable.
    """
    data = None if message is None else json.dumps(message).encode()
    request = urllib.request.Request(
        f"http://{address}{path}",
        data,
        {"Content-Type": "application/json"} if data else {},
    )
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=timeout_seconds) as response:
        body = response.read()
    try:
        return json.loads(body)
    except ValueError:
        return body


def wait_until(
    condition: Callable[[], Any],
    description: str,
    timeout_seconds: float = START_TIMEOUT_SECONDS,
) -> Any:
    """Waits until a condition returns a true value, and returns the value.

    Args:
        condition: function to poll; OSError and ValueError count as false.
        description: expected state, for the error message.
        timeout_seconds: time to wait at most.

    Raises:
        FleetError: the condition was not met in time.
    """
    deadline = time.monotonic() + timeout_seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, ValueError):
            value = condition()
            if value:
                return value
        time.sleep(_POLL_INTERVAL_SECONDS)
    raise FleetError(
        f"condition not met within {timeout_seconds} s: {description}"
    )


class Fleet:
    """Processes of one run.

    Attributes:
        directory: directory of settings files, logs and journals.
        log: address of the log stand-in.
        instance_list: address of the instance list stand-in.
        entry_by_name: running entries.
        minion_by_name: started minions, also those killed since.
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        self.log = ""
        self.instance_list = ""
        self.entry_by_name: dict[str, Entry] = {}
        self.minion_by_name: dict[str, Minion] = {}
        self._processes: list[subprocess.Popen] = []
        self._next_port = 0
        self._change_count = 0

    def start_platform(self, *log_options: str, lag: float = 0.3) -> None:
        """Starts the log and the instance list."""
        self.log = self._start_standin("logservice", *log_options)[0]
        self.instance_list = self._start_standin(
            "instancelist", "--lag-seconds", str(lag), "--reboot-seconds", "1"
        )[0]

    def start_minion(
        self,
        name: str,
        pool: str,
        data_centre: str,
        rack: str,
        slots: int = 8,
        port: int = 0,
    ) -> Minion:
        """Starts a minion and adds it to the instance list.

        Port 0 binds any free port.
        """
        address, process = self._start_standin(
            "minion",
            "--name",
            name,
            "--slots",
            str(slots),
            "--port",
            str(port),
            "--journal",
            str(self.directory / f"{name}.journal"),
        )
        minion = Minion(name, pool, data_centre, rack, address, process)
        self.minion_by_name[name] = minion
        self.list_instance(name, "minion", data_centre, address)
        return minion

    def start_worker(self, name: str, data_centre: str, *options: str) -> str:
        """Starts a guarded worker and adds it to the instance list.

        Returns:
            The address of the worker.
        """
        address = self._start_standin("worker", *options)[0]
        self.list_instance(name, "worker", data_centre, address)
        return address

    def kill_minion(self, name: str) -> None:
        """Kills a minion without removing it from the instance list."""
        process = self.minion_by_name[name].process
        process.kill()
        process.wait()

    def restart_minion(self, name: str) -> Minion:
        """Starts a killed minion again at the same address."""
        old = self.minion_by_name[name]
        port = int(old.address.rpartition(":")[2])
        return self.start_minion(
            name, old.pool, old.data_centre, old.rack, port=port
        )

    def list_instance(
        self,
        name: str,
        kind: str,
        data_centre: str,
        address: str,
        leaving: bool = False,
    ) -> None:
        """Adds an instance to the instance list, or replaces it."""
        instance = {
            "id": name,
            "kind": kind,
            "data_centre_id": data_centre,
            "address": address,
            "leaving": leaving,
        }
        if kind == "minion":
            instance["control"] = address
        self.control(self.instance_list, put=instance)

    def start_entry(
        self,
        name: str,
        data_centre: str,
        seeds: list[str] | None = None,
        program: tuple[str, ...] = ("-m", "sardinedrift"),
        **settings: Any,
    ) -> Entry:
        """Starts an entry and adds it to the instance list under its id.

        Args:
            name: name of the entry in this fleet and of its files.
            data_centre: data centre of the entry.
            seeds: addresses of initial peers; None for all running entries.
            program: interpreter arguments that start the program; tests
                replace them to run a modified one.
            **settings: settings that differ from the defaults.
        """
        if seeds is None:
            seeds = [each.peers for each in self.entry_by_name.values()]
        settings = {"data_centre": data_centre, "seeds": seeds, **settings}
        process = self._start_program(name, program, settings)
        output = self.directory / f"{name}.log"
        addresses = wait_until(
            lambda: _logged_addresses(output), f"{name} logs its addresses"
        )
        entry = Entry(name, data_centre, process=process, **addresses)
        self.entry_by_name[name] = entry
        status = wait_until(lambda: self.status(entry), f"{name} answers")
        self.list_instance(
            status["entry_id"], "entry", data_centre, entry.peers
        )
        return entry

    def _start_program(
        self, name: str, program: tuple[str, ...], settings: dict[str, Any]
    ) -> subprocess.Popen:
        """Starts an entry with a settings file and a log file of its own."""
        path = self.directory / f"{name}.yaml"
        settings = {
            **dict.fromkeys(LISTENERS, "127.0.0.1:0"),
            "log_service": self.log,
            "instance_list": self.instance_list,
            "test_controls": True,
            "timings": {"grace_seconds": 1.0},
            "logs": {"format": "json", "level": "INFO"},
            **settings,
        }
        path.write_text(yaml.safe_dump(settings))
        arguments = [*program, "entry", "run", "--config", str(path)]
        with (self.directory / f"{name}.log").open("wb") as stream:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=stream,
                stderr=stream,
                env=self._environment(),
            )
        self._processes.append(process)
        return process

    def wait_ready(self, *entries: Entry) -> None:
        """Waits until entries are ready and members."""
        for entry in entries:
            wait_until(
                lambda entry=entry: self._is_ready_member(entry),
                f"{entry.name} is ready and a member",
            )

    def _is_ready_member(self, entry: Entry) -> bool:
        status = self.status(entry)
        return status["ready"] and status["member"]

    def status(self, entry: Entry) -> dict:
        """Returns the status of an entry from its admin API."""
        return call(entry.admin, "/v1/status")

    def publish(
        self, *changes: dict, entry: Entry | None = None, atomic: bool = False
    ) -> list[dict]:
        """Publishes changes as an operator and returns their results.

        Raises:
            FleetError: a change was rejected or its outcome is unknown.
        """
        entry = entry or next(iter(self.entry_by_name.values()))
        for change in changes:
            change.setdefault("change_id", self._new_change_id())
            change.setdefault("expected_revision", 0)
        message = {"changes": list(changes), "atomic": atomic}
        try:
            return call(entry.admin, "/v1/changes", message, 30.0)["results"]
        except urllib.error.HTTPError as error:
            raise FleetError(error.read().decode()) from error

    def control(self, address: str, **message: Any) -> Any:
        """Sets faults and other state of a stand-in."""
        return call(address, "/control", message)

    def set_blocked_peers(self, entry: Entry, *blocked: str) -> None:
        """Blocks traffic of an entry with these peer addresses or data centres.

        Traffic with all others is unblocked.
        """
        call(entry.admin, "/test/cut", {"blocked": list(blocked)})

    def kill(self, name: str) -> None:
        """Kills an entry and removes it from the instance list.

        The list shows the removal after its lag.
        """
        entry = self.entry_by_name.pop(name)
        entry_id = self.status(entry)["entry_id"]
        entry.process.kill()
        entry.process.wait()
        self.control(self.instance_list, remove=entry_id)

    def stop(self, name: str) -> int:
        """Stops an entry with SIGTERM and returns its exit status."""
        entry = self.entry_by_name.pop(name)
        entry_id = self.status(entry)["entry_id"]
        entry.process.send_signal(signal.SIGTERM)
        status = entry.process.wait(STOP_TIMEOUT_SECONDS)
        self.control(self.instance_list, remove=entry_id)
        return status

    def close(self) -> None:
        """Kills all processes of the run."""
        for process in self._processes:
            if process.poll() is None:
                # A process stopped by SIGSTOP ignores SIGTERM until SIGCONT.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def _start_standin(
        self, module: str, *options: str
    ) -> tuple[str, subprocess.Popen]:
        process = subprocess.Popen(
            [sys.executable, "-m", f"standins.{module}", *options],
            stdout=subprocess.PIPE,
            env=self._environment(),
        )
        self._processes.append(process)
        line = process.stdout.readline()
        if not line:
            raise FleetError(
                f"stand-in {module} exited before it printed its address"
            )
        return json.loads(line)["address"], process

    def _environment(self) -> dict[str, str]:
        root = pathlib.Path(__file__).resolve().parent.parent
        return {**os.environ, "PYTHONPATH": str(root)}

    def _new_change_id(self) -> str:
        self._change_count += 1
        return f"operator-{os.getpid()}-{self._change_count}"


def _logged_addresses(output: pathlib.Path) -> dict[str, str] | None:
    """Returns the listener addresses in the log of an entry, if present."""
    for line in output.read_text().splitlines():
        with contextlib.suppress(ValueError):
            event = json.loads(line)
            if "callers" in event:
                return {name: event[name] for name in LISTENERS}
    return None


@contextlib.contextmanager
def running_fleet() -> Iterator[Fleet]:
    """Yields a fleet whose processes are killed at the end of the block."""
    with tempfile.TemporaryDirectory(prefix="sardinedrift-") as name:
        fleet = Fleet(pathlib.Path(name))
        try:
            yield fleet
        finally:
            fleet.close()
