"""Drives maintenance waves; the fold decides, this asks and reports."""

import asyncio
import itertools
import uuid
from collections.abc import Iterable, Iterator

from loguru import logger
from prometheus_client import Counter

from sardinedrift import budgets, fold, lending, objects
from sardinedrift import changes as ch
from sardinedrift.exceptions import InstanceListError, SardinedriftError
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    ChangeId,
    Identity,
    InstanceId,
    InstanceKind,
    InstanceState,
    MoveId,
    PoolId,
    WaveId,
    WaveState,
    WaveStep,
)
from sardinedrift.instancelist import InstanceView
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock, InstanceList, MinionPort
from sardinedrift.publisher import Publisher
from sardinedrift.routing import rendezvous

_TICK_SECONDS = 0.1
_PUBLISH_SECONDS = 5.0
_CALL_SECONDS = 2.0
# Each candidate costs one count of its pool; the rest waits for the next pass.
_MOST_CANDIDATES = 32
# The fold compares with the time of the record, which the log's clock sets.
_DEADLINE_MARGIN_SECONDS = 0.1
# What decides which steps are possible.
_TABLES = ("wave_by_id", "instance_by_id", "pool_by_id", "data_centre_by_id")

_steps = Counter(
    "sardinedrift_wave_steps_total",
    "Steps of waves that this entry has published.",
    ["step"],
)


class _Look:
    """What was found in a wave, valid until the state changes.

    Attributes:
        rebooting: instances of this data centre that reboot.
        settled: no step is possible before the state changes.
    """

    __slots__ = ("rebooting", "settled", "wave")

    def __init__(self, wave: objects.Wave, rebooting: list[objects.Instance]):
        self.wave = wave
        self.rebooting = rebooting
        self.settled = False


