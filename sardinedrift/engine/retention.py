"""Removes jobs that ended long ago from the store."""

from collections.abc import Iterator

from sardinedrift.engine.catalogue import JobCatalogue, KeyKind, record_key
from sardinedrift.engine.ports import KeyedRecord
from sardinedrift.identifiers import JobId

# Callers may ask for a state a little later than promised.
MARGIN = 1.5
# At most so many jobs are removed at once, to keep calls to the store short.
MOST_AT_ONCE = 200


def expired_jobs(
    catalogue: JobCatalogue, now_ms: int, lifetime_s: float
) -> Iterator[JobId]:
    """Yields jobs whose state need not be told any more.

    Args:
        catalogue: the known jobs.
        now_ms: unix milliseconds.
        lifetime_s: how long the state of an ended job is promised.
    """
    limit_ms = now_ms - lifetime_s * MARGIN * 1000
    found = 0
    for job_id, known in catalogue.known_by_id.items():
        progress = known.progress
        if progress is None or not 0 < progress.ended_ms < limit_ms:
            continue
        if any(record.worker_id for record in progress.tasks):
            continue
        found += 1
        if found > MOST_AT_ONCE:
            return
        yield job_id


def removal_records(job_id: JobId) -> list[KeyedRecord]:
    """Returns the records that remove a job."""
    return [KeyedRecord(record_key(kind, job_id), None) for kind in _KINDS]


# The submission goes last: a reader that stops in between still knows the job.
_KINDS = (KeyKind.PROGRESS, KeyKind.CANCEL, KeyKind.SUBMISSION)
