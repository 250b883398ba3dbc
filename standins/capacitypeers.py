"""Measurements of peer exchanges, each run in a process of its own."""

import time

import msgspec

from sardinedrift import messages
from sardinedrift.identifiers import Identity, WorkClass
from sardinedrift.links import Timing
from sardinedrift.peerlinks import LinkTable
from sardinedrift.runtime import SystemClock
from sardinedrift.spares import SpareTables

POOLS = 28
DATA_CENTRES = 23
TEAMS = 600
ROUNDS = 200


def measure_exchange(size: int) -> dict[str, float]:
    """Measures an exchange by teams with contended use in one pool."""
    use = {f"team-{each:04d}": 1234.567 + each for each in range(size)}
    local = _exchange(contended_use={"entry0": {"pool0": use}})
    state = {"ready": True, "offset": 1_000_000, "current_at": time.time()}
    neighbours = [
        messages.Neighbour(
            entry_id=f"dc1-{number:012x}",
            address=f"10.0.0.{number}:7000",
            spare_version=1000,
            spare_since=1000,
            **state,
        )
        for number in (1, 2)
    ]
    confirmed = {f"dc2-{number:012x}": 1000 for number in range(3)}
    remote = msgspec.structs.replace(
        local, neighbours=neighbours, spare_confirmed=confirmed
    )
    return {**_codec_cost(local), "far_bytes": len(msgspec.json.encode(remote))}


def measure_spare(size: int) -> dict[str, float]:
    """Measures exchanges of the spare units of 600 teams by changed teams."""
    clock = SystemClock()
    sender = SpareTables("e1", "dc1", clock)
    receiver = SpareTables("e2", "dc1", clock)
    units = {f"team-{each:04d}": 12 for each in range(TEAMS)}
    confirmed: dict = {}
    sizes, cpu_seconds = [], 0.0
    for number in range(ROUNDS):
        changed = {f"team-{each:04d}": 13 + number % 2 for each in range(size)}
        units = {**units, **changed}
        full = _exchange(entry_id="e1", spare_by_team=units)
        started = time.process_time()
        delta = sender.to_delta(full, "e2", "dc1", confirmed)
        data = msgspec.json.encode(delta)
        received = msgspec.json.decode(data, type=messages.Exchange)
        restored = receiver.from_delta(received)
        cpu_seconds += time.process_time() - started
        if restored.spare_by_team != units:
            raise AssertionError(
                "spare units restored from the delta differ from the sent ones"
            )
        answer = receiver.to_delta(_exchange(entry_id="e2"), "e1", "dc1", {})
        confirmed = answer.spare_confirmed
        sizes.append(len(data))
    sizes.sort()
    return {
        "bytes": sizes[ROUNDS // 2],
        "exchange_seconds": cpu_seconds / ROUNDS,
    }


def measure_held(size: int) -> dict[str, float]:
    """Measures an exchange by the number of held grants."""
    grants = [
        messages.HeldGrant(
            f"{number:032x}",
            "pool0",
            f"worker-{number:06d}",
            "team-0001",
            WorkClass.QUICK,
            time.time(),
        )
        for number in range(size)
    ]
    return _codec_cost(_exchange(held={"pool0": grants}))


def _exchange(**fields) -> messages.Exchange:
    """Returns an exchange with typical values, replaced by the given ones."""
    values = {
        "entry_id": f"dc1-{0:012x}",
        "data_centre_id": "dc1",
        "address": "10.0.0.1:7000",
        "member": True,
        "ready": True,
        "stopping": False,
        "offset": 1_000_000,
        "current_at": time.time(),
        "spare_version": 1000,
        "spare_since": 1000,
        "endpoints": [f"pool{number}" for number in range(POOLS)],
        **fields,
    }
    return messages.Exchange(**values)


def _codec_cost(exchange: messages.Exchange) -> dict[str, float]:
    """Returns the CPU seconds of encoding and decoding, and the size."""
    started = time.process_time()
    for _ in range(ROUNDS):
        data = msgspec.json.encode(exchange)
        msgspec.json.decode(data, type=messages.Exchange)
    cpu_seconds = (time.process_time() - started) / ROUNDS
    return {"codec_seconds": cpu_seconds, "bytes": len(data)}


def measure_links(size: int) -> dict[str, float]:
    """Measures the selection of remote links, done once a second for each."""
    clock = SystemClock()
    identity = Identity("dc0-me", "dc0", "10.0.0.1:1")
    links = LinkTable(
        identity, clock, Timing(0.25, 0.75), Timing(1.0, 3.0), lambda _: set()
    )
    for number in range(size):
        link = links.add(f"10.0.1.{number}:7000")
        link.data_centre_id = f"dc{number % DATA_CENTRES}"
    rounds = 20
    started = time.process_time()
    for _ in range(rounds):
        for link in list(links.by_address.values()):
            links.is_selected(link)
    return {"round_seconds": (time.process_time() - started) / rounds}
