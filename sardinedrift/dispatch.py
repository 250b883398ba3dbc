"""Handles a request: claim, relay or local run, retries, answer."""

import asyncio
import collections
import contextlib
import itertools
import random as random_module
from collections.abc import AsyncIterator, Iterable

import prometheus_client

from sardinedrift import retries
from sardinedrift.admission import Admitted
from sardinedrift.attempts import (
    EARLY_SLOT_TIMEOUT_SECONDS,
    Attempt,
    Attempts,
    GrantDeclinedError,
)
from sardinedrift.claiming import Claim, ClaimClient
from sardinedrift.claims import Claims
from sardinedrift.exceptions import (
    AdmissionError,
    DialFailed,
    MinionError,
    RefusedBeforeStart,
)
from sardinedrift.flight import InFlightRequest
from sardinedrift.follower import Follower
from sardinedrift.identifiers import (
    EntryId,
    EntryState,
    Identity,
    InstanceKind,
    InstanceState,
    Outcome,
    PoolId,
    RequestId,
)
from sardinedrift.instancelist import InstanceView
from sardinedrift.limits import Limits
from sardinedrift.peers import Peers
from sardinedrift.ports import Answer, Clock, MinionPort
from sardinedrift.recorder import RequestObserver
from sardinedrift.relays import RelayNotRun, Relays
from sardinedrift.slots import Slots

# Wait for a local unit before the request is first offered to entries with
# spare units; short, so that it adds little to the latency of the request.
INITIAL_UNIT_WAIT_SECONDS = 0.02
UNIT_WAIT_SECONDS = 0.5
DECLINED_RETRY_DELAY_SECONDS = 0.02
# Entries tried in one round of relays; more would only repeat the refusal.
MAX_RELAY_TARGETS = 4

_relays = prometheus_client.Counter(
    "sardinedrift_relays", "Relayed requests by result.", ["result"]
)
_failed_attempts = prometheus_client.Counter(
    "sardinedrift_failed_attempts",
    "Attempts that brought no answer, by reason.",
    ["reason"],
)
_abandoned = prometheus_client.Counter(
    "sardinedrift_abandoned_requests",
    "Requests whose caller went away, by outcome.",
    ["outcome"],
)


