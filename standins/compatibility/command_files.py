"""Checks of files that commands read: the operators' file (A3) and the trace of `store replay` (A5)."""

import json
import random
from pathlib import Path

from standins.compatibility.builds import ROOT, CommandResult
from standins.compatibility.checks import Trial, expect

EXAMPLE_FILE = ROOT / "deploy" / "gateway.example.hcl"
FULL_FILE = """
log {
  form = "json"
}
store {
  memory_mb = 32.5
  policy = "tinylfu"
  confirm = false
  purge_lag_ms = 1500
  share "files" {
    weight = 3
  }
  disk {
    folder = "/var/lib/hitchtiller/store"
    budget_mb = 2048
    reserve_mb = 100
    segment_mb = 32
    queue_mb = 4
    readers = 3
    sync_ms = 500
    checkpoint_s = 10
    compact_mb_per_s = 20
    compact_busy_mb_per_s = 2
  }
}
repo {
  listen = "127.0.0.1:8080"
  connections = 100
  each_address = 8
  header_s = 4
  idle_s = 10
  slow_s = 12
  give_way = false
  hosts = "a.example,b.example"
  repository "python" {
    kind = "simple"
    class_name = "files"
    prefix = "pypi/"
    group = 7
    grace_s = 30
    index_mb = 16
  }
  repository "debian" {
    kind = "debian"
    class_name = "files"
    prefix = "debian/"
  }
}
membership {
  period_ms = 500
  fleet = "east"
}
"""
BARE_FILE = """
store {
  share "files" {
  }
  disk {
    folder = "/var/lib/hitchtiller/store"
  }
}
repo {
  listen = "127.0.0.1:8080"
  repository "python" {
    kind = "simple"
    class_name = "files"
  }
}
membership {
}
"""
OPERATORS_FILES = (  # name, text, exit code of `hitchtiller check`, texts that its output contains
    ("empty", "", 0, ()),
    ("full", FULL_FILE, 0, ()),
    ("defaults", BARE_FILE, 0, ()),
    ("unknown block", "stor {\n}\n", 1, ("'stor'", "'store'")),
    ("unknown setting", "membership {\n  periodms = 500\n}\n", 1, (":2:", "period_ms")),
    ("wrong unit", 'membership {\n  period_ms = "500ms"\n}\n', 1, (":2:", "period_ms", "500ms")),
    ("wrong choice", 'store {\n  policy = "arc"\n}\n', 1, (":2:", "policy", "arc")),
    ("out of bounds", "membership {\n  period_ms = 49\n}\n", 1, (":2:", "period_ms", "49")),
    ("missing", "store {\n  disk {\n  }\n}\n", 1, ("folder",)),
    ("relation", 'store {\n disk {\n folder = "/x"\n budget_mb = 2\n }\n}\n', 1, ("budget_mb",)),
    ("no HCL", "store {{\n", 1, (":1:",)),
)  # fmt: skip

TRACE_SEED = 7
TRACE_REQUESTS, TRACE_OBJECTS = 4_000, 400
MIN_OBJECT_BYTES, MAX_OBJECT_BYTES = 200, 200_000
POPULARITY_EXPONENT = 0.7  # of the Pareto distribution that objects are drawn from
MIN_POLICIES = 2


async def compare_outputs(trial: Trial, *arguments: str) -> CommandResult:
    """Check that a command ends and prints alike in both builds; return the older build's result."""
    old, new = [await trial.processes.run_tool(build, *arguments) for build in trial.builds]
    expect(f"exit code of {arguments[0]} by the newer build", old.code, new.code)
    expect(f"output of {arguments[0]} by the newer build", old.out, new.out)
    expect(f"errors of {arguments[0]} by the newer build", old.err, new.err)
    return old


async def expect_same_result_of_check(trial: Trial, path: Path, code: int, texts: tuple[str, ...]) -> None:
    """Check that both builds judge an operators' file alike, and as wanted."""
    result = await compare_outputs(trial, "check", str(path))
    expect("exit code", code, result.code)
    expect("parts of the output that are missing", [], [text for text in texts if text not in result.out])
    if code == 0:
        result = await compare_outputs(trial, "check", str(path), "--json")
        expect("problems", [], json.loads(result.out)["problems"])


async def check_operators_files_are_judged_alike(trial: Trial) -> None:
    """Check that `hitchtiller check` gives the same result on operators' files in both builds."""
    folder = trial.new_folder("files")
    for name, text, code, texts in (("example", EXAMPLE_FILE.read_text(), 0, ()), *OPERATORS_FILES):
        async with trial.report.check(f"A3 operators' file, {name}") as details:
            path = folder / f"{name.replace(' ', '-')}.hcl"
            path.write_text(text)
            await expect_same_result_of_check(trial, path, code, texts)
            details.append(f"exit code {code}")


def make_trace() -> str:
    """Return a trace of requests for objects of skewed popularity, with one size for each object."""
    rng = random.Random(TRACE_SEED)
    sizes = [rng.randint(MIN_OBJECT_BYTES, MAX_OBJECT_BYTES) for _ in range(TRACE_OBJECTS)]
    keys = [
        min(int(rng.paretovariate(POPULARITY_EXPONENT)), TRACE_OBJECTS) - 1 for _ in range(TRACE_REQUESTS)
    ]
    return "# KEY SIZE\n" + "".join(f"object-{key} {sizes[key]}\n" for key in keys)


async def expect_same_replay(trial: Trial, path: Path) -> str:
    """Check that `store replay` gives the same figures in both builds; return the counts in words."""
    path.write_text(make_trace())
    result = await compare_outputs(trial, "store", "replay", "--trace", str(path), "--json")
    expect("exit code", 0, result.code)
    rows = json.loads(result.out)["rows"]
    have_hits = len(rows) >= MIN_POLICIES and all(row["share"] > 0.0 for row in rows)
    expect("policies with hits", True, have_hits)
    return f"{len(rows)} policies over {TRACE_REQUESTS} requests"


async def check_traces_are_replayed_alike(trial: Trial) -> None:
    """Check that `store replay` gives the same result on a trace, and on a malformed one, in both builds."""
    async with trial.report.check("A5 trace for store replay") as details:
        details.append(await expect_same_replay(trial, trial.new_folder("trace") / "trace.txt"))
    async with trial.report.check("A5 bad trace for store replay") as details:
        path = trial.new_folder("trace") / "bad.txt"
        path.write_text("object-1 100\nobject-2\n")
        result = await compare_outputs(trial, "store", "replay", "--trace", str(path))
        expect("exit code", 2, result.code)
        expect("the error names the line", True, f"{path}:2:" in result.err)
        details.append("exit code 2")
