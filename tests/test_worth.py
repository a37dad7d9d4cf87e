"""Tests of `worth`: the table of a fleet's worth from its gateways' logs, also from damaged ones."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hitchtiller.cli.main import main
from hitchtiller.ops.stats import Stats

HEAD = "0.000 10:00:{:06.3f} INFO {} "


def figures_line(at: float, name: str, asked: float, refused: float, busy: int) -> str:
    stats = Stats(["files"])
    stats.worth["asked"], stats.worth["refused"], stats.links = asked, refused, 1
    stats.attempt_results["busy"] = busy
    return HEAD.format(at, name) + stats.figures_line() + "\n"


def run_worth(*arguments: str) -> tuple[int, str, str]:
    result = CliRunner(mix_stderr=False).invoke(main, ["worth", *arguments])
    return result.exit_code, result.stdout, result.stderr


@pytest.fixture
def logs(tmp_path: Path) -> Path:
    first = figures_line(1.0, "n0", 0, 0, 0) + "n0 says something else\n" + figures_line(6.0, "n0", 10, 2, 3)
    (tmp_path / "n0.log").write_text(first + figures_line(11.0, "n0", 14, 2, 3))
    # this gateway was killed after its second line, so the third counts from 0 again
    second = figures_line(1.5, "n1", 0, 0, 0) + figures_line(6.5, "n1", 8, 1, 1)
    (tmp_path / "n1.log").write_text(second + figures_line(11.5, "n1", 3, 1, 0))
    return tmp_path


def test_rows_sum_the_differences_of_all_gateways_over_restarts(logs: Path) -> None:
    code, out, _ = run_worth(str(logs), "--json")
    got = json.loads(out)
    assert code == 0 and got["gateways"] == 2 and got["problems"] == []
    rows = [(r["from_s"], r["worth.asked"], r["worth.refused"], r["end.busy"]) for r in got["rows"]]
    assert rows == [(0.0, 0, 0, 0), (5.0, 18, 3, 4), (10.0, 7, 1, 0)]


def test_the_table_shows_how_requests_ended(logs: Path) -> None:
    code, out, _ = run_worth(str(logs))
    assert code == 0 and "refused" in out and "busy" in out and "2 gateways" in out


def test_a_damaged_line_and_a_missing_file_are_reported_and_the_rest_is_summed(logs: Path) -> None:
    with (logs / "n0.log").open("a") as log:
        log.write(HEAD.format(16.0, "n0") + "figures worth.asked=1x4 worth.refused=2\n")
        log.write("cut off figures worth.asked=1\n")
    code, out, errors = run_worth(str(logs), str(logs / "none.log"), "--json")
    assert code == 1
    assert "n0.log:5: 'worth.asked=1x4' is no counter" in errors
    assert "n0.log:6: no time or no name" in errors and "none.log: No such file" in errors
    assert sum(row["worth.asked"] for row in json.loads(out)["rows"]) == 25


def test_logs_without_a_figures_line_are_reported(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_bytes(b"\xff\x00 nothing\n")
    code, _, errors = run_worth(str(tmp_path))
    assert code == 2 and "no `figures` line" in errors
