"""A start is carried out late, and its repetition is refused with 503."""

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
from review.standin.minion import Minion, Rejected, Run, Unit

JOB = "/q/00000000000000c1"
# Those with an even number are short.
UNITS = [
    Unit(cpu=500, mem_mb=256, work_s=1.0),
    Unit(cpu=500, mem_mb=256, work_s=5.0),
]
LATE_S = 2.5


def overlaps(runs: list[Run], now: float) -> list[str]:
    """Returns the pairs of runs of one work unit at the same time."""
    found = []
    for index, one in enumerate(runs):
        for other in runs[index + 1 :]:
            begin = max(one.started_at, other.started_at)
            end = min(one.ended_at or now, other.ended_at or now)
            if one.task == other.task and begin < end:
                found.append(
                    f"{one.task}: run {one.run} on {one.minion} and run "
                    f"{other.run} on {other.minion} for {end - begin:.3f} s"
                )
    return found


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether no work unit ran twice."""
    platform, record = deployment.platform, deployment.record
    calls: collections.Counter[tuple[str, int]] = collections.Counter()

    def unit_of(task: str) -> Unit:
        return UNITS[int(task.rpartition(".")[2]) % 2]

    def before_start(minion: Minion, body: dict) -> float | None:
        index = int(body["task"].rpartition(".")[2])
        if not trouble or body["run"] > 1 or index % 2:
            return None
        key = (body["task"], body["run"])
        calls[key] += 1
        what = f"{minion.name} is told to start {key[0]} run {key[1]}"
        if calls[key] == 1:
            record(f"{what}: no answer, carried out in {LATE_S} s")
            return LATE_S
        record(f"{what}: 503")
        raise Rejected(503)

    async def prepare() -> None:
        routes = [route("r-q", "/q/", "pool-a")]
        platform.publish("keyed.op", "config", configuration(3, routes))
        platform.before_start = before_start
        # One of seven minions is unhealthy, so that the share is below 0.15.
        for number in range(7):
            await platform.add_minion(f"i-7f3a91c{number}", "pool-a", unit_of)

    async with deployment.running(2, prepare):
        await deployment.controller()
        entry = deployment.entries[0]
        step = {"count": 8, "cpu": 500, "mem_mb": 256, "estimate_ms": 1000}
        await deployment.submit(entry, JOB, {"spec": "s", "steps": [step]})
        await asyncio.sleep(9.0)
        await deployment.call(entry, "GET", JOB)
        found = overlaps(platform.runs(), asyncio.get_running_loop().time())
        for line in found:
            record(f"two runs at once: {line}")
        again = starts_after_done(platform.runs())
        for line in again:
            record(f"started after an end `done` that was noted: {line}")
        return not found and not again


main(pathlib.Path(__file__).parent, run)
