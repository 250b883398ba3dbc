"""Types of log events, and a non-blocking writer of JSON lines.

Each line is one JSON object on standard output: `time` (Unix seconds),
`event`, `node`, then the fields of the event.
"""

import collections
import enum
import os
import time
from typing import Any

import msgspec
import prometheus_client as prometheus

from sardinedrift.engine.linebudget import LineBudget

# Maximum size of the output buffered for a slow reader; lines beyond it are
# dropped.
MAX_BUFFER_BYTES = 1 << 20

_DROPPED_LINES = prometheus.Counter(
    "sardinedrift_log_lines_left_out",
    "Log lines dropped by the rate limit or a full buffer",
    ["event"],
)
_CPU_SECONDS = prometheus.Counter(
    "sardinedrift_log_processor_seconds", "CPU time spent on writing log lines"
)


class Event(enum.Enum):
    """Type of a log line.

    Process: STARTED, STOPPING, STOPPED, RELOADED, FAULT, DEPENDENCY_LOST,
    DEPENDENCY_BACK.
    Calls: ACCEPTED, ANSWERED, REFUSED, CANCEL_STORED, CLIENTS_LIMITED.
    Cluster state: CONFIGURATION, ELECTED, TERM_BEGUN, TERM_ENDED, WORKER_SEEN,
    WORKER_ENDED, WORKER_LOST, WORKER_SUSPECT, WORKER_BACK, LEASE_LAPSED,
    ENTRY_IGNORED, EVACUATION.
    Tasks: PLACED, STARTED_RUN, START_FAILED, RUN_ENDED, STOP_ORDERED,
    JOB_ENDED, WAITING, RESERVATION, PACED, ADVISED, STALLED, PREEMPTED.
    Machines: MACHINE_MOVED, MACHINE_REFUSED, UPKEEP_BEGUN, WAVE, RESERVED.
    """

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_BACK = "dependency_back"
    FAULT = "fault"
    ACCEPTED = "accepted"
    ANSWERED = "answered"
    REFUSED = "refused"
    CANCEL_STORED = "cancel_stored"
    CLIENTS_LIMITED = "clients_limited"
    CONFIGURATION = "configuration"
    ELECTED = "elected"
    TERM_BEGUN = "term_begun"
    TERM_ENDED = "term_ended"
    WORKER_SEEN = "worker_seen"
    WORKER_ENDED = "worker_ended"
    WORKER_LOST = "worker_lost"
    WORKER_SUSPECT = "worker_suspect"
    WORKER_BACK = "worker_back"
    LEASE_LAPSED = "lease_lapsed"
    ENTRY_IGNORED = "entry_ignored"
    EVACUATION = "evacuation"
    PLACED = "placed"
    STARTED_RUN = "started_run"
    START_FAILED = "start_failed"
    RUN_ENDED = "run_ended"
    STOP_ORDERED = "stop_ordered"
    JOB_ENDED = "job_ended"
    WAITING = "waiting"
    RESERVATION = "reservation"
    OVERLOAD = "overload"
    PACED = "paced"
    ADVISED = "advised"
    STALLED = "stalled"
    PREEMPTED = "preempted"
    RESERVED = "reserved"
    MACHINE_MOVED = "machine_moved"
    MACHINE_REFUSED = "machine_refused"
    UPKEEP_BEGUN = "upkeep_begun"
    WAVE = "wave"


class EventLog:
    """Writes log lines to a file descriptor without blocking.

    Args:
        node: name of this process in every line.
        descriptor: file descriptor to write to; it is made non-blocking.

    Attributes:
        node: name of this process.
    """

    def __init__(self, node: str, descriptor: int = 1):
        self.node = node
        self._descriptor = descriptor
        self._pending = bytearray()
        self._budget = LineBudget()
        self._dropped_by_event: collections.Counter[Event] = (
            collections.Counter()
        )
        os.set_blocking(descriptor, False)

    def write(self, event: Event, **fields: Any) -> None:
        """Writes one line, or drops and counts it.

        Args:
            event: type of the line.
            **fields: further fields; lines with a `job` share the job budget.
        """
        started_ns = time.thread_time_ns()
        now = time.time()
        if self._budget.begin(int(now)):
            self._write_dropped_counts(now)
        if self._budget.admits(event.value, fields.get("job")):
            self._append_line(now, event.value, fields, event)
        else:
            self._count_dropped(event)
        _CPU_SECONDS.inc((time.thread_time_ns() - started_ns) / 1e9)

    def _write_dropped_counts(self, now: float) -> None:
        dropped, self._dropped_by_event = (
            self._dropped_by_event,
            collections.Counter(),
        )
        for event, count in dropped.items():
            fields = {
                "kind": event.value,
                "count": count,
                "job_share": self._budget.job_share,
            }
            self._append_line(now, "lines_left_out", fields, event)

    def _append_line(
        self, now: float, name: str, fields: dict[str, Any], event: Event
    ) -> None:
        line = {"time": now, "event": name, "node": self.node, **fields}
        data = msgspec.json.encode(line, enc_hook=str) + b"\n"
        if len(self._pending) + len(data) > MAX_BUFFER_BYTES:
            self._count_dropped(event)
            return
        self._pending += data
        self.flush()

    def flush(self) -> None:
        """Writes as much pending output as the reader accepts now."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                del self._pending[:written]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, so the pending output is discarded; the counts
            # of dropped lines are kept.
            self._pending.clear()

    def _count_dropped(self, event: Event) -> None:
        self._dropped_by_event[event] += 1
        _DROPPED_LINES.labels(event.value).inc()
