"""Random schedule of the faults of a seed; faults may overlap."""

import enum
import random
from collections.abc import Iterator
from typing import NamedTuple

# Mean interval between the starts of faults, short enough that several overlap.
MEAN_INTERVAL_S = 1.2
MAX_DURATION_S = 5.0
MIN_DURATION_S = 0.3
MEAN_EVACUATION_INTERVAL_S = 6.0
MEAN_CROWD_INTERVAL_S = 4.0
MEAN_REPLACEMENT_INTERVAL_S = 7.0


class FaultKind(enum.Enum):
    """Kind of a fault; the value describes the fault in reports."""

    KILL = "kill an entry"
    STOP = "stop an entry in order"
    PAUSE = "pause an entry"
    RELOAD = "reload an entry"
    STORE_LINK = "harm an entry's link to the store"
    CALLER_LINK = "harm the callers' link to an entry"
    WORKER_LINK = "harm a worker's link"
    WORKER_CRASH = "crash a worker"
    WORKER_REPLACED = "crash a worker, and start another at its address"
    STORE_REFUSES = "the store refuses all calls"
    STORE_LOSES_ANSWERS = "the store breaks connections in place of answers"
    STORE_EXPIRES = "the store drops its history"
    STORE_REBALANCES = "the store takes control from its holder"
    ALL_KILLED = "kill all entries"
    KEY_WITHDRAWN = "withdraw a key"
    EVACUATED = "evacuate a data centre"
    HOSTILE_CLIENTS = "hostile clients at an entry"


# Relative frequencies; the most disruptive faults are rare, so that jobs can
# make progress in between.
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
    """One scheduled fault.

    Attributes:
        at_s: start, in seconds since the start of the schedule.
        target: index of the entry or worker, modulo their count.
        for_s: duration in seconds.
        variant: number from 0 to 999 that selects details of the fault.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float
    variant: int


def generate_faults(rng: random.Random, duration_s: float) -> Iterator[Fault]:
    """Yields the faults that start within a duration, in time order."""
    kinds = list(_WEIGHT_BY_KIND)
    weights = list(_WEIGHT_BY_KIND.values())
    at_s = rng.uniform(0.5, MEAN_INTERVAL_S)
    while at_s < duration_s:
        yield _fault(rng, at_s, rng.choices(kinds, weights)[0])
        at_s += rng.expovariate(1 / MEAN_INTERVAL_S)


def generate_evacuations(
    rng: random.Random, duration_s: float
) -> Iterator[Fault]:
    """Yields the evacuations that start within a duration, in time order."""
    at_s = rng.uniform(0.0, MEAN_EVACUATION_INTERVAL_S)
    while at_s < duration_s:
        yield _fault(rng, at_s, FaultKind.EVACUATED)
        at_s += rng.expovariate(1 / MEAN_EVACUATION_INTERVAL_S)


def generate_crowds(rng: random.Random, duration_s: float) -> Iterator[Fault]:
    """Yields crowds of hostile clients, in time order."""
    at_s = rng.expovariate(1 / MEAN_CROWD_INTERVAL_S)
    while at_s < duration_s:
        yield _fault(rng, at_s, FaultKind.HOSTILE_CLIENTS)
        at_s += rng.expovariate(1 / MEAN_CROWD_INTERVAL_S)


def generate_replacements(
    rng: random.Random, duration_s: float
) -> Iterator[Fault]:
    """Yields the replacements of workers, in time order."""
    at_s = rng.expovariate(1 / MEAN_REPLACEMENT_INTERVAL_S)
    while at_s < duration_s:
        yield _fault(rng, at_s, FaultKind.WORKER_REPLACED)
        at_s += rng.expovariate(1 / MEAN_REPLACEMENT_INTERVAL_S)


def _fault(rng: random.Random, at_s: float, kind: FaultKind) -> Fault:
    """Returns a fault with a random target, duration and variant."""
    return Fault(
        at_s,
        kind,
        rng.randrange(1000),
        rng.uniform(MIN_DURATION_S, MAX_DURATION_S),
        rng.randrange(1000),
    )
