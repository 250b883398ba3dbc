"""Runs the reviews of pools and waves and the operations that they begin."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.evacuationguard import EvacuationGuard
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.machineinventory import (
    MachineCooldown,
    MachineInventory,
    Operation,
)
from sardinedrift.engine.model import MachineId
from sardinedrift.engine.operations import Operations
from sardinedrift.engine.pace import Pace
from sardinedrift.engine.poolreview import PoolReview
from sardinedrift.engine.ports import MachineService, WaveReports
from sardinedrift.engine.wavereporter import WaveReporter
from sardinedrift.engine.wavereview import WaveReview

REVIEW_INTERVAL_S = 0.08
# Share of the time that the reviews may take.
MAX_REVIEW_SHARE = 0.1
# Machines are taken off the record of the term at this interval.
RECORD_INTERVAL_S = 1.0


class MachineManager:
    """Manages machines during a term: moves between pools and upkeep waves.

    Args:
        control: state of the term.
        service: lists machines and accepts orders.
        reports: reports the progress of waves to operators.
        wake: wakes the session of a worker.
        cooldown: period in which machines that an earlier controller may have
            ordered recently get no orders.
    """

    def __init__(
        self,
        control: ControllerState,
        service: MachineService,
        reports: WaveReports,
        wake: Callable[[Worker], None],
        cooldown: MachineCooldown,
    ):
        self._control = control
        self._pace = Pace(control.clock, MAX_REVIEW_SHARE)
        self._reporter = WaveReporter(control, reports)
        self._inventory = MachineInventory(control, service, cooldown)
        self._wave_review = WaveReview(
            control, self._inventory, self._begin, self._reporter.report
        )
        self._operations = Operations(
            control,
            self._inventory,
            EvacuationGuard(service, self._inventory),
            wake,
            self._wave_review.record_started,
        )
        self._pool_review = PoolReview(
            control, self._inventory, self._begin, self._operations.is_allowed
        )
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """Reviews waves and pools periodically until cancelled."""
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._shorten_term_record())
            group.create_task(self._reporter.run())
            while True:
                await self._inventory.refresh()
                if (
                    self._control.term.may_order
                    and self._control.published.loaded
                    and self._inventory.machine_by_id
                ):
                    with self._pace.measure():
                        self._wave_review.review()
                        self._pool_review.review()
                await asyncio.sleep(
                    max(REVIEW_INTERVAL_S, self._pace.delay_s())
                )

    def recently_ordered(self) -> frozenset[MachineId] | None:
        """Returns the machines that got orders recently; None for all."""
        return self._inventory.recently_ordered()

    async def _shorten_term_record(self) -> None:
        """Takes machines off the record that were ordered long enough ago."""
        recorded = self.recently_ordered()
        while True:
            await asyncio.sleep(RECORD_INTERVAL_S)
            ordered = self.recently_ordered()
            if ordered != recorded:
                recorded = ordered
                self._control.writer.mark_term_changed()

    def _begin(self, operation: Operation) -> None:
        self._inventory.operation_by_id[operation.machine_id] = operation
        self._group.create_task(self._operations.carry_out(operation))
