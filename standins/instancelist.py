"""Stand-in for the platform's instance list, which lags behind changes."""

import asyncio
import time

import aiohttp
import click
import msgspec
from aiohttp import web
from aiohttp.typedefs import Handler

from standins import serving

MAX_WAIT_SECONDS = 60.0
# Paths for the test run; faults do not apply to them.
_CONTROL_PATHS = ("/control", "/downtimes")
CONTROL_TIMEOUT = aiohttp.ClientTimeout(total=2)


class Instance(msgspec.Struct, frozen=True):
    """An instance of the platform.

    Attributes:
        control: address of the control endpoint of its stand-in, or "".
    """

    id: str
    kind: str
    data_centre_id: str
    address: str
    leaving: bool = False
    control: str = ""


class ListedInstance(msgspec.Struct, frozen=True):
    """An instance in the list; `state` is "live" or "leaving"."""

    id: str
    kind: str
    address: str
    state: str


class Control(msgspec.Struct, forbid_unknown_fields=True):
    """Changes and faults to apply; absent fields change nothing.

    Attributes:
        put: adds or replaces an instance.
        remove: removes the instance with this id.
        never_return: ids of instances that do not return from a reboot.
    """

    put: Instance | None = None
    remove: str | None = None
    outage: bool | None = None
    lag_seconds: float | None = None
    never_return: frozenset[str] | None = None
    blocked_sources: frozenset[str] | None = None


class RebootOrder(msgspec.Struct, frozen=True):
    """Order to reboot an instance; a repeated token starts no second reboot."""

    instance_id: str
    token: str


class Downtime(msgspec.Struct):
    """One reboot; times are unix seconds, `ended` is 0 while it lasts."""

    instance_id: str
    started: float
    ended: float = 0.0


class Instances:
    """The instances, and the list of them that lags behind.

    Args:
        lag_seconds: time until a change shows in the list.
        reboot_seconds: duration of a reboot.
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
        self._ordered: set[RebootOrder] = set()
        self._done: set[RebootOrder] = set()
        self._listed_by_id: dict[str, Instance] = {}
        self._version_by_data_centre: dict[str, int] = {}
        # Differs between processes, so that clients do not take a version of
        # an earlier process for the current one.
        self._first_version = int(time.time() * 1000)
        self._changed = asyncio.Event()

    def put(self, instance: Instance) -> None:
        """Adds or replaces an instance."""
        self.instance_by_id[instance.id] = instance
        self._schedule_listing(instance.id, instance)

    def remove(self, instance_id: str) -> None:
        """Removes an instance, if it exists."""
        self.instance_by_id.pop(instance_id, None)
        self.rebooting.discard(instance_id)
        self._schedule_listing(instance_id, None)

    def start_reboot(self, order: RebootOrder) -> bool:
        """Starts the reboot of an instance.

        An order that arrives during another reboot of the instance is done
        when that reboot ends.

        Returns:
            False if the order is repeated or arrived during another reboot.
        """
        instance_id = order.instance_id
        if order in self._ordered:
            return False
        self._ordered.add(order)
        if instance_id in self.rebooting:
            return False
        self.rebooting.add(instance_id)
        self.downtimes.append(Downtime(instance_id, time.time()))
        self._schedule_listing(instance_id, None)
        loop = asyncio.get_running_loop()
        loop.call_later(self.reboot_seconds, self._end_reboot, instance_id)
        return True

    def is_done(self, order: RebootOrder) -> bool:
        """Returns whether the reboot of an order is done."""
        return order in self._done

    def version(self, data_centre_id: str) -> int:
        """Returns the version of the list of a data centre."""
        return self._version_by_data_centre.get(
            data_centre_id, self._first_version
        )

    def listed(self, data_centre_id: str) -> list[ListedInstance]:
        """Returns the list of a data centre, sorted by id."""
        listed = self._listed_by_id.values()
        return [
            ListedInstance(
                i.id, i.kind, i.address, "leaving" if i.leaving else "live"
            )
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
        self._schedule_listing(instance_id, self.instance_by_id[instance_id])

    def _schedule_listing(
        self, instance_id: str, instance: Instance | None
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.lag_seconds, self._update_listing, instance_id, instance
        )

    def _update_listing(
        self, instance_id: str, instance: Instance | None
    ) -> None:
        old = self._listed_by_id.pop(instance_id, None)
        if instance is not None:
            self._listed_by_id[instance_id] = instance
        for changed in (old, instance):
            if changed is not None:
                name = changed.data_centre_id
                self._version_by_data_centre[name] = self.version(name) + 1
        self.notify_waiters()

    def notify_waiters(self) -> None:
        """Wakes all waiting long polls."""
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
    if request.path not in _CONTROL_PATHS and _unavailable(request):
        return serving.error_response(503, "unavailable")
    response = await handler(request)
    # An outage may have begun during a long poll.
    if request.path == "/instances" and _unavailable(request):
        return serving.error_response(503, "unavailable")
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
    listed = None if version == since else instances.listed(data_centre_id)
    return serving.json_response({"version": version, "instances": listed})


async def _reboot(request: web.Request) -> web.Response:
    instances = request.app[INSTANCES]
    order = await serving.read_json(request, RebootOrder)
    instance = instances.instance_by_id.get(order.instance_id)
    if instance is None:
        return serving.error_response(404, "no_such_instance")
    if instances.start_reboot(order) and instance.control:
        await _reboot_stand_in(instance.control, instances.reboot_seconds)
    answer = {"rebooting": instance.id, "done": instances.is_done(order)}
    return serving.json_response(answer)


async def _downtimes(request: web.Request) -> web.Response:
    return serving.json_response(request.app[INSTANCES].downtimes)


async def _reboot_stand_in(address: str, seconds: float) -> None:
    message = {"reboot": True, "reboot_seconds": seconds}
    try:
        async with aiohttp.ClientSession(timeout=CONTROL_TIMEOUT) as session:
            await session.post(f"http://{address}/control", json=message)
    except (aiohttp.ClientError, TimeoutError):
        # The instance counts as rebooting even if its stand-in is dead.
        return


async def _control(request: web.Request) -> web.Response:
    instances = request.app[INSTANCES]
    control = await serving.read_json(request, Control)
    if control.lag_seconds is not None:
        instances.lag_seconds = control.lag_seconds
    if control.outage is not None:
        instances.outage = control.outage
        instances.notify_waiters()
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
