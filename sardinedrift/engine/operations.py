"""Carries out moves and upkeeps, each in an asyncio task of its own."""

import asyncio
import enum
from collections.abc import Callable

import msgspec

from sardinedrift.engine.control import ControllerState
from sardinedrift.engine.events import Event
from sardinedrift.engine.exceptions import (
    OrderError,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.fleet import Worker
from sardinedrift.engine.machinedrain import MachineDrain
from sardinedrift.engine.machineinventory import (
    BUSY_LIST_INTERVAL_S,
    MachineInventory,
    Operation,
)
from sardinedrift.engine.model import MachineId, WaveNumber
from sardinedrift.engine.ports import MachineService, MachineState, Refusal
from sardinedrift.identifiers import PoolId

POLL_INTERVAL_S = 0.08
RETRY_DELAY_S = 0.2
# An operation is abandoned if its machine is not up again this long after the
# order.
RETURN_TIMEOUT_S = 8.0


class _Attempt(msgspec.Struct):
    """An attempt to send an order; it can end the workers known then."""

    workers: list[Worker]


class _Outcome(enum.Enum):
    """Outcome of an attempt.

    Attributes:
        ACCEPTED: the order was accepted.
        UNANSWERED: it may have been accepted; it is sent again.
        POSTPONED: it was not carried out; it is sent again.
        REFUSED: it was refused, and the operation is abandoned.
    """

    ACCEPTED = "accepted"
    UNANSWERED = "unanswered"
    POSTPONED = "postponed"
    REFUSED = "refused"


class Operations:
    """Drains machines, sends their orders and waits until they are up again.

    Args:
        control: state of the term.
        inventory: known machines and operations in progress.
        service: accepts the orders.
        wake: wakes the session of a worker.
        record_started: called when an upkeep of a wave has begun.
    """

    def __init__(
        self,
        control: ControllerState,
        inventory: MachineInventory,
        service: MachineService,
        wake: Callable[[Worker], None],
        record_started: Callable[[MachineId, WaveNumber], None],
    ):
        self._control = control
        self._inventory = inventory
        self._service = service
        self._wake = wake
        self._record_started = record_started
        self._drain = MachineDrain(control)
        self._invalid_moves: set[tuple[MachineId, PoolId]] = set()

    def is_allowed(self, machine_id: MachineId, pool_id: PoolId) -> bool:
        """Whether a machine may be moved to a pool.

        Returns False once the service has refused that move as invalid.
        """
        return (machine_id, pool_id) not in self._invalid_moves

    async def carry_out(self, operation: Operation) -> None:
        """Carries out an operation until it is completed or abandoned."""
        machine_id = operation.machine_id
        try:
            with self._drain.reserve(machine_id):
                changed = await self._send_until_answered(operation)
            if changed:
                await self._wait_until_up(operation)
        finally:
            self._inventory.operation_by_id.pop(machine_id, None)
            self._inventory.listed_at = float("-inf")

    async def _send_until_answered(self, operation: Operation) -> bool:
        """Sends the order until it is answered.

        The machine is drained before each attempt. An attempt without an answer
        may have ended the workers known then, but not later ones.

        Returns:
            Whether the order was accepted and has changed the machine.
        """
        first_unanswered: _Attempt | None = None
        while True:
            operation.ordered = first_unanswered is not None
            if not await self._drain.wait_empty(operation):
                operation.ordered = False
                self._log_refusal(operation, "drain_timeout")
                return False
            await self._record_order(operation)
            if not self._control.term.may_order:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            operation.ordered = True
            self._mark_ordered(operation)
            attempt = _Attempt(self._drain.workers_on(operation.machine_id))
            outcome = await self._attempt(operation, attempt)
            if outcome is _Outcome.REFUSED:
                operation.ordered = False
                return False
            if outcome is _Outcome.ACCEPTED:
                attempt = first_unanswered or attempt
                return self._end_workers(operation, attempt.workers)
            if outcome is _Outcome.UNANSWERED:
                first_unanswered = first_unanswered or attempt
            await asyncio.sleep(RETRY_DELAY_S)

    async def _attempt(
        self, operation: Operation, attempt: _Attempt
    ) -> _Outcome:
        """Sends the order once, and logs what becomes of it."""
        try:
            await self._send(operation, attempt)
        except OrderRefused as error:
            return self._handle_refusal(operation, error.reason)
        except OrderUnknown as error:
            self._log_refusal(operation, repr(error))
            return _Outcome.UNANSWERED
        except OrderError as error:
            empty = self._drain.is_empty(operation.machine_id)
            reason = repr(error) if empty else "has_tasks"
            self._log_refusal(operation, reason)
            return _Outcome.POSTPONED
        self._log_order(operation)
        return _Outcome.ACCEPTED

    def _end_workers(self, operation: Operation, workers: list[Worker]) -> bool:
        """Marks the workers as terminated that an accepted order has ended.

        Returns:
            Whether the machine restarts: there were none, or one has ended.
        """
        ended = [each for each in workers if _ends_worker(operation, each)]
        for worker in ended:
            worker.terminated = True
            self._wake(worker)
        return bool(ended) or not workers

    async def _record_order(self, operation: Operation) -> None:
        """Records the machine in the term, unless it still is recorded.

        A successor orders the machines that are not recorded at once.
        """
        if self._inventory.is_ordered_recently(operation.machine_id):
            return
        self._mark_ordered(operation)
        self._control.writer.mark_term_changed()
        await self._control.writer.wait_durable()

    def _mark_ordered(self, operation: Operation) -> None:
        now = self._control.clock.boot()
        self._inventory.ordered_at[operation.machine_id] = now

    async def _send(self, operation: Operation, attempt: _Attempt) -> None:
        term = self._control.term
        machine_id = operation.machine_id

        def may_send() -> bool:
            attempt.workers = self._drain.workers_on(machine_id)
            return term.may_order and self._drain.is_empty(machine_id)

        if operation.pool_id is not None:
            await self._service.move(
                operation.machine_id, operation.pool_id, term.token, may_send
            )
        else:
            await self._service.begin_upkeep(
                operation.machine_id, operation.wave, term.token, may_send
            )
            self._record_started(operation.machine_id, operation.wave)

    def _handle_refusal(
        self, operation: Operation, reason: Refusal
    ) -> _Outcome:
        """Handles a refusal; returns what it means for the operation."""
        self._log_refusal(operation, reason.value)
        if reason is Refusal.FENCED:
            self._control.term.end()
            return _Outcome.REFUSED
        if reason is Refusal.INVALID and operation.pool_id is not None:
            self._invalid_moves.add((operation.machine_id, operation.pool_id))
        if reason is Refusal.UNHEALTHY:
            return _Outcome.POSTPONED
        return _Outcome.REFUSED

    async def _wait_until_up(self, operation: Operation) -> None:
        """Waits until the machine is up again, found down, or timed out."""
        clock = self._control.clock
        sent_at = clock.boot()
        while clock.boot() < sent_at + RETURN_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            worker = self._control.fleet.current_worker_on(operation.machine_id)
            if worker is not None:
                if worker.contacted:
                    return
                continue
            machine = self._inventory.machine_by_id.get(operation.machine_id)
            if self._inventory.listed_at <= sent_at + BUSY_LIST_INTERVAL_S:
                continue
            if machine is None or machine.state is MachineState.DOWN:
                return
            if (
                machine.state is MachineState.UP
                and machine.pool_id == self._inventory.spare_pool()
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


def _ends_worker(operation: Operation, worker: Worker) -> bool:
    """Whether an accepted order has ended a worker.

    A move is also accepted if it was done before. Then the worker that is
    registered in the target pool is the one that it has started.
    """
    return operation.pool_id is None or worker.pool_id != operation.pool_id
