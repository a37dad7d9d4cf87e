"""`hitchtiller fleet`: runs several gateway processes with stand-ins, injects faults and checks the results.

Exit codes: 0 no rule was broken, 1 a rule or a process was broken (it is named, and the schedule is saved
in a folder), 2 a file can't be used.
"""

import time
from pathlib import Path

import click
import msgspec

from hitchtiller.cli.show import print_json, print_pairs
from standins.play import Outcome, play, shrink
from standins.schedule import InvalidFileError, Schedule, random_schedule, read_schedule, write_schedule


def _load_schedule(file: Path) -> Schedule | None:
    """Read a schedule; print the error and return None if it can't be used."""
    try:
        return read_schedule(file.read_text(), str(file))
    except InvalidFileError as error:
        click.echo(str(error), err=True)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"hitchtiller: {file}: {error}", err=True)
    return None


def _print_progress(text: str) -> None:
    """Print a line of progress to standard error."""
    click.echo(f"  {text}", err=True)


def _save_outcome(folder: Path, outcome: Outcome, name: str) -> Path:
    """Save a schedule and, in a JSON file beside it, what was observed; return the schedule's file."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{name}.hcl"
    file.write_text(write_schedule(outcome.schedule))
    record = {"seed": outcome.schedule.seed, "broken": outcome.broken, "counts": outcome.counts,
              "history": [{"ms": at_ms, "what": what} for at_ms, what in outcome.history]}  # fmt: skip
    (folder / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(record)))
    return file


def fleet_draw(seed: int, size: int, steps: int) -> int:
    """Print a schedule drawn from a seed."""
    click.echo(write_schedule(random_schedule(seed, size, steps)), nl=False)
    return 0


def fleet_play(file: Path, as_json: bool, keep: Path) -> int:
    """Play one schedule, save the outcome in the folder `keep` and print it."""
    schedule = _load_schedule(file)
    if schedule is None:
        return 2
    outcome = play(schedule, _print_progress)
    _save_outcome(keep, outcome, f"{file.stem}-played")
    _print_outcome(outcome, as_json)
    return 1 if outcome.broken else 0


def _print_outcome(outcome: Outcome, as_json: bool) -> None:
    """Print an outcome; in the table form, the first ten faults go to standard error."""
    if as_json:
        print_json({"seed": outcome.schedule.seed, "broken": outcome.broken, "counts": outcome.counts,
                    "met_ms": round(outcome.converged_ms), "cold": round(outcome.cold, 3)})  # fmt: skip
        return
    rows = {"broken": len(outcome.broken), "one view after ms": round(outcome.converged_ms),
            "most of a cold cache's bound": f"{outcome.cold:.2f}", **outcome.counts}  # fmt: skip
    print_pairs(f"schedule of seed {outcome.schedule.seed}", rows)
    for text in outcome.broken[:10]:
        click.echo(f"hitchtiller: broken: {text}", err=True)


def fleet_soak(minutes: float, seed: int, size: int, steps: int, keep: Path, as_json: bool) -> int:
    """Play drawn schedules one after another for `minutes`; failing ones are saved in the folder `keep`."""
    deadline_s, failing_seeds, plays, requests = time.monotonic() + 60.0 * minutes, list[int](), 0, 0
    max_converged_ms = max_cold_share = 0.0
    while time.monotonic() < deadline_s:
        outcome = play(random_schedule(seed + plays, size, steps))
        plays += 1
        requests += sum(outcome.counts.values())
        max_converged_ms, max_cold_share = (
            max(max_converged_ms, outcome.converged_ms),
            max(max_cold_share, outcome.cold),
        )
        verdict = "held"
        if outcome.broken:
            failing_seeds.append(outcome.schedule.seed)
            saved_file = _save_outcome(keep, outcome, f"seed-{outcome.schedule.seed}")
            verdict = f"broken, kept as {saved_file}: {outcome.broken[0]}"
        click.echo(f"  seed {outcome.schedule.seed}: {verdict}", err=True)
    summary = {"schedules": plays, "first_seed": seed, "requests": requests, "failing_seeds": failing_seeds,
               "longest_to_one_view_ms": round(max_converged_ms),
               "most_of_a_cold_bound": round(max_cold_share, 3)}  # fmt: skip
    if as_json:
        print_json(summary)
    else:
        print_pairs("soak", {key: str(value) for key, value in summary.items()})
    return 1 if failing_seeds else 0


def fleet_shrink(file: Path, plays: int, out: Path) -> int:
    """Shrink a failing schedule, with at most `plays` plays; return 0 if the schedule does not fail."""
    schedule = _load_schedule(file)
    if schedule is None:
        return 2
    if not play(schedule).broken:
        click.echo(f"hitchtiller: {file} passes as it is; there is nothing to shrink", err=True)
        return 0
    play_count = 0

    def fails(candidate: Schedule) -> bool:
        """Play a smaller schedule and return whether it is still broken."""
        nonlocal play_count
        play_count += 1
        broken = bool(play(candidate).broken)
        _print_progress(f"{play_count}: {len(candidate.steps)} steps, {'broken' if broken else 'held'}")
        return broken

    smaller, _ = shrink(schedule, fails, plays)
    out.write_text(write_schedule(smaller))
    click.echo(f"{len(schedule.steps)} steps made {len(smaller.steps)}, in {out}")
    return 1
