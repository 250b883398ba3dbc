"""Reads the configurations that are checked, from files and from entries."""

import enum
import re
from collections.abc import Iterator

from sardinedrift import desired, fleetreview
from sardinedrift.adminclient import AdminClient
from sardinedrift.exceptions import SettingsError
from sardinedrift.findings import Finding, FindingKind
from sardinedrift.platform import configurationfile
from sardinedrift.settingsfiles import read_settings_file
from sardinedrift.yamlfiles import decode_mapping

# Longer numbers are no offsets and no versions.
_VERSION = re.compile(r"[0-9]{1,16}")


class ConfigurationFormat(enum.Enum):
    """Format of a configuration file.

    Attributes:
        FLEET: YAML, as `sardinedrift apply` takes it.
        PLATFORM: JSON, as operators publish it on their platform.
    """

    FLEET = "fleet"
    PLATFORM = "platform"


def detect_format(content: bytes) -> ConfigurationFormat:
    """Returns the format of a file; one that begins with `{` is JSON."""
    if content.lstrip(b"\xef\xbb\xbf \t\r\n").startswith(b"{"):
        return ConfigurationFormat.PLATFORM
    return ConfigurationFormat.FLEET


def check(
    path: str,
    content: bytes,
    file_format: ConfigurationFormat,
    against: str | None,
    client: AdminClient,
) -> list[Finding]:
    """Returns the findings on a file.

    Args:
        path: name of the file.
        content: its content.
        file_format: its format.
        against: a version or a file that it is compared with.
        client: client of an entry that has the version in force.

    Raises:
        SettingsError: the file, or what it is compared with, cannot be read.
        AdminRefused: the entry answered with an error.
        AdminUnreachable: no entry answered.
    """
    if file_format is ConfigurationFormat.PLATFORM:
        return list(_check_platform_file(path, content, against))
    return list(_check_fleet_file(path, content, against, client))


def _check_platform_file(
    path: str, content: bytes, against: str | None
) -> Iterator[Finding]:
    wanted = configurationfile.decode_file(path, content)
    if against is None:
        yield from configurationfile.check_file(wanted)
    elif is_version(against):
        yield from configurationfile.check_file(
            wanted, version_in_force=int(against)
        )
    else:
        in_force = configurationfile.decode_file(
            against, read_settings_file(against)
        )
        yield from configurationfile.check_file(wanted, in_force)


def _check_fleet_file(
    path: str, content: bytes, against: str | None, client: AdminClient
) -> Iterator[Finding]:
    file = desired.read(decode_mapping(path, content))
    if against is None:
        in_force = None
    elif is_version(against):
        in_force = fleet_in_force(client, int(against))
    else:
        in_force = desired.load(against)
    for error in file.errors:
        yield Finding(FindingKind.ERROR, error.key, "", "", error.message)
    yield from fleetreview.review(file.desired, in_force)


def is_version(text: str) -> bool:
    """Whether a text names a version, and not a file."""
    return bool(_VERSION.fullmatch(text))


def fleet_in_force(
    client: AdminClient, version: int
) -> desired.DesiredConfiguration:
    """Returns the configuration that an entry has in force.

    Args:
        client: client of the entry.
        version: offset that the entry must have applied.

    Raises:
        SettingsError: the entry is at an earlier offset.
        AdminRefused: it answered with an error.
        AdminUnreachable: no entry answered.
    """
    offset = client.get("/v1/status")["offset"]
    if offset < version:
        raise SettingsError(
            f"--against {version}: the entry has applied offset {offset} only"
        )
    changes_by_section = {}
    for section in desired.SECTIONS:
        names = desired.field_names(section.change_type)
        changes_by_section[section.name] = [
            desired.read_row(
                section.change_type,
                {name: row[name] for name in names if name in row},
            )
            for row in client.rows(section.collection)
        ]
    return desired.DesiredConfiguration(changes_by_section)
