"""Log lines as JSON: one object a line, with the bound fields beside the text."""

import sys
from typing import Any

import msgspec


def json_sink(message: Any) -> None:
    """Write one record; what can't be encoded is written as its text."""
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