class Dispatcher:
    """Handles admitted requests at this entry.

    `view` is the instance list as last read and `random` the source of the
    jitter of retries; `observer` receives waits, retries, runs and refusals.
    """

    def __init__(
        self,
        identity: Identity,
        follower: Follower,
        peers: Peers,
        slots: Slots,
        limits: Limits,
        claims: Claims,
        minions: MinionPort,
        view: InstanceView,
        clock: Clock,
        random: random_module.Random | None = None,
        observer: RequestObserver | None = None,
    ):
        self._identity = identity
        self._follower = follower
        self._limits = limits
        self._view = view
        self._clock = clock
        self._random = random or random_module.Random()
        self._observer = observer or RequestObserver()
        self._slots = slots
        self._claim_client = ClaimClient(
            identity, follower, peers, claims, clock
        )
        self._relays = Relays(identity, follower, peers)
        self._attempts = Attempts(
            identity,
            follower,
            slots,
            limits,
            minions,
            clock,
            self._observer,
        )
        self._budget_by_pool: dict[PoolId, retries.RetryBudget] = (
            collections.defaultdict(retries.RetryBudget)
        )

    async def handle(self, admitted: Admitted) -> Answer:
        """Runs a request here or at another entry and returns its answer.

        Raises:
            AdmissionError: the request ended without an answer.
        """
        in_flight = InFlightRequest()
        try:
            return await self._handle(admitted, in_flight)
        except AdmissionError as error:
            self._observer.refused(admitted, error)
            raise
        except asyncio.CancelledError:
            _abandoned.labels(in_flight.outcome.value).inc()
            raise

    def can_claim(self, request_id: RequestId) -> bool:
        """Returns whether the owner of an id is live."""
        return self._claim_client.can_claim(request_id)

    async def flush(self) -> None:
        """Waits until no attempt, slot release or claim end is pending."""
        await self._attempts.wait_until_idle()
        await self._slots.flush()
        await self._claim_client.flush()

    async def _handle(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer:
        # An entry that is not a member claims the id as well, so that all
        # members to which it relays the request run it under the same claim.
        with in_flight.correcting_outcome(admitted):
            async with self._claimed(admitted, in_flight):
                return await self._run_or_relay(admitted, in_flight)

    @contextlib.asynccontextmanager
    async def _claimed(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> AsyncIterator[None]:
        """Holds the claim of the request id inside the block."""
        if not admitted.needs_claim:
            yield
            return
        try:
            claim = await self._claim(admitted, in_flight)
            in_flight.claimed = True
            with in_flight.ending_claim(claim):
                yield
        finally:
            self._release_early_attempt(admitted, in_flight)

    async def _claim(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Claim:
        """Claims the request id.

        If the owner of the id and the scheduler are both other entries, a slot
        is requested meanwhile. It is not used before the claim is granted.
        """
        if (
            self._claim_client.is_owned_by_live_peer(admitted.request_id)
            and self._is_member()
            and self._has_endpoint(admitted.queue.pool_id)
        ):
            in_flight.early_attempt = await self._attempts.begin_early(admitted)
        if in_flight.early_attempt is None:
            return await self._claim_client.claim(admitted)
        timer = asyncio.get_running_loop().call_later(
            EARLY_SLOT_TIMEOUT_SECONDS,
            self._release_early_attempt,
            admitted,
            in_flight,
        )
        try:
            return await self._claim_client.claim(admitted)
        finally:
            timer.cancel()

    def _release_early_attempt(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> None:
        """Releases the slot and unit turn that were requested early."""
        attempt, in_flight.early_attempt = in_flight.early_attempt, None
        if attempt is not None:
            self._attempts.release_unused(attempt, admitted.team_id)

    async def _run_or_relay(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer:
        while self._clock.now() < admitted.deadline:
            if not self._is_member():
                return await self._relay_to_member(admitted, in_flight)
            if not self._has_endpoint(admitted.queue.pool_id):
                return await self._relay_to_endpoint(admitted, in_flight)
            answer = None
            if in_flight.early_attempt is None:
                answer = await self._wait_for_unit(admitted, in_flight)
            if answer is None:
                answer = await self._attempt(admitted, in_flight)
            if answer is not None:
                return answer
        raise AdmissionError(
            "deadline_passed",
            "no answer before the deadline; send later or allow more time",
            504,
        )

    async def _relay_to_member(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer:
        targets = self._relays.members(admitted)
        refusal = AdmissionError(
            "no_member",
            "this entry is not ready and reaches none that is; send later",
            503,
        )
        return await self._relay_or_raise(targets, admitted, in_flight, refusal)

    async def _relay_to_endpoint(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer:
        targets = self._relays.members_with_endpoints(admitted)
        refusal = AdmissionError(
            "no_endpoint",
            "no reachable data centre has endpoints of the pool; send later",
            503,
        )
        return await self._relay_or_raise(targets, admitted, in_flight, refusal)

    async def _relay_or_raise(
        self,
        targets: Iterable[EntryId],
        admitted: Admitted,
        in_flight: InFlightRequest,
        refusal: AdmissionError,
    ) -> Answer:
        answer = await self._relay(targets, admitted, in_flight)
        if answer is None:
            raise in_flight.last_refusal or refusal
        return answer

    async def _wait_for_unit(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer | None:
        """Returns another entry's answer, or None once a unit is free here."""
        seconds = INITIAL_UNIT_WAIT_SECONDS
        while (now := self._clock.now()) < admitted.deadline:
            until = min(admitted.deadline, now + seconds)
            if await self._limits.wait(admitted.team_id, until):
                return None
            targets = self._relays.members_with_spare_units(admitted)
            answer = await self._relay(targets, admitted, in_flight)
            if answer is not None:
                return answer
            seconds = UNIT_WAIT_SECONDS
        raise AdmissionError(
            "limit_unavailable",
            "the team's limit is in use; wait for running requests to end",
            503,
        )

    async def _attempt(
        self, admitted: Admitted, in_flight: InFlightRequest
    ) -> Answer | None:
        """Runs one attempt; returns None if another attempt is allowed."""
        attempt = in_flight.attempt = in_flight.early_attempt or Attempt()
        in_flight.early_attempt = None
        try:
            answer = await self._attempts.run(
                attempt, admitted, in_flight.avoid
            )
        except GrantDeclinedError:
            _failed_attempts.labels("declined").inc()
            await asyncio.sleep(DECLINED_RETRY_DELAY_SECONDS)
            return None
        except MinionError as error:
            await self._retry_or_raise(admitted, in_flight, error)
            return None
        except AdmissionError as error:
            if error.code != "no_endpoint" or not in_flight.avoid:
                raise
            # Every endpoint has failed once, so all are tried again.
            in_flight.avoid.clear()
            return None
        self._budget_by_pool[admitted.queue.pool_id].record_success()
        return answer

    async def _retry_or_raise(
        self, admitted: Admitted, in_flight: InFlightRequest, error: MinionError
    ) -> None:
        """Waits before a retry, or raises if no retry is allowed."""
        _failed_attempts.labels(_failure_reason(error)).inc()
        in_flight.failures += 1
        if not isinstance(error, DialFailed | RefusedBeforeStart):
            in_flight.ended_may_have_run = True
            if not admitted.queue.idempotent:
                raise _outcome_unknown_error() from error
        if not self._budget_by_pool[admitted.queue.pool_id].try_spend():
            raise _retries_spent_error(in_flight) from error
        busy = isinstance(error, RefusedBeforeStart) and not error.draining
        if in_flight.attempt and in_flight.attempt.instance_id and not busy:
            in_flight.avoid.append(in_flight.attempt.instance_id)
        self._observer.retried(admitted, _failure_reason(error))
        await asyncio.sleep(retries.delay(in_flight.failures, self._random))

    async def _relay(
        self,
        targets: Iterable[EntryId],
        admitted: Admitted,
        in_flight: InFlightRequest,
    ) -> Answer | None:
        """Relays to targets in turn; returns None if none ran the request."""
        self._release_early_attempt(admitted, in_flight)
        claimed = in_flight.claimed or not admitted.made_by_caller
        for entry_id in itertools.islice(targets, MAX_RELAY_TARGETS):
            in_flight.relaying = True
            try:
                answer = await self._relays.relay(entry_id, admitted, claimed)
            except RelayNotRun as error:
                in_flight.relaying = False
                in_flight.last_refusal = error.refusal or in_flight.last_refusal
                _relays.labels("not_run").inc()
            except AdmissionError:
                in_flight.relaying = False
                in_flight.ended_may_have_run = True
                _relays.labels("unknown").inc()
                if not self._try_spend_retry(admitted):
                    raise
            else:
                in_flight.relaying = False
                _relays.labels("answered").inc()
                return answer
        return None

    def _try_spend_retry(self, admitted: Admitted) -> bool:
        """Takes a retry from the budget if the request may run again."""
        budget = self._budget_by_pool[admitted.queue.pool_id]
        return admitted.queue.idempotent and budget.try_spend()

    def _is_member(self) -> bool:
        entries = self._follower.state.tables.entry_by_id
        entry = entries.get(self._identity.entry_id)
        return entry is not None and entry.state is EntryState.ACTIVE

    def _has_endpoint(self, pool_id: PoolId) -> bool:
        instances = self._follower.state.instances_at(
            self._identity.data_centre_id, pool_id
        )
        return any(
            instance.kind is InstanceKind.MINION
            and instance.up
            and instance.slots > 0
            and instance.state is InstanceState.ACTIVE
            and not self._view.leaving(instance.instance_id)
            for instance in instances
        )


def _failure_reason(error: MinionError) -> str:
    if isinstance(error, DialFailed):
        return "dial_failed"
    if isinstance(error, RefusedBeforeStart):
        return "draining" if error.draining else "busy"
    return "outcome_unknown"


def _outcome_unknown_error() -> AdmissionError:
    return AdmissionError(
        "outcome_unknown",
        "the request was sent and no complete answer came; "
        "check its effect before sending it again",
        504,
        Outcome.UNKNOWN,
    )


def _retries_spent_error(in_flight: InFlightRequest) -> AdmissionError:
    return AdmissionError(
        "retries_spent",
        "endpoints fail and no retry is left; send again later",
        503,
        in_flight.outcome,
    )
