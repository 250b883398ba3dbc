"""The measurements of one size each, run in a process of their own."""

import gc
import os
import random
import time
import zlib
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from sardinedrift import changes as ch
from sardinedrift import endpoints, fold, snapshots
from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.identifiers import EntryId, Identity, InstanceKind
from sardinedrift.limits import Limits
from sardinedrift.runtime import SystemClock
from sardinedrift.shares import ShareLedger
from sardinedrift.state import State
from standins import capacitypeers
from standins.capacityidle import resident_mb
from standins.capacitypeers import DATA_CENTRES, POOLS

ENTRIES = 69
GRANTS = 300
_DIGEST = "0" * 64


class Run(NamedTuple):
    """A measurement and the sizes it is made at."""

    measure: Callable[[int], dict[str, float]]
    sizes: tuple[int, ...]


class _NoneLeaving:
    def leaving(self, instance_id: str) -> bool:
        del instance_id
        return False


class Folding:
    """Folds changes into a state as records of the log."""

    def __init__(self) -> None:
        self.state = State()
        self.time = 1e9

    def put(self, *changes: ch.AnyChange, step: float = 0.001) -> None:
        """Folds changes as one record."""
        self.time += step
        data = ch.encode_batch(ch.Batch(changes))
        fold.apply_record(self.state, self.state.offset + 1, self.time, data)

    def forget_results(self) -> None:
        """Lets the results of the build expire, as after an hour."""
        self.time += 2 * fold.RESULT_RETENTION_SECONDS
        self.put()


def change(kind: type, number: int = 0, /, **fields) -> ch.AnyChange:
    """Returns a change with an id like that of an operator's.

    One of allowances gets the number in place of the id.
    """
    if issubclass(kind, AllowanceChange):
        return kind(sequence=number, **fields)
    if issubclass(kind, ch.OperatorChange):
        fields.setdefault("expected_revision", 0)
    return kind(change_id=f"{number:032x}", **fields)


def put_base(folding: Folding) -> None:
    """Folds the data centres and pools."""
    for number in range(DATA_CENTRES):
        folding.put(
            change(
                ch.PutDataCentre,
                1_000_000 + number,
                data_centre_id=f"dc{number}",
                region="north",
            )
        )
    for number in range(POOLS):
        folding.put(
            change(ch.PutPool, 1_100_000 + number, pool_id=f"pool{number}")
        )


def instance_change(number: int) -> ch.AnyChange:
    """Returns a change that creates an instance."""
    return change(
        ch.PutInstance,
        number,
        instance_id=f"worker-{number:06d}",
        kind=InstanceKind.MINION,
        data_centre_id=f"dc{number % DATA_CENTRES}",
        pool_id=f"pool{number // DATA_CENTRES % POOLS}",
        rack=f"rack-{number // 40}",
        address=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
    )


def _join(number: int) -> ch.AnyChange:
    return change(
        ch.EntryJoin,
        2_000_000 + number,
        entry_id=f"dc{number % DATA_CENTRES}-{number:012x}",
        data_centre_id=f"dc{number % DATA_CENTRES}",
        address=f"10.200.0.{number}:7000",
    )


def team_changes(number: int) -> list[ch.AnyChange]:
    """Returns the changes that create a team with a key."""
    team = f"team-{number:04d}"
    return [
        change(
            ch.PutTeam,
            3_000_000 + number,
            team_id=team,
            share=1.0,
            limit=100_000,
        ),
        change(
            ch.GrantKey,
            3_100_000 + number,
            key_id=f"key-{number:04d}",
            team_id=team,
            digest=_DIGEST,
        ),
    ]


def _memory(
    build: Callable[[Folding], None],
    prepare: Callable[[Folding], None] | None = None,
) -> dict[str, float]:
    folding = Folding()
    put_base(folding)
    if prepare:
        prepare(folding)
    folding.forget_results()
    gc.collect()
    before = resident_mb(os.getpid())
    bytes_before = len(msgspec.json.encode(folding.state.tables))
    build(folding)
    folding.forget_results()
    gc.collect()
    data = msgspec.json.encode(folding.state.tables)
    grown = resident_mb(os.getpid()) - before
    return {
        "resident_bytes": grown * 2**20,
        "snapshot_json_bytes": len(data) - bytes_before,
        "snapshot_bytes": len(snapshots.encode(folding.state)),
    }


def measure_instances(size: int) -> dict[str, float]:
    """Measures the state, and encoding it, by instances."""
    kept: list[Folding] = []

    def build(folding: Folding) -> None:
        kept.append(folding)
        for number in range(size):
            folding.put(instance_change(number))

    result = _memory(build)
    started = time.perf_counter()
    data = msgspec.json.encode(kept[0].state.tables)
    encoded = time.perf_counter()
    zlib.compress(data, 6)
    result["encode_seconds"] = encoded - started
    result["compress_seconds"] = time.perf_counter() - encoded
    return result


def put_entries(folding: Folding, count: int = ENTRIES) -> None:
    """Folds joins of entries, all acknowledged."""
    for number in range(count):
        folding.put(_join(number))
    for entry in list(folding.state.tables.entry_by_id.values()):
        for member in entry.waiting:
            folding.put(
                change(
                    ch.EntryJoinAck,
                    hash((member, entry.entry_id)) & 2**60 - 1,
                    entry_id=member,
                    joiner_id=entry.entry_id,
                )
            )


