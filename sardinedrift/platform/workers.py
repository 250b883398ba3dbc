"""Registrations of workers, orders to them, and the advice service."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from sardinedrift.engine.exceptions import (
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
)
from sardinedrift.engine.model import MachineId, RunEnd, Size, TaskId, WorkerId
from sardinedrift.engine.model import Token as FencingToken
from sardinedrift.engine.ports import (
    Advice,
    AdviceService,
    EndReport,
    Refusal,
    RegisteredWorker,
    RunReport,
    StartOrder,
    Ticket,
    WorkerOrders,
    WorkerReport,
)
from sardinedrift.identifiers import DataCentreId, PoolId
from sardinedrift.platform.http import Answer, HttpClient, NoAnswer, NotSent
from sardinedrift.platform.jobs import parse_task_name, step_name, task_name

# Workers answer orders within milliseconds.
ORDER_S = 0.35
# A report may come this long after its wait has passed.
REPORT_MARGIN_S = 0.4
ADVICE_S = 3.0

_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.ROOM,
    "ticket": Refusal.TICKET,
    "busy": Refusal.BUSY,
    "wave": Refusal.NOT_IN_WAVE,
}
_REFUSAL_BY_STATUS = {
    400: Refusal.INVALID,
    421: Refusal.OTHER_BOOT,
    429: Refusal.UNHEALTHY,
    503: Refusal.UNHEALTHY,
}


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Registration(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    # The kind of the worker and its rack.
    labels: tuple[str, ...] = ()
    # Unix milliseconds of the worker's start.
    born: int = 0
    machine: str = ""


class _Refusal(msgspec.Struct, frozen=True):
    reason: str = ""


class _Report(msgspec.Struct, frozen=True):
    clock_ms: int
    # Rows: task, run, checkpoint, percent, tail in ms or cpu in use.
    running: tuple[tuple[Any, ...], ...] = ()
    # Rows: number, task, run, how it ended, checkpoint.
    ended: tuple[tuple[Any, ...], ...] = ()
    born: int = 0


class _Advice(msgspec.Struct, frozen=True):
    # Rows: id and ticket.
    good: tuple[tuple[str, str], ...]
    valid_ms: int


_registration_decoder = msgspec.json.Decoder(_Registration)
_report_decoder = msgspec.json.Decoder(_Report)
_STATES = ("ready", "draining")


def decode_registration(worker_id: str, data: bytes) -> RegisteredWorker:
    """Returns the worker in a record.

    Raises:
        msgspec.DecodeError: the record can't be understood.
        ValueError: it names an unknown state.
    """
    read = _registration_decoder.decode(data)
    if read.state not in _STATES:
        raise ValueError(f"unknown state {read.state!r}")
    capacity = read.capacity
    return RegisteredWorker(
        WorkerId(worker_id),
        PoolId(read.service),
        read.address,
        DataCentreId(read.zone),
        read.born,
        read.state == "draining",
        Size(capacity.cpu, capacity.mem_mb, capacity.gpu),
        frozenset(read.labels),
        read.labels[-1] if read.labels else "",
        MachineId(read.machine),
    )


class HttpWorkerOrders(WorkerOrders):
    """Orders to workers over HTTP."""

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(self, worker: RegisteredWorker, order: StartOrder) -> None:
        """Starts a run."""
        body = {
            "task": task_name(order.task_id),
            "run": order.run,
            "spec": order.payload,
            "deadline_ms": order.lease_ms,
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        await self._order(worker, "/run-start", body)

    async def stop(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        token: FencingToken,
    ) -> None:
        """Stops a run."""
        body = {"task": task_name(task_id), "run": run, "fencing_token": token}
        await self._order(worker, "/run-stop", body)

    async def renew(
        self,
        worker: RegisteredWorker,
        token: FencingToken,
        acknowledged_end: int,
        lease_ms: int | None,
        wait_ms: int,
        new_connection: bool = False,
    ) -> WorkerReport:
        """Renews the lease and returns the lists of the worker."""
        body: dict[str, int] = {
            "fencing_token": token,
            "last_seen": acknowledged_end,
        }
        if lease_ms is not None:
            body["deadline_ms"] = lease_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        timeout_s = wait_ms / 1000 + REPORT_MARGIN_S
        answer = await self._order(
            worker, "/hold", body, timeout_s, new_connection
        )
        return _decode_report(answer.body)

    async def pace(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        percent: int,
        token: FencingToken,
    ) -> None:
        """Sets the share of its speed at which a run works."""
        body = {
            "task": task_name(task_id),
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        await self._order(worker, "/pace", body)

    async def _order(
        self,
        worker: RegisteredWorker,
        path: str,
        body: dict[str, Any],
        timeout_s: float = ORDER_S,
        fresh: bool = False,
    ) -> Answer:
        headers = {"Expected-Instance": worker.worker_id}
        return await send_order(
            self._client, worker.address, path, body, headers, timeout_s, fresh
        )


class HttpAdvice(AdviceService):
    """The advice service over HTTP."""

    def __init__(self, client: HttpClient, address: Callable[[], str]):
        self._client = client
        self._address = address

    async def advise(
        self, task_id: TaskId, worker_ids: Sequence[WorkerId]
    ) -> Advice:
        """Asks which workers may run the step of a task."""
        body = {"step": step_name(task_id), "workers": list(worker_ids)}
        answer = await send_order(
            self._client, self._address(), "/advise", body, {}, ADVICE_S
        )
        try:
            read = msgspec.json.decode(answer.body, type=_Advice)
        except msgspec.DecodeError as error:
            raise OrderUnknown(str(error)) from error
        tickets = tuple(
            Ticket(WorkerId(name), ticket) for name, ticket in read.good
        )
        return Advice(tickets, read.valid_ms)


async def send_order(
    client: HttpClient,
    address: str,
    path: str,
    body: dict[str, Any],
    headers: dict[str, str],
    timeout_s: float,
    fresh: bool = False,
) -> Answer:
    """Posts an order and returns its answer.

    Raises:
        OrderNotSent: no connection was opened.
        OrderUnknown: no answer came.
        OrderRefused: the receiver did nothing.
    """
    try:
        answer = await client.call(
            "POST",
            address,
            path,
            timeout_s,
            msgspec.json.encode(body),
            headers=headers,
            fresh=fresh,
        )
    except NotSent as error:
        raise OrderNotSent(str(error)) from error
    except NoAnswer as error:
        raise OrderUnknown(str(error)) from error
    if answer.status == 200:
        return answer
    raise _refusal(answer)


def _refusal(answer: Answer) -> OrderRefused | OrderUnknown:
    if answer.status == 409:
        try:
            read = msgspec.json.decode(answer.body, type=_Refusal)
        except msgspec.DecodeError as error:
            return OrderUnknown(f"unreadable refusal: {error}")
        reason = _REFUSAL_BY_REASON.get(read.reason)
    else:
        reason = _REFUSAL_BY_STATUS.get(answer.status)
    if reason is None:
        return OrderUnknown(f"{answer.status}: {answer.body[:200]!r}")
    return OrderRefused(reason)


def _decode_report(data: bytes) -> WorkerReport:
    try:
        read = _report_decoder.decode(data)
        return WorkerReport(
            read.clock_ms,
            read.born,
            tuple(_run_report(row) for row in read.running),
            tuple(_end_report(row) for row in read.ended),
        )
    except (msgspec.DecodeError, ValueError, IndexError, TypeError) as error:
        raise OrderUnknown(f"unreadable report: {error}") from error


def _run_report(row: tuple[Any, ...]) -> RunReport:
    name, run, checkpoint, percent, *rest = row
    figure = float(rest[0]) if rest else 0.0
    return RunReport(
        parse_task_name(name), run, checkpoint, float(percent), figure
    )


def _end_report(row: tuple[Any, ...]) -> EndReport:
    number, name, run, how, checkpoint = row[:5]
    return EndReport(
        number, parse_task_name(name), run, RunEnd(how), checkpoint
    )
