"""Fold of endpoint instances and of their moves between pools."""

import msgspec

from sardinedrift import changes as ch
from sardinedrift import lending, objects
from sardinedrift.configuration import (
    check_exists,
    check_name,
    check_range,
    check_revision,
    common_fields,
)
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import (
    EntryId,
    InstanceId,
    InstanceKind,
    InstanceState,
    MoveId,
    MoveState,
    WaveId,
)
from sardinedrift.state import State

_replace = msgspec.structs.replace
# Operators can read the result of a move for this time; moves that were never
# dropped would exhaust the memory.
ENDED_MOVE_RETENTION_SECONDS = 86_400.0
_CAPACITY_FIELDS = (
    "slots",
    "connections",
    "cores",
    "memory_gb",
    "accelerators",
)


def drop_pending_acknowledgements(state: State, entry_id: EntryId) -> None:
    """Removes an ended entry from the drains that await its acknowledgement."""
    for instance in list(state.tables.instance_by_id.values()):
        if instance.drain and entry_id in instance.drain.waiting:
            _acknowledge(state, instance, entry_id)


def _put_instance(state: State, change: ch.PutInstance) -> int:
    check_name("instance_id", change.instance_id)
    check_exists(
        state, "data_centre_by_id", "data_centre_id", change.data_centre_id
    )
    check_exists(state, "pool_by_id", "pool_id", change.pool_id)
    for name in _CAPACITY_FIELDS:
        check_range(name, getattr(change, name), 0)
    current = state.tables.instance_by_id.get(change.instance_id)
    revision = check_revision(change, current)
    if current:
        _check_pool_and_data_centre(change, current)
        _check_placed_jobs_fit(state, change)
    _check_address_unused(state, change)
    fields = common_fields(change, objects.Instance)
    if current:
        instance = _replace(current, **fields, revision=revision)
    else:
        instance = objects.Instance(
            **fields,
            state=InstanceState.ACTIVE,
            up=True,
            drain=None,
            revision=revision,
        )
    state.put("instance_by_id", change.instance_id, instance)
    return revision


def _check_pool_and_data_centre(
    change: ch.PutInstance, current: objects.Instance
) -> None:
    if change.pool_id != current.pool_id:
        raise StateError(
            "pool_is_fixed", "use a move to change the pool", "pool_id"
        )
    if change.data_centre_id != current.data_centre_id:
        raise StateError(
            "data_centre_is_fixed",
            "remove the instance and import it again",
            "data_centre_id",
        )


def _check_placed_jobs_fit(state: State, change: ch.PutInstance) -> None:
    """Raises StateError if the placed jobs would exceed the new size."""
    jobs = state.placed_jobs(change.instance_id)
    for name in ("cores", "memory_gb", "accelerators"):
        placed = sum(getattr(job, name) for job in jobs)
        if jobs and placed > getattr(change, name):
            raise StateError(
                "in_use", f"placed jobs have {placed:g} {name}", name
            )
    if jobs and change.kind is not InstanceKind.WORKER:
        raise StateError("in_use", "jobs are placed on the worker", "kind")


def _check_address_unused(state: State, change: ch.PutInstance) -> None:
    """Checks that no other instance has the address.

    Two ids with one address could put one instance into two pools.
    """
    other_id = state.instance_at_address(change.address)
    if other_id not in (None, change.instance_id):
        raise StateError(
            "exists", f"instance {other_id!r} has this address", "address"
        )


def begin_drain(
    state: State,
    instance: objects.Instance,
    move_id: MoveId | None = None,
    wave_id: WaveId | None = None,
) -> None:
    """Starts a drain; each member of the data centre must acknowledge it."""
    waiting = tuple(state.active_entries(instance.data_centre_id))
    drain = objects.Drain(state.offset, waiting, move_id, wave_id)
    instance = _replace(
        instance,
        state=InstanceState.DRAINING,
        drain=drain,
        revision=instance.revision + 1,
    )
    state.put("instance_by_id", instance.instance_id, instance)
    complete_drain_if_idle(state, instance.instance_id)


def _drain_ack(state: State, change: ch.DrainAck) -> int:
    instance = state.tables.instance_by_id.get(change.instance_id)
    drain = instance.drain if instance else None
    if drain is None or drain.offset != change.drain:
        return 0
    _acknowledge(state, instance, change.entry_id)
    return 0


def _acknowledge(
    state: State, instance: objects.Instance, entry_id: EntryId
) -> None:
    drain = instance.drain
    waiting = tuple(each for each in drain.waiting if each != entry_id)
    instance = _replace(instance, drain=_replace(drain, waiting=waiting))
    state.put("instance_by_id", instance.instance_id, instance)
    complete_drain_if_idle(state, instance.instance_id)


