"""Fold of jobs and of their placement on guarded workers.

A placed job holds one unit of its team's limit. The fold takes the unit from
the unallocated units in the step that places the job, and frees it in the step
that ends the placement. The units of jobs and of entries are thus parts of one
sum, and a unit is taken only while the sum is below the limit.

The number of a worker's lease is the offset of the record that took it, so it
is a fencing token: a later holder always has a higher number. A placement ends
only by a report under the newest lease. The worker has granted that lease to
its holder, and refuses starts from earlier holders from then on.
"""

import msgspec

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.configuration import (
    check_exists,
    check_name,
    check_range,
    check_revision,
)
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import (
    EntryState,
    InstanceId,
    InstanceKind,
    JobId,
    JobState,
    JobStep,
    PoolId,
    TeamId,
)
from sardinedrift.inventory import complete_drain_if_idle
from sardinedrift.state import State

# After this many failed tasks the fault is attributed to the job.
MAX_TRIES = 3
# Teams can read the outcome of a job for this time after its end.
ENDED_JOB_RETENTION_SECONDS = 3600.0
# Dropping ended jobs scans all jobs, which is too expensive for each record.
_DROP_INTERVAL_RECORDS = 256

RESOURCES = ("cores", "memory_gb", "accelerators")
PLACED_STATES = (JobState.PLACED, JobState.RUNNING, JobState.CANCELLING)
ENDED_STATES = (
    JobState.DONE,
    JobState.FAILED,
    JobState.CANCELLED,
    JobState.EXPIRED,
)

_replace = msgspec.structs.replace


def drop_ended_jobs(state: State) -> None:
    """Drops jobs that ended longer ago than the retention period."""
    if state.offset % _DROP_INTERVAL_RECORDS:
        return
    oldest = state.time - ENDED_JOB_RETENTION_SECONDS
    for job in list(state.tables.job_by_id.values()):
        if job.state in ENDED_STATES and job.time < oldest:
            state.drop("job_by_id", job.job_id)


def free_resources(
    state: State, instance: objects.Instance
) -> dict[str, float]:
    """Returns the resources of a worker that no placed job uses, by name."""
    jobs = state.placed_jobs(instance.instance_id)
    return {
        name: getattr(instance, name)
        - sum(getattr(each, name) for each in jobs)
        for name in RESOURCES
    }


def workers_of(state: State, pool_id: PoolId) -> list[objects.Instance]:
    """Returns the workers of a pool, whatever their state."""
    return [
        each
        for each in state.instances_of(pool_id)
        if each.kind is InstanceKind.WORKER
    ]


def _submit(state: State, change: ch.SubmitJob) -> int:
    check_name("job_id", change.job_id)
    check_exists(state, "team_by_id", "team_id", change.team_id)
    check_exists(state, "pool_by_id", "pool_id", change.pool_id)
    for name in RESOURCES:
        check_range(name, getattr(change, name), 0)
    check_range("max_run_seconds", change.max_run_seconds, 0.05)
    if change.job_id in state.tables.job_by_id:
        raise StateError("exists", "a job id is used only once", "job_id")
    revision = check_revision(change, None)
    if change.deadline is not None and change.deadline <= state.time:
        raise StateError("deadline_passed", "it has passed", "deadline")
    _check_fits_any_worker(state, change.pool_id, change)
    job = objects.Job(
        job_id=change.job_id,
        team_id=change.team_id,
        pool_id=change.pool_id,
        cores=change.cores,
        memory_gb=change.memory_gb,
        accelerators=change.accelerators,
        deadline=change.deadline,
        max_run_seconds=change.max_run_seconds,
        preemptible=change.preemptible,
        submitted=state.offset,
        state=JobState.WAITING,
        time=state.time,
        revision=revision,
    )
    state.put("job_by_id", job.job_id, job)
    _count_jobs(state, job.team_id, waiting=1)
    return revision


