"""Tests of --known-red: only listed failures are tolerated, and all are printed; a bad file is an error."""

import re
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
CI_OPTION = re.compile(r'\$command (--known-red.*)"')  # in the script that CI runs
TESTS = "def test_red(): assert False\ndef test_other_red(): assert False\ndef test_green(): pass\n"


def run(folder: Path, listed: str | None, tests: str = TESTS) -> tuple[int, str]:
    """Run pytest on `tests` with a list of known failures; return its exit code and output."""
    shutil.copy(HERE / "known_red.py", folder / "conftest.py")
    (folder / "test_it.py").write_text(tests)
    (folder / "pytest.ini").write_text("[pytest]\n")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
        command += ["--known-red", "KNOWN-RED.txt"]
    done = subprocess.run(command, cwd=folder, capture_output=True, text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


def test_the_option_as_ci_gives_it_is_known_with_the_plugin_in_the_folder_of_tests(tmp_path: Path) -> None:
    tests = tmp_path / "tests"
    tests.mkdir()
    shutil.copy(HERE / "known_red.py", tests / "conftest.py")
    (tests / "test_it.py").write_text("def test_red(): assert False\n")
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (tmp_path / "KNOWN-RED.txt").write_text("tests/test_it.py::test_red, cause, 1\n")
    option = CI_OPTION.search((HERE.parent / ".ci" / "run").read_text())
    assert option
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *option[1].split()]
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=60, check=False)
    assert done.returncode == 0 and "1 xfailed" in done.stdout, done.stdout + done.stderr


def test_without_the_option_every_failure_counts(tmp_path: Path) -> None:
    code, said = run(tmp_path, None)
    assert code == 1 and "2 failed, 1 passed" in said


def test_only_the_listed_failure_is_tolerated_and_it_is_printed(tmp_path: Path) -> None:
    code, said = run(tmp_path, "test_it.py::test_red, the cause, issue 1\n")
    assert code == 1 and "1 failed, 1 passed, 1 xfailed" in said
    assert "KNOWN-RED failed test_it.py::test_red: the cause, issue 1" in said


def test_the_run_passes_with_all_failures_listed_and_a_listed_test_that_passes_is_printed(
    tmp_path: Path,
) -> None:
    listed = "".join(f"test_it.py::test_{name}, cause, 1\n" for name in ("red", "other_red", "green"))
    code, said = run(tmp_path, listed)
    assert code == 0 and "1 passed, 2 xfailed" in said
    assert "KNOWN-RED passed test_it.py::test_green: cause, 1" in said


@pytest.mark.parametrize(
    ("listed", "said"),
    [
        ("test_it.py::test_gone, cause, 1\n", "names no test there is: test_it.py::test_gone"),
        ("test_it.py::test_red\n", "no 'test, cause, issue'"),
        ("".join(f"test_it.py::test_{n}, cause, 1\n" for n in range(4)), "4 lines, 3 at most"),
    ],
)
def test_a_malformed_list_fails_the_run(tmp_path: Path, listed: str, said: str) -> None:
    code, printed = run(tmp_path, listed, "def test_red(): pass\n")
    assert code != 0 and said in printed
