"""Decides when an entry that is not the controller joins the election."""

from sardinedrift.engine.clock import Clock
from sardinedrift.engine.exceptions import StoreError
from sardinedrift.engine.storeports import Election
from sardinedrift.engine.suitability import Suitability

# The first entries in the order of succession look for a controller at the
# shorter interval.
FIRST_STANDBYS = 4
FIRST_CHECK_INTERVAL_S = 0.25
CHECK_INTERVAL_S = 0.5
# While there is no controller, entries join in the order of succession, one at
# each step. A step also has two calls to the store, one in which the entry
# before joins and one in which the next one finds it elected.
STEP_S = 0.06
CALLS_PER_STEP = 2
MAX_STEPS = 20
# Delay of an entry without the resources that a controller needs.
RESERVE_DELAY_S = 2.0


class Standby:
    """Watches for the absence of a controller.

    A standby is not a member of the group, as the store would give control to a
    new member although the controller serves.

    Args:
        election: the election, held by the store.
        node: name of the entry.
        suitability: compares the entries.
        clock: boot-time clock.
    """

    def __init__(
        self,
        election: Election,
        node: str,
        suitability: Suitability,
        clock: Clock,
    ):
        self._election = election
        self._node = node
        self._suitability = suitability
        self._clock = clock
        self._vacant_since: float | None = None
        self._call_s = 0.0

    @property
    def check_interval_s(self) -> float:
        """Time until the next check, in seconds."""
        if self._vacant_since is not None:
            return STEP_S
        if self._suitability.rank(self._node) < FIRST_STANDBYS:
            return FIRST_CHECK_INTERVAL_S
        return CHECK_INTERVAL_S

    async def should_join(self) -> bool:
        """Returns whether the entry should join the election now."""
        sent_at = self._clock.boot()
        try:
            controller = (await self._election.members()).controller
        except StoreError:
            self._vacant_since = None
            return False
        self._call_s = self._clock.boot() - sent_at
        if not self._may_replace(controller):
            self._vacant_since = None
            return False
        now = self._clock.boot()
        if self._vacant_since is None:
            self._vacant_since = now
        return now - self._vacant_since >= self._delay_s()

    async def should_leave(self) -> bool:
        """Returns whether the entry should leave the election.

        It should when another entry controls. An entry without the resources
        that a controller needs should once an eligible one has joined.

        Raises:
            StoreError: the store does not answer.
        """
        members = await self._election.members()
        eligible = self._suitability.is_eligible
        if not eligible(self._node):
            return any(eligible(name) for name in members.names - {self._node})
        controller = members.controller
        return controller not in (None, self._node) and eligible(controller)

    def _may_replace(self, controller: str | None) -> bool:
        if controller in (None, self._node):
            return True
        eligible = self._suitability.is_eligible
        return eligible(self._node) and not eligible(controller)

    def _delay_s(self) -> float:
        steps = min(self._suitability.rank(self._node), MAX_STEPS)
        delay_s = steps * (STEP_S + CALLS_PER_STEP * self._call_s)
        if self._suitability.is_eligible(self._node):
            return delay_s
        return RESERVE_DELAY_S + delay_s
