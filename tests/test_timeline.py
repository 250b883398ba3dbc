"""Tests capacity, filters and merge order of the timeline."""

import itertools
import unittest

from sardinedrift import timeline
from sardinedrift.identifiers import Identity
from sardinedrift.ports import Clock
from sardinedrift.timeline import EventKind, Filter


class ManualClock(Clock):
    def __init__(self, time=100.0):
        self.time = time

    def now(self):
        return self.time


def make_timeline(entry_id, time=100.0, capacity=100):
    clock = ManualClock(time)
    identity = Identity(entry_id, "dc1", "127.0.0.1:1")
    return timeline.Timeline(identity, clock, capacity), clock


class TimelineTest(unittest.TestCase):
    def test_effect_follows_cause_in_spite_of_a_slow_clock(self):
        """Guards against ordering by wall clock, which puts effects first."""
        cause, _ = make_timeline("e1", time=105.0)
        effect, _ = make_timeline("e2", time=101.0)
        cause.record(EventKind.CHANGE_ACCEPTED, 7, "c1")
        effect.record(EventKind.MOVE_STATE, 7, instance_id="w1")
        effect.record(EventKind.DRAIN_ACKNOWLEDGED, 8, instance_id="w1")
        first, _ = make_timeline("e3", time=110.0)
        first.record(EventKind.ENTRY_READY, 6)
        merged = timeline.merge(
            ring.select(Filter()) for ring in (effect, cause, first)
        )
        offsets = [event.offset for event in merged]
        self.assertEqual(offsets, [6, 7, 7, 8])

    def test_merge_is_the_same_in_any_order_of_entries(self):
        rings = [make_timeline(name)[0] for name in ("e1", "e2", "e3")]
        for offset in (3, 3, 4):
            for ring in rings:
                ring.record(EventKind.PEER_LOST, offset)
        orders = {
            tuple(timeline.merge(ring.select(Filter()) for ring in order))
            for order in itertools.permutations(rings)
        }
        self.assertEqual(len(orders), 1)

    def test_clock_that_steps_back_keeps_the_order_of_a_process(self):
        ring, clock = make_timeline("e1", time=100.0)
        ring.record(EventKind.LOG_LOST, 5)
        clock.time = 50.0
        ring.record(EventKind.LOG_FOUND, 5)
        events = ring.select(Filter())
        self.assertEqual(sorted(events, key=timeline.order_key), events)
        self.assertEqual([event.sequence for event in events], [1, 2])

    def test_ring_drops_the_oldest(self):
        ring, _ = make_timeline("e1", capacity=3)
        for offset in range(10):
            ring.record(EventKind.PEER_FOUND, offset)
        events = ring.select(Filter())
        self.assertEqual([event.offset for event in events], [7, 8, 9])

    def test_filter(self):
        ring, clock = make_timeline("e1")
        ring.record(EventKind.WAVE_STATE, 1, wave_id="v1")
        ring.record(EventKind.REQUEST_REFUSED, 1, team_id="red")
        clock.time = 200.0
        ring.record(EventKind.WAVE_STATE, 2, wave_id="v1")
        ring.record(EventKind.WAVE_STATE, 3, wave_id="v2")
        selected = ring.select(Filter(wave_id="v1"))
        self.assertEqual([event.offset for event in selected], [1, 2])
        selected = ring.select(Filter(kind=EventKind.WAVE_STATE, since=150.0))
        self.assertEqual([event.offset for event in selected], [2, 3])
        self.assertEqual(ring.select(Filter(limit=1))[0].wave_id, "v2")
