"""State machine of waves, their drivers and concurrent operators."""

import itertools

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sardinedrift import budgets, fold
from sardinedrift import changes as ch
from sardinedrift.identifiers import InstanceKind, WaveState, WaveStep
from sardinedrift.state import State

POOL, SPARE, OTHER = "pairing", "shared", "other"
OWN = [f"m{number}" for number in range(6)]
SPARES = [f"s{number}" for number in range(3)]
ENTRIES = ["e1", "e2"]
DRIVERS = st.sampled_from([0, 1])


class BudgetBroken(AssertionError):  # noqa: N818
    """A change of a wave, or of an operator during it, exceeded a budget."""


class WaveMachine(RuleBasedStateMachine):
    """Two drivers with lagging views of the state, and concurrent operators.

    A driver bases its changes on the state it read last, which may be stale.
    """

    def __init__(self):
        super().__init__()
        self.state = State()
        self.ids = itertools.count()
        self.time = 0.0
        self.wave_ids = []
        self.read_by_driver = [None, None]

    def apply(self, kind, /, **fields):
        """Folds one change; returns its result."""
        change = kind(change_id=f"c{next(self.ids)}", **fields)
        data = ch.encode_batch(ch.Batch((change,)))
        self.time += 0.25
        offset = self.state.offset + 1
        (result,) = fold.apply_record(self.state, offset, self.time, data)
        return result

    def put(self, kind, /, **fields):
        assert self.apply(kind, expected_revision=0, **fields).accepted

    @initialize(
        max_unavailable=st.integers(1, 2),
        per_rack=st.integers(1, 2),
        up=st.booleans(),
    )
    def start(self, max_unavailable, per_rack, up):
        self.put(ch.PutDataCentre, data_centre_id="dc1", region="north")
        budget = {
            "max_unavailable": max_unavailable,
            "max_unavailable_per_rack": per_rack,
        }
        self.put(ch.PutPool, pool_id=POOL, **budget)
        self.put(ch.PutPool, pool_id=SPARE, spare=True, max_unavailable=2)
        self.put(ch.PutPool, pool_id=OTHER)
        for number, name in enumerate(OWN):
            self.put_instance(name, POOL, f"r{number // 2}")
        for number, name in enumerate(SPARES):
            self.put_instance(name, SPARE, f"q{number}")
        joining = {"data_centre_id": "dc1", "address": "127.0.0.1:1"}
        for name in ENTRIES if up else ENTRIES[:1]:
            self.apply(ch.EntryJoin, entry_id=name, **joining)
        self.apply(ch.EntryJoinAck, entry_id="e1", joiner_id="e2")

    def put_instance(self, name, pool_id, rack):
        self.put(
            ch.PutInstance,
            instance_id=name,
            kind=InstanceKind.MINION,
            data_centre_id="dc1",
            pool_id=pool_id,
            rack=rack,
            address=f"127.0.0.1:{name}",
        )

    @property
    def instances(self):
        return self.state.tables.instance_by_id

    @property
    def wave(self):
        return self.state.tables.wave_by_id[self.wave_ids[-1]]

    def running(self):
        return bool(self.wave_ids) and self.wave.state is WaveState.RUNNING

    def unavailable(self, pool_id):
        """Counts unavailable instances independently of the code under test."""
        own = [
            each
            for each in self.instances.values()
            if (each.lent_from or each.pool_id) == pool_id
        ]
        unavailable = [
            e for e in own if not e.available or e.pool_id != pool_id
        ]
        borrowed = [
            each
            for each in self.instances.values()
            if each.lent_from not in (None, pool_id)
            and each.pool_id == pool_id
            and each.available
        ]
        racks = [each.rack for each in unavailable]
        max_in_rack = max((racks.count(rack) for rack in racks), default=0)
        return len(unavailable) - len(borrowed), max_in_rack

    def within_budget(self, kind, /, **fields):
        """Applies a change of the wave or of an operator during it.

        A change that lowers the availability of a pool must keep it within
        its budgets.
        """
        before = {pool: self.unavailable(pool) for pool in (POOL, SPARE)}
        result = self.apply(kind, **fields)
        for pool_id, (was, was_in_rack) in before.items():
            now, now_in_rack = self.unavailable(pool_id)
            pool = self.state.tables.pool_by_id[pool_id]
            limit = max(was_in_rack, pool.max_unavailable_per_rack)
            if now > max(was, pool.max_unavailable) or now_in_rack > limit:
                raise BudgetBroken(pool_id, now, now_in_rack)
        return result

    @precondition(lambda self: not self.running())
    @rule(canary=st.integers(0, 1), borrow=st.integers(0, 2))
    def start_wave(self, canary, borrow):
        wave_id = f"w{len(self.wave_ids)}"
        result = self.apply(
            ch.StartWave,
            expected_revision=0,
            wave_id=wave_id,
            pool_id=POOL,
            canary=canary,
            borrow=borrow,
            return_seconds=1.0,
        )
        assert result.accepted or result.code == "empty"
        if result.accepted:
            self.wave_ids.append(wave_id)

    @rule(driver=DRIVERS)
    def look(self, driver):
        self.read_by_driver[driver] = {
            name: (each.revision, each.lent_from)
            for name, each in self.instances.items()
        }

    @precondition(lambda self: self.wave_ids)
    @rule(name=st.sampled_from(OWN + SPARES))
    def take(self, name):
        before = self.wave
        result = self.within_budget(
            ch.WaveTake, wave_id=before.wave_id, instance_id=name
        )
        if result.accepted:
            assert before.step_by_instance[name] is WaveStep.PENDING
            skipped = self.wave.step_by_instance[name] is WaveStep.SKIPPED
            assert skipped or self.instances[name].lent_from is None

    @precondition(lambda self: self.wave_ids)
    @rule(
        driver=DRIVERS,
        name=st.sampled_from(SPARES + OWN),
        returned=st.booleans(),
    )
    def lend_or_return(self, driver, name, returned):
        revision, lent_from = (self.read_by_driver[driver] or {}).get(
            name, (1, None)
        )
        self.within_budget(
            ch.StartMove,
            expected_revision=revision,
            move_id=f"v{next(self.ids)}",
            instance_id=name,
            pool_id=(lent_from or SPARE) if returned else POOL,
            wave_id=self.wave.wave_id,
        )
        assert len(self.lent()) <= self.wave.borrow

    @precondition(lambda self: self.wave_ids)
    @rule(name=st.sampled_from(OWN), step=st.sampled_from(WaveStep))
    def progress(self, name, step):
        self.within_budget(
            ch.WaveProgress,
            wave_id=self.wave.wave_id,
            instance_id=name,
            step=step,
        )

    @rule(entry_id=st.sampled_from(ENTRIES))
    def acknowledge(self, entry_id):
        self.acknowledge_all(entry_id)

    def acknowledge_all(self, entry_id):
        for name, each in list(self.instances.items()):
            if each.drain:
                self.apply(
                    ch.DrainAck,
                    entry_id=entry_id,
                    instance_id=name,
                    drain=each.drain.offset,
                )

    @rule(
        rack=st.sampled_from(["r0", "r1", "r2", "q0", "q1"]), up=st.booleans()
    )
    def fail_or_return_rack(self, rack, up):
        for name, each in list(self.instances.items()):
            if each.rack == rack:
                self.apply(ch.InstanceObserved, instance_id=name, up=up)

    @rule(
        name=st.sampled_from(OWN + SPARES),
        pool_id=st.sampled_from([POOL, SPARE, OTHER]),
    )
    def move_by_operator(self, name, pool_id):
        instance = self.instances[name]
        move = {
            "expected_revision": instance.revision,
            "instance_id": name,
            "pool_id": pool_id,
        }
        apply = self.apply
        if self.running() and instance.pool_id == POOL:
            apply = self.within_budget
        first = apply(ch.StartMove, move_id=f"v{next(self.ids)}", **move)
        second = self.apply(ch.StartMove, move_id=f"v{next(self.ids)}", **move)
        assert not second.accepted
        if first.accepted:
            assert instance.lent_from in (None, pool_id)

    @rule()
    def cancel_moves(self):
        for move in list(self.state.tables.move_by_id.values()):
            if move.state.value == "draining":
                self.apply(
                    ch.CancelMove,
                    expected_revision=move.revision,
                    move_id=move.move_id,
                )

    @precondition(lambda self: self.running())
    @rule()
    def stop_wave(self):
        self.apply(
            ch.StopWave,
            expected_revision=self.wave.revision,
            wave_id=self.wave.wave_id,
        )

    def lent(self):
        return [
            name
            for name, each in self.instances.items()
            if each.lent_wave_id == self.wave.wave_id
        ]

    @invariant()
    def an_instance_is_in_one_pool(self):
        for name in self.instances:
            places = [
                pool_id
                for pool_id in self.state.tables.pool_by_id
                if any(
                    each.instance_id == name
                    for each in self.state.instances_of(pool_id)
                )
            ]
            assert places == [self.instances[name].pool_id]

    @invariant()
    def a_wave_is_done_only_after_its_loans_are_returned(self):
        for wave in self.state.tables.wave_by_id.values():
            if wave.state is WaveState.DONE:
                assert not budgets.borrowed_instances(self.state, wave.wave_id)

    def teardown(self):
        """Checks that all loans are returned once the failures are over."""
        if not self.wave_ids:
            return
        for _ in range(40):
            if not self.state.lent_instances() and not self.running():
                break
            self.finish_step()
        assert not self.state.lent_instances(), self.state.lent_instances()
        assert not self.running(), self.wave

    def finish_step(self):
        """Runs one pass of a driver after all instances are up."""
        for entry_id in ENTRIES:
            self.acknowledge_all(entry_id)
        for name in self.instances:
            self.apply(ch.InstanceObserved, instance_id=name, up=True)
        # Stopped waves finish the instances in progress.
        for wave_id in self.wave_ids:
            for name in self.state.tables.wave_by_id[wave_id].step_by_instance:
                self.finish_instance(wave_id, name)
        for each in self.state.lent_instances():
            self.within_budget(
                ch.StartMove,
                expected_revision=each.revision,
                move_id=f"v{next(self.ids)}",
                instance_id=each.instance_id,
                pool_id=each.lent_from,
                wave_id=each.lent_wave_id,
            )

    def finish_instance(self, wave_id, name):
        for kind, fields in (
            (ch.WaveTake, {}),
            (ch.WaveProgress, {"step": WaveStep.REBOOTING}),
            (ch.WaveProgress, {"step": WaveStep.BACK}),
        ):
            target = {"wave_id": wave_id, "instance_id": name}
            self.within_budget(kind, **target, **fields)
