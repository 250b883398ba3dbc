"""What is known about each peer address: liveness and evidence of an end."""

from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.identifiers import DataCentreId, EntryId, Identity
from sardinedrift.messages import Exchange
from sardinedrift.ports import Clock
from sardinedrift.routing import rendezvous

# Observations of an ended process further apart than this are not seen as
# without interruption: this process may have been paused between them.
LONGEST_EVIDENCE_GAP_SECONDS = 1.5


class Timing(NamedTuple):
    """Seconds between exchanges, and until a silent peer is dead."""

    interval: float
    dead_after: float

    @property
    def timeout(self) -> float:
        """Longest duration of one exchange, in seconds."""
        return self.dead_after * 2 / 3


class Link:
    """One peer address.

    Attributes:
        exchange: last exchange from this address.
        live_until: unix seconds.
        failing: the last exchange sent to it had no answer.
        skip_until: unix seconds until which another entry of its data centre
            is used instead.
        last_heard: unix seconds of the last exchange.
    """

    def __init__(self, address: str):
        self.address = address
        self.data_centre_id: DataCentreId | None = None
        self.exchange: Exchange | None = None
        self.live_until = 0.0
        self.failing = False
        self.skip_until = 0.0
        self.last_heard = 0.0
        self._refused_since: float | None = None
        self._refused_at = 0.0
        self._answering_id: EntryId | None = None
        self._answered_since = 0.0
        self._answered_at = 0.0

    @property
    def entry_id(self) -> EntryId | None:
        """Entry that was last heard from this address."""
        return self.exchange.entry_id if self.exchange else None

    def note_refused(self, now: float) -> None:
        """Notes that the address refused a connection."""
        gap = now - max(self._refused_at, self._answered_at)
        if self._refused_since is None or gap > LONGEST_EVIDENCE_GAP_SECONDS:
            self._refused_since = now
        self._refused_at = now

    def note_answered(self, entry_id: EntryId, now: float) -> None:
        """Notes which entry answered at the address."""
        gap = now - max(self._refused_at, self._answered_at)
        if self._answering_id != entry_id or gap > LONGEST_EVIDENCE_GAP_SECONDS:
            self._answering_id = entry_id
            self._answered_since = now
            # A refusal before the first answer of a new process belongs to
            # the same uninterrupted evidence against the earlier process.
            if self._refused_since and gap <= LONGEST_EVIDENCE_GAP_SECONDS:
                self._answered_since = self._refused_since
        self._answered_at = now
        self._refused_since = None

    def note_silent(self) -> None:
        """Notes an outcome that shows nothing about the process."""
        self._refused_since = None
        self._answering_id = None

    def ended_since(self, entry_id: EntryId, now: float) -> float | None:
        """Returns since when an entry has certainly not been here."""
        latest = max(self._refused_at, self._answered_at)
        if now - latest > LONGEST_EVIDENCE_GAP_SECONDS:
            return None
        if self._refused_since is not None:
            return self._refused_since
        if self._answering_id not in (None, entry_id):
            return self._answered_since
        return None


class LinkTable:
    """All peer addresses, and which of them to exchange with.

    Attributes:
        by_address: the links.
        version: counts the changes of which entries are live, and of what
            they say about themselves. Only time is not counted.
    """

    def __init__(
        self, identity: Identity, clock: Clock, near: Timing, far: Timing
    ):
        self.by_address: dict[str, Link] = {}
        self.version = 0
        self._link_by_entry: dict[EntryId | None, Link] = {}
        self._indexed_version = -1
        self.near = near
        self.far = far
        self._identity = identity
        self._clock = clock

    def add(self, address: str) -> Link | None:
        """Returns the link of an address; None for the own one."""
        if not address or address == self._identity.address:
            return None
        return self.by_address.setdefault(address, Link(address))

    def forget(self, known: set[str]) -> None:
        """Drops links that are neither known nor were heard of lately."""
        limit = self._clock.now() - 10 * self.far.dead_after
        for address, link in list(self.by_address.items()):
            if address not in known and link.last_heard < limit:
                del self.by_address[address]
                self.version += 1

    def of_entry(self, entry_id: EntryId) -> Link | None:
        """Returns the link where an entry was last heard from."""
        if self._indexed_version != self.version:
            self._indexed_version = self.version
            # The first link of an entry counts.
            self._link_by_entry = {
                link.entry_id: link
                for link in reversed(self.by_address.values())
                if link.exchange is not None
            }
        return self._link_by_entry.get(entry_id)

    def live(self) -> Iterator[Link]:
        """Yields the live links."""
        for link in self.by_address.values():
            if self.is_live(link):
                yield link

    def is_live(self, link: Link) -> bool:
        """Tells whether a link is live; it then has an exchange."""
        return link.exchange is not None and (
            self._clock.now() < link.live_until
        )

    def timing(self, link: Link) -> Timing:
        """Returns the timing of a link."""
        near = link.data_centre_id == self._identity.data_centre_id
        return self.near if near else self.far

    def wanted(self, link: Link) -> bool:
        """Tells whether this entry sends exchanges to an address.

        All of the own data centre, all whose data centre is not known yet,
        and one of each other data centre.
        """
        own = self._identity.data_centre_id
        if link.data_centre_id in (None, own):
            return True
        now = self._clock.now()
        addresses = [
            each.address
            for each in self.by_address.values()
            if each.data_centre_id == link.data_centre_id
            and each.skip_until <= now
        ]
        if not addresses:
            return True
        return rendezvous(self._identity.entry_id, addresses) == link.address

    def answered(self, link: Link, exchange: Exchange) -> None:
        """Notes an answered exchange."""
        link.failing = False
        link.skip_until = 0.0
        link.note_answered(exchange.entry_id, self._clock.now())
        if exchange.entry_id == self._identity.entry_id:
            # The own process under another address.
            self._set_exchange(link, None)
            return
        self._refresh(link, exchange)

    def heard(self, link: Link | None, exchange: Exchange) -> None:
        """Notes an exchange that the peer sent.

        It keeps the peer live only while the own exchanges reach it, too.
        """
        if link is None:
            return
        if link.entry_id != exchange.entry_id:
            link.failing = False
        if link.failing:
            self._set_exchange(link, exchange)
            return
        self._refresh(link, exchange)

    def failed(self, link: Link, refused: bool) -> None:
        """Notes an exchange without an answer."""
        now = self._clock.now()
        link.failing = True
        link.skip_until = now + 2 * self.far.dead_after
        if refused:
            link.note_refused(now)
            link.live_until = 0.0
            self.version += 1
        else:
            link.note_silent()

    def _refresh(self, link: Link, exchange: Exchange) -> None:
        now = self._clock.now()
        for other in self.by_address.values():
            # An entry that changed its address is found at the new one only.
            if other is not link and other.entry_id == exchange.entry_id:
                self._set_exchange(other, None)
        if not self.is_live(link):
            self.version += 1
        self._set_exchange(link, exchange)
        link.data_centre_id = exchange.data_centre_id
        link.last_heard = now
        link.live_until = now + self.timing(link).dead_after

    def _set_exchange(self, link: Link, exchange: Exchange | None) -> None:
        if _said(link.exchange) != _said(exchange):
            self.version += 1
        link.exchange = exchange


def _said(exchange: Exchange | None) -> tuple | None:
    """Returns the part of an exchange that decides who is live."""
    if exchange is None:
        return None
    return (
        exchange.entry_id,
        exchange.data_centre_id,
        exchange.member,
        exchange.stopping,
    )
