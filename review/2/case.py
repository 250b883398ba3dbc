"""The controller is killed while a minion has more than 500 ends to list."""

import asyncio
import collections
import pathlib

from review.standin.deployment import (
    Deployment,
    configuration,
    main,
    route,
    starts_after_done,
)
from review.standin.minion import Unit

JOBS = [f"/q/{number:016x}" for number in range(0xB00, 0xB32)]
UNITS_PER_JOB = 32
# How long the controller's machine is dark.
DARK_S = 3.0
# Later jobs have shorter units, so that many end at about the same time.
UNIT_BY_JOB = {
    path.rpartition("/")[2]: Unit(cpu=15, mem_mb=16, work_s=9.0 - 0.04 * index)
    for index, path in enumerate(JOBS)
}


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether no work unit was started after it was done."""
    platform, record = deployment.platform, deployment.record

    async def prepare() -> None:
        routes = [route("r-q", "/q/", "pool-a")]
        platform.publish("keyed.op", "config", configuration(3, routes))
        await platform.add_minion(
            "i-7f3a91c2",
            "pool-a",
            lambda task: UNIT_BY_JOB[task.partition(".")[0]],
        )

    async with deployment.running(3, prepare):
        first = await deployment.controller()
        others = [each for each in deployment.entries if each is not first]
        step = {
            "count": UNITS_PER_JOB,
            "cpu": 15,
            "mem_mb": 16,
            "estimate_ms": 8000,
        }
        for path in JOBS:
            await deployment.submit(
                others[0], path, {"spec": "s", "steps": [step]}
            )
        (minion,) = platform.minions.values()
        await deployment.wait_first_end()
        record(f"{len(minion.runs)} runs have started, and the first has ended")
        if trouble:
            await first.kill()
            record(f"{first.name}, the controller, has lost power")
            await asyncio.sleep(DARK_S)
            await first.start()
        async with asyncio.timeout(80.0):
            while True:
                await asyncio.sleep(1.0)
                done = {each.task for each in minion.runs if each.how == "done"}
                if len(done) == len(JOBS) * UNITS_PER_JOB:
                    break
        await asyncio.sleep(4.0)
        for path in JOBS[:3]:
            await deployment.call(others[0], "GET", path)
        ends = collections.Counter(each.how for each in minion.runs)
        record(f"ends: {dict(ends)}")
        again = starts_after_done(minion.runs)
        record(f"{len(again)} starts after an end `done` that was noted")
        for line in again:
            record(f"started again: {line}")
        return not again


main(pathlib.Path(__file__).parent, run)
