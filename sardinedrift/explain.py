"""Collects the events of one job from the logs of many entries."""

import heapq
from collections.abc import Iterable, Iterator
from typing import IO, Any

import msgspec

# Events that end a job or a call; the last of them states the outcome.
_END_EVENTS = ("job_ended", "refused")
_TERM_EVENTS = ("term_begun", "term_ended")
_DEPENDENCY_EVENTS = ("dependency_lost", "dependency_back")


class LogLine(msgspec.Struct, frozen=True, order=True):
    """One log line; `time` is unix seconds by the clock of its node."""

    time: float
    node: str
    event: str
    text: str
    fields: dict[str, Any] = msgspec.field(default_factory=dict)


class MissingTerm(msgspec.Struct, frozen=True):
    """A controller term whose log was not given; `node` may be unknown."""

    token: int
    node: str


class Explanation(msgspec.Struct, frozen=True):
    """Log lines that explain the outcome of a job.

    Attributes:
        lines: lines of the job, the controller changes between them, and the
            outages of dependencies at the nodes that wrote them.
        decision: the line that ended the job, if any.
        missing: controller terms whose logs are missing.
        accepted: whether the log of the entry that accepted the job was given.
    """

    lines: list[LogLine]
    decision: LogLine | None
    missing: list[MissingTerm]
    accepted: bool


def explain(job_id: str, files: Iterable[IO[bytes]]) -> Explanation:
    """Returns the explanation of a job from log files.

    Files are read line by line. Their lines are merged by the times that the
    nodes wrote. The order is exact within a node; between nodes it is off by
    the difference of their clocks.

    Args:
        job_id: id of the job.
        files: logs, each in the order in which it was written.
    """
    merged = heapq.merge(*(_read_relevant(job_id, file) for file in files))
    lines = list(merged)
    job_lines = [
        line
        for line in lines
        if line.event not in _TERM_EVENTS + _DEPENDENCY_EVENTS
    ]
    if not job_lines:
        return Explanation([], None, [], False)
    outages = {id(line) for line in _outages(lines, job_lines)}
    begin, end = job_lines[0].time, job_lines[-1].time
    selected = [
        line
        for line in lines
        if id(line) in outages
        or (
            line.event not in _DEPENDENCY_EVENTS
            and (line.event not in _TERM_EVENTS or begin <= line.time <= end)
        )
    ]
    endings = [line for line in job_lines if line.event in _END_EVENTS]
    return Explanation(
        selected,
        endings[-1] if endings else None,
        _missing_terms(lines, job_lines),
        any(line.event == "accepted" for line in job_lines),
    )


def _outages(
    lines: list[LogLine], job_lines: list[LogLine]
) -> Iterator[LogLine]:
    """Yields the outages of dependencies during a job, at its nodes.

    An outage consists of the line of its start and, if the outage ended during
    the job, the line of its end.
    """
    nodes = {line.node for line in job_lines}
    begin, end = job_lines[0].time, job_lines[-1].time
    lost_by_key: dict[tuple[str, str, str], LogLine] = {}
    for line in lines:
        if line.event not in _DEPENDENCY_EVENTS or line.node not in nodes:
            continue
        if line.time > end:
            break
        key = (
            line.node,
            str(line.fields.get("dependency")),
            str(line.fields.get("topic")),
        )
        if line.event == "dependency_lost":
            lost_by_key[key] = line
            continue
        lost = lost_by_key.pop(key, None)
        if line.time >= begin:
            yield line
            if lost is not None:
                yield lost
    yield from lost_by_key.values()


def _read_relevant(job_id: str, file: IO[bytes]) -> Iterator[LogLine]:
    needle = job_id.encode()
    for raw in file:
        if needle in raw or b'"term_' in raw or b'"dependency_' in raw:
            line = _parse(raw)
            if line is not None:
                yield line


def _parse(raw: bytes) -> LogLine | None:
    """Returns the parsed line, or None if the text is not a log line."""
    begin = raw.find(b"{")
    if begin < 0:
        return None
    try:
        fields = msgspec.json.decode(raw[begin:])
        time, node = fields.pop("time"), fields.pop("node")
        event = fields.pop("event")
    except (msgspec.DecodeError, KeyError, AttributeError):
        return None
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return LogLine(time, node, event, text, fields)


def _missing_terms(
    lines: list[LogLine], job_lines: list[LogLine]
) -> list[MissingTerm]:
    """Returns the terms during the job whose logs are missing."""
    given_tokens = {
        line.fields["token"] for line in lines if line.event == "term_begun"
    }
    node_by_token = {
        line.fields["earlier_token"]: line.fields["earlier_node"]
        for line in lines
        if line.event == "term_begun" and line.fields.get("earlier_token")
    }
    # Without the line of its acceptance, the job may have been accepted long
    # before its first line.
    accepted = any(line.event == "accepted" for line in job_lines)
    begin = job_lines[0].time if accepted else float("-inf")
    end = job_lines[-1].time
    earlier_tokens = {
        line.fields["earlier_token"]
        for line in lines
        if line.event == "term_begun"
        and line.fields.get("earlier_token")
        and begin <= line.time <= end
    }
    return [
        MissingTerm(token, node_by_token[token])
        for token in sorted(earlier_tokens - given_tokens)
    ]


def render(job_id: str, explanation: Explanation) -> Iterator[str]:
    """Yields the lines of a report about a job."""
    if not explanation.lines:
        yield f"no line about {job_id} in the given logs"
        return
    yield "ordered by each node's own clock; clocks of nodes may differ"
    first = explanation.lines[0].time
    for line in explanation.lines:
        elapsed = line.time - first
        yield f"{elapsed:+9.3f} s  {line.node}  {line.event}  {line.text}"
    if explanation.decision is None:
        yield "not ended in these logs"
    else:
        decision = explanation.decision
        yield f"ended by {decision.event} at {decision.node}: {decision.text}"
    if not explanation.accepted:
        yield "missing: the log of the entry that accepted it"
    for term in explanation.missing:
        yield f"missing: the log of {term.node}, controller {term.token}"
