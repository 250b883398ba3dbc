"""HTTP clients of the services of the platform."""

import aiohttp

from sardinedrift.identifiers import Identity
from sardinedrift.ports import Clock

CONNECT_SECONDS = 1.0
KEEPALIVE_SECONDS = 15.0


def source_of(identity: Identity) -> str:
    """Returns the value of the `Source` header: entry id and data centre."""
    return f"{identity.entry_id},{identity.data_centre_id}"


class PlatformClient:
    """Base of clients of the platform; made inside a running event loop.

    Args:
        address: "host:port" of the service.
        identity: whom the `Source` header names.
        clock: against which deadlines are measured.
    """

    def __init__(self, address: str, identity: Identity, clock: Clock):
        self._url = f"http://{address}"
        self._clock = clock
        # Reads no proxy variables.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_SECONDS
            ),
            headers={"Source": source_of(identity)},
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._session.close()


def call_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns limits for a call: in all, and for getting a connection."""
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_SECONDS)
