"""Runs one seed: load under faults, then recovery, then the checks."""

import asyncio
import collections
import heapq
import operator
import pathlib
import random
import shutil
import time
from typing import NamedTuple

from standins.platform.worker import RunHistory
from standins.soak.callers import Caller, SoakJob
from standins.soak.checks import (
    EVACUATION_TIMEOUT_S,
    FAULT_RECOVERY_S,
    Observations,
    violations,
)
from standins.soak.deployment import ZONES, Deployment
from standins.soak.schedule import (
    Fault,
    generate_crowds,
    generate_evacuations,
    generate_faults,
    generate_replacements,
)

# The operators' documentation allows 15 s from the last fault until service is
# restored. Jobs then need time for their tasks and for leases to expire.
RECOVERY_TIMEOUT_S = 15.0
SETTLE_TIMEOUT_S = 14.0
# After the faults, an evacuation lasts until its bound has passed, and longer
# by the time in which starts would be noticed.
EVACUATION_PHASE_S = FAULT_RECOVERY_S + EVACUATION_TIMEOUT_S + 2.0


class Plan(NamedTuple):
    """Parameters of one seed.

    Attributes:
        duration_s: seconds during which faults start.
        entries: number of entries.
        workers: number of workers.
        callers: number of callers.
        module: module that the entries run, followed by its arguments.
        hostile_clients: whether hostile clients connect beside the faults.
    """

    seed: int
    duration_s: float
    entries: int
    workers: int
    callers: int
    module: tuple[str, ...] = ("sardinedrift.platform",)
    hostile_clients: bool = False


class Report(NamedTuple):
    """Result of one seed.

    Attributes:
        runs: number of task runs.
        violations: a line for each violated guarantee.
    """

    plan: Plan
    faults: list[Fault]
    jobs: list[SoakJob]
    runs: int
    violations: list[str]

    def summary(self) -> str:
        """Returns a line of counts."""
        accepted = sum(job.accepted_at is not None for job in self.jobs)
        return (
            f"seed {self.plan.seed}: {len(self.faults)} faults,"
            f" {len(self.jobs)} jobs ({accepted} accepted),"
            f" {self.runs} runs, {len(self.violations)} violations"
        )

    def save(self, logs: pathlib.Path, folder: pathlib.Path) -> None:
        """Copies the logs; writes violations and faults to report.txt."""
        shutil.copytree(logs, folder, dirs_exist_ok=True)
        lines = [self.summary(), *self.violations]
        lines += [f"{each.at_s:7.3f} {each}" for each in self.faults]
        (folder / "report.txt").write_text("\n".join(lines) + "\n")


def _make_schedule(plan: Plan, rng: random.Random) -> list[Fault]:
    """Returns the faults of a seed in time order.

    Evacuations, replacements and crowds have sources of random numbers of their
    own, so that a seed keeps its other faults.
    """
    duration_s = plan.duration_s
    schedules = [
        generate_faults(rng, duration_s),
        generate_evacuations(
            random.Random(f"evacuations {plan.seed}"), duration_s
        ),
        generate_replacements(
            random.Random(f"replacements {plan.seed}"), duration_s
        ),
    ]
    if plan.hostile_clients:
        schedules.append(generate_crowds(random.Random(plan.seed), duration_s))
    return list(heapq.merge(*schedules, key=operator.attrgetter("at_s")))


async def run_seed(plan: Plan, folder: pathlib.Path) -> Report:
    """Runs a seed; settings files and logs are written to the folder."""
    rng = random.Random(plan.seed)
    schedule = _make_schedule(plan, rng)
    deployment = Deployment(
        folder, plan.entries, plan.workers, rng, plan.module
    )
    async with deployment.running():
        callers = [
            Caller(
                deployment.addresses,
                random.Random(rng.random()),
                lambda: deployment.key,
                lambda: [each.key for each in deployment.withdrawals],
            )
            for _ in range(plan.callers)
        ]
        load = [asyncio.create_task(caller.run()) for caller in callers]
        try:
            await _apply_all(deployment, schedule, plan.duration_s)
            faults_ended_at = time.monotonic()
            # The load goes on without faults in an evacuation.
            zone = _busiest_zone(deployment.platform.histories())
            async with deployment.evacuated(zone):
                late = await deployment.wait_ready(RECOVERY_TIMEOUT_S)
                observed_until = faults_ended_at + EVACUATION_PHASE_S
                await asyncio.sleep(observed_until - time.monotonic())
        finally:
            await _cancel(load)
        deadline = (
            faults_ended_at
            + max(RECOVERY_TIMEOUT_S, EVACUATION_PHASE_S)
            + SETTLE_TIMEOUT_S
        )
        await asyncio.gather(
            *(caller.poll_until_settled(deadline) for caller in callers)
        )
        jobs = [job for caller in callers for job in caller.jobs]
        histories = deployment.platform.histories()
        observations = Observations(
            jobs,
            histories,
            deployment.withdrawals,
            faults_ended_at,
            deployment.exits + [f"RECOVER: {name}" for name in late],
            deployment.platform.unread_acknowledgements(),
            deployment.evacuations,
        )
        found = list(violations(observations))
    return Report(plan, schedule, jobs, len(histories), found)


def _busiest_zone(histories: list[RunHistory]) -> str:
    """Returns the data centre with the most runs, which gets most starts.

    Tasks are packed on few workers.
    """
    runs_by_zone = collections.Counter(
        run.zone for run in histories if run.ended_at is None
    )
    return max(ZONES, key=lambda zone: runs_by_zone[zone])


async def _apply_all(
    deployment: Deployment, schedule: list[Fault], duration_s: float
) -> None:
    """Starts each fault at its time; returns when all have ended."""
    started_at = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for fault in schedule:
            await asyncio.sleep(started_at + fault.at_s - time.monotonic())
            group.create_task(deployment.apply(fault))
        await asyncio.sleep(started_at + duration_s - time.monotonic())


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    results = await asyncio.gather(*tasks, return_exceptions=True)
    for result in results:
        # After the failure of a caller, the checks would lack observations.
        if not isinstance(result, asyncio.CancelledError):
            raise RuntimeError(
                "a caller failed before the end of the load"
            ) from result
