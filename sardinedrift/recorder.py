"""Counts what happens to requests, and puts the exceptions on the time line."""

import contextlib
from collections.abc import Callable, Iterator

from sardinedrift.admission import Admitted
from sardinedrift.exceptions import AdmissionError
from sardinedrift.identifiers import Offset, Outcome, TeamId, WorkClass
from sardinedrift.metrics import Metrics
from sardinedrift.timeline import EventKind, Timeline


class RequestObserver:
    """Is told what happens to requests; this one ignores it."""

    def refused(self, admitted: Admitted, error: AdmissionError) -> None:
        """Notes a request that ends without an answer."""

    def admission_refused(self, error: AdmissionError) -> None:
        """Notes a request that was not admitted."""

    def retried(self, admitted: Admitted, reason: str) -> None:
        """Notes a send that is repeated."""

    def waited(self, work_class: WorkClass, seconds: float) -> None:
        """Notes how long a request waited for its slot."""

    @contextlib.contextmanager
    def running(self, team_id: TeamId) -> Iterator[None]:
        """Spans the time in which a request runs at a minion."""
        yield


class Recorder(RequestObserver):
    """Metrics and events of the request path.

    Args:
        metrics: gets the counts.
        events: gets refusals, retries and unknown outcomes.
        offset: returns the offset of the folded state.
    """

    def __init__(
        self,
        metrics: Metrics,
        events: Timeline,
        offset: Callable[[], Offset],
    ):
        self._metrics = metrics
        self._events = events
        self._offset = offset

    def refused(self, admitted: Admitted, error: AdmissionError) -> None:
        """Notes a request that ends without an answer."""
        self._metrics.count_refused(error.code)
        kind = EventKind.REQUEST_REFUSED
        if error.outcome is Outcome.UNKNOWN:
            self._metrics.count_unknown(admitted.team_id)
            kind = EventKind.REQUEST_UNKNOWN
        self._record(kind, admitted, error.code)

    def admission_refused(self, error: AdmissionError) -> None:
        """Notes a request that was not admitted."""
        self._metrics.count_refused(error.code)

    def retried(self, admitted: Admitted, reason: str) -> None:
        """Notes a send that is repeated."""
        self._metrics.retried.inc()
        self._record(EventKind.REQUEST_RETRIED, admitted, reason)

    def waited(self, work_class: WorkClass, seconds: float) -> None:
        """Notes how long a request waited for its slot."""
        self._metrics.observe_wait(work_class, seconds)

    @contextlib.contextmanager
    def running(self, team_id: TeamId) -> Iterator[None]:
        """Counts a request as running."""
        self._metrics.count_admitted(team_id)
        self._metrics.add_running(team_id, 1)
        try:
            yield
        finally:
            self._metrics.add_running(team_id, -1)

    def _record(self, kind: EventKind, admitted: Admitted, text: str) -> None:
        self._events.record(
            kind,
            self._offset(),
            text,
            request_id=admitted.request_id,
            team_id=admitted.team_id,
        )
