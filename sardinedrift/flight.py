"""State of a request in flight and the outcome that it may report."""

import contextlib
from collections.abc import Iterator

from sardinedrift.admission import Admitted
from sardinedrift.attempts import Attempt
from sardinedrift.claiming import Claim
from sardinedrift.exceptions import AdmissionError
from sardinedrift.identifiers import InstanceId, Outcome


class InFlightRequest:
    """State of one request while this entry handles it.

    Attributes:
        claimed: this entry holds the claim of the request id.
        ended_may_have_run: an ended attempt or relay may have run.
        relaying: a relay is waiting for its reply.
        attempt: the last attempt.
        early_attempt: the first attempt while it waits for the claim.
        last_refusal: the last refusal by another entry.
        failures: number of failed attempts.
        avoid: instances that failed the request, not to be granted to it;
            cleared once every endpoint has failed it.
    """

    def __init__(self) -> None:
        self.claimed = False
        self.ended_may_have_run = False
        self.relaying = False
        self.attempt: Attempt | None = None
        self.early_attempt: Attempt | None = None
        self.last_refusal: AdmissionError | None = None
        self.failures = 0
        self.avoid: list[InstanceId] = []

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run, as far as this entry knows."""
        sent = self.attempt is not None and self.attempt.sent
        return self.ended_may_have_run or self.relaying or sent

    @property
    def outcome(self) -> Outcome:
        """Outcome of the request if it ends now without an answer."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    @contextlib.contextmanager
    def correcting_outcome(self, admitted: Admitted) -> Iterator[None]:
        """Corrects errors raised in the block: `not_run` must be proved."""
        try:
            yield
        except AdmissionError as error:
            if self.may_have_run:
                error.outcome = Outcome.UNKNOWN
            elif not self.claimed and error.outcome is Outcome.NOT_RUN:
                error.outcome = admitted.refusal_outcome
            raise

    @contextlib.contextmanager
    def ending_claim(self, claim: Claim) -> Iterator[None]:
        """Ends a claim once, however the block ends."""
        try:
            yield
        except AdmissionError as error:
            ran = self.may_have_run
            claim.end(Outcome.UNKNOWN if ran else error.outcome)
            raise
        except BaseException:
            claim.end(self.outcome)
            raise
        claim.end(Outcome.ANSWERED)
