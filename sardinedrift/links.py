"""State of one peer address and evidence that its process has ended."""

from typing import NamedTuple

import xxhash

from sardinedrift.identifiers import DataCentreId, EntryId
from sardinedrift.messages import Exchange

# A longer gap between two observations of an ended process counts as an
# interruption: this process may have been paused between them.
MAX_EVIDENCE_GAP_SECONDS = 1.5
# After an address began to refuse connections or to answer as another entry, it
# is checked without such gaps for this long. Recording an entry as gone takes
# at most 6 s of evidence.
SETTLE_PERIOD_SECONDS = 10.0


class Timing(NamedTuple):
    """Timing of the exchanges with a peer.

    Attributes:
        interval: seconds between two exchanges.
        dead_after: seconds without an exchange after which a peer is no
            longer live.
    """

    interval: float
    dead_after: float

    @property
    def timeout(self) -> float:
        """Timeout of one exchange, in seconds."""
        return self.dead_after * 2 / 3

    def with_min_interval(self, interval: float) -> "Timing":
        """Returns a timing with at least this interval and the same slack."""
        if interval <= self.interval:
            return self
        return Timing(interval, self.dead_after + interval - self.interval)


class Link:
    """One peer address.

    Attributes:
        exchange: last exchange received from this address.
        live_until: unix seconds until which the peer is live.
        failing: whether the last exchange sent to it was not answered.
        skip_until: unix seconds until which a failing entry of another data
            centre is not retried.
        received_at: unix seconds at which the last exchange was received.
        sent_at: unix seconds at which the last exchange was sent.
        phase: offset of the exchanges as a fraction of the interval, from 0
            to 1; derived from the address.
    """

    def __init__(self, address: str):
        self.address = address
        self.data_centre_id: DataCentreId | None = None
        self.exchange: Exchange | None = None
        self.live_until = 0.0
        self.failing = False
        self.skip_until = 0.0
        self.received_at = 0.0
        self.sent_at = 0.0
        self.phase = xxhash.xxh3_64_intdigest(address.encode()) / 2**64
        self._process_changed_at = 0.0
        self._last_answering_id: EntryId | None = None
        self._refused_since: float | None = None
        self._refused_at = 0.0
        self._answering_id: EntryId | None = None
        self._answered_since = 0.0
        self._answered_at = 0.0

    @property
    def entry_id(self) -> EntryId | None:
        """Entry that sent the last exchange from this address."""
        return self.exchange.entry_id if self.exchange else None

    def record_refused(self, now: float) -> None:
        """Records that the address refused a connection."""
        if self._refused_since is None:
            self._process_changed_at = now
        gap = now - max(self._refused_at, self._answered_at)
        if self._refused_since is None or gap > MAX_EVIDENCE_GAP_SECONDS:
            self._refused_since = now
        self._refused_at = now

    def record_answered(self, entry_id: EntryId, now: float) -> None:
        """Records which entry answered at the address."""
        if self._last_answering_id not in (None, entry_id):
            self._process_changed_at = now
        self._last_answering_id = entry_id
        gap = now - max(self._refused_at, self._answered_at)
        if self._answering_id != entry_id or gap > MAX_EVIDENCE_GAP_SECONDS:
            self._answering_id = entry_id
            self._answered_since = now
            # A refusal before the first answer of a new process belongs to
            # the same uninterrupted evidence against the earlier process.
            if self._refused_since and gap <= MAX_EVIDENCE_GAP_SECONDS:
                self._answered_since = self._refused_since
        self._answered_at = now
        self._refused_since = None

    def record_inconclusive(self) -> None:
        """Records an outcome that is no evidence about the process."""
        self._refused_since = None
        self._answering_id = None

    def is_settled(self, now: float) -> bool:
        """Returns whether there was no sign of a process change recently."""
        return not 0 <= now - self._process_changed_at < SETTLE_PERIOD_SECONDS

    def ended_since(self, entry_id: EntryId, now: float) -> float | None:
        """Returns since when an entry has certainly not used this address.

        Returns:
            Unix seconds, or None without such evidence.
        """
        latest = max(self._refused_at, self._answered_at)
        if now - latest > MAX_EVIDENCE_GAP_SECONDS:
            return None
        if self._refused_since is not None:
            return self._refused_since
        if self._answering_id not in (None, entry_id):
            return self._answered_since
        return None