def complete_drain_if_idle(state: State, instance_id: InstanceId) -> None:
    """Completes a drain once all entries acknowledged it and no job is left."""
    instance = state.tables.instance_by_id[instance_id]
    if instance.state is not InstanceState.DRAINING or instance.drain.waiting:
        return
    if not state.placed_jobs(instance_id):
        _complete_drain(state, instance)


def _complete_drain(state: State, instance: objects.Instance) -> None:
    drain = instance.drain
    if drain.move_id is not None:
        _complete_move(state, instance, state.tables.move_by_id[drain.move_id])
        return
    state.put(
        "instance_by_id",
        instance.instance_id,
        _replace(
            instance,
            state=InstanceState.DRAINED,
            revision=instance.revision + 1,
        ),
    )


def _complete_move(
    state: State, instance: objects.Instance, move: objects.Move
) -> None:
    moved = _replace(instance, pool_id=move.to_pool_id)
    if instance.lent_from == move.to_pool_id:
        moved = lending.clear_loan(moved)
    reactivate(state, moved)
    _end_move(state, move, MoveState.DONE)
    if instance.lent_wave_id is not None:
        lending.end_wave_if_complete(state, instance.lent_wave_id)


def _end_move(state: State, move: objects.Move, end: MoveState) -> None:
    """Ends a move; it stays readable for `ENDED_MOVE_RETENTION_SECONDS`."""
    ended = _replace(
        move,
        state=end,
        revision=move.revision + 1,
        forget_at=state.time + ENDED_MOVE_RETENTION_SECONDS,
    )
    state.put("move_by_id", move.move_id, ended)


def _drop_ended_moves(state: State) -> None:
    """Drops expired moves.

    Called when a move starts, as the table grows at no other time.
    """
    for move in list(state.tables.move_by_id.values()):
        if move.forget_at is not None and move.forget_at <= state.time:
            state.drop("move_by_id", move.move_id)


def _start_move(state: State, change: ch.StartMove) -> int:
    check_name("move_id", change.move_id)
    check_exists(state, "instance_by_id", "instance_id", change.instance_id)
    check_exists(state, "pool_by_id", "pool_id", change.pool_id)
    if change.move_id in state.tables.move_by_id:
        raise StateError("exists", "a move id is used only once", "move_id")
    instance = state.tables.instance_by_id[change.instance_id]
    check_revision(change, instance)
    if instance.state is not InstanceState.ACTIVE:
        raise StateError(
            "not_active",
            f"the instance is {instance.state.value}",
            "instance_id",
        )
    if instance.pool_id == change.pool_id:
        raise StateError("same_pool", "the instance is in this pool", "pool_id")
    if change.wave_id is None:
        lending.check_operator_move(state, change, instance)
    else:
        instance = lending.prepare_wave_move(state, change, instance)
    move = objects.Move(
        change.move_id,
        change.instance_id,
        instance.pool_id,
        change.pool_id,
        MoveState.DRAINING,
        1,
        change.wave_id,
    )
    _drop_ended_moves(state)
    state.put("move_by_id", change.move_id, move)
    begin_drain(state, instance, move_id=change.move_id)
    return 1


def _cancel_move(state: State, change: ch.CancelMove) -> int:
    check_exists(state, "move_by_id", "move_id", change.move_id)
    move = state.tables.move_by_id[change.move_id]
    revision = check_revision(change, move)
    if move.state is not MoveState.DRAINING:
        raise StateError(
            "ended", f"the move is {move.state.value} already", "move_id"
        )
    _end_move(state, move, MoveState.CANCELLED)
    instance = state.tables.instance_by_id[move.instance_id]
    wave_id = instance.lent_wave_id
    if instance.lent_from == move.from_pool_id:
        instance = lending.clear_loan(instance)
    reactivate(state, instance)
    if wave_id is not None:
        lending.end_wave_if_complete(state, wave_id)
    return revision


def reactivate(state: State, instance: objects.Instance) -> None:
    """Makes an instance active again and removes its drain."""
    state.put(
        "instance_by_id",
        instance.instance_id,
        _replace(
            instance,
            state=InstanceState.ACTIVE,
            drain=None,
            revision=instance.revision + 1,
        ),
    )


def _instance_observed(state: State, change: ch.InstanceObserved) -> int:
    check_exists(state, "instance_by_id", "instance_id", change.instance_id)
    instance = state.tables.instance_by_id[change.instance_id]
    instance = _replace(instance, up=change.up)
    if change.up and instance.state is InstanceState.FAILED:
        instance = _replace(instance, state=InstanceState.ACTIVE, drain=None)
    state.put("instance_by_id", change.instance_id, instance)
    return instance.revision


HANDLERS = {
    ch.PutInstance: _put_instance,
    ch.StartMove: _start_move,
    ch.CancelMove: _cancel_move,
    ch.DrainAck: _drain_ack,
    ch.InstanceObserved: _instance_observed,
}
