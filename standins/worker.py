"""Stand-in for a guarded worker, which runs tasks under a lease."""

import time

import click
import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from standins import serving


class LeaseRequest(msgspec.Struct):
    """Requests or renews a lease; the deadline is in unix seconds."""

    holder: str
    lease_number: int
    deadline: float


class TaskRequest(msgspec.Struct):
    """Starts a task; memory is in GB.

    Attributes:
        run_seconds: run time; None for the default of the worker.
        actual_memory_gb: memory that the task uses; None for the default of
            the worker.
    """

    task_id: str
    lease_number: int
    cores: float
    memory_gb: float
    accelerators: int = 0
    run_seconds: float | None = None
    actual_memory_gb: float | None = None


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Sets the default run time of tasks that start from now on."""

    run_seconds: float


class Throttle(msgspec.Struct):
    """Scales the speed and resource use of a task by a factor."""

    factor: float = 0.5


class Task(msgspec.Struct):
    """A started task.

    Attributes:
        state: "running", "done", "stopped" or "failed".
        progress: seconds of work done at full speed.
        checkpoint: progress at the last checkpoint.
    """

    request: TaskRequest
    started_at: float
    updated_at: float
    state: str = "running"
    ended_at: float | None = None
    progress: float = 0.0
    checkpoint: float = 0.0
    factor: float = 1.0

    def advance(self, now: float) -> None:
        """Updates progress and state to a time."""
        if self.state != "running":
            return
        needed = (self.request.run_seconds - self.progress) / self.factor
        if self.updated_at + needed <= now:
            self.progress = self.request.run_seconds
            self.ended_at = self.updated_at + needed
            self.state = "done"
            return
        self.progress += (now - self.updated_at) * self.factor
        self.updated_at = now

    def end(self, state: str, now: float) -> None:
        """Ends the task with a state, if it is running."""
        if self.state == "running":
            self.state = state
            self.ended_at = now

    def was_running_at(self, moment: float) -> bool:
        """Returns whether the task was running at a time."""
        ended_at = float("inf") if self.ended_at is None else self.ended_at
        return self.started_at <= moment < ended_at


class RequestRefused(Exception):  # noqa: N818
    """A request is refused; the message is a stable code."""


class Worker:
    """State of one worker.

    Args:
        usage_lag_seconds: age of the usage report.
        fail_everything: whether every task fails at its start.
        run_seconds: run time of tasks that do not set one.
        actual_memory_gb: memory that tasks use if they do not set it; None
            for the declared size.
    """

    def __init__(
        self,
        cores: float = 32,
        memory_gb: float = 64,
        accelerators: int = 0,
        usage_lag_seconds: float = 0.0,
        fail_everything: bool = False,
        run_seconds: float = 1.0,
        actual_memory_gb: float | None = None,
    ):
        self.cores = cores
        self.memory_gb = memory_gb
        self.accelerators = accelerators
        self.usage_lag_seconds = usage_lag_seconds
        self.fail_everything = fail_everything
        self.run_seconds = run_seconds
        self.actual_memory_gb = actual_memory_gb
        self.lease = LeaseRequest(holder="", lease_number=0, deadline=0.0)
        self.task_by_id: dict[str, Task] = {}

    def grant(self, request: LeaseRequest, now: float) -> None:
        """Grants or renews a lease.

        Raises:
            RequestRefused: the lease number is outdated or used by another
                holder, or another holder has the lease.
        """
        lease = self.lease
        if request.lease_number < lease.lease_number:
            raise RequestRefused("older_lease_number")
        if request.holder != lease.holder:
            if lease.deadline > now:
                raise RequestRefused("held_by_another")
            if request.lease_number == lease.lease_number:
                raise RequestRefused("lease_number_used")
        self.lease = request

    def start(self, request: TaskRequest, now: float) -> Task:
        """Starts a task; has no effect if the task id is known.

        Raises:
            RequestRefused: the lease is not in force or the task does not fit.
        """
        known = self.task_by_id.get(request.task_id)
        if known is not None:
            known.advance(now)
            return known
        if request.lease_number != self.lease.lease_number:
            raise RequestRefused("wrong_lease_number")
        if self.lease.deadline <= now:
            raise RequestRefused("lease_lapsed")
        if not self._fits(request, now):
            raise RequestRefused("does_not_fit")
        if request.run_seconds is None:
            request.run_seconds = self.run_seconds
        if request.actual_memory_gb is None:
            request.actual_memory_gb = self.actual_memory_gb
        task = Task(request, now, now)
        if self.fail_everything:
            task.end("failed", now)
        self.task_by_id[request.task_id] = task
        return task

    def task(self, task_id: str, now: float) -> Task:
        """Returns a task as of now.

        Raises:
            RequestRefused: there is no such task.
        """
        task = self.task_by_id.get(task_id)
        if task is None:
            raise RequestRefused("no_such_task")
        task.advance(now)
        return task

    def usage(self, now: float) -> dict:
        """Returns tasks and resource use as of `usage_lag_seconds` ago."""
        moment = now - self.usage_lag_seconds
        for task in self.task_by_id.values():
            task.advance(now)
        known = {
            task_id: task
            for task_id, task in self.task_by_id.items()
            if task.started_at <= moment
        }
        return {
            "at": moment,
            "cores": self.cores,
            "memory_gb": self.memory_gb,
            "accelerators": self.accelerators,
            "tasks": [_usage_line(known[i], moment) for i in sorted(known)],
        }

    def _fits(self, request: TaskRequest, now: float) -> bool:
        running = [request]
        for task in self.task_by_id.values():
            task.advance(now)
            if task.state == "running":
                running.append(task.request)
        return (
            sum(each.cores for each in running) <= self.cores
            and sum(each.memory_gb for each in running) <= self.memory_gb
            and sum(each.accelerators for each in running) <= self.accelerators
        )


def _usage_line(task: Task, moment: float) -> dict:
    """Returns one line of the usage report."""
    request = task.request
    running = task.was_running_at(moment)
    factor = task.factor if running else 0.0
    memory_gb = request.actual_memory_gb
    if memory_gb is None:
        memory_gb = request.memory_gb
    return {
        "task_id": request.task_id,
        "state": "running" if running else task.state,
        "cores": request.cores * factor,
        "memory_gb": memory_gb * factor,
        "accelerators": request.accelerators if running else 0,
    }


WORKER = web.AppKey("worker", Worker)


def make_app(**options) -> web.Application:
    """Returns the application; options are those of `Worker`."""
    app = web.Application(middlewares=[_answer_refusals])
    app[WORKER] = Worker(**options)
    app.router.add_post("/leases", _lease)
    app.router.add_post("/tasks", _start)
    app.router.add_post("/tasks/{id}/checkpoint", _checkpoint)
    app.router.add_post("/tasks/{id}/throttle", _throttle)
    app.router.add_post("/tasks/{id}/stop", _stop)
    app.router.add_post("/control", _control)
    app.router.add_get("/tasks", _tasks)
    app.router.add_get("/usage", _usage)
    app.router.add_get("/health", _health)
    return app


@web.middleware
async def _answer_refusals(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except RequestRefused as refused:
        code = str(refused)
        return serving.error_response(
            404 if code == "no_such_task" else 409, code
        )


async def _lease(request: web.Request) -> web.Response:
    worker = request.app[WORKER]
    lease_request = await serving.read_json(request, LeaseRequest)
    worker.grant(lease_request, time.time())
    return serving.json_response(worker.lease)


async def _start(request: web.Request) -> web.Response:
    task_request = await serving.read_json(request, TaskRequest)
    return _task_response(request.app[WORKER].start(task_request, time.time()))


async def _checkpoint(request: web.Request) -> web.Response:
    task = _find_task(request)
    if task.state == "running":
        task.checkpoint = task.progress
    return _task_response(task)


async def _throttle(request: web.Request) -> web.Response:
    throttle = await serving.read_json(request, Throttle)
    if not 0 < throttle.factor <= 1:
        raise web.HTTPBadRequest(text="factor must be above 0, at most 1")
    task = _find_task(request)
    task.factor = throttle.factor
    return _task_response(task)


async def _stop(request: web.Request) -> web.Response:
    task = _find_task(request)
    task.end("stopped", time.time())
    return _task_response(task)


async def _control(request: web.Request) -> web.Response:
    control = await serving.read_json(request, Control)
    request.app[WORKER].run_seconds = control.run_seconds
    return serving.json_response(control)


async def _tasks(request: web.Request) -> web.Response:
    """Returns every task that this worker has started."""
    worker = request.app[WORKER]
    now = time.time()
    for task in worker.task_by_id.values():
        task.advance(now)
    return serving.json_response(list(worker.task_by_id.values()))


async def _usage(request: web.Request) -> web.Response:
    return serving.json_response(request.app[WORKER].usage(time.time()))


async def _health(request: web.Request) -> web.Response:
    del request
    return serving.json_response({"ok": True})


def _find_task(request: web.Request) -> Task:
    return request.app[WORKER].task(request.match_info["id"], time.time())


def _task_response(task: Task) -> web.Response:
    return serving.json_response(
        {
            "task_id": task.request.task_id,
            "state": task.state,
            "progress": task.progress,
            "checkpoint": task.checkpoint,
            "factor": task.factor,
        }
    )


@click.command()
@serving.listen_options
@click.option("--cores", default=32.0)
@click.option("--memory-gb", default=64.0)
@click.option("--accelerators", default=0)
@click.option("--usage-lag-seconds", default=0.0)
@click.option("--fail-everything", is_flag=True)
@click.option("--run-seconds", default=1.0)
@click.option("--actual-memory-gb", type=float, default=None)
def main(host: str, port: int, **options) -> None:
    """Runs a guarded worker until SIGTERM."""
    serving.run(make_app(**options), host, port)


if __name__ == "__main__":
    main()