def _check_fits_any_worker(
    state: State, pool_id: PoolId, job: ch.SubmitJob | objects.Job
) -> None:
    """Raises StateError for a job that fits no empty worker of its pool."""
    workers = workers_of(state, pool_id)
    for worker in workers:
        if all(
            getattr(job, each) <= getattr(worker, each) for each in RESOURCES
        ):
            return
    if not workers:
        raise StateError(
            "never_fits", f"pool {pool_id} has no workers", "pool_id"
        )
    largest = max(workers, key=_resources_and_id)
    field = next(
        (n for n in RESOURCES if getattr(job, n) > getattr(largest, n)), ""
    )
    raise StateError(
        "never_fits",
        f"the largest worker of pool {pool_id} is {largest.instance_id} with "
        f"{largest.cores:g} cores, {largest.memory_gb:g} GB and "
        f"{largest.accelerators} accelerators",
        field,
    )


def _resources_and_id(worker: objects.Instance) -> tuple:
    return (*(getattr(worker, name) for name in RESOURCES), worker.instance_id)


def _cancel(state: State, change: ch.CancelJob) -> int:
    job = _job(state, change.job_id)
    if change.expected_revision:
        check_revision(change, job)
    if job.state in ENDED_STATES:
        raise StateError("ended", f"the job is {job.state.value}", "job_id")
    if job.state is JobState.WAITING:
        return _end_waiting(state, job, JobState.CANCELLED, "cancelled")
    if change.evidence:
        return _end_placement(state, job, JobState.CANCELLED, "cancelled")
    if job.state is JobState.CANCELLING:
        return job.revision
    return _put_job(state, job, state=JobState.CANCELLING)


def _expire(state: State, change: ch.ExpireJob) -> int:
    job = _job(state, change.job_id)
    if job.state is not JobState.WAITING or job.deadline is None:
        raise StateError("not_waiting", f"it is {job.state.value}", "job_id")
    if state.time < job.deadline:
        raise StateError("too_early", "its deadline has not passed", "job_id")
    return _end_waiting(state, job, JobState.EXPIRED, "deadline_passed")


def _take_worker_lease(state: State, change: ch.TakeWorkerLease) -> int:
    worker = _worker(state, change.instance_id)
    entry = state.tables.entry_by_id.get(change.entry_id)
    if (
        entry is None
        or entry.state is not EntryState.ACTIVE
        or entry.data_centre_id != worker.data_centre_id
    ):
        raise StateError("not_active", "no member near the worker", "entry_id")
    use = _use(state, change.instance_id)
    if use.lease == state.offset:
        raise StateError("exists", "this record took it", "instance_id")
    use = _replace(use, lease=state.offset, holder=change.entry_id)
    state.put("worker_use_by_instance", change.instance_id, use)
    return 0


def _place(state: State, change: ch.PlaceJob) -> int:
    job = _job(state, change.job_id)
    worker = _worker(state, change.instance_id)
    use = _use(state, change.instance_id)
    if job.state is not JobState.WAITING or job.place == state.offset:
        raise StateError("not_waiting", f"it is {job.state.value}", "job_id")
    if job.deadline is not None and state.time >= job.deadline:
        raise StateError("deadline_passed", "it has passed", "job_id")
    if worker.pool_id != job.pool_id:
        raise StateError("not_in_pool", "it left the pool", "instance_id")
    if not worker.available:
        raise StateError("not_active", "it takes no jobs", "instance_id")
    if change.worker_lease != use.lease or use.lease < 0:
        raise StateError("older_lease", "there is a newer", "worker_lease")
    _check_fits(state, worker, job)
    if state.unallocated(job.team_id) < 1:
        raise StateError("limit_reached", "the team has no unit left", "job_id")
    _count_jobs(state, job.team_id, waiting=-1, placed=1)
    use = _replace(use, job_ids=(*use.job_ids, job.job_id))
    state.put("worker_use_by_instance", use.instance_id, use)
    return _put_job(
        state,
        job,
        state=JobState.PLACED,
        instance_id=change.instance_id,
        place=state.offset,
        reason="",
    )


def _check_fits(
    state: State, worker: objects.Instance, job: objects.Job
) -> None:
    for name, free in free_resources(state, worker).items():
        if getattr(job, name) > free:
            raise StateError(
                "does_not_fit", f"the worker has {free:g} {name} left", name
            )


