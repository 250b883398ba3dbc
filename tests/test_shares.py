"""Fair shares: simulated pools with run times unknown to the ledger."""

import heapq
import random
import unittest

from sardinedrift.retries import RetryBudget, delay
from sardinedrift.shares import ShareLedger

SHARES = {"red": 1.0, "blue": 2.0, "green": 5.0}
MEAN_RUN = {"red": 1.0, "blue": 0.005, "green": 0.1}


class _Unfair(ShareLedger):
    """Serves teams at random, as a queue without shares would."""

    def next_team(self, waiting_teams, now):
        return random.Random(now).choice(sorted(waiting_teams))


class _Saving(ShareLedger):
    """Lets an idle team save up its unused share."""

    def _lowest_waiting(self):
        return 0.0


def simulate(ledger, windows, seed=1, slots=64):
    """Returns the slot-seconds by team in each (start, end) window.

    Args:
        ledger: chooses the teams.
        windows: list of ((start, end), teams with endless work).
        seed: seed of the run times.
        slots: number of slots of the pool.
    """
    source = random.Random(seed)
    used = [dict.fromkeys(SHARES, 0.0) for _ in windows]
    ends, now, base = [], 0.0, 1000.0
    waiting = set()
    for (start, end), teams in windows:
        now = max(now, start)
        while now < end:
            for team in waiting - set(teams):
                ledger.stop_waiting(team, base + now)
            waiting = set(teams)
            while len(ends) < slots:
                team = ledger.next_team(sorted(teams), base + now)
                ledger.start(team, base + now)
                run = source.expovariate(1.0 / MEAN_RUN[team])
                heapq.heappush(ends, (now + run, team, now))
            finished, team, started = heapq.heappop(ends)
            ledger.finish(team, base + finished)
            now = finished
            for each, ((low, high), _) in enumerate(windows):
                overlap = min(finished, high) - max(started, low)
                used[each][team] += max(0.0, overlap)
    for finished, team, started in ends:
        low, high = windows[-1][0]
        used[-1][team] += max(0.0, min(finished, high) - max(started, low))
    return used


def distance(used, teams):
    """Returns the largest relative distance of a team from its share."""
    total = sum(used[team] for team in teams)
    weights = sum(SHARES[team] for team in teams)
    return max(
        abs(used[team] / total / (SHARES[team] / weights) - 1) for team in teams
    )


class ShareTest(unittest.TestCase):
    def _distance_in_full_pool(self, ledger, seed):
        teams = list(SHARES)
        windows = [((0.0, 2.0), teams), ((2.0, 12.0), teams)]
        return distance(simulate(ledger, windows, seed)[1], teams)

    def test_full_pool_is_divided_by_shares(self):
        """Guards against long requests crowding out short ones."""
        for seed in range(5):
            largest_distance = self._distance_in_full_pool(
                ShareLedger(SHARES.get), seed
            )
            self.assertLess(largest_distance, 0.05)

    def test_random_choice_fails_the_same_check(self):
        self.assertGreater(
            self._distance_in_full_pool(_Unfair(SHARES.get), 1), 0.05
        )

    def _simulate_return(self, ledger):
        others = ["red", "blue"]
        windows = [((0.0, 20.0), others), ((20.0, 30.0), list(SHARES))]
        return simulate(ledger, windows)

    def test_lent_share_comes_back_and_is_not_saved_up(self):
        """Guards against a returning team that takes the whole pool."""
        lent, after = self._simulate_return(ShareLedger(SHARES.get))
        self.assertLess(distance(lent, ["red", "blue"]), 0.05)
        self.assertGreater(sum(lent.values()), 0.99 * 20 * 64)
        # The first second is used by requests that were running at the return.
        self.assertLess(distance(after, list(SHARES)), 0.1)

    def test_saved_share_fails_the_same_check(self):
        _, after = self._simulate_return(_Saving(SHARES.get))
        self.assertGreater(distance(after, list(SHARES)), 0.1)

    def test_use_in_another_data_centre_counts(self):
        """Guards against a team that gets its share once per data centre."""
        ledger = ShareLedger(lambda team: 1.0)
        ledger.start_waiting("red", 1.0)
        ledger.start_waiting("blue", 1.0)
        ledger.add_use("blue", 1.0)
        self.assertEqual(ledger.next_team(["blue", "red"], 1.0), "red")

    def test_use_counts_only_while_somebody_waits(self):
        """Guards against charging a team for slots nobody else wanted."""
        ledger = ShareLedger(lambda team: 1.0)
        ledger.start("red", 1.0)
        self.assertEqual(ledger.contended_use(5.0), {"red": 0.0})
        ledger.start_waiting("blue", 5.0)
        self.assertEqual(ledger.contended_use(7.0), {"red": 2.0})

    def _next_after_an_end(self, end):
        """Ends a slot of red after 5 s while blue waits too."""
        ledger = ShareLedger({"red": 1.0, "blue": 1.0}.get)
        for team in ("red", "blue"):
            ledger.start_waiting(team, 1000.0)
        started = ledger.start("red", 1000.0)
        end(ledger, started)
        chosen = ledger.next_team(["red", "blue"], 1005.0)
        return chosen, ledger.contended_use(1005.0)

    def test_unused_slot_is_not_charged(self):
        """Guards against requests that are refused and use up a share."""
        cancel = self._next_after_an_end(
            lambda ledger, started: ledger.cancel("red", 1005.0, started)
        )
        self.assertEqual(cancel, ("red", {}))
        finish = self._next_after_an_end(
            lambda ledger, _: ledger.finish("red", 1005.0)
        )
        self.assertEqual(finish, ("blue", {"red": 5.0}))

    def test_six_hundred_teams_stay_near_their_share(self):
        """Guards against a team that is never served among many."""
        ledger = ShareLedger(lambda team: 1.0)
        teams = [f"t{number}" for number in range(600)]
        served = dict.fromkeys(teams, 0)
        for step in range(1800):
            now = 1.0 + step * 0.01
            team = ledger.next_team(teams, now)
            served[team] += 1
            ledger.start(team, now)
            ledger.finish(team, now + 0.01)
        self.assertEqual(set(served.values()), {3})


class RetryTest(unittest.TestCase):
    def test_retries_are_a_tenth_of_successes(self):
        """Guards against retries that multiply load in an outage."""
        budget = RetryBudget()
        self.assertEqual(sum(budget.try_spend() for _ in range(50)), 10)
        for _ in range(10):
            self.assertFalse(budget.try_spend())
            budget.record_success()
        self.assertTrue(budget.try_spend())

    def test_delay_is_bounded(self):
        """Guards against a delay that overflows or grows without end."""
        source = random.Random(1)
        delays = [delay(attempt, source) for attempt in (0, 1, 5, 10_000)]
        self.assertTrue(all(0 <= each <= 2.0 for each in delays))
