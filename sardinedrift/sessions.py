"""Base of the HTTP clients of the platform's services."""

import aiohttp

from sardinedrift.identifiers import Identity
from sardinedrift.ports import Clock

CONNECT_TIMEOUT_SECONDS = 1.0
KEEPALIVE_TIMEOUT_SECONDS = 15.0


def source_header(identity: Identity) -> str:
    """Returns the value of the `Source` header: entry id and data centre."""
    return f"{identity.entry_id},{identity.data_centre_id}"


class PlatformClient:
    """Base class of clients; must be created in a running event loop.

    Args:
        address: "host:port" of the service.
        identity: the entry named in the `Source` header.
        clock: source of the time for deadlines.
    """

    def __init__(self, address: str, identity: Identity, clock: Clock):
        self._url = f"http://{address}"
        self._clock = clock
        # Ignores the proxy settings of the environment.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS
            ),
            headers={"Source": source_header(identity)},
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._session.close()


def call_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns the time limits of a call: in total and to get a connection."""
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_TIMEOUT_SECONDS)
