"""The configuration: an error says in one line what is missing or wrong."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hitchtiller.config import ConfigError, read_config

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "config.json"


class ConfigTest(unittest.TestCase):
    def read(self, env: dict[str, str] | None = None, **changes: Any) -> Any:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(json.dumps(json.loads(EXAMPLE.read_text()) | changes))
            file.flush()
            return read_config({"BALANCER_CONFIG": file.name, "BALANCER_NAME": "n7"} | (env or {}))

    def test_the_example_is_read(self) -> None:
        config = self.read()
        self.assertEqual((config.name, config.listen, config.streams), ("n7", ("127.0.0.1", 7100), 32))
        self.assertEqual([number for number, _ in config.known], [1, 1])

    def test_the_file_is_read_as_utf_8_in_any_locale(self) -> None:
        """With LC_ALL=C and without Python's UTF-8 mode, a zone with an accent ended the start."""
        code = "import os, hitchtiller.config as c; print(ascii(c.read_config(os.environ).zones))"
        config = json.loads(EXAMPLE.read_text())
        config["settings"]["localities"][1] = config["settings"]["my_zone"] = "mérida"
        config["known"] = {}
        with tempfile.NamedTemporaryFile("w", suffix=".json", encoding="utf-8") as file:
            json.dump(config, file, ensure_ascii=False)
            file.flush()
            env = {"LC_ALL": "C", "PYTHONUTF8": "0", "PYTHONCOERCECLOCALE": "0", "BALANCER_CONFIG": file.name}
            command = [sys.executable, "-c", code]
            completed = subprocess.run(
                command, cwd=ROOT, env=env, capture_output=True, text=True, check=False
            )
        self.assertIn(ascii("mérida"), completed.stdout, completed.stderr)

    def test_an_error_names_what_is_wrong(self) -> None:
        cases: list[tuple[dict[str, Any], str]] = [
            ({"seed": "xyz"}, "xyz"),
            ({"listen": "nowhere"}, "nowhere"),
            ({"control": "127.0.0.1:http"}, "http"),
            ({"control": "127.0.0.1:70000"}, "70000"),
            ({"settings": {}}, "classes"),
            ({"known": {"batch": [{"offset": 1, "topology": {"hosts": [{}]}}]}}, "host"),
        ]
        for changes, pattern in cases:
            with self.assertRaisesRegex(ConfigError, pattern):
                self.read(**changes)

    def test_the_control_address_is_optional_and_variables_override_the_file(self) -> None:
        self.assertIsNone(self.read(control=None).control)
        self.assertEqual(self.read({"BALANCER_CONTROL": "127.0.0.1:9"}).control, ("127.0.0.1", 9))
        with self.assertRaisesRegex(ConfigError, "BALANCER_LISTEN_FD"):
            self.read({"BALANCER_LISTEN_FD": "seven"})

    def test_the_program_exits_with_status_2_and_one_line(self) -> None:
        command = [sys.executable, "-m", "hitchtiller"]
        for env in ({}, {"BALANCER_CONFIG": "/nowhere.json"}):
            completed = subprocess.run(
                command, cwd=ROOT, env=env, capture_output=True, text=True, check=False
            )
            self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1), completed.stderr)
