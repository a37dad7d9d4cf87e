"""Tests of the simulator adapter: events in, actions out, and one clear error line for invalid input."""

import io
import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from hitchtiller import interface as api
from hitchtiller.wirehost import Host, WireError, pack, unpack

ROOT = Path(__file__).parent.parent
SETUP: dict[str, Any] = {
    "classes": [{"name": "a", "aim_ms": 300.0, "deadline_ms": 3000.0, "effect": "repeatable", "new": 1}],
    "my_number": 0,
    "group_size": 2,
    "my_zone": "z",
    "localities": ["h", "z"],
    "skus": ["box", "parent", "origin"],
    "limits": {"try_limit": 4, "peers": True, "unheard_of": True},
    "family_info": {
        "hub_of": [0, 0],
        "instances_by_zone": [0, 2],
        "second_tier_kind": 1,
        "store_kind": 2,
        "stream_kb_per_s": 1000.0,
        "peers_fill": "location",
    },
}
NODES = [
    {
        "cache": f"10.0.0.{n}:1",
        "zone": zone,
        "model": model,
        "lifecycle": "SERVING",
        "unit_group": 0,
        "units": 5,
    }
    for n, (zone, model) in enumerate([("z", "box"), ("z", "box"), ("h", "parent"), ("h", "origin")])
]


def line(name: str, **fields: Any) -> str:
    return json.dumps({name: fields}) + "\n"


def script(*names: str) -> str:
    text = line("turn", t_ms=5.0)
    for name in names:
        text += line("attach", gateway=name, nonce64=9, setup=SETUP)
        text += line("ledger", sheet=0, nodes_list=NODES)
        text += line("view", gateway=name, mode="Persisted", sheet=0, serial=1)
    for n in range(40):
        for name in names:
            text += line(
                "request", gateway=name, tid=n, priority="a", item=n % 7, deadline_ms=900.0, kbytes=90
            )
    return text + line("commit") + line("turn", t_ms=950.0) + line("commit")


def run(text: str, **env: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "hitchtiller.wirehost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, **env},
    )


def replies(text: str) -> list[dict[str, Any]]:
    return [json.loads(reply) for reply in text.splitlines()]


def test_an_empty_batch_and_end_of_input() -> None:
    process = run(line("turn", t_ms=1.0) + line("commit"))
    assert (process.returncode, process.stdout, process.stderr) == (0, '{"ack":{}}\n', "")


def test_the_same_events_give_the_same_actions_whatever_the_hash_seed() -> None:
    first, second = (run(script("gateway_0"), PYTHONHASHSEED=seed) for seed in ("1", "2"))
    assert first.stdout == second.stdout and first.returncode == 0
    assert sum("fetch_through" in reply for reply in replies(first.stdout)) > 10


def test_two_instances_in_one_process_act_as_in_two() -> None:
    both = replies(run(script("gateway_0", "gateway_1")).stdout)
    for name in ("gateway_0", "gateway_1"):
        alone = replies(run(script(name)).stdout)
        own_replies = [r for r in both if "ack" in r or next(iter(r.values()))["gateway"] == name]
        assert own_replies == alone


@pytest.mark.parametrize(
    "text",
    [
        "{",
        "[]",
        '"x"',
        '{"turn":{}}',
        '{"comet":{}}',
        '{"a":1,"b":2}',
        line("attach", gateway="g", nonce64=1, setup={}),
        line("elapsed", gateway="never", tag="x"),
    ],
)
def test_input_that_is_not_the_wire_format_ends_with_one_error_line(text: str) -> None:
    process = run(text + "\n")
    assert process.returncode != 0 and process.stdout == ""
    assert re.fullmatch(r"hitchtiller: .+\n", process.stderr)


def attached_host() -> tuple[Host, io.StringIO]:
    out = io.StringIO()
    adapter = Host(out)
    for text in script("gateway_0").splitlines()[:4]:
        adapter.handle_line(text)
    return adapter, out


def test_a_missing_list_a_missing_field_and_unknown_fields() -> None:
    adapter, _ = attached_host()
    with pytest.raises(WireError, match="never given"):
        adapter.handle_line(line("view", gateway="gateway_0", mode="Complete", sheet=3, serial=1))
    with pytest.raises(WireError, match="malformed"):
        adapter.handle_line(line("request", gateway="gateway_0", tid=1))
    adapter.handle_line(line("left", gateway="gateway_0", tid=1, colour="blue"))


def test_an_exception_of_the_decisions_is_reported() -> None:
    adapter, out = attached_host()
    adapter.handle_line(
        line("request", gateway="gateway_0", tid=1, priority="unknown", item=1, deadline_ms=90.0)
    )
    assert "crash" in replies(out.getvalue())[-1]


def test_unknown_messages_outcomes_and_timers_are_ignored() -> None:
    adapter, out = attached_host()
    before = out.getvalue()
    for body in ("", "ff", "zz", "00", "01" + "00" * 12 + "ff"):
        adapter.handle_line(line("message", gateway="gateway_0", neighbour=1, body=body))
    adapter.handle_line(
        line("attempt_end", gateway="gateway_0", tid=5, cache="10.0.0.1:1", disposition="done")
    )
    adapter.handle_line(line("elapsed", gateway="gateway_0", tag="5 0 1"))
    assert out.getvalue() == before
    adapter.handle_line(line("halt", gateway="gateway_0"))


def test_notes_are_unchanged_by_packing_and_unpacking() -> None:
    for kind in ("ask", "holder", "kept", "lacks"):
        note = api.PeerNote(kind, 2**52 - 1, 17, "10.0.0.1:1", 3)
        assert unpack(pack(note)) == note


def test_the_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})  # noqa: S102
