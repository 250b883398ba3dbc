"""The path of a request: claim, place, slot, allowance unit, send, answer."""

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
    EARLY_SECONDS,
    Attempt,
    Attempts,
    GrantDeclinedError,
)
from sardinedrift.claiming import Claim, ClaimAsker
from sardinedrift.claims import Claims
from sardinedrift.exceptions import (
    AdmissionError,
    DialFailed,
    MinionError,
    RefusedBeforeStart,
)
from sardinedrift.flight import Flight
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

# Short enough that a peer with spare units is asked before the wait is felt.
FIRST_UNIT_WAIT_SECONDS = 0.02
UNIT_WAIT_SECONDS = 0.5
DECLINED_PAUSE_SECONDS = 0.02
# Bounds the relays of one choice; more would only repeat the same refusal.
MOST_CHOICES = 4

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

    Args:
        identity: this entry.
        follower: holds the folded state.
        peers: liveness of and calls to other entries.
        slots: asks for and holds slots.
        limits: allowance units of this entry.
        claims: claims of the ids this entry owns.
        minions: sends to minions.
        view: the instance list as last seen.
        clock: source of the time.
        random: jitter of retries.
        observer: is told how requests end.
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
        self._asker = ClaimAsker(identity, follower, peers, claims, clock)
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
            AdmissionError: the request ends without an answer.
        """
        flight = Flight()
        try:
            return await self._handle(admitted, flight)
        except AdmissionError as error:
            self._observer.refused(admitted, error)
            raise
        except asyncio.CancelledError:
            _abandoned.labels(flight.outcome.value).inc()
            raise

    def can_claim(self, request_id: RequestId) -> bool:
        """Tells whether the owner of an id is live."""
        return self._asker.can_claim(request_id)

    async def flush(self) -> None:
        """Waits until no attempt, release or end of a claim is pending."""
        await self._attempts.drained()
        await self._slots.flush()
        await self._asker.flush()

    async def _handle(self, admitted: Admitted, flight: Flight) -> Answer:
        # An entry that is no member claims too: the members that it tries one
        # after the other then run under the same claim.
        with flight.truthful(admitted):
            async with self._claimed(admitted, flight):
                return await self._place(admitted, flight)

    @contextlib.asynccontextmanager
    async def _claimed(
        self, admitted: Admitted, flight: Flight
    ) -> AsyncIterator[None]:
        """Holds the claim of the id for the block."""
        if not admitted.needs_claim:
            yield
            return
        try:
            claim = await self._claim(admitted, flight)
            flight.claimed = True
            with flight.ending(claim):
                yield
        finally:
            self._drop_early(admitted, flight)

    async def _claim(self, admitted: Admitted, flight: Flight) -> Claim:
        """Claims the id, and asks for a slot meanwhile if both are elsewhere.

        Nothing is sent before the claim is granted.
        """
        if (
            self._asker.claims_elsewhere(admitted.request_id)
            and self._is_member()
            and self._has_endpoint(admitted.queue.pool_id)
        ):
            flight.early = await self._attempts.begin_early(admitted)
        if flight.early is None:
            return await self._asker.claim(admitted)
        patience = asyncio.get_running_loop().call_later(
            EARLY_SECONDS, self._drop_early, admitted, flight
        )
        try:
            return await self._asker.claim(admitted)
        finally:
            patience.cancel()

    def _drop_early(self, admitted: Admitted, flight: Flight) -> None:
        """Gives back what was asked for early and is not needed now."""
        attempt, flight.early = flight.early, None
        if attempt is not None:
            self._attempts.give_back(attempt, admitted.team_id)

    async def _place(self, admitted: Admitted, flight: Flight) -> Answer:
        while self._clock.now() < admitted.deadline:
            if not self._is_member():
                return await self._relay_to_member(admitted, flight)
            if not self._has_endpoint(admitted.queue.pool_id):
                return await self._relay_to_endpoint(admitted, flight)
            answer = None
            if flight.early is None:
                answer = await self._wait_for_unit(admitted, flight)
            if answer is None:
                answer = await self._attempt(admitted, flight)
            if answer is not None:
                return answer
        raise AdmissionError(
            "deadline_passed",
            "no answer before the deadline; send later or allow more time",
            504,
        )

    async def _relay_to_member(
        self, admitted: Admitted, flight: Flight
    ) -> Answer:
        choices = self._relays.members(admitted)
        refusal = AdmissionError(
            "no_member",
            "this entry is not ready and reaches none that is; send later",
            503,
        )
        return await self._relay_or_raise(choices, admitted, flight, refusal)

    async def _relay_to_endpoint(
        self, admitted: Admitted, flight: Flight
    ) -> Answer:
        choices = self._relays.with_endpoints(admitted)
        refusal = AdmissionError(
            "no_endpoint",
            "no reachable data centre has endpoints of the pool; send later",
            503,
        )
        return await self._relay_or_raise(choices, admitted, flight, refusal)

    async def _relay_or_raise(
        self,
        choices: Iterable[EntryId],
        admitted: Admitted,
        flight: Flight,
        refusal: AdmissionError,
    ) -> Answer:
        answer = await self._relay(choices, admitted, flight)
        if answer is None:
            raise flight.refusal or refusal
        return answer

    async def _wait_for_unit(
        self, admitted: Admitted, flight: Flight
    ) -> Answer | None:
        """Waits for a free unit here; returns an answer if it was relayed."""
        seconds = FIRST_UNIT_WAIT_SECONDS
        while (now := self._clock.now()) < admitted.deadline:
            until = min(admitted.deadline, now + seconds)
            if await self._limits.wait(admitted.team_id, until):
                return None
            choices = self._relays.with_spare(admitted)
            answer = await self._relay(choices, admitted, flight)
            if answer is not None:
                return answer
            seconds = UNIT_WAIT_SECONDS
        raise AdmissionError(
            "limit_unavailable",
            "the team's limit is in use; wait for running requests to end",
            503,
        )

    async def _attempt(
        self, admitted: Admitted, flight: Flight
    ) -> Answer | None:
        """Returns the answer, or None when another attempt is allowed."""
        attempt = flight.attempt = flight.early or Attempt()
        flight.early = None
        try:
            answer = await self._attempts.run(attempt, admitted, flight.avoid)
        except GrantDeclinedError:
            _failed_attempts.labels("declined").inc()
            await asyncio.sleep(DECLINED_PAUSE_SECONDS)
            return None
        except MinionError as error:
            await self._retry_or_raise(admitted, flight, error)
            return None
        except AdmissionError as error:
            if error.code != "no_endpoint" or not flight.avoid:
                raise
            # Every endpoint has failed this request once.
            flight.avoid.clear()
            return None
        self._budget_by_pool[admitted.queue.pool_id].record_success()
        return answer

    async def _retry_or_raise(
        self, admitted: Admitted, flight: Flight, error: MinionError
    ) -> None:
        """Pauses before a retry, or raises when there must be none."""
        _failed_attempts.labels(_reason(error)).inc()
        flight.failures += 1
        if not isinstance(error, DialFailed | RefusedBeforeStart):
            flight.ran_unknown = True
            if not admitted.queue.idempotent:
                raise _unknown() from error
        if not self._budget_by_pool[admitted.queue.pool_id].try_spend():
            raise _no_retry(flight) from error
        busy = isinstance(error, RefusedBeforeStart) and not error.draining
        if flight.attempt and flight.attempt.instance_id and not busy:
            flight.avoid.append(flight.attempt.instance_id)
        self._observer.retried(admitted, _reason(error))
        await asyncio.sleep(retries.delay(flight.failures, self._random))

    async def _relay(
        self, choices: Iterable[EntryId], admitted: Admitted, flight: Flight
    ) -> Answer | None:
        """Relays to the first choice that takes the request, else None."""
        self._drop_early(admitted, flight)
        claimed = flight.claimed or not admitted.made_by_caller
        for entry_id in itertools.islice(choices, MOST_CHOICES):
            flight.relaying = True
            try:
                answer = await self._relays.relay(entry_id, admitted, claimed)
            except RelayNotRun as error:
                flight.relaying = False
                flight.refusal = error.refusal or flight.refusal
                _relays.labels("not_run").inc()
            except AdmissionError:
                flight.relaying = False
                flight.ran_unknown = True
                _relays.labels("unknown").inc()
                if not self._may_repeat(admitted):
                    raise
            else:
                flight.relaying = False
                _relays.labels("answered").inc()
                return answer
        return None

    def _may_repeat(self, admitted: Admitted) -> bool:
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


def _reason(error: MinionError) -> str:
    if isinstance(error, DialFailed):
        return "dial_failed"
    if isinstance(error, RefusedBeforeStart):
        return "draining" if error.draining else "busy"
    return "outcome_unknown"


def _unknown() -> AdmissionError:
    return AdmissionError(
        "outcome_unknown",
        "the request was sent and no complete answer came; "
        "check its effect before sending it again",
        504,
        Outcome.UNKNOWN,
    )


def _no_retry(flight: Flight) -> AdmissionError:
    return AdmissionError(
        "retries_spent",
        "endpoints fail and no retry is left; send again later",
        503,
        flight.outcome,
    )
