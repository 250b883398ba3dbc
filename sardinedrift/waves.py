"""Drives maintenance waves: proposes steps, which the fold accepts or rejects.

The driver also orders reboots and publishes their results.
"""

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

_STEP_INTERVAL_SECONDS = 0.1
_PUBLISH_TIMEOUT_SECONDS = 5.0
_CALL_TIMEOUT_SECONDS = 2.0
# The budget check of each candidate counts the whole pool; the remaining
# candidates are checked in the next pass.
_MAX_CANDIDATES = 32
# The fold compares deadlines with the time of the record, which is set by the
# clock of the log.
_DEADLINE_MARGIN_SECONDS = 0.1
# Tables that determine which steps are possible.
_STEP_TABLES = (
    "wave_by_id",
    "instance_by_id",
    "pool_by_id",
    "data_centre_by_id",
)

_steps = Counter(
    "sardinedrift_wave_steps_total",
    "Steps of waves that this entry has published.",
    ["step"],
)


class _WaveScan:
    """Work found in a wave, valid until the state changes.

    Attributes:
        rebooting: rebooting instances of this data centre.
        settled: whether no step is possible before the state changes.
    """

    __slots__ = ("rebooting", "settled", "wave")

    def __init__(self, wave: objects.Wave, rebooting: list[objects.Instance]):
        self.wave = wave
        self.rebooting = rebooting
        self.settled = False


