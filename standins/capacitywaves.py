"""Measures what an entry spends on a wave in which it can do nothing now."""

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
from standins.capacityruns import Folding, change

_ENTRY = EntryId("dc0-me")
_POOL = "pool0"
_PASSES = 100


class _Platform:
    """The entry's surroundings: it is alone, and every instance is listed."""

    def live_members(self, data_centre_id: DataCentreId) -> list[EntryId]:
        """Returns this entry only."""
        del data_centre_id
        return [_ENTRY]

    def listed(self, instance_id: str) -> bool:
        """Tells that an instance is listed."""
        del instance_id
        return True

    def leaving(self, instance_id: str) -> bool:
        """Tells that an instance does not leave."""
        del instance_id
        return False

    async def reboot(
        self, instance_id: InstanceId, token: str, deadline: float
    ) -> bool:
        """Tells that a reboot has not ended."""
        del instance_id, token, deadline
        return False


class _PublishingFolding(Folding):
    """Folds what is published at once."""

    async def publish(
        self, changes: Iterable[ch.AnyChange], deadline: float
    ) -> list[ch.Result]:
        """Folds changes; see `Publisher`."""
        del deadline
        self.put(*changes)
        results = self.state.tables.result_by_change_id
        return [results[each.change_id][1] for each in changes]


def wave_at_budget(size: int) -> Folding:
    """Returns a wave whose budget is used up by its first instance."""
    folding = _PublishingFolding()
    folding.put(
        change(ch.PutDataCentre, 1, data_centre_id="dc0", region="north"),
        change(ch.PutPool, 2, pool_id=_POOL, max_unavailable=1),
    )
    for number in range(size):
        folding.put(
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
    folding.put(
        change(ch.StartWave, 3, wave_id="wave", pool_id=_POOL, canary=0)
    )
    return folding


def widen_budget(folding: Folding) -> None:
    """Lets the wave take a second instance."""
    folding.put(
        change(
            ch.PutPool,
            4,
            pool_id=_POOL,
            max_unavailable=2,
            max_unavailable_per_rack=2,
            expected_revision=1,
        )
    )


def driver(folding: Folding) -> WaveDriver:
    """Returns the driver of an entry that is alone."""
    platform = _Platform()
    return WaveDriver(
        Identity(_ENTRY, "dc0", "10.0.0.1:1"),
        folding,
        folding,
        platform,
        platform,
        platform,
        platform,
        SystemClock(),
    )


async def _pass_seconds(folding: Folding) -> float:
    """Returns the CPU seconds of one pass while nothing can be done."""
    waves = driver(folding)
    await waves.step()
    await waves.step()
    started = time.process_time()
    for _ in range(_PASSES):
        await waves.step()
    return (time.process_time() - started) / _PASSES


def measure_waves(size: int) -> dict[str, float]:
    """Measures a pass over one wave by instances of its pool."""
    seconds = asyncio.run(_pass_seconds(wave_at_budget(size)))
    return {"pass_seconds": seconds}
