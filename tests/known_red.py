"""Pytest plugin that tolerates the failures of tests with a known fault, listed by `--known-red FILE`.

The listed tests run, and their results are printed. The file has one line for each, `TEST, CAUSE, ISSUE`, and
at most three lines. A fourth line, a malformed one, or one that names no existing test ends the run with an
error.
"""

from collections.abc import Generator, Sequence
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

MAX_LINES = 3
KEY = pytest.StashKey[dict[str, str]]()


def read_known_failures(path: Path) -> dict[str, str]:
    """Return the causes and issues in the file by test; raise UsageError if it is malformed."""
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{path}: {len(lines)} lines, {MAX_LINES} at most")
    known = {}
    for line in lines:
        test, *cause_and_issue = (part.strip() for part in line.split(",", 2))
        if len(cause_and_issue) < 2 or not all((test, *cause_and_issue)):
            raise pytest.UsageError(f"{path}: no 'test, cause, issue': {line}")
        known[test] = ", ".join(cause_and_issue)
    return known


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option `--known-red`."""
    parser.addoption("--known-red", metavar="FILE", help="tolerate the failures that FILE lists")


def pytest_configure(config: pytest.Config) -> None:
    """Read the file that the option names."""
    name = config.getoption("--known-red")
    config.stash[KEY] = read_known_failures(Path(name)) if name else {}


def pytest_collection_modifyitems(config: pytest.Config, items: Sequence[pytest.Item]) -> None:
    """Raise UsageError if a line names no collected test."""
    missing = set(config.stash[KEY]) - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(f"known-red names no test there is: {', '.join(sorted(missing))}")


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report the failure of a listed test as an expected failure."""
    report = yield
    if report.failed and item.nodeid in item.config.stash[KEY]:
        report.outcome, report.wasxfail = "skipped", f"known red: {item.config.stash[KEY][item.nodeid]}"
    return report


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print each listed test with its result."""
    known = terminalreporter.config.stash[KEY]
    failed = {report.nodeid for report in terminalreporter.getreports("xfailed")}
    for test, cause_and_issue in known.items():
        terminalreporter.write_line(
            f"KNOWN-RED {'failed' if test in failed else 'passed'} {test}: {cause_and_issue}"
        )
