"""Keeps machines of evacuated data centres from being moved into a pool."""

from collections.abc import Callable

from sardinedrift.engine.exceptions import OrderRefused
from sardinedrift.engine.machineinventory import MachineInventory
from sardinedrift.engine.model import FencingToken, MachineId, WaveNumber
from sardinedrift.engine.ports import Machine, MachineService, Refusal
from sardinedrift.identifiers import PoolId


class EvacuationGuard(MachineService):
    """Refuses moves that were decided before an evacuation began.

    An order is repeated until it is answered, so it may be sent long after the
    decision.

    Args:
        service: the machine service.
        inventory: known machines.
    """

    def __init__(self, service: MachineService, inventory: MachineInventory):
        self._service = service
        self._inventory = inventory

    async def list_machines(self) -> list[Machine]:
        """Returns all machines."""
        return await self._service.list_machines()

    async def move(
        self,
        machine_id: MachineId,
        pool_id: PoolId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Moves a machine to another pool, unless its evacuation forbids it."""
        if not self._inventory.may_move(machine_id, pool_id):
            raise OrderRefused(Refusal.EVACUATED)

        def may_still_send() -> bool:
            return may_send() and self._inventory.may_move(machine_id, pool_id)

        await self._service.move(machine_id, pool_id, token, may_still_send)

    async def begin_upkeep(
        self,
        machine_id: MachineId,
        wave: WaveNumber,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        """Begins the upkeep of a machine, also during an evacuation."""
        await self._service.begin_upkeep(machine_id, wave, token, may_send)
