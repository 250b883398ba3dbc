"""Fold of maintenance waves; it enforces the availability budgets."""

from collections.abc import Iterator

import msgspec

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.budgets import check_budgets, has_running_wave
from sardinedrift.configuration import (
    check_exists,
    check_name,
    check_range,
    check_revision,
)
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import (
    InstanceId,
    InstanceState,
    PoolId,
    WaveId,
    WaveState,
    WaveStep,
)
from sardinedrift.inventory import begin_drain, reactivate
from sardinedrift.lending import (
    IN_PROGRESS_STEPS,
    drop_ended_waves,
    end_wave,
    end_wave_if_complete,
)
from sardinedrift.state import State

_replace = msgspec.structs.replace


def _start_wave(state: State, change: ch.StartWave) -> int:
    check_name("wave_id", change.wave_id)
    check_exists(state, "pool_by_id", "pool_id", change.pool_id)
    check_range("canary", change.canary, 0)
    check_range("max_failures", change.max_failures, 1)
    check_range("return_seconds", change.return_seconds, 1, 86_400)
    check_range("borrow", change.borrow, 0)
    if change.wave_id in state.tables.wave_by_id:
        raise StateError("exists", "a wave id is used only once", "wave_id")
    check_revision(change, None)
    _check_wave_can_start(state, change.pool_id)
    wave = objects.Wave(
        change.wave_id,
        change.pool_id,
        change.canary,
        change.max_failures,
        change.return_seconds,
        WaveState.RUNNING,
        dict.fromkeys(_wave_instances(state, change), WaveStep.PENDING),
        {},
        1,
        change.borrow,
        started=state.offset,
    )
    drop_ended_waves(state)
    state.put("wave_by_id", change.wave_id, wave)
    return 1


def _check_wave_can_start(state: State, pool_id: PoolId) -> None:
    """Raises StateError for a pool in which no wave can start."""
    if has_running_wave(state, pool_id):
        raise StateError(
            "wave_running", "the pool has a running wave", "pool_id"
        )
    pool = state.tables.pool_by_id[pool_id]
    if min(pool.max_unavailable, pool.max_unavailable_per_rack) < 1:
        raise StateError(
            "budget_never_met",
            f"the budgets of pool {pool_id} permit no drained instance; "
            "set max_unavailable and max_unavailable_per_rack to at least 1",
            "pool_id",
        )


def _wave_instances(state: State, change: ch.StartWave) -> Iterator[InstanceId]:
    in_pool = {
        each.instance_id
        for each in state.instances_of(change.pool_id)
        if each.lent_from is None
    }
    chosen = change.instance_ids or tuple(sorted(in_pool))
    if not chosen:
        raise StateError("empty", "the pool has no instances", "pool_id")
    for instance_id in chosen:
        if instance_id not in in_pool:
            raise StateError(
                "not_in_pool",
                f"{instance_id!r} is no own instance of {change.pool_id}",
                "instance_ids",
            )
        yield instance_id


def _stop_wave(state: State, change: ch.StopWave) -> int:
    wave = _wave(state, change.wave_id)
    revision = check_revision(change, wave)
    if wave.state is not WaveState.RUNNING:
        raise StateError(
            "ended", f"the wave is {wave.state.value} already", "wave_id"
        )
    end_wave(state, wave, WaveState.STOPPED)
    return revision


def _wave(state: State, wave_id: WaveId) -> objects.Wave:
    check_exists(state, "wave_by_id", "wave_id", wave_id)
    return state.tables.wave_by_id[wave_id]


