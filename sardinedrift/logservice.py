"""HTTP client of the log service."""

import aiohttp
import msgspec

from sardinedrift.exceptions import (
    AppendUnknown,
    LogUnavailable,
    OffsetExpired,
)
from sardinedrift.identifiers import Offset
from sardinedrift.jsoncodec import decode_json
from sardinedrift.ports import LogPage, LogService
from sardinedrift.sessions import PlatformClient, call_timeout

# The service ends a long poll at the deadline; this is the extra time for its
# answer to arrive.
READ_MARGIN_SECONDS = 1.0
_NOT_SENT_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
)
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class _AppendedBody(msgspec.Struct):
    """Answer to an append."""

    offset: int


class _ExpiredBody(msgspec.Struct):
    """Answer to a read of expired records."""

    first: int


class HttpLogService(PlatformClient, LogService):
    """Client of the platform's log; see `PlatformClient`."""

    async def append(self, data: bytes, deadline: float) -> Offset:
        """Appends one record and returns its offset; see `LogService`."""
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise LogUnavailable("the deadline has passed")
        try:
            status, body = await self._append(data, remaining)
        except _NOT_SENT_ERRORS as error:
            raise LogUnavailable(str(error)) from error
        except _CONNECTION_ERRORS as error:
            raise AppendUnknown(repr(error)) from error
        if status == 503 or 400 <= status < 500:
            raise LogUnavailable(f"append refused with status {status}")
        if status != 200:
            raise AppendUnknown(f"append answered with status {status}")
        try:
            appended = decode_json(body, _AppendedBody)
        except msgspec.MsgspecError as error:
            raise AppendUnknown("unreadable answer to an append") from error
        return Offset(appended.offset)

    async def read(self, start: Offset, limit: int, deadline: float) -> LogPage:
        """Returns records starting at an offset; see `LogService`."""
        wait = max(deadline - self._clock.now(), 0.0)
        try:
            status, body = await self._read(start, limit, wait)
        except _CONNECTION_ERRORS as error:
            raise LogUnavailable(repr(error)) from error
        if status not in (200, 410):
            raise LogUnavailable(f"read refused with status {status}")
        try:
            if status == 200:
                return decode_json(body, LogPage)
            expired = decode_json(body, _ExpiredBody)
        except msgspec.MsgspecError as error:
            raise LogUnavailable("unreadable answer to a read") from error
        raise OffsetExpired(f"offset {start} expired", Offset(expired.first))

    async def _append(self, data: bytes, remaining: float) -> tuple[int, bytes]:
        async with self._session.post(
            f"{self._url}/append",
            data=data,
            timeout=call_timeout(remaining),
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()

    async def _read(
        self, start: Offset, limit: int, wait: float
    ) -> tuple[int, bytes]:
        async with self._session.get(
            f"{self._url}/records",
            params={"from": start, "limit": limit, "wait": f"{wait:.3f}"},
            timeout=call_timeout(wait + READ_MARGIN_SECONDS),
            allow_redirects=False,
        ) as response:
            return response.status, await response.read()
