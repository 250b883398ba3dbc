"""Simulated entries over one log, and a search over sequences of faults.

The folded state of each entry may lag behind the log.
"""

import asyncio

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from sardinedrift import changes as ch
from sardinedrift.limits import Limits
from sardinedrift.messages import AllowanceRequest
from sardinedrift.transfers import Transfers
from tests.decision_fakes import (
    FakeClock,
    FakeFollower,
    FakeLog,
    FakePeers,
    FakePublisher,
    gone,
    identity,
    join,
    new_change_id,
    put_team,
)

MODES = ["ok", "ok", "lost", "late", "twice", "down"]
RUN_SECONDS = 60.0


class WorldEntry:
    def __init__(self, world, entry_id, transfers):
        self.entry_id = entry_id
        self.follower = FakeFollower(world.log)
        self.publisher = FakePublisher(self.follower)
        self.peers = FakePeers()
        self.limits = Limits(
            identity(entry_id),
            self.follower,
            self.publisher,
            self.peers,
            world.clock,
        )
        self.limits._transfers = transfers(entry_id, self.follower)


class World:
    """Simulated entries over one log, and the requests that they run."""

    def __init__(self, transfers=Transfers, entries=3, limit=6):
        self.transfers = transfers
        self.clock = FakeClock()
        self.log = FakeLog(self.clock)
        self.loop = asyncio.new_event_loop()
        self.entry_by_id = {}
        self.ends_by_entry = {}
        # Includes ended entries: their delayed appends may still arrive.
        self.publisher_by_id = {}
        self.count = 0
        self.revision = 1
        self.limit = limit
        self.log.append(
            put_team(limit=limit),
            ch.PutPool(
                change_id=new_change_id(),
                expected_revision=0,
                pool_id="pairing",
            ),
            ch.PutQueue(
                change_id=new_change_id(),
                expected_revision=0,
                queue_id="q",
                pool_id="pairing",
                max_run_seconds=RUN_SECONDS,
            ),
        )
        for _ in range(entries):
            self.join()

    def close(self):
        self.loop.close()

    def join(self):
        entry_id = f"e{self.count}"
        self.count += 1
        joining = join(entry_id)
        # An entry that is alone in its data centre becomes a member at once.
        self.log.append(
            ch.EntryJoin(
                change_id=joining.change_id,
                entry_id=entry_id,
                data_centre_id=f"dc-{entry_id}",
                address=joining.address,
            )
        )
        entry = WorldEntry(self, entry_id, self.transfers)
        self.publisher_by_id[entry_id] = entry.publisher
        self.entry_by_id[entry_id] = entry
        self.ends_by_entry[entry_id] = []
        entry.follower.fold()

    def set_limit(self, limit):
        self.log.append(put_team(revision=self.revision, limit=limit))
        self.revision += 1
        self.limit = limit

    def start(self, entry_id):
        entry = self.entry_by_id[entry_id]
        if not entry.limits.try_acquire("red"):
            return False
        assert entry.follower.state.unallocated("red") >= 0, "debt ignored"
        self.ends_by_entry[entry_id].append(self.clock.time + RUN_SECONDS)
        self.check()
        return True

    def finish(self, entry_id):
        if self.ends_by_entry[entry_id]:
            self.ends_by_entry[entry_id].pop(0)
            self.entry_by_id[entry_id].limits.release("red")

    def step(self, entry_id, mode="ok"):
        entry = self.entry_by_id[entry_id]
        entry.publisher.mode = mode
        self.loop.run_until_complete(entry.limits.step())

    def give(self, giver, receiver, units):
        request = AllowanceRequest(
            entry_id=receiver, units_by_team={"red": units}
        )
        limits = self.entry_by_id[giver].limits
        return self.loop.run_until_complete(limits.give(request))

    def end_entry(self, entry_id):
        """Kills an entry; its requests run on until their deadlines."""
        del self.entry_by_id[entry_id]
        self.log.append(gone(entry_id))

    def leave(self, entry_id, successor_id):
        """Shuts an entry down in an orderly way, after its requests ended."""
        while self.ends_by_entry[entry_id]:
            self.finish(entry_id)
        self.entry_by_id.pop(entry_id).limits.stop()
        self.log.append(
            ch.EntryLeave(
                change_id=new_change_id(),
                entry_id=entry_id,
                successor_id=successor_id,
            )
        )

    def pass_time(self, seconds):
        self.clock.time += seconds
        for entry_id, ends in self.ends_by_entry.items():
            while ends and ends[0] <= self.clock.time:
                if entry_id in self.entry_by_id:
                    self.finish(entry_id)
                else:
                    ends.pop(0)

    def running(self):
        return sum(len(ends) for ends in self.ends_by_entry.values())

    def held(self):
        allowances = self.log.head.tables.allowances_by_team["red"]
        return dict(allowances.units_by_entry)

    def check(self):
        """Checks that running requests do not exceed the allocated units."""
        total = self.log.head.tables.allowances_by_team["red"].total
        assert self.running() <= total, f"{self.running()} run on {total}"


