"""Loads the settings file that the platform writes for each process."""

import pathlib
from typing import Annotated, Any

import msgspec

from sardinedrift.exceptions import SettingsError
from sardinedrift.settingsfiles import read_settings_file

SETTINGS_PATH_VARIABLE = "SARDINEDRIFT_CONFIG"


class Listen(msgspec.Struct, frozen=True):
    """Addresses to listen on, each as "host:port".

    Attributes:
        front: address for calls of callers.
        ready: address for readiness checks, or "" for none.
    """

    front: str
    ready: str = msgspec.field(name="readiness_addr", default="")


class Bounds(msgspec.Struct, frozen=True):
    """Time bounds that operators promise to callers.

    Attributes:
        revoke_ms: maximum time until a withdrawn API key stops working.
        grace_s: maximum time from SIGTERM to the end of the process.
        lease_ms: minimum time between the orders of two controllers for one
            machine.
        status_s: time for which the state of an ended job can be queried.
        max_hold_ms: longest lease that a worker grants.
    """

    revoke_ms: int = 5000
    grace_s: float = 6.0
    lease_ms: int = 3000
    status_s: float = 120.0
    max_hold_ms: int = 10_000


class Service(msgspec.Struct, frozen=True):
    """A service of the platform.

    Attributes:
        address: "host:port".
    """

    address: str = ""


class Store(msgspec.Struct, frozen=True):
    """The store of the platform.

    Attributes:
        address: "host:port".
        reads_per_s: rate limit for the reads of all entries together; 0 when
            it is not stated.
        record_bytes: maximum size of a record; None when it is not stated.
    """

    address: str = ""
    reads_per_s: float = 0.0
    record_bytes: int | None = None


class Limits(msgspec.Struct, frozen=True):
    """Resources of the machine.

    Attributes:
        cpu_share: share of a CPU core that the process may use.
        cores: speed of that core relative to a standard core.
        link_mbps: capacity of the network link, in megabits per second.
        memory_mb: memory that the process may use, in MiB.
        max_fds: number of descriptors that the process may have.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: Annotated[float, msgspec.Meta(ge=1)] = 200.0
    max_fds: Annotated[int, msgspec.Meta(ge=1)] = 4096


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
    store: Store = msgspec.field(name="platform")
    machines: Service = msgspec.field(name="cloud", default=Service())
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    advice: str = ""


def load(path: str | pathlib.Path) -> Settings:
    """Reads a settings file of lines "a.b=value".

    Raises:
        SettingsError: the file cannot be read, is too large, lacks a field or
            has a malformed value.
    """
    content = read_settings_file(path)
    return parse(content.decode(errors="replace"), str(path))


def parse(text: str, path: str) -> Settings:
    """Parses lines "a.b=value"; ignores comments and unknown fields.

    Args:
        text: content of a settings file.
        path: path of the file, for error messages.

    Raises:
        SettingsError: a field is missing or malformed, or has both a value and
            fields of its own.
    """
    table: dict[str, Any] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if not separator or name.startswith("#"):
            continue
        *parents, key = name.strip().split(".")
        innermost = table
        for parent in parents:
            innermost = innermost.setdefault(parent, {})
            if not isinstance(innermost, dict):
                raise SettingsError(
                    f"{path}: {name}: a parent of this field has a value"
                )
        innermost[key] = value.strip()
    try:
        return msgspec.convert(table, Settings, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from error
