"""Start-time fair queueing of teams over the slot-time of one pool.

Slot-time counts only while some team waits. Use of slots that nobody else
asks for is therefore neither a debt of the user nor a credit of the others.
Source: Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996).
"""

from collections.abc import Callable, Iterable

from sardinedrift.identifiers import TeamId

# Bounds of the mean service time. The lower one spreads the first slots of an
# empty pool over the teams; with a longer upper one, the count of running work
# would outweigh past use for longer than the ten seconds of the target.
_SHORTEST_SERVICE_SECONDS = 0.01
_LONGEST_SERVICE_SECONDS = 1.0
_MEAN_WEIGHT = 0.05
# A team returns with at most this much of the whole pool's time as its debt.
_DEBT_SECONDS = 10.0
_SMALLEST_SHARE = 1e-9


class _Account:
    """Virtual time of one team, charged up to `at` of contended time."""

    __slots__ = ("at", "running", "use", "virtual", "waiting")

    def __init__(self, virtual: float, at: float):
        self.virtual = virtual
        self.at = at
        self.running = 0
        self.use = 0.0
        self.waiting = False


class ShareLedger:
    """Chooses the team to serve next.

    Every call takes the current unix time in seconds. Choosing costs one step
    per waiting team, everything else is constant or one step per active team.

    Args:
        share_of: returns the weight of a team.
    """

    def __init__(self, share_of: Callable[[TeamId], float]):
        self._share_of = share_of
        self._account_by_team: dict[TeamId, _Account] = {}
        self._waiting: set[TeamId] = set()
        self._now = 0.0
        self._contended = 0.0
        self._floor = 0.0
        self._total_running = 0
        self._mean_service = 0.1
        self._slot_seconds = 0.0

    def start_waiting(self, team: TeamId, now: float) -> None:
        """Notes that a team has work waiting."""
        self._advance(now)
        account = self._charged(team)
        if account.waiting:
            return
        # Unused share was lent: a returning team starts level with the
        # teams that waited meanwhile.
        floor = self._lowest_waiting()
        debt = _DEBT_SECONDS * max(1, self._total_running) / self._share(team)
        account.virtual = min(max(account.virtual, floor), floor + debt)
        account.waiting = True
        self._waiting.add(team)

    def stop_waiting(self, team: TeamId, now: float) -> None:
        """Notes that a team has no more work waiting."""
        self._advance(now)
        account = self._account_by_team.get(team)
        if account is None or not account.waiting:
            return
        self._floor = self._lowest_waiting()
        self._charged(team).waiting = False
        self._waiting.discard(team)

    def start(self, team: TeamId, now: float) -> float:
        """Charges a team for one more slot from now on.

        Returns:
            What `cancel` needs to take the charge back.
        """
        self._advance(now)
        self._charged(team).running += 1
        self._total_running += 1
        return self._contended

    def finish(self, team: TeamId, now: float) -> None:
        """Ends the charge of one slot."""
        self._advance(now)
        account = self._charged(team)
        if account.running == 0:
            return
        account.running -= 1
        self._total_running -= 1
        self._learn_service_time()

    def cancel(self, team: TeamId, now: float, started: float) -> None:
        """Takes back the charge of one slot that was not used."""
        self._advance(now)
        account = self._charged(team)
        if account.running == 0:
            return
        used = self._contended - started
        account.use -= used
        account.virtual -= used / self._share(team)
        account.running -= 1
        self._total_running -= 1

    def next_team(
        self, waiting_teams: Iterable[TeamId], now: float
    ) -> TeamId | None:
        """Returns the waiting team to serve next, or None without any."""
        waiting_teams = list(waiting_teams)
        for team in set(waiting_teams) - self._waiting:
            self.start_waiting(team, now)
        self._advance(now)
        return min(waiting_teams, key=self._rank, default=None)

    def add_use(self, team: TeamId, slot_seconds: float) -> None:
        """Charges a team for use of the pool in another data centre."""
        if slot_seconds <= 0:
            return
        self._charged(team).virtual += slot_seconds / self._share(team)

    def contended_use(self, now: float) -> dict[TeamId, float]:
        """Returns the slot-seconds of each team while some team waited."""
        self._advance(now)
        return {
            team: self._charged(team).use
            for team in self._account_by_team
            if self._account_by_team[team].use or self._running(team)
        }

    def _running(self, team: TeamId) -> int:
        return self._account_by_team[team].running

    def _share(self, team: TeamId) -> float:
        return max(self._share_of(team), _SMALLEST_SHARE)

    def _rank(self, team: TeamId) -> float:
        virtual = self._virtual(team)
        account = self._account_by_team[team]
        if not account.running:
            return virtual
        expected = account.running * self._mean_service
        return virtual + expected / self._share(team)

    def _lowest_waiting(self) -> float:
        lowest = min(
            map(self._virtual, self._waiting),
            default=self._floor,
        )
        return max(self._floor, lowest)

    def _virtual(self, team: TeamId) -> float:
        account = self._account_by_team[team]
        if account.running:
            self._charged(team)
        return account.virtual

    def _charged(self, team: TeamId) -> _Account:
        account = self._account_by_team.get(team)
        if account is None:
            account = _Account(self._floor, self._contended)
            self._account_by_team[team] = account
        used = account.running * (self._contended - account.at)
        if used:
            account.use += used
            account.virtual += used / self._share(team)
        account.at = self._contended
        return account

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._now) if self._now else 0.0
        self._now = max(self._now, now)
        self._slot_seconds += elapsed * self._total_running
        if self._waiting:
            self._contended += elapsed

    def _learn_service_time(self) -> None:
        """Averages the slot-time that passes per finished request."""
        mean = self._mean_service
        mean += _MEAN_WEIGHT * (self._slot_seconds - mean)
        self._slot_seconds = 0.0
        mean = min(mean, _LONGEST_SERVICE_SECONDS)
        self._mean_service = max(mean, _SHORTEST_SERVICE_SECONDS)
