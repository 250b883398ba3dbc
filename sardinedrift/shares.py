"""Start-time fair queueing of teams over the slot-time of one pool.

Slot-time counts only while some team waits. Use of slots that nobody else
asks for is therefore neither a debt of the user nor a credit of the others.
Source: Goyal, Vin and Cheng, "Start-time Fair Queueing" (1996).
"""

from collections.abc import Callable, Iterable

from sardinedrift.identifiers import TeamId

# Bounds of the mean service time. The lower one spreads the first slots of an
# empty pool over the teams. With a higher upper one, the number of running
# requests would outweigh past use for longer than the target of ten seconds.
_MIN_SERVICE_SECONDS = 0.01
_MAX_SERVICE_SECONDS = 1.0
_SMOOTHING_FACTOR = 0.05
# Maximum debt of a returning team, in seconds of the whole pool's slot-time.
_MAX_DEBT_SECONDS = 10.0
_MIN_SHARE = 1e-9


class _Account:
    """Virtual time of a team, charged up to a point in contended time."""

    __slots__ = ("charged_until", "running", "use", "virtual", "waiting")

    def __init__(self, virtual: float, charged_until: float):
        self.virtual = virtual
        self.charged_until = charged_until
        self.running = 0
        self.use = 0.0
        self.waiting = False


class ShareLedger:
    """Chooses the team to serve next.

    `now` is always the current unix time in seconds. Choosing a team takes time
    linear in the number of waiting teams; other calls take constant time or
    time linear in the number of active teams.

    Args:
        share_of: returns the weight of a team.
    """

    def __init__(self, share_of: Callable[[TeamId], float]):
        self._share_of = share_of
        self._account_by_team: dict[TeamId, _Account] = {}
        self._waiting: set[TeamId] = set()
        self._now = 0.0
        self._contended_time = 0.0
        self._floor = 0.0
        self._total_running = 0
        self._mean_service = 0.1
        self._slot_seconds = 0.0

    def start_waiting(self, team: TeamId, now: float) -> None:
        """Records that a team has requests waiting."""
        self._advance(now)
        account = self._charged_account(team)
        if account.waiting:
            return
        # An unused share is not saved up: a returning team starts level
        # with the teams that waited meanwhile.
        floor = self._lowest_waiting()
        debt = (
            _MAX_DEBT_SECONDS * max(1, self._total_running) / self._share(team)
        )
        account.virtual = min(max(account.virtual, floor), floor + debt)
        account.waiting = True
        self._waiting.add(team)

    def stop_waiting(self, team: TeamId, now: float) -> None:
        """Records that a team has no more requests waiting."""
        self._advance(now)
        account = self._account_by_team.get(team)
        if account is None or not account.waiting:
            return
        self._floor = self._lowest_waiting()
        self._charged_account(team).waiting = False
        self._waiting.discard(team)

    def start(self, team: TeamId, now: float) -> float:
        """Charges a team for one more slot from now on.

        Returns:
            The contended time at the start, for `cancel`.
        """
        self._advance(now)
        self._charged_account(team).running += 1
        self._total_running += 1
        return self._contended_time

    def finish(self, team: TeamId, now: float) -> None:
        """Ends the charge of one slot."""
        self._advance(now)
        account = self._charged_account(team)
        if account.running == 0:
            return
        account.running -= 1
        self._total_running -= 1
        self._update_mean_service()

    def cancel(self, team: TeamId, now: float, started: float) -> None:
        """Reverses the charge of one slot that was not used."""
        self._advance(now)
        account = self._charged_account(team)
        if account.running == 0:
            return
        used = self._contended_time - started
        account.use -= used
        account.virtual -= used / self._share(team)
        account.running -= 1
        self._total_running -= 1

    def next_team(
        self, waiting_teams: Iterable[TeamId], now: float
    ) -> TeamId | None:
        """Returns the waiting team to serve next, or None if there is none."""
        waiting_teams = list(waiting_teams)
        for team in set(waiting_teams) - self._waiting:
            self.start_waiting(team, now)
        self._advance(now)
        return min(waiting_teams, key=self._rank, default=None)

    def add_use(self, team: TeamId, slot_seconds: float) -> None:
        """Charges a team for use of the pool in another data centre."""
        if slot_seconds <= 0:
            return
        self._charged_account(team).virtual += slot_seconds / self._share(team)

    def contended_use(self, now: float) -> dict[TeamId, float]:
        """Returns the slot-seconds of each team while some team waited."""
        self._advance(now)
        return {
            team: self._charged_account(team).use
            for team in self._account_by_team
            if self._account_by_team[team].use or self._running(team)
        }

    def _running(self, team: TeamId) -> int:
        return self._account_by_team[team].running

    def _share(self, team: TeamId) -> float:
        return max(self._share_of(team), _MIN_SHARE)

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
            self._charged_account(team)
        return account.virtual

    def _charged_account(self, team: TeamId) -> _Account:
        account = self._account_by_team.get(team)
        if account is None:
            account = _Account(self._floor, self._contended_time)
            self._account_by_team[team] = account
        used = account.running * (self._contended_time - account.charged_until)
        if used:
            account.use += used
            account.virtual += used / self._share(team)
        account.charged_until = self._contended_time
        return account

    def _advance(self, now: float) -> None:
        elapsed = max(0.0, now - self._now) if self._now else 0.0
        self._now = max(self._now, now)
        self._slot_seconds += elapsed * self._total_running
        if self._waiting:
            self._contended_time += elapsed

    def _update_mean_service(self) -> None:
        """Updates the moving average of the slot-time per finished request."""
        mean = self._mean_service
        mean += _SMOOTHING_FACTOR * (self._slot_seconds - mean)
        self._slot_seconds = 0.0
        mean = min(mean, _MAX_SERVICE_SECONDS)
        self._mean_service = max(mean, _MIN_SERVICE_SECONDS)
