"""Puts together what the logs of many entries tell about one job."""

import heapq
from collections.abc import Iterable, Iterator
from typing import IO, Any

import msgspec

# Events that end a job or a call, the last of which explains its outcome.
_ENDING = ("job_ended", "refused")
_TERMS = ("term_begun", "term_ended")
_DEPENDENCIES = ("dependency_lost", "dependency_back")


class Line(msgspec.Struct, frozen=True, order=True):
    """One log line; `time` is unix seconds by the clock of its node."""

    time: float
    node: str
    event: str
    text: str
    fields: dict[str, Any] = msgspec.field(default_factory=dict)


class MissingTerm(msgspec.Struct, frozen=True):
    """A controller whose log was not given; `node` may be unknown."""

    token: int
    node: str


class Explanation(msgspec.Struct, frozen=True):
    """What is known of a job.

    Attributes:
        lines: its lines, the changes of controllers between them, and the
            outages at the nodes that wrote them.
        decision: the line that ended it, if any.
        missing: controllers whose logs are missing.
        accepted: the log of the entry that accepted it was given.
    """

    lines: list[Line]
    decision: Line | None
    missing: list[MissingTerm]
    accepted: bool


def explain(job_id: str, files: Iterable[IO[bytes]]) -> Explanation:
    """Returns what log files tell about a job.

    Files are read line by line. Their lines are merged by the time that each
    node wrote, which differs between nodes as their clocks do; within a node
    the order is exact.

    Args:
        job_id: id of the job.
        files: logs, each in the order in which it was written.
    """
    merged = heapq.merge(*(_relevant(job_id, file) for file in files))
    lines = list(merged)
    own = [line for line in lines if line.event not in _TERMS + _DEPENDENCIES]
    if not own:
        return Explanation([], None, [], False)
    outages = {id(line) for line in _outages(lines, own)}
    begin, end = own[0].time, own[-1].time
    shown = [
        line
        for line in lines
        if id(line) in outages
        or (
            line.event not in _DEPENDENCIES
            and (line.event not in _TERMS or begin <= line.time <= end)
        )
    ]
    endings = [line for line in own if line.event in _ENDING]
    return Explanation(
        shown,
        endings[-1] if endings else None,
        _missing_terms(lines, own),
        any(line.event == "accepted" for line in own),
    )


def _outages(lines: list[Line], own: list[Line]) -> Iterator[Line]:
    """Yields the losses in force while the nodes of a job wrote about it.

    Their ends within that time are part of them.
    """
    nodes = {line.node for line in own}
    begin, end = own[0].time, own[-1].time
    lost_by_name: dict[tuple[str, str, str], Line] = {}
    for line in lines:
        if line.event not in _DEPENDENCIES or line.node not in nodes:
            continue
        if line.time > end:
            break
        name = (
            line.node,
            str(line.fields.get("dependency")),
            str(line.fields.get("topic")),
        )
        if line.event == "dependency_lost":
            lost_by_name[name] = line
            continue
        lost = lost_by_name.pop(name, None)
        if line.time >= begin:
            yield line
            if lost is not None:
                yield lost
    yield from lost_by_name.values()


def _relevant(job_id: str, file: IO[bytes]) -> Iterator[Line]:
    needle = job_id.encode()
    for raw in file:
        if needle in raw or b'"term_' in raw or b'"dependency_' in raw:
            line = _parse(raw)
            if line is not None:
                yield line


def _parse(raw: bytes) -> Line | None:
    """Returns a line, or None for text that is no log line."""
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
    return Line(time, node, event, text, fields)


def _missing_terms(lines: list[Line], own: list[Line]) -> list[MissingTerm]:
    """Returns the terms that acted on the job and whose logs are missing."""
    given = {
        line.fields["token"] for line in lines if line.event == "term_begun"
    }
    node_by_token = {
        line.fields["earlier_token"]: line.fields["earlier_node"]
        for line in lines
        if line.event == "term_begun" and line.fields.get("earlier_token")
    }
    # Without the line of its acceptance the job may be older than its lines.
    accepted = any(line.event == "accepted" for line in own)
    begin = own[0].time if accepted else float("-inf")
    end = own[-1].time
    during = {
        line.fields["earlier_token"]
        for line in lines
        if line.event == "term_begun"
        and line.fields.get("earlier_token")
        and begin <= line.time <= end
    }
    return [
        MissingTerm(token, node_by_token[token])
        for token in sorted(during - given)
    ]


def render(job_id: str, explanation: Explanation) -> Iterator[str]:
    """Yields the lines of a report."""
    if not explanation.lines:
        yield f"no line about {job_id} in the given logs"
        return
    yield "ordered by each node's own clock; clocks of nodes may differ"
    first = explanation.lines[0].time
    for line in explanation.lines:
        at = line.time - first
        yield f"{at:+9.3f} s  {line.node}  {line.event}  {line.text}"
    if explanation.decision is None:
        yield "not ended in these logs"
    else:
        decision = explanation.decision
        yield f"ended by {decision.event} at {decision.node}: {decision.text}"
    if not explanation.accepted:
        yield "missing: the log of the entry that accepted it"
    for term in explanation.missing:
        yield f"missing: the log of {term.node}, controller {term.token}"
