"""Checks what the objects of a fleet's configuration say together.

The decisions use the objects alone: a file, and the configuration in force that
it is applied to. Objects in force that the file does not name stay.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from sardinedrift import changes as ch
from sardinedrift import fold
from sardinedrift.desired import SECTIONS, DesiredConfiguration, plan
from sardinedrift.findings import Finding, FindingKind, differences
from sardinedrift.identifiers import (
    DataCentreId,
    InstanceId,
    InstanceKind,
    PoolId,
    QueueId,
    RuleId,
    TeamId,
    WorkClass,
)
from sardinedrift.state import State


class Fleet(NamedTuple):
    """The objects of a configuration, in the order of the sections."""

    data_centre_by_id: dict[DataCentreId, ch.PutDataCentre]
    team_by_id: dict[TeamId, ch.PutTeam]
    pool_by_id: dict[PoolId, ch.PutPool]
    queue_by_id: dict[QueueId, ch.PutQueue]
    rule_by_id: dict[RuleId, ch.PutRule]
    instance_by_id: dict[InstanceId, ch.PutInstance]


class _Index(NamedTuple):
    """What is looked up of a pool, as a file can have many objects."""

    instances_by_pool: dict[PoolId, list[ch.PutInstance]]
    queues_by_pool: dict[PoolId, list[ch.PutQueue]]

    @classmethod
    def of(cls, fleet: Fleet) -> "_Index":
        index = cls({}, {})
        for instance in fleet.instance_by_id.values():
            instances = index.instances_by_pool
            instances.setdefault(instance.pool_id, []).append(instance)
        for queue in fleet.queue_by_id.values():
            index.queues_by_pool.setdefault(queue.pool_id, []).append(queue)
        return index

    def has_instance(self, pool_id: PoolId, kind: InstanceKind) -> bool:
        """Whether a pool has instances of a kind."""
        instances = self.instances_by_pool.get(pool_id, ())
        return any(instance.kind is kind for instance in instances)


def review(
    wanted: DesiredConfiguration, in_force: DesiredConfiguration | None = None
) -> Iterator[Finding]:
    """Yields the findings on a file.

    Problems that the configuration in force has already are left out, unless
    they are of an object in the file.

    Args:
        wanted: content of the file.
        in_force: the configuration that the file is applied to, if known.
    """
    named = _fleet(wanted)
    before = _fleet(in_force or DesiredConfiguration({}))
    after = _apply(before, named)
    known = set(_problems(before)) if in_force else set()
    object_ids = {
        section.name: objects
        for section, objects in zip(SECTIONS, named, strict=True)
    }
    for finding in _problems(after):
        in_file = finding.object_id in object_ids.get(finding.section, ())
        if in_file or finding not in known:
            yield finding
    if in_force is not None:
        yield from _fixed_fields(before, named)
        yield from _differences(before, named)


def _fleet(configuration: DesiredConfiguration) -> Fleet:
    return Fleet(
        *(
            {
                getattr(change, section.id_field): change
                for change in configuration.changes_by_section.get(
                    section.name, ()
                )
            }
            for section in SECTIONS
        )
    )


def _apply(before: Fleet, named: Fleet) -> Fleet:
    """Returns the objects after a file is applied.

    An instance keeps its pool and its data centre, which no file changes.
    """
    after = Fleet(
        *({**old, **new} for old, new in zip(before, named, strict=True))
    )
    for instance_id, instance in before.instance_by_id.items():
        after.instance_by_id[instance_id] = msgspec.structs.replace(
            after.instance_by_id[instance_id],
            pool_id=instance.pool_id,
            data_centre_id=instance.data_centre_id,
        )
    return after


def _differences(before: Fleet, named: Fleet) -> Iterator[Finding]:
    for section, old, new in zip(SECTIONS, before, named, strict=True):
        yield from differences(section.name, old, new)
        others = len(old.keys() - new.keys())
        if others:
            yield Finding(
                FindingKind.DIFFERENCE,
                section.name,
                "",
                "",
                f"{others} in force are not in the file, and stay unchanged",
            )


def _fixed_fields(before: Fleet, named: Fleet) -> Iterator[Finding]:
    """Yields the fields of instances that a file cannot change."""
    for instance_id, new in named.instance_by_id.items():
        old = before.instance_by_id.get(instance_id)
        if old is None:
            continue
        if new.pool_id != old.pool_id:
            yield _finding(
                FindingKind.ERROR,
                new,
                "pool_id",
                f"stays {old.pool_id!r}; use `sardinedrift move start`",
            )
        if new.data_centre_id != old.data_centre_id:
            yield _finding(
                FindingKind.ERROR,
                new,
                "data_centre_id",
                f"is fixed as {old.data_centre_id!r}; remove the instance and "
                "import it again",
            )


def _problems(fleet: Fleet) -> Iterator[Finding]:
    index = _Index.of(fleet)
    yield from _rejections(fleet)
    for queue in fleet.queue_by_id.values():
        yield from _queue_problems(fleet, index, queue)
    for rule in fleet.rule_by_id.values():
        yield from _rule_problems(fleet, index, rule)
    for pool in fleet.pool_by_id.values():
        yield from _pool_problems(index, pool)
    for instance in fleet.instance_by_id.values():
        yield from _instance_problems(instance)


def _rejections(fleet: Fleet) -> Iterator[Finding]:
    """Yields the changes that the fold would reject, on an empty state."""
    configuration = DesiredConfiguration(
        {
            section.name: list(objects.values())
            for section, objects in zip(SECTIONS, fleet, strict=True)
        }
    )
    changes = tuple(plan(configuration, {}, "check").changes)
    results = fold.rehearse(State(), ch.Batch(changes))
    for change, result in zip(changes, results, strict=True):
        if not result.accepted:
            yield _finding(
                FindingKind.ERROR, change, result.field, result.message
            )


def _queue_problems(
    fleet: Fleet, index: _Index, queue: ch.PutQueue
) -> Iterator[Finding]:
    pool = fleet.pool_by_id.get(queue.pool_id)
    if (
        pool is not None
        and fleet.instance_by_id
        and not index.has_instance(queue.pool_id, InstanceKind.MINION)
    ):
        yield _finding(
            FindingKind.NEVER_MATCHES,
            queue,
            "pool_id",
            f"pool {queue.pool_id!r} has no minion that serves the queue",
        )
    if fleet.team_by_id and not _has_usable_team(fleet, queue):
        yield _finding(
            FindingKind.NEVER_MATCHES,
            queue,
            "team_ids",
            "every team that may use the queue has the limit 0",
        )
    is_long = queue.work_class is WorkClass.LONG
    if pool is not None and is_long and pool.quick_reserve >= 1:
        yield _finding(
            FindingKind.CONTRADICTION,
            queue,
            "work_class",
            f"quick_reserve of pool {queue.pool_id!r} leaves no slot for "
            "long-running work",
        )


def _has_usable_team(fleet: Fleet, queue: ch.PutQueue) -> bool:
    """Whether a team that may use a queue may run anything.

    Teams that do not exist are errors, and count as usable here.
    """
    team_ids = queue.team_ids or fleet.team_by_id
    return any(
        team_id not in fleet.team_by_id or fleet.team_by_id[team_id].limit
        for team_id in (*team_ids, *filter(None, (queue.open_team,)))
    )


def _may_use(team_id: TeamId, queue: ch.PutQueue) -> bool:
    """Whether a team may use a queue, by the rule of admission."""
    allowed = not queue.team_ids or team_id in queue.team_ids
    return allowed or team_id == queue.open_team


def _rule_problems(
    fleet: Fleet, index: _Index, rule: ch.PutRule
) -> Iterator[Finding]:
    # Jobs name a pool, so every team may use a pool with workers.
    if index.has_instance(rule.pool_id, InstanceKind.WORKER):
        return
    if rule.team_id not in fleet.team_by_id:
        return
    queues = index.queues_by_pool.get(rule.pool_id, ())
    if queues and not any(_may_use(rule.team_id, queue) for queue in queues):
        yield _finding(
            FindingKind.NEVER_MATCHES,
            rule,
            "team_id",
            f"team {rule.team_id!r} may use no queue of pool {rule.pool_id!r}",
        )


def _pool_problems(index: _Index, pool: ch.PutPool) -> Iterator[Finding]:
    budget, rack_budget = pool.max_unavailable, pool.max_unavailable_per_rack
    if bool(budget) != bool(rack_budget):
        yield _finding(
            FindingKind.CONTRADICTION,
            pool,
            "max_unavailable_per_rack" if budget else "max_unavailable",
            "is 0, so the other budget permits no wave either",
        )
    elif rack_budget > budget:
        yield _finding(
            FindingKind.CONTRADICTION,
            pool,
            "max_unavailable_per_rack",
            f"{rack_budget} is never reached, as max_unavailable is {budget}",
        )
    elif pool.spare and not budget:
        yield _finding(
            FindingKind.CONTRADICTION,
            pool,
            "spare",
            "the pool lends no instance, as max_unavailable is 0",
        )
    count = len(index.instances_by_pool.get(pool.pool_id, ()))
    if count > 1 and budget >= count:
        yield _finding(
            FindingKind.CONTRADICTION,
            pool,
            "max_unavailable",
            f"{budget} lets all {count} instances be unavailable at once",
        )


def _instance_problems(instance: ch.PutInstance) -> Iterator[Finding]:
    resources = (instance.cores, instance.memory_gb, instance.accelerators)
    if instance.kind is InstanceKind.WORKER and not any(resources):
        yield _finding(
            FindingKind.NEVER_MATCHES,
            instance,
            "cores",
            "a worker without cores, memory and accelerators fits no job",
        )


_SECTION_BY_TYPE = {section.change_type: section for section in SECTIONS}


def _finding(
    kind: FindingKind, change: ch.OperatorChange, field: str, message: str
) -> Finding:
    section = _SECTION_BY_TYPE[type(change)]
    object_id = getattr(change, section.id_field)
    return Finding(kind, section.name, object_id, field, message)
