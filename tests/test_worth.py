"""The table of a fleet's worth from its gateways' logs, spoilt ones included."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hitchtiller.cli.main import main
from hitchtiller.ops.stats import Stats

HEAD = "0.000 10:00:{:06.3f} INFO {} "


def line(at: float, name: str, asked: float, refused: float, busy: int) -> str:
    stats = Stats(["files"])
    stats.worth["asked"], stats.worth["refused"], stats.links = asked, refused, 1
    stats.tries["busy"] = busy
    return HEAD.format(at, name) + stats.figures() + "\n"


def call(*words: str) -> tuple[int, str, str]:
    result = CliRunner(mix_stderr=False).invoke(main, ["worth", *words])
    return result.exit_code, result.stdout, result.stderr


@pytest.fixture
def logs(tmp_path: Path) -> Path:
    first = line(1.0, "n0", 0, 0, 0) + "n0 says something else\n" + line(6.0, "n0", 10, 2, 3)
    (tmp_path / "n0.log").write_text(first + line(11.0, "n0", 14, 2, 3))
    # killed after its second line: the third counts from 0 again
    second = line(1.5, "n1", 0, 0, 0) + line(6.5, "n1", 8, 1, 1)
    (tmp_path / "n1.log").write_text(second + line(11.5, "n1", 3, 1, 0))
    return tmp_path


def test_rows_sum_the_differences_of_all_gateways_over_restarts(logs: Path) -> None:
    code, out, _ = call(str(logs), "--json")
    got = json.loads(out)
    assert code == 0 and got["gateways"] == 2 and got["problems"] == []
    rows = [(r["from_s"], r["worth.asked"], r["worth.refused"], r["end.busy"]) for r in got["rows"]]
    assert rows == [(0.0, 0, 0, 0), (5.0, 18, 3, 4), (10.0, 7, 1, 0)]


def test_the_table_names_what_became_of_the_worth(logs: Path) -> None:
    code, out, _ = call(str(logs))
    assert code == 0 and "refused" in out and "busy" in out and "2 gateways" in out


def test_a_spoilt_line_and_a_missing_file_are_named_and_the_rest_is_summed(logs: Path) -> None:
    with (logs / "n0.log").open("a") as log:
        log.write(HEAD.format(16.0, "n0") + "figures worth.asked=1x4 worth.refused=2\n")
        log.write("cut off figures worth.asked=1\n")
    code, out, errors = call(str(logs), str(logs / "none.log"), "--json")
    assert code == 1
    assert "n0.log:5: 'worth.asked=1x4' is no counter" in errors
    assert "n0.log:6: no time or no name" in errors and "none.log: No such file" in errors
    assert sum(row["worth.asked"] for row in json.loads(out)["rows"]) == 25


def test_logs_without_a_line_of_ours_are_told(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_bytes(b"\xff\x00 nothing\n")
    code, _, errors = call(str(tmp_path))
    assert code == 2 and "no `figures` line" in errors
