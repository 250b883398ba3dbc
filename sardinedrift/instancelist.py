"""HTTP client of the instance list, and a cached view of the list."""

import asyncio
from collections.abc import Iterator
from typing import Literal

import aiohttp
import msgspec
from loguru import logger

from sardinedrift.addresses import split_address
from sardinedrift.exceptions import InstanceListError
from sardinedrift.identifiers import DataCentreId, InstanceId
from sardinedrift.jsoncodec import cut_deep_values, decode_json
from sardinedrift.ports import Clock, InstanceList, ListedInstance
from sardinedrift.sessions import PlatformClient, call_timeout

POLL_TIMEOUT_SECONDS = 10.0
RETRY_DELAY_SECONDS = 0.5
# The service ends a long poll at the deadline; this is the extra time for its
# answer to arrive.
READ_MARGIN_SECONDS = 1.0
_CONNECTION_ERRORS = (aiohttp.ClientError, OSError, TimeoutError)


class _InstanceBody(msgspec.Struct):
    """One instance in the answer to a read."""

    id: str
    kind: str
    address: str
    state: Literal["live", "leaving"]


class _ListBody(msgspec.Struct):
    """Answer to a read; has no instances if the version is unchanged."""

    version: int
    instances: list[msgspec.Raw] | None = None


class _RebootBody(msgspec.Struct):
    """Answer to a reboot call."""

    done: bool


class HttpInstanceList(PlatformClient, InstanceList):
    """Client of the instance list; see `PlatformClient`."""

    async def read(
        self, data_centre_id: DataCentreId, since: int, deadline: float
    ) -> tuple[int, tuple[ListedInstance, ...] | None]:
        """Returns version and instances; see `InstanceList`."""
        wait = max(deadline - self._clock.now(), 0.0)
        query = {"data_centre": data_centre_id, "since": since}
        query["wait"] = f"{wait:.3f}"
        body = await self._call(
            "GET", "/instances", wait + READ_MARGIN_SECONDS, params=query
        )
        try:
            listing = decode_json(cut_deep_values(body), _ListBody)
        except msgspec.MsgspecError as error:
            raise InstanceListError(
                "invalid answer to an instance list read"
            ) from error
        if listing.instances is None:
            return listing.version, None
        return listing.version, tuple(
            _decode_instances(listing.instances, data_centre_id)
        )

    async def reboot(
        self, instance_id: InstanceId, token: str, deadline: float
    ) -> bool:
        """Requests a reboot; see `InstanceList`."""
        remaining = deadline - self._clock.now()
        if remaining <= 0:
            raise InstanceListError("deadline passed before the reboot call")
        order = {"instance_id": instance_id, "token": token}
        body = await self._call("POST", "/reboot", remaining, json=order)
        try:
            return decode_json(body, _RebootBody).done
        except msgspec.MsgspecError as error:
            raise InstanceListError("invalid answer to a reboot") from error

    async def _call(
        self, method: str, path: str, seconds: float, **arguments
    ) -> bytes:
        try:
            async with self._session.request(
                method,
                self._url + path,
                timeout=call_timeout(seconds),
                allow_redirects=False,
                **arguments,
            ) as response:
                status, body = response.status, await response.read()
        except _CONNECTION_ERRORS as error:
            raise InstanceListError(repr(error)) from error
        if status != 200:
            raise InstanceListError(
                f"{path}: expected status 200, got {status}"
            )
        return body


class InstanceView:
    """The last received list of one data centre, kept during outages.

    Attributes:
        version: number of lists received; 0 before the first.
        reachable: whether the last read succeeded.
        current_at: time of the last successful read, in unix seconds.
    """

    def __init__(
        self,
        instance_list: InstanceList,
        data_centre_id: DataCentreId,
        clock: Clock,
    ):
        self.version = 0
        self.current_at = 0.0
        self._list = instance_list
        self._data_centre_id = data_centre_id
        self._clock = clock
        self._instance_by_id: dict[str, ListedInstance] = {}
        self._since = 0
        self.reachable = True
        self._changed = asyncio.Event()

    def leaving(self, instance_id: str) -> bool:
        """Returns whether an instance is listed as leaving."""
        instance = self._instance_by_id.get(instance_id)
        return instance is not None and instance.leaving

    def listed(self, instance_id: str) -> bool:
        """Returns whether an instance is listed, live or leaving."""
        return instance_id in self._instance_by_id

    def instances(self) -> tuple[ListedInstance, ...]:
        """Returns every listed instance."""
        return tuple(self._instance_by_id.values())

    def entries(self) -> tuple[ListedInstance, ...]:
        """Returns the listed entry instances."""
        return tuple(i for i in self.instances() if i.kind == "entry")

    async def changed(self, after: int | None = None) -> int:
        """Waits for a list newer than a version; returns its version.

        Args:
            after: a value of `version`; None for the current one.
        """
        if after is None:
            after = self.version
        while self.version <= after:
            await self._changed.wait()
        return self.version

    async def run(self) -> None:
        """Polls the list until cancelled."""
        while True:
            try:
                await self._poll()
            except InstanceListError as error:
                self._set_reachable(False, str(error))
                await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _poll(self) -> None:
        deadline = self._clock.now() + POLL_TIMEOUT_SECONDS
        version, instances = await self._list.read(
            self._data_centre_id, self._since, deadline
        )
        self._set_reachable(True)
        self.current_at = self._clock.now()
        if instances is None:
            return
        self._since = version
        self._instance_by_id = {i.instance_id: i for i in instances}
        self.version += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            logger.info("instance list reachable again")
        else:
            logger.warning("instance list unreachable: {}", reason)


def _decode_instances(
    rows: list[msgspec.Raw], data_centre_id: DataCentreId
) -> Iterator[ListedInstance]:
    """Yields the instances of a list, without malformed ones."""
    for row in rows:
        try:
            instance = decode_json(row, _InstanceBody)
            split_address(instance.address)
        except ValueError as error:
            logger.warning("instance ignored: {}", error)
        else:
            yield _to_listed_instance(instance, data_centre_id)


def _to_listed_instance(
    instance: _InstanceBody, data_centre_id: DataCentreId
) -> ListedInstance:
    return ListedInstance(
        instance_id=instance.id,
        kind=instance.kind,
        data_centre_id=data_centre_id,
        address=instance.address,
        leaving=instance.state == "leaving",
    )
