"""Counts requests and records the exceptional ones in the timeline."""

import contextlib
from collections.abc import Callable, Iterator

from sardinedrift.admission import Admitted
from sardinedrift.exceptions import AdmissionError
from sardinedrift.identifiers import Offset, Outcome, TeamId, WorkClass
from sardinedrift.metrics import Metrics
from sardinedrift.timeline import EventKind, Timeline


class RequestObserver:
    """Interface that receives request events; the default ignores them."""

    def refused(self, admitted: Admitted, error: AdmissionError) -> None:
        """Records a request that ends without an answer."""

    def admission_refused(self, error: AdmissionError) -> None:
        """Records a request that was not admitted."""

    def retried(self, admitted: Admitted, reason: str) -> None:
        """Records that a request is sent again."""

    def waited(self, work_class: WorkClass, seconds: float) -> None:
        """Records the time for which a request waited for its slot."""

    @contextlib.contextmanager
    def running(self, team_id: TeamId) -> Iterator[None]:
        """Returns a context in which a request runs on a minion."""
        yield


class Recorder(RequestObserver):
    """Records metrics and events of the request path.

    Args:
        metrics: receives the counts.
        events: timeline that receives refusals, retries and unknown outcomes.
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
        """Records a request that ends without an answer."""
        self._metrics.count_refused(error.code)
        kind = EventKind.REQUEST_REFUSED
        if error.outcome is Outcome.UNKNOWN:
            self._metrics.count_unknown(admitted.team_id)
            kind = EventKind.REQUEST_UNKNOWN
        self._record(kind, admitted, error.code)

    def admission_refused(self, error: AdmissionError) -> None:
        """Records a request that was not admitted."""
        self._metrics.count_refused(error.code)

    def retried(self, admitted: Admitted, reason: str) -> None:
        """Records that a request is sent again."""
        self._metrics.retried.inc()
        self._record(EventKind.REQUEST_RETRIED, admitted, reason)

    def waited(self, work_class: WorkClass, seconds: float) -> None:
        """Records the time for which a request waited for its slot."""
        self._metrics.observe_wait(work_class, seconds)

    @contextlib.contextmanager
    def running(self, team_id: TeamId) -> Iterator[None]:
        """Counts a request as running within the context."""
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
