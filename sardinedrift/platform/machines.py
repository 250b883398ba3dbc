"""Client of the platform's machine service."""

from collections.abc import Callable, Iterator

import msgspec

from sardinedrift.engine.events import Event, EventLog
from sardinedrift.engine.exceptions import (
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.model import (
    FencingToken,
    MachineId,
    WaveNumber,
    WorkerId,
)
from sardinedrift.engine.ports import (
    Machine,
    MachineService,
    MachineState,
    Refusal,
)
from sardinedrift.identifiers import DataCentreId, PoolId
from sardinedrift.jsoncodec import decode_json
from sardinedrift.platform.fields import Name, Resources
from sardinedrift.platform.http import HttpClient, NoResponse, NotSent
from sardinedrift.platform.workers import send_order

CALL_TIMEOUT_S = 1.0


class _MachineRecord(msgspec.Struct, frozen=True):
    machine: Name
    pool: str
    state: str
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = Resources()
    # Id of the worker that runs on the machine, or None.
    id: str | None = None


class _MachinePage(msgspec.Struct, frozen=True):
    machines: tuple[msgspec.Raw, ...]
    next_token: str | int | None = None


class HttpMachines(MachineService):
    """HTTP client of the machine service.

    Args:
        client: HTTP client with its connection pool.
        address: returns the service's address.
        node: name of the lease holder, sent with each order.
        log: receives log lines.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Callable[[], str],
        node: str,
        log: EventLog,
    ):
        self._log = log
        self._client = client
        self._address = address
        self._node = node

    async def list_machines(self) -> list[Machine]:
        """Returns all machines; fetches every page of the list."""
        machines: list[Machine] = []
        token: str | int | None = None
        while True:
            page = await self._fetch_page(token)
            machines += self._decode_machines(page)
            token = page.next_token
            if token is None or token == "":
                return machines

    def _decode_machines(self, page: _MachinePage) -> Iterator[Machine]:
        """Yields the machines of a page, without malformed ones."""
        for row in page.machines:
            try:
                yield _to_machine(decode_json(row, _MachineRecord))
            except ValueError as error:
                self._log.write(
                    Event.ENTRY_IGNORED, key="machine", error=repr(error)
                )

    async def move(
        self,
        machine_id: MachineId,
        pool_id: PoolId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Moves a machine to another pool."""
        body = {"machine": machine_id, "pool": pool_id}
        await self._send_order("/machine-move", body, token, may_send)

    async def begin_upkeep(
        self,
        machine_id: MachineId,
        wave: WaveNumber,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Begins the upkeep of a machine in a wave."""
        body = {"machine": machine_id, "wave": wave}
        await self._send_order("/machine-upkeep", body, token, may_send)

    async def _send_order(
        self,
        path: str,
        body: dict,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        headers = {"Lease-Holder": self._node, "Fencing-Token": str(token)}
        await send_order(
            self._client,
            self._address(),
            path,
            body,
            headers,
            CALL_TIMEOUT_S,
            may_send=may_send,
        )

    async def _fetch_page(self, token: str | int | None) -> _MachinePage:
        query = {} if token is None else {"page_token": str(token)}
        try:
            response = await self._client.call(
                "GET",
                self._address(),
                "/machines",
                CALL_TIMEOUT_S,
                params=query,
            )
        except NotSent as error:
            raise OrderNotSent(str(error)) from error
        except NoResponse as error:
            raise OrderUnknown(str(error)) from error
        if response.status != 200:
            raise OrderRefused(Refusal.UNHEALTHY)
        try:
            return decode_json(response.body, _MachinePage)
        except msgspec.DecodeError as error:
            raise OrderUnknown(
                f"machine list cannot be decoded: {error}"
            ) from error


def _to_machine(record: _MachineRecord) -> Machine:
    return Machine(
        MachineId(record.machine),
        PoolId(record.pool),
        MachineState(record.state),
        DataCentreId(record.zone),
        frozenset(record.labels),
        record.capacity.size(),
        WorkerId(record.id or ""),
    )
