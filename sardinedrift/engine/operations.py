"""Carries out moves and upkeeps, one task for each operation."""

import asyncio
from collections.abc import Callable

from sardinedrift.engine import upkeep
from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import OrderError, OrderRefused
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.machineinventory import (
    BUSY_LIST_S,
    MachineInventory,
    Operation,
)
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import MachineService, MachineState, Refusal
from sardinedrift.identifiers import PoolId

LOOK_S = 0.08
RETRY_S = 0.2
# An operation that shows no effect after this long is given up.
BACK_S = 8.0


class Operations:
    """Empties machines, gives their orders and waits until they are back.

    Args:
        control: state of the term.
        book: the machines.
        service: takes the orders.
        wake: wakes the session of a worker.
        note_begun: called when an upkeep of a wave has begun.
    """

    def __init__(
        self,
        control: ControllerState,
        book: MachineInventory,
        service: MachineService,
        wake: Callable[[Worker], None],
        note_begun: Callable[[MachineId, WaveNumber], None],
    ):
        self._control = control
        self._book = book
        self._service = service
        self._wake = wake
        self._note_begun = note_begun
        self._refused: set[tuple[MachineId, PoolId]] = set()

    def is_allowed(self, machine_id: MachineId, pool_id: PoolId) -> bool:
        """Whether the service has not refused a machine for a pool."""
        return (machine_id, pool_id) not in self._refused

    async def carry_out(self, operation: Operation) -> None:
        """Carries out an operation from its beginning to its end."""
        machine_id = operation.machine_id
        worker = self._control.fleet.current_worker_on(machine_id)
        if worker is not None:
            worker.reserved = True
        try:
            if worker is not None:
                await self._empty(operation, worker)
            if await self._order(operation):
                if worker is not None:
                    worker.terminated = True
                    self._wake(worker)
                await self._wait_back(operation, worker)
        finally:
            if worker is not None:
                worker.reserved = False
                self._control.changed.set()
            self._book.operation_by_id.pop(machine_id, None)
            self._book.listed_at = float("-inf")

    async def _empty(self, operation: Operation, worker: Worker) -> None:
        """Waits until nothing runs on a worker, and moves on what lasts."""
        while worker.run_by_task and not worker.terminated:
            runs = worker.run_by_task.values()
            for run in upkeep.runs_to_stop(
                list(runs), operation.urgent, self._control.clock.boot()
            ):
                self._control.stop_run(run)
            await asyncio.sleep(LOOK_S)

    async def _order(self, operation: Operation) -> bool:
        """Gives the order until it is answered; returns whether it took."""
        while True:
            if not self._control.term.may_order:
                await asyncio.sleep(RETRY_S)
                continue
            operation.ordered = True
            self._book.ordered_at[operation.machine_id] = (
                self._control.clock.boot()
            )
            try:
                await self._send(operation)
            except OrderRefused as error:
                if not await self._note_refusal(operation, error.reason):
                    operation.ordered = False
                    return False
            except OrderError as error:
                self._log_refusal(operation, repr(error))
                await asyncio.sleep(RETRY_S)
            else:
                self._log_order(operation)
                return True

    async def _send(self, operation: Operation) -> None:
        token = self._control.token
        if operation.pool_id is not None:
            await self._service.move(
                operation.machine_id, operation.pool_id, token
            )
        else:
            await self._service.begin_upkeep(
                operation.machine_id, operation.wave, token
            )
            self._note_begun(operation.machine_id, operation.wave)

    async def _note_refusal(
        self, operation: Operation, reason: Refusal
    ) -> bool:
        """Returns whether the order is to be sent again."""
        self._log_refusal(operation, reason.value)
        if reason is Refusal.FENCED:
            self._control.term.end()
            return False
        if reason is Refusal.INVALID and operation.pool_id is not None:
            self._refused.add((operation.machine_id, operation.pool_id))
        if reason is Refusal.UNHEALTHY:
            await asyncio.sleep(RETRY_S)
            return True
        return False

    async def _wait_back(
        self, operation: Operation, before: Worker | None
    ) -> None:
        """Waits until the machine is up again."""
        clock = self._control.clock
        sent_at = clock.boot()
        while clock.boot() < sent_at + BACK_S:
            await asyncio.sleep(LOOK_S)
            worker = self._control.fleet.current_worker_on(operation.machine_id)
            if worker is not None and worker is not before:
                if worker.contacted:
                    return
                continue
            machine = self._book.machine_by_id.get(operation.machine_id)
            if self._book.listed_at <= sent_at + BUSY_LIST_S:
                continue
            if machine is None or machine.state is MachineState.DOWN:
                return
            if (
                machine.state is MachineState.UP
                and machine.pool_id == self._book.spare_pool()
            ):
                return

    def _log_order(self, operation: Operation) -> None:
        moved = operation.pool_id is not None
        self._control.log.write(
            Event.MACHINE_MOVED if moved else Event.UPKEEP_BEGUN,
            machine=operation.machine_id,
            target=operation.pool_id,
            wave=operation.wave,
            token=self._control.token,
        )

    def _log_refusal(self, operation: Operation, reason: str) -> None:
        self._control.log.write(
            Event.MACHINE_REFUSED,
            machine=operation.machine_id,
            target=operation.pool_id,
            wave=operation.wave,
            reason=reason,
        )
