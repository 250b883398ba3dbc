"""Keeps a machine without tasks until an order to it has been answered."""

import asyncio
import contextlib
from collections.abc import Iterator

from sardinedrift.engine import upkeep
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.machineinventory import Operation
from sardinedrift.engine.model import MachineId
from sardinedrift.engine.task import Run

DRAIN_POLL_INTERVAL_S = 0.08


class MachineDrain:
    """Reserves machines and stops the runs on them.

    It applies to every worker of a machine: the one that was there when an
    operation was decided can be lost, and another one can come up, before the
    order is sent.

    Args:
        control: state of the term.
    """

    def __init__(self, control: ControllerState):
        self._control = control

    @contextlib.contextmanager
    def reserve(self, machine_id: MachineId) -> Iterator[None]:
        """Keeps new work off a machine, also off workers that register."""
        self._control.reserved_machine_ids.add(machine_id)
        self._mark_reserved(machine_id, True)
        try:
            yield
        finally:
            self._control.reserved_machine_ids.discard(machine_id)
            self._mark_reserved(machine_id, False)
            self._control.changed.set()

    def workers_on(self, machine_id: MachineId) -> list[Worker]:
        """Returns the workers on a machine that may have runs."""
        return [
            worker
            for worker in self._control.fleet.incarnations_on(machine_id)
            if not worker.terminated
        ]

    def is_empty(self, machine_id: MachineId) -> bool:
        """Whether no run on a machine is known."""
        return not self._runs_on(machine_id)

    async def wait_empty(self, operation: Operation) -> bool:
        """Waits until a machine is empty, stopping the runs that it may.

        Returns:
            Whether it is; False once the operation's deadline has passed.
        """
        deadline = operation.drain_deadline
        while runs := self._runs_on(operation.machine_id):
            now = self._control.clock.boot()
            if deadline is not None and now > deadline:
                return False
            for run in upkeep.runs_to_stop(runs, operation.urgent, now):
                self._control.stop_run(run)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return True

    def _runs_on(self, machine_id: MachineId) -> list[Run]:
        return [
            run
            for worker in self.workers_on(machine_id)
            for run in worker.run_by_task.values()
        ]

    def _mark_reserved(self, machine_id: MachineId, reserved: bool) -> None:
        for worker in self._control.fleet.incarnations_on(machine_id):
            worker.reserved = reserved
