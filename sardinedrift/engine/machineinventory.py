"""What a controller knows of the machines and of their operations."""

import msgspec

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import OrderError
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import Machine, MachineService
from sardinedrift.identifiers import PoolId

# The list of machines is read this often while an operation is on its way,
BUSY_LIST_S = 0.4
# and this often otherwise.
QUIET_LIST_S = 4.0


class Operation(msgspec.Struct):
    """A move or an upkeep on its way.

    Attributes:
        pool_id: target of a move; None for an upkeep.
        wave: wave of an upkeep; None for a move.
        ordered: the machine service has accepted it.
        urgent: short tasks are stopped as well.
    """

    machine_id: MachineId
    pool_id: PoolId | None = None
    wave: WaveNumber | None = None
    ordered: bool = False
    urgent: bool = False


class QuietMachines(msgspec.Struct, frozen=True):
    """Machines that get no order for a while after a change of controllers.

    Orders of two controllers for one machine must not follow each other
    closely.

    Attributes:
        until: boot-time clock.
        machine_ids: the machines; None for all.
    """

    until: float
    machine_ids: frozenset[MachineId] | None

    def covers(self, machine_id: MachineId) -> bool:
        """Whether a machine is among them."""
        return self.machine_ids is None or machine_id in self.machine_ids


class MachineInventory:
    """The machines as last listed, and the operations on their way.

    Args:
        control: state of the term.
        service: lists the machines.
        quiet: machines that get no order for a while.

    Attributes:
        machine_by_id: the machines.
        operation_by_id: operations on their way.
        listed_at: when the list was last asked for, by the boot-time clock.
        ordered_at: when a machine last got an order.
    """

    def __init__(
        self,
        control: ControllerState,
        service: MachineService,
        quiet: QuietMachines,
    ):
        self._control = control
        self._service = service
        self._quiet = quiet
        self.machine_by_id: dict[MachineId, Machine] = {}
        self.operation_by_id: dict[MachineId, Operation] = {}
        self.ordered_at: dict[MachineId, float] = {}
        self.listed_at = float("-inf")

    async def refresh(self) -> None:
        """Reads the list again when it is due."""
        now = self._control.clock.boot()
        every = BUSY_LIST_S if self.operation_by_id else QUIET_LIST_S
        if now - self.listed_at < every:
            return
        self.listed_at = now
        try:
            machines = await self._service.list_machines()
        except OrderError as error:
            self._control.log.write(
                Event.DEPENDENCY_LOST,
                dependency="machines",
                error=repr(error),
            )
            return
        self.machine_by_id = {each.machine_id: each for each in machines}

    def spare_pool(self) -> PoolId | None:
        """Returns the pool whose machines are off, if any."""
        configuration = self._control.published.current()
        pools = configuration.pool_by_id.values() if configuration else ()
        return next((pool.pool_id for pool in pools if pool.spare), None)

    def is_quiet(self, machine_id: MachineId) -> bool:
        """Whether a machine gets no order for now."""
        now = self._control.clock.boot()
        return now < self._quiet.until and self._quiet.covers(machine_id)

    def ordered_since(self, at: float) -> tuple[MachineId, ...]:
        """Returns the machines that got an order since a time."""
        return tuple(
            machine_id
            for machine_id, ordered_at in self.ordered_at.items()
            if ordered_at >= at
        )
