"""Appends of an entry: many submissions and cancellations share one call."""

import asyncio
import contextlib

import msgspec

from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.ports import KeyedRecord, RecordStore

# Calls on their way at once, so that a lost answer does not hold up others.
MOST_CALLS = 4
# Together they stay below what one call of the store takes.
MOST_BYTES = 1 << 20


class _Waiting(msgspec.Struct):
    record: KeyedRecord
    result: asyncio.Future


class GroupAppender:
    """Appends records of concurrent callers in groups.

    Args:
        store: where they go.
        topic: keyed topic.
    """

    def __init__(self, store: RecordStore, topic: str):
        self._store = store
        self._topic = topic
        self._waiting: list[_Waiting] = []
        self._calls: set[asyncio.Task] = set()

    async def append(self, record: KeyedRecord) -> None:
        """Appends one record.

        Raises:
            StoreRefused: nothing was appended.
            StoreUnknown: it may be appended, also later.
        """
        result = asyncio.get_running_loop().create_future()
        self._waiting.append(_Waiting(record, result))
        self._begin_calls()
        await result

    async def aclose(self) -> None:
        """Waits for the calls on their way."""
        while self._calls:
            await asyncio.wait(self._calls)

    def _begin_calls(self) -> None:
        while self._waiting and len(self._calls) < MOST_CALLS:
            group = self._take_group()
            call = asyncio.get_running_loop().create_task(self._send(group))
            self._calls.add(call)
            call.add_done_callback(self._end_call)

    def _take_group(self) -> list[_Waiting]:
        size, count = 0, 0
        for waiting in self._waiting:
            size += len(waiting.record.key) + len(waiting.record.value or b"")
            if count and size > MOST_BYTES:
                break
            count += 1
        group, self._waiting = self._waiting[:count], self._waiting[count:]
        return group

    def _end_call(self, call: asyncio.Task) -> None:
        self._calls.discard(call)
        self._begin_calls()

    async def _send(self, group: list[_Waiting]) -> None:
        error: BaseException | None = None
        try:
            records = [waiting.record for waiting in group]
            await self._store.append(self._topic, records)
        except StoreError as failure:
            error = failure
        for waiting in group:
            with contextlib.suppress(asyncio.InvalidStateError):
                if error is None:
                    waiting.result.set_result(None)
                else:
                    waiting.result.set_exception(error)
