"""The program with one mechanism off: `python -m standins.soak.mutants NAME`.

The soak must report each of these; a check that never fails proves nothing.
"""

import asyncio
import itertools
import sys
from collections.abc import Callable

from sardinedrift.engine.catalogue import KnownJob
from sardinedrift.engine.entry import Entry
from sardinedrift.engine.exceptions import CallError
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.model import ENDED_STATES, JobState
from sardinedrift.engine.work import Job
from sardinedrift.identifiers import TeamId
from sardinedrift.platform.__main__ import main
from sardinedrift.platform.daemon import Daemon


def forget_leases() -> None:
    """Takes the leases of a silent worker as over at once."""
    Worker.leases_expired = lambda self, now: True


def ignore_attempts() -> None:
    """Starts tasks again however often they failed."""
    Job._exhausted = lambda self, task, most: False


def ignore_order() -> None:
    """Opens all steps of a job at once."""
    original = Job._open_steps

    def open_all(job, occurrence) -> None:
        left, occurrence.left_by_step = (
            occurrence.left_by_step,
            [0] * len(occurrence.left_by_step),
        )
        original(job, occurrence)
        occurrence.left_by_step = left

    Job._open_steps = open_all


def refuse_after_storing() -> None:
    """Refuses one in five jobs that were stored."""
    original, numbers = Entry.accept, itertools.count()

    async def accept(self, submission, deadline) -> None:
        await original(self, submission, deadline)
        if next(numbers) % 5 == 4:
            raise CallError(503, "store_unavailable")

    Entry.accept = accept


def acknowledge_before_storing() -> None:
    """Acknowledges one in five jobs without storing it."""
    original, numbers = Entry.accept, itertools.count()

    async def accept(self, submission, deadline) -> None:
        if next(numbers) % 5 != 4:
            await original(self, submission, deadline)

    Entry.accept = accept


def forget_cancels() -> None:
    """Acknowledges cancels without storing them."""

    async def cancel(self, job_id, deadline) -> None:
        return

    Entry.cancel = cancel


def show_completed_early() -> None:
    """Shows jobs as completed once they run."""
    original = KnownJob.state.fget

    def state(known) -> JobState:
        real = original(known)
        return JobState.COMPLETED if real is JobState.RUNNING else real

    KnownJob.state = property(state)


def show_old_states() -> None:
    """Shows one in three ended jobs as running."""
    original, numbers = KnownJob.state.fget, itertools.count()

    def state(known) -> JobState:
        real = original(known)
        old = real in ENDED_STATES and next(numbers) % 3 == 2
        return JobState.RUNNING if old else real

    KnownJob.state = property(state)


def keep_withdrawn_keys() -> None:
    """Takes any key of the only client account."""
    Entry.authenticate = lambda self, queue, key: TeamId("team")


def end_by_itself() -> None:
    """Ends an entry by an error after 12 s."""

    async def wait(self, tasks) -> None:
        await asyncio.sleep(12)
        raise RuntimeError("mutant")

    Daemon._wait_for_stop = wait


def ignore_stop() -> None:
    """Goes on after SIGTERM."""

    async def wait(self, tasks) -> None:
        await asyncio.Event().wait()

    Daemon._wait_for_stop = wait


MUTANTS: dict[str, Callable[[], None]] = {
    mutant.__name__: mutant
    for mutant in (
        forget_leases,
        ignore_attempts,
        ignore_order,
        refuse_after_storing,
        acknowledge_before_storing,
        forget_cancels,
        show_completed_early,
        show_old_states,
        keep_withdrawn_keys,
        end_by_itself,
        ignore_stop,
    )
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(main())
