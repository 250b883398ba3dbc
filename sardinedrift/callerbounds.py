"""Bounds for the callers of our own interface."""

from collections.abc import Callable

from loguru import logger

from sardinedrift.boundedserver import BoundedServer, ClientObserver
from sardinedrift.clientbounds import ClientBounds, LegalBounds, derive_bounds
from sardinedrift.clientlimits import ClientLimits
from sardinedrift.clientrecords import Cause
from sardinedrift.identifiers import Outcome
from sardinedrift.metrics import Metrics
from sardinedrift.settings import Limits

# A body is kept, to be sent again, while its request runs.
BODY_COPIES = 1


class _Observer(ClientObserver):
    """Counts and logs what the bounds for callers refused or closed."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def count(self, cause: Cause) -> None:
        self._metrics.connections_refused.labels(cause.value).inc()

    def report(self, cause: Cause, count: int) -> None:
        logger.bind(
            event="clients_limited", cause=cause.value, count=count
        ).warning("callers were limited")


def new_server(
    limits: Limits, metrics: Metrics, handler: Callable, **options
) -> BoundedServer:
    """Returns a server for callers.

    Args:
        limits: settings of the entry.
        metrics: metrics of the entry.
        handler: handles the requests.
        **options: further arguments of `BoundedServer`.
    """
    legal = legal_bounds(limits)
    return BoundedServer(
        handler,
        ClientLimits(client_bounds(limits), legal),
        _Observer(metrics),
        lambda: legal,
        # An earlier request with the same id may have run.
        outcome=Outcome.UNKNOWN,
        **options,
    )


def client_bounds(limits: Limits) -> ClientBounds:
    """Returns the bounds for all callers together."""
    return derive_bounds(
        limits.memory_mb,
        limits.max_fds,
        connections=limits.max_connections,
        received_bytes=limits.max_received_bytes,
        body_copies=BODY_COPIES,
        progress_s=limits.body_progress_seconds,
        unread_s=limits.response_unread_seconds,
        waiting_s=limits.memory_wait_seconds,
    )


def legal_bounds(limits: Limits) -> LegalBounds:
    """Returns what one caller may do."""
    return LegalBounds(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_s=limits.header_timeout_seconds,
        idle_s=limits.idle_timeout_seconds,
    )
