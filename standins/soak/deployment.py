"""The processes, links and workers of a soak, and what faults do to them."""

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
from standins.soak.callers import HOST, MAX_ATTEMPTS, fails, work_s
from standins.soak.checks import Withdrawal
from standins.soak.proxy import Harm, Proxy
from standins.soak.schedule import LONGEST_S, Fault, FaultKind

POOL = "pool"
TEAM = "team"
GROUP = "sardinedrift"
JOBS_TOPIC = "keyed.sardinedrift"
# A stop in order ends within the grace time of the settings, and a margin.
STOP_S = 8.0
START_S = 30.0
# Clocks of workers differ by at most this from the others.
CLOCK_DRIFT = 0.01
# Longest that a harmed link holds bytes back.
MOST_DELAY_S = 6.0

_LINK_HARMS = [harm for harm in Harm if harm is not Harm.NONE]


class Deployment:
    """The whole, in one folder.

    Attributes:
        platform: the stand-in that all of it runs on.
        key: the key that callers use now.
        withdrawals: keys that were taken away.
        exits: processes that ended by themselves or late, in words.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int,
        workers: int,
        chance: random.Random,
        module: tuple[str, ...],
    ):
        self.platform = Platform()
        self.key = "key-0"
        self.withdrawals: list[Withdrawal] = []
        self.exits: list[str] = []
        self._folder = folder
        self._chance = chance
        self._module = module
        self._version = 0
        self._programs: list[Program] = []
        self._store_links: list[Proxy] = []
        self._caller_links = [Proxy() for _ in range(entries)]
        self._worker_links = [Proxy() for _ in range(workers)]
        self._expected_exits: set[int] = set()
        # Entries that a fault in force is going to start again.
        self._down: set[int] = set()
        self._tasks: set[asyncio.Task] = set()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts everything, and ends it."""
        try:
            await self._start()
            yield
        finally:
            for task in self._tasks:
                task.cancel()
            for program in self._programs:
                self._expect_exit(program)
                await program.kill()
            for link in self._links():
                await link.aclose()
            await self.platform.aclose()

    @property
    def addresses(self) -> list[str]:
        """Where callers reach the entries."""
        return [link.address for link in self._caller_links]

    async def apply(self, fault: Fault) -> None:
        """Does what a fault says and undoes it after its time."""
        await self._ways[fault.kind](self, fault)

    async def wait_ready(self, within_s: float) -> list[str]:
        """Waits until all entries are ready; returns those that are not."""
        until = time.monotonic() + within_s
        late = []
        async with aiohttp.ClientSession() as session:
            for program in self._programs:
                while not (
                    ready := await _is_ready(session, program.readiness_address)
                ):
                    if time.monotonic() > until:
                        break
                    await asyncio.sleep(0.05)
                if not ready:
                    late.append(program.name)
        return late

    async def _start(self) -> None:
        await self.platform.start()
        self._publish()
        for number, link in enumerate(self._worker_links):
            await link.start()
            await self._start_worker(number)
        for number, link in enumerate(self._caller_links):
            await link.start()
            store = Proxy(self.platform.addresses["store"])
            await store.start()
            self._store_links.append(store)
            program = Program(
                self._folder,
                f"n{number}",
                store.address,
                self.platform.addresses["machines"],
                self._module,
            )
            self._programs.append(program)
            await self._start_program(number)
        late = await self.wait_ready(START_S)
        if late:
            raise RuntimeError(f"not ready after their start: {late}")

    def _links(self) -> list[Proxy]:
        links = (self._store_links, self._caller_links, self._worker_links)
        return [link for group in links for link in group]

    def _publish(self) -> None:
        self._version += 1
        route = {
            "name": "route",
            "host": HOST,
            "path_prefix": "/q/",
            "service": POOL,
            "max_attempts": MAX_ATTEMPTS,
        }
        configuration = {
            "version": self._version,
            "routes": [route],
            "services": [{"name": POOL}],
            "limits": {"max_body_bytes": 4000},
            "tenants": [{"name": TEAM, "api_keys": [self.key]}],
        }
        self.platform.publish("keyed.op", "config", configuration)

    async def _start_worker(self, number: int) -> None:
        link = self._worker_links[number]
        name = f"w{number}"
        rate = 1 + self._chance.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        await self.platform.add_worker(
            name, POOL, work_s, fails, rate, link.address
        )
        link.target = self.platform.addresses[name]

    async def _start_program(self, number: int) -> None:
        program = self._programs[number]
        program.choose_addresses()
        self._caller_links[number].target = program.front_address
        await program.start()
        task = asyncio.create_task(self._watch(program))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, program: Program) -> None:
        process = program.process
        status = await process.wait()
        if process.pid not in self._expected_exits:
            self.exits.append(f"EXIT: {program.name} ended with {status}")

    def _expect_exit(self, program: Program) -> None:
        if program.process is not None:
            self._expected_exits.add(program.process.pid)

    def _running(self, number: int) -> Program | None:
        """Returns an entry, or None while it is down."""
        program = self._programs[number % len(self._programs)]
        return program if program.process.returncode is None else None

    @contextlib.asynccontextmanager
    async def _restarting(self, number: int) -> AsyncIterator[None]:
        """Starts an entry again afterwards, unless another fault does."""
        if number in self._down:
            yield
            return
        self._down.add(number)
        yield
        self._down.remove(number)
        await self._start_program(number)

    async def _kill(self, fault: Fault) -> None:
        number = fault.target % len(self._programs)
        program = self._running(number)
        if program is None:
            return
        async with self._restarting(number):
            self._expect_exit(program)
            await program.kill()
            await asyncio.sleep(fault.for_s)

    async def _kill_all(self, fault: Fault) -> None:
        kills = [
            self._kill(fault._replace(target=number))
            for number in range(len(self._programs))
        ]
        await asyncio.gather(*kills)

    async def _stop(self, fault: Fault) -> None:
        number = fault.target % len(self._programs)
        program = self._running(number)
        if program is None or number in self._down:
            return
        async with self._restarting(number):
            process = program.process
            self._expect_exit(program)
            process.send_signal(signal.SIGTERM)
            try:
                # A pause of the same entry may put the end off.
                async with asyncio.timeout(STOP_S + LONGEST_S):
                    status = await process.wait()
            except TimeoutError:
                self.exits.append(f"STOP: {program.name} runs on")
                await program.kill()
                return
            # A process that has not begun to serve need not end in order.
            early = status == -signal.SIGTERM and not program.served
            if status not in (0, -signal.SIGKILL) and not early:
                self.exits.append(f"STOP: {program.name} ended with {status}")

    async def _pause(self, fault: Fault) -> None:
        program = self._running(fault.target)
        if program is None:
            return
        process = program.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)

    async def _reload(self, fault: Fault) -> None:
        program = self._running(fault.target)
        if program is not None:
            program.process.send_signal(signal.SIGHUP)

    async def _harm(self, links: list[Proxy], fault: Fault) -> None:
        link = links[fault.target % len(links)]
        harm = _LINK_HARMS[fault.variant % len(_LINK_HARMS)]
        delay_s = fault.variant / 1000 * MOST_DELAY_S
        link.set_harm(harm, delay_s)
        await asyncio.sleep(fault.for_s)
        link.set_harm(Harm.NONE)
        # What a link swallowed is lost for good; the connections end with it.
        if harm is not Harm.DELAY:
            link.reset()

    async def _crash_worker(self, fault: Fault) -> None:
        number = fault.target % len(self._worker_links)
        name = f"w{number}"
        if name not in self.platform.worker_names:
            return
        await self.platform.crash_worker(name)
        await asyncio.sleep(fault.for_s)
        await self._start_worker(number)

    async def _refuse(self, fault: Fault) -> None:
        self.platform.store_status = 503
        await asyncio.sleep(fault.for_s)
        self.platform.store_status = None

    async def _lose_answers(self, fault: Fault) -> None:
        self.platform.loses_answers = True
        await asyncio.sleep(fault.for_s)
        self.platform.loses_answers = False

    async def _expire(self, fault: Fault) -> None:
        partition = self.platform.log.partition(JOBS_TOPIC)
        partition.drop_before(partition.end)

    async def _rebalance(self, fault: Fault) -> None:
        self.platform.log.rebalance(GROUP)

    async def _withdraw(self, fault: Fault) -> None:
        withdrawn, self.key = self.key, f"key-{self._version}"
        self._publish()
        self.withdrawals.append(Withdrawal(withdrawn, time.monotonic()))

    _ways: dict[FaultKind, Callable[["Deployment", Fault], Awaitable[None]]] = {  # noqa: RUF012
        FaultKind.KILL: _kill,
        FaultKind.ALL_KILLED: _kill_all,
        FaultKind.STOP: _stop,
        FaultKind.PAUSE: _pause,
        FaultKind.RELOAD: _reload,
        FaultKind.STORE_LINK: lambda self, fault: self._harm(
            self._store_links, fault
        ),
        FaultKind.CALLER_LINK: lambda self, fault: self._harm(
            self._caller_links, fault
        ),
        FaultKind.WORKER_LINK: lambda self, fault: self._harm(
            self._worker_links, fault
        ),
        FaultKind.WORKER_CRASH: _crash_worker,
        FaultKind.STORE_REFUSES: _refuse,
        FaultKind.STORE_LOSES_ANSWERS: _lose_answers,
        FaultKind.STORE_EXPIRES: _expire,
        FaultKind.STORE_REBALANCES: _rebalance,
        FaultKind.KEY_WITHDRAWN: _withdraw,
    }


async def _is_ready(session: aiohttp.ClientSession, address: str) -> bool:
    try:
        async with session.get(f"http://{address}/ready") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
