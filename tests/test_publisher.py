"""Publisher: applies a change once and reports its outcome correctly."""

import asyncio
import time
import unittest

from sardinedrift.exceptions import LogUnavailable, PublishUnknown
from sardinedrift.follower import Follower
from sardinedrift.publisher import Publisher
from tests.fakes import FakeLog, ManualClock, SystemClock, running, until
from tests.sample_changes import join, put_pool, put_team, start_move
from tests.test_allowances import take


def soon(seconds=20.0):
    return time.time() + seconds


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = FakeLog()
        self.follower, self.publisher = self.pair()

    def pair(self):
        clock = SystemClock()
        follower = Follower(
            self.log, clock, poll_timeout_seconds=0.1, max_backoff_seconds=0.02
        )
        publisher = Publisher(
            self.log, follower, clock, max_backoff_seconds=0.02
        )
        return follower, publisher

    async def test_answers_with_the_folded_result(self):
        """Guards against returning before this entry has folded the change."""
        async with running(self.follower):
            results = await self.publisher.publish(
                [put_pool(), put_team()], soon()
            )
        self.assertTrue(all(each.accepted for each in results))
        self.assertIn("red", self.follower.state.tables.team_by_id)
        self.assertEqual(self.log.attempts, 1)

    async def test_lost_answers_are_applied_once(self):
        """Guards against applying a repeated append a second time."""
        self.log.lost_answers = 3
        self.log.lost_appends = 1
        async with running(self.follower):
            [result] = await self.publisher.publish([put_team()], soon())
        self.assertTrue(result.accepted)
        team = self.follower.state.tables.team_by_id["red"]
        self.assertEqual(team.revision, 1)

    async def test_lost_answers_change_allowances_once(self):
        """Guards against units taken twice by a repeated append."""
        self.log.put_changes(put_team(limit=8), join("e1"))
        self.log.lost_answers = 3
        change = take(1, 2)
        async with running(self.follower):
            await self.publisher.publish([change], soon())
            [again] = await self.publisher.publish([change], soon())
        self.assertEqual(again.code, "already_folded")
        rows = self.follower.state.tables.allowances_by_team
        self.assertEqual(rows["red"].units_by_entry, {"e1": 2})

    async def test_allowances_in_a_snapshot_end_as_unknown(self):
        """Guards against waiting indefinitely for a result that is not kept."""
        self.log.put_changes(put_team(limit=8), join("e1"))
        other, _ = self.pair()
        publishing = asyncio.create_task(
            self.publisher.publish([take(1, 2)], soon(0.5))
        )
        await until(lambda: self.log.next == 2)
        async with running(other):
            await until(lambda: other.state.offset == 1)
        self.follower._replace_state(other.state, "peer")
        with self.assertRaises(PublishUnknown):
            await publishing
        rows = self.follower.state.tables.sequence_by_publisher
        self.assertEqual(rows, {"e1": 1})

    async def test_a_repeated_change_id_gives_the_first_outcome(self):
        """Guards against a conflict when an operator repeats a change."""
        change = put_team()
        async with running(self.follower):
            first = await self.publisher.publish([change], soon())
            again = await self.publisher.publish([change], soon())
        self.assertEqual(first, again)
        self.assertEqual(self.log.attempts, 1)

    async def test_a_change_that_cannot_apply_is_not_appended(self):
        """Guards against records of changes that every reader rejects."""
        move = start_move("absent", "pairing")
        async with running(self.follower):
            [result] = await self.publisher.publish([move], soon())
        self.assertEqual(
            (result.code, result.field), ("not_found", "instance_id")
        )
        self.assertEqual(self.log.attempts, 0)

    async def test_a_lagging_entry_does_not_refuse_a_change_in_force(self):
        """Guards against `rejected` for a change that was accepted before."""
        self.log.put_changes(put_pool())
        team = put_team()
        self.log.put_changes(team)
        async with running(self.follower):
            [result] = await self.publisher.publish([team], soon())
        self.assertTrue(result.accepted)

    async def test_an_outage_appends_nothing(self):
        """Guards against `unknown` when nothing can have happened."""
        self.log.up = False
        with self.assertRaises(LogUnavailable):
            await self.publisher.publish([put_team()], soon(0.1))

    async def test_a_lost_append_is_unknown(self):
        """Guards against claiming that a lost append had no effect."""
        self.log.lost_appends = 1000
        with self.assertRaises(PublishUnknown):
            await self.publisher.publish([put_team()], soon(0.1))

    async def test_an_unfolded_append_is_unknown(self):
        """Guards against `accepted` before this entry has folded the change."""
        with self.assertRaises(PublishUnknown):
            await self.publisher.publish([put_team()], soon(0.1))
        self.assertEqual(self.log.next, 1)

    async def test_obvious_errors_are_not_appended(self):
        """Guards against filling the log with changes that cannot be valid."""
        bad = put_team("blue", limit=-1)
        async with running(self.follower):
            results = await self.publisher.publish([put_team(), bad], soon())
            atomic = await self.publisher.publish(
                [put_team("green"), bad], soon(), atomic=True
            )
        self.assertEqual([each.accepted for each in results], [True, False])
        self.assertEqual(results[1].field, "limit")
        self.assertFalse(any(each.accepted for each in atomic))
        self.assertEqual(self.log.attempts, 1)

    async def test_a_lagging_entry_does_not_refuse(self):
        """Guards against a false rejection where the state is old."""
        self.log.put_changes(put_team())
        edit = put_team(revision=1, limit=9)
        publishing = asyncio.create_task(self.publisher.publish([edit], soon()))
        await until(lambda: self.log.next == 2)
        async with running(self.follower):
            [result] = await publishing
        self.assertTrue(result.accepted)

    async def test_two_publishers_have_one_winner(self):
        """Guards against `accepted` for both of two conflicting changes."""
        follower, publisher = self.pair()
        async with running(self.follower, follower):
            pairs = await asyncio.gather(
                self.publisher.publish([put_team(limit=1)], soon()),
                publisher.publish([put_team(limit=2)], soon()),
            )
            await until(lambda: self.follower.state.offset == 1)
            await until(lambda: follower.state.offset == 1)
        accepted = [results[0].accepted for results in pairs]
        self.assertEqual(sorted(accepted), [False, True])
        limits = {
            each.state.tables.team_by_id["red"].limit
            for each in (self.follower, follower)
        }
        self.assertEqual(limits, {1 + accepted.index(True)})

    async def test_system_changes_share_records(self):
        """Guards against one append for each of 600 teams."""
        async with running(self.follower):
            results = await asyncio.gather(
                *(
                    self.publisher.publish_until_folded(put_team(f"t{index}"))
                    for index in range(600)
                )
            )
        self.assertTrue(all(each.accepted for each in results))
        self.assertLessEqual(self.log.attempts, 4)

    async def test_system_changes_outlast_an_outage(self):
        """Guards against losing a system change in an outage."""
        self.log.up = False
        async with running(self.follower):
            publishing = asyncio.create_task(
                self.publisher.publish_until_folded(put_team())
            )
            await until(lambda: self.log.attempts > 3)
            self.log.lost_answers = 1
            self.log.up = True
            result = await publishing
        self.assertTrue(result.accepted)

    async def test_no_repeat_when_results_may_be_forgotten(self):
        """Guards against applying a change twice once its result is dropped."""
        clock = ManualClock()
        publisher = Publisher(self.log, self.follower, clock)
        self.log.lost_answers = 1000
        publishing = asyncio.create_task(
            publisher.publish_until_folded(put_team())
        )
        await until(lambda: self.log.next == 1)
        clock.time += 3600.0
        with self.assertRaises(PublishUnknown):
            await publishing
        self.assertEqual(self.log.next, 1)
