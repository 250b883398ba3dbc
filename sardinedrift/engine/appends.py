"""Group commit of an entry's submissions and cancellations."""

import asyncio
import contextlib

import msgspec

from sardinedrift.engine.exceptions import RecordTooLarge
from sardinedrift.engine.storeports import KeyedRecord, RecordStore

# Maximum number of concurrent calls; more than one, so that a lost answer does
# not delay other records.
MAX_CALLS = 4
# Maximum size of a group, below the limit of a store call.
MAX_GROUP_BYTES = 1 << 20


class _PendingAppend(msgspec.Struct):
    record: KeyedRecord
    result: asyncio.Future


class GroupAppender:
    """Appends the records of concurrent callers in groups.

    Args:
        store: store to append to.
        topic: keyed topic.
    """

    def __init__(self, store: RecordStore, topic: str):
        self._store = store
        self._topic = topic
        self._pending: list[_PendingAppend] = []
        self._calls: set[asyncio.Task] = set()

    async def append(self, record: KeyedRecord) -> None:
        """Appends one record.

        Raises:
            RecordTooLarge: it exceeds the limit, and was not sent: the store
                would refuse it with all other records of the call.
            StoreRefused: nothing was appended.
            StoreUnknown: the record may have been or may still be appended.
        """
        if not self._store.can_hold(record):
            raise RecordTooLarge(f"{record.key}: {record.size} bytes")
        result = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingAppend(record, result))
        self._start_calls()
        await result

    async def aclose(self) -> None:
        """Waits for the calls in flight."""
        while self._calls:
            await asyncio.wait(self._calls)

    def _start_calls(self) -> None:
        while self._pending and len(self._calls) < MAX_CALLS:
            group = self._next_group()
            call = asyncio.get_running_loop().create_task(self._send(group))
            self._calls.add(call)
            call.add_done_callback(self._on_call_done)

    def _next_group(self) -> list[_PendingAppend]:
        size, count = 0, 0
        for pending in self._pending:
            size += len(pending.record.key) + len(pending.record.value or b"")
            if count and size > MAX_GROUP_BYTES:
                break
            count += 1
        group, self._pending = self._pending[:count], self._pending[count:]
        return group

    def _on_call_done(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        self._start_calls()

    async def _send(self, group: list[_PendingAppend]) -> None:
        error: Exception | None = None
        try:
            records = [pending.record for pending in group]
            await self._store.append(self._topic, records)
        except Exception as failure:
            # Whatever it is, the callers must not wait for a result in vain.
            error = failure
        for pending in group:
            with contextlib.suppress(asyncio.InvalidStateError):
                if error is None:
                    pending.result.set_result(None)
                else:
                    pending.result.set_exception(error)
