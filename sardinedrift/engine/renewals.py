"""What became of the renewals of a worker's lease."""

import enum

from sardinedrift.engine.ports import ReportRequest, WorkerReport


class RenewalOutcome(enum.Enum):
    """Outcome of a report request that the worker answered.

    Attributes:
        SENT: the request carried a lease.
        OTHER_CONNECTION: the lease was left out, as the connection may lead to
            another process than the one that it was computed for.
        NOT_DUE: the request had no lease: the worker was suspect, or its clock
            was not known.
    """

    SENT = "sent"
    OTHER_CONNECTION = "other_connection"
    NOT_DUE = "not_due"

    @classmethod
    def of(
        cls, request: ReportRequest, report: WorkerReport
    ) -> "RenewalOutcome":
        """Returns the outcome of an answered request."""
        if request.lease_ms is None:
            return cls.NOT_DUE
        return cls.SENT if report.addressed else cls.OTHER_CONNECTION


class RenewalHistory:
    """Renewals of the lease of one worker process.

    Attributes:
        sent_at: boot-time clock of the last request that carried a lease; None
            for none.
        reports_since: number of answered requests without a lease since then.
    """

    def __init__(self) -> None:
        self.sent_at: float | None = None
        self.reports_since = 0

    def record(self, outcome: RenewalOutcome, sent_at: float) -> None:
        """Records an answered request, sent at a boot-time clock."""
        if outcome is RenewalOutcome.SENT:
            self.sent_at = sent_at
            self.reports_since = 0
        else:
            self.reports_since += 1

    def age_s(self, now: float) -> float | None:
        """Returns the seconds since the last renewal; None for none."""
        return None if self.sent_at is None else round(now - self.sent_at, 3)
