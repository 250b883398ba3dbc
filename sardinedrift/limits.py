"""Use of this entry's part of the team limits.

A unit of allowance is the right to have one request running. This entry
counts what runs against the units it holds in the fold, less the units it has
promised away. Only this entry gives its units away, so a fold that lags never
shows it more than it may use.
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
from sardinedrift.messages import AllowanceAsk
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.transfers import Transfers
from sardinedrift.unitasks import UnitAsker
from sardinedrift.unitview import UnitView

BATCH_SECONDS = 1.0
# Every entry reads every record. At one record a second each, 69 members come
# to 29.5 KB/s, above the 28 KB/s that all control traffic of a node may take.
FLEET_BATCHES_PER_SECOND = 23
_PAUSE_SECONDS = 0.05
_PUBLISH_SECONDS = 3.0
# Units are locked while their transfer is published, so a log that takes no
# appends keeps them from use for half of the time at most.
_FAILED_PUBLISH_SECONDS = 2 * _PUBLISH_SECONDS


def batch_seconds(members: int) -> float:
    """Returns the pause after a batch of one member.

    Meanwhile work without a unit is relayed to entries with spare units, so
    a longer pause delays only teams of which no reachable entry has any.
    """
    return max(BATCH_SECONDS, members / FLEET_BATCHES_PER_SECOND)


class Limits:
    """Allowances of one entry.

    Args:
        identity: this entry.
        follower: `.state`, `.log_up` and `changed`.
        publisher: `publish(changes, deadline)`.
        peers: `exchange_of` and `call`.
        clock: gives the current time.
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
        self._asker = UnitAsker(identity, follower, peers, clock)
        self._transfers = Transfers(identity.entry_id, follower)
        self._wake = asyncio.Event()
        self._remembered_at = clock.now()
        self._stopped = False
        self._published = True
        self._no_transfers_until = 0.0
        self._takes_by_peer: dict[EntryId, dict[TeamId, int]] = {}

    def try_acquire(self, team_id: TeamId) -> bool:
        """Takes a unit for one request; False when none is free."""
        use = self._use(team_id)
        use.admitted = max(0, use.admitted - 1)
        if self._free(team_id) <= 0:
            use.miss()
            self._wake.set()
            return False
        use.start()
        return True

    def release(self, team_id: TeamId) -> None:
        """Ends the use of a unit."""
        self._use(team_id).finish()
        self._admit(team_id)
        self._wake_for_debt(team_id)

    async def wait(self, team_id: TeamId, deadline: float) -> bool:
        """Waits in order of arrival until a unit is free.

        The unit is not taken; the caller calls `try_acquire` when it starts.
        False when none was free at the deadline.
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
        """Returns idle units that peers may ask for, by team.

        While no units can be transferred, these are all that are idle now:
        peers can use them only by relaying requests.
        """
        count = self._surplus if self._may_transfer() else self._available
        spare = {team: count(team) for team in self._use_by_team}
        return {team: units for team, units in spare.items() if units > 0}

    def running(self, team_id: TeamId) -> int:
        """Returns how many requests of a team run at this entry."""
        return self._use(team_id).running

    async def give(self, ask: AllowanceAsk) -> dict[TeamId, int]:
        """Locks units for a peer; returns what it may expect, by team.

        Idle surplus is given at once. Without any, an entry that holds more
        than its part gives units as its requests end.
        """
        if self._stopped or ask.entry_id == self._identity.entry_id:
            return {}
        if not self._may_transfer():
            return {}
        if not self._is_member() or not self._view.is_member(ask.entry_id):
            return {}
        promised = {}
        for team_id, wanted in ask.units_by_team.items():
            units = min(wanted, self._surplus(team_id))
            if units > 0:
                promised[team_id] = units
            elif wanted > 0 and self._view.units(team_id).unallocated > 0:
                # The peer is cut off from the log; it learns through peers.
                takes = self._takes_by_peer.setdefault(ask.entry_id, {})
                takes[team_id] = wanted
            elif wanted > 0:
                self._reserve(team_id, ask.entry_id, wanted)
        if promised:
            self._transfers.give(ask.entry_id, promised)
        self._wake.set()
        return promised

    def stop(self) -> None:
        """Starts nothing more; call it before `EntryLeave` is written."""
        self._stopped = True
        for use in self._use_by_team.values():
            use.end_waiting()

    async def run(self) -> None:
        """Exchanges units with the log and with peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch())
            while True:
                published = await self.step()
                pause = self._pause() if published else _PAUSE_SECONDS
                await asyncio.sleep(pause)
                await self._next_step()

    async def step(self) -> bool:
        """Publishes one batch and asks peers for what is still missing.

        Returns whether a record was published.
        """
        self._wake.clear()
        self._transfers.settle()
        self._return_debts()
        self._return_for_jobs()
        self._give_reserved()
        published = await self._publish()
        self._remember()
        await self._ask_peers()
        return published

    def _remember(self) -> None:
        """Lets recent use decay once a second, however often steps run."""
        now = self._clock.now()
        if now - self._remembered_at < BATCH_SECONDS:
            return
        self._remembered_at = now
        for team_id, use in self._use_by_team.items():
            use.remember()
            use.admitted = 0
            self._admit(team_id)

    def _pause(self) -> float:
        return batch_seconds(self._view.member_count())

    async def _next_step(self) -> None:
        """Waits for a reason to act, at most a few seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BATCH_SECONDS):
                await self._wake.wait()

    async def _watch(self) -> None:
        """Admits waiting work as soon as the fold shows new units."""
        while True:
            offset = self._follower.state.offset
            self._transfers.settle()
            for team_id in list(self._use_by_team):
                self._admit(team_id)
                self._wake_for_debt(team_id)
            await self._follower.changed(offset)

    def _wake_for_debt(self, team_id: TeamId) -> None:
        """Returns units at once: nobody starts work while there is a debt."""
        if self._view.units(team_id).unallocated < 0 < self._idle(team_id):
            self._wake.set()

    def _use(self, team_id: TeamId) -> TeamUse:
        use = self._use_by_team.get(team_id)
        if use is None:
            use = self._use_by_team[team_id] = TeamUse()
        return use

    def _idle(self, team_id: TeamId) -> int:
        """Returns the units on which nothing runs and that are not locked."""
        locked = self._transfers.locked(team_id)
        return (
            self._view.units(team_id).held - locked - self._use(team_id).running
        )

    def _free(self, team_id: TeamId) -> int:
        """Returns how many requests may start now."""
        if self._stopped or self._view.units(team_id).unallocated < 0:
            return 0
        return self._idle(team_id) - self._use(team_id).reserved

    def _may_transfer(self) -> bool:
        """Tells whether a transfer can be published.

        Units whose transfer waits for the log would be of use to nobody.
        """
        failed_lately = self._clock.now() < self._no_transfers_until
        return self._follower.log_up and not failed_lately

    def _available(self, team_id: TeamId) -> int:
        """Returns the units that neither running nor waiting work needs."""
        use = self._use(team_id)
        return max(0, self._free(team_id) - len(use.waiters) - use.admitted)

    def _surplus(self, team_id: TeamId) -> int:
        """Returns the available units beyond what was used lately."""
        use = self._use(team_id)
        idle = self._available(team_id)
        # Keeping what was used lately stops units from going back and forth.
        return max(0, min(idle, use.running + idle - use.target()))

    def _is_member(self) -> bool:
        return self._view.is_member(self._identity.entry_id)

    def _admit(self, team_id: TeamId) -> None:
        use = self._use(team_id)
        use.admit(self._free(team_id))

    def _reserve(self, team_id: TeamId, peer: EntryId, wanted: int) -> None:
        """Keeps units that become free for a peer with waiting work."""
        use = self._use(team_id)
        held = self._view.units(team_id).held - self._transfers.locked(team_id)
        own = use.running + len(use.waiters)
        part = held * own // max(1, own + wanted)
        units = min(wanted, held - max(part, 1), max(1, held // 4))
        if units > 0 and not use.reserved:
            use.reserve(peer, units)

    def _give_reserved(self) -> None:
        for team_id, use in self._use_by_team.items():
            if not use.reserved:
                continue
            peer, units = use.end_reservation()
            units = min(units, self._idle(team_id))
            if units > 0 and peer and self._may_transfer():
                self._transfers.give(peer, {team_id: units})

    def _return_debts(self) -> None:
        """Returns idle units of teams whose limit was lowered."""
        returned = {}
        for team_id in self._view.teams():
            held, unallocated, total = self._view.units(team_id)
            if unallocated >= 0 or held <= 0:
                continue
            # Each holder returns its part, rounded up, so that the holders
            # together do not return much more than the debt. Those that are
            # gone return nothing, so their units do not count.
            part = -(unallocated * held // total)
            units = min(part, self._idle(team_id))
            if units > 0:
                returned[team_id] = units
        if returned:
            self._transfers.give_back(returned)

    def _return_for_jobs(self) -> None:
        """Returns surplus units of teams whose jobs wait for units."""
        if not self._may_transfer():
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
            self._transfers.give_back(returned)

    def _missing(self) -> Iterator[tuple[TeamId, int, int]]:
        """Yields teams with units missing, the units, and the unallocated."""
        rows = self._follower.state.tables.allowances_by_team
        for team_id, use in list(self._use_by_team.items()):
            if team_id not in rows:
                continue
            held, unallocated, _ = self._view.units(team_id)
            # Admitted work, which waits for a slot, needs its units, too.
            demand = use.running + use.admitted + len(use.waiters)
            needed = max(use.target(), demand)
            missing = needed - (held - self._transfers.locked(team_id))
            if missing > 0 and unallocated >= 0:
                yield team_id, missing, unallocated

    async def _publish(self) -> bool:
        """Publishes one batch, if there is anything to change."""
        if not self._is_member():
            return False
        now = self._clock.now()
        # All unsettled transfers go first, in the order of their numbers: the
        # fold skips a number below one that it has folded.
        batch: list[AllowanceChange] = list(self._transfers.unsettled())
        takes = {
            team_id: min(missing, unallocated)
            for team_id, missing, unallocated in self._missing()
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
        self._published = False
        try:
            await self._publisher.publish(batch, now + _PUBLISH_SECONDS)
            self._published = True
        except LogUnavailable:
            # Nothing was appended, so the units can be used here meanwhile.
            self._transfers.cancel(batch)
            self._no_transfers_until = now + _FAILED_PUBLISH_SECONDS
        except (LogServiceError, PublishUnknown):
            # Nothing is assumed: gives stay locked and are published again
            # with the same numbers; takes count only once they are folded.
            self._transfers.note_unknown(batch)
            self._no_transfers_until = now + _FAILED_PUBLISH_SECONDS
        self._transfers.settle()
        return True

    async def _ask_peers(self) -> None:
        """Asks peers once per step for what waiting work lacks."""
        missing_by_team = {}
        for team_id, missing, unallocated in self._missing():
            waiting = len(self._use(team_id).waiters)
            # Units that this entry cannot take itself, peers take for it.
            if waiting and (unallocated <= 0 or not self._published):
                missing_by_team[team_id] = missing
        await self._asker.ask(missing_by_team)
