"""What an entry does for callers: accept, show, cancel and count jobs."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine.appends import GroupAppender
from sardinedrift.engine.catalogue import (
    JobCatalogue,
    cancel_record,
    submission_record,
)
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import (
    CallError,
    StoreError,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.model import (
    Configuration,
    JobState,
    Queue,
    Submission,
)
from sardinedrift.engine.ports import KeyedRecord
from sardinedrift.identifiers import JobId, TeamId

# What callers are told to wait before another try at this entry's like.
RETRY_AFTER_S = 1
RETRY_APPEND_S = 0.05
# A job that is unknown here is unknown everywhere if the feed is this young.
FRESH_S = 0.05
# What an entry knows is this young while the store answers: a poll of 1 s
# confirms the time at which it was sent, until the next one is answered.
CURRENT_S = 3.0
# Answers are given this long before the caller stops waiting.
ANSWER_MARGIN_S = 0.15


class ConfigurationView:
    """The newest known configuration and its age.

    Args:
        current: returns the configuration, or None before the first.
        feed: the feed it comes from.
        keys_age_s: keyed calls are refused when it is older.
    """

    def __init__(
        self,
        current: Callable[[], Configuration | None],
        feed: Feed,
        keys_age_s: float,
    ):
        self.current = current
        self._feed = feed
        self._keys_age_s = keys_age_s

    @property
    def age(self) -> float:
        """Seconds since it was known to be the newest."""
        return self._feed.age

    def require(self) -> Configuration:
        """Returns the configuration.

        Raises:
            CallError: there is none yet.
        """
        configuration = self.current()
        if configuration is None:
            raise CallError(
                503, "no_configuration", retry_after_s=RETRY_AFTER_S
            )
        return configuration

    def require_key_age(self) -> None:
        """Refuses when a withdrawn key could not be told from a valid one.

        Raises:
            CallError: the configuration is too old.
        """
        if self.age > self._keys_age_s:
            raise CallError(
                503, "configuration_too_old", retry_after_s=RETRY_AFTER_S
            )

    def refuse_absent(self, status: int, code: str) -> CallError:
        """Returns the error for something the configuration lacks."""
        if self.age > CURRENT_S:
            return CallError(
                503, "configuration_too_old", retry_after_s=RETRY_AFTER_S
            )
        return CallError(status, code)


class Entry:
    """Serves callers from the catalogue and the store.

    Args:
        view: configuration.
        catalogue: known jobs.
        feed: the feed that fills the catalogue.
        appender: makes submissions and cancels durable.
        clock: current times.
        log: takes log lines.
    """

    def __init__(
        self,
        view: ConfigurationView,
        catalogue: JobCatalogue,
        feed: Feed,
        appender: GroupAppender,
        clock: Clock,
        log: EventLog,
    ):
        self._view = view
        self._catalogue = catalogue
        self._feed = feed
        self._appender = appender
        self._clock = clock
        self._log = log

    @property
    def ready(self) -> bool:
        """Whether it can accept jobs."""
        return (
            self._view.current() is not None
            and self._feed.loaded
            and self._feed.age < CURRENT_S
            and self._view.age < CURRENT_S
        )

    @property
    def configuration_age(self) -> float:
        """Seconds since the configuration was known to be the newest."""
        return self._view.age

    @property
    def feed_age(self) -> float:
        """Seconds since the jobs were known to be the newest."""
        return self._feed.age

    @property
    def max_body_bytes(self) -> int:
        """Largest body of a call."""
        return self._view.require().max_body_bytes

    def find_queue(self, host: str, path: str) -> Queue:
        """Returns the queue of a call.

        Raises:
            CallError: there is none, or no configuration.
        """
        queue = self._view.require().find_queue(host, path)
        if queue is None:
            raise self._view.refuse_absent(404, "no_such_queue")
        return queue

    def authenticate(self, queue: Queue, key: str | None) -> TeamId:
        """Returns the client account of a call; "" on an anonymous queue.

        Raises:
            CallError: the key is missing, unknown or can't be judged.
        """
        if queue.anonymous:
            return TeamId("")
        self._view.require_key_age()
        team_id = self._view.require().team_id_by_key.get(key or "")
        if team_id is None:
            raise self._view.refuse_absent(401, "key_refused")
        return team_id

    async def accept(self, submission: Submission, deadline: float) -> None:
        """Makes a job durable; a repeat of its id changes nothing.

        Args:
            submission: the job.
            deadline: boot-time clock at which the caller stops waiting.

        Raises:
            CallError: 503 when nothing was stored, 504 when that is unknown.
        """
        if self._catalogue.find(submission.job_id) is None:
            await self._append(submission_record(submission), deadline)
            self._catalogue.apply_submission(submission)
            self._log.write(
                Event.ACCEPTED,
                job=submission.job_id,
                queue=submission.queue_id,
                team=submission.team_id,
                steps=len(submission.steps),
                tasks=sum(step.count for step in submission.steps),
                configuration=self._view.require().version,
                configuration_age_s=round(self._view.age, 3),
            )

    async def state(self, job_id: JobId) -> JobState:
        """Returns the state of a job.

        Raises:
            CallError: 410 when there is none, 503 when that is unknown.
        """
        await self._require_known(job_id)
        return self._catalogue.known_by_id[job_id].state

    async def cancel(self, job_id: JobId, deadline: float) -> None:
        """Cancels a job.

        Raises:
            CallError: as `state` and `accept` do.
        """
        await self._require_known(job_id)
        known = self._catalogue.known_by_id[job_id]
        if known.cancelled:
            return
        await self._append(cancel_record(job_id), deadline)
        self._log.write(Event.CANCEL_STORED, job=job_id)

    def waiting_count(self, queue: Queue) -> int:
        """Returns how many jobs of a queue have not begun."""
        return self._catalogue.waiting_count(queue.queue_id)

    async def _require_known(self, job_id: JobId) -> None:
        if self._catalogue.find(job_id) is not None:
            return
        try:
            if self._feed.age > FRESH_S:
                await self._feed.refresh()
        except StoreError as error:
            raise CallError(
                503, "state_unknown", retry_after_s=RETRY_AFTER_S
            ) from error
        if self._catalogue.find(job_id) is None:
            raise CallError(410, "no_such_job")

    async def _append(self, record: KeyedRecord, deadline: float) -> None:
        """Appends until it is certain, or the caller stops waiting."""
        unknown = False
        while True:
            try:
                left = deadline - ANSWER_MARGIN_S - self._clock.boot()
                async with asyncio.timeout(max(0.0, left)):
                    await self._appender.append(record)
                return
            except TimeoutError as error:
                raise CallError(504, "outcome_unknown") from error
            except StoreUnknown:
                unknown = True
            except StoreRefused as error:
                if not unknown:
                    raise CallError(
                        503, "store_unavailable", retry_after_s=RETRY_AFTER_S
                    ) from error
            await asyncio.sleep(RETRY_APPEND_S)
