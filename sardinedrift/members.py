"""Maintains the membership of this entry and records ended entries."""

import asyncio
import contextlib
import uuid
from collections.abc import Coroutine, Iterator
from typing import Protocol

from loguru import logger

from sardinedrift import changes as ch
from sardinedrift import objects
from sardinedrift.exceptions import LogUnavailable, PublishUnknown
from sardinedrift.follower import Follower
from sardinedrift.identifiers import ChangeId, EntryId, EntryState, Identity
from sardinedrift.peers import Peers
from sardinedrift.ports import Clock
from sardinedrift.publisher import Publisher
from sardinedrift.routing import rendezvous

# How long an entry must be both unreachable (its address refuses connections
# or answers as another entry) and absent from the instance list, without
# interruption, before it is recorded as gone.
MIN_EVIDENCE_SECONDS = 3.0
# A longer gap between two samples counts as an interruption.
MAX_EVIDENCE_GAP_SECONDS = 1.5
CHECK_INTERVAL_SECONDS = 0.25
PUBLISH_TIMEOUT_SECONDS = 5.0
# Largest difference between this entry's clock and the clock of the log.
RELEASE_MARGIN_SECONDS = 1.0
# A lost or failed append is not repeated blindly: the next check examines the
# evidence again first.
_APPEND_ERRORS = (LogUnavailable, PublishUnknown)


class ListedView(Protocol):
    """View of the instance list, reduced to the method used here."""

    def listed(self, instance_id: str) -> bool:
        """Returns whether the list contains an instance."""


