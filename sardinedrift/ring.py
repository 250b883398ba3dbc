"""Buffers recent log records for entries that cannot reach the log."""

import collections
import itertools

from sardinedrift.identifiers import Offset
from sardinedrift.ports import LogRecord

MAX_RECORDS = 4096
# A control node has 32 MB of memory in total; a snapshot chunk takes 160 KB.
MAX_BYTES = 4 << 20
# Largest number of records sent in one response.
MAX_RECORDS_PER_RESPONSE = 512


class RecordRing:
    """Ring buffer of consecutive records, limited in number and bytes."""

    def __init__(
        self, max_records: int = MAX_RECORDS, max_bytes: int = MAX_BYTES
    ):
        self._records: collections.deque[LogRecord] = collections.deque()
        self._bytes = 0
        self._max_records = max_records
        self._max_bytes = max_bytes

    def add(self, record: LogRecord) -> None:
        """Adds the next record and drops the oldest ones above the limits."""
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
        self, offset: Offset, limit: int = MAX_RECORDS_PER_RESPONSE
    ) -> list[LogRecord]:
        """Returns up to `limit` records; none if `offset` is not buffered."""
        if not self._records or offset < self._records[0].offset:
            return []
        skip = offset - self._records[0].offset
        return list(itertools.islice(self._records, skip, skip + limit))
