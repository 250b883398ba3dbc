"""The settings file that the platform writes for each process."""

import pathlib
from typing import Any

import msgspec

from sardinedrift.exceptions import SettingsError

VARIABLE = "SARDINEDRIFT_CONFIG"
# A settings file has a few kilobytes; anything larger is not one.
MOST_BYTES = 1 << 20


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, as "host:port"; `front` is for callers."""

    front: str
    ready: str = msgspec.field(name="readiness_addr", default="")


class Bounds(msgspec.Struct, frozen=True):
    """Time bounds that operators promise to callers.

    Attributes:
        revoke_ms: a withdrawn key stops working within this time.
        grace_s: a process has this long to end after SIGTERM.
        lease_ms: orders of two controllers for one machine are further apart.
        status_s: the state of an ended job is told for this long.
    """

    revoke_ms: int = 5000
    grace_s: float = 6.0
    lease_ms: int = 3000
    status_s: float = 120.0


class Service(msgspec.Struct, frozen=True):
    """Where a service of the platform is."""

    address: str = ""


class Limits(msgspec.Struct, frozen=True):
    """What the machine carries.

    Attributes:
        cpu_share: share of a core that the process gets.
        cores: speed of that core; 1 is the usual.
        link_mbps: megabits a second of the network link.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class Settings(msgspec.Struct, frozen=True):
    """Settings of one process.

    Attributes:
        node: name of this process, unique in the deployment.
        advice: address of the advice service, or "".
    """

    node: str
    zone: str
    ip: str
    listen: Listen
    store: Service = msgspec.field(name="platform")
    machines: Service = msgspec.field(name="cloud", default=Service())
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    advice: str = ""


def load(path: str | pathlib.Path) -> Settings:
    """Reads a settings file of lines "a.b=value".

    Raises:
        SettingsError: it can't be read, is too large or lacks a field.
    """
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        raise SettingsError(f"{path}: {error}") from error
    if len(data) > MOST_BYTES:
        raise SettingsError(f"{path}: larger than {MOST_BYTES} bytes")
    return parse(data.decode(errors="replace"), str(path))


def parse(text: str, path: str) -> Settings:
    """Returns the settings in a text; unknown fields are passed over."""
    table: dict[str, Any] = {}
    for line in text.splitlines():
        name, equals, value = line.strip().partition("=")
        if not equals or name.startswith("#"):
            continue
        *parents, last = name.strip().split(".")
        inner = table
        for parent in parents:
            inner = inner.setdefault(parent, {})
            if not isinstance(inner, dict):
                raise SettingsError(f"{path}: {name}: both value and table")
        inner[last] = value.strip()
    try:
        return msgspec.convert(table, Settings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
