"""Exceptions of the package; each layer converts those of the layer below."""

from sardinedrift.identifiers import Offset, Outcome


class SardinedriftError(Exception):
    """Base of every error of this package."""


class SettingsError(SardinedriftError):
    """A settings file is invalid.

    The message names the file, the key and the allowed values.
    """


class LogServiceError(SardinedriftError):
    """Base of the errors of the log service."""


class LogUnavailable(LogServiceError):  # noqa: N818
    """The log refused the call or was unreachable; the call had no effect."""


class AppendUnknown(LogServiceError):  # noqa: N818
    """An append may or may not have taken effect."""


class OffsetExpired(LogServiceError):  # noqa: N818
    """The requested records are older than the retention of the log.

    Attributes:
        first: oldest offset that the log retains, or None if not stated.
    """

    def __init__(self, message: str, first: Offset | None = None):
        super().__init__(message)
        self.first = first


class InstanceListError(SardinedriftError):
    """A call to the platform's instance list failed."""


class StateError(SardinedriftError):
    """A change cannot be applied to the state.

    Attributes:
        code: machine-readable reason, such as "revision_conflict".
        field: name of the invalid field, or "".
    """

    def __init__(self, code: str, message: str, field: str = ""):
        super().__init__(message)
        self.code = code
        self.field = field


class PublishUnknown(SardinedriftError):  # noqa: N818
    """A change did not appear in the log by the deadline; it still may."""


class PeerError(SardinedriftError):
    """A peer entry could not be reached or gave no valid answer.

    Attributes:
        sent: whether the peer may have received the request; False only if it
            certainly received nothing.
        refused: whether the address actively refused the connection.
    """

    def __init__(self, message: str, sent: bool = True, refused: bool = False):
        super().__init__(message)
        self.sent = sent
        self.refused = refused


class NoSnapshot(SardinedriftError):  # noqa: N818
    """Neither the log nor a peer has a complete snapshot."""


class MinionError(SardinedriftError):
    """Base of the errors of sending to a minion."""


class DialFailed(MinionError):  # noqa: N818
    """No connection could be opened, so the request was not run."""


class RefusedBeforeStart(MinionError):  # noqa: N818
    """The minion stated that it did not start the request.

    Attributes:
        draining: whether the minion accepts no work at all, as opposed to
            being at capacity.
    """

    def __init__(self, message: str, draining: bool = False):
        super().__init__(message)
        self.draining = draining


class OutcomeUnknown(MinionError):  # noqa: N818
    """Bytes were sent and no complete, matching answer was received."""


class FailedAnswer(MinionError):  # noqa: N818
    """The minion answered with a server error, which is passed on."""


class WorkerError(SardinedriftError):
    """Base of the errors of guarded workers."""


class WorkerRefused(WorkerError):  # noqa: N818
    """A worker refused an order and did nothing.

    Attributes:
        code: machine-readable reason, such as "lease_lapsed".
    """

    def __init__(self, code: str):
        super().__init__(code)
        self.code = code


class WorkerUnknown(WorkerError):  # noqa: N818
    """A worker gave no valid answer; the order may have taken effect."""


class AdmissionError(SardinedriftError):
    """A request ended without an answer from a minion.

    Attributes:
        code: machine-readable reason sent to the caller.
        status: HTTP status.
        outcome: what is known about the execution of the request.
        request_id: id of the request, or "" before it has one.
    """

    def __init__(
        self,
        code: str,
        message: str,
        status: int,
        outcome: Outcome = Outcome.NOT_RUN,
    ):
        super().__init__(message)
        self.code = code
        self.status = status
        self.outcome = outcome
        self.request_id = ""


class AdminClientError(SardinedriftError):
    """Base of the errors of the operators' client."""


class AdminRefused(AdminClientError):  # noqa: N818
    """An entry refused a request of an operator.

    Attributes:
        results: result of each change if changes were rejected, else empty.
    """

    def __init__(self, message: str, results: list | None = None):
        super().__init__(message)
        self.results = results or []


class AdminUnreachable(AdminClientError):  # noqa: N818
    """No entry could serve the call, which had no effect."""


class AdminUnknown(AdminClientError):  # noqa: N818
    """Changes may have taken effect; they can be repeated with the same ids."""
