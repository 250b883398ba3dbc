"""Fake of the record store and the election, on the in-memory deployment."""

import asyncio
from collections.abc import Sequence

from sardinedrift.engine.exceptions import (
    RecordsExpired,
    SequenceExpected,
    StoreFenced,
    StoreRefused,
    StoreUnknown,
)
from sardinedrift.engine.model import FencingToken
from sardinedrift.engine.storeports import (
    Election,
    JoinResult,
    KeyedRecord,
    Members,
    NewestPage,
    ReadPage,
    RecordStore,
)
from sardinedrift.identifiers import Offset
from standins.platform.log import Refused
from tests.engine_world import (
    CALL_TIMEOUT_S,
    MEMBER_TIMEOUT_S,
    RESPONSE_DELAY_S,
    World,
)


class FakeStore(RecordStore, Election):
    """The record store and the election, as reachable from one entry."""

    def __init__(self, world: World, node: str):
        self._world = world
        self._node = node

    @property
    def max_record_bytes(self) -> int:
        return self._world.log.max_record_bytes

    async def append(
        self, topic: str, records: Sequence[KeyedRecord]
    ) -> Offset:
        await self._connect()
        _, end = self._world.log.append(topic, encode_records(records))
        await self._lose_answer_if_faulty()
        return Offset(end)

    async def append_fenced(
        self,
        topic: str,
        records: Sequence[KeyedRecord],
        token: FencingToken,
        sequence: int,
    ) -> Offset:
        await self._connect()
        while self._world.faults.appends_held:  # noqa: ASYNC110
            await asyncio.sleep(RESPONSE_DELAY_S)
        try:
            _, end = self._world.log.append(
                topic, encode_records(records), "controller", token, sequence
            )
        except Refused as error:
            if error.body["reason"] == "seq":
                raise SequenceExpected(error.body["seq"]) from error
            if error.body["reason"] == "record_bytes":
                raise StoreRefused(str(error)) from error
            raise StoreFenced(str(error)) from error
        await self._lose_answer_if_faulty()
        return Offset(end)

    async def newest(self, topic: str, after: str) -> NewestPage:
        await self._connect()
        rows, more, end = self._world.log.newest(topic, after, max_rows=3)
        records = tuple(
            KeyedRecord(key, value, Offset(offset))
            for key, value, offset in rows
        )
        return NewestPage(records, more, Offset(end))

    async def read(self, topic: str, start: Offset, wait_ms: int) -> ReadPage:
        await self._connect()
        deadline = self._world.clock.boot() + wait_ms / 1000
        partition = self._world.log.partition(topic)
        clock = self._world.clock
        while partition.end <= start and clock.boot() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(0.005)
        await self._connect()
        try:
            raw = self._world.log.read(topic, start)
        except Refused as error:
            raise RecordsExpired(str(error)) from error
        records = tuple(
            _decode_record(record, start + index)
            for index, record in enumerate(raw[: self._world.records_per_page])
        )
        return ReadPage(
            records, Offset(start + len(records)), Offset(start + len(raw))
        )

    async def join(self, generation: int) -> JoinResult:
        await self._connect()
        now = self._world.clock.boot()
        result = JoinResult(
            *self._world.log.join(
                "group", self._node, generation, MEMBER_TIMEOUT_S, now
            )
        )
        if self._world.faults.lost_joins:
            self._world.faults.lost_joins -= 1
            await self._lose_answer()
        return result

    async def leave(self) -> None:
        await self._connect()
        self._world.log.leave("group", self._node)

    async def members(self) -> Members:
        await self._connect()
        now = self._world.clock.boot()
        owner, names = self._world.log.members("group", MEMBER_TIMEOUT_S, now)
        return Members(owner or None, frozenset(names))

    async def take_token(self) -> FencingToken:
        await self._connect()
        offset, _ = self._world.log.append("owner", [b"\x00x"])
        return FencingToken(offset + 1)

    async def _connect(self) -> None:
        faults = self._world.faults
        if faults.store_down or self._node in faults.store_cut:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreRefused("store did not accept the connection")
        await asyncio.sleep(RESPONSE_DELAY_S)

    async def _lose_answer_if_faulty(self) -> None:
        if self._world.faults.lost_appends:
            self._world.faults.lost_appends -= 1
            await self._lose_answer()

    async def _lose_answer(self) -> None:
        await asyncio.sleep(CALL_TIMEOUT_S)
        raise StoreUnknown("the answer was lost")


def encode_records(records: Sequence[KeyedRecord]) -> list[bytes]:
    return [
        bytes((len(record.key),)) + record.key.encode() + (record.value or b"")
        for record in records
    ]


def _decode_record(record: bytes, offset: int) -> KeyedRecord:
    key_end = 1 + record[0]
    value = record[key_end:] or None
    return KeyedRecord(record[1:key_end].decode(), value, Offset(offset))
