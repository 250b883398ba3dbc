"""The folded state: tables of immutable objects.

Only the fold writes to it, through `State.put` and `State.drop`, which keep an
undo journal so that a batch can be rolled back as a whole.
"""

import collections
import contextlib
from collections.abc import Iterator
from typing import Any

import msgspec

from sardinedrift import changes, objects
from sardinedrift.identifiers import (
    ChangeId,
    DataCentreId,
    EntryId,
    EntryState,
    InstanceId,
    JobId,
    KeyId,
    MoveId,
    Offset,
    PoolId,
    QueueId,
    RuleId,
    TeamId,
    WaveId,
)

_MISSING = object()


class Tables(msgspec.Struct):
    """All tables; a snapshot contains their JSON form."""

    offset: Offset = Offset(-1)
    time: float = 0.0
    data_centre_by_id: dict[DataCentreId, objects.DataCentre] = {}
    team_by_id: dict[TeamId, objects.Team] = {}
    key_by_id: dict[KeyId, objects.Key] = {}
    pool_by_id: dict[PoolId, objects.Pool] = {}
    queue_by_id: dict[QueueId, objects.Queue] = {}
    rule_by_id: dict[RuleId, objects.Rule] = {}
    instance_by_id: dict[InstanceId, objects.Instance] = {}
    move_by_id: dict[MoveId, objects.Move] = {}
    wave_by_id: dict[WaveId, objects.Wave] = {}
    entry_by_id: dict[EntryId, objects.Entry] = {}
    memberships_by_data_centre: dict[
        DataCentreId, tuple[objects.Membership, ...]
    ] = {}
    allowances_by_team: dict[TeamId, objects.Allowances] = {}
    longest_run_by_team: dict[str, float] = {}
    sequence_by_publisher: dict[EntryId, int] = {}
    snapshot_by_id: dict[str, objects.Snapshot] = {}
    result_by_change_id: dict[ChangeId, tuple[float, changes.Result]] = {}
    job_by_id: dict[JobId, objects.Job] = {}
    worker_use_by_instance: dict[InstanceId, objects.WorkerUse] = {}


