"""Decodes the configuration and the waves that operators publish."""

import msgspec

from sardinedrift.clientbounds import LegalBounds
from sardinedrift.engine.configurationentries import (
    ClientKey,
    ConfigurationEntries,
)
from sardinedrift.engine.model import (
    Configuration,
    MachineId,
    Pool,
    Queue,
    QueuePolicy,
    Team,
    WaveNumber,
)
from sardinedrift.engine.ports import WaveOrder
from sardinedrift.identifiers import DataCentreId, PoolId, QueueId, TeamId
from sardinedrift.jsoncodec import decode_json
from sardinedrift.platform.fields import Count, Name, Quantity, Resources

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"
EVACUATION_PREFIX = "evacuate/"


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: Count = 0
    max_attempts: Count = 1
    stretch: float = 1.0
    target_latency_ms: Count = 0
    # Calls without an API key are accepted.
    anonymous: bool = False
    # Present when the advice service names the workers that may run a step.
    advice: msgspec.Raw | None = None


class _Service(msgspec.Struct, frozen=True):
    name: str
    spare: bool = False
    rejects_overload: bool = True
    cold_per_s: Quantity = 0.0


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    # Despite its name not a count: the resources that the running tasks of a
    # client account may use in all pools together.
    max_count: Resources = Resources()


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: Count = 262144
    max_header_bytes: Count = 16384
    header_timeout_ms: Count = 3000
    idle_timeout_ms: Count = 15_000

    def legal_bounds(self) -> LegalBounds:
        return LegalBounds(
            header_bytes=self.max_header_bytes,
            body_bytes=self.max_body_bytes,
            header_s=self.header_timeout_ms / 1000,
            idle_s=self.idle_timeout_ms / 1000,
        )


class _Configuration(msgspec.Struct, frozen=True):
    version: Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Wave(msgspec.Struct, frozen=True):
    wave: Count
    machines: tuple[Name, ...]
    duration_s: float
    # Maximum number of machines in upkeep at the same time.
    max_count: Count = 1


class _Evacuation(msgspec.Struct, frozen=True):
    """Request for an evacuation; it has no fields at present."""


def decode_configuration(data: bytes) -> Configuration:
    """Decodes the record of a configuration.

    Raises:
        msgspec.DecodeError: the record is malformed or lacks a field.
    """
    return decode_entries(data).configuration()


def decode_entries(data: bytes) -> ConfigurationEntries:
    """Decodes the entries of a configuration, also repeated ones.

    Raises:
        msgspec.DecodeError: the record is malformed or lacks a field.
    """
    record = decode_json(data, _Configuration)
    return ConfigurationEntries(
        version=record.version,
        queues=tuple(_to_queue(route) for route in record.routes),
        pools=tuple(
            Pool(
                PoolId(each.name),
                each.spare,
                each.rejects_overload,
                each.cold_per_s,
            )
            for each in record.services
        ),
        teams=tuple(
            Team(TeamId(each.name), each.weight, each.max_count.size())
            for each in record.tenants
        ),
        keys=tuple(
            ClientKey(secret, TeamId(tenant.name))
            for tenant in record.tenants
            for secret in tenant.api_keys
        ),
        max_body_bytes=record.limits.max_body_bytes,
        legal_bounds=record.limits.legal_bounds(),
    )


def _to_queue(route: _Route) -> Queue:
    return Queue(
        queue_id=QueueId(route.name),
        host=route.host,
        prefix=route.path_prefix,
        policy=QueuePolicy(
            pool_id=PoolId(route.service),
            priority=route.priority,
            max_attempts=route.max_attempts,
            stretch=route.stretch,
            latency_ms=route.target_latency_ms,
            advised=route.advice is not None,
        ),
        anonymous=route.anonymous,
    )


def decode_wave(data: bytes) -> WaveOrder:
    """Decodes the record of a wave.

    Raises:
        msgspec.DecodeError: the record is malformed or lacks a field.
    """
    record = decode_json(data, _Wave)
    return WaveOrder(
        WaveNumber(record.wave),
        tuple(MachineId(name) for name in record.machines),
        record.duration_s,
        record.max_count,
    )


def evacuated_data_centre(key: str) -> DataCentreId | None:
    """Returns the data centre in the key of an evacuation, if there is one."""
    return DataCentreId(key.removeprefix(EVACUATION_PREFIX)) or None


def check_evacuation(data: bytes) -> None:
    """Checks the record of an evacuation.

    Raises:
        msgspec.DecodeError: the record is no JSON object.
    """
    decode_json(data, _Evacuation)


def encode_wave_state(completed: bool) -> bytes:
    """Returns the record that reports the state of a wave to operators."""
    state = "completed" if completed else "running"
    return msgspec.json.encode({"state": state})
