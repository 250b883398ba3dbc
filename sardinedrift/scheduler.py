"""Grants the slots of one pool in one data centre."""

import asyncio
import random as random_module
from collections.abc import Callable, Sequence

from sardinedrift import health
from sardinedrift.endpoints import LeavingView, is_usable
from sardinedrift.grants import Grants
from sardinedrift.identifiers import (
    DataCentreId,
    EntryId,
    GrantId,
    InstanceId,
    PoolId,
    TeamId,
    WorkClass,
)
from sardinedrift.messages import HeldGrant, SlotRelease, SlotReply, SlotRequest
from sardinedrift.objects import Instance
from sardinedrift.ports import Clock
from sardinedrift.shares import ShareLedger
from sardinedrift.state import State
from sardinedrift.waiting import RequestQueues, WaitingRequest

# About twelve seconds of work of a pool of 64 slots at 0.1 s per request.
MAX_WAITING_PER_TEAM = 8192
# Interval of the check for abandoned and overdue slot requests.
_REFRESH_INTERVAL_SECONDS = 0.25


class Scheduler:
    """Slots of one pool in one data centre, shared fairly by the teams.

    Args:
        pool_id: the pool.
        data_centre_id: the data centre.
        state: the folded state, or a callable that returns it.
        view: the instance list; shows which instances are leaving.
        clock: source of the time.
        random: source of choices and jitter.
        max_waiting: maximum number of waiting slot requests per team.
    """

    def __init__(
        self,
        pool_id: PoolId,
        data_centre_id: DataCentreId,
        state: State | Callable[[], State],
        view: LeavingView,
        clock: Clock,
        random: random_module.Random | None = None,
        max_waiting: int = MAX_WAITING_PER_TEAM,
    ):
        self._pool_id = pool_id
        self._data_centre_id = data_centre_id
        self._get_state = state if callable(state) else lambda: state
        self._view = view
        self._clock = clock
        self._random = random or random_module.Random()
        self._health = health.MinionHealth(self._random)
        self._queues = RequestQueues(max_waiting)
        self._grants = Grants()
        self._ledger = ShareLedger(self._share_of)
        self._started_by_grant: dict[GrantId, float] = {}
        self._known_use_by_scheduler: dict[EntryId, dict[TeamId, float]] = {}
        self._instances: Sequence[Instance] = ()
        self._weight_by_team: dict[TeamId, float] = {}
        self._versions: tuple = ()
        self._timer: asyncio.TimerHandle | None = None
        self._stopped = False

    async def acquire(self, request: SlotRequest) -> SlotReply:
        """Waits for a slot until the deadline of the request.

        A request repeated with the same id keeps its place in the queue; once
        it is granted, the reply has the same grant.
        """
        waiting = self._enqueue(request)
        if isinstance(waiting, SlotReply):
            return waiting
        try:
            return await asyncio.shield(waiting.reply)
        finally:
            self._remove_listener(waiting)

    def try_acquire(self, request: SlotRequest) -> SlotReply | None:
        """Returns the reply if it is available at once, or None.

        With None the request is queued and keeps its place for `acquire`.
        """
        waiting = self._enqueue(request)
        if isinstance(waiting, SlotReply):
            return waiting
        self._remove_listener(waiting)
        return waiting.reply.result() if waiting.reply.done() else None

    def release(self, release: SlotRelease) -> None:
        """Frees a slot or withdraws a request; updates the minion's health."""
        now = self._clock.now()
        self._end_request(release.grant_id, "deadline")
        self._grants.mark_ended(release.grant_id)
        grant = self._free(release.grant_id, release.unused)
        if grant and not release.unused:
            self._update_health(release, grant, now)
        self._grant_free_slots()

    def report_held(self, entry_id: EntryId, grants: list[HeldGrant]) -> None:
        """Applies an entry's report of the slots it holds in this pool.

        Unknown slots are counted as in use, so that a new scheduler does not
        grant them again. Grants missing from two consecutive reports are freed;
        one that is listed later, because its reply was slow, is counted again.
        """
        now = self._clock.now()
        for grant in grants:
            known = self._grants.get(grant.grant_id)
            if known or self._grants.ended_recently(grant.grant_id):
                continue
            if grant.pool_id == self._pool_id:
                address = self._address_of(grant.instance_id)
                self._grants.add(entry_id, grant, address)
                self._ledger.start(grant.team_id, now)
        listed = [grant.grant_id for grant in grants]
        for grant_id in self._grants.record_report(entry_id, listed):
            self._free(grant_id)
        self._grant_free_slots()

    def drop_entry(self, entry_id: EntryId) -> None:
        """Drops the slot requests and grants of an entry that has ended.

        Granted requests may still run; a minion that is full refuses further
        ones before it starts them.
        """
        for request in self._queues.requests_of_entry(entry_id):
            self._end_request(request.ask_id, "deadline")
        for grant_id in self._grants.ids_of_entry(entry_id):
            self._free(grant_id)
        self._grant_free_slots()

    def contended_use(self) -> dict[TeamId, float]:
        """Returns cumulative slot-seconds per team while requests waited."""
        return self._ledger.contended_use(self._clock.now())

    def add_remote_use(
        self, scheduler_id: EntryId, use: dict[TeamId, float]
    ) -> None:
        """Charges the use counted by a scheduler of another data centre.

        The same counters may arrive over several paths and out of order.

        Args:
            scheduler_id: the entry that counts.
            use: cumulative slot-seconds of teams.
        """
        known = self._known_use_by_scheduler.setdefault(scheduler_id, {})
        for team_id, total in use.items():
            previous = known.get(team_id)
            if previous is not None and total > previous:
                self._ledger.add_use(team_id, total - previous)
            if previous is None or total > previous:
                known[team_id] = total

    def has_endpoint(self) -> bool:
        """Returns whether the pool has a usable minion in this data centre."""
        return bool(self._usable_instances())

    def refresh(self) -> None:
        """Applies changes of the state, the instance view and the time."""
        self._sweep()
        self._grant_free_slots()

    def stop(self) -> None:
        """Ends all requests with "not_scheduler"; another entry schedules."""
        self._stopped = True
        for request in self._queues.requests():
            self._end_request(request.ask_id, "not_scheduler")

    def _enqueue(self, request: SlotRequest) -> SlotReply | WaitingRequest:
        """Queues a request, or returns its reply if that is known at once."""
        if self._stopped:
            return SlotReply(code="not_scheduler")
        granted = self._grants.get(request.ask_id)
        if granted:
            return SlotReply(
                grant=granted, address=self._grants.address_of(request.ask_id)
            )
        if (
            self._grants.ended_recently(request.ask_id)
            or request.deadline <= self._clock.now()
        ):
            return SlotReply(code="deadline")
        waiting = self._queues.get(request.ask_id) or self._queues.add(request)
        if waiting is None:
            return SlotReply(code="queue_full")
        self._ledger.start_waiting(request.team_id, self._clock.now())
        waiting.listeners += 1
        self._grant_free_slots()
        if request.avoid and not waiting.reply.done():
            self._end_if_all_avoided(request, self._usable_ids())
        self._start_timer()
        return waiting

    def _remove_listener(self, waiting: WaitingRequest) -> None:
        waiting.listeners -= 1
        waiting.abandoned_at = self._clock.now()

    def _grant_free_slots(self) -> None:
        """Grants free slots until none is left that a request may use."""
        if not len(self._queues):
            return
        now = self._clock.now()
        instances = self._usable_instances()
        if not instances:
            self._sweep()
            return
        while len(self._queues) and self._grant_one(instances, now):
            pass

    def _sweep(self) -> None:
        """Ends the requests that are overdue or that no minion may serve.

        Takes time linear in the number of waiting requests, so it runs on
        changes and on the timer and not for every request.
        """
        for ask_id in self._queues.overdue(self._clock.now()):
            self._end_request(ask_id, "deadline")
        usable = self._usable_ids()
        for request in self._queues.requests():
            self._end_if_all_avoided(request, usable)

    def _end_if_all_avoided(
        self, request: SlotRequest, usable: set[InstanceId]
    ) -> None:
        if usable <= set(request.avoid):
            self._end_request(request.ask_id, "no_endpoint")

    def _usable_ids(self) -> set[InstanceId]:
        return {each.instance_id for each in self._usable_instances()}

    def _usable_instances(self) -> list[Instance]:
        self._reload_state()
        return [e for e in self._instances if is_usable(e, self._view)]

    def _grant_one(self, instances: list[Instance], now: float) -> bool:
        free = [each for each in instances if self._free_slots(each, now) > 0]
        if not free:
            return False
        for work_class in self._class_order(instances):
            teams = self._queues.teams(work_class)
            while teams:
                team_id = self._ledger.next_team(teams, now)
                request = self._queues.first(work_class, team_id)
                if request and request.deadline <= now:
                    self._end_request(request.ask_id, "deadline")
                    return True
                if request and self._grant(request, free, now):
                    return True
                teams.remove(team_id)
        return False

    def _class_order(self, instances: list[Instance]) -> list[WorkClass]:
        """Returns the work classes that may get a slot now, by priority."""
        pool = self._get_state().tables.pool_by_id.get(self._pool_id)
        if pool is None:
            return []
        # Slots of minions on probation cannot be reserved for a class.
        slots = sum(
            each.slots
            for each in instances
            if not self._health.on_probation(each.instance_id)
        )
        if not slots:
            return [WorkClass.QUICK, WorkClass.LONG]
        running = self._grants.running_by_class[WorkClass.LONG]
        if running < _reserved_slots(slots, pool.long_floor):
            return [WorkClass.LONG, WorkClass.QUICK]
        if running < slots - _reserved_slots(slots, pool.quick_reserve):
            return [WorkClass.QUICK, WorkClass.LONG]
        return [WorkClass.QUICK]

    def _grant(
        self, request: SlotRequest, free: list[Instance], now: float
    ) -> bool:
        candidates = [e for e in free if e.instance_id not in request.avoid]
        if not candidates:
            return False
        instance = health.choose(
            candidates, self._grants.running_by_instance, self._random
        )
        grant = HeldGrant(
            request.ask_id,
            self._pool_id,
            instance.instance_id,
            request.team_id,
            request.work_class,
            now,
        )
        self._grants.add(request.entry_id, grant, instance.address)
        started = self._ledger.start(request.team_id, now)
        self._started_by_grant[request.ask_id] = started
        reply = SlotReply(grant=grant, address=instance.address)
        self._queues.resolve(request.ask_id, reply)
        self._update_waiting(request.team_id, now)
        return True

    def _free_slots(self, instance: Instance, now: float) -> int:
        running = self._grants.running_by_instance[instance.instance_id]
        return self._health.free_slots(instance, running, now)

    def _end_request(self, ask_id: GrantId, code: str) -> None:
        waiting = self._queues.get(ask_id)
        if waiting is None:
            return
        self._queues.resolve(ask_id, SlotReply(code=code))
        self._update_waiting(waiting.request.team_id, self._clock.now())

    def _update_waiting(self, team_id: TeamId, now: float) -> None:
        if not self._queues.has_requests(team_id):
            self._ledger.stop_waiting(team_id, now)

    def _free(
        self, grant_id: GrantId, unused: bool = False
    ) -> HeldGrant | None:
        grant = self._grants.end(grant_id)
        started = self._started_by_grant.pop(grant_id, None)
        if grant and unused and started is not None:
            self._ledger.cancel(grant.team_id, self._clock.now(), started)
        elif grant:
            self._ledger.finish(grant.team_id, self._clock.now())
        return grant

    def _update_health(
        self, release: SlotRelease, grant: HeldGrant, now: float
    ) -> None:
        if release.busy:
            self._health.record_busy(grant.instance_id, now)
        elif release.failed:
            self._health.record_failure(grant.instance_id, grant.since, now)
        elif release.failed_answer:
            self._health.record_error_answer(
                grant.instance_id, grant.since, now, self._usable_ids()
            )
        else:
            self._health.record_success(grant.instance_id, grant.since)

    def _address_of(self, instance_id: InstanceId) -> str:
        instance = self._get_state().tables.instance_by_id.get(instance_id)
        return instance.address if instance else ""

    def _share_of(self, team_id: TeamId) -> float:
        weight = self._weight_by_team.get(team_id)
        if weight is None:
            weight = self._get_state().share_of(team_id, self._pool_id)
            self._weight_by_team[team_id] = weight
        return weight

    def _reload_state(self) -> None:
        """Reloads the minions and drops cached weights if a table changed."""
        state = self._get_state()
        counts = state.version_by_table
        tables = ("instance_by_id", "team_by_id", "rule_by_id")
        versions = (id(state), *(counts[each] for each in tables))
        if versions == self._versions:
            return
        self._versions = versions
        self._weight_by_team.clear()
        self._instances = state.instances_at(
            self._data_centre_id, self._pool_id
        )
        self._health.retain({each.instance_id for each in self._instances})

    def _start_timer(self) -> None:
        """Schedules a refresh: deadlines and probation end without an event."""
        if self._timer or not len(self._queues):
            return
        now = self._clock.now()
        due = self._health.next_change(now)
        delay = (
            min(_REFRESH_INTERVAL_SECONDS, due - now)
            if due
            else _REFRESH_INTERVAL_SECONDS
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(delay, 0.001), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.refresh()
        self._start_timer()


def _reserved_slots(slots: int, fraction: float) -> int:
    """Returns a fraction of the slots, rounded down; at least 1 unless it is 0.

    A single slot is not reserved, so that both classes can run.
    """
    if fraction <= 0 or slots < 2:
        return 0
    return min(slots - 1, max(1, int(slots * fraction)))
