"""Measurements of the state, each run in a process of its own."""

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


class Measurement(NamedTuple):
    """A measurement and the sizes at which it is made.

    Attributes:
        measure: returns the measured quantities for a size.
        sizes: sizes to measure.
    """

    measure: Callable[[int], dict[str, float]]
    sizes: tuple[int, ...]


class _NoLeavingView:
    """Stub of the instance view in which no instance is leaving."""

    def leaving(self, instance_id: str) -> bool:
        del instance_id
        return False


class StateBuilder:
    """Builds a state by folding changes as records of the log."""

    def __init__(self) -> None:
        self.state = State()
        self.time = 1e9

    def put(self, *changes: ch.AnyChange, step: float = 0.001) -> None:
        """Folds changes as one record."""
        self.time += step
        data = ch.encode_batch(ch.Batch(changes))
        fold.apply_record(self.state, self.state.offset + 1, self.time, data)

    def expire_results(self) -> None:
        """Advances the time so that the results of all changes expire."""
        self.time += 2 * fold.RESULT_RETENTION_SECONDS
        self.put()


def change(kind: type, number: int = 0, /, **fields) -> ch.AnyChange:
    """Returns a change whose id has the length of an operator's change id.

    An allowance change gets the number as its sequence number instead.
    """
    if issubclass(kind, AllowanceChange):
        return kind(sequence=number, **fields)
    if issubclass(kind, ch.OperatorChange):
        fields.setdefault("expected_revision", 0)
    return kind(change_id=f"{number:032x}", **fields)


