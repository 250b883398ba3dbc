"""Decides which connections and requests of clients are admitted, without I/O.

Every decision is a function of the recorded clients and of the time that is
passed in.
"""

from collections import Counter
from collections.abc import Iterable, Iterator

from sardinedrift.clientbounds import ClientBounds, LegalBounds
from sardinedrift.clientrecords import Cause, Client, Expired, Phase

# Clocks of client and server and the network delay the bytes of a legal client.
TIMING_MARGIN_S = 0.25
# Rate of decoding the lines of chunked bodies with very many chunks, and the
# time for which that may be ahead; a line takes about 0.7 us.
CHUNK_LINES_PER_S = 200_000
CHUNK_LINES_BURST_S = 0.25
# Idle connections compared to find one of the address with the most.
IDLE_COMPARED = 32
# A parsed header section is kept as received bytes, as fields and decoded.
_HEAD_COPIES = 3
# Objects of one header line after parsing.
_LINE_BYTES = 400
# The parts of a body and their collection, which grows by an eighth.
_BODY_PARTS = 1.125


class ClientLimits:
    """Admits connections, requests and bodies within the bounds.

    Args:
        bounds: bounds for all clients together.
        legal: what a client within the published limits may do.

    Attributes:
        bounds: bounds for all clients together.
        legal: what a client within the published limits may do.
        received: memory charged for header sections and bodies.
        processed: memory charged for copies of complete bodies.
        connections: number of open connections.
    """

    def __init__(self, bounds: ClientBounds, legal: LegalBounds):
        self.bounds = bounds
        self.legal = legal
        self.received = 0
        self.processed = 0
        self.connections = 0
        self._lines_decoded_at = 0.0
        # In the order in which the phase began.
        self._clients_by_phase: dict[Phase, dict[Client, None]] = {
            phase: {} for phase in Phase
        }
        self._connections_by_address: Counter[str] = Counter()
        self._received_by_address: Counter[str] = Counter()

    def clients(self, phase: Phase) -> Iterable[Client]:
        """Returns the clients in a phase, the longest waiting first."""
        return self._clients_by_phase[phase].keys()

    def connect(self, address: str, now: float) -> Client:
        """Records a new connection, whether or not it fits the bounds."""
        client = Client(address, since=now)
        self._clients_by_phase[client.phase][client] = None
        self._connections_by_address[address] += 1
        self.connections += 1
        return client

    def excess_connection(self, newest: Client, now: float) -> Client | None:
        """Returns the connection to close after `newest` was opened.

        Returns:
            None within the bounds. Else an idle connection, or one whose
            request is incomplete and slow, and the newest otherwise.
        """
        address_bound = self.bounds.connections * self.bounds.address_share
        address = newest.address
        if self._connections_by_address[address] > address_bound:
            return self._least_useful(newest, now, address) or newest
        if self.connections > self.bounds.connections:
            return self._least_useful(newest, now, None) or newest
        return None

    def disconnect(self, client: Client) -> None:
        """Records the end of a connection, but not that of its request."""
        del self._clients_by_phase[client.phase][client]
        client.phase = Phase.CLOSED
        _subtract(self._connections_by_address, client.address, 1)
        self.connections -= 1

    def enter(self, client: Client, phase: Phase, now: float) -> None:
        """Records that a connection entered a phase.

        The charges end with the request: in the phases IDLE and CLOSING.
        """
        del self._clients_by_phase[client.phase][client]
        self._clients_by_phase[phase][client] = None
        client.phase = phase
        client.since = client.window_at = now
        client.window_bytes = 0
        if phase in (Phase.IDLE, Phase.CLOSING):
            self.release(client)

    def note_bytes(self, client: Client, count: int, now: float) -> None:
        """Records that bytes of a body arrived."""
        client.window_bytes += count
        if client.window_bytes >= self.bounds.progress_bytes:
            client.window_at = now
            client.window_bytes = 0

    def hold(self, client: Client, cost: int) -> bool:
        """Charges a request with its memory from its head to its response.

        Returns:
            Whether it fits the bounds. Otherwise the earlier charge remains.
        """
        added = cost - client.received
        if added > 0 and not self._fits(client, cost, added):
            return False
        client.received = cost
        self.received += added
        self._received_by_address[client.address] += added
        return True

    def process(self, client: Client, body_bytes: int) -> bool:
        """Charges a complete body with the copies that are made of it.

        Returns:
            Whether they fit the bounds; alone, a body always does.
        """
        cost = self.bounds.body_copies * body_bytes
        total = self.processed + cost
        if self.processed and total > self.bounds.processed_bytes:
            return False
        client.processed = cost
        self.processed = total
        return True

    def release(self, client: Client) -> None:
        """Ends the charges for a request."""
        self.received -= client.received
        self.processed -= client.processed
        _subtract(self._received_by_address, client.address, client.received)
        client.received = client.processed = 0

    def request_cost(self, head_bytes: int, lines: int, body_bytes: int) -> int:
        """Returns the memory of a request until its response.

        Args:
            head_bytes: size of the header section.
            lines: number of its lines.
            body_bytes: declared size of the body. A larger body than a legal
                one is refused before that much of it is kept.
        """
        kept = min(body_bytes, self.legal.body_bytes)
        head_cost = _HEAD_COPIES * head_bytes + _LINE_BYTES * lines
        return head_cost + int(_BODY_PARTS * kept)

    def slow_requests(
        self, client: Client, cost: int, now: float
    ) -> list[Client]:
        """Returns slow requests to close so that another one fits.

        Those come first whose address holds the most memory, and then those
        that have been slow for the longest time.

        Args:
            client: the connection of the request.
            cost: memory of the request.
            now: the time.

        Returns:
            An empty list if closing requests would not make it fit.
        """
        added = cost - client.received
        address = client.address
        missing = added - self._total_room(cost)
        missing_of_address = added - self._address_room(address, cost)
        chosen: list[Client] = []
        for candidate in self._slow(now, self._received_by_address):
            if max(missing, missing_of_address) <= 0:
                break
            if candidate is client or not candidate.received:
                continue
            if missing > 0 or candidate.address == address:
                chosen.append(candidate)
                missing -= candidate.received
            if candidate.address == address:
                missing_of_address -= candidate.received
        return chosen if max(missing, missing_of_address) <= 0 else []

    def may_wait(self) -> bool:
        """Whether one more request may wait with its body unread."""
        return len(self._clients_by_phase[Phase.WAITING]) < self.bounds.waiting

    def may_decode(self, lines: int, now: float) -> bool:
        """Whether further lines of chunked bodies may be decoded now.

        Bodies of very small chunks would otherwise take the processor time of
        other requests.

        Args:
            lines: number of lines, which count as decoded if they may be.
            now: the time.
        """
        if self._lines_decoded_at > now + CHUNK_LINES_BURST_S:
            return False
        earliest = max(self._lines_decoded_at, now)
        self._lines_decoded_at = earliest + lines / CHUNK_LINES_PER_S
        return True

    @property
    def has_waiting(self) -> bool:
        """Whether a request waits for memory."""
        by_phase = self._clients_by_phase
        return bool(by_phase[Phase.READY] or by_phase[Phase.WAITING])

    def waiting(self) -> list[Client]:
        """Returns the requests that wait for memory, the next one first.

        Complete ones come first, then those whose address holds the least.
        """
        held = self._received_by_address
        unread = sorted(
            self._clients_by_phase[Phase.WAITING],
            key=lambda each: (held[each.address], each.since),
        )
        return [*self._clients_by_phase[Phase.READY], *unread]

    def note_unread(
        self, client: Client, sent: int, unread: int, now: float
    ) -> bool:
        """Records how much of its responses a client has not read yet.

        Args:
            client: the connection.
            sent: size of all responses on it so far.
            unread: part of that size that the client has not confirmed.
            now: the time.

        Returns:
            Whether the client did not read enough in time.
        """
        read = sent - unread
        if not unread or read >= client.read_bytes + self.bounds.progress_bytes:
            client.read_bytes = read
            client.read_at = now
        allowed_s = min(self.bounds.unread_s, self.legal.idle_s)
        return now >= client.read_at + allowed_s + TIMING_MARGIN_S

    def postpone(self, late_s: float, now: float) -> None:
        """Moves all deadlines after a time in which nothing could be read.

        Args:
            late_s: that time in seconds.
            now: the time, beyond which no start of a deadline is moved.
        """
        for clients in self._clients_by_phase.values():
            for client in clients:
                client.since = min(client.since + late_s, now)
                client.window_at = min(client.window_at + late_s, now)
                client.read_at = min(client.read_at + late_s, now)

    def expired(self, now: float) -> Iterator[Expired]:
        """Yields the clients whose deadline has passed."""
        margin_s = TIMING_MARGIN_S
        durations = (
            (Phase.HEAD, self.legal.header_s + margin_s, Cause.HEADER_TIME),
            (Phase.IDLE, self.legal.idle_s + margin_s, None),
            (Phase.WAITING, self.bounds.waiting_s, Cause.MEMORY),
            (Phase.READY, self.bounds.waiting_s, Cause.MEMORY),
            (Phase.CLOSING, self.bounds.linger_s, None),
        )
        for phase, duration_s, cause in durations:
            for client in self._clients_by_phase[phase]:
                if now < client.since + duration_s:
                    break
                yield Expired(client, cause)
        for client in self._clients_by_phase[Phase.BODY]:
            if now >= client.window_at + self.bounds.progress_s:
                yield Expired(client, Cause.BODY_TIME)

    def _fits(self, client: Client, cost: int, added: int) -> bool:
        """Whether a request fits the bounds; alone, it always does."""
        if self.received == client.received:
            return True
        return added <= min(
            self._total_room(cost), self._address_room(client.address, cost)
        )

    def _total_room(self, cost: int) -> float:
        """Returns the memory left for a request of this cost."""
        return self._bound(cost) - self.received

    def _address_room(self, address: str, cost: int) -> float:
        """Returns the rest of an address's share for such a request."""
        share = self._bound(cost) * self.bounds.address_share
        return share - self._received_by_address[address]

    def _bound(self, cost: int) -> float:
        bound = self.bounds.received_bytes
        if cost <= self.bounds.small_bytes:
            return bound
        return bound * self.bounds.large_share

    def _slow(self, now: float, held: Counter[str]) -> list[Client]:
        """Returns slow incomplete requests, first those to close first.

        Args:
            now: the time.
            held: what each address holds; that with the most comes first.
        """
        latest = now - self.bounds.stall_s
        slow = [
            client
            for phase in (Phase.HEAD, Phase.BODY)
            for client in self._clients_by_phase[phase]
            if client.window_at <= latest
        ]
        slow.sort(key=lambda each: (-held[each.address], each.window_at))
        return slow

    def _least_useful(
        self, newest: Client, now: float, address: str | None
    ) -> Client | None:
        """Returns the connection to close first.

        Args:
            newest: a connection that is not considered.
            now: the time.
            address: the address to which the search is restricted, if any.
        """
        idle = self._oldest_idle(newest, now, address)
        if idle:
            return max(
                idle,
                key=lambda each: self._connections_by_address[each.address],
            )
        for client in self._slow(now, self._connections_by_address):
            if address in (None, client.address):
                return client
        return None

    def _oldest_idle(
        self, newest: Client, now: float, address: str | None
    ) -> list[Client]:
        found: list[Client] = []
        for client in self._clients_by_phase[Phase.IDLE]:
            too_new = client.since > now - self.bounds.stall_s
            if too_new or len(found) >= IDLE_COMPARED:
                break
            if client is not newest and address in (None, client.address):
                found.append(client)
        return found


def _subtract(counter: Counter[str], address: str, amount: int) -> None:
    """Subtracts from a counter, which keeps no address without a count."""
    counter[address] -= amount
    if not counter[address]:
        del counter[address]
