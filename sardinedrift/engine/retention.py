"""Selects ended jobs to remove from the store after the retention period."""

from collections.abc import Iterator

from sardinedrift.engine.catalogue import (
    JobCatalogue,
    KeyKind,
    KnownJob,
    record_key,
    tasks_record,
)
from sardinedrift.engine.storeports import KeyedRecord
from sardinedrift.identifiers import JobId

# Jobs are kept longer than promised, for callers that ask a little late.
RETENTION_FACTOR = 1.5
# Maximum number of jobs removed at a time, to keep calls to the store short.
MAX_REMOVALS = 200


def expired_jobs(
    catalogue: JobCatalogue, now_ms: int, lifetime_s: float
) -> Iterator[JobId]:
    """Yields jobs whose retention period is over and that have no runs.

    Args:
        catalogue: the known jobs.
        now_ms: Unix milliseconds.
        lifetime_s: period for which the state of an ended job is guaranteed.
    """
    ended_before_ms = now_ms - lifetime_s * RETENTION_FACTOR * 1000
    found = 0
    for job_id, known in catalogue.known_by_id.items():
        if not 0 < known.ended_ms < ended_before_ms or known.has_runs:
            continue
        found += 1
        if found > MAX_REMOVALS:
            return
        yield job_id


def removal_records(job_id: JobId, known: KnownJob) -> Iterator[KeyedRecord]:
    """Yields the records that remove a job."""
    for block_id in known.tasks_by_block:
        yield tasks_record(job_id, block_id, None)
    for kind in _KINDS:
        yield KeyedRecord(record_key(kind, job_id), None)


# The submission is removed last, so that a reader that stops in between still
# has the job.
_KINDS = (KeyKind.PROGRESS, KeyKind.CANCEL, KeyKind.SUBMISSION)
