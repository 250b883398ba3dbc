"""The program with one mechanism disabled.

Usage: `python -m standins.soak.mutants NAME`. The soak test must report a
violation for each mutant, which shows that its checks can fail.
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
from sardinedrift.platform import daemon, http
from sardinedrift.platform.__main__ import main
from sardinedrift.platform.daemon import Daemon
from sardinedrift.platform.nextconnections import Connection
from sardinedrift.platform.published import PublishedView


def forget_leases() -> None:
    """Treats the leases of a silent worker as expired at once."""
    Worker.lease_expired = lambda self, now: True


def ignore_attempts() -> None:
    """Restarts failed tasks regardless of the maximum number of attempts."""
    Job._exhausted = lambda self, task, max_attempts: False


def ignore_order() -> None:
    """Opens all steps of a job at once."""
    original = Job._open_steps

    def open_all(job, occurrence) -> None:
        original_remaining, occurrence.remaining_by_step = (
            occurrence.remaining_by_step,
            [0] * len(occurrence.remaining_by_step),
        )
        original(job, occurrence)
        occurrence.remaining_by_step = original_remaining

    Job._open_steps = open_all


def refuse_after_storing() -> None:
    """Rejects one in five jobs after storing it."""
    original, counter = Entry.accept, itertools.count()

    async def accept(self, submission, deadline) -> None:
        await original(self, submission, deadline)
        if next(counter) % 5 == 4:
            raise CallError(503, "store_unavailable")

    Entry.accept = accept


def acknowledge_before_storing() -> None:
    """Acknowledges one in five jobs without storing it."""
    original, counter = Entry.accept, itertools.count()

    async def accept(self, submission, deadline) -> None:
        if next(counter) % 5 != 4:
            await original(self, submission, deadline)

    Entry.accept = accept


def forget_cancels() -> None:
    """Acknowledges cancellations without storing them."""

    async def cancel(self, job_id, deadline) -> None:
        return

    Entry.cancel = cancel


def show_completed_early() -> None:
    """Shows running jobs as completed."""
    original = KnownJob.state.fget

    def state(known) -> JobState:
        actual = original(known)
        return JobState.COMPLETED if actual is JobState.RUNNING else actual

    KnownJob.state = property(state)


def show_old_states() -> None:
    """Shows ended jobs as running in one of three queries."""
    original, counter = KnownJob.state.fget, itertools.count()

    def state(known) -> JobState:
        actual = original(known)
        outdated = actual in ENDED_STATES and next(counter) % 3 == 2
        return JobState.RUNNING if outdated else actual

    KnownJob.state = property(state)


def acknowledge_to_any_process() -> None:
    """Sends what is meant for one worker process over any connection."""
    Connection.leads_to_process_of = lambda self, connection_id: True


def share_report_connections() -> None:
    """Uses the report connections of an address for all workers there."""
    http._peer_of = lambda body: None
    daemon.REPORT_CONNECTIONS = daemon.ORDER_CONNECTIONS


def keep_withdrawn_keys() -> None:
    """Accepts any key as one of the client account `team`."""
    Entry.authenticate = lambda self, queue, key: TeamId("team")


def ignore_evacuations() -> None:
    """Places tasks in data centres that are being evacuated."""
    PublishedView._apply_evacuation = lambda self, key, value: None


def end_by_itself() -> None:
    """Ends an entry with an error after 12 s."""

    async def wait(self, tasks) -> None:
        await asyncio.sleep(12)
        raise RuntimeError("mutant")

    Daemon._wait_for_stop = wait


def ignore_stop() -> None:
    """Keeps running after SIGTERM."""

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
        acknowledge_to_any_process,
        share_report_connections,
        keep_withdrawn_keys,
        ignore_evacuations,
        end_by_itself,
        ignore_stop,
    )
}


if __name__ == "__main__":
    MUTANTS[sys.argv[1]]()
    sys.exit(main())
