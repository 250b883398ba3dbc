"""Creates and connects the components of one entry."""

import contextlib
import random
import uuid
from collections.abc import AsyncIterator

from aiohttp import web

from sardinedrift import messages as msg
from sardinedrift import peerapi, timeline
from sardinedrift.admin import Admin
from sardinedrift.callers import CallerServer
from sardinedrift.claims import Claims
from sardinedrift.dispatch import Dispatcher
from sardinedrift.drains import DrainAcks
from sardinedrift.endpoints import UsablePools
from sardinedrift.follower import Follower
from sardinedrift.identifiers import DataCentreId, EntryId, Identity, PoolId
from sardinedrift.instancelist import HttpInstanceList, InstanceView
from sardinedrift.jobs import JobDriver
from sardinedrift.limits import Limits
from sardinedrift.links import Timing
from sardinedrift.liveness import AdvertisedStatus
from sardinedrift.logservice import HttpLogService
from sardinedrift.members import Members
from sardinedrift.metrics import Metrics
from sardinedrift.minions import HttpMinions
from sardinedrift.observations import InstanceObserver
from sardinedrift.peers import Peers
from sardinedrift.publisher import Publisher
from sardinedrift.recorder import Recorder
from sardinedrift.runtime import SystemClock
from sardinedrift.scheduler import Scheduler
from sardinedrift.settings import Settings
from sardinedrift.slots import Slots
from sardinedrift.snapshotter import Snapshotter
from sardinedrift.spares import OwnSpareUnits
from sardinedrift.usage import UseTable
from sardinedrift.watcher import StateWatcher
from sardinedrift.waves import WaveDriver
from sardinedrift.workers import HttpWorkers


def new_entry_id(data_centre_id: DataCentreId) -> EntryId:
    """Returns a new unique id for an entry process."""
    return EntryId(f"{data_centre_id}-{uuid.uuid4().hex[:12]}")


class Schedulers(dict[PoolId, Scheduler]):
    """Schedulers by pool, created on first use.

    Every entry can have one for each pool. Only that of the responsible entry
    receives requests; the others cost very little.
    """

    def __init__(self, identity: Identity, follower, view, clock):
        super().__init__()
        self._identity = identity
        self._follower = follower
        self._view = view
        self._clock = clock

    def __missing__(self, pool_id: PoolId) -> Scheduler:
        scheduler = Scheduler(
            pool_id,
            self._identity.data_centre_id,
            lambda: self._follower.state,
            self._view,
            self._clock,
            random.Random(),
        )
        self[pool_id] = scheduler
        return scheduler

    def refresh(self) -> None:
        """Applies changes of the state and of the instance view."""
        for scheduler in self.values():
            scheduler.refresh()

    def drop_entry(self, entry_id: EntryId) -> None:
        """Drops the requests and grants of an entry that is not live."""
        for scheduler in self.values():
            scheduler.drop_entry(entry_id)


