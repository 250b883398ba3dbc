"""Checks files with a configuration as operators publish it."""

import json
from collections.abc import Iterator
from typing import Any

import msgspec

from sardinedrift.engine import configurationreview
from sardinedrift.engine.configurationentries import ConfigurationEntries
from sardinedrift.exceptions import SettingsError
from sardinedrift.findings import Finding
from sardinedrift.platform.configuration import decode_entries

# Names of the lists and fields in the record, by the project's names.
_LIST_BY_SECTION = {
    configurationreview.QUEUES: "routes",
    configurationreview.POOLS: "services",
    configurationreview.ACCOUNTS: "tenants",
}
_NAME_BY_FIELD = {
    "prefix": "path_prefix",
    "policy.pool_id": "service",
    "policy.priority": "priority",
    "policy.max_attempts": "max_attempts",
    "policy.stretch": "stretch",
    "policy.latency_ms": "target_latency_ms",
    "policy.advised": "advice",
    "guarded": "rejects_overload",
    "keys": "api_keys",
    "header_bytes": "max_header_bytes",
    "header_ms": "header_timeout_ms",
    "idle_ms": "idle_timeout_ms",
    "limit.cpu": "max_count.cpu",
    "limit.memory_mb": "max_count.mem_mb",
    "limit.accelerators": "max_count.gpu",
}


def decode_file(path: str, content: bytes) -> ConfigurationEntries:
    """Decodes the content of a file.

    Raises:
        SettingsError: the content is not such a configuration, or a key of an
            object is given twice.
    """
    try:
        entries = decode_entries(content)
        json.loads(content, object_pairs_hook=_reject_repeated_keys)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
    except (msgspec.DecodeError, ValueError) as error:
        raise SettingsError(f"{path}: is not valid JSON: {error}") from error
    except RecursionError as error:
        raise SettingsError(f"{path}: is nested too deeply") from error
    return entries


def check_file(
    wanted: ConfigurationEntries,
    in_force: ConfigurationEntries | None = None,
    version_in_force: int | None = None,
) -> Iterator[Finding]:
    """Yields the findings on a configuration, with the names of the record.

    Args:
        wanted: the configuration.
        in_force: the one that it replaces, if known.
        version_in_force: version of that one, if only this is known.
    """
    for finding in configurationreview.review(
        wanted, in_force, version_in_force
    ):
        yield msgspec.structs.replace(
            finding,
            section=_LIST_BY_SECTION.get(finding.section, finding.section),
            field=_NAME_BY_FIELD.get(finding.field, finding.field),
        )


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> None:
    """Rejects keys of which only the last one would count."""
    seen = set()
    for name, _ in pairs:
        if name in seen:
            raise ValueError(f"key {name!r} is given twice")
        seen.add(name)
