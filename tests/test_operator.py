"""The operators' file: valid files are read; each fault is reported with its line and a remedy."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from hitchtiller.cli.main import main
from hitchtiller.operator.model import File
from hitchtiller.operator.read import InvalidFileError, read_text

VALID_FILE = """
log { form = "json" }
store {
  memory_mb = 32
  share "files" { weight = 3 }
  share "lookups" { weight = 0.5 }
  disk {
    folder = "/var/lib/hitchtiller"
    budget_mb = 512
    segment_mb = 16
  }
}
"""
DISK_BLOCK_START = 'store {\n  disk {\n    folder = "/x"\n'
INVALID_FILES = [
    ("stor { }", 1, "'stor' is not known in the file", "did you mean 'store'?"),
    ('log {\n  from = "json"\n}', 2, "'from' is not known in 'log'", "did you mean 'form'?"),
    ("log {\n  qqqqqq = 1\n}", 2, "'qqqqqq' is not known", "known here: form"),
    ('log {\n  form = "xml"\n}', 2, "form = 'xml'", 'write "text" or "json"'),
    ("log {\n  form = true\n}", 2, "form = True", 'write "text" or "json"'),
    ("\nlog = 5", 2, "'log' is a block", "write log { ... }"),
    ('log "x" { }', 1, "'log' has 1 labels", "without a label"),
    ("log { }\nlog { }", 2, "'log' stands here a second time (first in line 1)", "leave one of them out"),
    ("store {\n  memory_mb = 0\n}", 2, "memory_mb = 0", "write a size from 0.1 to 1000000"),
    ('store {\n  memory_mb = "64"\n}', 2, "expected `float`", "write a size from"),
    ("store {\n  memory_mb { }\n}", 2, "'memory_mb' is a setting, not a block", "write a size from"),
    ("store {\n  memory_mb = 1\n  memory_mb = 2\n}", 3, "second time (first in line 2)", "leave one"),
    ("store {\n  memory_mb = 3 * var.x\n}", 2, "an expression", "write a size from"),
    ('store {\n  policy = "mru"\n}', 2, "policy = 'mru'", '"s3fifo", "lru"'),
    ("store {\n  confirm = 1\n}", 2, "confirm = 1", "write true or false"),
    ("store {\n  share { }\n}", 2, "'share' has 0 labels", 'write share "NAME" { ... }'),
    ('store {\n  share "a" { }\n  share "a" { }\n}', 3, "'share a' stands here a second time", "leave one"),
    ('store {\n  share "a" {\n    weight = 0\n  }\n}', 3, "weight = 0", "write a number above 0"),
    ("store {\n  disk {\n    budget_mb = 600\n  }\n}", 2, "'folder' is missing in 'disk'", "write the path"),
    ('store {\n  disk {\n    folder = "x"\n  }\n}', 3, "'x' is not absolute", "write the path from /"),
    ('store {\n  disk {\n    folder = "/x"\n    readers = 2.5\n  }\n}', 4, "readers = 2.5", "from 1 to 16"),
    (f"{DISK_BLOCK_START}    budget_mb = 100\n  }}\n}}", 4, "no two segments", "at least 256"),
    (f"{DISK_BLOCK_START}    compact_mb_per_s = 1\n  }}\n}}", 2, "not give way", "at most 1"),
    ('store {\n  disk {\n    folder = "/x"\n    queue_mb = 900\n  }\n}', 4, "over half", "at most 512"),
    ("store {\n  disk {\n", 2, "not HCL", "write settings as name = value"),
    ("a = = 1", 1, "not HCL", "write settings as name = value"),
    ("}", 1, "not HCL", "write settings"),
]


def test_a_valid_file_is_read_and_an_empty_file_gives_the_defaults() -> None:
    file = read_text(VALID_FILE)
    assert file.log.form == "json" and file.store and file.store.disk
    assert file.store.share["files"].weight == 3.0 and file.store.disk.budget_mb == 512
    assert read_text("") == read_text("# nothing\n") == File()


@pytest.mark.parametrize("text, line, what, instead", INVALID_FILES)
def test_each_fault_is_reported_with_line_and_remedy(text: str, line: int, what: str, instead: str) -> None:
    with pytest.raises(InvalidFileError) as caught:
        read_text(text, "f.hcl")
    problem = caught.value.problems[0]
    assert problem.line == line and what in problem.what and instead in problem.instead
    assert str(problem).startswith(f"f.hcl:{line}: ")


def test_all_faults_are_reported_together_in_line_order() -> None:
    with pytest.raises(InvalidFileError) as caught:
        read_text("log {\n  form = 1\n}\nstore {\n  memory_mb = -1\n  disk {\n    reader = 1\n  }\n}")
    assert [problem.line for problem in caught.value.problems] == [2, 5, 6, 7]


def test_check_sets_the_exit_code_and_prints_json(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.hcl", tmp_path / "bad.hcl"
    good.write_text(VALID_FILE)
    bad.write_text("stor { }")
    runner = CliRunner()
    assert runner.invoke(main, ["check", str(good)]).exit_code == 0
    result = runner.invoke(main, ["check", str(bad), "--json"])
    assert result.exit_code == 1 and json.loads(result.output)["problems"][0]["line"] == 1
    assert runner.invoke(main, ["check", str(tmp_path / "none.hcl")]).exit_code == 2


def test_the_example_file_is_valid() -> None:
    example = Path(__file__).parent.parent / "deploy" / "gateway.example.hcl"
    assert read_text(example.read_text(), str(example)).store
