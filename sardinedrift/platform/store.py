"""The platform's log as the record store and the election."""

import base64
import struct
from collections.abc import Callable, Iterator, Sequence

import msgspec

from sardinedrift.engine.exceptions import (
    RecordsExpired,
    SequenceExpected,
    StoreError,
    StoreFenced,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.model import Token, WaveNumber
from sardinedrift.engine.ports import (
    Election,
    JoinResult,
    KeyedRecord,
    Members,
    NewestPage,
    ReadPage,
    RecordStore,
    WaveReports,
)
from sardinedrift.engine.term import MEMBER_TIMEOUT_MS
from sardinedrift.identifiers import Offset
from sardinedrift.platform.configuration import (
    WAVE_PREFIX,
    encode_wave_state,
)
from sardinedrift.platform.http import Answer, HttpClient, NoAnswer, NotSent

JOBS_TOPIC = "keyed.sardinedrift"
OWNER_TOPIC = "sardinedrift-owner"
OPERATOR_TOPIC = "keyed.op"
WORKERS_TOPIC = "keyed.servers"
STATUS_TOPIC = "keyed.status"
GROUP = "sardinedrift"
PRODUCER = "controller"

# Answers usually take 4 ms; the store may be slower by a factor of 75.
CALL_S = 1.2
# A long poll may be answered this long after its wait has passed.
POLL_MARGIN_S = 1.0
MOST_READ_KB = 1024

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


class _Appended(msgspec.Struct, frozen=True):
    offset: int
    end: int


class _Conflict(msgspec.Struct, frozen=True):
    reason: str = ""
    # Here the sequence number that the store expects.
    seq: int = -1


class _Item(msgspec.Struct, frozen=True):
    key: str
    # Base64.
    value: str
    offset: int


class _Newest(msgspec.Struct, frozen=True):
    items: tuple[_Item, ...]
    more: bool
    end: int


class _Joined(msgspec.Struct, frozen=True):
    generation: int
    # Rows of topic, partition and committed offset.
    parts: tuple[tuple[str, int, int], ...]


class _Owners(msgspec.Struct, frozen=True):
    # Rows of topic, partition, member and committed offset.
    parts: tuple[tuple[str, int, str, int], ...] = ()


class LogStore(RecordStore, Election, WaveReports):
    """Client of the store; the only one in a process.

    Args:
        client: connections.
        address: returns the store's address.
        node: name of this member of the group.
    """

    def __init__(
        self, client: HttpClient, address: Callable[[], str], node: str
    ):
        self._client = client
        self._address = address
        self._node = node

    async def append(
        self, topic: str, records: Sequence[KeyedRecord]
    ) -> Offset:
        """Appends all records or none; returns the topic's new end."""
        answer = await self._append({"topic": topic, "part": "0"}, records)
        return Offset(_decode(answer, _Appended).end)

    async def append_fenced(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        token: Token,
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
        answer = await self._append(query, records)
        return Offset(_decode(answer, _Appended).end)

    async def newest(self, topic: str, after: str) -> NewestPage:
        """Returns the newest records of the keys after a key."""
        query = {"topic": topic, "part": "0"}
        if after:
            query["after"] = after
        answer = await self._call(
            "GET", "/log-newest", CALL_S, query, bulk=True
        )
        page = _decode(answer, _Newest)
        records = tuple(
            KeyedRecord(
                item.key, base64.b64decode(item.value), Offset(item.offset)
            )
            for item in page.items
        )
        return NewestPage(records, page.more, Offset(page.end))

    async def read(self, topic: str, start: Offset, wait_ms: int) -> ReadPage:
        """Returns records from an offset on."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(start),
            "max_kb": str(MOST_READ_KB),
            "wait_ms": str(wait_ms),
        }
        timeout_s = wait_ms / 1000 + POLL_MARGIN_S
        answer = await self._call(
            "GET", "/log-read", timeout_s, query, bulk=True
        )
        return _read_page(answer.body, start)

    async def join(self, generation: int) -> JoinResult:
        """Joins the group; the holder of the only used partition controls."""
        body = {
            "group": GROUP,
            "member": self._node,
            "topics": [OWNER_TOPIC],
            "ttl_ms": MEMBER_TIMEOUT_MS,
            "generation": generation,
        }
        answer = await self._call(
            "POST", "/log-join", CALL_S, body=msgspec.json.encode(body)
        )
        joined = _decode(answer, _Joined)
        holds = any(row[:2] == (OWNER_TOPIC, 0) for row in joined.parts)
        return JoinResult(joined.generation, holds)

    async def leave(self) -> None:
        """Leaves the group."""
        body = msgspec.json.encode({"group": GROUP, "member": self._node})
        await self._call("POST", "/log-leave", CALL_S, body=body)

    async def members(self) -> Members:
        """Returns the members of the group."""
        answer = await self._call(
            "GET", "/log-owners", CALL_S, {"group": GROUP}
        )
        rows = _decode(answer, _Owners).parts
        names = frozenset(row[2] for row in rows if row[2])
        controller = next(
            (row[2] for row in rows if row[:2] == (OWNER_TOPIC, 0)), None
        )
        return Members(controller or None, names)

    async def take_token(self) -> Token:
        """Appends to the owner topic; the offset makes the token."""
        record = self._node.encode()
        answer = await self._call(
            "POST",
            "/log-append",
            CALL_S,
            {"topic": OWNER_TOPIC, "part": "0"},
            _LENGTH.pack(len(record)) + record,
        )
        return Token(_decode(answer, _Appended).offset + 1)

    async def report_wave(self, number: WaveNumber, completed: bool) -> None:
        """Reports a wave as running or completed."""
        value = encode_wave_state(completed)
        record = KeyedRecord(f"{WAVE_PREFIX}{number}", value)
        await self.append(STATUS_TOPIC, [record])

    async def _append(
        self, query: dict[str, str], records: Sequence[KeyedRecord]
    ) -> Answer:
        body = b"".join(_frame(record) for record in records)
        return await self._call("POST", "/log-append", CALL_S, query, body)

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        bulk: bool = False,
    ) -> Answer:
        try:
            answer = await self._client.call(
                method,
                self._address(),
                path,
                timeout_s,
                body,
                query,
                bulk=bulk,
            )
        except NotSent as error:
            raise StoreRefused(f"not reached: {error}") from error
        except NoAnswer as error:
            raise StoreUnknown(str(error)) from error
        _raise_for(answer)
        return answer


def _raise_for(answer: Answer) -> None:
    if answer.status == 200:
        return
    text = f"{answer.status}: {answer.body[:200]!r}"
    if answer.status == 409:
        raise _conflict(answer, text)
    if answer.status == 410:
        raise RecordsExpired(text)
    raise StoreRefused(text)


def _conflict(answer: Answer, text: str) -> StoreError:
    conflict = _decode(answer, _Conflict)
    if conflict.reason == "seq":
        return SequenceExpected(conflict.seq)
    return StoreFenced(text)


def _decode(answer: Answer, kind: type):
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnknown(f"unreadable answer: {error}") from error


def _frame(record: KeyedRecord) -> bytes:
    key = record.key.encode()
    content = bytes((len(key),)) + key + (record.value or b"")
    return _LENGTH.pack(len(content)) + content


def _read_page(body: bytes, start: Offset) -> ReadPage:
    if len(body) < _READ_HEADER.size:
        raise StoreUnknown("answer without a header")
    records = tuple(
        KeyedRecord(key, value, Offset(start + at))
        for at, (key, value) in enumerate(_split(body, _READ_HEADER.size))
    )
    return ReadPage(records, Offset(start + len(records)))


def _split(body: bytes, at: int) -> Iterator[tuple[str, bytes | None]]:
    while at + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, at)
        at += _LENGTH.size
        content = body[at : at + length]
        if len(content) < length:
            raise StoreUnknown("cut record")
        at += length
        yield _split_key(content)


def _split_key(content: bytes) -> tuple[str, bytes | None]:
    key_end = 1 + content[0] if content else 0
    key = content[1:key_end].decode(errors="replace")
    return key, content[key_end:] or None
