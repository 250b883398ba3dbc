"""Bounds for the connections and bytes of clients, derived from a machine."""

import resource

import msgspec

# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Memory of an open connection without a request: the protocol and parser
# objects, the transport and what the kernel keeps for the socket.
CONNECTION_BYTES = 10 << 10
# Kernel buffer for bytes that were received and not yet read.
SOCKET_BUFFER_BYTES = 32 << 10
# Bytes that may be received of a request that waits for memory: one read and
# the kernel buffer.
WAITING_BYTES = 3 * SOCKET_BUFFER_BYTES
# Smallest bounds, for machines on which the derivation gives less.
MIN_CONNECTIONS = 16
MIN_RECEIVED_BYTES = 1 << 20

MEBIBYTE = 1 << 20

# Share of the memory that is for clients, and the parts of that share.
CLIENT_SHARE = 1 / 3
CONNECTIONS_PART = 0.16
RECEIVED_PART = 0.45
PROCESSED_PART = 0.18
WAITING_PART = 0.21


class LegalBounds(msgspec.Struct, frozen=True):
    """What a client within the published limits may do.

    Attributes:
        header_bytes: size of a header section, without its request line.
        body_bytes: size of a body.
        header_s: time from the first byte of a header section to its end.
        idle_s: time for which a connection may wait for its next request.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_s: float = 3.0
    idle_s: float = 15.0


class ClientBounds(msgspec.Struct, frozen=True):
    """Bounds for all clients of a process together.

    Attributes:
        connections: maximum number of open connections.
        received_bytes: memory for header sections and bodies, from their
            first byte to the end of the response.
        processed_bytes: memory for the copies that are made of complete
            bodies.
        body_copies: number of these copies.
        address_share: share of the connections and bytes that one address may
            hold.
        large_share: share of `received_bytes` that requests larger than
            `small_bytes` may hold. The rest is kept for ordinary requests.
        small_bytes: cost up to which a request is an ordinary one.
        progress_s: time for the next `progress_bytes` of a body, or its end.
        progress_bytes: part of a body that has to arrive in that time.
        unread_s: time in which a client reads `progress_bytes` of its
            responses, or the rest; at most the time for idle connections.
        waiting: maximum number of requests that wait for memory with their
            body unread.
        waiting_s: maximum time for which a request waits for memory.
        stall_s: an incomplete request may be closed in favour of another one
            if its header section took this time, or the next
            `progress_bytes` of its body.
        linger_s: time for which a closed connection's input is discarded, so
            that the client can read the refusal.
    """

    connections: int
    received_bytes: int
    processed_bytes: int
    waiting: int
    body_copies: int = 4
    address_share: float = 0.8
    large_share: float = 0.9
    small_bytes: int = 65_536
    progress_s: float = 3.0
    progress_bytes: int = 1024
    unread_s: float = 5.0
    waiting_s: float = 1.0
    stall_s: float = 0.5
    linger_s: float = 0.5


def derive_bounds(
    memory_mb: float, max_fds: int, **chosen: float | None
) -> ClientBounds:
    """Derives the bounds from the resources of a machine.

    A third of the memory is for clients; the rest is for the process itself
    and the duties of a controller. Half of the descriptors that are not
    reserved for files are kept for the links to other services.

    Args:
        memory_mb: memory of the process in MiB.
        max_fds: maximum number of descriptors of the process.
        **chosen: fields of `ClientBounds` that are set explicitly; None
            stands for the derived value or the default.

    Returns:
        The bounds.
    """
    client_bytes = memory_mb * MEBIBYTE * CLIENT_SHARE
    connections = min(
        int(client_bytes * CONNECTIONS_PART) // CONNECTION_BYTES,
        (usable_descriptors(max_fds) - FILE_DESCRIPTORS) // 2,
    )
    received_bytes = int(client_bytes * RECEIVED_PART)
    processed_bytes = int(client_bytes * PROCESSED_PART)
    waiting = int(client_bytes * WAITING_PART) // WAITING_BYTES
    derived = ClientBounds(
        connections=max(connections, MIN_CONNECTIONS),
        received_bytes=max(received_bytes, MIN_RECEIVED_BYTES),
        processed_bytes=max(processed_bytes, MIN_RECEIVED_BYTES),
        waiting=max(waiting, 1),
    )
    given = {name: value for name, value in chosen.items() if value is not None}
    return msgspec.structs.replace(derived, **given)


def usable_descriptors(max_fds: int) -> int:
    """Returns a limit on descriptors, or that of the process if it is lower."""
    own_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if own_limit == resource.RLIM_INFINITY:
        return max_fds
    return min(max_fds, own_limit)
