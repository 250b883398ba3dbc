"""Measures the CPU time of a pass over a wave while no step is possible."""

import asyncio
import time
from collections.abc import Iterable

from sardinedrift import changes as ch
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    Identity,
    InstanceId,
    InstanceKind,
)
from sardinedrift.runtime import SystemClock
from sardinedrift.waves import WaveDriver
from standins.capacityruns import StateBuilder, change

_ENTRY = EntryId("dc0-me")
_POOL = "pool0"
_MEASURED_PASSES = 100


class _Platform:
    """Stub of peers, instance view, instance list and minions.

    The entry is the only member, and every instance is listed.
    """

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns this entry only."""
        del data_centre_id
        return [_ENTRY]

    def listed(self, instance_id: str) -> bool:
        """Returns True, as every instance is listed."""
        del instance_id
        return True

    def leaving(self, instance_id: str) -> bool:
        """Returns False, as no instance is leaving."""
        del instance_id
        return False

    async def reboot(
        self, instance_id: InstanceId, token: str, deadline: float
    ) -> bool:
        """Returns False, as no reboot ends."""
        del instance_id, token, deadline
        return False


class _PublishingBuilder(StateBuilder):
    """Stub of follower and publisher; folds published changes at once."""

    async def publish(
        self, changes: Iterable[ch.AnyChange], deadline: float
    ) -> list[ch.Result]:
        """Folds changes; see `Publisher`."""
        del deadline
        self.put(*changes)
        results = self.state.tables.result_by_change_id
        return [results[each.change_id][1] for each in changes]


def wave_with_exhausted_budget(size: int) -> StateBuilder:
    """Returns a state with a wave whose first instance exhausts the budget."""
    builder = _PublishingBuilder()
    builder.put(
        change(ch.PutDataCentre, 1, data_centre_id="dc0", region="north"),
        change(ch.PutPool, 2, pool_id=_POOL, max_unavailable=1),
    )
    for number in range(size):
        builder.put(
            change(
                ch.PutInstance,
                100 + number,
                instance_id=f"minion-{number:04d}",
                kind=InstanceKind.MINION,
                data_centre_id="dc0",
                pool_id=_POOL,
                rack=f"rack-{number // 40}",
                address=f"10.0.{number >> 8}.{number & 255}:9000",
            )
        )
    builder.put(
        change(ch.StartWave, 3, wave_id="wave", pool_id=_POOL, canary=0)
    )
    return builder


def raise_budget(builder: StateBuilder) -> None:
    """Raises the budget so that the wave can take a second instance."""
    builder.put(
        change(
            ch.PutPool,
            4,
            pool_id=_POOL,
            max_unavailable=2,
            max_unavailable_per_rack=2,
            expected_revision=1,
        )
    )


def driver(builder: StateBuilder) -> WaveDriver:
    """Returns the wave driver of an entry that is the only member."""
    platform = _Platform()
    return WaveDriver(
        Identity(_ENTRY, "dc0", "10.0.0.1:1"),
        builder,
        builder,
        platform,
        platform,
        platform,
        platform,
        SystemClock(),
    )


async def _pass_seconds(builder: StateBuilder) -> float:
    """Returns the CPU seconds of one pass while no step is possible."""
    waves = driver(builder)
    await waves.step()
    await waves.step()
    started = time.process_time()
    for _ in range(_MEASURED_PASSES):
        await waves.step()
    return (time.process_time() - started) / _MEASURED_PASSES


def measure_waves(size: int) -> dict[str, float]:
    """Measures a pass over one wave by the number of instances of its pool."""
    seconds = asyncio.run(_pass_seconds(wave_with_exhausted_budget(size)))
    return {"pass_seconds": seconds}
