"""Output of the commands: JSON or rich tables on standard output, progress bars on standard error."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

NUMBER_PUNCTUATION = str.maketrans("", "", ".-%")


def print_json(value: object) -> None:
    """Print a value as JSON on one line."""
    print(msgspec.json.encode(value).decode())


def print_table(title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a table; columns that hold only numbers are aligned right.

    Where standard output is no terminal, the table is at most 120 characters wide.
    """
    cells = [[str(cell) for cell in row] for row in rows]
    rich_table = Table(title=title, title_justify="left")
    for index, column in enumerate(columns):
        is_numeric = all(row[index].translate(NUMBER_PUNCTUATION).isdecimal() for row in cells)
        rich_table.add_column(column, justify="right" if is_numeric and cells else "left")
    for cell_row in cells:
        rich_table.add_row(*cell_row)
    console = Console()
    if not console.is_terminal:
        console = Console(width=120)
    console.print(rich_table)


def print_pairs(title: str, values: Mapping[str, Any]) -> None:
    """Print a table of names and values."""
    print_table(title, ("what", "value"), list(values.items()))


def progress_bar() -> Progress:
    """Return a progress bar on standard error; it shows nothing if that is not a terminal."""
    return Progress(
        TextColumn("{task.description}"), BarColumn(), TextColumn("{task.completed}/{task.total}"),
        TimeRemainingColumn(), console=Console(stderr=True), transient=True,
    )  # fmt: skip