class Members:
    """Joins, acknowledges joins, and records ended entries as gone.

    Attributes:
        retired: set when this entry is gone according to the log; the
            process must then exit.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        instance_view: ListedView,
        clock: Clock,
        evidence_seconds: float = MIN_EVIDENCE_SECONDS,
        check_interval_seconds: float = CHECK_INTERVAL_SECONDS,
    ):
        self.retired = asyncio.Event()
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._instance_view = instance_view
        self._clock = clock
        self._evidence_seconds = evidence_seconds
        self._check_interval_seconds = check_interval_seconds
        self._joined = False
        self._leaving = False
        self._task_by_key: dict[str, asyncio.Task] = {}
        self._unlisted_since: dict[EntryId, float] = {}
        self._sampled_at = 0.0
        self._release_checked_at = 0.0

    @property
    def active(self) -> bool:
        """Whether this entry is an active member."""
        entry = self._own_entry()
        return entry is not None and entry.state is EntryState.ACTIVE

    async def run(self) -> None:
        """Maintains the membership until cancelled."""
        try:
            await self._follower.wait_ready()
            while True:
                self._check()
                await self._follower.wait_offset(
                    self._follower.state.offset + 1,
                    self._clock.now() + self._check_interval_seconds,
                )
        finally:
            for task in self._task_by_key.values():
                task.cancel()

    async def leave(self, successor: EntryId | None) -> ch.Result:
        """Publishes the departure of this entry, which must have drained.

        Args:
            successor: entry that receives the allowance units of this entry;
                if None, the units return to the limits of their teams.

        Returns:
            Result of the folded change.
        """
        self._leaving = True
        return await self._publisher.publish_until_folded(
            ch.EntryLeave(
                change_id=self._change_id("leave"),
                entry_id=self._identity.entry_id,
                successor_id=successor,
            )
        )

    def _check(self) -> None:
        self._join_or_retire()
        neighbours = list(self._neighbours())
        self._sample_instance_list(neighbours)
        if self.active:
            self._acknowledge(neighbours)
            self._release_due_units()
        if self._may_record_gone():
            self._record_gone(neighbours)

    def _join_or_retire(self) -> None:
        entry = self._own_entry()
        if entry is None and not self._joined and not self._leaving:
            change = ch.EntryJoin(
                change_id=self._change_id("join"),
                entry_id=self._identity.entry_id,
                data_centre_id=self._identity.data_centre_id,
                address=self._identity.address,
            )
            self._start_once(
                "join", self._publisher.publish_until_folded(change)
            )
            return
        # An entry that has joined and is missing from the state is gone, too:
        # a snapshot may skip the period in which the state contained it as
        # gone.
        gone = entry is None or entry.state is EntryState.GONE
        if gone and not self._leaving and not self.retired.is_set():
            logger.error("this entry is gone according to the log")
            self.retired.set()
        self._joined = True

    def _acknowledge(self, neighbours: list[objects.Entry]) -> None:
        own_id = self._identity.entry_id
        for joiner in neighbours:
            if own_id not in joiner.waiting:
                continue
            key = f"ack-{joiner.entry_id}"
            change = ch.EntryJoinAck(
                change_id=self._change_id(key),
                entry_id=own_id,
                joiner_id=joiner.entry_id,
            )
            self._start_once(key, self._publisher.publish_until_folded(change))

    def _sample_instance_list(self, neighbours: list[objects.Entry]) -> None:
        """Updates since when each neighbour is missing from the instance list.

        The list is no evidence before its first read or while this entry is
        cut off. This entry is then not listed either, and the times are
        cleared.
        """
        now = self._clock.now()
        is_list_usable = self._instance_view.listed(self._identity.entry_id)
        if (
            not is_list_usable
            or now - self._sampled_at > MAX_EVIDENCE_GAP_SECONDS
        ):
            self._unlisted_since.clear()
        self._sampled_at = now
        unlisted = {
            each.entry_id
            for each in neighbours
            if is_list_usable and not self._instance_view.listed(each.entry_id)
        }
        self._unlisted_since = {
            each: self._unlisted_since.get(each, now) for each in unlisted
        }

    def _may_record_gone(self) -> bool:
        """Returns whether this entry may record other entries as gone.

        Normally only active members do. If there is no live member, joining
        entries do it as well: they would otherwise wait forever for the
        acknowledgements of members that all ended together.
        """
        entry = self._own_entry()
        if entry is None or entry.state is EntryState.GONE:
            return False
        members = self._peers.live_members(self._identity.data_centre_id)
        return entry.state is EntryState.ACTIVE or not members

    def _record_gone(self, neighbours: list[objects.Entry]) -> None:
        for entry in neighbours:
            seconds = self._evidence_age(entry.entry_id)
            # The responsible member publishes first; the others publish after
            # twice the time in case it fails to.
            responsible = self._is_responsible(f"gone/{entry.entry_id}")
            if seconds >= self._evidence_seconds * (1 if responsible else 2):
                key = f"gone-{entry.entry_id}"
                self._start_once(key, self._publish_gone(entry.entry_id))

    async def _publish_gone(self, entry_id: EntryId) -> None:
        change = ch.EntryGone(
            change_id=self._change_id(f"gone-{entry_id}"),
            entry_id=entry_id,
            evidence=(
                "its address refuses connections or answers as another entry,"
                " and the instance list does not show it"
            ),
        )
        deadline = self._clock.now() + PUBLISH_TIMEOUT_SECONDS
        try:
            await self._publisher.publish([change], deadline)
        except _APPEND_ERRORS as error:
            logger.warning(
                "could not record entry {} as gone: {}", entry_id, error
            )

    def _release_due_units(self) -> None:
        """Publishes a record that releases units of gone entries when due.

        The fold releases units according to the timestamps of log records. If
        nothing else is written to the log, no record would release the units
        while their team waits for them.
        """
        now = self._clock.now()
        if now < self._release_checked_at + RELEASE_MARGIN_SECONDS:
            return
        self._release_checked_at = now
        rows = self._follower.state.tables.allowances_by_team.values()
        due = min((e.returning[0][0] for e in rows if e.returning), default=now)
        # The responsible member publishes first; the others publish two
        # margins later in case it fails to.
        margins = 1 if self._is_responsible("release") else 3
        if due + margins * RELEASE_MARGIN_SECONDS <= now:
            self._start_once("release", self._publish_release())

    async def _publish_release(self) -> None:
        name = f"release-{uuid.uuid4()}"
        change = ch.ReleaseUnits(change_id=ChangeId(name))
        deadline = self._clock.now() + PUBLISH_TIMEOUT_SECONDS
        with contextlib.suppress(LogUnavailable, PublishUnknown):
            await self._publisher.publish([change], deadline)

    def _evidence_age(self, entry_id: EntryId) -> float:
        """Returns for how many seconds both kinds of evidence have held."""
        ended = self._peers.ended_since(entry_id)
        unlisted = self._unlisted_since.get(entry_id)
        if ended is None or unlisted is None:
            return 0.0
        return self._clock.now() - max(ended, unlisted)

    def _is_responsible(self, key: str) -> bool:
        """Returns whether this entry is responsible for publishing a change.

        One live member of the data centre is selected for each key. Without
        any live member, every entry is responsible.
        """
        members = self._peers.live_members(self._identity.data_centre_id)
        return rendezvous(key, members) in (None, self._identity.entry_id)

    def _own_entry(self) -> objects.Entry | None:
        entries = self._follower.state.tables.entry_by_id
        return entries.get(self._identity.entry_id)

    def _neighbours(self) -> Iterator[objects.Entry]:
        """Yields the other entries of the data centre that are not gone."""
        for entry in self._follower.state.tables.entry_by_id.values():
            if (
                entry.entry_id != self._identity.entry_id
                and entry.data_centre_id == self._identity.data_centre_id
                and entry.state is not EntryState.GONE
            ):
                yield entry

    def _change_id(self, purpose: str) -> ChangeId:
        return ChangeId(f"{purpose}-by-{self._identity.entry_id}")

    def _start_once(self, key: str, work: Coroutine) -> None:
        """Starts a task unless one with the same key is still running."""
        running = self._task_by_key.get(key)
        if running is not None and not running.done():
            work.close()
            return
        self._task_by_key = {
            each: task
            for each, task in self._task_by_key.items()
            if not task.done()
        }
        self._task_by_key[key] = asyncio.create_task(work)
