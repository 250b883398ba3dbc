"""Records of client connections, and causes of refusals."""

import enum

import msgspec


class Cause(enum.Enum):
    """Why a request was refused or a connection closed."""

    CONNECTIONS = "connections"
    IDLE_CLOSED = "idle_closed"
    HEADER_BYTES = "header_bytes"
    HEADER_TIME = "header_time"
    BODY_BYTES = "body_bytes"
    MALFORMED = "malformed"
    CONTENT_CODING = "content_coding"
    MEMORY = "memory"
    BODY_TIME = "body_time"
    INCOMPLETE_CLOSED = "incomplete_closed"
    PIPELINED = "pipelined"
    RESPONSE_UNREAD = "response_unread"


class Phase(enum.Enum):
    """What a connection is waiting for.

    IDLE: the next request. HEAD: the rest of a header section. WAITING: memory
    for the request. BODY: the rest of a body. READY: memory for copies of the
    complete body. HANDLING: the response. CLOSING: the end of the connection,
    after a refusal. CLOSED: nothing.
    """

    IDLE = "idle"
    HEAD = "head"
    WAITING = "waiting"
    BODY = "body"
    READY = "ready"
    HANDLING = "handling"
    CLOSING = "closing"
    CLOSED = "closed"


class Client(msgspec.Struct, eq=False):
    """One connection of a client.

    Attributes:
        address: the peer.
        phase: what the connection is waiting for.
        since: when this phase began.
        window_at: start of the time allowed for the next part of a request.
        window_bytes: bytes of the body that arrived since then.
        read_bytes: size of the responses that the client had read at the
            start of the time allowed for reading more.
        read_at: start of that time.
        received: charge for the header section and the body.
        processed: charge for copies of the complete body.
    """

    address: str
    phase: Phase = Phase.IDLE
    since: float = 0.0
    window_at: float = 0.0
    window_bytes: int = 0
    read_bytes: int = 0
    read_at: float = 0.0
    received: int = 0
    processed: int = 0


class Expired(msgspec.Struct, frozen=True):
    """A client whose deadline has passed.

    Attributes:
        cause: None for a connection whose end is ordinary.
    """

    client: Client
    cause: Cause | None
