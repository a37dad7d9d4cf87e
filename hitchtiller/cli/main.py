"""The commands of `hitchtiller` and their options.

The module that carries out a command is imported only when the command runs. Exit codes: 0 done, 1 a fault
was found, 2 invalid usage or input.
"""

import sys
from importlib import import_module
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any, NoReturn

import click

FOLDER = click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
JSON = click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of a table.")


def _version() -> str:
    """Return the version of the installed package."""
    try:
        return version("hitchtiller")
    except PackageNotFoundError:
        return "0 (not installed)"


def run(module: str, name: str, /, **options: Any) -> NoReturn:
    """Import the module of a command, call its function `name`, and exit with the code that it returns."""
    sys.exit(getattr(import_module(f"hitchtiller.cli.{module}"), name)(**options))


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="hitchtiller")
def main() -> None:
    """A gateway for station caches, and the tools that belong to it.

    Shell completion: eval "$(_HITCHTILLER_COMPLETE=bash_source hitchtiller)".
    """


@main.command()
@click.option("--file", type=click.Path(dir_okay=False, path_type=Path), help="The operators' file (HCL).")
def serve(file: Path | None) -> None:
    """Run one gateway, configured by BALANCER_* as on the platform, plus what --file switches on."""
    run("serve", "serve", file=file)


@main.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@JSON
def check(file: Path, as_json: bool) -> None:
    """Check an operators' file and report each problem with its line. Exit code 1 if there is one."""
    run("check", "check", file=file, as_json=as_json)


@main.command()
@click.option("--requests", default=12, show_default=True, type=click.IntRange(1, 1000))
@click.option("--seed", default=1, show_default=True)
@JSON
def demo(requests: int, seed: int, as_json: bool) -> None:
    """Start a gateway with stand-in caches on free loopback ports, and show how some requests are served."""
    run("demo", "demo", requests=requests, seed=seed, as_json=as_json)


@main.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--row-s", default=5.0, show_default=True, type=click.FloatRange(1.0), help="Length of a row.")
@JSON
def worth(logs: tuple[Path, ...], row_s: float, as_json: bool) -> None:
    """Sum the outcomes of requests over all gateways, from their logs: files, or folders of *.log.

    The counters of a gateway that was killed or restarted begin at 0 again; its counts before that stay in
    the sum. Exit code 1 if a file or a line could not be read (each is reported, the rest is summed), 2 if
    there is nothing to sum.
    """
    run("worth", "worth", logs=logs, row_s=row_s, as_json=as_json)


@main.group()
def store() -> None:
    """Inspect, check and measure a folder of stored copies. The gateway that owns it must not be running."""


@store.command()
@FOLDER
@JSON
def inspect(folder: Path, as_json: bool) -> None:
    """Show the segments, the checkpoint, the purges and the watermark; reads only the records' headers."""
    run("store", "inspect", folder=folder, as_json=as_json)


@store.command()
@FOLDER
@JSON
def verify(folder: Path, as_json: bool) -> None:
    """Read every record and check its checksums. Exit code 1 if one does not match."""
    run("store", "verify", folder=folder, as_json=as_json)


@store.command()
@FOLDER
@click.option("--budget-mb", default=1024.0, show_default=True, type=click.FloatRange(1.0))
@click.option("--segment-mb", default=64.0, show_default=True, type=click.FloatRange(0.5, 256.0))
@JSON
def compact(folder: Path, budget_mb: float, segment_mb: float, as_json: bool) -> None:
    """Copy live records into new segments, remove dead ones, and write a checkpoint."""
    run("store", "compact", folder=folder, budget_mb=budget_mb, segment_mb=segment_mb, as_json=as_json)


@store.command()
@FOLDER
@click.argument("target", type=click.Path(file_okay=False, path_type=Path))
@click.option("--object", "name", help="Only this object, 16 hex digits.")
@JSON
def export(folder: Path, target: Path, name: str | None, as_json: bool) -> None:
    """Write the stored parts as files into TARGET, together with an index in JSON."""
    run("store", "export", folder=folder, target=target, name=name, as_json=as_json)


@store.command()
@FOLDER
@click.option("--parts", default=2000, show_default=True, type=click.IntRange(1, 10_000_000))
@click.option("--kb", default=32.0, show_default=True, type=click.FloatRange(0.001, 240.0))
@click.option("--seconds", default=2.0, show_default=True, type=click.FloatRange(0.05, 600.0))
@click.option("--index", default=100_000, show_default=True, type=click.IntRange(100, 20_000_000))
@JSON
def bench(folder: Path, parts: int, kb: float, seconds: float, index: int, as_json: bool) -> None:
    """Fill an empty FOLDER and time writes, starts, and reads compared with os.pread of the same bytes."""
    run("bench", "bench", folder=folder, parts=parts, kb=kb, seconds=seconds, index=index, as_json=as_json)