class EntryComponents:
    """All components of one entry.

    Attributes:
        stopping: whether the entry is stopping; peers then send it no new
            requests.
    """

    def __init__(self, settings: Settings, identity: Identity):
        self.settings = settings
        self.identity = identity
        self.stopping = False
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.events = timeline.Timeline(identity, self.clock)
        self.recorder = Recorder(
            self.metrics, self.events, lambda: self.follower.state.offset
        )
        self._make_platform_clients()
        self._make_replication()
        self._make_request_path()
        self._make_drivers()
        self._make_applications()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Closes the connections to external systems on exit."""
        try:
            yield
        finally:
            await self.workers.aclose()
            await self.minions.aclose()
            await self.instance_list.aclose()
            await self.log.aclose()

    def not_ready_reason(self) -> str:
        """Returns why the entry is not ready for requests, or ""."""
        if self.stopping:
            return "the entry is stopping"
        if not self.follower.ready:
            return self.follower.not_ready_reason
        return ""

    def make_exchange(self, receiver: EntryId | None) -> msg.Exchange:
        """Returns the exchange message of this entry to a peer."""
        is_local = receiver is not None and receiver in self.peers.live(
            self.identity.data_centre_id
        )
        return msg.Exchange(
            entry_id=self.identity.entry_id,
            data_centre_id=self.identity.data_centre_id,
            address=self.identity.address,
            member=self.members.active,
            ready=self.follower.ready,
            stopping=self.stopping,
            offset=self.follower.state.offset,
            current_at=self.follower.current_at,
            held=self._held_grants_for(receiver) if is_local else {},
            spare_by_team=self.spare_units.units(),
            contended_use=self._use_for(receiver, is_local),
            endpoints=self.usable_pools.ids(),
        )

    def process_exchange(self, exchange: msg.Exchange) -> None:
        """Passes the held slots and the use of a peer to the schedulers."""
        if exchange.data_centre_id == self.identity.data_centre_id:
            for pool_id, grants in exchange.held.items():
                scheduler = self.schedulers[pool_id]
                scheduler.report_held(exchange.entry_id, grants)
            self.use_table.merge(exchange.contended_use)
            return
        for scheduler_id, use_by_pool in exchange.contended_use.items():
            for pool_id, use in use_by_pool.items():
                self.schedulers[pool_id].add_remote_use(scheduler_id, use)

    def _make_platform_clients(self) -> None:
        settings = self.settings
        self.log = HttpLogService(
            str(settings.log_service), self.identity, self.clock
        )
        self.instance_list = HttpInstanceList(
            str(settings.instance_list), self.identity, self.clock
        )
        self.view = InstanceView(
            self.instance_list, self.identity.data_centre_id, self.clock
        )
        self.minions = HttpMinions(self.clock)
        self.workers = HttpWorkers(self.clock)

    def _make_replication(self) -> None:
        timings = self.settings.timings
        self.follower = Follower(self.log, self.clock)
        self.usable_pools = UsablePools(
            self.identity.data_centre_id, self.follower, self.view
        )
        self.publisher = Publisher(self.log, self.follower, self.clock)
        self.peers = Peers(
            self.identity,
            self.follower,
            self.clock,
            [str(seed) for seed in self.settings.seeds],
            self.make_exchange,
            status=self._advertised_status,
            discover=self._listed_entry_addresses,
            local_timing=Timing(
                timings.heartbeat_seconds, timings.peer_dead_seconds
            ),
            remote_timing=Timing(
                timings.remote_heartbeat_seconds, timings.remote_dead_seconds
            ),
        )
        self.follower.set_peer_source(self.peers)
        self.peers.observers.append(self.process_exchange)
        self.members = Members(
            self.identity,
            self.follower,
            self.publisher,
            self.peers,
            self.view,
            self.clock,
        )
        self.snapshotter = Snapshotter(
            self.identity,
            self.follower,
            self.publisher,
            self.peers,
            self.clock,
            timings.snapshot_interval_seconds,
        )

    def _make_request_path(self) -> None:
        identity, follower, clock = self.identity, self.follower, self.clock
        self.schedulers = Schedulers(identity, follower, self.view, clock)
        self.use_table = UseTable(identity.entry_id, self._contended_use, clock)
        self.slots = Slots(identity, self.peers, self.schedulers, clock)
        self.claims = Claims(identity, follower, clock)
        self.limits = Limits(
            identity, follower, self.publisher, self.peers, clock
        )
        self.spare_units = OwnSpareUnits(
            self.limits.spare_units,
            lambda: len(self.follower.state.tables.team_by_id),
            clock,
        )
        self.dispatcher = Dispatcher(
            identity,
            follower,
            self.peers,
            self.slots,
            self.limits,
            self.claims,
            self.minions,
            self.view,
            clock,
            observer=self.recorder,
        )

    def _make_drivers(self) -> None:
        """Creates the components that act on the state without a request."""
        identity, follower, clock = self.identity, self.follower, self.clock
        self.drain_acks = DrainAcks(
            identity, follower, self.publisher, self.slots, clock
        )
        self.watcher = StateWatcher(
            follower, self.events, self.not_ready_reason
        )
        self.observer = InstanceObserver(
            identity, follower, self.publisher, self.peers, self.view, clock
        )
        self.waves = WaveDriver(
            identity,
            follower,
            self.publisher,
            self.peers,
            self.view,
            self.instance_list,
            self.minions,
            clock,
        )
        self.jobs = JobDriver(
            identity,
            follower,
            self.publisher,
            self.peers,
            self.workers,
            clock,
        )

    def _make_applications(self) -> None:
        self.callers = CallerServer(
            self.identity,
            self.follower,
            self.dispatcher,
            self.clock,
            self.recorder,
        )
        self.admin = Admin(
            self.identity,
            self.follower,
            self.publisher,
            self.peers,
            self.clock,
            self.events,
            self.metrics,
            self.not_ready_reason,
        )

    def peer_application(self) -> web.Application:
        """Returns the application for other entries."""
        dependencies = peerapi.RouteDependencies(self.peers, self.follower)
        application = web.Application(client_max_size=64 << 20)
        application.add_routes(peerapi.routes(dependencies))
        application.add_routes(self._component_routes())
        application.add_routes(self.callers.peer_routes())
        return application

    def _component_routes(self) -> list[web.RouteDef]:
        route = peerapi.typed_route
        return [
            route("/peer/slots", msg.SlotRequest, self._handle_slot_request),
            route("/peer/release", msg.SlotRelease, self._handle_slot_release),
            route("/peer/claims", msg.ClaimRequest, self._handle_claim),
            route("/peer/claims/end", msg.ClaimEnd, self._handle_claim_end),
            route(
                "/peer/allowances",
                msg.AllowanceRequest,
                self._handle_allowance_request,
            ),
            route(timeline.PEER_PATH, timeline.Filter, self._handle_timeline),
        ]

    async def _handle_slot_request(
        self, request: msg.SlotRequest
    ) -> msg.SlotReply:
        if self.peers.scheduler(request.pool_id) != self.identity.entry_id:
            return msg.SlotReply(code="not_scheduler")
        return await self.schedulers[request.pool_id].acquire(request)

    async def _handle_slot_release(
        self, release: msg.SlotRelease
    ) -> msg.Acknowledged:
        self.schedulers[release.pool_id].release(release)
        return msg.Acknowledged()

    async def _handle_claim(self, request: msg.ClaimRequest) -> msg.ClaimReply:
        return self.claims.claim(
            request.request_id, request.holder, request.attempt
        )

    async def _handle_claim_end(self, end: msg.ClaimEnd) -> msg.Acknowledged:
        self.claims.end(end.request_id, end.holder, end.outcome)
        return msg.Acknowledged()

    async def _handle_allowance_request(
        self, request: msg.AllowanceRequest
    ) -> msg.Acknowledged:
        await self.limits.give(request)
        return msg.Acknowledged()

    async def _handle_timeline(
        self, selection: timeline.Filter
    ) -> timeline.TimelineReply:
        return self.events.answer(selection)

    def _advertised_status(self) -> AdvertisedStatus:
        return AdvertisedStatus(self.members.active, self.stopping)

    def _listed_entry_addresses(self) -> list[str]:
        return [entry.address for entry in self.view.entries()]

    def _held_grants_for(self, receiver: EntryId | None):
        return {
            pool_id: grants
            for pool_id, grants in self.slots.held_grants_by_pool().items()
            if self.peers.scheduler(pool_id) == receiver
        }

    def _use_for(self, receiver: EntryId | None, is_local: bool):
        if receiver is None:
            return {}
        return self.use_table.outgoing(receiver, is_local)

    def _contended_use(self):
        use_by_pool = {
            pool_id: scheduler.contended_use()
            for pool_id, scheduler in self.schedulers.items()
        }
        return {pool_id: use for pool_id, use in use_by_pool.items() if use}
