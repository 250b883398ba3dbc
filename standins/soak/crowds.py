"""Crowds of hostile clients at an entry."""

import asyncio
import contextlib
import random

from standins.hostileclients import Crowd, Kind, Requests, make_payload
from standins.soak.callers import HOST
from standins.soak.schedule import Fault

MAX_BODY_BYTES = 4000
# A crowd has this number of kinds, each with this number of connections.
KINDS_PER_CROWD = 4
CONNECTIONS_PER_KIND = 10


async def run_crowd(address: str, key: str, fault: Fault) -> None:
    """Runs a crowd of several kinds, which submits no valid job.

    Args:
        address: "host:port" at which the entry accepts calls.
        key: API key that the clients send.
        fault: its variant determines the kinds.
    """
    head = f"/q/{0:016x} HTTP/1.1\r\nHost: {HOST}\r\nCredential: {key}"
    requests = Requests(
        f"POST {head}\r\n".encode(),
        f"GET {head}\r\n\r\n".encode(),
        MAX_BODY_BYTES,
    )
    kinds = random.Random(fault.variant).sample(list(Kind), KINDS_PER_CROWD)
    async with contextlib.AsyncExitStack() as stack:
        for kind in kinds:
            payload = make_payload(kind, requests)
            crowd = Crowd(address, payload, CONNECTIONS_PER_KIND)
            await stack.enter_async_context(crowd.running())
        await asyncio.sleep(fault.for_s)
