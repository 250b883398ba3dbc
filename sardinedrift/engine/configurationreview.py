"""Checks what the entries of a published configuration say together.

The decisions use the entries alone, without I/O.
"""

import collections
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from sardinedrift.engine.configurationentries import (
    ClientKey,
    ConfigurationEntries,
)
from sardinedrift.engine.model import Configuration, Queue, Team
from sardinedrift.findings import Finding, FindingKind, differences, removals
from sardinedrift.identifiers import TeamId

QUEUES = "queues"
POOLS = "pools"
ACCOUNTS = "client accounts"
LIMITS = "limits"
VERSION = "version"


class _Limits(msgspec.Struct, frozen=True):
    """Limits of clients in whole units, as they are published."""

    max_body_bytes: int
    header_bytes: int
    header_ms: int
    idle_ms: int

    @classmethod
    def of(cls, configuration: Configuration) -> "_Limits":
        bounds = configuration.legal_bounds
        return cls(
            configuration.max_body_bytes,
            bounds.header_bytes,
            round(bounds.header_s * 1000),
            round(bounds.idle_s * 1000),
        )


_EFFECT_OF_0_BY_LIMIT = {
    "max_body_bytes": "0 refuses every job",
    "header_bytes": "0 permits no header section",
    "header_ms": "0 leaves no time for a header section",
    "idle_ms": "0 leaves no time between two calls on a connection",
}


class _Address(NamedTuple):
    """Host and path prefix of a queue."""

    host: str
    prefix: str

    @classmethod
    def of(cls, queue: Queue) -> "_Address":
        return cls(queue.host, queue.prefix)


class _Index(NamedTuple):
    """What is looked up of a configuration, as a file can have many entries.

    Attributes:
        queue_by_address: the queue that gets the calls to an address.
        teams_with_key: client accounts that have a key; an empty one admits
            no call, and does not count.
    """

    queue_by_address: dict[_Address, Queue]
    teams_with_key: set[TeamId]

    @classmethod
    def of(cls, configuration: Configuration) -> "_Index":
        queue_by_address: dict[_Address, Queue] = {}
        for queue in configuration.queue_by_id.values():
            # Of equally long prefixes, the first one is found.
            queue_by_address.setdefault(_Address.of(queue), queue)
        teams_with_key = {
            team_id
            for secret, team_id in configuration.team_id_by_key.items()
            if secret
        }
        return cls(queue_by_address, teams_with_key)


def review(
    wanted: ConfigurationEntries,
    in_force: ConfigurationEntries | None = None,
    version_in_force: int | None = None,
) -> Iterator[Finding]:
    """Yields the findings on a configuration.

    Args:
        wanted: the configuration.
        in_force: the one that it replaces, if known.
        version_in_force: version of that one, if only this is known.
    """
    configuration = wanted.configuration()
    index = _Index.of(configuration)
    yield from _repeated(QUEUES, (each.queue_id for each in wanted.queues))
    yield from _repeated(POOLS, (each.pool_id for each in wanted.pools))
    yield from _repeated(ACCOUNTS, (each.team_id for each in wanted.teams))
    for queue in configuration.queue_by_id.values():
        yield from _queue_problems(configuration, index, queue)
    yield from _pool_problems(configuration)
    for team in configuration.team_by_id.values():
        yield from _team_problems(index, team)
    yield from _key_problems(wanted.keys)
    yield from _limit_problems(_Limits.of(configuration))
    if in_force is not None:
        version_in_force = in_force.version
        yield from _differences(configuration, in_force.configuration())
    if version_in_force is not None:
        yield from _version_problems(wanted.version, version_in_force)


def _repeated(section: str, object_ids: Iterable[str]) -> Iterator[Finding]:
    for object_id, count in collections.Counter(object_ids).items():
        if count > 1:
            yield Finding(
                FindingKind.ERROR,
                section,
                object_id,
                "",
                f"is given {count} times; only the last one counts",
            )
        if not object_id:
            yield Finding(
                FindingKind.ERROR, section, object_id, "", "has no name"
            )


def _queue_problems(
    configuration: Configuration, index: _Index, queue: Queue
) -> Iterator[Finding]:
    yield from _address_problems(index, queue)
    policy = queue.policy
    pool = configuration.pool_by_id.get(policy.pool_id)
    if pool is None:
        yield _of_queue(
            FindingKind.ERROR,
            queue,
            "policy.pool_id",
            f"pool {policy.pool_id!r} does not exist",
        )
    elif pool.spare:
        yield _of_queue(
            FindingKind.NEVER_MATCHES,
            queue,
            "policy.pool_id",
            f"the machines of the spare pool {policy.pool_id!r} are off, so no "
            "task starts",
        )
    if not queue.anonymous and not index.teams_with_key:
        yield _of_queue(
            FindingKind.NEVER_MATCHES,
            queue,
            "anonymous",
            "calls need a key, and there is none",
        )
    if not policy.max_attempts:
        yield _of_queue(
            FindingKind.CONTRADICTION,
            queue,
            "policy.max_attempts",
            "0 counts as 1, as the first failure ends a job",
        )
    if policy.stretch < 1 and not policy.latency_ms:
        yield _of_queue(
            FindingKind.CONTRADICTION,
            queue,
            "policy.stretch",
            f"{policy.stretch:g} without a latency asks for jobs that complete "
            "before their critical path",
        )


