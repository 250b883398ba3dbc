"""Occurrences of a job, and the critical path of their steps."""

from collections.abc import Iterator, Sequence
from typing import TYPE_CHECKING, NamedTuple

from sardinedrift.engine.model import Step, TaskId
from sardinedrift.engine.task import Task

if TYPE_CHECKING:
    from sardinedrift.engine.work import Job


class OpenedStep(NamedTuple):
    """A step whose tasks were made available, with those that are not done."""

    step: Step
    remaining: int


class Occurrence:
    """One occurrence of a job.

    Attributes:
        number: its number, from 0 on.
        tasks_by_step: all tasks, by step number.
        remaining_by_step: number of tasks that are not done, by step number.
        opened: by step number, whether its tasks were made available.
    """

    def __init__(self, job: "Job", number: int):
        self.number = number
        steps = job.submission.steps
        self.tasks_by_step = [
            [
                Task(job, TaskId(job.job_id, number, step_number, index), step)
                for index in range(step.count)
            ]
            for step_number, step in enumerate(steps)
        ]
        self.remaining_by_step = [step.count for step in steps]
        self.opened = [False] * len(steps)

    @property
    def done(self) -> bool:
        """Whether all its tasks are done."""
        return not any(self.remaining_by_step)

    def open_ready_steps(self, steps: Sequence[Step]) -> Iterator[Task]:
        """Yields the tasks of steps whose earlier steps are now done."""
        for number, step in enumerate(steps):
            waits = any(self.remaining_by_step[each] for each in step.after)
            if self.opened[number] or waits:
                continue
            self.opened[number] = True
            yield from self.tasks_by_step[number]

    def opened_steps(self, steps: Sequence[Step]) -> Iterator[OpenedStep]:
        """Yields the steps that were made available and are not done."""
        for number, step in enumerate(steps):
            remaining = self.remaining_by_step[number]
            if remaining and self.opened[number]:
                yield OpenedStep(step, remaining)


def critical_path_ms(
    steps: Sequence[Step], remaining: Sequence[bool] | None = None
) -> int:
    """Returns the estimated duration of the critical path, in ms.

    Args:
        steps: steps of a job.
        remaining: for each step, whether it counts; None counts all.
    """
    ends: list[int] = []
    for number, step in enumerate(steps):
        begin = max((ends[each] for each in step.after), default=0)
        counts = remaining is None or remaining[number]
        ends.append(begin + (step.estimate_ms if counts else 0))
    return max(ends, default=0)
