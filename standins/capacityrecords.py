"""Bytes and fold time of one record of each kind."""

import time
from collections.abc import Iterator

from sardinedrift import changes as ch
from standins.capacityruns import (
    Folding,
    change,
    instance_change,
    put_base,
    put_entries,
    team_changes,
)


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
    for count in (1, 20, 600):
        units = {f"team-{each:04d}": 1 for each in range(count)}
        yield _record_cost(
            folding,
            f"AllowanceTake of {count} teams",
            lambda number, units=units: change(
                ch.AllowanceTake,
                6_000_000 + number,
                publisher_id=entry_id,
                units_by_team=units,
            ),
        )
    yield _record_cost(
        folding,
        "InstanceObserved",
        lambda number: change(
            ch.InstanceObserved,
            7_000_000 + number,
            instance_id=f"worker-{number:06d}",
            up=False,
        ),
    )
    yield _record_cost(
        folding, "PutInstance", lambda number: instance_change(20_000 + number)
    )
    yield _record_cost(
        folding,
        "PutTeam and GrantKey",
        lambda number: team_changes(600 + number),
    )
    yield _record_cost(
        folding,
        "WithdrawKey",
        lambda number: change(
            ch.WithdrawKey,
            8_000_000 + number,
            key_id=f"key-{number:04d}",
            expected_revision=1,
        ),
    )


def _record_cost(folding: Folding, kind: str, make) -> dict:
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