class LimitMachine(RuleBasedStateMachine):
    cuts = True

    def __init__(self):
        super().__init__()
        self.world = World()
        for entry_id in list(self.world.entry_by_id):
            for _ in range(2):
                self.world.start(entry_id)
                self.world.step(entry_id)

    def teardown(self):
        self.world.close()

    def _entry(self, data):
        return data.draw(st.sampled_from(sorted(self.world.entry_by_id)))

    @rule(data=st.data(), count=st.integers(1, 4))
    def start(self, data, count):
        entry_id = self._entry(data)
        for _ in range(count):
            self.world.start(entry_id)

    @rule(data=st.data())
    def finish(self, data):
        self.world.finish(self._entry(data))

    @rule(data=st.data(), mode=st.sampled_from(MODES))
    def step(self, data, mode):
        self.world.step(self._entry(data), mode)

    def _late_publisher(self, data):
        """Returns a publisher with late batches, or None.

        It may belong to an ended entry.
        """
        rows = self.world.publisher_by_id
        late = sorted(each for each in rows if rows[each].late)
        return rows[data.draw(st.sampled_from(late))] if late else None

    @rule(data=st.data())
    def deliver_late(self, data):
        publisher = self._late_publisher(data)
        if publisher:
            publisher.deliver()

    @rule(data=st.data(), again=st.booleans())
    def deliver_one(self, data, again):
        """Appends one late batch, out of order and possibly repeatedly."""
        publisher = self._late_publisher(data)
        if publisher:
            last = len(publisher.late) - 1
            publisher.deliver_one(data.draw(st.integers(0, last)), again)

    @rule(data=st.data(), count=st.integers(1, 3))
    def fold(self, data, count):
        self.world.entry_by_id[self._entry(data)].follower.fold(count)

    @rule(data=st.data(), units=st.integers(1, 6))
    def give(self, data, units):
        self.world.give(self._entry(data), self._entry(data), units)

    @rule(data=st.data(), mode=st.sampled_from(MODES), late=st.booleans())
    def give_and_start_everywhere(self, data, mode, late):
        """Starts requests at giver and receiver before the giver folds."""
        giver, receiver = self._entry(data), self._entry(data)
        entry = self.world.entry_by_id[giver]
        self.world.finish(giver)
        entry.limits._use("red")._recent_use = 0.0
        self.world.give(giver, receiver, 6)
        self.world.step(giver, mode)
        if late:
            entry.publisher.deliver()
        self.world.entry_by_id[receiver].follower.fold()
        for entry_id in (receiver, giver):
            while self.world.start(entry_id):
                pass

    @precondition(lambda self: len(self.world.entry_by_id) > 1)
    @rule(data=st.data())
    def end_entry(self, data):
        self.world.end_entry(self._entry(data))

    @precondition(lambda self: len(self.world.entry_by_id) > 1)
    @rule(data=st.data(), named=st.booleans())
    def leave(self, data, named):
        entry_id = self._entry(data)
        others = sorted({*self.world.entry_by_id} - {entry_id})
        successor = data.draw(st.sampled_from(others)) if named else None
        self.world.leave(entry_id, successor)

    @rule(data=st.data())
    def load_snapshot(self, data):
        self.world.entry_by_id[self._entry(data)].follower.load_snapshot()

    @precondition(lambda self: len(self.world.entry_by_id) < 4)
    @rule()
    def join(self):
        self.world.join()

    @precondition(lambda self: self.cuts)
    @rule(limit=st.integers(0, 9))
    def set_limit(self, limit):
        self.world.set_limit(limit)

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0, 130.0, 4000.0]))
    def pass_time(self, seconds):
        self.world.pass_time(seconds)

    @invariant()
    def covered(self):
        self.world.check()
        if not self.cuts:
            assert self.world.running() <= self.world.limit


class ConstantLimitMachine(LimitMachine):
    cuts = False


def search(machine, shrink=True):
    """Runs a state machine; raises for the first failing sequence of steps."""
    phases = set(Phase) if shrink else {Phase.generate}
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            max_examples=150,
            stateful_step_count=60,
            deadline=None,
            report_multiple_bugs=False,
            phases=phases,
        ),
    )
