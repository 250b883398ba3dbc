"""Retry budgets and backoff."""

import random as random_module

EARNED_PER_SUCCESS = 0.1
COST_PER_RETRY = 1.0
MAX_BALANCE = 10.0
INITIAL_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 2.0


class RetryBudget:
    """Limits retries to a tenth of the successes.

    Retries then cannot multiply the load of a failing pool.

    Args:
        balance: number of retries allowed at first.
    """

    def __init__(self, balance: float = MAX_BALANCE):
        self.balance = min(balance, MAX_BALANCE)

    def record_success(self) -> None:
        """Adds a tenth of a retry to the budget."""
        self.balance = min(MAX_BALANCE, self.balance + EARNED_PER_SUCCESS)

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        # As floating-point numbers, ten times 0.1 add up to less than 1.
        if self.balance < COST_PER_RETRY - 1e-9:
            return False
        self.balance = max(0.0, self.balance - COST_PER_RETRY)
        return True


def delay(attempt: int, random: random_module.Random) -> float:
    """Returns the backoff before the next attempt, in seconds.

    The delay grows exponentially, with full jitter.

    Args:
        attempt: number of failed attempts, from 1.
        random: source of the jitter.
    """
    exponent = min(max(attempt, 1) - 1, 16)
    max_delay = min(MAX_DELAY_SECONDS, INITIAL_DELAY_SECONDS * 2**exponent)
    return random.uniform(0.0, max_delay)
