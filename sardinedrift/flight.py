"""What a request has done so far, and what may be said of it."""

import contextlib
from collections.abc import Iterator

from sardinedrift.admission import Admitted
from sardinedrift.attempts import Attempt
from sardinedrift.claiming import Claim
from sardinedrift.exceptions import AdmissionError
from sardinedrift.identifiers import InstanceId, Outcome


class Flight:
    """What a request has done so far.

    Attributes:
        claimed: this entry holds the claim of the id.
        ran_unknown: an ended attempt or relay may have run.
        relaying: a relay is waiting for its reply.
        attempt: the last attempt.
        early: the first attempt while it waits for the claim.
        refusal: the last refusal by another entry.
        failures: failed attempts so far.
    """

    def __init__(self) -> None:
        self.claimed = False
        self.ran_unknown = False
        self.relaying = False
        self.attempt: Attempt | None = None
        self.early: Attempt | None = None
        self.refusal: AdmissionError | None = None
        self.failures = 0
        self.avoid: list[InstanceId] = []

    @property
    def may_have_run(self) -> bool:
        """Whether anything was sent that is not proved to be not run."""
        sent = self.attempt is not None and self.attempt.sent
        return self.ran_unknown or self.relaying or sent

    @property
    def outcome(self) -> Outcome:
        """What is known of a request that ends now without an answer."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    @contextlib.contextmanager
    def truthful(self, admitted: Admitted) -> Iterator[None]:
        """Makes every refusal say `not_run` only when that is proved."""
        try:
            yield
        except AdmissionError as error:
            if self.may_have_run:
                error.outcome = Outcome.UNKNOWN
            elif not self.claimed and error.outcome is Outcome.NOT_RUN:
                error.outcome = admitted.refusal_outcome
            raise

    @contextlib.contextmanager
    def ending(self, claim: Claim) -> Iterator[None]:
        """Ends a claim once on every path."""
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
