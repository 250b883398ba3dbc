"""Record store, election and wave reports on the platform's log service."""

import base64
import struct
import time
from collections.abc import Callable, Iterator, Sequence

import msgspec

from sardinedrift.engine.answertimeout import AnswerTimeout
from sardinedrift.engine.exceptions import (
    RecordsExpired,
    SequenceExpected,
    StoreError,
    StoreFenced,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.model import FencingToken, WaveNumber
from sardinedrift.engine.ports import WaveReports
from sardinedrift.engine.storeports import (
    Election,
    JoinResult,
    KeyedRecord,
    Members,
    NewestPage,
    ReadPage,
    RecordStore,
)
from sardinedrift.engine.term import MEMBER_TIMEOUT_MS
from sardinedrift.identifiers import Offset
from sardinedrift.jsoncodec import decode_json
from sardinedrift.platform.configuration import (
    WAVE_PREFIX,
    encode_wave_state,
)
from sardinedrift.platform.http import HttpClient, NoResponse, NotSent, Response

JOBS_TOPIC = "keyed.sardinedrift"
OWNER_TOPIC = "sardinedrift-owner"
OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GROUP = "sardinedrift"
PRODUCER = "controller"

# Responses usually take 4 ms, but the store may be up to 75 times slower.
CALL_TIMEOUT_S = 1.2
# The lowest time limit for the response to an append, which may be repeated:
# the answer to each third one may be lost for seconds.
MIN_APPEND_TIMEOUT_S = 0.2
# The response to a long poll may arrive this long after the requested wait.
POLL_MARGIN_S = 1.0
MAX_READ_KB = 1024

# Server errors which state that nothing was done.
_REFUSAL_STATUSES = (503, 507)

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class _AppendedBody(msgspec.Struct, frozen=True):
    offset: int
    end: int


class _ConflictBody(msgspec.Struct, frozen=True):
    reason: str = ""
    # Next sequence number that the store expects, when the reason is "seq".
    seq: int = -1


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64-encoded.
    value: str
    offset: int


class _NewestBody(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    more: bool
    end: int


class _JoinedBody(msgspec.Struct, frozen=True):
    generation: int
    # Assigned partitions: rows of topic, partition and committed offset.
    parts: tuple[tuple[str, int, int], ...]


class _OwnersBody(msgspec.Struct, frozen=True):
    # All partitions: rows of topic, partition, member and committed offset.
    parts: tuple[tuple[str, int, str, int], ...] = ()


class LogStore(RecordStore, Election, WaveReports):
    """HTTP client of the log service; a process has only one.

    Args:
        client: HTTP client with its connection pool.
        address: returns the store's address.
        node: name of this entry as a member of the group.
        max_record_bytes: returns the store's limit for the size of a record in
            bytes, or None if it is not stated.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Callable[[], str],
        node: str,
        max_record_bytes: Callable[[], int | None] = lambda: None,
    ):
        self._client = client
        self._max_record_bytes = max_record_bytes
        self._address = address
        self._node = node
        self._append_timeout = AnswerTimeout(
            MIN_APPEND_TIMEOUT_S, CALL_TIMEOUT_S
        )

    @property
    def max_record_bytes(self) -> int | None:
        """Maximum size of a record in bytes, or None if it is not known."""
        return self._max_record_bytes()

    async def append(
        self, topic: str, records: Sequence[KeyedRecord]
    ) -> Offset:
        """Appends all records or none; returns the topic's new end offset."""
        response = await self._append({"topic": topic, "part": "0"}, records)
        return Offset(_decode(response, _AppendedBody).end)

    async def append_fenced(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        token: FencingToken,
        sequence: int,
    ) -> Offset:
        """Appends under a fencing token and a sequence number."""
        query = {
            "topic": topic,
            "part": "0",
            "producer": PRODUCER,
            "epoch": str(token),
            "seq": str(sequence),
        }
        response = await self._append(query, records)
        return Offset(_decode(response, _AppendedBody).end)

    async def newest(self, topic: str, after: str) -> NewestPage:
        """Returns the newest records of the keys that follow a key."""
        query = {"topic": topic, "part": "0"}
        if after:
            query["after"] = after
        response = await self._call(
            "GET", "/log-newest", CALL_TIMEOUT_S, query, bulk=True
        )
        page = _decode(response, _NewestBody)
        records = tuple(_to_keyed_record(item) for item in page.items)
        return NewestPage(records, page.more, Offset(page.end))

    async def read(self, topic: str, start: Offset, wait_ms: int) -> ReadPage:
        """Returns records starting at an offset."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "max_kb": str(MAX_READ_KB),
            "wait_ms": str(wait_ms),
        }
        timeout_s = wait_ms / 1000 + POLL_MARGIN_S
        response = await self._call(
            "GET", "/log-read", timeout_s, query, bulk=True
        )
        return _decode_page(response.body, start)

    async def join(self, generation: int) -> JoinResult:
        """Joins the group; the owner of its one partition is the controller."""
        body = {
            "group": GROUP,
            "member": self._node,
            "topics": [OWNER_TOPIC],
            "ttl_ms": MEMBER_TIMEOUT_MS,
            "generation": generation,
        }
        response = await self._call(
            "POST", "/log-join", CALL_TIMEOUT_S, body=msgspec.json.encode(body)
        )
        joined = _decode(response, _JoinedBody)
        holds = any(row[:2] == (OWNER_TOPIC, 0) for row in joined.parts)
        return JoinResult(joined.generation, holds)

    async def leave(self) -> None:
        """Leaves the group."""
        body = msgspec.json.encode({"group": GROUP, "member": self._node})
        await self._call("POST", "/log-leave", CALL_TIMEOUT_S, body=body)

    async def members(self) -> Members:
        """Returns the members of the group."""
        response = await self._call(
            "GET", "/log-owners", CALL_TIMEOUT_S, {"group": GROUP}
        )
        rows = _decode(response, _OwnersBody).parts
        names = frozenset(row[2] for row in rows if row[2])
        controller = next(
            (row[2] for row in rows if row[:2] == (OWNER_TOPIC, 0)), None
        )
        return Members(controller or None, names)

    async def take_token(self) -> FencingToken:
        """Returns a new fencing token.

        The token is one more than the offset of a record appended to the owner
        topic, so it is higher than all earlier tokens.
        """
        record = self._node.encode()
        response = await self._call_append(
            {"topic": OWNER_TOPIC, "part": "0"},
            _LENGTH.pack(len(record)) + record,
        )
        return FencingToken(_decode(response, _AppendedBody).offset + 1)

    async def report_wave(
        self,
        number: WaveNumber,
        completed: bool,
        token: FencingToken,
        sequence: int,
    ) -> None:
        """Reports a wave as running or completed."""
        value = encode_wave_state(completed)
        record = KeyedRecord(f"{WAVE_PREFIX}{number}", value)
        await self.append_fenced(STATUS_TOPIC, [record], token, sequence)

    async def _append(
        self, query: dict[str, str], records: Sequence[KeyedRecord]
    ) -> Response:
        body = b"".join(_encode_record(record) for record in records)
        return await self._call_append(query, body)

    async def _call_append(
        self, query: dict[str, str], body: bytes
    ) -> Response:
        timeout = self._append_timeout
        sent_at = time.monotonic()
        try:
            response = await self._call(
                "POST", "/log-append", timeout.limit_s, query, body
            )
        except StoreUnknown:
            timeout.record_timeout()
            raise
        timeout.record_answer(time.monotonic() - sent_at)
        return response

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        bulk: bool = False,
    ) -> Response:
        try:
            response = await self._client.call(
                method,
                self._address(),
                path,
                timeout_s,
                body,
                query,
                bulk=bulk,
            )
        except NotSent as error:
            raise StoreRefused(f"store is unreachable: {error}") from error
        except NoResponse as error:
            raise StoreUnknown(str(error)) from error
        _raise_for_status(response)
        return response


def _raise_for_status(response: Response) -> None:
    if response.status == 200:
        return
    message = f"status {response.status}: {response.body[:200]!r}"
    if response.status == 409:
        raise _to_conflict_error(response, message)
    if response.status == 410:
        raise RecordsExpired(message)
    if response.status < 500 or response.status in _REFUSAL_STATUSES:
        raise StoreRefused(message)
    raise StoreUnknown(message)


def _to_conflict_error(response: Response, message: str) -> StoreError:
    conflict = _decode(response, _ConflictBody)
    if conflict.reason == "seq":
        return SequenceExpected(conflict.seq)
    return StoreFenced(message)


def _decode(response: Response, expected_type: type):
    try:
        return decode_json(response.body, expected_type)
    except msgspec.DecodeError as error:
        raise StoreUnknown(f"response cannot be decoded: {error}") from error


def _to_keyed_record(item: _Item) -> KeyedRecord:
    try:
        value = base64.b64decode(item.value)
    except ValueError as error:
        raise StoreUnknown(
            f"value of {item.key!r} cannot be decoded: {error}"
        ) from error
    return KeyedRecord(item.key, value, Offset(item.offset))


def _encode_record(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _decode_page(body: bytes, start: Offset) -> ReadPage:
    if len(body) < _READ_HEADER.size:
        raise StoreUnknown("response is shorter than its header")
    end, _ = _READ_HEADER.unpack_from(body)
    records = tuple(
        KeyedRecord(key, value, Offset(start + index))
        for index, (key, value) in enumerate(
            _decode_records(body, _READ_HEADER.size)
        )
    )
    return ReadPage(records, Offset(start + len(records)), Offset(end))


def _decode_records(
    body: bytes, position: int
) -> Iterator[tuple[str, bytes | None]]:
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + length]
        if len(content) < length:
            raise StoreUnknown("last record of the response is truncated")
        position += length
        yield _decode_record(content)


def _decode_record(content: bytes) -> tuple[str, bytes | None]:
    key_end = 1 + content[0] if content else 0
    key = content[1:key_end].decode(errors="replace")
    return key, content[key_end:] or None
