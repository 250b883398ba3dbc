"""Runs the reviews of pools and waves, and the operations they begin."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.machineinventory import (
    MachineInventory,
    Operation,
    QuietMachines,
)
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.operations import Operations
from sardinedrift.engine.poolreview import PoolReview
from sardinedrift.engine.ports import MachineService, WaveReports
from sardinedrift.engine.wavereview import WaveReview

REVIEW_S = 0.08
RETRY_S = 0.2


class MachineManager:
    """Everything that a controller does with machines.

    Args:
        control: state of the term.
        service: lists machines and takes orders.
        reports: tells operators how waves are.
        wake: wakes the session of a worker.
        quiet: machines that an earlier controller may have given orders
            lately, and until when they get none.
    """

    def __init__(
        self,
        control: ControllerState,
        service: MachineService,
        reports: WaveReports,
        wake: Callable[[Worker], None],
        quiet: QuietMachines,
    ):
        self._control = control
        self._reports = reports
        self._book = MachineInventory(control, service, quiet)
        self._waves = WaveReview(control, self._book, self._begin, self._report)
        self._operations = Operations(
            control, self._book, service, wake, self._waves.note_begun
        )
        self._pools = PoolReview(
            control, self._book, self._begin, self._operations.is_allowed
        )
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """Decides until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            while True:
                await self._book.refresh()
                if self._control.term.may_order and self._book.machine_by_id:
                    self._waves.review()
                    self._pools.review()
                await asyncio.sleep(REVIEW_S)

    def ordered_since(self, at: float) -> tuple[MachineId, ...]:
        """Returns the machines that got an order since a time."""
        return self._book.ordered_since(at)

    def _begin(self, operation: Operation) -> None:
        self._book.operation_by_id[operation.machine_id] = operation
        self._group.create_task(self._operations.carry_out(operation))

    def _report(self, number: WaveNumber, completed: bool) -> None:
        if self._group is not None:
            self._group.create_task(self._write_report(number, completed))

    async def _write_report(self, number: WaveNumber, completed: bool) -> None:
        while True:
            try:
                await self._reports.report_wave(number, completed)
            except StoreError:
                await asyncio.sleep(RETRY_S)
            else:
                return
