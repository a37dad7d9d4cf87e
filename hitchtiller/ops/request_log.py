"""Log lines about single requests, with their ids: refusals, failures and further attempts.

Bounds. BURST_LINES at once and LINES_PER_S in the long run, so that a flood of bad requests costs no more;
the next line tells how many were left out. The statistics count all of them.
"""

import time
from collections.abc import Callable

from hitchtiller.log import logger, printable

LINES_PER_S, BURST_LINES = 5.0, 20.0
NO_ID = "-"  # the request could not be read


class RequestLog:
    """Writes the lines; a token bucket bounds their rate."""

    def __init__(self, clock_s: Callable[[], float] = time.monotonic) -> None:
        """Start with a full burst; `clock_s` returns the time in seconds."""
        self.clock_s = clock_s
        self.tokens, self.updated_s = BURST_LINES, clock_s()
        self.left_out = 0  # since the last line

    def record_rejection(self, id: str, class_name: str, kind: str, reason: str) -> None:
        """Log that a request was refused or failed, and why."""
        self._write(
            "request {} {} reason={} class={}", id or NO_ID, kind, reason, printable(class_name) or NO_ID
        )

    def record_retry(self, id: str, attempt: int, server: str, status: str) -> None:
        """Log a further attempt of a request: its number from 0, its server, how the one before it ended."""
        self._write("request {} attempt={} server={} after={}", id, attempt, server, status or NO_ID)

    def _write(self, text: str, *values: object) -> None:
        now_s = self.clock_s()
        self.tokens = min(BURST_LINES, self.tokens + LINES_PER_S * (now_s - self.updated_s))
        self.updated_s = now_s
        if self.tokens < 1.0:
            self.left_out += 1
            return
        self.tokens -= 1.0
        left_out, self.left_out = self.left_out, 0
        logger.info(text + (f" left_out={left_out}" if left_out else ""), *values)
