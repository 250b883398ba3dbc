"""Settings of one entry process, read from a YAML file.

The description of each field states its allowed values and is part of every
error message.
"""

import ipaddress
import pathlib
from typing import Any, Literal, Self

import pydantic
from pydantic import Field

from sardinedrift.addresses import split_address
from sardinedrift.exceptions import SettingsError
from sardinedrift.identifiers import NAME_PATTERN
from sardinedrift.yamlfiles import read_mapping

LISTENERS = ("callers", "peers", "admin")

_ADDRESS_FORMAT = "IP address and port, such as 127.0.0.1:7100 or [::1]:7100"


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP address and port, given as one string or as host and port."""

    host: str = Field(description="an IP address; host names are not resolved")
    port: int = Field(ge=0, le=65535, description="0 to 65535")

    @pydantic.model_validator(mode="before")
    @classmethod
    def _parse_text(cls, value: Any) -> Any:
        if not isinstance(value, str):
            return value
        host, port = split_address(value)
        return {"host": host, "port": port}

    @pydantic.field_validator("host")
    @classmethod
    def _check_host(cls, value: str) -> str:
        return str(ipaddress.ip_address(value))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Timings(_Model):
    """Intervals and timeouts in seconds."""

    # A default can be invalid in combination with a given value.
    model_config = pydantic.ConfigDict(validate_default=True)

    heartbeat_seconds: float = Field(
        0.25, ge=0.05, le=5, description="0.05 to 5"
    )
    peer_dead_seconds: float = Field(
        0.75, ge=0.1, le=30, description="0.1 to 30, above heartbeat_seconds"
    )
    remote_heartbeat_seconds: float = Field(
        1.0, ge=0.05, le=30, description="0.05 to 30"
    )
    remote_dead_seconds: float = Field(
        3.0,
        ge=0.1,
        le=120,
        description="0.1 to 120, above remote_heartbeat_seconds",
    )
    grace_seconds: float = Field(
        5.0,
        ge=0,
        le=300,
        description="0 to 300; from not ready until the caller listener closes",
    )
    # One day, the maximum run time that a queue may allow.
    drain_seconds: float = Field(
        86_400.0,
        ge=1,
        le=86_400,
        description="1 to 86400; timeout for requests in progress at a stop",
    )
    snapshot_interval_seconds: float = Field(
        1800.0, ge=1, le=86_400, description="1 to 86400"
    )

    @pydantic.field_validator("peer_dead_seconds", "remote_dead_seconds")
    @classmethod
    def _check_above_heartbeat(
        cls, value: float, info: pydantic.ValidationInfo
    ) -> float:
        heartbeat = {
            "peer_dead_seconds": "heartbeat_seconds",
            "remote_dead_seconds": "remote_heartbeat_seconds",
        }[info.field_name]
        if value <= info.data.get(heartbeat, 0.0):
            raise ValueError(f"must be above {heartbeat}")
        return value


class Logs(_Model):
    """Format and minimum level of log lines."""

    format: Literal["text", "json"] = Field("text", description="text or json")
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        "INFO", description="DEBUG, INFO, WARNING or ERROR"
    )


class Limits(_Model):
    """Limits on the requests and connections of callers to this entry.

    A limit without a default is derived from the memory and the descriptors.
    """

    max_body_bytes: int = Field(
        8 << 20, ge=1024, le=64 << 20, description="1024 to 67108864"
    )
    max_waiting_requests: int = Field(
        4096, ge=1, le=1_000_000, description="1 to 1000000"
    )
    max_wait_seconds: float = Field(
        60.0, gt=0, le=3600, description="above 0, up to 3600"
    )
    memory_mb: float = Field(
        2048,
        ge=64,
        le=1 << 20,
        description="64 to 1048576; memory of the process in MiB",
    )
    max_fds: int = Field(
        16_384,
        ge=256,
        le=1 << 20,
        description="256 to 1048576; descriptors of the process",
    )
    max_connections: int | None = Field(
        None, ge=1, le=1 << 20, description="1 to 1048576 connections"
    )
    max_received_bytes: int | None = Field(
        None,
        ge=1 << 20,
        le=1 << 40,
        description="1048576 to 2^40; header sections and bodies held",
    )
    max_header_bytes: int = Field(
        16_384, ge=1024, le=1 << 20, description="1024 to 1048576"
    )
    header_timeout_seconds: float = Field(
        3.0,
        ge=0.1,
        le=300,
        description="0.1 to 300; for receiving a header section",
    )
    idle_timeout_seconds: float = Field(
        60.0,
        ge=0.1,
        le=86_400,
        description="0.1 to 86400; between two requests of a connection",
    )
    body_progress_seconds: float = Field(
        3.0, ge=0.1, le=300, description="0.1 to 300; for 1024 bytes of a body"
    )
    response_unread_seconds: float = Field(
        5.0,
        ge=0.1,
        le=300,
        description="0.1 to 300; for the caller to read 1024 bytes",
    )
    memory_wait_seconds: float = Field(
        1.0,
        ge=0,
        le=60,
        description="0 to 60; for memory that other requests hold",
    )


class Settings(_Model):
    """All settings of one entry."""

    data_centre: str = Field(
        pattern=NAME_PATTERN,
        description="1 to 63 of a-z, 0-9, '_' and '-', letter or digit first",
    )
    callers: Address = Field(description=_ADDRESS_FORMAT)
    peers: Address = Field(description=_ADDRESS_FORMAT)
    admin: Address = Field(description=_ADDRESS_FORMAT)
    seeds: tuple[Address, ...] = Field(
        (), description=f"list of peer addresses: {_ADDRESS_FORMAT}"
    )
    log_service: Address = Field(description=_ADDRESS_FORMAT)
    instance_list: Address = Field(description=_ADDRESS_FORMAT)
    timings: Timings = Field(Timings(), description="a mapping")
    logs: Logs = Field(Logs(), description="a mapping")
    limits: Limits = Field(Limits(), description="a mapping")
    test_controls: bool = Field(
        False, description="true or false; true permits fault injection"
    )

    @pydantic.model_validator(mode="after")
    def _check_ports(self) -> Self:
        listeners = {name: getattr(self, name) for name in LISTENERS}
        for name, other in _port_conflicts(listeners):
            raise ValueError(f"{name}: uses the same port as {other}")
        return self


def load(path: str | pathlib.Path) -> Settings:
    """Reads the settings of an entry.

    Raises:
        SettingsError: one line for each error, with the file, the path of the
            key and the allowed values.
    """
    data = read_mapping(path)
    errors: list[str] = []
    try:
        settings = Settings.model_validate(data)
    except pydantic.ValidationError as error:
        errors = [
            _describe_error(each) for each in error.errors() if each["loc"]
        ]
    # Pydantic skips the check inside the model if any field is invalid.
    for name, other in _port_conflicts(_valid_listeners(data)):
        errors.append(
            f"{name}: uses the same port as {other}; allowed: another port"
        )
    if errors:
        raise SettingsError("\n".join(f"{path}: {each}" for each in errors))
    return settings


def _port_conflicts(listeners: dict[str, Address]) -> list[tuple[str, str]]:
    """Returns pairs of listeners on the same port; 0 stands for a free one."""
    conflicts = []
    name_by_port: dict[int, str] = {}
    for name, address in listeners.items():
        if address.port and address.port in name_by_port:
            conflicts.append((name, name_by_port[address.port]))
        name_by_port.setdefault(address.port, name)
    return conflicts


def _valid_listeners(data: dict[str, Any]) -> dict[str, Address]:
    listeners = {}
    for name in LISTENERS:
        try:
            listeners[name] = Address.model_validate(data.get(name))
        except pydantic.ValidationError:
            continue
    return listeners


def _describe_error(error: Any) -> str:
    location = error["loc"]
    path = ".".join(str(part) for part in location)
    if error["type"] == "extra_forbidden":
        model = _model_at(location[:-1])
        keys = ", ".join(model.model_fields) if model else "none"
        return f"{path}: unknown key; allowed: {keys}"
    allowed = _allowed_at(location)
    if error["type"] == "missing":
        return f"{path}: is missing; allowed: {allowed}"
    reason = error["msg"].removeprefix("Value error, ")
    return f"{path}: {error['input']!r}: {reason}; allowed: {allowed}"


def _model_at(location: tuple) -> type[pydantic.BaseModel] | None:
    model: type[pydantic.BaseModel] | None = Settings
    for part in location:
        if isinstance(part, int):
            model = Address
            continue
        field = model.model_fields.get(part) if model else None
        kind = field.annotation if field else None
        is_model = isinstance(kind, type) and issubclass(kind, _Model)
        model = kind if is_model else None
    return model


def _allowed_at(location: tuple) -> str:
    while location and isinstance(location[-1], int):
        location = location[:-1]
    model = _model_at(location[:-1])
    field = model.model_fields.get(location[-1]) if model else None
    return (field.description if field else "") or _ADDRESS_FORMAT
