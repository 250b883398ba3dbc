"""Machines as last listed, and their operations in progress."""

import msgspec

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.dependencylog import DependencyLog
from sardinedrift.engine.exceptions import OrderError
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import Machine, MachineService
from sardinedrift.identifiers import PoolId

# Interval between reads of the list of machines while an operation is in
# progress.
BUSY_LIST_INTERVAL_S = 0.4
# Interval while no operation is in progress.
IDLE_LIST_INTERVAL_S = 4.0


class Operation(msgspec.Struct):
    """A move or an upkeep in progress.

    Attributes:
        pool_id: target of a move; None for an upkeep.
        wave: wave of an upkeep; None for a move.
        ordered: whether its order may have been sent to the machine service
            and has not been refused.
        urgent: whether short tasks are stopped as well.
        drain_deadline: boot-time clock at which it is abandoned if tasks still
            run on the machine; None for no limit.
    """

    machine_id: MachineId
    pool_id: PoolId | None = None
    wave: WaveNumber | None = None
    ordered: bool = False
    urgent: bool = False
    drain_deadline: float | None = None


class MachineCooldown(msgspec.Struct, frozen=True):
    """Period after a change of controllers in which machines get no orders.

    Orders of two controllers for one machine must not follow each other
    closely.

    Attributes:
        until: end of the period, by the boot-time clock in seconds.
        machine_ids: affected machines; None for all.
        order_interval_s: minimum time between orders of two controllers.
    """

    until: float
    machine_ids: frozenset[MachineId] | None
    order_interval_s: float

    def covers(self, machine_id: MachineId, now: float) -> bool:
        """Whether the cooldown applies to a machine at a time."""
        return now < self.until and (
            self.machine_ids is None or machine_id in self.machine_ids
        )

    def affected(self, now: float) -> frozenset[MachineId] | None:
        """Returns the machines that it affects at a time; None for all."""
        return self.machine_ids if now < self.until else frozenset()


class MachineInventory:
    """Machines as last listed, and the operations in progress on them.

    Args:
        control: state of the term.
        service: lists the machines.
        cooldown: period in which machines get no orders.

    Attributes:
        machine_by_id: machines as last listed.
        operation_by_id: operations in progress, by the machine's id.
        listed_at: boot-time clock of the last request for the list.
        ordered_at: boot-time clock of the last order to each machine.
    """

    def __init__(
        self,
        control: ControllerState,
        service: MachineService,
        cooldown: MachineCooldown,
    ):
        self._control = control
        self._service = service
        self._service_log = DependencyLog(control.log, "machines")
        self._cooldown = cooldown
        self.machine_by_id: dict[MachineId, Machine] = {}
        self.operation_by_id: dict[MachineId, Operation] = {}
        self.ordered_at: dict[MachineId, float] = {}
        self.listed_at = float("-inf")

    async def refresh(self) -> None:
        """Reads the list of machines if the interval has elapsed."""
        now = self._control.clock.boot()
        interval_s = (
            BUSY_LIST_INTERVAL_S
            if self.operation_by_id
            else IDLE_LIST_INTERVAL_S
        )
        if now - self.listed_at < interval_s:
            return
        self.listed_at = now
        try:
            machines = await self._service.list_machines()
        except OrderError as error:
            self._service_log.record_loss(error)
            return
        self._service_log.record_success()
        self.machine_by_id = {each.machine_id: each for each in machines}
        self._control.machine_by_id = self.machine_by_id

    def is_evacuated(self, machine: Machine) -> bool:
        """Whether the data centre of a machine is being evacuated."""
        return machine.data_centre_id in self._control.fleet.evacuated

    def usable(self) -> list[Machine]:
        """Returns the machines that are not being evacuated."""
        return [
            machine
            for machine in self.machine_by_id.values()
            if not self.is_evacuated(machine)
        ]

    def may_move(self, machine_id: MachineId, pool_id: PoolId) -> bool:
        """Whether evacuations permit a move: then only to the spare pool."""
        machine = self.machine_by_id.get(machine_id)
        return (
            machine is None
            or not self.is_evacuated(machine)
            or pool_id == self.spare_pool()
        )

    def spare_pool(self) -> PoolId | None:
        """Returns the pool whose machines are switched off, if any."""
        configuration = self._control.published.current()
        pools = configuration.pool_by_id.values() if configuration else ()
        return next((pool.pool_id for pool in pools if pool.spare), None)

    def in_cooldown(self, machine_id: MachineId) -> bool:
        """Whether a machine must not get an order yet."""
        return self._cooldown.covers(machine_id, self._control.clock.boot())

    def is_ordered_recently(self, machine_id: MachineId) -> bool:
        """Whether the term's record names a machine as ordered.

        It does so from an order's record until no order has followed for the
        minimum time between the orders of two controllers.
        """
        ordered_at = self.ordered_at.get(machine_id, float("-inf"))
        return ordered_at >= self._recent_since()

    def recently_ordered(self) -> frozenset[MachineId] | None:
        """Returns the machines that this or an earlier controller ordered.

        These are the machines that a later controller has to spare for a while;
        None for all.
        """
        affected = self._cooldown.affected(self._control.clock.boot())
        if affected is None:
            return None
        since = self._recent_since()
        own = {
            machine_id
            for machine_id, ordered_at in self.ordered_at.items()
            if ordered_at >= since
        }
        return affected | own

    def _recent_since(self) -> float:
        """Returns the boot-time clock from which an order is recent."""
        return self._control.clock.boot() - self._cooldown.order_interval_s
