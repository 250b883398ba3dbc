"""Publishes changes: appends them and waits until they are folded here."""

import asyncio
import itertools
from collections.abc import Iterable, Iterator, Sequence

from prometheus_client import Counter

from sardinedrift import changes as ch
from sardinedrift import fold
from sardinedrift.exceptions import (
    AppendUnknown,
    LogUnavailable,
    PublishUnknown,
)
from sardinedrift.follower import Follower
from sardinedrift.identifiers import ChangeId
from sardinedrift.ports import Clock, LogService

GROUP_DELAY_SECONDS = 0.05
# Smaller than a snapshot chunk, so that each chunk has its own record.
MAX_GROUP_BYTES = 96 * 1024
MAX_GROUP_CHANGES = 512
APPEND_TIMEOUT_SECONDS = 2.0
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
# After this time the fold may have dropped the result of the first append, and
# a repeated append would be applied a second time.
MAX_RETRY_SECONDS = fold.RESULT_RETENTION_SECONDS - 60.0
# Rejections that do not depend on the state. Others are left to the fold: this
# entry may lag behind, or may not have folded an earlier append of the change.
STATELESS_CODES = frozenset(
    {"invalid_digest", "invalid_kind", "invalid_name", "out_of_range"}
)
# An appended record that is not folded within this time may have been skipped
# by a snapshot that no longer holds its results.
FOLD_TIMEOUT_SECONDS = 30.0

_appends = Counter(
    "sardinedrift_log_appends_total", "Appends to the log.", ["outcome"]
)


# Covers two polls of the log by the follower.
CATCH_UP_TIMEOUT_SECONDS = 2.5
CATCH_UP_POLL_INTERVAL_SECONDS = 0.05


