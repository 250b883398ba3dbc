"""HTTP client sessions to the services of the platform."""

import aiohttp

from sardinedrift.identifiers import Identity

CONNECT_SECONDS = 1.0
KEEPALIVE_SECONDS = 15.0


def source_of(identity: Identity) -> str:
    """Returns the value of the `Source` header: entry id and data centre."""
    return f"{identity.entry_id},{identity.data_centre_id}"


def platform_session(identity: Identity) -> aiohttp.ClientSession:
    """Returns a session whose calls name this entry.

    It reads no proxy variables; make it inside a running event loop and close
    it.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0, keepalive_timeout=KEEPALIVE_SECONDS
        ),
        headers={"Source": source_of(identity)},
        trust_env=False,
    )


def call_timeout(seconds: float) -> aiohttp.ClientTimeout:
    """Returns limits for a call: in all, and for getting a connection."""
    return aiohttp.ClientTimeout(total=seconds, connect=CONNECT_SECONDS)
