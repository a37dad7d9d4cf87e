"""Names of jobs for which something may still be under way on a connection, with the times of the events.

Bounds. Names expire after LATE_ANSWER_MS; above MAX_NAMES the oldest are removed first.
"""

LATE_ANSWER_MS = 6_000.0  # after this time no answer to a killed request arrives any more
MAX_NAMES = 8_192  # more than one process sends within the longest deadline


class RecentNames(dict[bytes, float]):
    """Times in Unix milliseconds by name, the oldest first."""

    def remember(self, name: bytes, now_ms: float) -> None:
        """Record an event for a name, and remove what has expired."""
        self.pop(name, None)
        self[name] = now_ms
        self._expire(now_ms)

    def remember_all(self, others: dict[bytes, float], now_ms: float) -> None:
        """Record events with their own times, and remove what has expired."""
        for name, at_ms in others.items():
            self.pop(name, None)
            self[name] = at_ms
        self._expire(now_ms)

    def holds(self, name: bytes, now_ms: float, within_ms: float = LATE_ANSWER_MS) -> bool:
        """Return whether there was an event for a name within a time."""
        at_ms = self.get(name)
        return at_ms is not None and now_ms - at_ms < within_ms

    def _expire(self, now_ms: float) -> None:
        while self:
            oldest = next(iter(self))
            if len(self) <= MAX_NAMES and now_ms - self[oldest] <= LATE_ANSWER_MS:
                return
            del self[oldest]
