"""A route is removed, and the controller is stopped as planned."""

import asyncio
import pathlib
import signal

from review.standin.deployment import Deployment, configuration, main, route
from review.standin.minion import Unit

JOB = "/q/00000000000000a1"
ROUTES = [route("r-kept", "/kept/", "pool-a"), route("r-q", "/q/", "pool-a")]
# The last unit fails twice by its own fault; its queue permits four attempts.
UNIT = Unit(cpu=500, mem_mb=256, work_s=4.0)
FAILING_UNIT = Unit(cpu=500, mem_mb=256, work_s=4.0, failing_runs=2)


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether the job of the removed route is done."""
    platform, record = deployment.platform, deployment.record

    def unit_of(task: str) -> Unit:
        return FAILING_UNIT if task.endswith(".0.2") else UNIT

    async def prepare() -> None:
        platform.publish("keyed.op", "config", configuration(3, ROUTES))
        for name in ("i-7f3a91c2", "i-81b20c4d"):
            await platform.add_minion(name, "pool-a", unit_of)

    async with deployment.running(3, prepare):
        first = await deployment.controller()
        others = [each for each in deployment.entries if each is not first]
        steps = [{"count": 3, "cpu": 500, "mem_mb": 256, "estimate_ms": 4000}]
        await deployment.submit(others[0], JOB, {"spec": "s", "steps": steps})
        await asyncio.sleep(1.0)
        if trouble:
            platform.publish("keyed.op", "config", configuration(5, ROUTES[:1]))
            record("operator: version 5 without the route r-q")
            await asyncio.sleep(1.0)
            first.process.send_signal(signal.SIGTERM)
            record(f"platform: SIGTERM to {first.name}, the controller")
            async with asyncio.timeout(6.0):
                await first.process.wait()
            await first.start()
            await asyncio.sleep(6.0)
            platform.publish("keyed.op", "config", configuration(9, ROUTES))
            record("operator: version 9 with the route r-q again")
        else:
            await asyncio.sleep(8.0)
        # Later than config_apply_ms; all entries are in touch.
        await asyncio.sleep(4.0)
        state = ""
        for _ in range(30):
            _, answer = await deployment.call(others[0], "GET", JOB)
            state = answer.get("state", "")
            if state not in ("pending", "running"):
                break
            await asyncio.sleep(1.0)
        failed = sum(each.how == "failed" for each in platform.runs())
        record(f"state {state!r} after {failed} runs that ended failed")
        return state == "completed"


main(pathlib.Path(__file__).parent, run)