def put_base(builder: StateBuilder) -> None:
    """Folds the data centres and pools."""
    for number in range(DATA_CENTRES):
        builder.put(
            change(
                ch.PutDataCentre,
                1_000_000 + number,
                data_centre_id=f"dc{number}",
                region="north",
            )
        )
    for number in range(POOLS):
        builder.put(
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


def _entry_join(number: int) -> ch.AnyChange:
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


def _measure_memory(
    build: Callable[[StateBuilder], None],
    prepare: Callable[[StateBuilder], None] | None = None,
) -> dict[str, float]:
    """Measures the growth of memory and snapshot by a build.

    Args:
        build: folds the changes to measure.
        prepare: folds changes that are not measured, before the build.
    """
    builder = StateBuilder()
    put_base(builder)
    if prepare:
        prepare(builder)
    builder.expire_results()
    gc.collect()
    resident_before = resident_mb(os.getpid())
    bytes_before = len(msgspec.json.encode(builder.state.tables))
    build(builder)
    builder.expire_results()
    gc.collect()
    data = msgspec.json.encode(builder.state.tables)
    resident_growth = resident_mb(os.getpid()) - resident_before
    return {
        "resident_bytes": resident_growth * 2**20,
        "snapshot_json_bytes": len(data) - bytes_before,
        "snapshot_bytes": len(snapshots.encode(builder.state)),
    }


def measure_instances(size: int) -> dict[str, float]:
    """Measures the state and its encoding by the number of instances."""
    builders: list[StateBuilder] = []

    def build(builder: StateBuilder) -> None:
        builders.append(builder)
        for number in range(size):
            builder.put(instance_change(number))

    result = _measure_memory(build)
    started = time.perf_counter()
    data = msgspec.json.encode(builders[0].state.tables)
    encoded = time.perf_counter()
    zlib.compress(data, 6)
    result["encode_seconds"] = encoded - started
    result["compress_seconds"] = time.perf_counter() - encoded
    return result


def put_entries(builder: StateBuilder, count: int = ENTRIES) -> None:
    """Folds joins of entries, acknowledged by all members."""
    for number in range(count):
        builder.put(_entry_join(number))
    for entry in list(builder.state.tables.entry_by_id.values()):
        for member in entry.waiting:
            builder.put(
                change(
                    ch.EntryJoinAck,
                    hash((member, entry.entry_id)) & 2**60 - 1,
                    entry_id=member,
                    joiner_id=entry.entry_id,
                )
            )


def _take_allowances(
    builder: StateBuilder, number: int, entry_id: EntryId, teams: int
) -> None:
    units = {f"team-{each:04d}": 4 for each in range(teams)}
    builder.put(
        change(
            ch.AllowanceTake,
            4_000_000 + number,
            publisher_id=entry_id,
            units_by_team=units,
        )
    )


def measure_teams(size: int) -> dict[str, float]:
    """Measures the state by the number of teams.

    Each entry has an allowance of each team.
    """

    def build(builder: StateBuilder) -> None:
        for number in range(size):
            builder.put(*team_changes(number))
        entries = list(builder.state.tables.entry_by_id)
        for number, entry_id in enumerate(entries):
            _take_allowances(builder, number, entry_id, size)

    return _measure_memory(build, put_entries)


def measure_entries(size: int) -> dict[str, float]:
    """Measures the state by the number of entries.

    Each entry has allowances of 600 teams.
    """

    def put_teams(builder: StateBuilder) -> None:
        for number in range(600):
            builder.put(*team_changes(number))

    def build(builder: StateBuilder) -> None:
        put_entries(builder, size)
        for number, entry_id in enumerate(
            list(builder.state.tables.entry_by_id)
        ):
            _take_allowances(builder, number, entry_id, 600)

    return _measure_memory(build, put_teams)


def measure_results(size: int) -> dict[str, float]:
    """Measures the results of changes, which are kept for an hour."""

    def make(number: int, entry_id: EntryId) -> ch.AnyChange:
        return change(
            ch.EntryJoinAck, number, entry_id=entry_id, joiner_id="absent"
        )

    return _measure_folding(size, make)


def measure_allowances(size: int) -> dict[str, float]:
    """Measures allowance changes, of which only the last sequence is kept."""

    def make(number: int, entry_id: EntryId) -> ch.AnyChange:
        return change(
            ch.AllowanceTake,
            number,
            publisher_id=entry_id,
            units_by_team={"team-0000": 0},
        )

    return _measure_folding(size, make)


def _measure_folding(
    size: int, make: Callable[[int, EntryId], ch.AnyChange]
) -> dict[str, float]:
    """Measures memory and time of folding a number of changes.

    Args:
        size: number of changes.
        make: creates a change from a number and the id of an entry.
    """
    builder = StateBuilder()
    put_base(builder)
    put_entries(builder, 1)
    builder.put(*team_changes(0))
    gc.collect()
    resident_before = resident_mb(os.getpid())
    entry_id = next(iter(builder.state.tables.entry_by_id))
    started = time.process_time()
    for number in range(size):
        builder.put(make(5_000_000 + number, entry_id))
    cpu_seconds = time.process_time() - started
    gc.collect()
    resident_growth = resident_mb(os.getpid()) - resident_before
    return {
        "resident_bytes": resident_growth * 2**20,
        "snapshot_json_bytes": len(msgspec.json.encode(builder.state.tables)),
        "fold_seconds": cpu_seconds,
    }


class _FollowerStub(NamedTuple):
    """The part of a follower that `Limits` reads."""

    state: State
    log_up: bool = True


def measure_count(size: int) -> dict[str, float]:
    """Measures counting the spare units of an entry by the number of teams.

    Each entry has units of each team.
    """
    builder = StateBuilder()
    put_base(builder)
    put_entries(builder)
    for number in range(size):
        builder.put(*team_changes(number))
    entry_ids = list(builder.state.tables.entry_by_id)
    for number, entry_id in enumerate(entry_ids):
        _take_allowances(builder, number, entry_id, size)
    identity = Identity(entry_ids[0], "dc0", "10.200.0.0:7000")
    limits = Limits(
        identity, _FollowerStub(builder.state), None, None, SystemClock()
    )
    for number in range(size):
        # Spare units are counted only of teams that were looked up before.
        limits.running(f"team-{number:04d}")
    rounds = 20
    started = time.process_time()
    for _ in range(rounds):
        spare_units = limits.spare_units()
    cpu_seconds = (time.process_time() - started) / rounds
    return {"count_seconds": cpu_seconds, "teams_with_spare": len(spare_units)}


def measure_usable(size: int) -> dict[str, float]:
    """Measures finding the usable pools of a data centre for an exchange."""
    builder = StateBuilder()
    put_base(builder)
    for number in range(size):
        builder.put(instance_change(number * DATA_CENTRES))
    view = _NoLeavingView()
    rounds = 50
    started = time.process_time()
    for _ in range(rounds):
        endpoints.usable_pools(builder.state, "dc0", view)
    return {"call_seconds": (time.process_time() - started) / rounds}


def measure_ledger(size: int) -> dict[str, float]:
    """Measures a grant and its end by the number of waiting teams."""
    ledger = ShareLedger(lambda team: 1.0)
    teams = [f"team-{number:04d}" for number in range(size)]
    rng = random.Random(1)
    now = 1e9
    for team in teams:
        ledger.start_waiting(team, now)
    started = time.process_time()
    for _ in range(GRANTS):
        now += rng.random() * 0.01
        team = ledger.next_team(teams, now)
        ledger.start(team, now)
        ledger.finish(team, now + 0.005)
    return {"grant_seconds": (time.process_time() - started) / GRANTS}


MEASUREMENT_BY_NAME = {
    "instances": Measurement(measure_instances, (1_000, 5_000, 10_000, 20_000)),
    "teams": Measurement(measure_teams, (150, 300, 600)),
    "entries": Measurement(measure_entries, (23, 46, 69)),
    "results": Measurement(measure_results, (5_000, 10_000, 20_000)),
    "allowances": Measurement(measure_allowances, (5_000, 10_000, 20_000)),
    "exchange": Measurement(capacitypeers.measure_exchange, (50, 200, 600)),
    "spare": Measurement(capacitypeers.measure_spare, (6, 60, 600)),
    "count": Measurement(measure_count, (50, 200, 600)),
    "held": Measurement(capacitypeers.measure_held, (8, 64, 256)),
    "links": Measurement(capacitypeers.measure_links, (23, 46, 69)),
    "usable": Measurement(measure_usable, (200, 400, 870)),
    "ledger": Measurement(measure_ledger, (50, 200, 600)),
}
