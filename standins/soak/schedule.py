"""The faults of a seed, in series and overlapping."""

import enum
import random
from collections.abc import Iterator
from typing import NamedTuple

# Faults begin this far apart on average, so that several overlap.
GAP_S = 1.2
LONGEST_S = 5.0
LEAST_S = 0.3


class FaultKind(enum.Enum):
    """What is done, and to whom."""

    KILL = "kill an entry"
    STOP = "stop an entry in order"
    PAUSE = "pause an entry"
    RELOAD = "reload an entry"
    STORE_LINK = "harm an entry's link to the store"
    CALLER_LINK = "harm the callers' link to an entry"
    WORKER_LINK = "harm a worker's link"
    WORKER_CRASH = "crash a worker"
    STORE_REFUSES = "the store refuses all calls"
    STORE_LOSES_ANSWERS = "the store breaks connections in place of answers"
    STORE_EXPIRES = "the store drops its history"
    STORE_REBALANCES = "the store takes control from its holder"
    ALL_KILLED = "kill all entries"
    KEY_WITHDRAWN = "withdraw a key"


# Relative frequency; the harshest are rare enough to leave time for work.
_WEIGHT_BY_KIND = {
    FaultKind.KILL: 3,
    FaultKind.STOP: 3,
    FaultKind.PAUSE: 3,
    FaultKind.RELOAD: 1,
    FaultKind.STORE_LINK: 4,
    FaultKind.CALLER_LINK: 2,
    FaultKind.WORKER_LINK: 5,
    FaultKind.WORKER_CRASH: 2,
    FaultKind.STORE_REFUSES: 1,
    FaultKind.STORE_LOSES_ANSWERS: 1,
    FaultKind.STORE_EXPIRES: 1,
    FaultKind.STORE_REBALANCES: 1,
    FaultKind.ALL_KILLED: 1,
    FaultKind.KEY_WITHDRAWN: 1,
}


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at_s: seconds after the beginning.
        target: number of the entry or worker, to be taken modulo their count.
        for_s: how long it lasts.
        variant: a number that chooses among ways.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    variant: int


def faults(chance: random.Random, length_s: float) -> Iterator[Fault]:
    """Yields the faults of a run, in time order."""
    kinds = list(_WEIGHT_BY_KIND)
    weights = list(_WEIGHT_BY_KIND.values())
    at_s = chance.uniform(0.5, GAP_S)
    while at_s < length_s:
        yield Fault(
            at_s,
            chance.choices(kinds, weights)[0],
            chance.randrange(1000),
            chance.uniform(LEAST_S, LONGEST_S),
            chance.randrange(1000),
        )
        at_s += chance.expovariate(1 / GAP_S)