class WaveDriver:
    """Drives the instances of one data centre through all waves.

    Each wave has one driver among the live members of the data centre. Two
    concurrent drivers are safe: the fold accepts each step once, and reboots
    are idempotent by the token of the wave.
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
        self._confirmed_reboots: set[tuple[str, InstanceId]] = set()
        self._scanned_versions: tuple = ()
        self._scans: list[_WaveScan] = []

    async def run(self) -> None:
        """Drives waves until cancelled."""
        while True:
            await asyncio.sleep(_STEP_INTERVAL_SECONDS)
            await self.step()

    async def step(self) -> None:
        """Takes the steps that are possible now in the waves of this driver."""
        scans = list(self._driven_waves())
        if not scans:
            self._confirmed_reboots.clear()
        for scan in scans:
            await self._advance(scan)

    def _driven_waves(self) -> Iterator[_WaveScan]:
        """Yields the unfinished waves that this entry drives."""
        here = self._identity.data_centre_id
        members = self._peers.live_members(here)
        for scan in self._current_scans():
            driver = rendezvous(f"wave/{scan.wave.wave_id}/{here}", members)
            if driver == self._identity.entry_id:
                yield scan

    def _current_scans(self) -> list[_WaveScan]:
        """Returns the unfinished waves; scans them only after a change.

        A scan of a wave of 870 instances takes 4 ms, and passes run ten times
        per second.
        """
        versions = self._current_versions()
        if versions != self._scanned_versions:
            state = self._follower.state
            self._scanned_versions = versions
            self._scans = [
                _WaveScan(wave, list(self._at_step(wave, WaveStep.REBOOTING)))
                for wave in state.tables.wave_by_id.values()
                if self._has_work(wave)
            ]
        return self._scans

    def _has_work(self, wave: objects.Wave) -> bool:
        """Returns whether a wave runs, or was stopped with work in progress."""
        if wave.state is not WaveState.STOPPED:
            return wave.state is WaveState.RUNNING
        in_progress = wave.count(WaveStep.DRAINING) + wave.count(
            WaveStep.REBOOTING
        )
        borrowed = budgets.borrowed_instances(
            self._follower.state, wave.wave_id
        )
        return bool(in_progress or borrowed)

    async def _advance(self, scan: _WaveScan) -> None:
        """Takes every step of a wave that is possible now."""
        changes: list[ch.AnyChange] = [*await self._finished_reboots(scan)]
        if not scan.settled:
            possible = self._possible_changes(scan.wave.wave_id)
            scan.settled = not possible
            changes += possible
        if changes:
            await self._publish(changes)

    def _possible_changes(self, wave_id: WaveId) -> list[ch.AnyChange]:
        """Returns the steps that follow from the state alone."""
        wave = self._follower.state.tables.wave_by_id.get(wave_id)
        if wave is None:
            return []
        unchanged = self._scanned_versions == self._current_versions()
        possible = [*self._drained_steps(wave), *self._loans_or_takes(wave)]
        if unchanged:
            # Rehearsals are rolled back, but increment the table versions.
            self._scanned_versions = self._current_versions()
        return possible

    def _current_versions(self) -> tuple:
        state = self._follower.state
        counts = state.version_by_table
        return (id(state), *(counts[each] for each in _STEP_TABLES))

    async def _publish(self, changes: list[ch.AnyChange]) -> None:
        deadline = self._clock.now() + _PUBLISH_TIMEOUT_SECONDS
        try:
            results = await self._publisher.publish(changes, deadline)
        except SardinedriftError as error:
            logger.debug("wave steps not published: {}", error)
            return
        for change, result in zip(changes, results, strict=True):
            if result.accepted:
                _record_step(change)

    def _loans_or_takes(self, wave: objects.Wave) -> list[ch.AnyChange]:
        """Returns the next loans, else takes; at the end, the return moves."""
        if (
            wave.state is not WaveState.RUNNING
            or lending.is_maintenance_complete(wave)
        ):
            return self._accepted(self._return_moves(wave))
        loans = self._accepted(self._loans(wave))
        if loans or self._has_loan_in_progress(wave):
            return loans
        return self._accepted(self._takes(wave))

    def _accepted(self, changes: Iterator[ch.AnyChange]) -> list[ch.AnyChange]:
        """Returns the changes that the fold would accept now, in this order."""
        batch = ch.Batch(tuple(itertools.islice(changes, _MAX_CANDIDATES)))
        results = fold.rehearse(self._follower.state, batch)
        pairs = zip(batch.changes, results, strict=True)
        return [change for change, result in pairs if result.accepted]

    def _loans(self, wave: objects.Wave) -> Iterator[ch.StartMove]:
        """Yields moves of spare instances to the pool of a wave."""
        state = self._follower.state
        if len(budgets.borrowed_instances(state, wave.wave_id)) >= wave.borrow:
            return
        for pool in state.tables.pool_by_id.values():
            if not pool.spare or pool.pool_id == wave.pool_id:
                continue
            for instance in self._instances_at(pool.pool_id):
                if instance.available and instance.lent_from is None:
                    yield _move_change(wave, instance, wave.pool_id)

    def _instances_at(self, pool_id: PoolId) -> list[objects.Instance]:
        here = self._identity.data_centre_id
        return self._follower.state.instances_at(here, pool_id)

    def _has_loan_in_progress(self, wave: objects.Wave) -> bool:
        borrowed = budgets.borrowed_instances(
            self._follower.state, wave.wave_id
        )
        return any(each.pool_id != wave.pool_id for each in borrowed)

    def _return_moves(self, wave: objects.Wave) -> Iterator[ch.StartMove]:
        for instance in budgets.borrowed_instances(
            self._follower.state, wave.wave_id
        ):
            arrived = instance.pool_id == wave.pool_id
            active = instance.state is InstanceState.ACTIVE
            if arrived and active and self._is_local(instance):
                yield _move_change(wave, instance, instance.lent_from)

    def _takes(self, wave: objects.Wave) -> Iterator[ch.WaveTake]:
        """Yields takes: removed instances, then those down, then by rack."""
        state = self._follower.state
        pool = state.tables.pool_by_id[wave.pool_id]
        used = budgets.usage(state, pool.pool_id)
        remaining = pool.max_unavailable + used.borrowed - used.unavailable
        pending = self._pending_instances(wave)
        for instance_id, instance in sorted(pending, key=_drain_order):
            if instance and instance.available:
                in_rack = used.unavailable_by_rack[budgets.rack_of(instance)]
                if remaining <= 0 or in_rack >= pool.max_unavailable_per_rack:
                    continue
            yield ch.WaveTake(
                change_id=_new_change_id(),
                wave_id=wave.wave_id,
                instance_id=instance_id,
            )

    def _pending_instances(
        self, wave: objects.Wave
    ) -> Iterator[tuple[InstanceId, objects.Instance | None]]:
        """Yields pending instances of this data centre, and removed ones.

        Removed instances have no data centre; each driver yields them.
        """
        table = self._follower.state.tables.instance_by_id
        for instance_id, step in wave.step_by_instance.items():
            instance = table.get(instance_id)
            if step is not WaveStep.PENDING:
                continue
            if instance is None or self._is_local(instance):
                yield instance_id, instance

    def _at_step(
        self, wave: objects.Wave, step: WaveStep
    ) -> Iterator[objects.Instance]:
        """Yields the instances of this data centre at a step."""
        table = self._follower.state.tables.instance_by_id
        for instance_id, each in wave.step_by_instance.items():
            instance = table.get(instance_id)
            if each is step and instance and self._is_local(instance):
                yield instance

    def _is_local(self, instance: objects.Instance) -> bool:
        return instance.data_centre_id == self._identity.data_centre_id

    def _drained_steps(self, wave: objects.Wave) -> Iterator[ch.WaveProgress]:
        for instance in self._at_step(wave, WaveStep.DRAINING):
            if instance.state is InstanceState.DRAINED:
                yield _progress_change(wave, instance, WaveStep.REBOOTING)

    async def _finished_reboots(self, scan: _WaveScan) -> list[ch.WaveProgress]:
        """Returns the steps of instances that returned or are overdue."""
        returned = await asyncio.gather(
            *(self._has_returned(scan.wave, each) for each in scan.rebooting)
        )
        pairs = zip(scan.rebooting, returned, strict=True)
        return [*self._completed_steps(scan.wave, pairs)]

    def _completed_steps(
        self,
        wave: objects.Wave,
        pairs: Iterable[tuple[objects.Instance, bool]],
    ) -> Iterator[ch.WaveProgress]:
        earliest_log_time = self._clock.now() - _DEADLINE_MARGIN_SECONDS
        for instance, returned in pairs:
            deadline = wave.return_deadline_by_instance[instance.instance_id]
            if returned:
                yield _progress_change(wave, instance, WaveStep.BACK)
            elif earliest_log_time >= deadline:
                yield _progress_change(wave, instance, WaveStep.FAILED)

    async def _has_returned(
        self, wave: objects.Wave, instance: objects.Instance
    ) -> bool:
        """Orders the reboot; returns whether the instance has returned.

        The order is repeated until the platform confirms it, and then only
        while the instance is listed.
        """
        instance_id = instance.instance_id
        key = (wave.reboot_token, instance_id)
        listed = self._view.listed(instance_id)
        listed = listed and not self._view.leaving(instance_id)
        if key in self._confirmed_reboots and not listed:
            return False
        deadline = self._clock.now() + _CALL_TIMEOUT_SECONDS
        try:
            done = await self._list.reboot(
                instance_id, wave.reboot_token, deadline
            )
        except InstanceListError as error:
            logger.debug("reboot of {} not confirmed: {}", instance_id, error)
            return False
        self._confirmed_reboots.add(key)
        if not done or not listed:
            return False
        # Guarded workers have no probe, so the instance list must suffice.
        if instance.kind is InstanceKind.WORKER:
            return True
        return await self._minions.probe(instance.address, deadline)


def _drain_order(pair: tuple[InstanceId, objects.Instance | None]) -> tuple:
    instance_id, instance = pair
    if instance is None:
        return (False, "", "", instance_id)
    return (instance.up, *budgets.rack_of(instance), instance_id)


def _new_change_id() -> ChangeId:
    return ChangeId(str(uuid.uuid4()))


def _move_change(
    wave: objects.Wave, instance: objects.Instance, pool_id: PoolId
) -> ch.StartMove:
    change_id = _new_change_id()
    return ch.StartMove(
        change_id=change_id,
        expected_revision=instance.revision,
        move_id=MoveId(f"loan-{change_id}"),
        instance_id=instance.instance_id,
        pool_id=pool_id,
        wave_id=wave.wave_id,
    )


def _progress_change(
    wave: objects.Wave, instance: objects.Instance, step: WaveStep
) -> ch.WaveProgress:
    return ch.WaveProgress(
        change_id=_new_change_id(),
        wave_id=wave.wave_id,
        instance_id=instance.instance_id,
        step=step,
    )


def _record_step(change: ch.AnyChange) -> None:
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
