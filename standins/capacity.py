"""Measures how memory, CPU and bytes grow with the size of the fleet.

Each slope is measured at three or more sizes and fitted by least squares.
Memory is that of a fresh process per size.
"""

import json
import pathlib
import subprocess
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

import click

from standins import capacityidle, capacityrecords
from standins.capacityjobs import measure_jobs
from standins.capacityruns import RUN_BY_NAME as STATE_RUN_BY_NAME
from standins.capacityruns import Run
from standins.capacitywaves import measure_waves

REPEATS = 3
RUN_BY_NAME = {
    **STATE_RUN_BY_NAME,
    "jobs": Run(measure_jobs, (20, 80, 290)),
    "waves": Run(measure_waves, (200, 400, 870)),
}


class Fit(NamedTuple):
    """A line through measured points, with its coefficient R²."""

    base: float
    slope: float
    quality: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Returns the line of least squares through (size, value) points."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((s - mean_size) * (v - mean_value) for s, v in pairs) / spread
    base = mean_value - slope * mean_size
    rest = sum((value - base - slope * size) ** 2 for size, value in pairs)
    total = sum((value - mean_value) ** 2 for value in values)
    return Fit(base, slope, 1 - rest / total if total else 1.0)


def measured(name: str, size: int) -> list[dict[str, float]]:
    """Runs a measurement in fresh processes; returns what each printed."""
    command = [sys.executable, "-m", "standins.capacity"]
    lines = []
    for _ in range(REPEATS):
        done = subprocess.run(
            [*command, "--child", name, str(size)],
            capture_output=True,
            check=True,
            timeout=60,
            cwd=pathlib.Path(__file__).resolve().parent.parent,
        )
        lines.append(json.loads(done.stdout.splitlines()[-1]))
    return lines


def slopes(name: str, sizes: Sequence[int]) -> Iterator[dict]:
    """Yields a line for each quantity of a measurement."""
    runs_by_size = {size: measured(name, size) for size in sizes}
    for quantity in next(iter(runs_by_size.values()))[0]:
        middle, ranges = [], []
        for size in sizes:
            values = sorted(run[quantity] for run in runs_by_size[size])
            middle.append(values[len(values) // 2])
            ranges.append([values[0], values[-1]])
        line = fit(sizes, middle)
        yield {
            "measurement": name,
            "quantity": quantity,
            "sizes": list(sizes),
            "values": middle,
            "ranges": ranges,
            "base": line.base,
            "slope": line.slope,
            "r2": line.quality,
        }


def _print(lines: Iterable[dict]) -> None:
    for line in lines:
        values = ", ".join(f"{value:.4g}" for value in line["values"])
        print(
            f"{line['measurement']:12}{line['quantity']:28}"
            f"slope {line['slope']:.4g}  base {line['base']:.4g}  "
            f"R2 {line['r2']:.3f}  at {line['sizes']}: {values}"
        )
        print(json.dumps(line), flush=True)


@click.command()
@click.option("--child", nargs=2, hidden=True)
@click.option("--part", multiple=True, help="Only these measurements.")
def main(child: tuple[str, str] | None, part: tuple[str, ...]) -> None:
    """Prints slopes as text and as JSON lines."""
    if child:
        run = RUN_BY_NAME[child[0]]
        print(json.dumps(run.measure(int(child[1]))))
        return
    for name, run in RUN_BY_NAME.items():
        if not part or name in part:
            _print(slopes(name, run.sizes))
    if not part or "records" in part:
        for line in capacityrecords.record_costs():
            print(json.dumps(line), flush=True)
    if not part or "idle" in part:
        for line in capacityidle.idle_entries():
            print(json.dumps(line), flush=True)
    if not part or "far" in part:
        for line in capacityidle.far_entries():
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
