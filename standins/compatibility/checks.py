"""What all checks share: the comparison of values, the report, and the builds that a check works with."""

import asyncio
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import click

from standins.compatibility.builds import Build, Processes

CHECK_TIMEOUT_S = 40.0  # for one check


class MismatchError(Exception):
    """A check that does not hold; the text says what was expected and what was seen."""


def expect(subject: str, expected: object, seen: object) -> None:
    """Raise MismatchError unless both values are equal.

    For two dictionaries, the text of the error holds only the entries that differ.
    """
    if isinstance(expected, dict) and isinstance(seen, dict):
        names = [name for name in {**expected, **seen} if expected.get(name) != seen.get(name)]
        expected, seen = ({name: each.get(name) for name in names} for each in (expected, seen))
    if expected != seen:
        raise MismatchError(f"{subject}: expected {expected!r}, saw {seen!r}")


class Report:
    """Prints one line for each check and counts those that failed."""

    def __init__(self, only: str) -> None:
        """Report on those groups of checks whose names begin with `only`."""
        self.only, self.failed_count, self.check_count = only, 0, 0

    def includes(self, name: str) -> bool:
        """Return whether a group of checks is to be run."""
        return name.startswith(self.only)

    @asynccontextmanager
    async def check(self, name: str) -> AsyncIterator[list[str]]:
        """Run the block as a check; the texts that it appends to the list are printed in the line."""
        details: list[str] = []
        self.check_count += 1
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                yield details
        except Exception as error:  # any error is a failure of this check; the next check is run
            self.failed_count += 1
            reason = str(error) if isinstance(error, MismatchError) else f"expected no error, saw {error!r}"
            click.echo(f"FAILED {name}: {' '.join(reason.split())}")
        else:
            click.echo(f"ok {name}{': ' if details else ''}{', '.join(details)}")


@dataclass(frozen=True, slots=True)
class Trial:
    """What a check works with: the two builds, a temporary folder, and the processes that were started."""

    old: Build
    new: Build
    folder: Path
    processes: Processes
    report: Report

    @property
    def builds(self) -> tuple[Build, Build]:
        """Return the older and the newer build."""
        return self.old, self.new

    def directions(self) -> list[tuple[Build, Build]]:
        """Return both orders of the builds; the one that writes goes first."""
        return [(self.old, self.new), (self.new, self.old)]

    def new_folder(self, name: str) -> Path:
        """Return a new folder below the temporary one."""
        return Path(tempfile.mkdtemp(prefix=f"{name}-", dir=self.folder))
