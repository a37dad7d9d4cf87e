"""An estimate of when a client has read its answers.

The system tells what the other side's kernel has acknowledged, but not what its program has read. If a
connection is closed too early, the client's next request resets it, which can discard unread answers.
"""

from hitchtiller.codec import frames

MIN_READ_BYTES_PER_MS = 1_000.0  # assumed of the slowest clients
MAX_UNREAD_ANSWERS = 32  # a client may have no more requests open
MAX_READING_MS = MAX_UNREAD_ANSWERS * frames.MAX_LENGTH / MIN_READ_BYTES_PER_MS


class ReadingEstimate:
    """When a client has read all that was written to it, at the pace of the slowest clients."""

    def __init__(self) -> None:
        """Start with nothing to read."""
        self.end_ms = 0.0

    def record_write(self, size: int, now_ms: float) -> None:
        """Record that `size` bytes were written."""
        end_ms = max(self.end_ms, now_ms) + size / MIN_READ_BYTES_PER_MS
        self.end_ms = min(end_ms, now_ms + MAX_READING_MS)

    def remaining_ms(self, now_ms: float) -> float:
        """Return how long the client may still be reading."""
        return max(0.0, self.end_ms - now_ms)
