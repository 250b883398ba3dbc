"""Encodes snapshots of the state, whole or as chunks in the log."""

import asyncio
import base64
import zlib
from collections.abc import Iterable, Iterator

import msgspec

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.identifiers import ChangeId, Offset
from sardinedrift.jsoncodec import decode_json
from sardinedrift.state import State, Tables

# Keeps a record, a chunk as base85 text, well below a common record limit of
# 256 KiB.
CHUNK_BYTES = 128 * 1024


def encode(state: State) -> bytes:
    """Returns the compressed JSON form of the state."""
    return _compress(msgspec.json.encode(state.tables))


async def encode_in_thread(state: State) -> bytes:
    """Returns the same as `encode`, but compresses in another thread.

    Compression takes most of the time and would block the event loop. The
    thread works on the JSON form, a copy that the fold cannot change.
    """
    return await asyncio.to_thread(_compress, msgspec.json.encode(state.tables))


def _compress(data: bytes) -> bytes:
    return zlib.compress(data, 6)


def decode(data: bytes) -> State:
    """Decodes a state.

    Raises:
        msgspec.DecodeError: the data is not a snapshot.
        zlib.error: the data is damaged.
    """
    return State(decode_json(zlib.decompress(data), Tables))


def chunks(state: State, snapshot_id: str) -> Iterator[ch.SnapshotChunk]:
    """Returns the chunks of a snapshot of the state as of its offset."""
    return split(encode(state), state.offset, snapshot_id)


def split(
    data: bytes, as_of: Offset, snapshot_id: str
) -> Iterator[ch.SnapshotChunk]:
    """Yields the chunks of an encoded snapshot as of an offset."""
    count = max(1, -(-len(data) // CHUNK_BYTES))
    for index in range(count):
        part = data[index * CHUNK_BYTES : (index + 1) * CHUNK_BYTES]
        yield ch.SnapshotChunk(
            change_id=ChangeId(f"{snapshot_id}-{index}"),
            snapshot_id=snapshot_id,
            as_of=as_of,
            index=index,
            count=count,
            data=base64.b85encode(part).decode(),
        )


def newest(batches: Iterable[ch.Batch]) -> State | None:
    """Returns the newest complete snapshot in the batches, if any."""
    parts_by_id: dict[str, dict[int, ch.SnapshotChunk]] = {}
    for batch in batches:
        for change in batch.changes:
            if isinstance(change, ch.SnapshotChunk):
                parts = parts_by_id.setdefault(change.snapshot_id, {})
                parts[change.index] = change
    complete = [
        parts
        for parts in parts_by_id.values()
        if len(parts) == next(iter(parts.values())).count
    ]
    if not complete:
        return None
    parts = max(complete, key=lambda each: each[0].as_of)
    data = b"".join(base64.b85decode(parts[i].data) for i in range(len(parts)))
    return decode(data)


def _record_chunk(state: State, change: ch.SnapshotChunk) -> int:
    """Records in the state that a chunk is in the log."""
    snapshot = state.tables.snapshot_by_id.get(change.snapshot_id)
    if snapshot is None:
        snapshot = objects.Snapshot(
            change.snapshot_id,
            change.as_of,
            state.offset,
            state.time,
            change.count,
            (),
        )
    indexes = tuple(sorted({*snapshot.indexes, change.index}))
    snapshot = msgspec.structs.replace(snapshot, indexes=indexes)
    state.put("snapshot_by_id", change.snapshot_id, snapshot)
    if snapshot.complete:
        _drop_older(state, snapshot.as_of)
    return 0


def _drop_older(state: State, as_of: Offset) -> None:
    for other in list(state.tables.snapshot_by_id.values()):
        if other.as_of < as_of:
            state.drop("snapshot_by_id", other.snapshot_id)


HANDLERS = {ch.SnapshotChunk: _record_chunk}
