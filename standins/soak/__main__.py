"""Command line of the soak test: `scripts/soak --seed 7 --seed 8`."""

import asyncio
import pathlib
import sys
import tempfile

import click
import yaml

from standins.soak.run import Plan, run_seed

REGRESSIONS_PATH = pathlib.Path(__file__).with_name("regressions.yaml")


@click.command()
@click.option("--seed", "seeds", type=int, multiple=True, default=(1,))
@click.option("--seeds-from", type=int, help="First seed of a range.")
@click.option(
    "--count", type=int, default=10, help="Number of seeds in the range."
)
@click.option(
    "--regressions", is_flag=True, help="Run the seeds that failed in the past."
)
@click.option(
    "--seconds",
    type=float,
    default=20.0,
    help="Seconds during which faults start.",
)
@click.option("--entries", type=int, default=3)
@click.option("--workers", type=int, default=4)
@click.option("--callers", type=int, default=4)
@click.option(
    "--hostile-clients",
    is_flag=True,
    help="Let small crowds of hostile clients connect beside the faults.",
)
@click.option("--keep", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--module",
    default="sardinedrift.platform",
    help="Module that the entries run, with its arguments.",
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
    hostile_clients: bool,
    keep: pathlib.Path | None,
    module: str,
) -> None:
    """Injects random faults into real processes and checks the guarantees.

    Exits with status 1 if any seed violated a guarantee. --keep names a
    directory for the logs of these seeds.
    """
    if seeds_from is not None:
        seeds = tuple(range(seeds_from, seeds_from + count))
    if regressions:
        seeds = tuple(
            case["seed"] for case in yaml.safe_load(REGRESSIONS_PATH.open())
        )
    failed_seeds = 0
    for seed in seeds:
        plan = Plan(
            seed,
            seconds,
            entries,
            workers,
            callers,
            tuple(module.split()),
            hostile_clients,
        )
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_seed(plan, pathlib.Path(folder)))
            failed_seeds += bool(report.violations)
            print(report.summary(), flush=True)
            for line in report.violations:
                print(f"  {line}", flush=True)
            if report.violations and keep is not None:
                report.save(pathlib.Path(folder), keep / f"seed-{seed}")
    print(f"{len(seeds)} seeds, {failed_seeds} with violations")
    sys.exit(min(failed_seeds, 1))


if __name__ == "__main__":
    main()
