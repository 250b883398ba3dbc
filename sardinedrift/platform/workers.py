"""Worker registrations, orders to workers, and the advice service."""

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from sardinedrift.addresses import split_address
from sardinedrift.engine.exceptions import (
    OrderNotSent,
    OrderRefused,
    OrderUnknown,
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
    Refusal,
    RegisteredWorker,
    ReportRequest,
    RunReport,
    StartOrder,
    Ticket,
    WorkerOrders,
    WorkerReport,
)
from sardinedrift.identifiers import DataCentreId, PoolId
from sardinedrift.jsoncodec import decode_json
from sardinedrift.platform.fields import (
    MAX_NAME_LENGTH,
    Count,
    Name,
    Quantity,
    Resources,
)
from sardinedrift.platform.http import (
    AddressedBody,
    HttpClient,
    NoResponse,
    NotSent,
    Response,
)
from sardinedrift.platform.jobs import parse_task_name, step_name, task_name

# Workers respond to orders within milliseconds.
ORDER_TIMEOUT_S = 0.35
ADVICE_TIMEOUT_S = 3.0
# A report lists the oldest ends, at most this many.
MAX_LISTED_ENDS = 500

_REFUSAL_BY_REASON = {
    "fence": Refusal.FENCED,
    "old": Refusal.OLD,
    "late": Refusal.LATE,
    "room": Refusal.NO_CAPACITY,
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


class _Registration(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    state: str
    capacity: Resources
    # Kind of the worker, then its rack.
    labels: tuple[str, ...] = ()
    # Start of the worker, in Unix milliseconds.
    born: Count = 0
    machine: Name = ""
    # For how long it stays slow after its start.
    cold_left_ms: Quantity = 0.0


class _RefusalBody(msgspec.Struct, frozen=True):
    reason: str = ""


class _RunRow(msgspec.Struct, frozen=True, array_like=True):
    task: str
    run: Count
    saved: str
    percent: float
    # Tail latency in ms of a task that serves, CPU use of any other.
    figure: float = 0.0


class _EndRow(msgspec.Struct, frozen=True, array_like=True):
    number: Count
    task: str
    run: Count
    how: str
    saved: str


class _ReportBody(msgspec.Struct, frozen=True):
    clock_ms: Count
    running: tuple[_RunRow, ...] = ()
    ended: tuple[_EndRow, ...] = ()
    born: Count = 0


class _AdviceBody(msgspec.Struct, frozen=True):
    # Rows of worker id and ticket.
    good: tuple[tuple[str, str], ...]
    valid_ms: Count


_WORKER_STATES = ("ready", "draining")


def decode_registration(
    worker_id: str, data: bytes, now: float
) -> RegisteredWorker:
    """Decodes the record of a worker's registration.

    Args:
        worker_id: key of the record.
        data: the record.
        now: boot-time clock in seconds.

    Raises:
        ValueError: the id or the record is malformed, or a field is missing.
    """
    if not _is_worker_id(worker_id):
        raise ValueError(f"malformed worker id: {worker_id!r}")
    registration = decode_json(data, _Registration)
    split_address(registration.address)
    if registration.state not in _WORKER_STATES:
        raise ValueError(f"unknown worker state: {registration.state!r}")
    return RegisteredWorker(
        WorkerId(worker_id),
        PoolId(registration.service),
        registration.address,
        DataCentreId(registration.zone),
        registration.born,
        registration.state == "draining",
        registration.capacity.size(),
        frozenset(registration.labels),
        registration.labels[-1] if registration.labels else "",
        MachineId(registration.machine),
        _cold_until(registration, now),
    )


def _cold_until(registration: _Registration, now: float) -> float:
    if not registration.cold_left_ms:
        return 0.0
    return now + registration.cold_left_ms / 1000


def _is_worker_id(text: str) -> bool:
    """Whether an id can be sent in a header and recorded."""
    return 0 < len(text) <= MAX_NAME_LENGTH and bool(
        text.isascii() and text.isprintable()
    )


class HttpWorkerOrders(WorkerOrders):
    """Sends orders to workers over HTTP.

    Args:
        client: sends orders.
        report_client: sends requests for reports. It has one connection for
            each worker, which carries nothing else, so a worker's next request
            goes over that of the last one.
    """

    def __init__(self, client: HttpClient, report_client: HttpClient):
        self._client = client
        self._report_client = report_client

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
        await self._send_order(worker, "/run-start", body)

    async def stop(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        token: FencingToken,
    ) -> None:
        """Stops a run."""
        body = {"task": task_name(task_id), "run": run, "fencing_token": token}
        await self._send_order(worker, "/run-stop", body)

    async def renew(
        self,
        worker: RegisteredWorker,
        request: ReportRequest,
        answer_s: float,
    ) -> WorkerReport:
        """Renews the lease and returns the worker's running and ended runs."""
        response = await send_order(
            self._report_client,
            worker.address,
            "/hold",
            _report_body(worker.worker_id, request),
            _instance_header(worker),
            request.wait_ms / 1000 + answer_s,
        )
        return _decode_report(response)

    async def set_pace(
        self,
        worker: RegisteredWorker,
        task_id: TaskId,
        run: int,
        percent: int,
        token: FencingToken,
    ) -> None:
        """Sets the pace of a run, in percent of its full speed."""
        body = {
            "task": task_name(task_id),
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        await self._send_order(worker, "/pace", body)

    async def _send_order(
        self,
        worker: RegisteredWorker,
        path: str,
        body: dict[str, Any],
    ) -> None:
        await send_order(
            self._client,
            worker.address,
            path,
            body,
            _instance_header(worker),
            ORDER_TIMEOUT_S,
        )


def _instance_header(worker: RegisteredWorker) -> dict[str, str]:
    """Returns the header that names the worker an order is meant for."""
    return {"Expected-Instance": worker.worker_id}


def _report_body(worker_id: WorkerId, request: ReportRequest) -> AddressedBody:
    general: dict[str, int] = {"fencing_token": request.token, "last_seen": 0}
    addressed = {**general, "last_seen": request.acknowledged_end}
    if request.lease_ms is not None:
        addressed["deadline_ms"] = request.lease_ms
    if request.wait_ms:
        # A request without the lease is answered at once, so that the next one
        # renews it.
        addressed["wait_ms"] = request.wait_ms
    content = msgspec.json.encode(addressed)
    return AddressedBody(
        worker_id,
        request.connection_id,
        content,
        msgspec.json.encode(general).ljust(len(content)),
    )


class HttpAdvice(AdviceService):
    """HTTP client of the advice service."""

    def __init__(self, client: HttpClient, address: Callable[[], str]):
        self._client = client
        self._address = address

    async def advise(
        self, task_id: TaskId, worker_ids: Sequence[WorkerId]
    ) -> Advice:
        """Asks which workers may run the step of a task."""
        body = {"step": step_name(task_id), "workers": list(worker_ids)}
        response = await send_order(
            self._client, self._address(), "/advise", body, {}, ADVICE_TIMEOUT_S
        )
        try:
            advice = decode_json(response.body, _AdviceBody)
        except msgspec.DecodeError as error:
            raise OrderUnknown(str(error)) from error
        tickets = tuple(
            Ticket(WorkerId(name), ticket) for name, ticket in advice.good
        )
        return Advice(tickets, advice.valid_ms)


async def send_order(
    client: HttpClient,
    address: str,
    path: str,
    body: dict[str, Any] | AddressedBody,
    headers: dict[str, str],
    timeout_s: float,
    may_send: Callable[[], bool] | None = None,
) -> Response:
    """Sends an order by POST and returns the response.

    Raises:
        OrderNotSent: no connection was opened, or `may_send` returned False.
        OrderUnknown: no response came, or the response is not understood.
        OrderRefused: the receiver refused the order and did nothing.
    """
    addressed = isinstance(body, AddressedBody)
    content = body if addressed else msgspec.json.encode(body)
    try:
        response = await client.call(
            "POST",
            address,
            path,
            timeout_s,
            content,
            headers=headers,
            may_send=may_send,
        )
    except NotSent as error:
        raise OrderNotSent(str(error)) from error
    except NoResponse as error:
        raise OrderUnknown(str(error)) from error
    if response.status == 200:
        return response
    raise _to_error(response)


def _to_error(response: Response) -> OrderRefused | OrderUnknown:
    if response.status == 409:
        try:
            refusal = decode_json(response.body, _RefusalBody)
        except msgspec.DecodeError as error:
            return OrderUnknown(f"refusal cannot be decoded: {error}")
        reason = _REFUSAL_BY_REASON.get(refusal.reason)
    else:
        reason = _REFUSAL_BY_STATUS.get(response.status)
    if reason is None:
        return OrderUnknown(
            f"unexpected status {response.status}: {response.body[:200]!r}"
        )
    return OrderRefused(reason)


def _decode_report(response: Response) -> WorkerReport:
    try:
        report = decode_json(response.body, _ReportBody)
        return WorkerReport(
            report.clock_ms,
            report.born,
            tuple(_to_run_report(row) for row in report.running),
            tuple(_to_end_report(row) for row in report.ended),
            response.connection_id,
            response.addressed,
            complete=len(report.ended) < MAX_LISTED_ENDS,
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise OrderUnknown(f"report cannot be decoded: {error}") from error


def _to_run_report(row: _RunRow) -> RunReport:
    return RunReport(
        parse_task_name(row.task), row.run, row.saved, row.percent, row.figure
    )


def _to_end_report(row: _EndRow) -> EndReport:
    return EndReport(
        row.number,
        parse_task_name(row.task),
        row.run,
        RunEnd(row.how),
        row.saved,
    )
