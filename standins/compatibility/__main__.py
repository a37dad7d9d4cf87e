"""The command `python -m standins.compatibility --old FOLDER`; the package's docstring describes it."""

import asyncio
import shutil
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from standins.compatibility.builds import ROOT, Processes, UnusableBuildError, find_build
from standins.compatibility.checks import Report, Trial
from standins.compatibility.command_files import (
    check_operators_files_are_judged_alike,
    check_traces_are_replayed_alike,
)
from standins.compatibility.configurations import check_bad_configs_are_refused, check_example_config_runs
from standins.compatibility.datagrams import check_datagrams_are_readable
from standins.compatibility.hand_over import check_hand_over_between_builds
from standins.compatibility.side_by_side import check_one_newer_beside_older, check_one_older_beside_newer
from standins.compatibility.stored_data import check_disabled_cache_stays_disabled, check_store_is_readable

FAILED_CODE, BAD_INPUT_CODE = 1, 2
SIGNAL_CODE_OFFSET = 128  # of the exit code after a signal

GROUPS: dict[str, Callable[[Trial], Awaitable[None]]] = {
    "A1": check_store_is_readable,
    "A2": check_disabled_cache_stays_disabled,
    "A3": check_operators_files_are_judged_alike,
    "A4": check_datagrams_are_readable,
    "A5": check_traces_are_replayed_alike,
    "A6": check_bad_configs_are_refused,
    "A6 configuration, e": check_example_config_runs,
    "B1": check_one_newer_beside_older,
    "B2": check_one_older_beside_newer,
    "B3": check_hand_over_between_builds,
}


async def run_checks(old: Path, only: str, folder: Path) -> Report:
    """Run the checks in a temporary folder, and end all processes that were started."""
    processes, report = Processes(folder), Report(only)
    task = asyncio.current_task()
    assert task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        older = await find_build(processes, "older", old)
        newer = await find_build(processes, "newer", ROOT)
        trial = Trial(older, newer, folder, processes, report)
        for name, run_group in GROUPS.items():
            if report.includes(name):
                await run_group(trial)
    finally:
        await processes.end_all()
    return report


@click.command()
@click.option("--old", required=True, type=click.Path(path_type=Path), help="A worktree of the older build.")
@click.option("--only", default="", help="Run only one group of checks, for example A1.")
def main(old: Path, only: str) -> None:
    """Check that this build works on data of an older build, and beside its processes."""
    folder = Path(tempfile.mkdtemp(prefix="compatibility-"))
    try:
        report = asyncio.run(run_checks(old.resolve(), only, folder))
    except UnusableBuildError as error:
        click.echo(f"compatibility: {error}", err=True)
        raise SystemExit(BAD_INPUT_CODE) from None
    except asyncio.CancelledError:
        raise SystemExit(SIGNAL_CODE_OFFSET + signal.SIGTERM) from None
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    held = report.check_count - report.failed_count
    click.echo(f"{held} of {report.check_count} checks hold")
    raise SystemExit(FAILED_CODE if report.failed_count else 0)


if __name__ == "__main__":
    main()
