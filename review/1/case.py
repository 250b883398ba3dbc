"""A large job comes; small jobs of another queue and pool follow."""

import asyncio
import pathlib

from review.standin.deployment import Deployment, configuration, main, route
from review.standin.minion import Unit

LARGE_JOB = "/large/00000000000000d0"
SMALL_JOBS = [f"/q/{number:016x}" for number in range(0xD1, 0xD5)]
LARGE_UNIT = Unit(cpu=10, mem_mb=8, work_s=110.0, checkpoints=True)
SMALL_UNIT = Unit(cpu=500, mem_mb=256, work_s=1.0)
LARGE_COUNT = 8000


async def wait_refused(deployment: Deployment) -> None:
    """Waits until the store refuses an append, at most for 75 s."""
    platform = deployment.platform
    for _ in range(75):
        await asyncio.sleep(1.0)
        deployment.record(f"{len(platform.runs())} runs have started")
        if platform.refused_appends:
            return


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether the small jobs are done."""
    platform, record = deployment.platform, deployment.record

    def unit_of(task: str) -> Unit:
        large = task.startswith(LARGE_JOB.rpartition("/")[2])
        return LARGE_UNIT if large else SMALL_UNIT

    async def prepare() -> None:
        routes = [
            route("r-q", "/q/", "pool-a"),
            route("r-large", "/large/", "pool-b", priority=1),
        ]
        platform.publish("keyed.op", "config", configuration(3, routes))
        for name in ("i-7f3a91c2", "i-81b20c4d"):
            await platform.add_minion(name, "pool-a", unit_of)
        for name in ("i-a1d0e234", "i-b20c4d55", "i-c7f3a910", "i-d90c1b22"):
            await platform.add_minion(name, "pool-b", unit_of)

    async with deployment.running(3, prepare):
        await deployment.controller()
        entry = deployment.entries[0]
        step = {
            "count": LARGE_COUNT,
            "cpu": LARGE_UNIT.cpu,
            "mem_mb": LARGE_UNIT.mem_mb,
            "estimate_ms": 110000,
            "checkpoints": True,
        }
        if trouble:
            await deployment.submit(
                entry, LARGE_JOB, {"spec": "s", "steps": [step]}
            )
            await wait_refused(deployment)
        record("the small jobs come")
        step = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000}
        for path in SMALL_JOBS:
            await deployment.submit(entry, path, {"spec": "s", "steps": [step]})
        await asyncio.sleep(15.0)
        states = [
            (await deployment.call(entry, "GET", path))[1].get("state")
            for path in SMALL_JOBS
        ]
        record(f"after 15 s: {states}")
        return all(state == "completed" for state in states)


main(pathlib.Path(__file__).parent, run)
