"""Fakes of the job engine's ports, backed by the in-memory deployment."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from sardinedrift.engine.exceptions import (
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
    SequenceExpected,
    StoreFenced,
    StoreRefused,
)
from sardinedrift.engine.model import (
    FencingToken,
    MachineId,
    RunEnd,
    TaskId,
    WorkerId,
)
from sardinedrift.engine.ports import (
    Advice,
    AdviceService,
    EndReport,
    Machine,
    MachineService,
    MachineState,
    Refusal,
    RegisteredWorker,
    ReportRequest,
    RunReport,
    StartOrder,
    WaveReports,
    WorkerOrders,
    WorkerReport,
)
from sardinedrift.identifiers import (
    NO_CONNECTION,
    ConnectionId,
    JobId,
    PoolId,
)
from standins.platform.log import Refused
from standins.platform.worker import Worker
from tests.engine_world import (
    MACHINE_RESTART_S,
    RESPONSE_DELAY_S,
    SPARE,
    TASK_SIZE,
    MachineOrder,
    World,
)

# Shorter than the timeout of other calls, so that the repeated report of a
# controller back from a cut precedes its next join.
REPORT_TIMEOUT_S = 0.05


class _Connection(NamedTuple):
    """A connection, which ends with the process that it leads to.

    One that replaces another connection to the same process follows it.
    """

    connection_id: ConnectionId
    process: Worker
    follows: ConnectionId = NO_CONNECTION


class FakeOrders(WorkerOrders):
    """The workers, as reachable from one entry."""

    def __init__(self, world: World, node: str):
        self._world = world
        self._node = node
        self._report_connection_by_id: dict[WorkerId, _Connection] = {}

    async def start(self, worker: RegisteredWorker, order: StartOrder) -> None:
        target = await self._connect(worker)

        def start() -> None:
            target.start(
                _name(order.task_id),
                order.run,
                TASK_SIZE.cpu,
                order.lease_ms,
                order.token,
            )

        if self._world.faults.late_start:
            delay = self._world.faults.late_start.pop(0)
            loop = asyncio.get_running_loop()
            loop.call_later(delay, _ignore_refusal, start)
            await asyncio.sleep(0.6)
            raise OrderUnknown("no answer")
        if self._world.faults.refused_starts:
            self._world.faults.refused_starts -= 1
            raise OrderRefused(Refusal.UNHEALTHY)
        _convert_refusal(start)
        if self._world.faults.slow_starts:
            await asyncio.sleep(self._world.faults.slow_starts.pop(0))

    async def stop(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        token: FencingToken,
    ) -> None:
        target = await self._connect(worker)
        _convert_refusal(lambda: target.stop(_name(task_id), run, token))

    async def renew(
        self,
        worker: RegisteredWorker,
        request: ReportRequest,
        answer_s: float,
    ) -> WorkerReport:
        try:
            return await self._renew(worker, request, answer_s)
        except (OrderNotSent, OrderUnknown):
            # A call without an answer closes its connection.
            self._report_connection_by_id.pop(worker.worker_id, None)
            raise

    async def _renew(
        self,
        worker: RegisteredWorker,
        request: ReportRequest,
        answer_s: float,
    ) -> WorkerReport:
        if worker.worker_id in self._world.faults.renewal_cut:
            await asyncio.sleep(0.5)
            raise OrderNotSent(worker.address)
        target = await self._connect(worker)
        connection = self._report_connection(worker.worker_id, target)
        connection_id = connection.connection_id
        addressed = request.connection_id != NO_CONNECTION and (
            request.connection_id in (connection_id, connection.follows)
        )
        try:
            running, ended = await target.renew_lease(
                request.token,
                request.acknowledged_end if addressed else 0,
                request.lease_ms if addressed else None,
                request.wait_ms / 1000 if addressed else 0.0,
            )
        except Refused as error:
            raise OrderRefused(_REFUSALS[error.body["reason"]]) from error
        delay_s = self._world.faults.report_delay_s.get(worker.worker_id, 0.0)
        await asyncio.sleep(min(delay_s, answer_s))
        if delay_s > answer_s:
            raise OrderUnknown("no answer in time")
        if (self._node, worker.worker_id) in self._world.faults.cut or (
            not target.alive
        ):
            await asyncio.sleep(0.5)
            raise OrderUnknown("no answer")
        return WorkerReport(
            target.clock_ms,
            target.born_ms,
            tuple(
                RunReport(
                    _task_id(row[0]), row[1], self._world.checkpoint, *row[3:]
                )
                for row in running
            ),
            tuple(
                EndReport(
                    row[0], _task_id(row[1]), row[2], RunEnd(row[3]), row[4]
                )
                for row in ended
            ),
            connection_id,
            addressed,
            complete=len(ended) < target.max_listed_ends,
        )

    def _report_connection(
        self, worker_id: WorkerId, target: Worker
    ) -> _Connection:
        """Returns the open connection to a process, or a new one."""
        previous = self._report_connection_by_id.get(worker_id)
        known = previous is not None and previous.process is target
        if worker_id in self._world.faults.changing_connections:
            known = False
        if known and not self._world.faults.connections_close:
            return previous
        self._world.last_connection_id += 1
        connection = _Connection(
            ConnectionId(self._world.last_connection_id),
            target,
            previous.connection_id if known else NO_CONNECTION,
        )
        self._report_connection_by_id[worker_id] = connection
        return connection

    async def set_pace(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        percent: int,
        token: FencingToken,
    ) -> None:
        await self._connect(worker)

    async def _connect(self, worker: RegisteredWorker) -> Worker:
        target = self._world.worker_by_id[worker.worker_id]
        if worker.worker_id in self._world.faults.mute:
            await asyncio.sleep(0.6)
            raise OrderUnknown("worker did not answer")
        cut = (self._node, worker.worker_id) in self._world.faults.cut
        if cut or not target.alive:
            await asyncio.sleep(0.5)
            raise OrderNotSent(worker.address)
        await asyncio.sleep(0.001)
        return target


_REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_CAPACITY,
}


def _convert_refusal(order: Callable[[], None]) -> None:
    try:
        order()
    except Refused as error:
        raise OrderRefused(_REFUSALS[error.body["reason"]]) from error


def _ignore_refusal(order: Callable[[], None]) -> None:
    with contextlib.suppress(Refused):
        order()


def _name(task_id: TaskId) -> str:
    return ".".join(str(part) for part in task_id)


def _task_id(name: str) -> TaskId:
    job_id, *numbers = name.split(".")
    return TaskId(JobId(job_id), *(int(number) for number in numbers))


class FakeMachines(MachineService, WaveReports, AdviceService):
    """Machine service, wave reports and advice service."""

    def __init__(self, world: World, node: str):
        self._world = world
        self._node = node

    async def list_machines(self) -> list[Machine]:
        await asyncio.sleep(RESPONSE_DELAY_S)
        return list(self._world.machine_by_id.values())

    async def move(
        self,
        machine_id: MachineId,
        pool_id: PoolId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        await self._send(machine_id, token, may_send)
        self._world.moves.append((machine_id, pool_id))
        self._restart(machine_id, pool_id, MachineState.MOVING)

    async def begin_upkeep(
        self,
        machine_id: MachineId,
        wave,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        await self._send(machine_id, token, may_send)
        self._world.upkeeps.append((machine_id, wave))
        pool_id = self._world.machine_by_id[machine_id].pool_id
        self._restart(machine_id, pool_id, MachineState.UPKEEP)

    async def report_wave(
        self, number, completed: bool, token: FencingToken, sequence: int
    ) -> None:
        world = self._world
        if world.faults.store_down or self._node in world.faults.store_cut:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            raise StoreRefused("store did not accept the connection")
        try:
            world.log.append("status", [b"\x00x"], "waves", token, sequence)
        except Refused as error:
            if error.body["reason"] == "seq":
                raise SequenceExpected(error.body["seq"]) from error
            raise StoreFenced(str(error)) from error
        world.reports.append((number, completed))

    async def advise(self, task_id, worker_ids) -> Advice:
        return Advice((), 1000)

    async def _send(
        self,
        machine_id: MachineId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> None:
        pause_by_node = self._world.faults.machine_order_pause_s
        await asyncio.sleep(pause_by_node.get(self._node, RESPONSE_DELAY_S))
        if not may_send():
            raise OrderNotSent(self._node)
        now = self._world.clock.boot()
        self._world.machine_orders.append(MachineOrder(machine_id, token, now))

    def _restart(
        self, machine_id: MachineId, pool_id: PoolId, state: MachineState
    ) -> None:
        name = machine_id.removeprefix("m-")
        self._world.worker_by_id[name].crash()
        self._world.unregister(name)
        self._world.put_machine(name, pool_id, state)
        loop = asyncio.get_running_loop()
        if pool_id == SPARE:
            restore = (self._world.put_machine, name, SPARE, MachineState.UP)
        else:
            restore = (self._world.add_worker, name, pool_id)
        loop.call_later(MACHINE_RESTART_S, *restore)