def _progress(state: State, change: ch.JobProgress) -> int:
    job = _job(state, change.job_id)
    placement = (job.instance_id, job.place)
    if job.state not in PLACED_STATES or placement != (
        change.instance_id,
        change.place,
    ):
        raise StateError("not_placed", "it is not in this place", "place")
    if change.worker_lease != _use(state, change.instance_id).lease:
        raise StateError("older_lease", "there is a newer", "worker_lease")
    if change.step is JobStep.DONE:
        return _end_placement(state, job, JobState.DONE, "")
    if change.step is JobStep.FAILED:
        return _fail(state, job, change)
    if change.step is JobStep.STOPPED:
        return _stop(state, job, change)
    if job.state is JobState.PLACED:
        return _put_job(state, job, state=JobState.RUNNING)
    return job.revision


def _fail(state: State, job: objects.Job, change: ch.JobProgress) -> int:
    if job.state is JobState.CANCELLING:
        return _end_placement(state, job, JobState.CANCELLED, "cancelled")
    reason = change.reason or "task_failed"
    tries = job.tries + 1
    if change.final or tries >= MAX_TRIES:
        return _end_placement(state, job, JobState.FAILED, reason, tries=tries)
    failed_on = (*job.failed_on, change.instance_id)
    return _end_placement(
        state,
        job,
        JobState.WAITING,
        reason,
        tries=tries,
        failed_on=failed_on,
    )


def _stop(state: State, job: objects.Job, change: ch.JobProgress) -> int:
    if job.state is JobState.CANCELLING:
        return _end_placement(state, job, JobState.CANCELLED, "cancelled")
    if change.memory_gb is None:
        return _end_placement(state, job, JobState.WAITING, change.reason)
    memory_gb = max(job.memory_gb, change.memory_gb)
    try:
        _check_fits_any_worker(
            state, job.pool_id, _replace(job, memory_gb=memory_gb)
        )
    except StateError:
        return _end_placement(
            state, job, JobState.FAILED, "too_large", memory_gb=memory_gb
        )
    return _end_placement(
        state, job, JobState.WAITING, change.reason, memory_gb=memory_gb
    )


def _end_placement(
    state: State,
    job: objects.Job,
    job_state: JobState,
    reason: str,
    **fields,
) -> int:
    """Frees the resources and the unit; the job waits again or has ended."""
    use = _use(state, job.instance_id)
    remaining = tuple(each for each in use.job_ids if each != job.job_id)
    state.put(
        "worker_use_by_instance",
        use.instance_id,
        _replace(use, job_ids=remaining),
    )
    waiting = 1 if job_state is JobState.WAITING else 0
    _count_jobs(state, job.team_id, waiting=waiting, placed=-1)
    revision = _put_job(
        state, job, state=job_state, instance_id=None, reason=reason, **fields
    )
    complete_drain_if_idle(state, use.instance_id)
    return revision


def _end_waiting(
    state: State, job: objects.Job, job_state: JobState, reason: str
) -> int:
    _count_jobs(state, job.team_id, waiting=-1)
    return _put_job(state, job, state=job_state, reason=reason)


def _put_job(state: State, job: objects.Job, /, **fields) -> int:
    job = _replace(job, time=state.time, revision=job.revision + 1, **fields)
    state.put("job_by_id", job.job_id, job)
    return job.revision


def _count_jobs(
    state: State, team_id: TeamId, waiting: int = 0, placed: int = 0
) -> None:
    allowances = state.tables.allowances_by_team[team_id]
    allowances = _replace(
        allowances,
        jobs=allowances.jobs + placed,
        waiting_jobs=allowances.waiting_jobs + waiting,
    )
    state.put("allowances_by_team", team_id, allowances)


def _job(state: State, job_id: JobId) -> objects.Job:
    check_exists(state, "job_by_id", "job_id", job_id)
    return state.tables.job_by_id[job_id]


def _worker(state: State, instance_id: InstanceId) -> objects.Instance:
    check_exists(state, "instance_by_id", "instance_id", instance_id)
    instance = state.tables.instance_by_id[instance_id]
    if instance.kind is not InstanceKind.WORKER:
        raise StateError("not_a_worker", "it is a minion", "instance_id")
    return instance


def _use(state: State, instance_id: InstanceId) -> objects.WorkerUse:
    use = state.tables.worker_use_by_instance.get(instance_id)
    return use or objects.WorkerUse(instance_id)


HANDLERS = {
    ch.SubmitJob: _submit,
    ch.CancelJob: _cancel,
    ch.ExpireJob: _expire,
    ch.TakeWorkerLease: _take_worker_lease,
    ch.PlaceJob: _place,
    ch.JobProgress: _progress,
}
