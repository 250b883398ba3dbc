"""The parts of one entry, connected."""

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
    """Returns an id that no earlier process had."""
    return EntryId(f"{data_centre_id}-{uuid.uuid4().hex[:12]}")


class Schedulers(dict[PoolId, Scheduler]):
    """The schedulers of all pools, made on first use.

    Every entry has one for each pool; only that of the responsible entry is
    asked, and the others cost next to nothing.
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
        """Takes up changes of the state and of the instance view."""
        for scheduler in self.values():
            scheduler.refresh()

    def forget_entry(self, entry_id: EntryId) -> None:
        """Drops what an entry that is not live any more asked for."""
        for scheduler in self.values():
            scheduler.forget_entry(entry_id)


class EntryComponents:
    """All parts of one entry.

    Attributes:
        stopping: the entry leaves; peers give it no new work.
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
        self._make_platform()
        self._make_agreement()
        self._make_decisions()
        self._make_drivers()
        self._make_applications()

    @contextlib.asynccontextmanager
    async def open(self) -> AsyncIterator[None]:
        """Closes the connections to outside systems at the end."""
        try:
            yield
        finally:
            await self.workers.aclose()
            await self.minions.aclose()
            await self.instance_list.aclose()
            await self.log.aclose()

    def not_ready_reason(self) -> str:
        """Returns why the balancer should send nothing here, or ""."""
        if self.stopping:
            return "the entry is stopping"
        if not self.follower.ready:
            return self.follower.not_ready_reason
        return ""

    def exchange(self, receiver: EntryId | None) -> msg.Exchange:
        """Returns what this entry tells a peer."""
        near = receiver is not None and receiver in self.peers.live(
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
            held=self._held_for(receiver) if near else {},
            spare_by_team=self.spare.units(),
            contended_use=self._use_for(receiver, near),
            endpoints=self.usable_pools.ids(),
        )

    def process_exchange(self, exchange: msg.Exchange) -> None:
        """Passes what a peer told to the schedulers."""
        if exchange.data_centre_id == self.identity.data_centre_id:
            for pool_id, grants in exchange.held.items():
                scheduler = self.schedulers[pool_id]
                scheduler.report_held(exchange.entry_id, grants)
            self.use.merge(exchange.contended_use)
            return
        for scheduler_id, use_by_pool in exchange.contended_use.items():
            for pool_id, use in use_by_pool.items():
                self.schedulers[pool_id].add_remote_use(scheduler_id, use)

    def _make_platform(self) -> None:
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

    def _make_agreement(self) -> None:
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
            self.exchange,
            status=self._standing,
            discover=self._listed_entries,
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

    def _make_decisions(self) -> None:
        identity, follower, clock = self.identity, self.follower, self.clock
        self.schedulers = Schedulers(identity, follower, self.view, clock)
        self.use = UseTable(identity.entry_id, self._contended_use, clock)
        self.slots = Slots(identity, self.peers, self.schedulers, clock)
        self.claims = Claims(identity, follower, clock)
        self.limits = Limits(
            identity, follower, self.publisher, self.peers, clock
        )
        self.spare = OwnSpareUnits(
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
        """Makes what acts on the state by itself, not for a request."""
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
        handlers = peerapi.RouteDependencies(self.peers, self.follower)
        application = web.Application(client_max_size=64 << 20)
        application.add_routes(peerapi.routes(handlers))
        application.add_routes(self._decision_routes())
        application.add_routes(self.callers.peer_routes())
        return application

    def _decision_routes(self) -> list[web.RouteDef]:
        route = peerapi.typed_route
        return [
            route("/peer/slots", msg.SlotRequest, self._answer_slot_ask),
            route("/peer/release", msg.SlotRelease, self._answer_release),
            route("/peer/claims", msg.ClaimRequest, self._answer_claim),
            route("/peer/claims/end", msg.ClaimEnd, self._answer_claim_end),
            route("/peer/allowances", msg.AllowanceRequest, self._answer_give),
            route(timeline.PEER_PATH, timeline.Filter, self._answer_timeline),
        ]

    async def _answer_slot_ask(self, ask: msg.SlotRequest) -> msg.SlotReply:
        if self.peers.scheduler(ask.pool_id) != self.identity.entry_id:
            return msg.SlotReply(code="not_scheduler")
        return await self.schedulers[ask.pool_id].acquire(ask)

    async def _answer_release(
        self, release: msg.SlotRelease
    ) -> msg.Acknowledged:
        self.schedulers[release.pool_id].release(release)
        return msg.Acknowledged()

    async def _answer_claim(self, ask: msg.ClaimRequest) -> msg.ClaimReply:
        return self.claims.claim(ask.request_id, ask.holder, ask.attempt)

    async def _answer_claim_end(self, end: msg.ClaimEnd) -> msg.Acknowledged:
        self.claims.end(end.request_id, end.holder, end.outcome)
        return msg.Acknowledged()

    async def _answer_give(self, ask: msg.AllowanceRequest) -> msg.Acknowledged:
        await self.limits.give(ask)
        return msg.Acknowledged()

    async def _answer_timeline(
        self, wanted: timeline.Filter
    ) -> timeline.TimelineReply:
        return self.events.answer(wanted)

    def _standing(self) -> AdvertisedStatus:
        return AdvertisedStatus(self.members.active, self.stopping)

    def _listed_entries(self) -> list[str]:
        return [each.address for each in self.view.entries()]

    def _held_for(self, receiver: EntryId | None):
        return {
            pool_id: grants
            for pool_id, grants in self.slots.held_grants_by_pool().items()
            if self.peers.scheduler(pool_id) == receiver
        }

    def _use_for(self, receiver: EntryId | None, near: bool):
        if receiver is None:
            return {}
        return self.use.outgoing(receiver, near)

    def _contended_use(self):
        use_by_pool = {
            pool_id: scheduler.contended_use()
            for pool_id, scheduler in self.schedulers.items()
        }
        return {pool_id: use for pool_id, use in use_by_pool.items() if use}
