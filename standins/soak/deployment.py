"""Processes, links and workers of the soak test, and the faults on them."""

import asyncio
import contextlib
import pathlib
import random
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from standins.platform.program import Program
from standins.platform.server import Platform
from standins.soak.callers import (
    HOST,
    MAX_TASK_ATTEMPTS,
    task_duration_s,
    task_fails,
)
from standins.soak.checks import Evacuation, Withdrawal
from standins.soak.crowds import MAX_BODY_BYTES, run_crowd
from standins.soak.proxy import LinkFault, Proxy
from standins.soak.schedule import MAX_DURATION_S, Fault, FaultKind

POOL = "pool"
TEAM = "team"
GROUP = "sardinedrift"
JOBS_TOPIC = "keyed.sardinedrift"
# An orderly stop takes at most the grace time of the settings, plus a margin.
STOP_TIMEOUT_S = 8.0
START_TIMEOUT_S = 30.0
# Maximum relative deviation of the clock rate of a worker.
MAX_CLOCK_DRIFT = 0.01
# Maximum delay of a chunk on a link.
MAX_DELAY_S = 6.0
# Workers are in these data centres in turn.
ZONES = ("zone-0", "zone-1")
# For how long a worker is cold after its start, and the starts per second that
# it can take meanwhile.
COLD_S = 2.0
COLD_PER_S = 4

_LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]