@store.command()
@click.option("--requests", default=300_000, show_default=True, type=click.IntRange(1000))
@click.option("--objects", default=40_000, show_default=True, type=click.IntRange(100))
@click.option(
    "--room",
    default=0.05,
    show_default=True,
    type=click.FloatRange(0.0001, 1.0),
    help="Size of the tier as a share of all bytes.",
)
@click.option("--zipf", default=0.95, show_default=True, type=click.FloatRange(0.0, 3.0))
@click.option(
    "--drift",
    default=0.0,
    show_default=True,
    type=click.FloatRange(0.0, 1.0),
    help="Shift of the popularity ranks over a run, as a share of all objects.",
)
@click.option(
    "--scan",
    default=0.2,
    show_default=True,
    type=click.FloatRange(0.0, 0.9),
    help="Share of requests for objects requested once.",
)
@click.option("--seeds", default=3, show_default=True, type=click.IntRange(1, 50))
@click.option(
    "--trace", type=click.Path(exists=True, dir_okay=False, path_type=Path), help="Lines of KEY SIZE."
)
@JSON
def replay(**options: Any) -> None:
    """Replay traces against the admission policies, with and without a scan; no sockets, no files."""
    run("replay", "replay", **options)


@main.group()
def repo() -> None:
    """Read a package repository at a URL or in a folder, as its clients do."""


PLACE = click.argument("place")
KIND = click.option("--kind", type=click.Choice(["simple", "debian"]), default="simple", show_default=True)
ROOT = click.option("--index", "root", required=True, help="As simple/NAME/ or dists/SUITE/InRelease.")


@repo.command("check")
@PLACE
@KIND
@ROOT
@JSON
def repo_check(place: str, kind: str, root: str, as_json: bool) -> None:
    """Read every file that an index lists. Exit code 1 if one is missing or has other bytes."""
    run("repo", "check", place=place, kind=kind, root=root, as_json=as_json)


@repo.command("mirror-plan")
@PLACE
@KIND
@ROOT
@click.option("--mb-per-s", default=10.0, show_default=True, type=click.FloatRange(0.001))
@click.option("--stations", default=14, show_default=True, type=click.IntRange(1))
@JSON
def repo_plan(place: str, kind: str, root: str, mb_per_s: float, stations: int, as_json: bool) -> None:
    """Print the bytes and parts of a release, and the time that a link of a given rate needs for it."""
    run(
        "repo",
        "plan",
        place=place,
        kind=kind,
        root=root,
        mb_per_s=mb_per_s,
        stations=stations,
        as_json=as_json,
    )


@repo.command("pull")
@PLACE
@click.argument("target", type=click.Path(file_okay=False, path_type=Path))
@KIND
@ROOT
@JSON
def repo_pull(place: str, target: Path, kind: str, root: str, as_json: bool) -> None:
    """Fetch a consistent set of files into TARGET; resumes partial files and keeps those that are correct."""
    run("repo", "pull", place=place, target=target, kind=kind, root=root, as_json=as_json)


@main.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--watch", is_flag=True, help="Ask repeatedly, until interrupted.")
@click.option("--every-s", default=1.0, show_default=True, type=click.FloatRange(0.1, 3600.0))
@JSON
def members(addresses: tuple[str, ...], watch: bool, every_s: float, as_json: bool) -> None:
    """Ask gateways at their control ADDRESSES which members they consider alive, and mark differences.

    Exit code 1 if they differ or one does not answer, 2 if none does.
    """
    run("members", "members", addresses=addresses, watch=watch, every_s=every_s, as_json=as_json)


SCHEDULE = click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
SEED = click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
SIZE = click.option("--size", default=4, show_default=True, type=click.IntRange(2, 40), help="Gateways.")
STEPS = click.option("--steps", default=12, show_default=True, type=click.IntRange(0, 500))
KEEP = click.option(
    "--keep", default="found", show_default=True, type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the schedules with what was observed.",
)  # fmt: skip


@main.group()
def fleet() -> None:
    """Run several gateway processes with stand-ins on loopback, inject faults, and check the results."""


@fleet.command("draw")
@SEED
@SIZE
@STEPS
def fleet_draw(seed: int, size: int, steps: int) -> None:
    """Print a schedule of faults drawn from a seed, in the form of the files that `fleet play` reads."""
    run("fleet", "fleet_draw", seed=seed, size=size, steps=steps)


@fleet.command("play")
@SCHEDULE
@KEEP
@JSON
def fleet_play(file: Path, keep: Path, as_json: bool) -> None:
    """Play a schedule. Exit code 1 if a rule or a process was broken, 2 if the file can't be used."""
    run("fleet", "fleet_play", file=file, keep=keep, as_json=as_json)


@fleet.command("soak")
@click.option("--minutes", default=20.0, show_default=True, type=click.FloatRange(0.0, 600.0))
@SEED
@SIZE
@STEPS
@KEEP
@JSON
def fleet_soak(minutes: float, seed: int, size: int, steps: int, keep: Path, as_json: bool) -> None:
    """Play schedules drawn from SEED, SEED + 1 and so on. Exit code 1 if one was broken (it is kept)."""
    run("fleet", "fleet_soak", minutes=minutes, seed=seed, size=size, steps=steps, keep=keep, as_json=as_json)


@fleet.command("shrink")
@SCHEDULE
@click.option(
    "--plays", default=40, show_default=True, type=click.IntRange(1, 500), help="Maximum number of plays."
)
@click.option("--out", default="smaller.hcl", show_default=True, type=click.Path(path_type=Path))
def fleet_shrink(file: Path, plays: int, out: Path) -> None:
    """Remove steps of a failing schedule as long as it still fails. Exit code 0 if the schedule passes."""
    run("fleet", "fleet_shrink", file=file, plays=plays, out=out)
