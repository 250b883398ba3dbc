"""Measures the size and the fold time of one record of each kind."""

import time
from collections.abc import Callable, Iterator

from sardinedrift import changes as ch
from sardinedrift.identifiers import EntryId
from standins.capacityruns import (
    StateBuilder,
    change,
    instance_change,
    put_base,
    put_entries,
    team_changes,
)

# Creates the change or changes of the nth record.
MakeChanges = Callable[[int], ch.AnyChange | list[ch.AnyChange]]


def record_costs() -> Iterator[dict]:
    """Yields size and fold time of a record of each kind, in a full state."""
    builder = StateBuilder()
    put_base(builder)
    put_entries(builder)
    for number in range(600):
        builder.put(*team_changes(number))
    for number in range(20_000):
        builder.put(instance_change(number))
    entry_id = next(iter(builder.state.tables.entry_by_id))
    for kind, make in _record_kinds(entry_id):
        yield _record_cost(builder, kind, make)


def _record_kinds(entry_id: EntryId) -> Iterator[tuple[str, MakeChanges]]:
    """Yields the name of each kind of record and a function that creates it."""
    for count in (1, 20, 600):
        yield (
            f"AllowanceTake of {count} teams",
            _allowance_take(entry_id, count),
        )
    yield (
        "InstanceObserved",
        lambda number: change(
            ch.InstanceObserved,
            7_000_000 + number,
            instance_id=f"worker-{number:06d}",
            up=False,
        ),
    )
    yield "PutInstance", lambda number: instance_change(20_000 + number)
    yield "PutTeam and GrantKey", lambda number: team_changes(600 + number)
    yield (
        "WithdrawKey",
        lambda number: change(
            ch.WithdrawKey,
            8_000_000 + number,
            key_id=f"key-{number:04d}",
            expected_revision=1,
        ),
    )


def _allowance_take(entry_id: EntryId, count: int) -> MakeChanges:
    units = {f"team-{each:04d}": 1 for each in range(count)}
    return lambda number: change(
        ch.AllowanceTake,
        6_000_000 + number,
        publisher_id=entry_id,
        units_by_team=units,
    )


def _record_cost(builder: StateBuilder, kind: str, make: MakeChanges) -> dict:
    rounds = 200
    records = [make(number) for number in range(rounds)]
    batches = [each if isinstance(each, list) else [each] for each in records]
    size = len(ch.encode_batch(ch.Batch(tuple(batches[0]))))
    started = time.process_time()
    for batch in batches:
        builder.put(*batch)
    cpu_seconds = (time.process_time() - started) / rounds
    return {
        "measurement": "record",
        "kind": kind,
        "bytes": size,
        "fold_us": round(cpu_seconds * 1e6, 1),
    }
