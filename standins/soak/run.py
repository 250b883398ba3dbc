"""One seed of a soak: load and faults, then calm, then the checks."""

import asyncio
import pathlib
import random
import shutil
import time
from typing import NamedTuple

from standins.soak.callers import Caller, SoakJob
from standins.soak.checks import Record, violations
from standins.soak.deployment import Deployment
from standins.soak.schedule import Fault, faults

# Service is back this long after the last fault, by the operators' pages;
# jobs then need the time of their work, and of leases that run out.
RECOVERY_S = 15.0
FINISH_S = 14.0


class Plan(NamedTuple):
    """What is played.

    Attributes:
        length_s: seconds in which faults begin.
        module: what entries run.
    """

    seed: int
    length_s: float
    entries: int
    workers: int
    callers: int
    module: tuple[str, ...] = ("sardinedrift.platform",)


class Report(NamedTuple):
    """What came of a seed."""

    plan: Plan
    faults: list[Fault]
    jobs: list[SoakJob]
    runs: int
    violations: list[str]

    def summary(self) -> str:
        """Returns one line."""
        accepted = sum(job.accepted_at is not None for job in self.jobs)
        return (
            f"seed {self.plan.seed}: {len(self.faults)} faults,"
            f" {len(self.jobs)} jobs ({accepted} accepted),"
            f" {self.runs} runs, {len(self.violations)} violations"
        )

    def keep(self, logs: pathlib.Path, folder: pathlib.Path) -> None:
        """Copies the logs, and writes what was done and found."""
        shutil.copytree(logs, folder, dirs_exist_ok=True)
        lines = [self.summary(), *self.violations]
        lines += [f"{each.at_s:7.3f} {each}" for each in self.faults]
        (folder / "report.txt").write_text("\n".join(lines) + "\n")


async def play(plan: Plan, folder: pathlib.Path) -> Report:
    """Plays a seed; the folder takes settings and logs."""
    chance = random.Random(plan.seed)
    schedule = list(faults(chance, plan.length_s))
    deployment = Deployment(
        folder, plan.entries, plan.workers, chance, plan.module
    )
    async with deployment.running():
        callers = [
            Caller(
                deployment.addresses,
                random.Random(chance.random()),
                lambda: deployment.key,
                lambda: [each.key for each in deployment.withdrawals],
            )
            for _ in range(plan.callers)
        ]
        load = [asyncio.create_task(caller.run()) for caller in callers]
        try:
            await _apply_all(deployment, schedule, plan.length_s)
            calm_since = time.monotonic()
            late = await deployment.wait_ready(RECOVERY_S)
        finally:
            await _end(load)
        until = calm_since + RECOVERY_S + FINISH_S
        await asyncio.gather(*(caller.settle(until) for caller in callers))
        jobs = [job for caller in callers for job in caller.jobs]
        histories = deployment.platform.histories()
        record = Record(
            jobs,
            histories,
            deployment.withdrawals,
            calm_since,
            deployment.exits + [f"RECOVER: {name}" for name in late],
        )
        found = list(violations(record))
    return Report(plan, schedule, jobs, len(histories), found)


async def _apply_all(
    deployment: Deployment, schedule: list[Fault], length_s: float
) -> None:
    """Begins each fault at its time; returns when all are over."""
    begin = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            await asyncio.sleep(begin + fault.at_s - time.monotonic())
            group.create_task(deployment.apply(fault))
        await asyncio.sleep(begin + length_s - time.monotonic())


async def _end(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        # A caller that ended by an error would leave checks without input.
        if not isinstance(result, asyncio.CancelledError):
            raise RuntimeError("a caller ended early") from result
