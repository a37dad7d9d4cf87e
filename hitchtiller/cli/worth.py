"""`hitchtiller worth LOG...`: where a fleet's worth goes, from the `figures` lines of all its gateways.

Each gateway writes its counters every 5 s, counted from the start of its process. The difference between two
lines belongs to the row in which the later one was written, so a row is off by one such interval at most, and
what a gateway did after its last line is not in the sum. Rows are counted from the earliest line of all
gateways, so their clocks must agree; the time of day is read, a log over midnight goes on by a day.
"""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

from hitchtiller.cli.show import as_json as print_json
from hitchtiller.cli.show import table

LINE = re.compile(r"(\d\d):(\d\d):(\d\d\.\d+) [A-Z]+ (\S+) figures (.*)\Z")
PAIR = re.compile(r"([a-z][a-z_.]*)=(\d+(?:\.\d+)?)\Z")
DAY_S = 86_400.0
COLUMNS = ("asked", "in_time", "late", "refused", "failed", "left")


@dataclass
class Sum:
    """What was read: rows by their start in seconds, and what could not be."""

    rows: dict[float, defaultdict[str, float]] = field(default_factory=dict)
    gateways: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)


def files(paths: Iterable[Path]) -> Iterator[Path]:
    """Give the files, and those of folders that end in .log, in order."""
    for path in paths:
        yield from sorted(path.glob("*.log")) if path.is_dir() else [path]


def read_line(text: str) -> tuple[float, str, dict[str, float]] | None:
    """Read a `figures` line: seconds of the day, the gateway, its counters; ValueError if it is spoilt."""
    found = LINE.search(text)
    if found is None:
        if " figures " in text and "worth." in text:
            raise ValueError("no time or no name before `figures`")
        return None
    hour, minute, second, name, rest = found.groups()
    counters = {}
    for word in rest.split():
        pair = PAIR.match(word)
        if pair is None:
            raise ValueError(f"{word[:40]!r} is no counter, wanted name=number")
        counters[pair[1]] = float(pair[2])
    return int(hour) * 3600.0 + int(minute) * 60.0 + float(second), name, counters


def read_file(path: Path, problems: list[str]) -> list[tuple[float, str, dict[str, float]]]:
    """Read one log; what is spoilt is named with its file and line, and passed over."""
    lines, last = [], 0.0
    try:
        with path.open(errors="replace") as log:
            for number, text in enumerate(log, 1):
                try:
                    entry = read_line(text.rstrip("\n"))
                except ValueError as error:
                    problems.append(f"{path}:{number}: {error}; the line is left out")
                    continue
                if entry:
                    at = entry[0] + DAY_S * max(0, round((last - entry[0]) / DAY_S))
                    last = max(last, at)
                    lines.append((at, entry[1], entry[2]))
    except OSError as error:
        problems.append(f"{path}: {error.strerror}; the file is left out")
    return lines


def sum_up(paths: Iterable[Path], row_s: float) -> Sum:
    """Sum the differences between each gateway's lines, by row."""
    total = Sum()
    logs = [read_file(path, total.problems) for path in files(paths)]
    begun = min((line[0] for log in logs for line in log), default=0.0)
    for log in logs:
        before: dict[str, dict[str, float]] = {}
        for at, name, counters in log:
            total.gateways.add(name)
            old = before.get(name, {})
            anew = any(counters.get(key, 0.0) < value for key, value in old.items())  # a new process
            row = total.rows.setdefault((at - begun) // row_s * row_s, defaultdict(float))
            for key, value in counters.items():
                row[key] += value - (0.0 if anew else old.get(key, 0.0))
            before[name] = counters
    return total


def worth(logs: tuple[Path, ...], row_s: float, as_json: bool) -> int:
    """Print the table; 1 if something could not be read, 2 if nothing was there to sum."""
    total = sum_up(logs, row_s)
    for problem in total.problems:
        click.echo(f"hitchtiller: {problem}", err=True)
    if not total.rows:
        click.echo("hitchtiller: no `figures` line in these logs; gateways write one every 5 s", err=True)
        return 2
    rows = dict(sorted(total.rows.items()))
    if as_json:
        shown = [
            {"from_s": start, **{key: round(value, 3) for key, value in sorted(row.items())}}
            for start, row in rows.items()
        ]
        print_json({"gateways": len(total.gateways), "rows": shown, "problems": total.problems})
        return 1 if total.problems else 0
    ends = sorted({key for row in rows.values() for key in row if key.startswith("end.") and row[key]})
    heads = ("from s", *COLUMNS, *(end.removeprefix("end.") for end in ends), "links")
    cells = [
        (f"{start:g}", *(f"{row['worth.' + c]:g}" for c in COLUMNS), *(f"{row[e]:g}" for e in ends),
         f"{row['links']:g}")
        for start, row in rows.items()
    ]  # fmt: skip
    title = f"worth by what became of it, ends of attempts, links opened: {len(total.gateways)} gateways"
    table(title, heads, cells)
    return 1 if total.problems else 0
