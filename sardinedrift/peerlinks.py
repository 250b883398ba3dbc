"""All peer addresses: who is live, and with whom to exchange when."""

from collections.abc import Callable, Iterator

import msgspec

from sardinedrift.identifiers import DataCentreId, EntryId, Identity
from sardinedrift.links import Link, Timing
from sardinedrift.messages import Exchange, Neighbour
from sardinedrift.ports import Clock
from sardinedrift.routing import rendezvous

# All exchanges that one entry sends to other data centres. Each costs about
# 0.7 ms of a core, and as many arrive.
FAR_EXCHANGES_PER_SECOND = 5.0
EARLY_SECONDS = 0.002


class LinkTable:
    """All peer addresses, and which of them to exchange with.

    Attributes:
        by_address: the links.
        version: counts the changes of which entries are live, and of what
            they say about themselves. Only time is not counted.

    Args:
        identity: this entry.
        clock: source of the time.
        local_timing: timing within the data centre.
        remote_timing: shortest timing across data centres.
        members: returns the addresses of the members of a data centre.
    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        local_timing: Timing,
        remote_timing: Timing,
        members: Callable[[DataCentreId], set[str]],
    ):
        self.by_address: dict[str, Link] = {}
        self.version = 0
        self._link_by_entry: dict[EntryId | None, Link] = {}
        self._indexed_version = -1
        self.local_timing = local_timing
        self.remote_timing = remote_timing
        self._identity = identity
        self._clock = clock
        self._members = members

    def add(self, address: str) -> Link | None:
        """Returns the link of an address; None for the own one."""
        if not address or address == self._identity.address:
            return None
        link = self.by_address.get(address)
        if link is None:
            link = self.by_address[address] = Link(address)
        return link

    def prune(self, known: set[str]) -> None:
        """Drops links that are neither known nor were heard of lately."""
        limit = self._clock.now() - 10 * self._far_paced().dead_after
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

    def exchanges(
        self, data_centre_id: DataCentreId | None = None
    ) -> list[Exchange]:
        """Returns the last exchange of each live entry, of one data centre.

        Members of other data centres with which this entry does not exchange
        are included as their neighbours describe them.
        """
        direct = [
            link.exchange
            for link in self.live()
            if data_centre_id in (None, link.exchange.data_centre_id)
        ]
        found = {each.entry_id: each for each in direct}
        for exchange in direct:
            for each in self._reported(exchange):
                found.setdefault(each.entry_id, each)
        return list(found.values())

    def exchange_of(self, entry_id: EntryId) -> Exchange | None:
        """Returns the last exchange of a live entry."""
        link = self.of_entry(entry_id)
        if link is not None and self.is_live(link):
            return link.exchange
        for other in self.live():
            for each in self._reported(other.exchange):
                if each.entry_id == entry_id:
                    return each
        return None

    def _reported(self, exchange: Exchange) -> Iterator[Exchange]:
        """Yields what an exchange tells of others, but those known to fail."""
        for neighbour in exchange.neighbours:
            link = self.by_address.get(neighbour.address)
            if link is None or not link.failing:
                yield _reported(neighbour, exchange)

    def neighbours(self) -> list[Neighbour]:
        """Returns the live members of the own data centre, without itself."""
        return [
            Neighbour(
                entry_id=each.entry_id,
                address=each.address,
                ready=each.ready,
                offset=each.offset,
                current_at=each.current_at,
                spare_by_team=each.spare_by_team,
            )
            for each in (link.exchange for link in self.live())
            if each.data_centre_id == self._identity.data_centre_id
            and each.member
            and not each.stopping
        ]

    def is_live(self, link: Link) -> bool:
        """Tells whether a link is live; it then has an exchange."""
        return link.exchange is not None and (
            self._clock.now() < link.live_until
        )

    def timing(self, link: Link) -> Timing:
        """Returns the timing of a link."""
        if link.data_centre_id == self._identity.data_centre_id:
            return self.local_timing
        if link.data_centre_id is None:
            return self.remote_timing
        return self._far_paced()

    def timeout(self, link: Link) -> float:
        """Returns the longest duration of one exchange, in seconds."""
        near = link.data_centre_id == self._identity.data_centre_id
        return (self.local_timing if near else self.remote_timing).timeout

    def begin_if_due(self, link: Link) -> bool:
        """Tells whether to send an exchange now, and notes that it is sent."""
        now = self._clock.now()
        # Timers of the event loop may end up to a millisecond early.
        waits = link.sent_at <= now < self._due_at(link, now) - EARLY_SECONDS
        if waits or not self.is_selected(link):
            return False
        link.sent_at = now
        return True

    def seconds_until_check(self, link: Link, started: float) -> float:
        """Returns the seconds to wait until the next look at a link.

        A link with a long interval is looked at more often, so that one that
        becomes wanted in place of another does not wait, too.

        Args:
            link: the link.
            started: unix seconds of this look.
        """
        now = self._clock.now()
        near = link.data_centre_id == self._identity.data_centre_id
        longest = (self.local_timing if near else self.remote_timing).interval
        rest = started + longest - now
        until_due = self._due_at(link, now) - now
        if until_due > 0:
            rest = min(rest, until_due)
        return min(max(rest, 0.01), longest)

    def _due_at(self, link: Link, now: float) -> float:
        """Returns the unix seconds of the next exchange with a wanted link."""
        interval = self.timing(link).interval
        if interval <= self.remote_timing.interval or not link.is_settled(now):
            return link.sent_at + min(interval, self.remote_timing.interval)
        # Each link has its own phase; all at once would hold up requests.
        phase = link.phase * interval
        # One that was sent early belongs to the interval that it began.
        since_phase = link.sent_at + EARLY_SECONDS - phase
        return since_phase // interval * interval + interval + phase

    def _far_paced(self) -> Timing:
        """Returns the timing at the present number of data centres.

        The number does not depend on who is live, so that a cut does not
        change how soon its end is noticed.
        """
        places = {each.data_centre_id for each in self.by_address.values()}
        count = len(places - {None, self._identity.data_centre_id})
        return self.remote_timing.paced(count / FAR_EXCHANGES_PER_SECOND)

    def is_selected(self, link: Link) -> bool:
        """Tells whether this entry sends exchanges to an address.

        All of the own data centre, all whose data centre is not known yet,
        and one member of each other data centre. The choice depends on the
        members in the log and not on who was heard of lately: a choice among
        live entries would change that set itself. A member that fails is
        replaced by another and tried again from time to time.
        """
        own = self._identity.data_centre_id
        if link.data_centre_id in (None, own):
            return True
        links = [
            each
            for each in self.by_address.values()
            if each.data_centre_id == link.data_centre_id
        ]
        members = self._members(link.data_centre_id)
        candidates = [each for each in links if each.address in members]
        candidates = candidates or links
        if link not in candidates:
            return False
        usable = [each.address for each in candidates if not each.failing]
        if link.failing:
            return not usable or link.skip_until <= self._clock.now()
        return rendezvous(self._identity.entry_id, usable) == link.address

    def note_answered(self, link: Link, exchange: Exchange) -> None:
        """Notes an answered exchange."""
        self._set_failing(link, False)
        link.skip_until = 0.0
        link.note_answered(exchange.entry_id, self._clock.now())
        if exchange.entry_id == self._identity.entry_id:
            # The own process under another address.
            self._set_exchange(link, None)
            return
        self._refresh(link, exchange)

    def note_received(self, link: Link | None, exchange: Exchange) -> None:
        """Notes an exchange that the peer sent.

        It keeps the peer live only while the own exchanges reach it, too.
        """
        if link is None:
            return
        if link.entry_id != exchange.entry_id:
            self._set_failing(link, False)
        if link.failing:
            self._set_exchange(link, exchange)
            return
        self._refresh(link, exchange)

    def note_failed(self, link: Link, refused: bool) -> None:
        """Notes an exchange without an answer."""
        now = self._clock.now()
        self._set_failing(link, True)
        link.skip_until = now + 2 * self._far_paced().dead_after
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

    def _set_failing(self, link: Link, failing: bool) -> None:
        # What others report of a failing peer does not count.
        if link.failing != failing:
            self.version += 1
        link.failing = failing

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
        tuple(each.entry_id for each in exchange.neighbours),
    )


def _reported(neighbour: Neighbour, by: Exchange) -> Exchange:
    """Returns the exchange of a member as another one describes it."""
    return msgspec.structs.replace(
        by,
        entry_id=neighbour.entry_id,
        address=neighbour.address,
        member=True,
        ready=neighbour.ready,
        stopping=False,
        offset=neighbour.offset,
        current_at=neighbour.current_at,
        spare_by_team=neighbour.spare_by_team,
        held={},
        spare_confirmed={},
        contended_use={},
        neighbours=[],
    )
