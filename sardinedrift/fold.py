"""Applies records of the log to the state.

Every reader of the log runs this fold over the same records and reaches the
same state. Nothing here reads a clock, a random number or a setting.
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

# A publisher gives up repeating an append long before results are forgotten.
RESULT_LIFETIME_SECONDS = 3600.0

_HANDLERS = {
    **configuration.HANDLERS,
    **membership.HANDLERS,
    **allowances.HANDLERS,
    **inventory.HANDLERS,
    **maintenance.HANDLERS,
    **snapshots.HANDLERS,
    **placement.HANDLERS,
}


class _Rejected(Exception):  # noqa: N818
    """Rolls back an atomic batch."""


def apply_record(
    state: State, offset: Offset, time: float, data: bytes
) -> list[ch.Result]:
    """Folds one record and returns a result for each of its changes.

    A record that cannot be read changes nothing but the offset, on every
    reader alike.

    Args:
        state: the state as of the record before.
        offset: offset of the record; must be the state's offset plus one.
        time: append time of the record, unix seconds.
        data: content of the record.
    """
    if offset != state.offset + 1:
        raise ValueError(f"record {offset} does not follow {state.offset}")
    state.tables.offset = offset
    # The log service's clock may step back; log time never does.
    state.tables.time = max(state.tables.time, time)
    allowances.release_due_units(state)
    placement.drop_ended_jobs(state)
    _forget_results(state)
    try:
        batch = ch.decode_batch(data)
    except msgspec.DecodeError:
        return []
    results = _apply_batch(state, batch)
    state.clear_journal()
    return results


def rehearse(state: State, batch: ch.Batch) -> list[ch.Result]:
    """Returns what a batch would give now, and leaves the state as it is."""
    results: list[ch.Result] = []
    try:
        with state.transaction():
            results = _apply_batch(state, batch)
            raise _Rejected
    except _Rejected:
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
                    raise _Rejected
    except _Rejected:
        return _reject_all(state, batch, results)
    return results


def _reject_all(
    state: State, batch: ch.Batch, results: list[ch.Result]
) -> list[ch.Result]:
    """Records the rejection of every change of an atomic batch."""
    cause = results[-1]
    rejected = []
    for change in batch.changes:
        known = _known(state, change)
        if known:
            rejected.append(known)
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
        _remember(state, change, result)
        rejected.append(result)
    return rejected


def _apply_once(state: State, change: ch.AnyChange) -> ch.Result:
    known = _known(state, change)
    if known:
        return known
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
    _remember(state, change, result)
    return result


def _known(state: State, change: ch.AnyChange) -> ch.Result | None:
    """Returns the result of a change that was folded before.

    The first result of a change of allowances is not kept; its repetition is
    refused.
    """
    if not isinstance(change, AllowanceChange):
        known = state.tables.result_by_change_id.get(change.change_id)
        return known[1] if known else None
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


def _remember(state: State, change: ch.AnyChange, result: ch.Result) -> None:
    """Keeps what shows a repetition of the change."""
    if isinstance(change, AllowanceChange):
        allowances.record_sequence(state, change)
        return
    state.put("result_by_change_id", result.change_id, (state.time, result))


def _forget_results(state: State) -> None:
    rows = state.tables.result_by_change_id
    limit = state.time - RESULT_LIFETIME_SECONDS
    expired = []
    for change_id, (time, _) in rows.items():
        if time >= limit:
            break
        expired.append(change_id)
    for change_id in expired:
        del rows[change_id]
