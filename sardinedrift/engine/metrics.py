"""Prometheus metrics of an entry."""

import prometheus_client as prometheus

# The time at which each series was created would double a page of counters.
prometheus.disable_created_metrics()

_SECONDS = (0.01, 0.03, 0.1, 0.3, 0.6, 1.2, 2.5, 5.0, 10.0, 30.0)


class Metrics:
    """Counters and latency histograms of one entry.

    Attributes:
        calls: calls from callers, by operation and outcome.
        call_seconds: latency of calls, by operation.
        connections_refused: requests refused and connections closed because of
            a bound for clients, by cause.
        store_calls: calls to the store, by operation and outcome.
        store_seconds: latency of calls to the store, by operation.
        orders: calls to workers and to the machine and advice services, by
            operation and outcome.
        order_seconds: latency of these, by operation.
        lease_renewals: answered requests for the reports of workers, by what
            became of the lease.
        first_start_seconds: time from the acceptance of a job, or its start
            time if later, to its first confirmed start.
        runs_ended: ended runs, by kind of end.
        task_wait_seconds: time for which placed tasks had waited for capacity,
            by size relative to their worker.
        reservations: changes of reservations, by outcome.
        reserved_idle_cpu: free capacity that is reserved, by pool, in
            thousandths of a core.
        start_failures: starts without confirmation, by error.
        jobs_ended: ended jobs, by state.
        job_seconds: time from the acceptance of a job to its end.
        ignored_entries: stored entries of operators and workers that could
            not be decoded, by kind.
        gauges: current values, by name.
        pool_gauges: state of the pools at the controller, by pool and name.
        evacuation_gauges: what is left in evacuated data centres, at the
            controller, by data centre and name.
        team_gauges: use and limits of client accounts, by account and name.
    """

    def __init__(self) -> None:
        self.registry = prometheus.CollectorRegistry()
        # Readers that cut a long page off get the counters: the histograms,
        # which are the longest, come last.
        self.calls = self._counter("calls", "Calls", "operation", "outcome")
        self.connections_refused = self._counter(
            "connections_refused", "Refused or closed by a bound", "cause"
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store", "operation", "outcome"
        )
        self.orders = self._counter(
            "orders",
            "Calls to workers and services",
            "operation",
            "outcome",
        )
        self.lease_renewals = self._counter(
            "lease_renewals", "Answered requests for reports", "outcome"
        )
        self.reservations = self._counter(
            "reservations", "Changes of reservations", "outcome"
        )
        self.runs_ended = self._counter("runs_ended", "Ended runs", "how")
        self.start_failures = self._counter(
            "start_failures", "Starts without confirmation", "error"
        )
        self.jobs_ended = self._counter("jobs_ended", "Ended jobs", "state")
        self.ignored_entries = self._counter(
            "ignored_entries", "Entries that could not be used", "kind"
        )
        self.gauges = self._gauge("current", "Current values", "name")
        self.reserved_idle_cpu = self._gauge(
            "reserved_idle_cpu", "Free capacity that is reserved", "pool"
        )
        self.pool_gauges = self._gauge(
            "pool", "Pools, at the controller", "pool", "name"
        )
        self.evacuation_gauges = self._gauge(
            "evacuation",
            "Evacuated data centres, at the controller",
            "data_centre",
            "name",
        )
        self.team_gauges = self._gauge(
            "team", "Client accounts nearest to a limit", "team", "name"
        )
        self.call_seconds = self._histogram("call_seconds", "operation")
        self.store_seconds = self._histogram("store_seconds", "operation")
        self.order_seconds = self._histogram("order_seconds", "operation")
        self.first_start_seconds = self._histogram("first_start_seconds")
        self.task_wait_seconds = self._histogram("task_wait_seconds", "size")
        self.job_seconds = self._histogram("job_seconds")

    def record_store_call(
        self, path: str, outcome: str, seconds: float
    ) -> None:
        """Counts a call to the store."""
        self.store_calls.labels(path[1:], outcome).inc()
        self.store_seconds.labels(path[1:]).observe(seconds)

    def record_order_call(
        self, path: str, outcome: str, seconds: float
    ) -> None:
        """Counts a call to a worker or a service."""
        self.orders.labels(path[1:], outcome).inc()
        self.order_seconds.labels(path[1:]).observe(seconds)

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus.generate_latest(
            self.registry
        ) + prometheus.generate_latest(prometheus.REGISTRY)

    def _counter(self, name: str, text: str, *labels: str):
        return prometheus.Counter(
            f"sardinedrift_{name}", text, labels, registry=self.registry
        )

    def _gauge(self, name: str, text: str, *labels: str):
        return prometheus.Gauge(
            f"sardinedrift_{name}", text, labels, registry=self.registry
        )

    def _histogram(self, name: str, *labels: str):
        return prometheus.Histogram(
            f"sardinedrift_{name}",
            f"Latency: {name}",
            labels,
            buckets=_SECONDS,
            registry=self.registry,
        )