class Publisher:
    """Appends changes and returns their results in the fold."""

    def __init__(
        self,
        log: LogService,
        follower: Follower,
        clock: Clock,
        group_delay_seconds: float = GROUP_DELAY_SECONDS,
        max_backoff_seconds: float = MAX_BACKOFF_SECONDS,
    ):
        self._log = log
        self._follower = follower
        self._clock = clock
        self._group_delay_seconds = group_delay_seconds
        self._max_backoff_seconds = max_backoff_seconds
        self._queued: list[tuple[ch.AnyChange, asyncio.Future]] = []
        self._flushing: asyncio.Task | None = None
        self._waiting_by_id: dict[ChangeId, list[asyncio.Future]] = {}
        follower.add_result_callback(self._deliver)

    async def publish(
        self,
        changes: Iterable[ch.AnyChange],
        deadline: float,
        atomic: bool = False,
    ) -> list[ch.Result]:
        """Publishes changes in one record.

        Args:
            changes: in order; a change id used before returns its first
                result, a sequence number of allowance changes used before
                returns `already_folded`.
            deadline: unix seconds until which appends are tried.
            atomic: whether a rejected change causes all to be rejected.

        Returns:
            One result for each change, as folded by every reader, or as
            rejected before the append.

        Raises:
            PublishUnknown: the changes may or may not take effect; also when
                a loaded snapshot includes them but does not hold their
                results.
            LogUnavailable: nothing was appended.
        """
        changes = tuple(changes)
        refused = await self._refused(ch.Batch(changes, atomic), deadline)
        if refused and atomic:
            return refused
        result_by_id = {each.change_id: each for each in refused}
        remaining = tuple(e for e in changes if e.change_id not in result_by_id)
        if remaining:
            batch = ch.Batch(remaining, atomic)
            for result in await self._append_until_folded(batch, deadline):
                result_by_id[result.change_id] = result
        return [result_by_id[each.change_id] for each in changes]

    async def publish_until_folded(self, change: ch.AnyChange) -> ch.Result:
        """Publishes a change of the system; retries until the log is available.

        Changes queued shortly after one another share a record. A change
        whose caller is cancelled before its append is not appended.

        Raises:
            PublishUnknown: an append may have taken effect so long ago that
                its result can no longer be known.
        """
        future = asyncio.get_running_loop().create_future()
        self._queued.append((change, future))
        if self._flushing is None or self._flushing.done():
            self._flushing = asyncio.create_task(self._flush())
        return await future

    async def _refused(
        self, batch: ch.Batch, deadline: float
    ) -> list[ch.Result]:
        """Returns the rejections for which nothing needs to be appended.

        A change that the state of this entry rejects is refused only when the
        state includes all records that were in the log when the call started:
        the log may already hold the same change beyond the folded records.
        """
        started = self._clock.now()
        refused = self._rejected(batch)
        if any(each.code not in STATELESS_CODES for each in refused):
            catch_up_deadline = min(
                deadline, started + CATCH_UP_TIMEOUT_SECONDS
            )
            if await self._caught_up(started, catch_up_deadline):
                refused = self._rejected(batch)
            else:
                refused = [e for e in refused if e.code in STATELESS_CODES]
        if refused and batch.atomic:
            return fold.rehearse(self._follower.state, batch)
        return refused

    def _rejected(self, batch: ch.Batch) -> list[ch.Result]:
        """Returns the rejections of operator changes by this entry's state."""
        operator_ids = {
            each.change_id
            for each in batch.changes
            if isinstance(each, ch.OPERATOR_CHANGES)
        }
        return [
            result
            for result in fold.rehearse(self._follower.state, batch)
            if not result.accepted and result.change_id in operator_ids
        ]

    async def _caught_up(self, since: float, deadline: float) -> bool:
        """Waits until the state is current as of a time.

        Returns:
            Whether it is so by the deadline.
        """
        while self._follower.current_at < since:
            if self._clock.now() >= deadline:
                return False
            await asyncio.sleep(CATCH_UP_POLL_INTERVAL_SECONDS)
        return True

    async def _flush(self) -> None:
        """Appends the queued changes in groups until the queue is empty."""
        while self._queued:
            await asyncio.sleep(self._group_delay_seconds)
            queued = [each for each in self._queued if not each[1].done()]
            self._queued = []
            for group in _groups(queued):
                await self._publish_group(group)

    async def _publish_group(
        self, group: Sequence[tuple[ch.AnyChange, asyncio.Future]]
    ) -> None:
        group = [each for each in group if not each[1].done()]
        if not group:
            return
        batch = ch.Batch(tuple(change for change, _ in group))
        try:
            results = await self._append_until_folded(batch, None)
        except PublishUnknown as error:
            for _, future in group:
                if not future.done():
                    future.set_exception(PublishUnknown(str(error)))
            return
        for (_, future), result in zip(group, results, strict=True):
            if not future.done():
                future.set_result(result)

    async def _append_until_folded(
        self, batch: ch.Batch, deadline: float | None
    ) -> list[ch.Result]:
        """Appends a batch, with retries, until its results are folded."""
        ids = [each.change_id for each in batch.changes]
        data = ch.encode_batch(batch)
        first_unknown: float | None = None
        futures = [self._result_future(each) for each in ids]
        try:
            for attempt in itertools.count():
                if all(each.done() for each in futures):
                    break
                now = self._clock.now()
                if _passed(deadline, now) or _too_old(first_unknown, now):
                    _raise_unpublished(first_unknown)
                appended, unknown = await self._append(data, deadline)
                if unknown and first_unknown is None:
                    first_unknown = now
                timeout = self._fold_timeout(appended, attempt, deadline)
                await asyncio.wait(futures, timeout=timeout)
            return [each.result() for each in futures]
        finally:
            for change_id, future in zip(ids, futures, strict=True):
                self._discard_future(change_id, future)

    async def _append(
        self, data: bytes, deadline: float | None
    ) -> tuple[bool, bool]:
        """Returns whether an append succeeded, and whether it may have."""
        append_deadline = self._clock.now() + APPEND_TIMEOUT_SECONDS
        if deadline is not None:
            append_deadline = min(append_deadline, deadline)
        try:
            await self._log.append(data, append_deadline)
        except AppendUnknown:
            _appends.labels("unknown").inc()
            return False, True
        except LogUnavailable:
            _appends.labels("unavailable").inc()
            return False, False
        _appends.labels("appended").inc()
        return True, True

    def _fold_timeout(
        self, appended: bool, attempt: int, deadline: float | None
    ) -> float:
        """Returns the seconds to wait for the fold before the next append."""
        remaining = None
        if deadline is not None:
            remaining = max(deadline - self._clock.now(), 0.0)
        if appended:
            return FOLD_TIMEOUT_SECONDS if remaining is None else remaining
        delay = INITIAL_BACKOFF_SECONDS * 2 ** min(attempt, 10)
        delay = min(delay, self._max_backoff_seconds)
        return delay if remaining is None else min(delay, remaining)

    def _result_future(self, change_id: ChangeId) -> asyncio.Future:
        """Returns a future for the result of a change."""
        future = asyncio.get_running_loop().create_future()
        result = self._follower.result_of(change_id)
        if result:
            future.set_result(result)
        else:
            self._waiting_by_id.setdefault(change_id, []).append(future)
        return future

    def _discard_future(
        self, change_id: ChangeId, future: asyncio.Future
    ) -> None:
        waiting = self._waiting_by_id.get(change_id, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self._waiting_by_id.pop(change_id, None)

    def _deliver(self, results: list[ch.Result]) -> None:
        for result in results:
            for future in self._waiting_by_id.get(result.change_id, ()):
                if not future.done():
                    future.set_result(result)


def _passed(deadline: float | None, now: float) -> bool:
    return deadline is not None and now >= deadline


def _too_old(first_unknown: float | None, now: float) -> bool:
    return first_unknown is not None and now > first_unknown + MAX_RETRY_SECONDS


def _raise_unpublished(first_unknown: float | None) -> None:
    if first_unknown is None:
        raise LogUnavailable("the log was unavailable; nothing was appended")
    raise PublishUnknown("the change was not seen in the log; it may appear")


def _groups(
    queued: list[tuple[ch.AnyChange, asyncio.Future]],
) -> Iterator[list[tuple[ch.AnyChange, asyncio.Future]]]:
    """Yields groups of queued changes, in order and of limited size."""
    group: list[tuple[ch.AnyChange, asyncio.Future]] = []
    size = 0
    for change, future in queued:
        length = len(ch.encode_batch(ch.Batch((change,))))
        if group and (
            size + length > MAX_GROUP_BYTES or len(group) >= MAX_GROUP_CHANGES
        ):
            yield group
            group, size = [], 0
        group.append((change, future))
        size += length
    if group:
        yield group
