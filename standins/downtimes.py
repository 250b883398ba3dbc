"""Checks of maintenance by what the platform and the endpoints recorded.

Nothing here reads what an entry believes: reboots are those that the
instance list carried out, and work is what minions and workers ran.
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
    """A task that a worker started; one still running has an endless end.

    Attributes:
        job_id: the job of the task.
        lease: number of the lease under which the worker started it.
    """

    job_id: str
    worker: str
    lease: int
    start: float
    end: float
    state: str


def read_downtimes(fleet: Fleet) -> list[Downtime]:
    """Returns every reboot of the run, in order of their start."""
    return [
        Downtime(
            each["instance_id"], each["started"], each["ended"] or float("inf")
        )
        for each in call(fleet.instance_list, "/downtimes")
    ]


def over_budget(
    downtimes: Iterable[Downtime],
    group_by_instance: Mapping[str, str],
    most: int,
) -> Iterator[str]:
    """Yields a line for each reboot that exceeds the budget of a group."""
    downtimes = list(downtimes)
    for each in downtimes:
        group = group_by_instance[each.instance_id]
        down = {
            other.instance_id
            for other in downtimes
            if group_by_instance[other.instance_id] == group
            and other.start <= each.start < other.end
        }
        if len(down) > most:
            yield f"{sorted(down)} of {group} are down; the budget is {most}"


def repeated(downtimes: Iterable[Downtime]) -> list[str]:
    """Returns the instances that were rebooted more than once."""
    count = collections.Counter(each.instance_id for each in downtimes)
    return sorted(name for name, times in count.items() if times > 1)


def cut_executions(fleet: Fleet) -> list[str]:
    """Returns the requests whose execution a reboot ended."""
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


def cut_tasks(
    tasks: Iterable[TaskRun], downtimes: Iterable[Downtime]
) -> Iterator[str]:
    """Yields a line for each task that ran on a worker during a reboot."""
    downtimes = list(downtimes)
    for task in tasks:
        for each in downtimes:
            same = task.worker == each.instance_id
            if same and task.start < each.end and each.start < task.end:
                yield f"{task.job_id} ran on {task.worker} in its reboot"


def doubled_jobs(tasks: Iterable[TaskRun]) -> Iterator[str]:
    """Yields a line for each job started twice: at once or under a lease."""
    tasks = sorted(tasks, key=lambda each: (each.job_id, each.start))
    starts = collections.Counter(
        (each.job_id, each.worker, each.lease) for each in tasks
    )
    for (job_id, worker, lease), count in starts.items():
        if count > 1:
            yield f"{job_id} started {count} times under {lease} on {worker}"
    for before, after in itertools.pairwise(tasks):
        if before.job_id == after.job_id and after.start < before.end:
            yield f"{after.job_id} started again while it ran"
