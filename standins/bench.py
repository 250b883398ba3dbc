"""Measures a small fleet of processes against the performance targets.

Each part starts its own fleet, prints a line per figure and ends within a
bounded time. The figures are also printed as JSON lines.
"""

import asyncio
import json
import os
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import click

from sardinedrift.runtime import new_event_loop
from standins import benchlatency, benchloads, benchpropagation
from standins.benchfleet import Figure
from standins.fleet import running_fleet


class Part(NamedTuple):
    """A part of the benchmark.

    Attributes:
        setup: starts the processes and returns what `measure` needs of them.
        measure: coroutine function that returns the figures.
    """

    setup: Callable
    measure: Callable


PART_BY_NAME = {
    "latency": Part(benchlatency.start, benchlatency.measure),
    "throughput": Part(benchlatency.start, benchlatency.measure_throughput),
    "propagation": Part(benchpropagation.start, benchpropagation.measure),
    "share": Part(benchloads.start_share, benchloads.measure_share),
    "quick": Part(benchloads.start_quick, benchloads.measure_quick),
}


def verdict(figure: Figure) -> str:
    """Returns "met", "missed", or "" for a figure without a target."""
    if figure.target is None:
        return ""
    met = figure.value <= figure.target
    return "met" if met else "missed"


def run_part(name: str) -> Iterator[Figure]:
    """Starts a fleet for a part and yields the figures of the part."""
    part = PART_BY_NAME[name]
    with running_fleet() as fleet:
        entries = part.setup(fleet)
        measurement = part.measure(fleet, entries)
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            yield from runner.run(measurement)


def print_figures(figures: Sequence[Figure]) -> None:
    """Prints figures as a table and as JSON lines."""
    for each in figures:
        target = "" if each.target is None else f"target {each.target:g}"
        print(
            f"{each.name:52}{each.value:12.3f} {each.unit:14}"
            f"{target:14}{verdict(each)}"
        )
    for each in figures:
        line = {**each._asdict(), "verdict": verdict(each)}
        print(json.dumps(line))


@click.command()
@click.option("--part", type=click.Choice(list(PART_BY_NAME)), multiple=True)
def main(part: tuple[str, ...]) -> None:
    """Runs the given parts of the benchmark, by default all."""
    load = os.getloadavg()[0]
    print(f"load average at the start {load:.1f} on {os.cpu_count()} cores")
    for name in part or PART_BY_NAME:
        print(f"-- {name}", flush=True)
        print_figures(list(run_part(name)))


if __name__ == "__main__":
    main()
