"""Bytes and fold time of one record of each kind."""

import time
from collections.abc import Callable, Iterator

from sardinedrift import changes as ch
from sardinedrift.identifiers import EntryId
from standins.capacityruns import (
    Folding,
    change,
    instance_change,
    put_base,
    put_entries,
    team_changes,
)

Make = Callable[[int], ch.AnyChange | list[ch.AnyChange]]


def record_costs() -> Iterator[dict]:
    """Yields bytes and fold time of a record of each kind, in a full state."""
    folding = Folding()
    put_base(folding)
    put_entries(folding)
    for number in range(600):
        folding.put(*team_changes(number))
    for number in range(20_000):
        folding.put(instance_change(number))
    entry_id = next(iter(folding.state.tables.entry_by_id))
    for kind, make in _kinds(entry_id):
        yield _record_cost(folding, kind, make)


def _kinds(entry_id: EntryId) -> Iterator[tuple[str, Make]]:
    """Yields the name of each kind of record, and what makes the nth."""
    for count in (1, 20, 600):
        yield f"AllowanceTake of {count} teams", _take(entry_id, count)
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


def _take(entry_id: EntryId, count: int) -> Make:
    units = {f"team-{each:04d}": 1 for each in range(count)}
    return lambda number: change(
        ch.AllowanceTake,
        6_000_000 + number,
        publisher_id=entry_id,
        units_by_team=units,
    )


def _record_cost(folding: Folding, kind: str, make: Make) -> dict:
    rounds = 200
    made = [make(number) for number in range(rounds)]
    batches = [each if isinstance(each, list) else [each] for each in made]
    size = len(ch.encode_batch(ch.Batch(tuple(batches[0]))))
    started = time.process_time()
    for batch in batches:
        folding.put(*batch)
    spent = (time.process_time() - started) / rounds
    return {
        "measurement": "record",
        "kind": kind,
        "bytes": size,
        "fold_us": round(spent * 1e6, 1),
    }
