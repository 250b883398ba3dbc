"""Deadlines of the leases that workers hold, on their own clocks."""

from sardinedrift.engine.workerprocess import WorkerProcess

# Duration of a lease. It covers the election of a successor and its first
# renewals, and is no longer because the tasks of a lost worker cannot restart
# before its lease has expired.
LEASE_MS = 4500
# A start extends a lease that expires sooner than this.
MIN_START_LEASE_MS = 2000


def extend(process: WorkerProcess, now: float) -> int:
    """Returns a new lease deadline for a worker process, and records it.

    The recorded deadline never moves back.

    Args:
        process: the worker process.
        now: boot-time clock in seconds.

    Returns:
        The deadline on the worker's clock, in ms; 0 if its clock is not known.
    """
    if process.clock is None:
        return 0
    lease_ms = process.clock.estimate(now) + LEASE_MS
    process.lease_ms = max(process.lease_ms, lease_ms)
    return lease_ms


def for_start(process: WorkerProcess, now: float) -> int:
    """Returns the lease deadline for a start, extended if needed.

    A deadline that is far enough ahead is kept, so that starts sent to an
    unresponsive worker do not postpone the expiry of its lease. The recorded
    one may be longer than any that was sent, but a successor expects none
    longer than `LEASE_MS`.

    Args:
        process: the worker process.
        now: boot-time clock in seconds.

    Returns:
        The deadline on the worker's clock, in ms; 0 if its clock is not known.
    """
    if process.clock is None:
        return 0
    clock_ms = process.clock.estimate(now)
    if process.lease_ms < clock_ms + MIN_START_LEASE_MS:
        return extend(process, now)
    return min(process.lease_ms, clock_ms + LEASE_MS)
