"""The log: one line for each connection that ends, with a code for the reason; none for a request."""

import sys
from collections.abc import Callable
from inspect import iscoroutinefunction
from types import ModuleType
from typing import Any

__all__ = ["ended", "logger", "start"]


def _import_loguru() -> None:
    """Import loguru without asyncio, which it has for sinks that are coroutines; we have none.

    Guards the memory of an upgrade: asyncio and what it brings are 3 MB of each of two processes.
    """
    if "asyncio" in sys.modules:
        return
    placeholder = ModuleType("asyncio")
    vars(placeholder).update(iscoroutinefunction=iscoroutinefunction, get_running_loop=None)
    sys.modules["asyncio"] = placeholder
    try:
        import loguru  # noqa: F401
    finally:
        del sys.modules["asyncio"]  # whoever else needs it gets the real one


_import_loguru()
from loguru import logger  # noqa: E402  only now


def start(name: str, sink: Callable[[Any], None] | None = None) -> None:
    """Write plain lines to standard error, or hand each record to a sink."""
    logger.remove()
    if sink:
        logger.add(sink, format="{message}", diagnose=False)
    else:
        logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {extra[node]} {message}", diagnose=False)
    logger.configure(extra={"node": name})


def ended(side: str, peer: str, code: str, detail: str = "", **counts: int) -> None:
    """Write the line of a connection that has ended."""
    texts = [f"{name}={count}" for name, count in counts.items()]
    line = logger.bind(side=side, peer=peer, code=code, **counts)
    line.info("end {} {} code={} {}", side, peer, code, " ".join([*texts, detail] if detail else texts))