def _take_instance(state: State, change: ch.WaveTake) -> int:
    wave = _wave(state, change.wave_id)
    if wave.state is not WaveState.RUNNING:
        raise StateError("ended", f"the wave is {wave.state.value}", "wave_id")
    if wave.step_by_instance.get(change.instance_id) is not WaveStep.PENDING:
        raise StateError(
            "not_pending", "the wave does not wait for it", "instance_id"
        )
    instance = state.tables.instance_by_id.get(change.instance_id)
    if instance is None or _left_pool(wave, instance):
        # The wave skips instances that were moved or removed.
        _set_step(state, wave, change.instance_id, WaveStep.SKIPPED)
        end_wave_if_complete(state, wave.wave_id)
        return 0
    if instance.state is not InstanceState.ACTIVE:
        raise StateError(
            "not_active", f"it is {instance.state.value}", "instance_id"
        )
    in_progress = sum(wave.count(step) for step in IN_PROGRESS_STEPS)
    if wave.count(WaveStep.BACK) < wave.canary and in_progress:
        raise StateError(
            "canary", "the first instances are maintained one by one"
        )
    check_budgets(state, instance)
    _set_step(state, wave, change.instance_id, WaveStep.DRAINING)
    begin_drain(state, instance, wave_id=wave.wave_id)
    return 0


def _left_pool(wave: objects.Wave, instance: objects.Instance) -> bool:
    return instance.pool_id != wave.pool_id or instance.lent_from is not None


def _wave_progress(state: State, change: ch.WaveProgress) -> int:
    wave = _wave(state, change.wave_id)
    check_exists(state, "instance_by_id", "instance_id", change.instance_id)
    instance = state.tables.instance_by_id[change.instance_id]
    step = wave.step_by_instance.get(change.instance_id)
    if change.step is WaveStep.REBOOTING and step is WaveStep.DRAINING:
        _start_reboot(state, wave, instance)
    elif change.step is WaveStep.BACK and step is WaveStep.REBOOTING:
        reactivate(state, _replace(instance, up=True))
        _set_step(state, wave, change.instance_id, WaveStep.BACK)
    elif change.step is WaveStep.FAILED and step is WaveStep.REBOOTING:
        _fail_instance(state, wave, instance)
    else:
        raise StateError(
            "wrong_step", f"step {change.step.value} does not follow", "step"
        )
    end_wave_if_complete(state, change.wave_id)
    return 0


def _start_reboot(
    state: State, wave: objects.Wave, instance: objects.Instance
) -> None:
    if instance.state is not InstanceState.DRAINED:
        raise StateError(
            "not_drained", "entries still hold work on it", "instance_id"
        )
    rebooting = _replace(
        instance,
        state=InstanceState.REBOOTING,
        revision=instance.revision + 1,
    )
    state.put("instance_by_id", instance.instance_id, rebooting)
    deadlines = dict(wave.return_deadline_by_instance)
    deadlines[instance.instance_id] = state.time + wave.return_seconds
    wave = _replace(wave, return_deadline_by_instance=deadlines)
    _set_step(state, wave, instance.instance_id, WaveStep.REBOOTING)


def _fail_instance(
    state: State, wave: objects.Wave, instance: objects.Instance
) -> None:
    if state.time < wave.return_deadline_by_instance[instance.instance_id]:
        raise StateError(
            "too_early", "its return deadline has not passed", "step"
        )
    state.put(
        "instance_by_id",
        instance.instance_id,
        _replace(
            instance,
            state=InstanceState.FAILED,
            up=False,
            drain=None,
            revision=instance.revision + 1,
        ),
    )
    wave = _set_step(state, wave, instance.instance_id, WaveStep.FAILED)
    in_canary = wave.count(WaveStep.BACK) < wave.canary
    too_many = wave.count(WaveStep.FAILED) >= wave.max_failures
    if wave.state is WaveState.RUNNING and (in_canary or too_many):
        end_wave(state, wave, WaveState.STOPPED)


def _set_step(
    state: State, wave: objects.Wave, instance_id: InstanceId, step: WaveStep
) -> objects.Wave:
    steps = {**wave.step_by_instance, instance_id: step}
    wave = _replace(wave, step_by_instance=steps)
    state.put("wave_by_id", wave.wave_id, wave)
    return wave


HANDLERS = {
    ch.StartWave: _start_wave,
    ch.StopWave: _stop_wave,
    ch.WaveTake: _take_instance,
    ch.WaveProgress: _wave_progress,
}
