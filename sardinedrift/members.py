"""Membership of this entry, and what it records about the others."""

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

# How long both pieces of evidence must hold without interruption.
EVIDENCE_SECONDS = 3.0
# Samples further apart than this do not count as without interruption.
LONGEST_EVIDENCE_GAP_SECONDS = 1.5
CHECK_SECONDS = 0.25
PUBLISH_SECONDS = 5.0
# Longest error of this entry's clock against that of the log.
RELEASE_MARGIN_SECONDS = 1.0
# The evidence is checked again before a lost or failed append is repeated.
_GONE_ERRORS = (LogUnavailable, PublishUnknown)


class ListedView(Protocol):
    """The part of the view of the instance list that is used here."""

    def listed(self, instance_id: str) -> bool:
        """Tells whether the list shows an instance."""


class Members:
    """Joins, acknowledges joins, and shows entries that ended as gone.

    Attributes:
        retired: set when the log shows this entry as gone; it must exit.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        publisher: Publisher,
        peers: Peers,
        instance_view: ListedView,
        clock: Clock,
        evidence_seconds: float = EVIDENCE_SECONDS,
        check_seconds: float = CHECK_SECONDS,
    ):
        self.retired = asyncio.Event()
        self._identity = identity
        self._follower = follower
        self._publisher = publisher
        self._peers = peers
        self._view = instance_view
        self._clock = clock
        self._evidence_seconds = evidence_seconds
        self._check_seconds = check_seconds
        self._joined = False
        self._leaving = False
        self._task_by_key: dict[str, asyncio.Task] = {}
        self._unlisted_since: dict[EntryId, float] = {}
        self._sampled_at = 0.0
        self._release_checked_at = 0.0

    @property
    def active(self) -> bool:
        """Whether this entry is a member."""
        entry = self._own()
        return entry is not None and entry.state is EntryState.ACTIVE

    async def run(self) -> None:
        """Keeps the membership until cancelled."""
        try:
            await self._follower.wait_ready()
            while True:
                self._check()
                await self._follower.wait_offset(
                    self._follower.state.offset + 1,
                    self._clock.now() + self._check_seconds,
                )
        finally:
            for task in self._task_by_key.values():
                task.cancel()

    async def leave(self, successor: EntryId | None) -> ch.Result:
        """Records that this entry has drained and leaves.

        Args:
            successor: gets the allowances; None: they return to the limits.
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
        self._sample_list(neighbours)
        if self.active:
            self._acknowledge(neighbours)
            self._release_units()
        if self._may_show_gone():
            self._show_gone(neighbours)

    def _join_or_retire(self) -> None:
        entry = self._own()
        if entry is None and not self._joined and not self._leaving:
            change = ch.EntryJoin(
                change_id=self._change_id("join"),
                entry_id=self._identity.entry_id,
                data_centre_id=self._identity.data_centre_id,
                address=self._identity.address,
            )
            self._start("join", self._publisher.publish_until_folded(change))
            return
        # A snapshot may skip the time during which the entry was shown gone.
        gone = entry is None or entry.state is EntryState.GONE
        if gone and not self._leaving and not self.retired.is_set():
            logger.error("the log shows this entry as gone")
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
            self._start(key, self._publisher.publish_until_folded(change))

    def _sample_list(self, neighbours: list[objects.Entry]) -> None:
        """Notes since when entries are not listed.

        The list shows nothing before it was read, and nothing while this
        entry itself is cut off; then this entry is not listed either.
        """
        now = self._clock.now()
        usable = self._view.listed(self._identity.entry_id)
        if not usable or now - self._sampled_at > LONGEST_EVIDENCE_GAP_SECONDS:
            self._unlisted_since.clear()
        self._sampled_at = now
        unlisted = {
            each.entry_id
            for each in neighbours
            if usable and not self._view.listed(each.entry_id)
        }
        self._unlisted_since = {
            each: self._unlisted_since.get(each, now) for each in unlisted
        }

    def _may_show_gone(self) -> bool:
        """Tells whether this entry records the end of others.

        Without any live member, entries that are still joining do it; they
        would otherwise wait for members that all ended together.
        """
        entry = self._own()
        if entry is None or entry.state is EntryState.GONE:
            return False
        members = self._peers.live_members(self._identity.data_centre_id)
        return entry.state is EntryState.ACTIVE or not members

    def _show_gone(self, neighbours: list[objects.Entry]) -> None:
        for entry in neighbours:
            seconds = self._evidence_age(entry.entry_id)
            # One member records it; the others do when that one does not.
            first = self._chosen(f"gone/{entry.entry_id}")
            if seconds >= self._evidence_seconds * (1 if first else 2):
                key = f"gone-{entry.entry_id}"
                self._start(key, self._publish_gone(entry.entry_id))

    async def _publish_gone(self, entry_id: EntryId) -> None:
        change = ch.EntryGone(
            change_id=self._change_id(f"gone-{entry_id}"),
            entry_id=entry_id,
            evidence=(
                "its address refuses connections or answers as another entry,"
                " and the instance list does not show it"
            ),
        )
        deadline = self._clock.now() + PUBLISH_SECONDS
        try:
            await self._publisher.publish([change], deadline)
        except _GONE_ERRORS as error:
            logger.warning("{} not recorded as gone: {}", entry_id, error)

    def _release_units(self) -> None:
        """Records that units of an entry that is gone are due.

        The fold frees them by the time of a record, and in a quiet log none
        would come while their team waits for them.
        """
        now = self._clock.now()
        if now < self._release_checked_at + RELEASE_MARGIN_SECONDS:
            return
        self._release_checked_at = now
        rows = self._follower.state.tables.allowances_by_team.values()
        due = min((e.returning[0][0] for e in rows if e.returning), default=now)
        # One member records it; the others do when that one does not.
        margins = 1 if self._chosen("release") else 3
        if due + margins * RELEASE_MARGIN_SECONDS <= now:
            self._start("release", self._publish_release())

    async def _publish_release(self) -> None:
        name = f"release-{uuid.uuid4()}"
        change = ch.ReleaseUnits(change_id=ChangeId(name))
        deadline = self._clock.now() + PUBLISH_SECONDS
        with contextlib.suppress(LogUnavailable, PublishUnknown):
            await self._publisher.publish([change], deadline)

    def _evidence_age(self, entry_id: EntryId) -> float:
        """Returns for how many seconds all evidence has held."""
        ended = self._peers.ended_since(entry_id)
        unlisted = self._unlisted_since.get(entry_id)
        if ended is None or unlisted is None:
            return 0.0
        return self._clock.now() - max(ended, unlisted)

    def _chosen(self, key: str) -> bool:
        """Tells whether this entry is the one here that records something."""
        members = self._peers.live_members(self._identity.data_centre_id)
        return rendezvous(key, members) in (None, self._identity.entry_id)

    def _own(self) -> objects.Entry | None:
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

    def _start(self, key: str, work: Coroutine) -> None:
        """Runs one task per key at a time."""
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
