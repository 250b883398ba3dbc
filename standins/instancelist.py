"""Stand-in for the platform's lagging list of instances."""

import asyncio
import time

import aiohttp
import click
import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from standins import serving

MAX_WAIT_SECONDS = 60.0
# For the run itself; faults do not apply to them.
_OWN_PATHS = ("/control", "/downtimes")
CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=2)


class Instance(msgspec.Struct, frozen=True):
    """An instance of the platform.

    Attributes:
        control: address of the stand-in that runs it, or "".
    """

    id: str
    kind: str
    data_centre_id: str
    address: str
    leaving: bool = False
    control: str = ""


class Line(msgspec.Struct, frozen=True):
    """An instance as it is listed; `state` is "live" or "leaving"."""

    id: str
    kind: str
    address: str
    state: str


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Changes and faults; fields that are absent stay as they are.

    Attributes:
        put: adds or replaces an instance.
        remove: removes the instance with this id.
        never_return: instances that a reboot loses.
    """

    put: Instance | None = None
    remove: str | None = None
    outage: bool | None = None
    lag_seconds: float | None = None
    never_return: frozenset[str] | None = None
    blocked_sources: frozenset[str] | None = None


class Reboot(msgspec.Struct, frozen=True):
    """Order to reboot an instance; a repeated token starts no second one."""

    instance_id: str
    token: str


class Downtime(msgspec.Struct):
    """One reboot; times are unix seconds, `ended` is 0 while it lasts."""

    instance_id: str
    started: float
    ended: float = 0.0


class Instances:
    """The instances, and what of them is listed after the lag.

    Args:
        lag_seconds: how long a change takes to be listed.
        reboot_seconds: how long a reboot takes.
    """

    def __init__(self, lag_seconds: float = 0.0, reboot_seconds: float = 5.0):
        self.lag_seconds = lag_seconds
        self.reboot_seconds = reboot_seconds
        self.outage = False
        self.never_return: frozenset[str] = frozenset()
        self.blocked_sources: frozenset[str] = frozenset()
        self.instance_by_id: dict[str, Instance] = {}
        self.rebooting: set[str] = set()
        self.downtimes: list[Downtime] = []
        self._ordered: set[Reboot] = set()
        self._done: set[Reboot] = set()
        self._listed_by_id: dict[str, Instance] = {}
        self._version_by_data_centre: dict[str, int] = {}
        # Versions of an earlier process must not be taken for those of this.
        self._first_version = int(time.time() * 1000)
        self._changed = asyncio.Event()

    def put(self, instance: Instance) -> None:
        """Adds or replaces an instance."""
        self.instance_by_id[instance.id] = instance
        self._list_later(instance.id, instance)

    def remove(self, instance_id: str) -> None:
        """Removes an instance, if it exists."""
        self.instance_by_id.pop(instance_id, None)
        self.rebooting.discard(instance_id)
        self._list_later(instance_id, None)

    def start_reboot(self, order: Reboot) -> bool:
        """Marks an instance as rebooting; False when this starts no reboot.

        An order that comes during another reboot is done with that one.
        """
        instance_id = order.instance_id
        if order in self._ordered:
            return False
        self._ordered.add(order)
        if instance_id in self.rebooting:
            return False
        self.rebooting.add(instance_id)
        self.downtimes.append(Downtime(instance_id, time.time()))
        self._list_later(instance_id, None)
        loop = asyncio.get_running_loop()
        loop.call_later(self.reboot_seconds, self._end_reboot, instance_id)
        return True

    def done(self, order: Reboot) -> bool:
        """Tells whether the reboot of an order is done."""
        return order in self._done

    def version(self, data_centre_id: str) -> int:
        """Returns the version of the list of a data centre."""
        return self._version_by_data_centre.get(
            data_centre_id, self._first_version
        )

    def lines(self, data_centre_id: str) -> list[Line]:
        """Returns the list of a data centre, by id."""
        listed = self._listed_by_id.values()
        return [
            Line(i.id, i.kind, i.address, "leaving" if i.leaving else "live")
            for i in sorted(listed, key=lambda each: each.id)
            if i.data_centre_id == data_centre_id
        ]

    async def wait(
        self, data_centre_id: str, since: int, seconds: float
    ) -> None:
        """Waits for a version other than `since`, or for an outage."""
        try:
            async with asyncio.timeout(seconds):
                while not self.outage and self.version(data_centre_id) == since:
                    await self._changed.wait()
        except TimeoutError:
            return

    def _end_reboot(self, instance_id: str) -> None:
        if instance_id not in self.rebooting:
            return
        if instance_id in self.never_return:
            return
        self.rebooting.discard(instance_id)
        for downtime in self.downtimes:
            if downtime.instance_id == instance_id and not downtime.ended:
                downtime.ended = time.time()
        self._done |= {
            each for each in self._ordered if each.instance_id == instance_id
        }
        self._list_later(instance_id, self.instance_by_id[instance_id])

    def _list_later(self, instance_id: str, instance: Instance | None) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_seconds, self._list, instance_id, instance)

    def _list(self, instance_id: str, instance: Instance | None) -> None:
        old = self._listed_by_id.pop(instance_id, None)
        if instance is not None:
            self._listed_by_id[instance_id] = instance
        for changed in (old, instance):
            if changed is not None:
                name = changed.data_centre_id
                self._version_by_data_centre[name] = self.version(name) + 1
        self.wake()

    def wake(self) -> None:
        """Wakes the long polls."""
        self._changed.set()
        self._changed = asyncio.Event()


INSTANCES = web.AppKey("instances", Instances)


def make_app(**options) -> web.Application:
    """Returns the application; options are those of `Instances`."""
    app = web.Application(middlewares=[_apply_faults])
    app[INSTANCES] = Instances(**options)
    app.router.add_get("/instances", _instances)
    app.router.add_post("/reboot", _reboot)
    app.router.add_get("/downtimes", _downtimes)
    app.router.add_post("/control", _control)
    return app


def _unavailable(request: web.Request) -> bool:
    instances = request.app[INSTANCES]
    return instances.outage or serving.source_blocked(
        request, instances.blocked_sources
    )


@web.middleware
async def _apply_faults(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    if request.path not in _OWN_PATHS and _unavailable(request):
        return serving.error(503, "unavailable")
    response = await handler(request)
    # An outage may have begun during a long poll.
    if request.path == "/instances" and _unavailable(request):
        return serving.error(503, "unavailable")
    return response


async def _instances(request: web.Request) -> web.Response:
    instances = request.app[INSTANCES]
    try:
        data_centre_id = request.query["data_centre"]
        since = int(request.query.get("since", 0))
        wait = float(request.query.get("wait", 0))
    except (KeyError, ValueError) as value_error:
        raise web.HTTPBadRequest(text=str(value_error)) from value_error
    seconds = min(max(wait, 0.0), MAX_WAIT_SECONDS)
    await instances.wait(data_centre_id, since, seconds)
    version = instances.version(data_centre_id)
    lines = None if version == since else instances.lines(data_centre_id)
    return serving.json_response({"version": version, "instances": lines})


async def _reboot(request: web.Request) -> web.Response:
    instances = request.app[INSTANCES]
    order = await serving.read_json(request, Reboot)
    instance = instances.instance_by_id.get(order.instance_id)
    if instance is None:
        return serving.error(404, "no_such_instance")
    if instances.start_reboot(order) and instance.control:
        await _reboot_stand_in(instance.control, instances.reboot_seconds)
    answer = {"rebooting": instance.id, "done": instances.done(order)}
    return serving.json_response(answer)


async def _downtimes(request: web.Request) -> web.Response:
    return serving.json_response(request.app[INSTANCES].downtimes)


async def _reboot_stand_in(address: str, seconds: float) -> None:
    message = {"reboot": True, "reboot_seconds": seconds}
    try:
        async with aiohttp.ClientSession(timeout=CONTROL_TIMEOUT) as session:
            await session.post(f"http://{address}/control", json=message)
    except (aiohttp.ClientError, TimeoutError):
        # A dead instance is rebooted without its help.
        return


async def _control(request: web.Request) -> web.Response:
    instances = request.app[INSTANCES]
    control = await serving.read_json(request, Control)
    if control.lag_seconds is not None:
        instances.lag_seconds = control.lag_seconds
    if control.outage is not None:
        instances.outage = control.outage
        instances.wake()
    if control.never_return is not None:
        instances.never_return = control.never_return
    if control.blocked_sources is not None:
        instances.blocked_sources = control.blocked_sources
    if control.put is not None:
        instances.put(control.put)
    if control.remove is not None:
        instances.remove(control.remove)
    return serving.json_response({"rebooting": sorted(instances.rebooting)})


@click.command()
@serving.listen_options
@click.option("--lag-seconds", default=0.0)
@click.option("--reboot-seconds", default=5.0)
def main(host: str, port: int, **options) -> None:
    """Runs the instance list until SIGTERM."""
    serving.run(make_app(**options), host, port)


if __name__ == "__main__":
    main()
