"""HTTP client of guarded workers."""

from typing import Any

import aiohttp
import msgspec

from sardinedrift.exceptions import WorkerRefused, WorkerUnknown
from sardinedrift.jsoncodec import decode_json
from sardinedrift.ports import Clock, UsageReport, WorkerPort, WorkerTask

CONNECT_TIMEOUT_SECONDS = 1.0
# Idle connections may be dropped silently; a failed order can be repeated.
KEEPALIVE_TIMEOUT_SECONDS = 15.0
CONNECTIONS_PER_WORKER = 4
_REFUSAL_STATUSES = (404, 409)
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class _TaskReply(msgspec.Struct, frozen=True):
    state: str


class _Refusal(msgspec.Struct, frozen=True):
    code: str


class HttpWorkers(WorkerPort):
    """Sends orders to workers; created inside a running event loop.

    Args:
        clock: measures the time remaining until deadlines.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0,
                limit_per_host=CONNECTIONS_PER_WORKER,
                keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
        )

    async def take_lease(
        self,
        address: str,
        holder: str,
        lease_number: int,
        expires_at: float,
        deadline: float,
    ) -> None:
        """Takes or renews the lease; see `WorkerPort`."""
        order = {
            "holder": holder,
            "lease_number": lease_number,
            "deadline": expires_at,
        }
        await self._post(address, "/leases", order, dict, deadline)

    async def start(
        self, address: str, task: WorkerTask, deadline: float
    ) -> str:
        """Starts a task once, and returns its state."""
        reply = await self._post(address, "/tasks", task, _TaskReply, deadline)
        return reply.state

    async def throttle(
        self, address: str, task_id: str, factor: float, deadline: float
    ) -> None:
        """Limits a task to a fraction of its speed."""
        path = f"/tasks/{task_id}/throttle"
        await self._post(
            address, path, {"factor": factor}, _TaskReply, deadline
        )

    async def checkpoint(
        self, address: str, task_id: str, deadline: float
    ) -> None:
        """Saves a checkpoint of a task."""
        path = f"/tasks/{task_id}/checkpoint"
        await self._post(address, path, None, _TaskReply, deadline)

    async def stop(self, address: str, task_id: str, deadline: float) -> str:
        """Stops a task, and returns its final state."""
        path = f"/tasks/{task_id}/stop"
        reply = await self._post(address, path, None, _TaskReply, deadline)
        return reply.state

    async def usage(self, address: str, deadline: float) -> UsageReport:
        """Returns the newest usage report of a worker."""
        return await self._call(
            "GET", address, "/usage", b"", UsageReport, deadline
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def _post(
        self,
        address: str,
        path: str,
        order: Any,
        reply_type: type[Any],
        deadline: float,
    ) -> Any:
        body = b"" if order is None else msgspec.json.encode(order)
        return await self._call(
            "POST", address, path, body, reply_type, deadline
        )

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes,
        reply_type: type[Any],
        deadline: float,
    ) -> Any:
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise WorkerRefused("not_sent")
        timeout = aiohttp.ClientTimeout(
            total=remaining,
            connect=CONNECT_TIMEOUT_SECONDS,
            ceil_threshold=3600,
        )
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
                return _read(address, response.status, content, reply_type)
        except _CONNECTION_ERRORS as error:
            raise WorkerUnknown(f"{address}: {error!r}") from error


def _read(
    address: str, status: int, content: bytes, reply_type: type[Any]
) -> Any:
    try:
        if status in _REFUSAL_STATUSES:
            raise WorkerRefused(decode_json(content, _Refusal).code)
        if status == 200:
            return decode_json(content, reply_type)
    except msgspec.DecodeError as error:
        raise WorkerUnknown(f"{address}: {error}") from error
    raise WorkerUnknown(f"{address} answered {status}")
