"""Invalid settings stop the start with one line and change nothing at SIGHUP; settings share no state."""

import copy
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from scenario import SETTINGS, Gateway, answer

from hitchtiller.codec import frames
from hitchtiller.settings import read_settings

ROOT = Path(__file__).parent.parent.parent


def with_entry(*path: Any, value: Any) -> dict[str, Any]:
    """Return the settings with one entry replaced, or removed if the value is None."""
    setup = copy.deepcopy(SETTINGS)
    entry: Any = setup
    for step in path[:-1]:
        entry = entry[step]
    if value is None:
        del entry[path[-1]]
    else:
        entry[path[-1]] = value
    return setup


INVALID: list[tuple[dict[str, Any], str]] = [
    (with_entry("limits", "try_limit", value="6"), "max_attempts '6'"),
    (with_entry("limits", "try_limit", value=-1), "max_attempts -1"),
    (with_entry("classes", 0, "deadline_ms", value="soon"), "deadline_ms 'soon'"),
    (with_entry("classes", 0, "aim_ms", value=float("nan")), "aim_ms nan"),
    (with_entry("classes", 0, "effect", value="twice"), "effect 'twice'"),
    (with_entry("classes", value=[]), "no classes"),
    (with_entry("my_number", value=1_000_000), "my_number 1000000 of"),
    (with_entry("family_info", "instances_by_zone", value=[1]), "instances_by_zone [1]"),
    (with_entry("family_info", "hub_of", value=[9] * len(SETTINGS["localities"])), "hub_of"),
    (
        with_entry("family_info", "feed_kb_per_s", value=["fast"] * len(SETTINGS["localities"])),
        "feed_kb_per_s",
    ),
]


class InvalidSettings(unittest.TestCase):
    def test_each_invalid_setting_is_named(self) -> None:
        """A string in place of a number failed only at each request that needed it."""
        for setup, message in INVALID:
            with self.assertRaisesRegex(ValueError, message.replace("[", r"\[").replace("]", r"\]")):
                read_settings(setup)

    def test_the_program_exits_with_one_line_and_status_2(self) -> None:
        """Too short a list of values by zone ended in a traceback."""
        config = json.loads((ROOT / "examples" / "config.json").read_text()) | {"settings": INVALID[-3][0]}
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(config))
            file.flush()
            env = {"BALANCER_CONFIG": file.name, "PATH": os.environ["PATH"]}
            command = [sys.executable, "-m", "hitchtiller"]
            ended = subprocess.run(command, cwd=ROOT, env=env, capture_output=True, text=True, check=False)
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1), ended.stderr)

    def test_invalid_settings_at_sighup_change_nothing(self) -> None:
        gateway = Gateway()
        self.addCleanup(gateway.stop)
        bad = gateway.config | {"settings": INVALID[0][0], "bus": "127.0.0.1:1"}
        gateway.configure(json.dumps(bad))
        gateway.send_sighup()
        gateway.expect_line("configuration not taken")
        client = gateway.client()
        self.addCleanup(client.close)
        client.send_request(1)
        cache = gateway.server()
        self.addCleanup(cache.close)
        cache.send(answer(cache.expect_pull()[0], b"DONE", body=b"x"))
        client.expect_answer(1, frames.SERVED, b"x")


class OptionalParts(unittest.TestCase):
    def test_optional_parts_may_be_absent_and_unknown_keys_are_ignored(self) -> None:
        for part in ("family_info", "contract", "limits", "report"):
            setup = copy.deepcopy(SETTINGS) | {"a key of later": {"x": 1}}
            setup.pop(part, None)
            self.assertEqual(read_settings(setup).my_zone, SETTINGS["my_zone"])


class IndependentState(unittest.TestCase):
    def test_two_configurations_in_one_process_share_nothing(self) -> None:
        """Tables at module or class level would share one customer's figures with another."""
        from hitchtiller.decide import Router

        first, second = Router(read_settings(SETTINGS), 1), Router(read_settings(SETTINGS), 1)
        first.mean_work_ms["files"] = 77.0
        first.popularity.count((1, 1), 77.0)
        first.purges.record(1, 0, 77.0)
        first.directory.add((1, 1), 0, "cache", 77.0)
        self.assertNotEqual(second.mean_work_ms["files"], 77.0)
        self.assertEqual((second.popularity.counts, second.directory.entries), ({}, {}))
        self.assertEqual((len(first.purges), len(second.purges)), (1, 0))
