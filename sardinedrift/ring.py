"""Recent log records, kept for entries that are cut off from the log."""

import collections
import itertools

from sardinedrift.identifiers import Offset
from sardinedrift.ports import LogRecord

MAX_RECORDS = 4096
# A control node has 32 MB in all; chunks of snapshots are 160 KB each.
MAX_BYTES = 4 << 20
# Largest part of the ring sent in one answer.
ANSWER_RECORDS = 512


class RecordRing:
    """Consecutive records, bounded in number and bytes."""

    def __init__(
        self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ):
        self._records: collections.deque[LogRecord] = collections.deque()
        self._bytes = 0
        self._max_records = max_records
        self._max_bytes = max_bytes

    def add(self, record: LogRecord) -> None:
        """Adds the next record and drops the oldest beyond the bounds."""
        self._records.append(record)
        self._bytes += len(record.data)
        while (
            len(self._records) > self._max_records
            or self._bytes > self._max_bytes
        ):
            self._bytes -= len(self._records.popleft().data)

    def clear(self) -> None:
        """Drops all records."""
        self._records.clear()
        self._bytes = 0

    def records_from(
        self, offset: Offset, limit: int = ANSWER_RECORDS
    ) -> list[LogRecord]:
        """Returns up to `limit` records; none when `offset` is not kept."""
        if not self._records or offset < self._records[0].offset:
            return []
        skip = offset - self._records[0].offset
        return list(itertools.islice(self._records, skip, skip + limit))
