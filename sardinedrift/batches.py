"""Publishes batches that drivers collect again after a failure."""

from collections.abc import Iterable

from loguru import logger

from sardinedrift import changes as ch
from sardinedrift.exceptions import LogServiceError, PublishUnknown
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher

_PUBLISH_SECONDS = 10.0


class BatchPublisher:
    """Publishes batches; one that fails is left for the caller to repeat.

    Args:
        publisher: appends the changes.
        clock: source of the time.
        what: names the changes in the log line of a failure.
    """

    def __init__(self, publisher: Publisher, clock: Clock, what: str):
        self._publisher = publisher
        self._clock = clock
        self._what = what
        self._failing = False

    async def publish(self, changes: Iterable[ch.AnyChange]) -> None:
        """Publishes a batch; logs only the first of several failures."""
        deadline = self._clock.now() + _PUBLISH_SECONDS
        try:
            await self._publisher.publish(changes, deadline)
        except (LogServiceError, PublishUnknown) as error:
            if not self._failing:
                logger.warning("{} wait: {}", self._what, error)
            self._failing = True
        else:
            self._failing = False
