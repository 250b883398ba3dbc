"""Concurrency limits of teams: the use of this entry's allowances.

A unit of allowance is the right to run one request at a time. This entry
counts its running requests against the units that the folded log assigns to
it, less those locked for transfer. Only this entry gives its units away, so a
state that lags behind the log never shows more units than the entry may use.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from sardinedrift.allowancechanges import AllowanceChange
from sardinedrift.demand import TeamUse
from sardinedrift.exceptions import (
    LogServiceError,
    LogUnavailable,
    PublishUnknown,
)
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    EntryId,
    Identity,
    TeamId,
)
from sardinedrift.messages import AllowanceRequest
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.transfers import Transfers
from sardinedrift.unitrequests import UnitRequester
from sardinedrift.unitview import UnitView

BATCH_INTERVAL_SECONDS = 1.0
# Every entry reads every record. With one record a second each, 69 members
# cause 29.5 KB/s per node; the budget for all control traffic is 28 KB/s.
MAX_FLEET_BATCHES_PER_SECOND = 23
_STEP_INTERVAL_SECONDS = 0.05
_PUBLISH_TIMEOUT_SECONDS = 3.0
# Units are locked while their transfer is being published. With this backoff, a
# log that accepts no appends makes them unusable for at most half of the time.
_TRANSFER_BACKOFF_SECONDS = 2 * _PUBLISH_TIMEOUT_SECONDS


def batch_interval_seconds(members: int) -> float:
    """Returns the wait after a batch, in seconds, for a number of members.

    Meanwhile, requests without a unit are relayed to entries with spare units,
    so a long wait delays only teams without spare units at any reachable entry.
    """
    return max(BATCH_INTERVAL_SECONDS, members / MAX_FLEET_BATCHES_PER_SECOND)


class Limits:
    """Applies the team limits to the requests of one entry.

    Args:
        identity: this entry.
        follower: provides the folded state and whether the log is up.
        publisher: appends changes to the log.
        peers: other entries, which are asked for units.
        clock: source of the current time.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        clock: Clock,
    ):
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._clock = clock
        self._use_by_team: dict[TeamId, TeamUse] = {}
        self._view = UnitView(identity.entry_id, follower)
        self._requester = UnitRequester(identity, follower, peers, clock)
        self._transfers = Transfers(identity.entry_id, follower)
        self._wake = asyncio.Event()
        self._decayed_at = clock.now()
        self._stopped = False
        self._last_publish_succeeded = True
        self._transfer_backoff_until = 0.0
        self._takes_by_peer: dict[EntryId, dict[TeamId, int]] = {}

    def try_acquire(self, team_id: TeamId) -> bool:
        """Takes a unit for one request; returns False when none is free."""
        use = self._use(team_id)
        use.admitted = max(0, use.admitted - 1)
        if self._free(team_id) <= 0:
            use.record_miss()
            self._wake.set()
            return False
        use.start()
        return True

    def release(self, team_id: TeamId) -> None:
        """Releases the unit of a request that has ended."""
        self._use(team_id).finish()
        self._admit(team_id)
        self._wake_if_overallocated(team_id)

    async def wait(self, team_id: TeamId, deadline: float) -> bool:
        """Returns whether a unit became free before a deadline (unix seconds).

        Waiters are served first in, first out; after `stop` all get False. The
        unit is not acquired; the caller must call `try_acquire` before it
        starts the request.
        """
        use = self._use(team_id)
        if not use.waiters and self._free(team_id) > use.admitted:
            use.admitted += 1
            return True
        timeout = deadline - self._clock.now()
        if timeout <= 0 or self._stopped:
            return False
        waiter = use.add_waiter()
        self._wake.set()
        try:
            await asyncio.wait((waiter,), timeout=timeout)
            return waiter.done() and waiter.result()
        finally:
            use.remove_waiter(waiter)

    def spare_units(self) -> dict[TeamId, int]:
        """Returns the units offered to peers by team, normally the surplus.

        While units cannot be transferred, all available units are offered:
        peers can then use them only by relaying requests to this entry.
        """
        count = self._surplus if self._can_transfer() else self._available
        spare = {team: count(team) for team in self._use_by_team}
        return {team: units for team, units in spare.items() if units > 0}

    def running(self, team_id: TeamId) -> int:
        """Returns the number of running requests of a team at this entry."""
        return self._use(team_id).running

    async def give(self, request: AllowanceRequest) -> dict[TeamId, int]:
        """Locks surplus units for transfer to a peer; returns them by team.

        Without a surplus, an entry that holds more than its proportional share
        reserves units and transfers them as its own requests end.
        """
        if self._stopped or request.entry_id == self._identity.entry_id:
            return {}
        if not self._can_transfer():
            return {}
        if not self._is_member() or not self._view.is_member(request.entry_id):
            return {}
        locked = {}
        for team_id, wanted in request.units_by_team.items():
            units = min(wanted, self._surplus(team_id))
            if units > 0:
                locked[team_id] = units
            elif wanted > 0 and self._view.units(team_id).unallocated > 0:
                # The peer is cut off from the log. This entry takes unallocated
                # units on its behalf; the peer learns of them from its peers.
                takes = self._takes_by_peer.setdefault(request.entry_id, {})
                takes[team_id] = wanted
            elif wanted > 0:
                self._reserve(team_id, request.entry_id, wanted)
        if locked:
            self._transfers.give(request.entry_id, locked)
        self._wake.set()
        return locked

    def stop(self) -> None:
        """Grants no more units; must precede the entry's `EntryLeave`."""
        self._stopped = True
        for use in self._use_by_team.values():
            use.reject_waiters()

    async def run(self) -> None:
        """Takes, transfers and returns units until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_state())
            while True:
                attempted = await self.step()
                pause = self._pause() if attempted else _STEP_INTERVAL_SECONDS
                await asyncio.sleep(pause)
                await self._wait_for_wake()

    async def step(self) -> bool:
        """Publishes, then asks peers; returns whether it tried to append."""
        self._wake.clear()
        self._transfers.settle()
        self._return_excess()
        self._return_for_jobs()
        self._give_reserved()
        attempted = await self._publish()
        self._decay_recent_use()
        await self._ask_peers()
        return attempted

    def _decay_recent_use(self) -> None:
        """Decays the recent use once a second, however often steps run."""
        now = self._clock.now()
        if now - self._decayed_at < BATCH_INTERVAL_SECONDS:
            return
        self._decayed_at = now
        for team_id, use in self._use_by_team.items():
            use.decay()
            use.admitted = 0
            self._admit(team_id)

    def _pause(self) -> float:
        return batch_interval_seconds(self._view.member_count())

    async def _wait_for_wake(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BATCH_INTERVAL_SECONDS):
                await self._wake.wait()

    async def _watch_state(self) -> None:
        """Admits waiting requests as soon as the folded state changes."""
        while True:
            offset = self._follower.state.offset
            self._transfers.settle()
            for team_id in list(self._use_by_team):
                self._admit(team_id)
                self._wake_if_overallocated(team_id)
            await self._follower.changed(offset)

    def _wake_if_overallocated(self, team_id: TeamId) -> None:
        """Wakes the main loop to return idle units of an over-allocated team.

        Until the excess is returned, no entry starts requests of the team.
        """
        if self._view.units(team_id).unallocated < 0 < self._idle(team_id):
            self._wake.set()

    def _use(self, team_id: TeamId) -> TeamUse:
        use = self._use_by_team.get(team_id)
        if use is None:
            use = self._use_by_team[team_id] = TeamUse()
        return use

    def _idle(self, team_id: TeamId) -> int:
        """Returns the units that are neither locked nor used by a request."""
        locked = self._transfers.locked(team_id)
        return (
            self._view.units(team_id).held - locked - self._use(team_id).running
        )

    def _free(self, team_id: TeamId) -> int:
        """Returns the number of requests that may start now."""
        if self._stopped or self._view.units(team_id).unallocated < 0:
            return 0
        return self._idle(team_id) - self._use(team_id).reserved

    def _can_transfer(self) -> bool:
        """Returns whether the log is expected to accept a transfer now.

        Units are locked until their transfer is published, so with the log
        down neither this entry nor the receiver could use them.
        """
        failed_recently = self._clock.now() < self._transfer_backoff_until
        return self._follower.log_up and not failed_recently

    def _available(self, team_id: TeamId) -> int:
        """Returns the units that no running or waiting request needs."""
        use = self._use(team_id)
        return max(0, self._free(team_id) - len(use.waiters) - use.admitted)

    def _surplus(self, team_id: TeamId) -> int:
        """Returns the available units that exceed the recent use."""
        use = self._use(team_id)
        idle = self._available(team_id)
        # Units used recently are kept, to avoid transfers back and forth.
        return max(0, min(idle, use.running + idle - use.target_units()))

    def _is_member(self) -> bool:
        return self._view.is_member(self._identity.entry_id)

    def _admit(self, team_id: TeamId) -> None:
        use = self._use(team_id)
        use.admit(self._free(team_id))

    def _reserve(self, team_id: TeamId, peer: EntryId, wanted: int) -> None:
        """Reserves units that become free for a peer with waiting requests.

        The entry keeps its share, proportional to the demand of both, and at
        least one unit. It reserves at most a quarter of its units, or one.
        """
        use = self._use(team_id)
        held = self._view.units(team_id).held - self._transfers.locked(team_id)
        demand = use.running + len(use.waiters)
        share = held * demand // max(1, demand + wanted)
        units = min(wanted, held - max(share, 1), max(1, held // 4))
        if units > 0 and not use.reserved:
            use.reserve(peer, units)

    def _give_reserved(self) -> None:
        for team_id, use in self._use_by_team.items():
            if not use.reserved:
                continue
            peer, units = use.end_reservation()
            units = min(units, self._idle(team_id))
            if units > 0 and peer and self._can_transfer():
                self._transfers.give(peer, {team_id: units})

    def _return_excess(self) -> None:
        """Returns idle units of teams whose limit was lowered below them."""
        returned = {}
        for team_id in self._view.teams():
            held, unallocated, total = self._view.units(team_id)
            if unallocated >= 0 or held <= 0:
                continue
            # Each holder returns its proportional share, rounded up, so that
            # together they do not return much more than the excess. Gone
            # holders return nothing, so `total` is without their units.
            share = -(unallocated * held // total)
            units = min(share, self._idle(team_id))
            if units > 0:
                returned[team_id] = units
        if returned:
            self._transfers.return_units(returned)

    def _return_for_jobs(self) -> None:
        """Returns surplus units of teams that have jobs waiting for units."""
        if not self._can_transfer():
            return
        returned = {}
        rows = self._follower.state.tables.allowances_by_team
        for team_id in self._view.teams():
            missing = rows[team_id].waiting_jobs
            missing -= self._view.units(team_id).unallocated
            units = min(missing, self._surplus(team_id))
            if units > 0:
                returned[team_id] = units
        if returned:
            self._transfers.return_units(returned)

    def _missing_units(self) -> Iterator[tuple[TeamId, int, int]]:
        """Yields (team, missing units, unallocated units) of teams in need."""
        rows = self._follower.state.tables.allowances_by_team
        for team_id, use in list(self._use_by_team.items()):
            if team_id not in rows:
                continue
            held, unallocated, _ = self._view.units(team_id)
            # Admitted requests that still wait for a slot need units, too.
            demand = use.running + use.admitted + len(use.waiters)
            needed = max(use.target_units(), demand)
            missing = needed - (held - self._transfers.locked(team_id))
            if missing > 0 and unallocated >= 0:
                yield team_id, missing, unallocated

    async def _publish(self) -> bool:
        """Publishes pending changes; returns whether it tried to append."""
        if not self._is_member():
            return False
        now = self._clock.now()
        # All unsettled transfers come first, in order of sequence number: the
        # fold ignores a change whose number is below one already folded.
        batch: list[AllowanceChange] = list(self._transfers.unsettled())
        takes = {
            team_id: min(missing, unallocated)
            for team_id, missing, unallocated in self._missing_units()
            if unallocated > 0
        }
        takes_by_entry, self._takes_by_peer = self._takes_by_peer, {}
        if takes:
            takes_by_entry[self._identity.entry_id] = takes
        batch += (
            self._transfers.take(entry_id, units_by_team)
            for entry_id, units_by_team in takes_by_entry.items()
        )
        if not batch:
            return False
        self._last_publish_succeeded = False
        try:
            await self._publisher.publish(batch, now + _PUBLISH_TIMEOUT_SECONDS)
            self._last_publish_succeeded = True
        except LogUnavailable:
            # Nothing was appended, so the units can be used here again.
            self._transfers.cancel(batch)
            self._transfer_backoff_until = now + _TRANSFER_BACKOFF_SECONDS
        except (LogServiceError, PublishUnknown):
            # The outcome is unknown: transfers stay locked and are published
            # again with the same numbers. Units taken count once folded.
            self._transfers.mark_unknown(batch)
            self._transfer_backoff_until = now + _TRANSFER_BACKOFF_SECONDS
        self._transfers.settle()
        return True

    async def _ask_peers(self) -> None:
        """Asks peers, once per step, for the units of waiting requests."""
        missing_by_team = {}
        for team_id, missing, unallocated in self._missing_units():
            waiting = len(self._use(team_id).waiters)
            # Peers also take unallocated units on behalf of an entry that
            # cannot append to the log.
            if waiting and (
                unallocated <= 0 or not self._last_publish_succeeded
            ):
                missing_by_team[team_id] = missing
        await self._requester.request(missing_by_team)
