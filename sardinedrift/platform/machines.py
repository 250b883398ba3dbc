"""The platform's service of machines."""

from collections.abc import Callable

import msgspec

from sardinedrift.engine.exceptions import (
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.model import (
    MachineId,
    Size,
    Token,
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
from sardinedrift.platform.http import HttpClient, NoAnswer, NotSent
from sardinedrift.platform.workers import send_order

CALL_S = 1.0


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Machine(msgspec.Struct, frozen=True):
    machine: str
    pool: str
    state: str
    zone: str = ""
    labels: tuple[str, ...] = ()
    capacity: _Capacity = _Capacity()
    # The worker that is the machine's present life.
    id: str | None = None


class _Page(msgspec.Struct, frozen=True):
    machines: tuple[_Machine, ...]
    next_token: str | int | None = None


class HttpMachines(MachineService):
    """Client of the service of machines.

    Args:
        client: connections.
        address: returns the service's address.
        node: holder that is named in orders.
    """

    def __init__(
        self, client: HttpClient, address: Callable[[], str], node: str
    ):
        self._client = client
        self._address = address
        self._node = node

    async def list_machines(self) -> list[Machine]:
        """Returns all machines, page by page."""
        machines: list[Machine] = []
        token: str | int | None = None
        while True:
            page = await self._page(token)
            machines += [_machine(read) for read in page.machines]
            token = page.next_token
            if token is None or token == "":
                return machines

    async def move(
        self, machine_id: MachineId, pool_id: PoolId, token: Token
    ) -> None:
        """Moves a machine to another pool."""
        body = {"machine": machine_id, "pool": pool_id}
        await self._order("/machine-move", body, token)

    async def begin_upkeep(
        self, machine_id: MachineId, wave: WaveNumber, token: Token
    ) -> None:
        """Begins the upkeep of a machine."""
        body = {"machine": machine_id, "wave": wave}
        await self._order("/machine-upkeep", body, token)

    async def _order(self, path: str, body: dict, token: Token) -> None:
        headers = {"Lease-Holder": self._node, "Fencing-Token": str(token)}
        await send_order(
            self._client, self._address(), path, body, headers, CALL_S
        )

    async def _page(self, token: str | int | None) -> _Page:
        query = {} if token is None else {"page_token": str(token)}
        try:
            answer = await self._client.call(
                "GET", self._address(), "/machines", CALL_S, params=query
            )
        except NotSent as error:
            raise OrderNotSent(str(error)) from error
        except NoAnswer as error:
            raise OrderUnknown(str(error)) from error
        if answer.status != 200:
            raise OrderRefused(Refusal.UNHEALTHY)
        try:
            return msgspec.json.decode(answer.body, type=_Page)
        except msgspec.DecodeError as error:
            raise OrderUnknown(f"unreadable page: {error}") from error


def _machine(read: _Machine) -> Machine:
    try:
        state = MachineState(read.state)
    except ValueError as error:
        raise OrderUnknown(f"unknown state {read.state!r}") from error
    capacity = read.capacity
    return Machine(
        MachineId(read.machine),
        PoolId(read.pool),
        state,
        DataCentreId(read.zone),
        frozenset(read.labels),
        Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
        WorkerId(read.id or ""),
    )
