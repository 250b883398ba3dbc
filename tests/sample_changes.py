"""Sample changes of a small fleet and an in-memory log that folds them."""

import itertools

from sardinedrift import changes as ch
from sardinedrift import fold
from sardinedrift.identifiers import InstanceKind
from sardinedrift.state import State

_ids = itertools.count()


def new_change_id():
    """Returns a fresh change id."""
    return f"c{next(_ids)}"


class Log:
    """A log in memory that folds each record into one state."""

    def __init__(self):
        self.records = []
        self.state = State()

    def append(self, *changes, time=None, atomic=False):
        time = float(len(self.records)) if time is None else time
        data = ch.encode_batch(ch.Batch(tuple(changes), atomic))
        self.records.append((time, data))
        offset = len(self.records) - 1
        return fold.apply_record(self.state, offset, time, data)


def _new(change_type, **fields):
    """Returns a change that expects revision 0 unless given otherwise."""
    fields = {"change_id": new_change_id(), "expected_revision": 0, **fields}
    return change_type(**fields)


def put_team(team_id="red", revision=0, limit=4, share=1.0, **fields):
    return _new(
        ch.PutTeam,
        expected_revision=revision,
        team_id=team_id,
        share=share,
        limit=limit,
        **fields,
    )


def put_data_centre(data_centre_id="dc1"):
    return _new(ch.PutDataCentre, data_centre_id=data_centre_id, region="north")


def put_pool(pool_id="pairing", revision=0, **fields):
    return _new(
        ch.PutPool, expected_revision=revision, pool_id=pool_id, **fields
    )


def put_queue(queue_id, **fields):
    return _new(ch.PutQueue, queue_id=queue_id, pool_id="pairing", **fields)


def put_instance(instance_id, pool_id="pairing", rack="r1", **fields):
    fields = {
        "kind": InstanceKind.MINION,
        "data_centre_id": "dc1",
        "address": f"127.0.0.1:{instance_id}",
        **fields,
    }
    return _new(
        ch.PutInstance,
        instance_id=instance_id,
        pool_id=pool_id,
        rack=rack,
        **fields,
    )


def put_worker(instance_id, pool_id="pairing", cores=8, memory_gb=16, **fields):
    return put_instance(
        instance_id,
        pool_id,
        rack=instance_id,
        kind=InstanceKind.WORKER,
        expected_revision=fields.pop("revision", 0),
        cores=cores,
        memory_gb=memory_gb,
        **fields,
    )


def start_move(instance_id, pool_id, move_id="v1", revision=1):
    return _new(
        ch.StartMove,
        expected_revision=revision,
        move_id=move_id,
        instance_id=instance_id,
        pool_id=pool_id,
    )


def drain_ack(state, instance_id, entry_id="e1"):
    """Returns the acknowledgement of the drain of an instance in a state."""
    return ch.DrainAck(
        change_id=new_change_id(),
        entry_id=entry_id,
        instance_id=instance_id,
        drain=state.tables.instance_by_id[instance_id].drain.offset,
    )


def join(entry_id, data_centre_id="dc1"):
    return ch.EntryJoin(
        change_id=new_change_id(),
        entry_id=entry_id,
        data_centre_id=data_centre_id,
        address="127.0.0.1:1",
    )


def join_ack(entry_id, joiner_id):
    return ch.EntryJoinAck(
        change_id=new_change_id(), entry_id=entry_id, joiner_id=joiner_id
    )


def gone(entry_id):
    return ch.EntryGone(
        change_id=new_change_id(), entry_id=entry_id, evidence="test"
    )


def submit(job_id, cores=4, memory_gb=4, team_id="red", **fields):
    return ch.SubmitJob(
        change_id=new_change_id(),
        job_id=job_id,
        team_id=team_id,
        pool_id="pairing",
        cores=cores,
        memory_gb=memory_gb,
        **fields,
    )


def cancel(job_id):
    return ch.CancelJob(change_id=new_change_id(), job_id=job_id)


def take_lease(instance_id, entry_id="e1"):
    return ch.TakeWorkerLease(
        change_id=new_change_id(), instance_id=instance_id, entry_id=entry_id
    )


def place(log, job_id, instance_id, lease=None):
    if lease is None:
        lease = log.state.tables.worker_use_by_instance[instance_id].lease
    return ch.PlaceJob(
        change_id=new_change_id(),
        job_id=job_id,
        instance_id=instance_id,
        worker_lease=lease,
    )


def progress(log, job_id, step, **fields):
    job = log.state.tables.job_by_id[job_id]
    use = log.state.tables.worker_use_by_instance[job.instance_id]
    report = {
        "instance_id": job.instance_id,
        "place": job.place,
        "worker_lease": use.lease,
        **fields,
    }
    return ch.JobProgress(
        change_id=new_change_id(), job_id=job_id, step=step, **report
    )
