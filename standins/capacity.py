"""Measures how memory, CPU and bytes grow with the size of the fleet.

Each slope is fitted by least squares to measurements at three or more sizes.
Each measurement runs in a fresh process, so that its memory does not depend on
earlier ones.
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
from standins.capacityruns import (
    MEASUREMENT_BY_NAME as STATE_MEASUREMENT_BY_NAME,
)
from standins.capacityruns import Measurement
from standins.capacitywaves import measure_waves

REPEATS = 3
MEASUREMENT_BY_NAME = {
    **STATE_MEASUREMENT_BY_NAME,
    "jobs": Measurement(measure_jobs, (20, 80, 290)),
    "waves": Measurement(measure_waves, (200, 400, 870)),
}


class Fit(NamedTuple):
    """A line fitted to measured points.

    Attributes:
        intercept: value at size 0.
        slope: increase per unit of size.
        r_squared: coefficient of determination.
    """

    intercept: float
    slope: float
    r_squared: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fits a line to points (size, value) by least squares."""
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    size_deviation = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = (
        sum((s - mean_size) * (v - mean_value) for s, v in pairs)
        / size_deviation
    )
    intercept = mean_value - slope * mean_size
    residual = sum(
        (value - intercept - slope * size) ** 2 for size, value in pairs
    )
    total = sum((value - mean_value) ** 2 for value in values)
    return Fit(intercept, slope, 1 - residual / total if total else 1.0)


def repeated_results(name: str, size: int) -> list[dict[str, float]]:
    """Runs a measurement REPEATS times; returns the quantities of each run."""
    command = [sys.executable, "-m", "standins.capacity"]
    results = []
    for _ in range(REPEATS):
        completed = subprocess.run(
            [*command, "--child", name, str(size)],
            capture_output=True,
            check=True,
            timeout=60,
            cwd=pathlib.Path(__file__).resolve().parent.parent,
        )
        results.append(json.loads(completed.stdout.splitlines()[-1]))
    return results


def slopes(name: str, sizes: Sequence[int]) -> Iterator[dict]:
    """Yields the slope of each quantity of a measurement."""
    results_by_size = {size: repeated_results(name, size) for size in sizes}
    for quantity in next(iter(results_by_size.values()))[0]:
        medians, ranges = [], []
        for size in sizes:
            values = sorted(each[quantity] for each in results_by_size[size])
            medians.append(values[len(values) // 2])
            ranges.append([values[0], values[-1]])
        fitted = fit(sizes, medians)
        yield {
            "measurement": name,
            "quantity": quantity,
            "sizes": list(sizes),
            "values": medians,
            "ranges": ranges,
            "base": fitted.intercept,
            "slope": fitted.slope,
            "r2": fitted.r_squared,
        }


def _print_slopes(lines: Iterable[dict]) -> None:
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
@click.option("--part", multiple=True, help="Runs only these measurements.")
def main(child: tuple[str, str] | None, part: tuple[str, ...]) -> None:
    """Prints the slopes as text and as JSON lines."""
    if child:
        measurement = MEASUREMENT_BY_NAME[child[0]]
        print(json.dumps(measurement.measure(int(child[1]))))
        return
    for name, measurement in MEASUREMENT_BY_NAME.items():
        if not part or name in part:
            _print_slopes(slopes(name, measurement.sizes))
    if not part or "records" in part:
        for line in capacityrecords.record_costs():
            print(json.dumps(line), flush=True)
    if not part or "idle" in part:
        for line in capacityidle.idle_entries():
            print(json.dumps(line), flush=True)
    if not part or "far" in part:
        for line in capacityidle.remote_entries():
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
