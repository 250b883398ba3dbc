"""Operations of an entry for callers: accept, show, cancel and count jobs."""

import asyncio

from sardinedrift.engine.appends import GroupAppender
from sardinedrift.engine.catalogue import (
    JobCatalogue,
    KeyKind,
    KnownJob,
    cancel_record,
    record_key,
    submission_record,
)
from sardinedrift.engine.clock import Clock
from sardinedrift.engine.configurationview import (
    RETRY_AFTER_S,
    ConfigurationView,
)
from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import (
    CallError,
    RecordTooLarge,
    StoreError,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.feed import Feed
from sardinedrift.engine.model import (
    ENDED_STATES,
    JobState,
    Queue,
    Submission,
)
from sardinedrift.engine.storeports import KeyedRecord
from sardinedrift.identifiers import JobId, TeamId

# A backlog is reported anew at about this interval.
OVERLOAD_RETRY_AFTER_S = 2
APPEND_RETRY_INTERVAL_S = 0.05
# If the feed is at most this old, a job missing here was not stored; otherwise
# the feed is refreshed before the answer.
MAX_FRESH_AGE_S = 0.05
# Above this age the store is taken as out of reach: the entry is not ready and
# refuses jobs at once, so that callers soon reach one that can store them.
# Readiness is checked once a second and withdrawn by the second failed check.
MAX_REACHABLE_AGE_S = 2.0
# A record of unknown outcome may still be stored for this long.
UNCERTAIN_S = 20.0
# Answers are sent this long before the caller's deadline.
ANSWER_MARGIN_S = 0.15


class Entry:
    """Serves callers from the catalogue and the store.

    Args:
        view: the configuration.
        catalogue: the known jobs.
        feed: feed that fills the catalogue.
        appender: makes submissions and cancellations durable.
        clock: source of the current time.
        log: receives log lines.
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
        self._uncertain_until_by_key: dict[str, float] = {}

    @property
    def ready(self) -> bool:
        """Whether the entry can accept jobs."""
        return (
            self._view.current() is not None
            and self._feed.loaded
            and self._store_reachable
            and self._view.age < MAX_REACHABLE_AGE_S
        )

    @property
    def _store_reachable(self) -> bool:
        return self._feed.age < MAX_REACHABLE_AGE_S

    @property
    def configuration_age(self) -> float:
        """Seconds since the configuration was known to be the newest."""
        return self._view.age

    @property
    def feed_age(self) -> float:
        """Seconds since the jobs were known to be up to date."""
        return self._feed.age

    @property
    def max_body_bytes(self) -> int:
        """Size limit for the body of a call, in bytes."""
        return self._view.require().max_body_bytes

    def find_queue(self, host: str, path: str) -> Queue:
        """Returns the queue of a call.

        Raises:
            CallError: there is no such queue, or no configuration.
        """
        queue = self._view.require().find_queue(host, path)
        if queue is None:
            raise self._view.absence_error(404, "no_such_queue")
        return queue

    def authenticate(self, queue: Queue, key: str | None) -> TeamId:
        """Returns the client account of a call; "" on an anonymous queue.

        Raises:
            CallError: 401 when the key is missing or unknown, 503 when the
                configuration is missing or too old to validate it.
        """
        if queue.anonymous:
            return TeamId("")
        self._view.require_fresh_keys()
        team_id_by_key = self._view.require().team_id_by_key
        # An account that was published with an empty key must not admit calls
        # without one.
        team_id = team_id_by_key.get(key) if key else None
        if team_id is None:
            raise self._view.absence_error(401, "key_refused")
        return team_id

    async def accept(self, submission: Submission, deadline: float) -> None:
        """Makes a job durable; does nothing if its id is already known.

        Args:
            submission: the job.
            deadline: boot-time clock at which the caller stops waiting.

        Raises:
            CallError: 409 when the id is that of a job of another client
                account, 503 when the job was not stored, also because jobs like
                it starve already, 413 when it exceeds the store's limit, 504
                when it is unknown whether it was stored.
        """
        if self._catalogue.find(submission.job_id) is None:
            self._require_store(submission)
            await self._require_capacity(submission)
        known = self._catalogue.find(submission.job_id)
        if known and not _may_use(known.submission, submission.team_id):
            raise CallError(409, "id_in_use")
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

    async def state(self, job_id: JobId, team_id: TeamId) -> JobState:
        """Returns the state of a job.

        Args:
            job_id: the job.
            team_id: client account of the caller; "" on an anonymous queue.

        Raises:
            CallError: 410 when the client account has no such job, 503 when it
                is unknown whether it has.
        """
        known = await self._require_known(job_id, team_id)
        if known.state not in ENDED_STATES:
            await self._feed.catch_up()
        return known.state

    async def cancel(
        self, job_id: JobId, team_id: TeamId, deadline: float
    ) -> None:
        """Cancels a job.

        Args:
            job_id: the job.
            team_id: client account of the caller; "" on an anonymous queue.
            deadline: boot-time clock at which the caller stops waiting.

        Raises:
            CallError: as for `state` and `accept`.
        """
        known = await self._require_known(job_id, team_id)
        if known.cancelled:
            return
        await self._append(cancel_record(job_id), deadline)
        self._log.write(Event.CANCEL_STORED, job=job_id)

    def waiting_count(self, queue: Queue) -> int:
        """Returns how many jobs of a queue have not started."""
        return self._catalogue.waiting_count(queue.queue_id)

    def _require_store(self, submission: Submission) -> None:
        """Checks that an attempt to store a job has a chance to succeed.

        A caller would wait for most of its deadline otherwise, and then not
        know whether the job was stored. One whose earlier call may have stored
        the job is served, as it must not be told that it was not.

        Raises:
            CallError: 503 when the store is out of reach.
        """
        key = record_key(KeyKind.SUBMISSION, submission.job_id)
        if (
            not self._store_reachable
            and key not in self._uncertain_until_by_key
        ):
            raise CallError(
                503, "store_unavailable", retry_after_s=RETRY_AFTER_S
            )

    async def _require_capacity(self, submission: Submission) -> None:
        """Checks that a job would not only add to a backlog.

        Jobs that run until they are cancelled or have due times are accepted,
        as they are placed first or later. So is a job that an earlier call may
        have stored.

        Raises:
            CallError: 503 when jobs of the client account starve on the queue.
        """
        key = record_key(KeyKind.SUBMISSION, submission.job_id)
        if (
            submission.repeats
            or any(step.long_running for step in submission.steps)
            or key in self._uncertain_until_by_key
            or not self._catalogue.is_overloaded(
                submission.queue_id,
                submission.team_id,
                self._clock.unix_ms(),
            )
        ):
            return
        # Another entry may have stored the job in an earlier call.
        await self._refresh_for_absence()
        if self._catalogue.find(submission.job_id) is None:
            raise CallError(
                503, "overloaded", retry_after_s=OVERLOAD_RETRY_AFTER_S
            )

    async def _require_known(self, job_id: JobId, team_id: TeamId) -> KnownJob:
        if self._catalogue.find(job_id) is None:
            await self._refresh_for_absence()
        known = self._catalogue.find(job_id)
        if known is None or not _may_use(known.submission, team_id):
            raise CallError(410, "no_such_job")
        return known

    async def _refresh_for_absence(self) -> None:
        """Makes sure that a job missing in the catalogue is not stored.

        Raises:
            CallError: 503 when the store does not answer.
        """
        try:
            if self._feed.age > MAX_FRESH_AGE_S:
                await self._feed.refresh()
        except StoreError as error:
            raise CallError(
                503, "state_unknown", retry_after_s=RETRY_AFTER_S
            ) from error

    async def _append(self, record: KeyedRecord, deadline: float) -> None:
        """Appends a record, and remembers it while its outcome is unknown.

        Raises:
            CallError: 503 when the record was not stored, 504 when that is
                still unknown close to the deadline, also from an earlier call.
        """
        uncertain_until = self._uncertain_until_by_key
        now = self._clock.boot()
        for key in [key for key, end in uncertain_until.items() if end < now]:
            del uncertain_until[key]
        try:
            await self._append_until_known(
                record, deadline, record.key in uncertain_until
            )
        except (CallError, asyncio.CancelledError) as error:
            if not isinstance(error, CallError) or error.status != 503:
                uncertain_until[record.key] = self._clock.boot() + UNCERTAIN_S
            raise

    async def _append_until_known(
        self, record: KeyedRecord, deadline: float, unknown: bool
    ) -> None:
        """Appends a record, repeating the attempt while its outcome is unknown.

        Args:
            record: the record.
            deadline: boot-time clock at which the caller stops waiting.
            unknown: whether an earlier attempt may still be stored.
        """
        while True:
            try:
                remaining_s = deadline - ANSWER_MARGIN_S - self._clock.boot()
                async with asyncio.timeout(max(0.0, remaining_s)):
                    await self._appender.append(record)
                return
            except TimeoutError as error:
                raise CallError(504, "outcome_unknown") from error
            except RecordTooLarge as error:
                raise CallError(413, "job_too_large", str(error)) from error
            except StoreUnknown:
                unknown = True
            except StoreRefused as error:
                if not unknown:
                    raise CallError(
                        503, "store_unavailable", retry_after_s=RETRY_AFTER_S
                    ) from error
            await asyncio.sleep(APPEND_RETRY_INTERVAL_S)


def _may_use(job: Submission, team_id: TeamId) -> bool:
    """Whether a job may be that of a caller's client account.

    A queue may have become anonymous, or have ceased to be, since a job was
    accepted on it.
    """
    return not job.team_id or not team_id or job.team_id == team_id
