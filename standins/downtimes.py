"""Checks of maintenance by the records of the platform and the endpoints.

The state of the entries is not used: reboots are those that the instance list
carried out, executions and tasks those that minions and workers ran.
"""

import collections
import itertools
import json
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from standins.fleet import Fleet, call


class Downtime(NamedTuple):
    """A reboot of an instance; times are unix seconds."""

    instance_id: str
    start: float
    end: float


class TaskRun(NamedTuple):
    """A task that a worker started; `end` is infinite while it runs.

    Attributes:
        job_id: the job of the task.
        lease_number: number of the lease under which the worker started it.
    """

    job_id: str
    worker: str
    lease_number: int
    start: float
    end: float
    state: str


def read_downtimes(fleet: Fleet) -> list[Downtime]:
    """Returns all reboots of the run, ordered by their start."""
    return [
        Downtime(
            each["instance_id"], each["started"], each["ended"] or float("inf")
        )
        for each in call(fleet.instance_list, "/downtimes")
    ]


def budget_violations(
    downtimes: Iterable[Downtime],
    group_by_instance: Mapping[str, str],
    max_unavailable: int,
) -> Iterator[str]:
    """Yields a line for each reboot that exceeds the budget of its group."""
    downtimes = list(downtimes)
    for each in downtimes:
        group = group_by_instance[each.instance_id]
        down = {
            other.instance_id
            for other in downtimes
            if group_by_instance[other.instance_id] == group
            and other.start <= each.start < other.end
        }
        if len(down) > max_unavailable:
            yield (
                f"{sorted(down)} of {group} are down; "
                f"the budget is {max_unavailable}"
            )


def repeatedly_rebooted(downtimes: Iterable[Downtime]) -> list[str]:
    """Returns the instances that were rebooted more than once."""
    count = collections.Counter(each.instance_id for each in downtimes)
    return sorted(name for name, times in count.items() if times > 1)


def interrupted_executions(fleet: Fleet) -> list[str]:
    """Returns the ids of requests whose execution a reboot interrupted."""
    return [
        event["request_id"]
        for path in sorted(fleet.directory.glob("*.journal"))
        for event in map(json.loads, path.read_text().splitlines())
        if event["event"] == "end" and event["ended_by"] == "killed"
    ]


def read_tasks(address_by_worker: Mapping[str, str]) -> list[TaskRun]:
    """Returns every task that the workers have started."""
    return [
        TaskRun(
            each["request"]["task_id"].rpartition(".")[0],
            worker,
            each["request"]["lease_number"],
            each["started_at"],
            each["ended_at"] or float("inf"),
            each["state"],
        )
        for worker, address in address_by_worker.items()
        for each in call(address, "/tasks")
    ]


def interrupted_tasks(
    tasks: Iterable[TaskRun], downtimes: Iterable[Downtime]
) -> Iterator[str]:
    """Yields a line for each task that ran on a worker during its reboot."""
    downtimes = list(downtimes)
    for task in tasks:
        for each in downtimes:
            same = task.worker == each.instance_id
            if same and task.start < each.end and each.start < task.end:
                yield f"{task.job_id} ran on {task.worker} during its reboot"


def duplicate_starts(tasks: Iterable[TaskRun]) -> Iterator[str]:
    """Yields a line for each duplicate start of a job.

    A job may not be started twice under the same lease, nor while it runs.
    """
    tasks = sorted(tasks, key=lambda each: (each.job_id, each.start))
    starts = collections.Counter(
        (each.job_id, each.worker, each.lease_number) for each in tasks
    )
    for (job_id, worker, lease_number), count in starts.items():
        if count > 1:
            yield (
                f"{job_id} started {count} times under lease {lease_number} "
                f"on {worker}"
            )
    for before, after in itertools.pairwise(tasks):
        if before.job_id == after.job_id and after.start < before.end:
            yield f"{after.job_id} started again while it was running"
