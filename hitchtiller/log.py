"""Logging: plain lines on standard error or records for a sink.

Each connection that ends is logged with a reason code; for single requests see ops/request_log.py.
"""

import sys
from collections import Counter
from collections.abc import Callable
from inspect import iscoroutinefunction
from types import ModuleType
from typing import Any

__all__ = ["closes", "log_connection_end", "logger", "printable", "start"]

closes: Counter[str] = Counter()  # ended connections of this process by "SIDE.CODE"


def _import_loguru() -> None:
    """Import loguru without asyncio, which it needs only for sinks that are coroutines; there are none here.

    Saves memory in an upgrade: asyncio and its imports take 3 MB in each of the two processes.
    """
    if "asyncio" in sys.modules:
        return
    placeholder = ModuleType("asyncio")
    vars(placeholder).update(iscoroutinefunction=iscoroutinefunction, get_running_loop=None)
    sys.modules["asyncio"] = placeholder
    try:
        import loguru  # noqa: F401
    finally:
        del sys.modules["asyncio"]  # a later import gets the real module


_import_loguru()
from loguru import logger  # noqa: E402  after _import_loguru


def start(name: str, sink: Callable[[Any], None] | None = None) -> None:
    """Start logging: write plain lines to standard error, or pass each record to `sink`."""
    logger.remove()
    if sink:
        logger.add(sink, format="{message}", diagnose=False)
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {extra[node]} {message}", diagnose=False)
    logger.configure(extra={"node": name})


def printable(name: str) -> str:
    """Return a name of the settings as one line: with escapes if it has characters like line feeds."""
    return name if name.isprintable() else name.encode("unicode_escape").decode("ascii")


def log_connection_end(side: str, peer: str, code: str, detail: str = "", **counts: int) -> None:
    """Log that a connection has ended, with its reason code and counts."""
    closes[f"{side}.{code}"] += 1
    texts = [f"{name}={count}" for name, count in counts.items()]
    line = logger.bind(side=side, peer=peer, code=code, **counts)
    line.info("end {} {} code={} {}", side, peer, code, " ".join([*texts, detail] if detail else texts))
