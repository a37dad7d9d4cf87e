"""Writes log lines as JSON: one object a line, with the text, the time, the level and the bound fields."""

import sys
from typing import Any

import msgspec


def json_sink(message: Any) -> None:
    """Write one record to standard error; values that JSON can't hold are written as their `str`."""
    record = message.record
    entry = {
        "time": record["time"].timestamp(),
        "level": record["level"].name,
        **record["extra"],
        "text": record["message"],
    }
    if record["exception"]:
        entry["exception"] = repr(record["exception"].value)
    sys.stderr.write(msgspec.json.encode(entry, enc_hook=str).decode() + "\n")
    sys.stderr.flush()
