"""Spare units: told as changes, and still exact after any loss."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinedrift.messages import Exchange, Neighbour
from sardinedrift.spares import (
    FORGET_SECONDS,
    TEAMS_COUNTED_PER_SECOND,
    OwnSpareUnits,
    SpareTables,
)
from tests.fakes import ManualClock

TEAMS = 600


class Entry:
    """One entry process; `heard` has the last exchange from each entry."""

    def __init__(self, entry_id, data_centre_id, clock):
        self.entry_id = entry_id
        self.data_centre_id = data_centre_id
        self.tables = SpareTables(entry_id, data_centre_id, clock)
        self.units = {}
        self.heard = {}

    def message(self, receiver):
        """Returns an exchange to an entry, as encoded."""
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
            for each in self.heard.values()
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
        last = self.heard.get(receiver.entry_id)
        reduced = self.tables.to_delta(
            whole,
            receiver.entry_id,
            receiver.data_centre_id,
            last.spare_confirmed if last else {},
        )
        return msgspec.json.encode(reduced)

    def take(self, data):
        """Takes an encoded exchange; returns it as sent and as restored."""
        sent = msgspec.json.decode(data, type=Exchange)
        restored = self.tables.from_delta(sent)
        self.heard[restored.entry_id] = restored
        return sent, restored

    def spare_of(self, entry):
        return self.heard[entry.entry_id].spare_by_team

    def told_of(self, entry):
        """Returns the units of an entry by its neighbours."""
        return [
            each.spare_by_team
            for exchange in self.heard.values()
            for each in exchange.neighbours
            if each.entry_id == entry.entry_id
        ]


def meet(sender, receiver):
    """Exchanges once; returns what the sender and the receiver sent."""
    there, _ = receiver.take(sender.message(receiver))
    back, _ = sender.take(receiver.message(sender))
    return there, back


class SpareTablesTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.a = Entry("a", "dc1", self.clock)
        self.b = Entry("b", "dc1", self.clock)
        self.far = Entry("far", "dc2", self.clock)
        self.a.units = {f"team-{each}": 3 for each in range(TEAMS)}

    def test_only_changes_are_told_again(self):
        """Guards against whole tables in every exchange."""
        for receiver in (self.b, self.far):
            first, _ = meet(self.a, receiver)
            self.assertEqual(len(first.spare_by_team), TEAMS)
            again, _ = meet(self.a, receiver)
            self.assertEqual(again.spare_by_team, {})
            self.a.units["team-1"] += 1
            del self.a.units["team-2"]
            changed, _ = meet(self.a, receiver)
            self.assertEqual(
                changed.spare_by_team,
                {"team-1": self.a.units["team-1"], "team-2": 0},
            )
            self.assertEqual(receiver.spare_of(self.a), self.a.units)
            self.a.units["team-2"] = 3

    def test_what_a_lost_exchange_told_is_told_again(self):
        """Guards against a team that stays wrong after a loss."""
        meet(self.a, self.b)
        self.a.units["team-1"] = 9
        self.a.message(self.b)
        self.a.units["team-2"] = 8
        meet(self.a, self.b)
        self.assertEqual(self.b.spare_of(self.a), self.a.units)

    def test_a_lost_answer_is_no_confirmation_lost(self):
        """Guards against changes told on a version that is not held."""
        meet(self.a, self.b)
        self.a.units["team-1"] = 9
        self.b.take(self.a.message(self.b))
        self.a.units["team-2"] = 8
        self.b.take(self.a.message(self.b))
        self.assertEqual(self.b.spare_of(self.a), self.a.units)

    def test_a_restarted_receiver_is_told_all(self):
        """Guards against a new process that knows only later changes."""
        meet(self.a, self.b)
        c = Entry("c", "dc1", self.clock)
        # The first exchange may still be made for the process before.
        c.take(self.a.message(self.b))
        self.assertEqual(c.spare_of(self.a), {})
        self.a.take(c.message(self.a))
        c.take(self.a.message(c))
        self.assertEqual(c.spare_of(self.a), self.a.units)

    def test_a_new_sender_process_is_learnt_whole(self):
        """Guards against units of an ended process under the new id."""
        meet(self.a, self.b)
        c = Entry("c", "dc1", self.clock)
        c.units = {"team-7": 1}
        meet(c, self.b)
        self.assertEqual(self.b.spare_of(c), {"team-7": 1})

    def test_a_late_exchange_brings_no_old_units_back(self):
        """Guards against two exchanges that overtake each other."""
        meet(self.a, self.b)
        self.a.units["team-1"] = 9
        late = self.a.message(self.b)
        del self.a.units["team-1"]
        meet(self.a, self.b)
        self.b.take(late)
        self.assertNotIn("team-1", self.b.spare_of(self.a))

    def test_a_healed_cut_leaves_no_old_figures(self):
        """Guards against relays after units that are long gone."""
        meet(self.a, self.far)
        del self.a.units["team-1"]
        self.clock.time += FORGET_SECONDS / 2
        meet(self.a, self.far)
        self.assertEqual(self.far.spare_of(self.a), self.a.units)
        del self.a.units["team-2"]
        self.clock.time += FORGET_SECONDS * 2
        self.far.take(self.b.message(self.far))
        meet(self.a, self.far)
        self.assertNotIn("team-2", self.far.spare_of(self.a))
        meet(self.a, self.far)
        self.assertEqual(self.far.spare_of(self.a), self.a.units)

    def test_neighbours_are_told_as_changes_by_whoever_tells(self):
        """Guards against mixing what two entries tell of a third."""
        c = Entry("c", "dc1", self.clock)
        for _ in range(2):
            for one, other in ((self.a, self.b), (self.a, c), (self.b, c)):
                meet(one, other)
        meet(self.b, self.far)
        self.assertEqual(self.far.told_of(self.a), [self.a.units])
        self.a.units["team-1"] = 9
        meet(self.a, c)
        there, _ = meet(c, self.far)
        (about_a,) = (each for each in there.neighbours if each.entry_id == "a")
        self.assertEqual(len(about_a.spare_by_team), TEAMS)
        self.a.units["team-2"] = 8
        meet(self.a, c)
        there, _ = meet(c, self.far)
        (about_a,) = (each for each in there.neighbours if each.entry_id == "a")
        self.assertEqual(about_a.spare_by_team, {"team-2": 8})
        # The other one is behind; that must not undo what is known.
        meet(self.b, self.far)
        self.assertEqual(self.far.told_of(self.a)[-1], self.a.units)

    def test_a_table_told_whole_again_replaces_the_former(self):
        """Guards against units that stay when they are in no later table."""
        self.b.take(self.a.message(self.b))
        meet(self.b, self.far)
        self.assertEqual(self.far.told_of(self.a), [self.a.units])
        # Nothing was confirmed, so all is told again and nothing is taken
        # away by name.
        del self.a.units["team-1"]
        self.b.take(self.a.message(self.b))
        self.assertEqual(self.b.spare_of(self.a), self.a.units)
        meet(self.b, self.far)
        self.assertEqual(self.far.told_of(self.a), [self.a.units])

    def test_a_sender_without_versions_is_understood(self):
        """Guards against a roll-out in which old and new entries mix."""
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
        _, restored = self.a.take(msgspec.json.encode(old))
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
        st.just("pause"), st.sampled_from([1.0, FORGET_SECONDS * 2]), st.none()
    ),
)


class World:
    """Entries of two data centres, and every table they ever had."""

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

    def take(self, receiver, data):
        """Checks that what is restored is a table that has existed."""
        _, restored = self.entry_by_place[receiver].take(data)
        for told in (restored, *restored.neighbours):
            if told.spare_by_team not in self.tables[told.entry_id]:
                raise AssertionError(told)

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
                self.take(*self.delayed.pop(subject))
        else:
            self.run_exchange(kind, *subject)

    def run_exchange(self, kind, sender, receiver):
        data = self.send(sender, receiver)
        if kind == "delay":
            self.delayed.append((receiver, data))
        elif kind != "lose":
            self.take(receiver, data)
            if kind == "meet":
                self.take(sender, self.send(receiver, sender))


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
        """Guards against a change told for each unit, and a lost last one."""
        counted = {"one": 1, "three": 3, "four": 4, "many": 1000, "none": 0}
        spare = OwnSpareUnits(lambda: counted, lambda: 1, ManualClock())
        self.assertEqual(
            spare.units(), {"one": 1, "three": 2, "four": 4, "many": 512}
        )

    def test_many_teams_are_counted_less_often(self):
        """Guards against cost that grows with teams times exchanges."""
        for teams, most in ((10, 100), (TEAMS, 11)):
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
            self.assertLessEqual(len(counted), most)
            self.assertGreaterEqual(
                len(counted), min(99, 10 * TEAMS_COUNTED_PER_SECOND / teams - 1)
            )
