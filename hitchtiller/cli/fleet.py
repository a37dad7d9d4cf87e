"""`hitchtiller fleet`: several gateway processes among stand-ins, with faults between them, judged.

Exit codes: 0 all held, 1 something was broken (it is named, and kept in a folder), 2 a file that can't be
used.
"""

import time
from pathlib import Path

import click
import msgspec

from hitchtiller.cli.show import as_json as print_json
from hitchtiller.cli.show import pairs
from standins.play import Outcome, play, shrink
from standins.schedule import BadFile, Schedule, draw, read_schedule, write_schedule


def _read(file: Path) -> Schedule | None:
    try:
        return read_schedule(file.read_text(), str(file))
    except BadFile as error:
        click.echo(str(error), err=True)
    except (OSError, UnicodeDecodeError) as error:
        click.echo(f"hitchtiller: {file}: {error}", err=True)
    return None


def _say(text: str) -> None:
    click.echo(f"  {text}", err=True)


def _keep(folder: Path, found: Outcome, name: str) -> Path:
    """Keep a schedule with what was seen; gives the schedule's file."""
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{name}.hcl"
    file.write_text(write_schedule(found.schedule))
    seen = {"seed": found.schedule.seed, "broken": found.broken, "counts": found.counts,
            "history": [{"ms": at, "what": what} for at, what in found.history]}  # fmt: skip
    (folder / f"{name}.json").write_bytes(msgspec.json.format(msgspec.json.encode(seen)))
    return file


def fleet_draw(seed: int, size: int, steps: int) -> int:
    """Print a drawn schedule."""
    click.echo(write_schedule(draw(seed, size, steps)), nl=False)
    return 0


def fleet_play(file: Path, as_json: bool, keep: Path) -> int:
    """Play one schedule."""
    schedule = _read(file)
    if schedule is None:
        return 2
    found = play(schedule, _say)
    _keep(keep, found, f"{file.stem}-played")
    _show(found, as_json)
    return 1 if found.broken else 0


def _show(found: Outcome, as_json: bool) -> None:
    if as_json:
        print_json({"seed": found.schedule.seed, "broken": found.broken, "counts": found.counts,
                    "met_ms": round(found.converged_ms), "cold": round(found.cold, 3)})  # fmt: skip
        return
    rows = {"broken": len(found.broken), "one view after ms": round(found.converged_ms),
            "most of a cold cache's bound": f"{found.cold:.2f}", **found.counts}  # fmt: skip
    pairs(f"schedule of seed {found.schedule.seed}", rows)
    for text in found.broken[:10]:
        click.echo(f"hitchtiller: broken: {text}", err=True)


def fleet_soak(minutes: float, seed: int, size: int, steps: int, keep: Path, as_json: bool) -> int:
    """Play drawn schedules, one after another; a failing one is kept."""
    until, failing, plays, requests = time.monotonic() + 60.0 * minutes, list[int](), 0, 0
    met = cold = 0.0
    while time.monotonic() < until:
        found = play(draw(seed + plays, size, steps))
        plays += 1
        requests += sum(found.counts.values())
        met, cold = max(met, found.converged_ms), max(cold, found.cold)
        verdict = "held"
        if found.broken:
            failing.append(found.schedule.seed)
            kept = _keep(keep, found, f"seed-{found.schedule.seed}")
            verdict = f"broken, kept as {kept}: {found.broken[0]}"
        click.echo(f"  seed {found.schedule.seed}: {verdict}", err=True)
    told = {"schedules": plays, "first_seed": seed, "requests": requests, "failing_seeds": failing,
            "longest_to_one_view_ms": round(met), "most_of_a_cold_bound": round(cold, 3)}  # fmt: skip
    if as_json:
        print_json(told)
    else:
        pairs("soak", {key: str(value) for key, value in told.items()})
    return 1 if failing else 0


def fleet_shrink(file: Path, plays: int, out: Path) -> int:
    """Make a failing schedule smaller; 0 if it fails no more as it stands."""
    schedule = _read(file)
    if schedule is None:
        return 2
    if not play(schedule).broken:
        click.echo(f"hitchtiller: {file} holds as it stands; nothing to make smaller", err=True)
        return 0
    tried = 0

    def fails(one: Schedule) -> bool:
        nonlocal tried
        tried += 1
        broken = bool(play(one).broken)
        _say(f"{tried}: {len(one.steps)} steps, {'broken' if broken else 'held'}")
        return broken

    smaller, _ = shrink(schedule, fails, plays)
    out.write_text(write_schedule(smaller))
    click.echo(f"{len(schedule.steps)} steps made {len(smaller.steps)}, in {out}")
    return 1
