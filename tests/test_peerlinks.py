"""Tests the rate of exchanges with other data centres and link evidence."""

import unittest
import unittest.mock

from sardinedrift import peerlinks
from sardinedrift.identifiers import Identity
from sardinedrift.links import Link, Timing
from sardinedrift.messages import Exchange
from sardinedrift.peerlinks import LinkTable
from sardinedrift.peerrecords import RELAY_TIMEOUT_SECONDS
from tests.fakes import ManualClock

# Numbers of other data centres: today, and expected in two years.
CURRENT_SIZE = 3
FULL_SIZE = 22
# A withdrawn key must be refused everywhere within this time at full size.
MAX_KEY_WITHDRAWAL_SECONDS = 17.0
EVIDENCE_SECONDS = 3.0
STEP_SECONDS = 0.05


class RemoteExchangeTest(unittest.TestCase):
    def set_up(self, data_centres):
        self.clock = ManualClock()
        self.links = LinkTable(
            Identity("me", "dc0", "me"),
            self.clock,
            Timing(0.25, 0.75),
            Timing(1.0, 3.0),
            lambda data_centre_id: {
                f"{data_centre_id}-{number}" for number in range(3)
            },
        )
        self.data_centre_ids = [
            f"dc{number + 1}" for number in range(data_centres)
        ]
        for data_centre_id in self.data_centre_ids:
            for number in range(3):
                self.links.add(
                    f"{data_centre_id}-{number}"
                ).data_centre_id = data_centre_id
        self.silent = set()
        self.refusing = set()

    def step(self):
        """Sends due exchanges and returns the links of the answered ones."""
        self.clock.time += STEP_SECONDS
        due = [
            each
            for each in self.links.by_address.values()
            if self.links.begin_if_due(each)
        ]
        self.sent += len(due)
        answered = []
        for link in due:
            if link.address in self.silent | self.refusing:
                refused = link.address in self.refusing
                self.links.record_failed(link, refused)
            else:
                self.links.record_answered(link, self.exchange(link))
                answered.append(link)
        return answered

    def exchange(self, link):
        return Exchange(
            entry_id=link.address,
            data_centre_id=link.data_centre_id,
            address=link.address,
            member=True,
            ready=True,
            stopping=False,
            offset=0,
            current_at=0.0,
        )

    def run_steps(self, seconds):
        self.sent = 0
        for _ in range(round(seconds / STEP_SECONDS)):
            yield self.step()

    def live_data_centres(self):
        return {each.data_centre_id for each in self.links.live()}

    def test_at_most_five_exchanges_a_second(self):
        """Guards against a cost that grows with the number of data centres."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        for _ in self.run_steps(44.0):
            # No link may expire because of the longer interval.
            self.assertEqual(len(self.live_data_centres()), FULL_SIZE)
        self.assertLessEqual(self.sent, 5 * 44 + FULL_SIZE)

    def test_exchanges_are_spread_over_the_interval(self):
        """Guards against bursts of exchanges that delay requests."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        for answered in self.run_steps(44.0):
            self.assertLess(len(answered), FULL_SIZE // 2)

    def test_few_data_centres_exchange_every_second(self):
        """Guards against a longer interval at the current size."""
        self.set_up(CURRENT_SIZE)
        for _ in self.run_steps(20.0):
            pass
        self.assertGreaterEqual(self.sent, 19 * CURRENT_SIZE)
        link = next(self.links.live())
        self.assertEqual(self.links.timing(link), Timing(1.0, 3.0))

    def test_a_timer_that_ends_early_is_taken(self):
        """Guards against a skipped exchange when a timer fires early.

        Event loop timers may fire up to a millisecond before their time.
        """
        self.set_up(CURRENT_SIZE)
        near = self.links.add("dc0-1")
        near.data_centre_id = "dc0"
        self.assertTrue(self.links.begin_if_due(near))
        self.clock.time += 0.2
        self.assertFalse(self.links.begin_if_due(near))
        self.clock.time += 0.049
        self.assertTrue(self.links.begin_if_due(near))

    def test_an_early_exchange_is_not_sent_twice(self):
        """Guards against a second exchange at the time that was anticipated."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        link = next(self.links.live())
        while not self.links.begin_if_due(link):
            self.clock.time += 0.001
        self.clock.time += 0.1
        self.assertFalse(self.links.begin_if_due(link))

    def test_a_failed_partner_is_replaced_within_a_second(self):
        """Guards against a replacement that waits for a long interval."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        partner = next(
            each for each in self.links.live() if each.data_centre_id == "dc1"
        )
        self.links.record_failed(partner, refused=True)
        others = [
            each
            for each in self.links.by_address.values()
            if each.data_centre_id == "dc1" and each is not partner
        ]
        for other in others:
            self.assertLessEqual(
                self.links.seconds_until_check(other, self.clock.time), 1.0
            )
        self.clock.time += 1.0
        self.assertEqual(sum(map(self.links.begin_if_due, others)), 1)

    def test_the_end_of_a_cut_is_noticed_in_time(self):
        """Guards against a key withdrawal relayed late after a partition.

        All remote addresses are silent; then a single one is reachable again.
        """
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        self.silent = set(self.links.by_address)
        for _ in self.run_steps(60.0):
            pass
        self.assertEqual(self.live_data_centres(), set())
        # Each of several addresses in turn is the only reachable one.
        for address in sorted(self.silent)[::11]:
            self.silent.discard(address)
            healed_at = self.clock.time
            while not any(self.step()):
                self.assertLess(
                    self.clock.time - healed_at, MAX_KEY_WITHDRAWAL_SECONDS
                )
            link = self.links.by_address[address]
            delay = self.clock.time - healed_at
            # An exchange sent earlier may first have to time out, and one page
            # of records is read.
            delay += self.links.timeout(link) + RELAY_TIMEOUT_SECONDS
            self.assertLess(delay, MAX_KEY_WITHDRAWAL_SECONDS)
            self.silent.add(address)

    def test_a_refusing_address_is_observed_without_gaps(self):
        """Guards against gaps that restart the evidence of an ended process."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        self.refusing = {f"dc1-{number}" for number in range(3)}
        link = self.links.by_address["dc1-0"]
        max_duration = 0.0
        for _ in self.run_steps(30.0):
            now = self.clock.time
            since = link.ended_since("dc1-0", now)
            max_duration = max(max_duration, now - since if since else 0.0)
        self.assertGreaterEqual(max_duration, 2 * EVIDENCE_SECONDS)

    def test_another_process_is_observed_without_gaps(self):
        """Guards against gaps in the evidence when a successor answers."""
        self.set_up(FULL_SIZE)
        for _ in self.run_steps(15.0):
            pass
        link = next(self.links.live())
        earlier = link.entry_id
        max_duration = 0.0
        for _ in range(round(30.0 / STEP_SECONDS)):
            self.clock.time += STEP_SECONDS
            now = self.clock.time
            if self.links.begin_if_due(link):
                link.record_answered("successor", now)
            since = link.ended_since(earlier, now)
            max_duration = max(max_duration, now - since if since else 0.0)
        self.assertGreaterEqual(max_duration, 2 * EVIDENCE_SECONDS)

    def test_evidence_ends_at_a_gap(self):
        """Guards against counting a pause of the observer as evidence."""
        link = Link("b")
        link.record_refused(1.0)
        link.record_refused(2.0)
        self.assertEqual(link.ended_since("b", 2.5), 1.0)
        link.record_refused(9.0)
        self.assertEqual(link.ended_since("b", 9.0), 9.0)


class RateLimitCheckTest(unittest.TestCase):
    def test_rate_test_fails_without_the_limit(self):
        """Guards against a rate test that passes without the rate limit."""
        test = RemoteExchangeTest("test_at_most_five_exchanges_a_second")
        with (
            unittest.mock.patch.object(
                peerlinks, "MAX_REMOTE_EXCHANGES_PER_SECOND", 1000.0
            ),
            self.assertRaises(AssertionError),
        ):
            test.test_at_most_five_exchanges_a_second()
