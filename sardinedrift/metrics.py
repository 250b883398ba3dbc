"""Metrics of one entry.

The number of label values is bounded: teams after the first `MAX_TEAMS` share
the label value `other`.
"""

import collections
from enum import Enum

import prometheus_client as prometheus

from sardinedrift.identifiers import (
    EntryState,
    MoveState,
    TeamId,
    WaveState,
    WorkClass,
)
from sardinedrift.state import State

# The design is sized for 600 teams; each team costs a fixed number of series.
MAX_TEAMS = 600
OTHER_TEAM = "other"
CONTENT_TYPE = prometheus.CONTENT_TYPE_LATEST

_WAIT_BUCKETS = (
    0.001,
    0.005,
    0.02,
    0.05,
    0.1,
    0.3,
    0.6,
    1.2,
    2.5,
    5.0,
    15.0,
    60.0,
    300.0,
)


class Metrics:
    """Metrics of an entry, in a separate registry.

    Attributes:
        admitted: counter of requests sent to a minion, by team.
        refused: counter of refused requests, by reason.
        connections_refused: counter of requests refused and connections closed
            because of a bound for callers, by cause.
        retried: counter of sends repeated after a proof of `not_run`.
        unknown: counter of requests with an unknown outcome, by team.
        running: gauge of running requests sent by this entry, by team.
        share_distance: gauge of a team's fraction of the use minus its share.
        queue_wait: histogram of the wait for a slot in seconds, by class.
    """

    def __init__(self):
        self.registry = prometheus.CollectorRegistry()
        self._team_labels: set[TeamId] = set()
        self._make_request_metrics()
        self._make_state_metrics()

    def team_label(self, team_id: TeamId) -> str:
        """Returns the label value of a team."""
        if team_id in self._team_labels:
            return team_id
        if len(self._team_labels) >= MAX_TEAMS:
            return OTHER_TEAM
        self._team_labels.add(team_id)
        return team_id

    def count_admitted(self, team_id: TeamId) -> None:
        """Counts a request that was sent to a minion."""
        self.admitted.labels(self.team_label(team_id)).inc()

    def count_refused(self, reason: str) -> None:
        """Counts a refused request; the reason is a stable error code."""
        self.refused.labels(reason).inc()

    def count_unknown(self, team_id: TeamId) -> None:
        """Counts a request whose outcome is unknown."""
        self.unknown.labels(self.team_label(team_id)).inc()

    def add_running(self, team_id: TeamId, change: int) -> None:
        """Changes the number of running requests sent by this entry."""
        self.running.labels(self.team_label(team_id)).inc(change)

    def set_share_distance(self, team_id: TeamId, distance: float) -> None:
        """Sets a team's fraction of the use minus its share."""
        self.share_distance.labels(self.team_label(team_id)).set(distance)

    def observe_wait(self, work_class: WorkClass, seconds: float) -> None:
        """Records how long a request waited for its slot."""
        self.queue_wait.labels(work_class.value).observe(seconds)

    def refresh(self, state: State, age: float) -> None:
        """Updates the gauges that are derived from the state.

        Args:
            state: the folded state.
            age: seconds since the state was last known to be at the end of
                the log.
        """
        tables = state.tables
        self.configuration_offset.set(state.offset)
        self.configuration_age.set(age)
        self._set_limits(state)
        _set_counts_by_state(self.members, tables.entry_by_id, EntryState)
        _set_counts_by_state(self.waves, tables.wave_by_id, WaveState)
        _set_counts_by_state(self.moves, tables.move_by_id, MoveState)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format.

        Some modules have counters of their own in the default registry.
        """
        return prometheus.generate_latest(
            self.registry
        ) + prometheus.generate_latest(prometheus.REGISTRY)

    def _set_limits(self, state: State) -> None:
        # Cleared so that a deleted team does not keep its last limit.
        self.team_limit.clear()
        for team in state.tables.team_by_id.values():
            label = self.team_label(team.team_id)
            if label != OTHER_TEAM:
                self.team_limit.labels(label).set(team.limit)

    def _make_request_metrics(self) -> None:
        self.admitted = self._counter(
            "requests_admitted", "Requests sent to a minion", "team"
        )
        self.refused = self._counter(
            "requests_refused", "Requests refused", "reason"
        )
        self.connections_refused = self._counter(
            "connections_refused", "Refused or closed by a bound", "cause"
        )
        self.retried = self._counter(
            "requests_retried", "Sends repeated after a proof of not_run"
        )
        self.unknown = self._counter(
            "requests_unknown", "Requests with unknown outcome", "team"
        )
        self.running = self._gauge(
            "team_running", "Requests running from this entry", "team"
        )
        self.share_distance = self._gauge(
            "team_share_distance", "Part of the use less the share", "team"
        )
        self.queue_wait = prometheus.Histogram(
            "sardinedrift_queue_wait_seconds",
            "Wait for a slot",
            ["work_class"],
            buckets=_WAIT_BUCKETS,
            registry=self.registry,
        )

    def _make_state_metrics(self) -> None:
        self.team_limit = self._gauge("team_limit", "Limit of a team", "team")
        self.configuration_offset = self._gauge(
            "configuration_offset", "Last folded log offset"
        )
        self.configuration_age = self._gauge(
            "configuration_age",
            "Seconds since the state was known to be at the end of the log",
        )
        self.members = self._gauge("members", "Entries by state", "state")
        self.waves = self._gauge("waves", "Waves by state", "state")
        self.moves = self._gauge("moves", "Moves by state", "state")

    def _counter(
        self, name: str, text: str, *labels: str
    ) -> prometheus.Counter:
        return prometheus.Counter(
            f"sardinedrift_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, *labels: str) -> prometheus.Gauge:
        return prometheus.Gauge(
            f"sardinedrift_{name}", text, labels, registry=self.registry
        )


def _set_counts_by_state(
    gauge: prometheus.Gauge, row_by_id: dict, state_type: type[Enum]
) -> None:
    counts = collections.Counter(row.state for row in row_by_id.values())
    for state in state_type:
        gauge.labels(state.value).set(counts[state])
