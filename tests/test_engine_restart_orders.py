"""Seeded search for orders of restarts and outages that break a guarantee.

Workers restart under their id while ends wait for the store and controllers
change. `python -m tests.test_engine_restart_orders FIRST COUNT` plays further
seeds and prints those that fail.
"""

import asyncio
import random
import sys
from unittest import mock

from sardinedrift.engine import poolreview
from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.model import JobState
from standins.platform.worker import RunHistory
from tests.engine_case import EngineTest
from tests.engine_node import Node
from tests.engine_world import World, long_running, short, submission

# The last four failed: a worker had a lease longer than a successor expected.
SEEDS = (*range(16), 1122, 1195, 1317, 1395)
WORKERS = 4
ROUNDS = 3
DOWN_S = (0.0, 0.05, 0.3, 0.8, 2.0)
MAX_RESTART_DELAY_S = 1.2
MAX_OUTAGE_TAIL_S = 0.5
MAX_REGISTRATION_DELAY_S = 1.5
ISOLATION_S = 2.0
# Longer than a worker that nobody reaches goes on with its runs.
LONGER_THAN_LEASES_S = 12.0
SETTLE_S = 2.0
# Ends of all jobs after the last fault: one lease that nobody renews, the
# change of a controller and the runs themselves.
COMPLETION_S = 30.0
LONG_RUNNING_JOB = "long"
# A page that is full with a few ends, as 500 are in a large fleet.
SMALL_PAGE = 3


def _task_duration_s(task: str) -> float | None:
    """Returns short and longer durations in turn."""
    job, *_, index = task.split(".")
    if job == LONG_RUNNING_JOB:
        return None
    return 2.0 if int(index) % 4 == 3 else 0.15


class _Disturbance:
    """Faults of one seed.

    Args:
        world: the deployment.
        nodes: its entries.
        choose: source of the random choices.
    """

    def __init__(
        self,
        world: World,
        nodes: list[Node],
        choose: random.Random,
    ):
        self._world = world
        self._nodes = nodes
        self._choose = choose
        self._controller_killed = False
        self._late_tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Disturbs the deployment; returns when all faults have ended."""
        for _ in range(ROUNDS):
            await asyncio.sleep(self._choose.uniform(0.3, SETTLE_S))
            await self._outage()
        if self._late_tasks:
            await asyncio.wait(self._late_tasks)

    async def _outage(self) -> None:
        faults = self._world.faults
        kind = self._choose.choice(("appends_held", "store_down", ""))
        if kind:
            setattr(faults, kind, True)
        if self._choose.random() < 0.4:
            self._later(self._disturb_controller())
        await asyncio.sleep(self._choose.uniform(0.0, MAX_RESTART_DELAY_S))
        names = self._choose.sample(
            sorted(self._world.worker_by_id), self._choose.randint(1, WORKERS)
        )
        await asyncio.gather(
            *(self._restart(name) for name in (*names, names[0]))
        )
        await asyncio.sleep(self._choose.uniform(0.0, MAX_OUTAGE_TAIL_S))
        faults.appends_held = faults.store_down = False

    async def _restart(self, name: str) -> None:
        await asyncio.sleep(self._choose.uniform(0.0, MAX_RESTART_DELAY_S))
        self._world.worker_by_id[name].crash()
        await asyncio.sleep(self._choose.choice(DOWN_S))
        if self._world.worker_by_id[name].alive:
            return
        worker = self._world.restart_worker(name)
        worker.max_listed_ends = self._choose.choice((SMALL_PAGE, 500))
        self._later(self._register(name))
        if self._choose.random() < 0.5:
            self._later(self._isolate(name))

    async def _isolate(self, name: str) -> None:
        await asyncio.sleep(self._choose.uniform(0.0, SETTLE_S))
        links = {(node.name, name) for node in self._nodes}
        healthy = links - self._world.faults.cut
        self._world.faults.cut |= healthy
        await asyncio.sleep(LONGER_THAN_LEASES_S)
        self._world.faults.cut -= healthy

    async def _register(self, name: str) -> None:
        await asyncio.sleep(self._choose.uniform(0.0, MAX_REGISTRATION_DELAY_S))
        self._world.register_restarted(name)

    async def _disturb_controller(self) -> None:
        await asyncio.sleep(self._choose.uniform(0.0, 2 * MAX_RESTART_DELAY_S))
        owner = self._world.log._group_by_name["group"].owner
        node = next((node for node in self._nodes if node.name == owner), None)
        if node is None:
            return
        if self._choose.random() < 0.5 and not self._controller_killed:
            self._controller_killed = True
            await node.kill()
            return
        faults = self._world.faults
        links = {(node.name, name) for name in self._world.worker_by_id}
        if node.name in faults.store_cut:
            return
        faults.store_cut.add(node.name)
        faults.cut |= links
        await asyncio.sleep(ISOLATION_S)
        faults.store_cut.discard(node.name)
        faults.cut -= links

    def _later(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._late_tasks.add(task)
        task.add_done_callback(self._late_tasks.discard)


class RestartOrderTest(EngineTest):
    def test_restarts_during_outages(self):
        """Guards against what one process of a worker says for the next."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(seed)

    def play(self, seed: int) -> None:
        """Plays one seed; fails if a guarantee is broken."""
        choose = random.Random(seed)

        async def scenario(world: World, nodes: list[Node]) -> None:
            for worker in world.worker_by_id.values():
                worker.max_listed_ends = choose.choice((SMALL_PAGE, 500))
            jobs = asyncio.create_task(self._submit(world, nodes, choose))
            await _Disturbance(world, nodes, choose).run()
            names = await jobs
            await self.wait_for(
                lambda: all(
                    any(
                        self._completed(node, name)
                        for node in nodes
                        if node.name not in world.faults.store_cut
                    )
                    for name in names
                ),
                COMPLETION_S,
            )

        # No worker leaves because its machine is moved.
        with mock.patch.object(poolreview, "MAX_OPERATIONS", 0):
            self.run_scenario(
                scenario, workers=WORKERS, task_duration_s=_task_duration_s
            )

    def starts_after_done(self, world: World) -> list[RunHistory]:
        """Leaves out ends that were lost with their worker, unread."""
        return world.starts_after_done(only_acknowledged=True)

    async def _submit(
        self, world: World, nodes: list[Node], choose: random.Random
    ) -> list[str]:
        """Submits jobs over some seconds; returns the accepted ones."""
        accepted = []
        job = submission(LONG_RUNNING_JOB, long_running(10 * WORKERS))
        await self.accept(world, nodes[0], job)
        for number in range(20):
            await asyncio.sleep(choose.uniform(0.0, 0.6))
            node = choose.choice(nodes)
            job = submission(f"j{number}", short(choose.randint(1, 16)))
            try:
                await self.accept(world, node, job)
            except CallError:
                continue
            accepted.append(f"j{number}")
        return accepted

    def _completed(self, node: Node, name: str) -> bool:
        known = node.catalogue.known_by_id.get(name)
        return known is not None and known.state is JobState.COMPLETED


def main() -> int:
    """Plays the seeds on the command line; returns 1 if one failed."""
    first, count = (int(word) for word in sys.argv[1:])
    failed = 0
    for seed in range(first, first + count):
        case = RestartOrderTest("play")
        try:
            case.play(seed)
        except AssertionError as error:
            failed += 1
            print(f"seed {seed}: {str(error)[:300]}")
    print(f"{count} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
