"""Command line: `measure` measures the figures of docs/CAPACITY.md, `table` prints its tables.

    python -m standins.scale measure --sizes 100,300,1000,2300 --seed 1 --json FILE
    python -m standins.scale table FILE --gateways 2300 --purges 19

Invalid input gives a one-line message and exit status 2. The same seed gives the same counts; times depend
on the machine.
"""

import resource
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import click
from rich.console import Console
from rich.progress import Progress

from standins.scale import bounds, decisions, directory, membership, processes
from standins.scale.plan import REFERENCE_GATEWAYS, Demand, demand_at
from standins.scale.report import format_page
from standins.scale.results import RESULTS_VERSION, ResultsError, Run, Series, load_run, save_run

MEASURE_GROUPS: dict[str, Callable[[int, int], dict[str, float]]] = {
    "decisions": decisions.measure,
    "directory": directory.measure,
    "membership": membership.measure,
    "bounds": bounds.measure,
    "processes": processes.measure,
}
MAX_GATEWAYS = 10_000  # limits the memory and time of the one measuring process
DEFAULT_SIZES = "100,300,1000,2300"


class UsageError(click.ClickException):
    """An invalid option or argument; prints one line and exits with status 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        """Print the message as one line on standard error."""
        print(f"scale: {self.message}", file=sys.stderr)


def parse_sizes(text: str) -> list[int]:
    """Parse comma-separated fleet sizes; return them sorted, each once."""
    words = text.split(",")
    if not all(word.strip().isdecimal() for word in words):
        raise UsageError(
            f"sizes {text!r}: must be whole numbers separated by commas, such as {DEFAULT_SIZES}"
        )
    sizes = sorted({int(word) for word in words})
    if sizes[0] < 1 or sizes[-1] > MAX_GATEWAYS:
        raise UsageError(f"sizes {text!r}: must be from 1 to {MAX_GATEWAYS} gateways")
    return sizes


def parse_groups(text: str) -> list[str]:
    """Parse comma-separated names of measure groups."""
    names = [word.strip() for word in text.split(",")]
    for name in names:
        if name not in MEASURE_GROUPS:
            raise UsageError(
                f"unknown group of measures {name!r}; must be one of {', '.join(MEASURE_GROUPS)}"
            )
    return names


def run_measures(sizes: list[int], groups: list[str], seed: int, progress: Progress) -> Run:
    """Run the measures of each group at each size and return their figures."""
    started_s, series_by_measure = time.monotonic(), dict[str, Series]()
    task = progress.add_task("measuring", total=len(sizes) * len(groups))
    for name in groups:
        for size in sizes:
            progress.update(task, description=f"{name} at {size}")
            for measure, value in MEASURE_GROUPS[name](size, seed).items():
                series = series_by_measure.setdefault(measure, Series(measure, [], []))
                series.sizes.append(size)
                series.values.append(value)
            progress.advance(task)
    if "processes" in groups:
        progress.update(task, description=f"{processes.COMPARISON_SIZE} processes")
        for measure, value in processes.measure_comparison(seed).items():
            series_by_measure[measure] = Series(measure, [processes.COMPARISON_SIZE], [value])
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    return Run(
        RESULTS_VERSION,
        seed,
        round(time.monotonic() - started_s, 1),
        round(peak_mb),
        list(series_by_measure.values()),
    )


@click.group()
def main() -> None:
    """Measure hollow and real gateways at several sizes, and print the tables of docs/CAPACITY.md."""


@main.command()
@click.option(
    "--sizes", default=DEFAULT_SIZES, show_default=True, help="fleet sizes in gateways, separated by commas"
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--only",
    default=",".join(MEASURE_GROUPS),
    show_default=True,
    help="groups of measures, separated by commas",
)
@click.option("--json", "file", required=True, type=click.Path(dir_okay=False, path_type=Path))
def measure(sizes: str, seed: int, only: str, file: Path) -> None:
    """Measure at the given sizes and write the figures to a file."""
    fleet_sizes, groups = parse_sizes(sizes), parse_groups(only)
    with Progress(console=Console(stderr=True), transient=True) as progress:
        run = run_measures(fleet_sizes, groups, seed, progress)
    try:
        save_run(run, file)
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from None
    print(
        f"{len(run.series)} measures at {fleet_sizes} in {run.seconds:.0f} s, "
        f"peak memory {run.peak_mb:.0f} MB"
    )


@main.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--gateways", default=REFERENCE_GATEWAYS, show_default=True)
@click.option("--purges", type=float, help="purges per second")
@click.option("--caches", type=int, help="number of station caches")
@click.option("--requests", type=float, help="requests per second, over the whole fleet")
@click.option("--objects", type=float)
def table(
    file: Path,
    gateways: int,
    purges: float | None,
    caches: int | None,
    requests: float | None,
    objects: float | None,
) -> None:
    """Print the tables for a fleet size from the figures of a run."""
    options = {"purges": purges, "caches": caches, "requests": requests, "objects": objects}
    overrides = {name: value for name, value in options.items() if value is not None}
    if gateways < 1 or any(value <= 0 for value in overrides.values()):
        raise UsageError("gateways, purges, caches, requests and objects must be above 0")
    base = Demand() if gateways == REFERENCE_GATEWAYS else demand_at(gateways)
    try:
        print(format_page(load_run(file), replace(base, **overrides)), end="")  # type: ignore[arg-type]
    except ResultsError as error:
        raise UsageError(f"{file}: {error}") from None


if __name__ == "__main__":
    main()