def _address_problems(index: _Index, queue: Queue) -> Iterator[Finding]:
    """Yields why calls to the address of a queue do not reach it."""
    if ":" in queue.host and not queue.host.endswith("]"):
        yield _of_queue(
            FindingKind.NEVER_MATCHES,
            queue,
            "host",
            f"{queue.host!r} has a port, but hosts are compared without",
        )
    if not queue.host:
        yield _of_queue(
            FindingKind.NEVER_MATCHES, queue, "host", "no call has this host"
        )
    if not queue.prefix.startswith("/"):
        yield _of_queue(
            FindingKind.NEVER_MATCHES,
            queue,
            "prefix",
            f"no path begins with {queue.prefix!r}",
        )
        return
    reached = index.queue_by_address[_Address.of(queue)]
    if reached.queue_id != queue.queue_id:
        yield _of_queue(
            FindingKind.NEVER_MATCHES,
            queue,
            "prefix",
            f"queue {reached.queue_id!r} has the same host and prefix, and "
            "gets the calls",
        )


def _pool_problems(configuration: Configuration) -> Iterator[Finding]:
    used = {
        queue.policy.pool_id for queue in configuration.queue_by_id.values()
    }
    spare_ids = [
        pool.pool_id for pool in configuration.pool_by_id.values() if pool.spare
    ]
    for pool_id in spare_ids[1:]:
        yield Finding(
            FindingKind.NEVER_MATCHES,
            POOLS,
            pool_id,
            "spare",
            f"only the first spare pool, {spare_ids[0]!r}, is used",
        )
    for pool_id, pool in configuration.pool_by_id.items():
        if pool_id not in used and not pool.spare:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                POOLS,
                pool_id,
                "",
                "no queue uses the pool",
            )


def _team_problems(index: _Index, team: Team) -> Iterator[Finding]:
    if team.team_id not in index.teams_with_key:
        yield Finding(
            FindingKind.NEVER_MATCHES,
            ACCOUNTS,
            team.team_id,
            "keys",
            "no call counts for the account, as it has no key",
        )
    if team.weight <= 0:
        yield Finding(
            FindingKind.CONTRADICTION,
            ACCOUNTS,
            team.team_id,
            "weight",
            f"{team.weight:g} counts as 1",
        )


def _key_problems(keys: Iterable[ClientKey]) -> Iterator[Finding]:
    owners_by_label: dict[str, list[TeamId]] = {}
    for key in keys:
        if key.secret:
            owners_by_label.setdefault(key.label, []).append(key.team_id)
            continue
        yield Finding(
            FindingKind.ERROR,
            ACCOUNTS,
            key.team_id,
            "keys",
            "an empty key admits no call",
        )
    for label, owners in owners_by_label.items():
        if len(owners) > 1:
            yield Finding(
                FindingKind.ERROR,
                ACCOUNTS,
                owners[0],
                "keys",
                f"{label} is given {len(owners)} times; calls with it count "
                f"for {owners[-1]!r}",
            )


def _limit_problems(limits: _Limits) -> Iterator[Finding]:
    for field, effect in _EFFECT_OF_0_BY_LIMIT.items():
        if not getattr(limits, field):
            yield Finding(FindingKind.CONTRADICTION, LIMITS, "", field, effect)


def _version_problems(version: int, in_force: int) -> Iterator[Finding]:
    if version > in_force:
        return
    if version < in_force:
        message = f"version {in_force} is in force; {version} is ignored"
    else:
        message = (
            f"version {in_force} is in force already; an equal one is applied "
            "again"
        )
    yield Finding(FindingKind.ERROR, VERSION, "", "", message)


def _differences(
    wanted: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    for section, old, new in (
        (QUEUES, in_force.queue_by_id, wanted.queue_by_id),
        (POOLS, in_force.pool_by_id, wanted.pool_by_id),
        (ACCOUNTS, in_force.team_by_id, wanted.team_by_id),
        (LIMITS, _limits_by_id(in_force), _limits_by_id(wanted)),
    ):
        yield from differences(section, old, new)
        yield from removals(section, old, new)
    yield from _key_differences(wanted, in_force)


def _limits_by_id(configuration: Configuration) -> dict[str, _Limits]:
    return {"": _Limits.of(configuration)}


def _key_differences(
    wanted: Configuration, in_force: Configuration
) -> Iterator[Finding]:
    """Yields the keys that are granted, withdrawn or moved."""
    old, new = in_force.team_id_by_key, wanted.team_id_by_key
    for secret in dict.fromkeys((*old, *new)):
        before, after = old.get(secret), new.get(secret)
        if before == after:
            continue
        label = ClientKey(secret, after or before or TeamId("")).label
        if before is None:
            message = f"{label} is granted"
        elif after is None:
            message = f"{label} is withdrawn"
        else:
            message = f"{label} was of {before!r}"
        yield Finding(
            FindingKind.DIFFERENCE,
            ACCOUNTS,
            after or before or "",
            "keys",
            message,
        )


def _of_queue(
    kind: FindingKind, queue: Queue, field: str, message: str
) -> Finding:
    return Finding(kind, QUEUES, queue.queue_id, field, message)
