"""Chooses minions for requests, and limits requests to failing minions."""

import random as random_module
from collections.abc import Mapping

from sardinedrift.identifiers import InstanceId
from sardinedrift.objects import Instance

MIN_PROBATION_SECONDS = 0.25
MAX_PROBATION_SECONDS = 30.0
# Long enough that a full minion is not asked again at once, short enough that
# its slots do not stay idle if it was full only for a moment.
BUSY_BACKOFF_SECONDS = 0.1
# Consecutive server errors that put a minion on probation. A team whose own
# requests fail rarely causes as many on a minion that it shares with others.
FAILED_ANSWERS_THRESHOLD = 10


class _Health:
    __slots__ = (
        "busy_until",
        "failed_answers",
        "failed_at",
        "failures",
        "retry_at",
    )

    def __init__(self):
        self.failures = 0
        self.failed_answers = 0
        self.failed_at = 0.0
        self.retry_at = 0.0
        self.busy_until = 0.0


class MinionHealth:
    """Probation and busy reports of the minions of one pool.

    A minion that failed gets one request at a time after an exponential
    backoff, so that failing fast does not attract more work.
    """

    def __init__(self, random: random_module.Random):
        self._random = random
        self._health_by_id: dict[InstanceId, _Health] = {}

    def record_failure(
        self, instance_id: InstanceId, granted_at: float, now: float
    ) -> None:
        """Records the failure of a request that was granted at a given time."""
        health = self._health_by_id.setdefault(instance_id, _Health())
        if health.failures and granted_at < health.failed_at:
            return  # Granted before the failure that was counted last.
        health.failures += 1
        health.failed_at = now
        exponent = min(health.failures - 1, 16)
        delay = min(MIN_PROBATION_SECONDS * 2**exponent, MAX_PROBATION_SECONDS)
        health.retry_at = now + delay * self._random.uniform(1.0, 1.5)

    def record_error_answer(
        self,
        instance_id: InstanceId,
        granted_at: float,
        now: float,
        usable: set[InstanceId],
    ) -> None:
        """Records a server error; many in a row count as a failure.

        Errors caused by the requests themselves appear on every minion, so
        at most half of the usable minions are put on probation this way.
        """
        health = self._health_by_id.setdefault(instance_id, _Health())
        health.failed_answers += 1
        if health.failed_answers < FAILED_ANSWERS_THRESHOLD:
            return
        others = usable - {instance_id}
        failing = sum(1 for each in others if self.on_probation(each))
        if 2 * (failing + 1) <= len(usable):
            self.record_failure(instance_id, granted_at, now)

    def record_success(
        self, instance_id: InstanceId, granted_at: float
    ) -> None:
        """Resets the count of server errors and may end the probation.

        The probation ends if the request was granted after the failure.
        """
        health = self._health_by_id.get(instance_id)
        if health:
            health.failed_answers = 0
        if health and granted_at >= health.failed_at:
            health.failures = 0

    def record_busy(self, instance_id: InstanceId, now: float) -> None:
        """Records that a minion reported all its slots as taken."""
        health = self._health_by_id.setdefault(instance_id, _Health())
        health.busy_until = now + BUSY_BACKOFF_SECONDS

    def on_probation(self, instance_id: InstanceId) -> bool:
        """Returns whether a minion is on probation after a failure."""
        health = self._health_by_id.get(instance_id)
        return health is not None and health.failures > 0

    def free_slots(self, instance: Instance, running: int, now: float) -> int:
        """Returns how many more requests a minion may get now."""
        free = max(0, instance.slots - running)
        health = self._health_by_id.get(instance.instance_id)
        if health is None:
            return free
        if now < health.busy_until:
            return 0
        if not health.failures:
            return free
        if now < health.retry_at or running:
            return 0
        return min(free, 1)

    def next_change(self, now: float) -> float | None:
        """Returns the next unix time at which a minion may get work again."""
        times = [
            time
            for health in self._health_by_id.values()
            for time in (
                health.busy_until,
                health.retry_at if health.failures else 0.0,
            )
            if time > now
        ]
        return min(times, default=None)

    def retain(self, instance_ids: set[InstanceId]) -> None:
        """Drops the records of all other minions."""
        for instance_id in set(self._health_by_id) - instance_ids:
            del self._health_by_id[instance_id]


def choose(
    candidates: list[Instance],
    running_by_id: Mapping[InstanceId, int],
    random: random_module.Random,
) -> Instance:
    """Returns the less loaded of two candidates picked at random.

    Source: Mitzenmacher, "The Power of Two Choices in Randomized Load
    Balancing" (2001).
    """
    picked = random.sample(candidates, min(2, len(candidates)))
    return min(
        picked,
        key=lambda each: running_by_id.get(each.instance_id, 0) / each.slots,
    )