class WaveDriver:
    """Drives the instances of one data centre through all waves.

    One live member of the data centre does this for each wave. Two at once,
    for a moment, do no harm: the fold accepts each step once, and a reboot
    is ordered with a token of the wave.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        view: InstanceView,
        instance_list: InstanceList,
        minions: MinionPort,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._view = view
        self._list = instance_list
        self._minions = minions
        self._clock = clock
        self._ordered: set[tuple[str, InstanceId]] = set()
        self._versions: tuple = ()
        self._looks: list[_Look] = []

    async def run(self) -> None:
        """Drives waves until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Takes the steps that are possible now in all driven waves."""
        looks = list(self._driven())
        if not looks:
            self._ordered.clear()
        for look in looks:
            await self._advance(look)

    def _driven(self) -> Iterator[_Look]:
        """Yields the waves with work left that this entry drives."""
        here = self._identity.data_centre_id
        members = self._peers.live_members(here)
        for look in self._current_looks():
            driver = rendezvous(f"wave/{look.wave.wave_id}/{here}", members)
            if driver == self._identity.entry_id:
                yield look

    def _current_looks(self) -> list[_Look]:
        """Returns the waves with work left; counted only after a change.

        A pass over a wave of 870 instances takes 4 ms, ten times a second.
        """
        versions = self._current_versions()
        if versions != self._versions:
            state = self._follower.state
            self._versions = versions
            self._looks = [
                _Look(wave, list(self._at_step(wave, WaveStep.REBOOTING)))
                for wave in state.tables.wave_by_id.values()
                if self._has_work(wave)
            ]
        return self._looks

    def _has_work(self, wave: objects.Wave) -> bool:
        """Tells whether a wave runs, or was stopped and is to be finished."""
        if wave.state is not WaveState.STOPPED:
            return wave.state is WaveState.RUNNING
        under_way = wave.count(WaveStep.DRAINING) + wave.count(
            WaveStep.REBOOTING
        )
        lent = budgets.borrowed_instances(self._follower.state, wave.wave_id)
        return bool(under_way or lent)

    async def _advance(self, look: _Look) -> None:
        """Takes every step of a wave that is possible now."""
        changes: list[ch.AnyChange] = [*await self._returned(look)]
        if not look.settled:
            possible = self._possible(look.wave.wave_id)
            look.settled = not possible
            changes += possible
        if changes:
            await self._publish(changes)

    def _possible(self, wave_id: WaveId) -> list[ch.AnyChange]:
        """Returns the steps that follow from the state alone."""
        wave = self._follower.state.tables.wave_by_id.get(wave_id)
        if wave is None:
            return []
        unchanged = self._versions == self._current_versions()
        possible = [*self._drained(wave), *self._moves_or_takes(wave)]
        if unchanged:
            # Rehearsals are undone, but count as changes of the tables.
            self._versions = self._current_versions()
        return possible

    def _current_versions(self) -> tuple:
        state = self._follower.state
        counts = state.version_by_table
        return (id(state), *(counts[each] for each in _TABLES))

    async def _publish(self, changes: list[ch.AnyChange]) -> None:
        deadline = self._clock.now() + _PUBLISH_SECONDS
        try:
            results = await self._publisher.publish(changes, deadline)
        except SardinedriftError as error:
            logger.debug("wave steps not published: {}", error)
            return
        for change, result in zip(changes, results, strict=True):
            if result.accepted:
                _note(change)

    def _moves_or_takes(self, wave: objects.Wave) -> list[ch.AnyChange]:
        """Returns the next loans, else takes; at the end, the moves home."""
        if wave.state is not WaveState.RUNNING or lending.all_ended(wave):
            return self._accepted(self._moves_home(wave))
        loans = self._accepted(self._loans(wave))
        if loans or self._loan_under_way(wave):
            return loans
        return self._accepted(self._takes(wave))

    def _accepted(self, changes: Iterator[ch.AnyChange]) -> list[ch.AnyChange]:
        """Keeps the changes that the fold would accept in this order now."""
        batch = ch.Batch(tuple(itertools.islice(changes, _MOST_CANDIDATES)))
        results = fold.rehearse(self._follower.state, batch)
        pairs = zip(batch.changes, results, strict=True)
        return [change for change, result in pairs if result.accepted]

    def _loans(self, wave: objects.Wave) -> Iterator[ch.StartMove]:
        """Yields moves of instances of spare pools to the pool of a wave."""
        state = self._follower.state
        if len(budgets.borrowed_instances(state, wave.wave_id)) >= wave.borrow:
            return
        for pool in state.tables.pool_by_id.values():
            if not pool.spare or pool.pool_id == wave.pool_id:
                continue
            for instance in self._instances_at(pool.pool_id):
                if instance.available and instance.lent_from is None:
                    yield _move(wave, instance, wave.pool_id)

    def _instances_at(self, pool_id: PoolId) -> list[objects.Instance]:
        here = self._identity.data_centre_id
        return self._follower.state.instances_at(here, pool_id)

    def _loan_under_way(self, wave: objects.Wave) -> bool:
        lent = budgets.borrowed_instances(self._follower.state, wave.wave_id)
        return any(each.pool_id != wave.pool_id for each in lent)

    def _moves_home(self, wave: objects.Wave) -> Iterator[ch.StartMove]:
        for instance in budgets.borrowed_instances(
            self._follower.state, wave.wave_id
        ):
            there = instance.pool_id == wave.pool_id
            active = instance.state is InstanceState.ACTIVE
            if there and active and self._is_here(instance):
                yield _move(wave, instance, instance.lent_from)

    def _takes(self, wave: objects.Wave) -> Iterator[ch.WaveTake]:
        """Yields takes: instances that are gone, then down, then by rack."""
        state = self._follower.state
        pool = state.tables.pool_by_id[wave.pool_id]
        used = budgets.usage(state, pool.pool_id)
        room = pool.max_unavailable + used.lent - used.unavailable
        pending = self._pending(wave)
        for instance_id, instance in sorted(pending, key=_order):
            if instance and instance.available:
                in_rack = used.unavailable_by_rack[budgets.rack_of(instance)]
                if room <= 0 or in_rack >= pool.max_unavailable_per_rack:
                    continue
            yield ch.WaveTake(
                change_id=_new_id(),
                wave_id=wave.wave_id,
                instance_id=instance_id,
            )

    def _pending(
        self, wave: objects.Wave
    ) -> Iterator[tuple[InstanceId, objects.Instance | None]]:
        """Yields what waits here; removed instances have no data centre."""
        table = self._follower.state.tables.instance_by_id
        for instance_id, step in wave.step_by_instance.items():
            instance = table.get(instance_id)
            if step is not WaveStep.PENDING:
                continue
            if instance is None or self._is_here(instance):
                yield instance_id, instance

    def _at_step(
        self, wave: objects.Wave, step: WaveStep
    ) -> Iterator[objects.Instance]:
        """Yields the instances of this data centre at a step."""
        table = self._follower.state.tables.instance_by_id
        for instance_id, each in wave.step_by_instance.items():
            instance = table.get(instance_id)
            if each is step and instance and self._is_here(instance):
                yield instance

    def _is_here(self, instance: objects.Instance) -> bool:
        return instance.data_centre_id == self._identity.data_centre_id

    def _drained(self, wave: objects.Wave) -> Iterator[ch.WaveProgress]:
        for instance in self._at_step(wave, WaveStep.DRAINING):
            if instance.state is InstanceState.DRAINED:
                yield _progress(wave, instance, WaveStep.REBOOTING)

    async def _returned(self, look: _Look) -> list[ch.WaveProgress]:
        """Returns the steps of instances that are back or too late."""
        back = await asyncio.gather(
            *(self._is_back(look.wave, each) for each in look.rebooting)
        )
        pairs = zip(look.rebooting, back, strict=True)
        return [*self._ends(look.wave, pairs)]

    def _ends(
        self,
        wave: objects.Wave,
        pairs: Iterable[tuple[objects.Instance, bool]],
    ) -> Iterator[ch.WaveProgress]:
        limit = self._clock.now() - _DEADLINE_MARGIN_SECONDS
        for instance, back in pairs:
            deadline = wave.return_deadline_by_instance[instance.instance_id]
            if back:
                yield _progress(wave, instance, WaveStep.BACK)
            elif limit >= deadline:
                yield _progress(wave, instance, WaveStep.FAILED)

    async def _is_back(
        self, wave: objects.Wave, instance: objects.Instance
    ) -> bool:
        """Orders the reboot once; tells whether the instance is back."""
        instance_id = instance.instance_id
        key = (wave.reboot_token, instance_id)
        live = self._view.listed(instance_id)
        live = live and not self._view.leaving(instance_id)
        if key in self._ordered and not live:
            return False
        deadline = self._clock.now() + _CALL_SECONDS
        try:
            done = await self._list.reboot(
                instance_id, wave.reboot_token, deadline
            )
        except InstanceListError as error:
            logger.debug("reboot of {} not confirmed: {}", instance_id, error)
            return False
        self._ordered.add(key)
        if not done or not live:
            return False
        # None of our protocols reaches a guarded worker; the list must do.
        if instance.kind is InstanceKind.WORKER:
            return True
        return await self._minions.probe(instance.address, deadline)


def _order(pair: tuple[InstanceId, objects.Instance | None]) -> tuple:
    instance_id, instance = pair
    if instance is None:
        return (False, "", "", instance_id)
    return (instance.up, *budgets.rack_of(instance), instance_id)


def _new_id() -> ChangeId:
    return ChangeId(str(uuid.uuid4()))


def _move(
    wave: objects.Wave, instance: objects.Instance, pool_id: PoolId
) -> ch.StartMove:
    change_id = _new_id()
    return ch.StartMove(
        change_id=change_id,
        expected_revision=instance.revision,
        move_id=MoveId(f"loan-{change_id}"),
        instance_id=instance.instance_id,
        pool_id=pool_id,
        wave_id=wave.wave_id,
    )


def _progress(
    wave: objects.Wave, instance: objects.Instance, step: WaveStep
) -> ch.WaveProgress:
    return ch.WaveProgress(
        change_id=_new_id(),
        wave_id=wave.wave_id,
        instance_id=instance.instance_id,
        step=step,
    )


def _note(change: ch.AnyChange) -> None:
    """Counts an accepted step and logs it."""
    step = "move"
    if isinstance(change, ch.WaveTake):
        step = WaveStep.DRAINING.value
    elif isinstance(change, ch.WaveProgress):
        step = change.step.value
    _steps.labels(step).inc()
    logger.bind(wave_id=change.wave_id, instance_id=change.instance_id).info(
        "wave step: {}", step
    )