def _take(folding: Folding, number: int, entry_id: EntryId, teams: int) -> None:
    units = {f"team-{each:04d}": 4 for each in range(teams)}
    folding.put(
        change(
            ch.AllowanceTake,
            4_000_000 + number,
            publisher_id=entry_id,
            units_by_team=units,
        )
    )


def measure_teams(size: int) -> dict[str, float]:
    """Measures the state by teams that each entry has an allowance of."""

    def build(folding: Folding) -> None:
        for number in range(size):
            folding.put(*team_changes(number))
        entries = list(folding.state.tables.entry_by_id)
        for number, entry_id in enumerate(entries):
            _take(folding, number, entry_id, size)

    return _memory(build, put_entries)


def measure_entries(size: int) -> dict[str, float]:
    """Measures the state by entries, each with allowances of 600 teams."""

    def teams(folding: Folding) -> None:
        for number in range(600):
            folding.put(*team_changes(number))

    def build(folding: Folding) -> None:
        put_entries(folding, size)
        for number, entry_id in enumerate(
            list(folding.state.tables.entry_by_id)
        ):
            _take(folding, number, entry_id, 600)

    return _memory(build, teams)


def measure_results(size: int) -> dict[str, float]:
    """Measures the outcomes of changes kept for an hour."""

    def make(number: int, entry_id: EntryId) -> ch.AnyChange:
        return change(
            ch.EntryJoinAck, number, entry_id=entry_id, joiner_id="absent"
        )

    return _folded(size, make)


def measure_allowances(size: int) -> dict[str, float]:
    """Measures what is kept of changes of allowances: one number."""

    def make(number: int, entry_id: EntryId) -> ch.AnyChange:
        return change(
            ch.AllowanceTake,
            number,
            publisher_id=entry_id,
            units_by_team={"team-0000": 0},
        )

    return _folded(size, make)


def _folded(
    size: int, make: Callable[[int, EntryId], ch.AnyChange]
) -> dict[str, float]:
    folding = Folding()
    put_base(folding)
    put_entries(folding, 1)
    folding.put(*team_changes(0))
    gc.collect()
    before = resident_mb(os.getpid())
    entry_id = next(iter(folding.state.tables.entry_by_id))
    started = time.process_time()
    for number in range(size):
        folding.put(make(5_000_000 + number, entry_id))
    spent = time.process_time() - started
    gc.collect()
    grown = resident_mb(os.getpid()) - before
    return {
        "resident_bytes": grown * 2**20,
        "snapshot_json_bytes": len(msgspec.json.encode(folding.state.tables)),
        "fold_seconds": spent,
    }


class _Folded(NamedTuple):
    """What limits read of a follower."""

    state: State
    log_up: bool = True


def measure_count(size: int) -> dict[str, float]:
    """Measures counting the own spare units by teams, held by all entries."""
    folding = Folding()
    put_base(folding)
    put_entries(folding)
    for number in range(size):
        folding.put(*team_changes(number))
    entry_ids = list(folding.state.tables.entry_by_id)
    for number, entry_id in enumerate(entry_ids):
        _take(folding, number, entry_id, size)
    identity = Identity(entry_ids[0], "dc0", "10.200.0.0:7000")
    limits = Limits(identity, _Folded(folding.state), None, None, SystemClock())
    for number in range(size):
        # A team counts once it was seen here.
        limits.running(f"team-{number:04d}")
    rounds = 20
    started = time.process_time()
    for _ in range(rounds):
        counted = limits.spare_units()
    spent = (time.process_time() - started) / rounds
    return {"count_seconds": spent, "teams_with_spare": len(counted)}


def measure_usable(size: int) -> dict[str, float]:
    """Measures the usable pools of one data centre, told in exchanges."""
    folding = Folding()
    put_base(folding)
    for number in range(size):
        folding.put(instance_change(number * DATA_CENTRES))
    view = _NoneLeaving()
    rounds = 50
    started = time.process_time()
    for _ in range(rounds):
        endpoints.usable_pools(folding.state, "dc0", view)
    return {"call_seconds": (time.process_time() - started) / rounds}


def measure_ledger(size: int) -> dict[str, float]:
    """Measures a grant and its end by waiting teams."""
    ledger = ShareLedger(lambda team: 1.0)
    teams = [f"team-{number:04d}" for number in range(size)]
    choices = random.Random(1)
    now = 1e9
    for team in teams:
        ledger.start_waiting(team, now)
    started = time.process_time()
    for _ in range(GRANTS):
        now += choices.random() * 0.01
        team = ledger.next_team(teams, now)
        ledger.start(team, now)
        ledger.finish(team, now + 0.005)
    return {"grant_seconds": (time.process_time() - started) / GRANTS}


RUN_BY_NAME = {
    "instances": Run(measure_instances, (1_000, 5_000, 10_000, 20_000)),
    "teams": Run(measure_teams, (150, 300, 600)),
    "entries": Run(measure_entries, (23, 46, 69)),
    "results": Run(measure_results, (5_000, 10_000, 20_000)),
    "allowances": Run(measure_allowances, (5_000, 10_000, 20_000)),
    "exchange": Run(capacitypeers.measure_exchange, (50, 200, 600)),
    "spare": Run(capacitypeers.measure_spare, (6, 60, 600)),
    "count": Run(measure_count, (50, 200, 600)),
    "held": Run(capacitypeers.measure_held, (8, 64, 256)),
    "links": Run(capacitypeers.measure_links, (23, 46, 69)),
    "usable": Run(measure_usable, (200, 400, 870)),
    "ledger": Run(measure_ledger, (50, 200, 600)),
}
