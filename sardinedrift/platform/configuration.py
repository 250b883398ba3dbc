"""The configuration and the waves that operators publish in the store."""

import msgspec

from sardinedrift.engine.model import (
    Configuration,
    MachineId,
    Pool,
    Queue,
    Size,
    Team,
    WaveNumber,
)
from sardinedrift.engine.ports import WaveOrder
from sardinedrift.identifiers import PoolId, QueueId, TeamId

CONFIGURATION_KEY = "config"
WAVE_PREFIX = "wave/"


class _Room(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    def size(self) -> Size:
        return Size(self.cpu, self.mem_mb, self.gpu)


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: int = 0
    # Here: calls without a key are allowed.
    anonymous: bool = False
    # Present where only some workers may run a step.
    advice: msgspec.Raw | None = None


class _Service(msgspec.Struct, frozen=True):
    name: str
    spare: bool = False
    rejects_overload: bool = True


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    weight: float = 1.0
    # Not a number of anything: what may be running in all pools together.
    max_count: _Room = _Room()


class _Limits(msgspec.Struct, frozen=True):
    max_body_bytes: int = 262144


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


class _Wave(msgspec.Struct, frozen=True):
    wave: int
    machines: tuple[str, ...]
    duration_s: float
    # Most machines in upkeep at the same time.
    max_count: int = 1


_configuration_decoder = msgspec.json.Decoder(_Configuration)
_wave_decoder = msgspec.json.Decoder(_Wave)


def decode_configuration(data: bytes) -> Configuration:
    """Returns the configuration in a record.

    Raises:
        msgspec.DecodeError: it can't be understood.
    """
    read = _configuration_decoder.decode(data)
    return Configuration(
        version=read.version,
        queue_by_id={
            QueueId(route.name): _queue(route) for route in read.routes
        },
        pool_by_id={
            PoolId(service.name): Pool(
                PoolId(service.name), service.spare, service.rejects_overload
            )
            for service in read.services
        },
        team_by_id={
            TeamId(tenant.name): Team(
                TeamId(tenant.name), tenant.weight, tenant.max_count.size()
            )
            for tenant in read.tenants
        },
        team_id_by_key={
            key: TeamId(tenant.name)
            for tenant in read.tenants
            for key in tenant.api_keys
        },
        max_body_bytes=read.limits.max_body_bytes,
    )


def _queue(route: _Route) -> Queue:
    return Queue(
        queue_id=QueueId(route.name),
        host=route.host,
        prefix=route.path_prefix,
        pool_id=PoolId(route.service),
        priority=route.priority,
        max_attempts=route.max_attempts,
        anonymous=route.anonymous,
        stretch=route.stretch,
        latency_ms=route.target_latency_ms,
        advised=route.advice is not None,
    )


def decode_wave(data: bytes) -> WaveOrder:
    """Returns the wave in a record.

    Raises:
        msgspec.DecodeError: it can't be understood.
    """
    read = _wave_decoder.decode(data)
    return WaveOrder(
        WaveNumber(read.wave),
        tuple(MachineId(name) for name in read.machines),
        read.duration_s,
        read.max_count,
    )


def encode_wave_state(completed: bool) -> bytes:
    """Returns the record that tells operators how a wave is."""
    state = "completed" if completed else "running"
    return msgspec.json.encode({"state": state})
