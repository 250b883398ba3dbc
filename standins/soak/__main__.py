"""Command line of the soak: `scripts/soak --seed 7 --seed 8`."""

import asyncio
import pathlib
import sys
import tempfile

import click
import yaml

from standins.soak.run import Plan, play

CASES = pathlib.Path(__file__).with_name("regressions.yaml")


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--seeds-from", type=int, help="First of a range of seeds.")
@click.option("--count", type=int, default=10, help="Seeds of the range.")
@click.option(
    "--regressions", is_flag=True, help="Play the seeds that ever failed."
)
@click.option("--seconds", type=float, default=20.0, help="Time with faults.")
@click.option("--entries", type=int, default=3)
@click.option("--workers", type=int, default=4)
@click.option("--callers", type=int, default=4)
@click.option("--keep", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--module",
    default="sardinedrift.platform",
    help="What the entries run, with its arguments.",
)
def main(
    seeds: tuple[int, ...],
    seeds_from: int | None,
    count: int,
    regressions: bool,
    seconds: float,
    entries: int,
    workers: int,
    callers: int,
    keep: pathlib.Path | None,
    module: str,
) -> None:
    """Plays seeds of faults on real processes and checks the promises.

    Ends with the number of seeds that broke one. Logs of these are kept in
    the folder that --keep names.
    """
    if seeds_from is not None:
        seeds = tuple(range(seeds_from, seeds_from + count))
    if regressions:
        seeds = tuple(case["seed"] for case in yaml.safe_load(CASES.open()))
    broken = 0
    for seed in seeds:
        plan = Plan(
            seed, seconds, entries, workers, callers, tuple(module.split())
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(play(plan, pathlib.Path(folder)))
            broken += bool(report.violations)
            print(report.summary(), flush=True)
            for line in report.violations:
                print(f"  {line}", flush=True)
            if report.violations and keep is not None:
                report.keep(pathlib.Path(folder), keep / f"seed-{seed}")
    print(f"{len(seeds)} seeds, {broken} with a broken promise")
    sys.exit(min(broken, 1))


if __name__ == "__main__":
    main()
