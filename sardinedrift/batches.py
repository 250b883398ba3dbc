"""Publishes batches of changes that the caller rebuilds after a failure."""

from collections.abc import Iterable

from loguru import logger

from sardinedrift import changes as ch
from sardinedrift.exceptions import LogServiceError, PublishUnknown
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher

_PUBLISH_TIMEOUT_SECONDS = 10.0


class BatchPublisher:
    """Publishes batches of changes; a failed batch is not retried.

    The caller includes the changes in a later batch if they still apply.

    Args:
        publisher: appends the changes.
        clock: source of the time.
        subject: names the changes in the log line about a failure.
    """

    def __init__(self, publisher: Publisher, clock: Clock, subject: str):
        self._publisher = publisher
        self._clock = clock
        self._subject = subject
        self._failing = False

    async def publish(self, changes: Iterable[ch.AnyChange]) -> None:
        """Publishes a batch; logs only the first of consecutive failures."""
        deadline = self._clock.now() + _PUBLISH_TIMEOUT_SECONDS
        try:
            await self._publisher.publish(changes, deadline)
        except (LogServiceError, PublishUnknown) as error:
            if not self._failing:
                logger.warning("publishing {} failed: {}", self._subject, error)
            self._failing = True
        else:
            self._failing = False
