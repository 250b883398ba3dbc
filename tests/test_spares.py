"""Spare units: sent as deltas, and exact again after any loss."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinedrift.messages import Exchange, Neighbour
from sardinedrift.spares import (
    MAX_TEAMS_COUNTED_PER_SECOND,
    TABLE_EXPIRY_SECONDS,
    OwnSpareUnits,
    SpareTables,
)
from tests.fakes import ManualClock

TEAMS = 600


class Entry:
    """One entry process.

    Attributes:
        exchange_by_entry: the last exchange received from each entry.
    """

    def __init__(self, entry_id, data_centre_id, clock):
        self.entry_id = entry_id
        self.data_centre_id = data_centre_id
        self.tables = SpareTables(entry_id, data_centre_id, clock)
        self.units = {}
        self.exchange_by_entry = {}

    def message(self, receiver):
        """Returns an encoded exchange for an entry."""
        near = receiver.data_centre_id == self.data_centre_id
        neighbours = [
            Neighbour(
                entry_id=each.entry_id,
                address=each.entry_id,
                ready=True,
                offset=0,
                current_at=0.0,
                spare_by_team=each.spare_by_team,
            )
            for each in self.exchange_by_entry.values()
            if each.data_centre_id == self.data_centre_id and not near
        ]
        whole = Exchange(
            entry_id=self.entry_id,
            data_centre_id=self.data_centre_id,
            address=self.entry_id,
            member=True,
            ready=True,
            stopping=False,
            offset=0,
            current_at=0.0,
            spare_by_team=dict(self.units),
            neighbours=neighbours,
        )
        last = self.exchange_by_entry.get(receiver.entry_id)
        reduced = self.tables.to_delta(
            whole,
            receiver.entry_id,
            receiver.data_centre_id,
            last.spare_confirmed if last else {},
        )
        return msgspec.json.encode(reduced)

    def receive(self, data):
        """Receives an encoded exchange; returns it as sent and as restored."""
        sent = msgspec.json.decode(data, type=Exchange)
        restored = self.tables.from_delta(sent)
        self.exchange_by_entry[restored.entry_id] = restored
        return sent, restored

    def spare_of(self, entry):
        return self.exchange_by_entry[entry.entry_id].spare_by_team

    def forwarded_units_of(self, entry):
        """Returns the units of an entry as forwarded by each neighbour."""
        return [
            each.spare_by_team
            for exchange in self.exchange_by_entry.values()
            for each in exchange.neighbours
            if each.entry_id == entry.entry_id
        ]


def exchange_once(sender, receiver):
    """Exchanges once in both directions; returns both messages."""
    there, _ = receiver.receive(sender.message(receiver))
    back, _ = sender.receive(receiver.message(sender))
    return there, back


class SpareTablesTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.a = Entry("a", "dc1", self.clock)
        self.b = Entry("b", "dc1", self.clock)
        self.far = Entry("far", "dc2", self.clock)
        self.a.units = {f"team-{each}": 3 for each in range(TEAMS)}

    def test_only_changes_are_told_again(self):
        """Guards against sending full tables in every exchange."""
        for receiver in (self.b, self.far):
            first, _ = exchange_once(self.a, receiver)
            self.assertEqual(len(first.spare_by_team), TEAMS)
            again, _ = exchange_once(self.a, receiver)
            self.assertEqual(again.spare_by_team, {})
            self.a.units["team-1"] += 1
            del self.a.units["team-2"]
            changed, _ = exchange_once(self.a, receiver)
            self.assertEqual(
                changed.spare_by_team,
                {"team-1": self.a.units["team-1"], "team-2": 0},
            )
            self.assertEqual(receiver.spare_of(self.a), self.a.units)
            self.a.units["team-2"] = 3

    def test_what_a_lost_exchange_told_is_told_again(self):
        """Guards against units that stay outdated after a lost exchange."""
        exchange_once(self.a, self.b)
        self.a.units["team-1"] = 9
        self.a.message(self.b)
        self.a.units["team-2"] = 8
        exchange_once(self.a, self.b)
        self.assertEqual(self.b.spare_of(self.a), self.a.units)

    def test_a_lost_answer_is_no_confirmation_lost(self):
        """Guards against a delta based on a version that the receiver lacks."""
        exchange_once(self.a, self.b)
        self.a.units["team-1"] = 9
        self.b.receive(self.a.message(self.b))
        self.a.units["team-2"] = 8
        self.b.receive(self.a.message(self.b))
        self.assertEqual(self.b.spare_of(self.a), self.a.units)

    def test_a_restarted_receiver_is_told_all(self):
        """Guards against a new process that receives only later changes."""
        exchange_once(self.a, self.b)
        c = Entry("c", "dc1", self.clock)
        # The first exchange may have been encoded for the previous process.
        c.receive(self.a.message(self.b))
        self.assertEqual(c.spare_of(self.a), {})
        self.a.receive(c.message(self.a))
        c.receive(self.a.message(c))
        self.assertEqual(c.spare_of(self.a), self.a.units)

    def test_a_new_sender_process_is_learnt_whole(self):
        """Guards against units of an ended process shown for the new one."""
        exchange_once(self.a, self.b)
        c = Entry("c", "dc1", self.clock)
        c.units = {"team-7": 1}
        exchange_once(c, self.b)
        self.assertEqual(self.b.spare_of(c), {"team-7": 1})

    def test_a_late_exchange_brings_no_old_units_back(self):
        """Guards against outdated units from reordered exchanges."""
        exchange_once(self.a, self.b)
        self.a.units["team-1"] = 9
        late = self.a.message(self.b)
        del self.a.units["team-1"]
        exchange_once(self.a, self.b)
        self.b.receive(late)
        self.assertNotIn("team-1", self.b.spare_of(self.a))

    def test_a_healed_cut_leaves_no_old_figures(self):
        """Guards against outdated units after a network partition.

        Otherwise requests are relayed to entries without spare units.
        """
        exchange_once(self.a, self.far)
        del self.a.units["team-1"]
        self.clock.time += TABLE_EXPIRY_SECONDS / 2
        exchange_once(self.a, self.far)
        self.assertEqual(self.far.spare_of(self.a), self.a.units)
        del self.a.units["team-2"]
        self.clock.time += TABLE_EXPIRY_SECONDS * 2
        self.far.receive(self.b.message(self.far))
        exchange_once(self.a, self.far)
        self.assertNotIn("team-2", self.far.spare_of(self.a))
        exchange_once(self.a, self.far)
        self.assertEqual(self.far.spare_of(self.a), self.a.units)

    def test_neighbours_are_told_as_changes_by_whoever_tells(self):
        """Guards against mixing the tables of one entry from two senders."""
        c = Entry("c", "dc1", self.clock)
        for _ in range(2):
            for one, other in ((self.a, self.b), (self.a, c), (self.b, c)):
                exchange_once(one, other)
        exchange_once(self.b, self.far)
        self.assertEqual(self.far.forwarded_units_of(self.a), [self.a.units])
        self.a.units["team-1"] = 9
        exchange_once(self.a, c)
        there, _ = exchange_once(c, self.far)
        (about_a,) = (each for each in there.neighbours if each.entry_id == "a")
        self.assertEqual(len(about_a.spare_by_team), TEAMS)
        self.a.units["team-2"] = 8
        exchange_once(self.a, c)
        there, _ = exchange_once(c, self.far)
        (about_a,) = (each for each in there.neighbours if each.entry_id == "a")
        self.assertEqual(about_a.spare_by_team, {"team-2": 8})
        # `b` has an older version of the table, which must not replace the
        # newer one.
        exchange_once(self.b, self.far)
        self.assertEqual(self.far.forwarded_units_of(self.a)[-1], self.a.units)

    def test_a_table_told_whole_again_replaces_the_former(self):
        """Guards against keeping units that a later full table lacks."""
        self.b.receive(self.a.message(self.b))
        exchange_once(self.b, self.far)
        self.assertEqual(self.far.forwarded_units_of(self.a), [self.a.units])
        # Nothing was confirmed, so the full table is sent again, without an
        # explicit removal of the team.
        del self.a.units["team-1"]
        self.b.receive(self.a.message(self.b))
        self.assertEqual(self.b.spare_of(self.a), self.a.units)
        exchange_once(self.b, self.far)
        self.assertEqual(self.far.forwarded_units_of(self.a), [self.a.units])

    def test_a_sender_without_versions_is_understood(self):
        """Guards against failures with senders of an older program version."""
        old = Exchange(
            entry_id="old",
            data_centre_id="dc1",
            address="old",
            member=True,
            ready=True,
            stopping=False,
            offset=0,
            current_at=0.0,
            spare_by_team={"red": 2},
        )
        _, restored = self.a.receive(msgspec.json.encode(old))
        self.assertEqual(restored.spare_by_team, {"red": 2})
        sent = msgspec.json.decode(
            self.a.message(Entry("old", "dc1", self.clock)), type=Exchange
        )
        self.assertEqual(len(sent.spare_by_team), TEAMS)


ENTRIES = ("a", "b", "x", "y")
_pair = st.tuples(st.sampled_from(ENTRIES), st.sampled_from(ENTRIES)).filter(
    lambda pair: pair[0] != pair[1]
)
_step = st.one_of(
    st.tuples(
        st.just("units"),
        st.sampled_from(ENTRIES),
        st.dictionaries(
            st.sampled_from(["red", "blue", "green"]), st.integers(1, 5)
        ),
    ),
    st.tuples(st.just("meet"), _pair, st.just(None)),
    st.tuples(st.just("lose"), _pair, st.just(None)),
    st.tuples(st.just("one_way"), _pair, st.just(None)),
    st.tuples(st.just("delay"), _pair, st.just(None)),
    st.tuples(st.just("late"), st.integers(0, 9), st.just(None)),
    st.tuples(st.just("restart"), st.sampled_from(ENTRIES), st.just(None)),
    st.tuples(
        st.just("pause"),
        st.sampled_from([1.0, TABLE_EXPIRY_SECONDS * 2]),
        st.none(),
    ),
)


class World:
    """Entries of two data centres, and all tables that they ever had."""

    def __init__(self):
        self.clock = ManualClock()
        self.count = 0
        self.entry_by_place = {}
        self.tables = {}
        self.delayed = []
        for place in ENTRIES:
            self.restart(place)

    def restart(self, place):
        self.count += 1
        data_centre = "dc1" if place in "ab" else "dc2"
        entry = Entry(f"{place}{self.count}", data_centre, self.clock)
        self.entry_by_place[place] = entry
        self.tables[entry.entry_id] = [{}]

    def units(self, place, units):
        entry = self.entry_by_place[place]
        entry.units = units
        self.tables[entry.entry_id].append(units)

    def send(self, sender, receiver):
        return self.entry_by_place[sender].message(
            self.entry_by_place[receiver]
        )

    def receive(self, receiver, data):
        """Receives an exchange; checks that each restored table has existed."""
        _, restored = self.entry_by_place[receiver].receive(data)
        for each in (restored, *restored.neighbours):
            if each.spare_by_team not in self.tables[each.entry_id]:
                raise AssertionError(each)

    def run(self, step):
        kind, subject, value = step
        if kind == "units":
            self.units(subject, value)
        elif kind == "restart":
            self.restart(subject)
        elif kind == "pause":
            self.clock.time += subject
        elif kind == "late":
            if subject < len(self.delayed):
                self.receive(*self.delayed.pop(subject))
        else:
            self.run_exchange(kind, *subject)

    def run_exchange(self, kind, sender, receiver):
        data = self.send(sender, receiver)
        if kind == "delay":
            self.delayed.append((receiver, data))
        elif kind != "lose":
            self.receive(receiver, data)
            if kind == "meet":
                self.receive(sender, self.send(receiver, sender))


class AnyLossTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(st.lists(_step, max_size=40))
    def test_tables_are_never_mixed_and_become_exact(self, steps):
        """Guards against any order of losses, delays, restarts and pauses."""
        world = World()
        for step in steps:
            world.run(step)
        pairs = [(one, other) for one in ENTRIES for other in ENTRIES]
        for _ in range(3):
            for one, other in pairs:
                if one != other:
                    world.run_exchange("meet", one, other)
        for one, other in pairs:
            if one != other:
                entry = world.entry_by_place[other]
                self.assertEqual(
                    world.entry_by_place[one].spare_of(entry), entry.units
                )


class OwnSpareTest(unittest.TestCase):
    def test_units_are_rounded_but_never_away(self):
        """Guards against a change for each unit and a hidden last unit."""
        counted = {"one": 1, "three": 3, "four": 4, "many": 1000, "none": 0}
        spare = OwnSpareUnits(lambda: counted, lambda: 1, ManualClock())
        self.assertEqual(
            spare.units(), {"one": 1, "three": 2, "four": 4, "many": 512}
        )

    def test_many_teams_are_counted_less_often(self):
        """Guards against costs proportional to teams times exchanges."""
        for teams, max_counts in ((10, 100), (TEAMS, 11)):
            clock = ManualClock()
            counted = []
            spare = OwnSpareUnits(
                lambda counted=counted: counted.append(1) or {},
                lambda teams=teams: teams,
                clock,
            )
            for _ in range(100):
                clock.time += 0.1
                spare.units()
            self.assertLessEqual(len(counted), max_counts)
            self.assertGreaterEqual(
                len(counted),
                min(99, 10 * MAX_TEAMS_COUNTED_PER_SECOND / teams - 1),
            )
