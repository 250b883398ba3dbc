"""One peer address: its timing, and evidence that a process has ended."""

from typing import NamedTuple

import xxhash

from sardinedrift.identifiers import DataCentreId, EntryId
from sardinedrift.messages import Exchange

# Observations of an ended process further apart than this are not seen as
# without interruption: this process may have been paused between them.
LONGEST_EVIDENCE_GAP_SECONDS = 1.5
# How long an address is observed without such gaps after it began to refuse,
# or to answer as another entry. Members need at most 6 s of evidence.
SETTLE_SECONDS = 10.0


class Timing(NamedTuple):
    """Seconds between exchanges, and until a silent peer is dead."""

    interval: float
    dead_after: float

    @property
    def timeout(self) -> float:
        """Longest duration of one exchange, in seconds."""
        return self.dead_after * 2 / 3

    def paced(self, interval: float) -> "Timing":
        """Returns a longer interval with as much time for a late answer."""
        if interval <= self.interval:
            return self
        return Timing(interval, self.dead_after + interval - self.interval)


class Link:
    """One peer address.

    Attributes:
        exchange: last exchange from this address.
        live_until: unix seconds.
        failing: the last exchange sent to it had no answer.
        skip_until: unix seconds until which a failing entry of another data
            centre is not tried again.
        last_heard: unix seconds of the last exchange.
        sent_at: unix seconds at which the last own exchange was sent.
        phase: 0 to 1, differs between links.
    """

    def __init__(self, address: str):
        self.address = address
        self.data_centre_id: DataCentreId | None = None
        self.exchange: Exchange | None = None
        self.live_until = 0.0
        self.failing = False
        self.skip_until = 0.0
        self.last_heard = 0.0
        self.sent_at = 0.0
        self.phase = xxhash.xxh3_64_intdigest(address.encode()) / 2**64
        self._changed_at = 0.0
        self._last_answering_id: EntryId | None = None
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
        if self._refused_since is None:
            self._changed_at = now
        gap = now - max(self._refused_at, self._answered_at)
        if self._refused_since is None or gap > LONGEST_EVIDENCE_GAP_SECONDS:
            self._refused_since = now
        self._refused_at = now

    def note_answered(self, entry_id: EntryId, now: float) -> None:
        """Notes which entry answered at the address."""
        if self._last_answering_id not in (None, entry_id):
            self._changed_at = now
        self._last_answering_id = entry_id
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

    def is_settled(self, now: float) -> bool:
        """Tells whether the address has shown no other process lately."""
        return not 0 <= now - self._changed_at < SETTLE_SECONDS

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
