"""Fold rules for instances that waves borrow from spare pools."""

import msgspec

from sardinedrift import budgets, objects
from sardinedrift import changes as ch
from sardinedrift.configuration import check_exists
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import WaveId, WaveState, WaveStep
from sardinedrift.state import State

_replace = msgspec.structs.replace

# Ended waves are dropped after this time: 28 waves maintain 20,000 instances in
# two weeks, and the steps of a year's waves would exceed the memory budget for
# control.
ENDED_WAVE_RETENTION_SECONDS = 7 * 86_400.0
ENDED_STEPS = (WaveStep.BACK, WaveStep.FAILED, WaveStep.SKIPPED)
IN_PROGRESS_STEPS = (WaveStep.DRAINING, WaveStep.REBOOTING)


def check_operator_move(
    state: State, change: ch.StartMove, instance: objects.Instance
) -> None:
    """Checks a move that an operator requests.

    Raises:
        StateError: the instance is lent and the move does not return it, or
            the move would exceed a budget during a wave.
    """
    if instance.lent_from not in (None, change.pool_id):
        raise StateError(
            "lent",
            f"it is lent by pool {instance.lent_from}; only a move back is "
            "possible",
            "pool_id",
        )
    if budgets.has_running_wave(state, instance.pool_id):
        budgets.check_budgets(state, instance)


def prepare_wave_move(
    state: State, change: ch.StartMove, instance: objects.Instance
) -> objects.Instance:
    """Checks a move that a wave requests.

    Returns:
        The instance, marked as lent if the move lends it.

    Raises:
        StateError: the move neither lends nor returns an instance, or breaks
            a rule of lending, or would exceed a budget.
    """
    check_exists(state, "wave_by_id", "wave_id", change.wave_id)
    wave = state.tables.wave_by_id[change.wave_id]
    if change.pool_id != wave.pool_id:
        _check_return(state, change, wave, instance)
        return instance
    _check_lend(state, wave, instance)
    return _replace(
        instance, lent_from=instance.pool_id, lent_wave_id=wave.wave_id
    )


def _check_return(
    state: State,
    change: ch.StartMove,
    wave: objects.Wave,
    instance: objects.Instance,
) -> None:
    own = instance.lent_wave_id == wave.wave_id
    if not own or instance.lent_from != change.pool_id:
        raise StateError(
            "not_lent", "this wave did not borrow it there", "wave_id"
        )
    if wave.state is WaveState.RUNNING and not is_maintenance_complete(wave):
        raise StateError("still_needed", "the wave goes on", "wave_id")
    budgets.check_budgets(state, instance)


def _check_lend(
    state: State, wave: objects.Wave, instance: objects.Instance
) -> None:
    if wave.state is not WaveState.RUNNING:
        raise StateError("ended", f"the wave is {wave.state.value}", "wave_id")
    if not wave.count(WaveStep.PENDING):
        raise StateError("not_needed", "the wave needs no more", "wave_id")
    if len(budgets.borrowed_instances(state, wave.wave_id)) >= wave.borrow:
        raise StateError(
            "borrow_exhausted",
            f"the wave borrows at most {wave.borrow}",
            "wave_id",
        )
    lender = state.tables.pool_by_id[instance.pool_id]
    if not lender.spare:
        raise StateError(
            "not_spare", f"{lender.pool_id} is no spare pool", "instance_id"
        )
    if instance.lent_from is not None:
        raise StateError("lent", "it is lent already", "instance_id")
    if not instance.available:
        raise StateError("not_available", "it is not up", "instance_id")
    # Two pools in maintenance that borrow from each other could deadlock, each
    # waiting for the end of the other's wave.
    if budgets.has_running_wave(state, lender.pool_id):
        raise StateError(
            "wave_running", "the spare pool has a running wave", "instance_id"
        )
    # Lent instances count as unavailable in the budgets of their spare pool.
    budgets.check_budgets(state, instance)


def clear_loan(instance: objects.Instance) -> objects.Instance:
    """Returns the instance without its loan."""
    return _replace(instance, lent_from=None, lent_wave_id=None)


def is_maintenance_complete(wave: objects.Wave) -> bool:
    """Returns whether a wave has no instance left to maintain."""
    return all(each in ENDED_STEPS for each in wave.step_by_instance.values())


def end_wave_if_complete(state: State, wave_id: WaveId) -> None:
    """Ends a wave once its maintenance is complete and it borrows nothing."""
    wave = state.tables.wave_by_id[wave_id]
    if wave.state is not WaveState.RUNNING or not is_maintenance_complete(wave):
        return
    if not budgets.borrowed_instances(state, wave_id):
        end_wave(state, wave, WaveState.DONE)


def end_wave(state: State, wave: objects.Wave, end: WaveState) -> objects.Wave:
    """Ends a wave; it stays readable for `ENDED_WAVE_RETENTION_SECONDS`."""
    ended = _replace(
        wave,
        state=end,
        revision=wave.revision + 1,
        forget_at=state.time + ENDED_WAVE_RETENTION_SECONDS,
    )
    state.put("wave_by_id", wave.wave_id, ended)
    return ended


def drop_ended_waves(state: State) -> None:
    """Drops expired waves that have no instance in progress or on loan.

    Called when a wave starts, as the table grows at no other time.
    """
    for wave in list(state.tables.wave_by_id.values()):
        if wave.forget_at is None or state.time < wave.forget_at:
            continue
        in_progress = any(wave.count(step) for step in IN_PROGRESS_STEPS)
        if not in_progress and not budgets.borrowed_instances(
            state, wave.wave_id
        ):
            state.drop("wave_by_id", wave.wave_id)
