"""Links to all peer addresses: liveness and schedule of exchanges."""

from collections.abc import Callable, Iterator

import msgspec

from sardinedrift.identifiers import DataCentreId, EntryId, Identity
from sardinedrift.links import Link, Timing
from sardinedrift.messages import Exchange, Neighbour
from sardinedrift.ports import Clock
from sardinedrift.routing import rendezvous

# Limits the exchanges that one entry sends to other data centres. Each costs
# about 0.7 ms of CPU time, and as many are received.
MAX_REMOTE_EXCHANGES_PER_SECOND = 5.0
# Timers of the event loop may fire up to a millisecond early.
TIMER_TOLERANCE_SECONDS = 0.002


class LinkTable:
    """Links to all peer addresses and the selection of exchange partners.

    Attributes:
        by_address: links by address.
        version: incremented when the set of live entries, or the part of
            their exchanges that affects it, changes. Links that expire
            because time passes do not increment it.
        local_timing: timing within the data centre.
        remote_timing: shortest timing across data centres.

    Args:
        identity: this entry.
        clock: source of the current time.
        local_timing: timing within the data centre.
        remote_timing: shortest timing across data centres.
        member_addresses: returns the addresses of the members of a data
            centre.
    """

    def __init__(
        self,
        identity: Identity,
        clock: Clock,
        local_timing: Timing,
        remote_timing: Timing,
        member_addresses: Callable[[DataCentreId], set[str]],
    ):
        self.by_address: dict[str, Link] = {}
        self.version = 0
        self._link_by_entry: dict[EntryId | None, Link] = {}
        self._indexed_version = -1
        self.local_timing = local_timing
        self.remote_timing = remote_timing
        self._identity = identity
        self._clock = clock
        self._member_addresses = member_addresses

    def add(self, address: str) -> Link | None:
        """Returns the link of an address and creates it if necessary.

        Returns None for an empty address and for the one of this entry.
        """
        if not address or address == self._identity.address:
            return None
        link = self.by_address.get(address)
        if link is None:
            link = self.by_address[address] = Link(address)
        return link

    def prune(self, known: set[str]) -> None:
        """Drops links to unknown addresses that have been silent for long."""
        limit = (
            self._clock.now() - 10 * self._current_remote_timing().dead_after
        )
        for address, link in list(self.by_address.items()):
            if address not in known and link.received_at < limit:
                del self.by_address[address]
                self.version += 1

    def link_of(self, entry_id: EntryId) -> Link | None:
        """Returns the link with the last exchange of an entry, or None."""
        if self._indexed_version != self.version:
            self._indexed_version = self.version
            # In reverse, so that the first link of an entry is kept.
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
        """Returns the last exchange of each live entry.

        Members of other data centres with which this entry does not exchange
        are included as reported by their neighbours.

        Args:
            data_centre_id: restricts the result to one data centre.
        """
        direct = [
            link.exchange
            for link in self.live()
            if data_centre_id in (None, link.exchange.data_centre_id)
        ]
        exchange_by_entry = {each.entry_id: each for each in direct}
        for exchange in direct:
            for each in self._reported_exchanges(exchange):
                exchange_by_entry.setdefault(each.entry_id, each)
        return list(exchange_by_entry.values())

    def exchange_of(self, entry_id: EntryId) -> Exchange | None:
        """Returns the last exchange of a live entry, received or reported."""
        link = self.link_of(entry_id)
        if link is not None and self.is_live(link):
            return link.exchange
        for other in self.live():
            for each in self._reported_exchanges(other.exchange):
                if each.entry_id == entry_id:
                    return each
        return None

    def _reported_exchanges(self, exchange: Exchange) -> Iterator[Exchange]:
        """Yields the neighbours in an exchange, except failing ones."""
        for neighbour in exchange.neighbours:
            link = self.by_address.get(neighbour.address)
            if link is None or not link.failing:
                yield _make_reported_exchange(neighbour, exchange)

    def neighbours(self) -> list[Neighbour]:
        """Returns the other live members of the local data centre."""
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
        """Returns whether a link is live; a live link has an exchange."""
        return link.exchange is not None and (
            self._clock.now() < link.live_until
        )

    def timing(self, link: Link) -> Timing:
        """Returns the current timing of a link."""
        if link.data_centre_id == self._identity.data_centre_id:
            return self.local_timing
        if link.data_centre_id is None:
            return self.remote_timing
        return self._current_remote_timing()

    def timeout(self, link: Link) -> float:
        """Returns the timeout of one exchange on a link, in seconds."""
        is_local = link.data_centre_id == self._identity.data_centre_id
        return (self.local_timing if is_local else self.remote_timing).timeout

    def begin_if_due(self, link: Link) -> bool:
        """Returns whether to send an exchange now, and sets `sent_at` if so."""
        now = self._clock.now()
        waits = (
            link.sent_at
            <= now
            < self._due_at(link, now) - TIMER_TOLERANCE_SECONDS
        )
        if waits or not self.is_selected(link):
            return False
        link.sent_at = now
        return True

    def seconds_until_check(self, link: Link, started: float) -> float:
        """Returns the seconds to wait until a link is checked again.

        A link with a long interval is checked more often than that, so that
        a link selected to replace another need not wait for that interval.

        Args:
            link: the link.
            started: unix seconds of the current check.
        """
        now = self._clock.now()
        is_local = link.data_centre_id == self._identity.data_centre_id
        max_wait = (
            self.local_timing if is_local else self.remote_timing
        ).interval
        wait = started + max_wait - now
        until_due = self._due_at(link, now) - now
        if until_due > 0:
            wait = min(wait, until_due)
        return min(max(wait, 0.01), max_wait)

    def _due_at(self, link: Link, now: float) -> float:
        """Returns the unix seconds of the next exchange on a selected link."""
        interval = self.timing(link).interval
        if interval <= self.remote_timing.interval or not link.is_settled(now):
            return link.sent_at + min(interval, self.remote_timing.interval)
        # Each link has its own phase, because a burst of exchanges would delay
        # requests.
        phase = link.phase * interval
        # An exchange that was sent slightly early counts for the interval that
        # was about to begin.
        since_phase = link.sent_at + TIMER_TOLERANCE_SECONDS - phase
        return since_phase // interval * interval + interval + phase

    def _current_remote_timing(self) -> Timing:
        """Returns the timing for the current number of data centres.

        Data centres without live entries are counted, so that a network
        partition does not change how soon its end is detected.
        """
        data_centre_ids = {
            each.data_centre_id for each in self.by_address.values()
        }
        count = len(data_centre_ids - {None, self._identity.data_centre_id})
        return self.remote_timing.with_min_interval(
            count / MAX_REMOTE_EXCHANGES_PER_SECOND
        )

    def is_selected(self, link: Link) -> bool:
        """Returns whether this entry sends exchanges to an address.

        Selects all links of the local data centre, all links whose data
        centre is not known yet, and one member of each other data centre.
        The member is selected among the members in the log rather than among
        the live entries, because the selection affects which entries are
        live. A failing member is replaced by another and retried from time to
        time.
        """
        own = self._identity.data_centre_id
        if link.data_centre_id in (None, own):
            return True
        links = [
            each
            for each in self.by_address.values()
            if each.data_centre_id == link.data_centre_id
        ]
        members = self._member_addresses(link.data_centre_id)
        candidates = [each for each in links if each.address in members]
        candidates = candidates or links
        if link not in candidates:
            return False
        usable = [each.address for each in candidates if not each.failing]
        if link.failing:
            return not usable or link.skip_until <= self._clock.now()
        return rendezvous(self._identity.entry_id, usable) == link.address

    def record_answered(self, link: Link, exchange: Exchange) -> None:
        """Records an answered exchange."""
        self._set_failing(link, False)
        link.skip_until = 0.0
        link.record_answered(exchange.entry_id, self._clock.now())
        if exchange.entry_id == self._identity.entry_id:
            # The address is another address of this process.
            self._set_exchange(link, None)
            return
        self._refresh(link, exchange)

    def record_received(self, link: Link | None, exchange: Exchange) -> None:
        """Records an exchange that the peer sent.

        It keeps the peer live only if this entry's exchanges reach the peer as
        well.
        """
        if link is None:
            return
        if link.entry_id != exchange.entry_id:
            self._set_failing(link, False)
        if link.failing:
            self._set_exchange(link, exchange)
            return
        self._refresh(link, exchange)

    def record_failed(self, link: Link, refused: bool) -> None:
        """Records an exchange without an answer."""
        now = self._clock.now()
        self._set_failing(link, True)
        link.skip_until = now + 2 * self._current_remote_timing().dead_after
        if refused:
            link.record_refused(now)
            link.live_until = 0.0
            self.version += 1
        else:
            link.record_inconclusive()

    def _refresh(self, link: Link, exchange: Exchange) -> None:
        now = self._clock.now()
        for other in self.by_address.values():
            # An entry that has changed its address is kept at the new one only.
            if other is not link and other.entry_id == exchange.entry_id:
                self._set_exchange(other, None)
        if not self.is_live(link):
            self.version += 1
        self._set_exchange(link, exchange)
        link.data_centre_id = exchange.data_centre_id
        link.received_at = now
        link.live_until = now + self.timing(link).dead_after

    def _set_failing(self, link: Link, failing: bool) -> None:
        # Reports by other entries about a failing peer are ignored, so a change
        # of the flag can change the set of live entries.
        if link.failing != failing:
            self.version += 1
        link.failing = failing

    def _set_exchange(self, link: Link, exchange: Exchange | None) -> None:
        if _liveness_fields(link.exchange) != _liveness_fields(exchange):
            self.version += 1
        link.exchange = exchange


def _liveness_fields(exchange: Exchange | None) -> tuple | None:
    """Returns the part of an exchange that affects the set of live entries."""
    if exchange is None:
        return None
    return (
        exchange.entry_id,
        exchange.data_centre_id,
        exchange.member,
        exchange.stopping,
        tuple(each.entry_id for each in exchange.neighbours),
    )


def _make_reported_exchange(
    neighbour: Neighbour, reporting: Exchange
) -> Exchange:
    """Returns an exchange of a member as reported by its neighbour."""
    return msgspec.structs.replace(
        reporting,
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
