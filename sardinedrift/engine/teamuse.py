"""Resources in use by client accounts, against their limits and weights."""

import math
from collections.abc import Iterator
from typing import NamedTuple

from sardinedrift.engine.model import Size, Team
from sardinedrift.identifiers import TeamId

# Time constant with which past use is forgotten. It exceeds the usual length of
# a burst, so that an account which has just been served does not come first
# again as soon as its tasks have ended.
USE_TIME_CONSTANT_S = 10.0


class TeamShare(NamedTuple):
    """Resource use of one client account against its limits.

    Attributes:
        cpu: millicores in use.
        limit_cpu: limit in millicores; 0 means unlimited.
        limit_utilisation: highest ratio of use to limit over all resources;
            0 without limits.
    """

    team_id: TeamId
    cpu: int
    limit_cpu: int
    limit_utilisation: float


class TeamUse:
    """Resources in use by the running tasks of each client account.

    Attributes:
        team_by_id: client accounts with their limits and weights.
    """

    def __init__(self, team_by_id: dict[TeamId, Team]):
        self.team_by_id = team_by_id
        self._use_by_team: dict[TeamId, list[int]] = {}
        self._mean_cpu_by_team: dict[TeamId, float] = {}
        self._averaged_until: float | None = None

    def average(self, now: float) -> None:
        """Updates the mean use of each account, in which past use decays.

        Args:
            now: boot-time clock in seconds. The present use is taken to have
                lasted since the last call.
        """
        if self._averaged_until is not None:
            span_s = max(0.0, now - self._averaged_until)
            smoothing = 1 - math.exp(-span_s / USE_TIME_CONSTANT_S)
            for team_id, use in self._use_by_team.items():
                mean = self._mean_cpu_by_team.get(team_id, 0.0)
                mean += smoothing * (use[0] - mean)
                self._mean_cpu_by_team[team_id] = mean
        self._averaged_until = now

    def add(self, team_id: TeamId, size: Size, sign: int = 1) -> None:
        """Adds the resources of a task; a `sign` of -1 subtracts them."""
        use = self._use_by_team.setdefault(team_id, [0, 0, 0])
        use[0] += sign * size.cpu
        use[1] += sign * size.memory_mb
        use[2] += sign * size.accelerators

    def shares(self) -> Iterator[TeamShare]:
        """Yields the use of each client account against its limits."""
        for team_id, use in self._use_by_team.items():
            team = self.team_by_id.get(team_id)
            limit = team.limit if team else Size()
            pairs = zip(
                use,
                (limit.cpu, limit.memory_mb, limit.accelerators),
                strict=True,
            )
            limit_utilisation = max(
                (used / maximum for used, maximum in pairs if maximum),
                default=0.0,
            )
            yield TeamShare(team_id, use[0], limit.cpu, limit_utilisation)

    def allows(self, team_id: TeamId, size: Size) -> bool:
        """Whether a task of a size fits into an account's limit."""
        team = self.team_by_id.get(team_id)
        if team is None:
            return True
        use = self._use_by_team.get(team_id, (0, 0, 0))
        limit = team.limit
        return all(
            not maximum or used + requested <= maximum
            for maximum, used, requested in zip(
                (limit.cpu, limit.memory_mb, limit.accelerators),
                use,
                (size.cpu, size.memory_mb, size.accelerators),
                strict=True,
            )
        )

    def fair_share_use(self, team_id: TeamId) -> float:
        """Returns the account's present plus mean use, divided by its weight.

        The use is in millicores.
        """
        team = self.team_by_id.get(team_id)
        weight = team.weight if team and team.weight > 0 else 1.0
        present = self._use_by_team.get(team_id, (0, 0, 0))[0]
        return (present + self._mean_cpu_by_team.get(team_id, 0.0)) / weight
