"""Applies log records to the state.

Every reader of the log applies the same records and reaches the same state,
so nothing here reads a clock, a random number or a setting.
"""

import msgspec

from sardinedrift import (
    allowances,
    configuration,
    inventory,
    maintenance,
    membership,
    placement,
    snapshots,
)
from sardinedrift import changes as ch
from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.exceptions import StateError
from sardinedrift.identifiers import Offset
from sardinedrift.state import State

# Longer than a publisher retries an append, so that a repeated change is always
# recognised.
RESULT_RETENTION_SECONDS = 3600.0

_HANDLERS = {
    **configuration.HANDLERS,
    **membership.HANDLERS,
    **allowances.HANDLERS,
    **inventory.HANDLERS,
    **maintenance.HANDLERS,
    **snapshots.HANDLERS,
    **placement.HANDLERS,
}


class _RollBack(Exception):  # noqa: N818
    """Raised within a transaction to undo its writes."""


def apply_record(
    state: State, offset: Offset, time: float, data: bytes
) -> list[ch.Result]:
    """Applies one record and returns a result for each of its changes.

    A record that cannot be decoded contains no changes. Like any record, it
    advances the offset and the log time on every reader.

    Args:
        state: state as of the previous record; updated in place.
        offset: offset of the record; must be the state's offset plus one.
        time: append time of the record, in unix seconds.
        data: JSON form of a `Batch`.
    """
    if offset != state.offset + 1:
        raise ValueError(f"record {offset} does not follow {state.offset}")
    state.tables.offset = offset
    # The log service's clock may step back; log time never does.
    state.tables.time = max(state.tables.time, time)
    allowances.release_due_units(state)
    placement.drop_ended_jobs(state)
    _drop_expired_results(state)
    try:
        batch = ch.decode_batch(data)
    except msgspec.DecodeError:
        return []
    results = _apply_batch(state, batch)
    state.clear_journal()
    return results


def rehearse(state: State, batch: ch.Batch) -> list[ch.Result]:
    """Returns the results that a batch would have, without applying it."""
    results: list[ch.Result] = []
    try:
        with state.transaction():
            results = _apply_batch(state, batch)
            raise _RollBack
    except _RollBack:
        return results


def _apply_batch(state: State, batch: ch.Batch) -> list[ch.Result]:
    if not batch.atomic:
        return [_apply_once(state, change) for change in batch.changes]
    results: list[ch.Result] = []
    try:
        with state.transaction():
            for change in batch.changes:
                results.append(_apply_once(state, change))
                if not results[-1].accepted:
                    raise _RollBack
    except _RollBack:
        return _reject_all(state, batch, results)
    return results


def _reject_all(
    state: State, batch: ch.Batch, results: list[ch.Result]
) -> list[ch.Result]:
    """Records and returns a rejection of every change of an atomic batch."""
    cause = results[-1]
    rejected = []
    for change in batch.changes:
        earlier = _earlier_result(state, change)
        if earlier:
            rejected.append(earlier)
            continue
        result = cause
        if change.change_id != cause.change_id:
            result = ch.Result(
                change_id=change.change_id,
                accepted=False,
                offset=state.offset,
                code="batch_rejected",
                message=f"change {cause.change_id} was rejected",
            )
        _record_result(state, change, result)
        rejected.append(result)
    return rejected


def _apply_once(state: State, change: ch.AnyChange) -> ch.Result:
    earlier = _earlier_result(state, change)
    if earlier:
        return earlier
    try:
        with state.transaction():
            revision = _HANDLERS[type(change)](state, change)
        result = ch.Result(
            change_id=change.change_id,
            accepted=True,
            offset=state.offset,
            revision=revision,
        )
    except StateError as error:
        result = ch.Result(
            change_id=change.change_id,
            accepted=False,
            offset=state.offset,
            code=error.code,
            field=error.field,
            message=str(error),
        )
    _record_result(state, change, result)
    return result


def _earlier_result(state: State, change: ch.AnyChange) -> ch.Result | None:
    """Returns the result of a change that was applied before, else None.

    Results of allowance changes are not kept; a repetition is rejected.
    """
    if not isinstance(change, AllowanceChange):
        earlier = state.tables.result_by_change_id.get(change.change_id)
        return earlier[1] if earlier else None
    if not allowances.is_folded(state, change):
        return None
    return ch.Result(
        change_id=change.change_id,
        accepted=False,
        offset=state.offset,
        code="already_folded",
        field="sequence",
        message="a change with this number or a later one is folded",
    )


def _record_result(
    state: State, change: ch.AnyChange, result: ch.Result
) -> None:
    """Records that a change was applied, to recognise its repetitions."""
    if isinstance(change, AllowanceChange):
        allowances.record_sequence(state, change)
        return
    state.put("result_by_change_id", result.change_id, (state.time, result))


def _drop_expired_results(state: State) -> None:
    rows = state.tables.result_by_change_id
    oldest = state.time - RESULT_RETENTION_SECONDS
    expired = []
    for change_id, (time, _) in rows.items():
        if time >= oldest:
            break
        expired.append(change_id)
    for change_id in expired:
        del rows[change_id]