class Deployment:
    """A platform, entries, workers and the links between them.

    Args:
        folder: directory of the settings files and the logs.
        entries: number of entries.
        workers: number of workers.
        rng: source of random numbers.
        module: module that the entries run, followed by its arguments.

    Attributes:
        platform: the stand-in platform.
        key: API key that is valid at present.
        withdrawals: keys that were withdrawn.
        evacuations: evacuations that have ended.
        exits: a line for each process that exited unexpectedly or did not
            exit in time.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int,
        workers: int,
        rng: random.Random,
        module: tuple[str, ...],
    ):
        self.platform = Platform()
        self.key = "key-0"
        self.withdrawals: list[Withdrawal] = []
        self.evacuations: list[Evacuation] = []
        self._evacuated_zones: set[str] = set()
        self.exits: list[str] = []
        self._folder = folder
        self._rng = rng
        self._module = module
        self._version = 0
        self._programs: list[Program] = []
        self._store_links: list[Proxy] = []
        self._caller_links = [Proxy() for _ in range(entries)]
        self._worker_links = [Proxy() for _ in range(workers)]
        self._worker_names = [f"w{index}" for index in range(workers)]
        self._expected_exits: set[int] = set()
        # Indices of entries that a fault in progress will restart.
        self._restarting_entries: set[int] = set()
        self._exit_recorders: set[asyncio.Task] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts the deployment and stops it on exit."""
        try:
            await self._start()
            yield
        finally:
            for task in self._exit_recorders:
                task.cancel()
            for program in self._programs:
                self._expect_exit(program)
                await program.kill()
            for link in self._links():
                await link.aclose()
            await self.platform.aclose()

    @property
    def addresses(self) -> list[str]:
        """Addresses of the entries for callers."""
        return [link.address for link in self._caller_links]

    async def apply(self, fault: Fault) -> None:
        """Applies a fault and reverts it after its duration."""
        await self._handler_by_kind[fault.kind](self, fault)

    async def wait_ready(self, timeout_s: float) -> list[str]:
        """Waits until all entries are ready; returns the names of late ones."""
        deadline = time.monotonic() + timeout_s
        late = []
        async with aiohttp.ClientSession() as session:
            for program in self._programs:
                while not (
                    ready := await _is_ready(session, program.readiness_address)
                ):
                    if time.monotonic() > deadline:
                        break
                    await asyncio.sleep(0.05)
                if not ready:
                    late.append(program.name)
        return late

    async def _start(self) -> None:
        await self.platform.start()
        self._publish_configuration()
        for index, link in enumerate(self._worker_links):
            await link.start()
            await self._start_worker(index)
        for index, link in enumerate(self._caller_links):
            await link.start()
            store = Proxy(self.platform.addresses["store"])
            await store.start()
            self._store_links.append(store)
            program = Program(
                self._folder,
                f"n{index}",
                store.address,
                self.platform.addresses["machines"],
                self._module,
            )
            self._programs.append(program)
            await self._start_program(index)
        late = await self.wait_ready(START_TIMEOUT_S)
        if late:
            raise RuntimeError(
                f"entries not ready within the start timeout: {late}"
            )

    def _links(self) -> list[Proxy]:
        links = (self._store_links, self._caller_links, self._worker_links)
        return [link for group in links for link in group]

    def _publish_configuration(self) -> None:
        self._version += 1
        route = {
            "name": "route",
            "host": HOST,
            "path_prefix": "/q/",
            "service": POOL,
            "max_attempts": MAX_TASK_ATTEMPTS,
        }
        configuration = {
            "version": self._version,
            "routes": [route],
            "services": [
                {
                    "name": POOL,
                    "cold_start_s": COLD_S,
                    "cold_per_s": COLD_PER_S,
                }
            ],
            "limits": {"max_body_bytes": MAX_BODY_BYTES},
            "tenants": [{"name": TEAM, "api_keys": [self.key]}],
        }
        self.platform.publish("keyed.op", "config", configuration)

    async def _start_worker(self, index: int) -> None:
        link = self._worker_links[index]
        name = self._worker_names[index]
        rate = 1 + self._rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        await self.platform.add_worker(
            name,
            POOL,
            task_duration_s,
            task_fails,
            rate,
            link.address,
            ZONES[index % len(ZONES)],
            COLD_S,
        )
        link.target = self.platform.addresses[name]

    async def _start_program(self, index: int) -> None:
        program = self._programs[index]
        program.choose_addresses()
        self._caller_links[index].target = program.front_address
        await program.start()
        task = asyncio.create_task(self._record_exit(program))
        self._exit_recorders.add(task)
        task.add_done_callback(self._exit_recorders.discard)

    async def _record_exit(self, program: Program) -> None:
        process = program.process
        status = await process.wait()
        if process.pid not in self._expected_exits:
            self.exits.append(
                f"EXIT: {program.name} exited unexpectedly with {status}"
            )

    def _expect_exit(self, program: Program) -> None:
        if program.process is not None:
            self._expected_exits.add(program.process.pid)

    def _running_program(self, index: int) -> Program | None:
        """Returns an entry, or None while its process does not run."""
        program = self._programs[index % len(self._programs)]
        return program if program.process.returncode is None else None

    @contextlib.asynccontextmanager
    async def _restart_afterwards(self, index: int) -> AsyncIterator[None]:
        """Restarts an entry on exit, unless another fault will do so."""
        if index in self._restarting_entries:
            yield
            return
        self._restarting_entries.add(index)
        yield
        self._restarting_entries.remove(index)
        await self._start_program(index)

    async def _kill(self, fault: Fault) -> None:
        index = fault.target % len(self._programs)
        program = self._running_program(index)
        if program is None:
            return
        async with self._restart_afterwards(index):
            self._expect_exit(program)
            await program.kill()
            await asyncio.sleep(fault.for_s)

    async def _kill_all(self, fault: Fault) -> None:
        kills = [
            self._kill(fault._replace(target=index))
            for index in range(len(self._programs))
        ]
        await asyncio.gather(*kills)

    async def _stop(self, fault: Fault) -> None:
        index = fault.target % len(self._programs)
        program = self._running_program(index)
        if program is None or index in self._restarting_entries:
            return
        async with self._restart_afterwards(index):
            process = program.process
            self._expect_exit(program)
            process.send_signal(signal.SIGTERM)
            try:
                # A pause of the same entry may delay its exit.
                async with asyncio.timeout(STOP_TIMEOUT_S + MAX_DURATION_S):
                    status = await process.wait()
            except TimeoutError:
                self.exits.append(
                    f"STOP: {program.name} still runs after the stop timeout"
                )
                await program.kill()
                return
            # A process that does not serve yet may be ended by the signal.
            before_start = status == -signal.SIGTERM and not program.has_started
            if status not in (0, -signal.SIGKILL) and not before_start:
                self.exits.append(f"STOP: {program.name} exited with {status}")

    async def _pause(self, fault: Fault) -> None:
        program = self._running_program(fault.target)
        if program is None:
            return
        process = program.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _reload(self, fault: Fault) -> None:
        program = self._running_program(fault.target)
        if program is not None:
            program.process.send_signal(signal.SIGHUP)

    async def _disrupt_link(self, links: list[Proxy], fault: Fault) -> None:
        link = links[fault.target % len(links)]
        link_fault = _LINK_FAULTS[fault.variant % len(_LINK_FAULTS)]
        delay_s = fault.variant / 1000 * MAX_DELAY_S
        link.set_fault(link_fault, delay_s)
        await asyncio.sleep(fault.for_s)
        link.set_fault(LinkFault.NONE)
        # Connections that dropped bytes cannot recover and are aborted.
        if link_fault is not LinkFault.DELAY:
            link.reset()

    async def _crash_worker(self, fault: Fault) -> None:
        index = fault.target % len(self._worker_links)
        name = self._worker_names[index]
        if name not in self.platform.worker_names:
            return
        await self.platform.crash_worker(name)
        await asyncio.sleep(fault.for_s)
        await self._start_worker(index)

    async def _replace_worker(self, fault: Fault) -> None:
        """Starts another worker at the address of one that has crashed.

        The registration of the crashed one remains for the fault's duration.
        """
        index = fault.target % len(self._worker_links)
        name = self._worker_names[index]
        if name not in self.platform.worker_names:
            return
        await self.platform.crash_worker(name)
        self._worker_names[index] = f"w{index}-{fault.variant}"
        await self._start_worker(index)
        await asyncio.sleep(fault.for_s)
        self.platform.publish("keyed.servers", name, None)

    async def _refuse_store_calls(self, fault: Fault) -> None:
        self.platform.store_status = 503
        await asyncio.sleep(fault.for_s)
        self.platform.store_status = None

    async def _drop_store_responses(self, fault: Fault) -> None:
        self.platform.drops_responses = True
        await asyncio.sleep(fault.for_s)
        self.platform.drops_responses = False

    async def _drop_history(self, fault: Fault) -> None:
        partition = self.platform.log.partition(JOBS_TOPIC)
        partition.drop_before(partition.end)

    async def _rebalance(self, fault: Fault) -> None:
        self.platform.log.rebalance(GROUP)

    async def _withdraw_key(self, fault: Fault) -> None:
        withdrawn, self.key = self.key, f"key-{self._version}"
        self._publish_configuration()
        self.withdrawals.append(Withdrawal(withdrawn, time.monotonic()))

    async def _evacuate(self, fault: Fault) -> None:
        async with self.evacuated(ZONES[fault.target % len(ZONES)]):
            await asyncio.sleep(fault.for_s)

    @contextlib.asynccontextmanager
    async def evacuated(self, zone: str) -> AsyncIterator[None]:
        """Evacuates a data centre within the context, unless it already is."""
        if zone in self._evacuated_zones:
            yield
            return
        self._evacuated_zones.add(zone)
        self.platform.evacuate(zone)
        acknowledged_at = time.monotonic()
        yield
        self.evacuations.append(
            Evacuation(zone, acknowledged_at, time.monotonic())
        )
        self.platform.withdraw_evacuation(zone)
        self._evacuated_zones.remove(zone)

    async def _connect_hostile_clients(self, fault: Fault) -> None:
        program = self._programs[fault.target % len(self._programs)]
        await run_crowd(program.front_address, self.key, fault)

    _handler_by_kind: dict[
        FaultKind, Callable[["Deployment", Fault], Awaitable[None]]
    ] = {  # noqa: RUF012
        FaultKind.KILL: _kill,
        FaultKind.ALL_KILLED: _kill_all,
        FaultKind.STOP: _stop,
        FaultKind.PAUSE: _pause,
        FaultKind.RELOAD: _reload,
        FaultKind.STORE_LINK: lambda self, fault: self._disrupt_link(
            self._store_links, fault
        ),
        FaultKind.CALLER_LINK: lambda self, fault: self._disrupt_link(
            self._caller_links, fault
        ),
        FaultKind.WORKER_LINK: lambda self, fault: self._disrupt_link(
            self._worker_links, fault
        ),
        FaultKind.WORKER_CRASH: _crash_worker,
        FaultKind.WORKER_REPLACED: _replace_worker,
        FaultKind.STORE_REFUSES: _refuse_store_calls,
        FaultKind.STORE_LOSES_ANSWERS: _drop_store_responses,
        FaultKind.STORE_EXPIRES: _drop_history,
        FaultKind.STORE_REBALANCES: _rebalance,
        FaultKind.KEY_WITHDRAWN: _withdraw_key,
        FaultKind.EVACUATED: _evacuate,
        FaultKind.HOSTILE_CLIENTS: _connect_hostile_clients,
    }


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
