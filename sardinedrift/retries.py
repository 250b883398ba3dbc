"""Retry budgets and backoff."""

import random as random_module

EARNED_PER_SUCCESS = 0.1
COST_PER_RETRY = 1.0
MAX_BALANCE = 10.0
INITIAL_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


class RetryBudget:
    """Bounds retries to a tenth of the successes, so load cannot multiply."""

    def __init__(self, balance: float = MAX_BALANCE):
        self.balance = min(balance, MAX_BALANCE)

    def record_success(self) -> None:
        """Earns a tenth of a retry."""
        self.balance = min(MAX_BALANCE, self.balance + EARNED_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Pays for one retry; False when the budget does not allow it."""
        # Ten earnings of 0.1 add up to slightly less than 1.
        if self.balance < COST_PER_RETRY - 1e-9:
            return False
        self.balance = max(0.0, self.balance - COST_PER_RETRY)
        return True


def delay(attempt: int, random: random_module.Random) -> float:
    """Returns the seconds to wait before an attempt, with full jitter.

    Args:
        attempt: number of attempts that failed so far, from 1 on.
        random: source of the jitter.
    """
    exponent = min(max(attempt, 1) - 1, 16)
    longest = min(MAX_DELAY_SECONDS, INITIAL_DELAY_SECONDS * 2**exponent)
    return random.uniform(0.0, longest)
