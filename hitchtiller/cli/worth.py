"""`hitchtiller worth LOG...`: sums the outcomes of requests by worth, from `figures` lines of all gateways.

Each gateway writes its counters every 5 s, counted from the start of its process. The difference between two
lines is added to the row in which the later one was written, so a row is off by one such interval at most,
and what a gateway did after its last line is not in the sum. Rows begin with the earliest line of all
gateways, so their clocks must agree. The lines give the time of day only; a log that passes midnight
continues with the next day.
"""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import click

from hitchtiller.cli.show import print_json, print_table

LINE_PATTERN = re.compile(r"(\d\d):(\d\d):(\d\d\.\d+) [A-Z]+ (\S+) figures (.*)\Z")
COUNTER_PATTERN = re.compile(r"([a-z][a-z_.]*)=(\d+(?:\.\d+)?)\Z")
DAY_S = 86_400.0
COLUMNS = ("asked", "in_time", "late", "refused", "failed", "left")


@dataclass
class OutcomeSum:
    """The summed counters by row, keyed by the row's start in seconds, and what could not be read."""

    rows: dict[float, defaultdict[str, float]] = field(default_factory=dict)
    gateways: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)


def find_log_files(paths: Iterable[Path]) -> Iterator[Path]:
    """Iterate over the files and, for each folder, its files that end in .log, sorted by name."""
    for path in paths:
        yield from sorted(path.glob("*.log")) if path.is_dir() else [path]


def read_line(text: str) -> tuple[float, str, dict[str, float]] | None:
    """Parse a `figures` line: the seconds of the day, the gateway and its counters.

    Returns None for any other line; ValueError for a damaged `figures` line.
    """
    parsed = LINE_PATTERN.search(text)
    if parsed is None:
        if " figures " in text and "worth." in text:
            raise ValueError("no time or no name before `figures`")
        return None
    hour, minute, second, name, rest = parsed.groups()
    counters = {}
    for word in rest.split():
        counter = COUNTER_PATTERN.match(word)
        if counter is None:
            raise ValueError(f"{word[:40]!r} is no counter; expected name=number")
        counters[counter[1]] = float(counter[2])
    return int(hour) * 3600.0 + int(minute) * 60.0 + float(second), name, counters


def read_file(path: Path, problems: list[str]) -> list[tuple[float, str, dict[str, float]]]:
    """Read the `figures` lines of one log; damaged lines are reported in `problems` and left out."""
    lines, last_s = [], 0.0
    try:
        with path.open(errors="replace") as log:
            for line_number, text in enumerate(log, 1):
                try:
                    entry = read_line(text.rstrip("\n"))
                except ValueError as error:
                    problems.append(f"{path}:{line_number}: {error}; the line is left out")
                    continue
                if entry:
                    time_s = entry[0] + DAY_S * max(0, round((last_s - entry[0]) / DAY_S))
                    last_s = max(last_s, time_s)
                    lines.append((time_s, entry[1], entry[2]))
    except OSError as error:
        problems.append(f"{path}: {error.strerror}; the file is left out")
    return lines


def sum_logs(paths: Iterable[Path], row_s: float) -> OutcomeSum:
    """Sum the differences between successive lines of each gateway, by row."""
    summary = OutcomeSum()
    logs = [read_file(path, summary.problems) for path in find_log_files(paths)]
    start_s = min((line[0] for log in logs for line in log), default=0.0)
    for log in logs:
        last_counters: dict[str, dict[str, float]] = {}
        for time_s, name, counters in log:
            summary.gateways.add(name)
            previous = last_counters.get(name, {})
            # A counter that fell shows a new process, whose counters began at 0.
            has_restarted = any(counters.get(key, 0.0) < value for key, value in previous.items())
            row = summary.rows.setdefault((time_s - start_s) // row_s * row_s, defaultdict(float))
            for key, value in counters.items():
                row[key] += value - (0.0 if has_restarted else previous.get(key, 0.0))
            last_counters[name] = counters
    return summary


def worth(logs: tuple[Path, ...], row_s: float, as_json: bool) -> int:
    """Print the sums; return 1 if something could not be read, 2 if there was nothing to sum."""
    summary = sum_logs(logs, row_s)
    for problem in summary.problems:
        click.echo(f"hitchtiller: {problem}", err=True)
    if not summary.rows:
        click.echo("hitchtiller: no `figures` line in these logs; gateways write one every 5 s", err=True)
        return 2
    rows = dict(sorted(summary.rows.items()))
    if as_json:
        json_rows = [
            {"from_s": start, **{key: round(value, 3) for key, value in sorted(row.items())}}
            for start, row in rows.items()
        ]
        print_json({"gateways": len(summary.gateways), "rows": json_rows, "problems": summary.problems})
        return 1 if summary.problems else 0
    statuses = sorted({key for row in rows.values() for key in row if key.startswith("end.") and row[key]})
    headings = ("from s", *COLUMNS, *(end.removeprefix("end.") for end in statuses), "links")
    cells = [
        (f"{start:g}", *(f"{row['worth.' + c]:g}" for c in COLUMNS), *(f"{row[e]:g}" for e in statuses),
         f"{row['links']:g}")
        for start, row in rows.items()
    ]  # fmt: skip
    title = f"worth by what became of it, ends of attempts, links opened: {len(summary.gateways)} gateways"
    print_table(title, headings, cells)
    return 1 if summary.problems else 0