class State:
    """The state as of one offset of the log.

    Attributes:
        tables: the tables; only the fold may write to them.
        version_by_table: number of writes to each table, so that readers
            detect changes without comparing rows.
    """

    def __init__(self, tables: Tables | None = None):
        self.tables = tables or Tables()
        self.version_by_table: collections.Counter[str] = collections.Counter()
        self._journal: list[tuple[str, Any, Any]] = []
        self._instance_ids_by_location: dict[
            tuple[DataCentreId, PoolId], set[InstanceId]
        ] = collections.defaultdict(set)
        self._instance_id_by_address: dict[str, InstanceId] = {}
        # Caches of queries that every request makes; writes invalidate them.
        self._instances_by_location: dict[
            tuple[DataCentreId, PoolId], tuple[objects.Instance, ...]
        ] = {}
        self._active_by_data_centre: dict[DataCentreId, list[EntryId]] = {}
        self._lent_ids: set[InstanceId] = set()
        for instance in self.tables.instance_by_id.values():
            self._index(instance)

    @property
    def offset(self) -> Offset:
        """Offset of the last folded record; -1 before the first."""
        return self.tables.offset

    @property
    def time(self) -> float:
        """Append time of the last folded record, in unix seconds."""
        return self.tables.time

    def put(self, table: str, key: Any, value: Any) -> None:
        """Inserts or replaces one object."""
        rows = getattr(self.tables, table)
        self._journal.append((table, key, rows.get(key, _MISSING)))
        self._write(table, rows, key, value)

    def drop(self, table: str, key: Any) -> None:
        """Removes one object, if present."""
        rows = getattr(self.tables, table)
        self._journal.append((table, key, rows.get(key, _MISSING)))
        self._write(table, rows, key, _MISSING)

    @contextlib.contextmanager
    def transaction(self) -> Iterator[None]:
        """Rolls back all writes of the block if it raises."""
        start = len(self._journal)
        try:
            yield
        except BaseException:
            self._undo(start)
            raise

    def clear_journal(self) -> None:
        """Discards the undo journal; earlier writes become permanent."""
        self._journal.clear()

    def instances_at(
        self, data_centre_id: DataCentreId, pool_id: PoolId
    ) -> tuple[objects.Instance, ...]:
        """Returns the instances of a pool in a data centre, in id order."""
        location = (data_centre_id, pool_id)
        instances = self._instances_by_location.get(location)
        if instances is None:
            ids = sorted(self._instance_ids_by_location.get(location, ()))
            rows = self.tables.instance_by_id
            instances = tuple(rows[each] for each in ids)
            self._instances_by_location[location] = instances
        return instances

    def instance_at_address(self, address: str) -> InstanceId | None:
        """Returns the id of the instance at an address, which is unique."""
        return self._instance_id_by_address.get(address)

    def instances_in(
        self, data_centre_id: DataCentreId
    ) -> Iterator[objects.Instance]:
        """Yields the instances of a data centre in all pools."""
        for (each, _), ids in self._instance_ids_by_location.items():
            if each == data_centre_id:
                for instance_id in ids:
                    yield self.tables.instance_by_id[instance_id]

    def instances_of(self, pool_id: PoolId) -> Iterator[objects.Instance]:
        """Yields the instances of a pool in all data centres."""
        for (_, pool), ids in self._instance_ids_by_location.items():
            if pool == pool_id:
                for instance_id in ids:
                    yield self.tables.instance_by_id[instance_id]

    def lent_instances(self) -> list[objects.Instance]:
        """Returns the instances lent to waves, in id order."""
        ids = sorted(self._lent_ids)
        return [self.tables.instance_by_id[each] for each in ids]

    def data_centres_of(self, pool_id: PoolId) -> set[DataCentreId]:
        """Returns the data centres that have instances of a pool."""
        return {
            data_centre_id
            for (data_centre_id, pool), ids in (
                self._instance_ids_by_location.items()
            )
            if pool == pool_id and ids
        }

    def active_entries(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns the ids of the active entries of a data centre, sorted."""
        active = self._active_by_data_centre.get(data_centre_id)
        if active is None:
            active = sorted(
                entry.entry_id
                for entry in self.tables.entry_by_id.values()
                if entry.state is EntryState.ACTIVE
                and entry.data_centre_id == data_centre_id
            )
            self._active_by_data_centre[data_centre_id] = active
        return list(active)

    def share_of(self, team_id: TeamId, pool_id: PoolId) -> float:
        """Returns the share of a team in a pool; 1.0 for unknown teams."""
        for rule in self.tables.rule_by_id.values():
            if rule.pool_id == pool_id and rule.team_id == team_id:
                return rule.share
        team = self.tables.team_by_id.get(team_id)
        return team.share if team else 1.0

    def unallocated(self, team_id: TeamId) -> int:
        """Returns the unallocated units of the limit of a team.

        Negative after the limit was lowered below the allocated units.
        """
        team = self.tables.team_by_id.get(team_id)
        allowances = self.tables.allowances_by_team.get(team_id)
        return (team.limit if team else 0) - (
            allowances.total if allowances else 0
        )

    def placed_jobs(self, instance_id: InstanceId) -> list[objects.Job]:
        """Returns the jobs placed on a worker, in order of placement."""
        use = self.tables.worker_use_by_instance.get(instance_id)
        job_ids = use.job_ids if use else ()
        return [self.tables.job_by_id[each] for each in job_ids]

    def _write(self, table: str, rows: dict, key: Any, value: Any) -> None:
        if table == "instance_by_id":
            old = rows.get(key)
            if old is not None:
                location = (old.data_centre_id, old.pool_id)
                self._instance_ids_by_location[location].discard(key)
                self._instances_by_location.pop(location, None)
                self._instance_id_by_address.pop(old.address, None)
                self._lent_ids.discard(key)
            if value is not _MISSING:
                self._index(value)
        elif table == "entry_by_id":
            self._active_by_data_centre.clear()
        if value is _MISSING:
            rows.pop(key, None)
        else:
            rows[key] = value
        self.version_by_table[table] += 1

    def _index(self, instance: objects.Instance) -> None:
        location = (instance.data_centre_id, instance.pool_id)
        self._instance_ids_by_location[location].add(instance.instance_id)
        self._instances_by_location.pop(location, None)
        self._instance_id_by_address[instance.address] = instance.instance_id
        if instance.lent_from is not None:
            self._lent_ids.add(instance.instance_id)

    def _undo(self, start: int) -> None:
        while len(self._journal) > start:
            table, key, old = self._journal.pop()
            self._write(table, getattr(self.tables, table), key, old)
