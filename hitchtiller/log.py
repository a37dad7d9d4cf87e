"""The log: one line for each connection that ends, with a code for the reason; none for a request."""

import sys

from loguru import logger


def start(name: str) -> None:
    """Write plain lines to standard error."""
    logger.remove()
    logger.add(sys.stderr, format="{time:HH:mm:ss.SSS} {level} {extra[node]} {message}", diagnose=False)
    logger.configure(extra={"node": name})


def ended(side: str, peer: str, code: str, detail: str = "", **counts: int) -> None:
    """Write the line of a connection that has ended."""
    texts = [f"{name}={count}" for name, count in counts.items()]
    logger.info("end {} {} code={} {}", side, peer, code, " ".join([*texts, detail] if detail else texts))
