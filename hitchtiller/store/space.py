"""Disk space by segment: how much of each is live, which one is removed next, and at which rate.

There is one small object per segment; `victim` looks at all of them, a few thousand at most, once a step.
"""

import math
from dataclasses import dataclass

MIN_DEAD_SHARE = 0.5  # share of dead bytes from which on a segment is compacted in place of the oldest one
MAX_COPIED_SHARE = 0.5  # share of a victim that is copied at most where space is short
MIN_REQUESTS_TO_COPY = 2  # requests from which on a live part is copied


@dataclass(slots=True)
class Segment:
    """One segment file: its size, its live bytes, and the time of its oldest copy."""

    id: int
    salt: int
    size: int = 64  # end of the space assigned to records
    written: int = 64  # up to here all writes have returned
    live: int = 0
    oldest_ms: float = math.inf
    sealed: bool = False
    durable: int = 0  # up to here an fsync has returned

    @property
    def dead(self) -> int:
        """Return the number of bytes that no index entry points to."""
        return max(0, self.size - self.live)


class Space:
    """Decides when a segment is removed and which of its parts are copied."""

    def __init__(self, budget: int, reserve: int, segment_bytes: int) -> None:
        """Use `budget` bytes less `reserve`, the space that compaction itself may need."""
        self.budget, self.reserve, self.segment_bytes = budget, max(reserve, 2 * segment_bytes), segment_bytes
        self.segments: dict[int, Segment] = {}
        self.next_id = 1

    @property
    def used(self) -> int:
        """Return the size of all segments in bytes."""
        return sum(segment.size for segment in self.segments.values())

    @property
    def dead(self) -> int:
        """Return the number of dead bytes in all segments."""
        return sum(segment.dead for segment in self.segments.values())

    def open(self, salt: int) -> Segment:
        """Create the next segment."""
        segment = self.segments[self.next_id] = Segment(self.next_id, salt)
        self.next_id += 1
        return segment

    def needs_new_segment(self, segment: Segment, size: int) -> bool:
        """Return whether a record of this size needs the next segment."""
        return segment.sealed or segment.size + size > self.segment_bytes

    def is_short_of_space(self) -> bool:
        """Return whether a segment has to be removed for the next one to fit."""
        return self.used + self.segment_bytes > self.budget - self.reserve

    def victim(self) -> Segment | None:
        """Return the segment to compact: the one with most dead bytes if half of it is dead, else the oldest.

        The oldest is taken only where space is short; None if there is nothing to compact.
        """
        sealed = [segment for segment in self.segments.values() if segment.sealed]
        if not sealed:
            return None
        deadest = max(sealed, key=lambda segment: (segment.dead, -segment.id))
        if deadest.dead >= MIN_DEAD_SHARE * deadest.size:
            return deadest
        return min(sealed, key=lambda segment: segment.id) if self.is_short_of_space() else None

    def should_copy(self, requests: int, victim: Segment, size: int, copied_bytes: int) -> bool:
        """Return whether to copy a live part of a victim of which `copied_bytes` were copied before.

        Prevents endless copying: where space is short, at most half of a victim is copied.
        """
        if self.is_short_of_space() and copied_bytes + size > MAX_COPIED_SHARE * victim.size:
            return False
        return requests >= MIN_REQUESTS_TO_COPY or (
            not self.is_short_of_space() and victim.dead >= MIN_DEAD_SHARE * victim.size
        )

    def oldest_ms(self) -> float:
        """Return the time of the oldest copy on disk; older purges can be forgotten."""
        return min((segment.oldest_ms for segment in self.segments.values()), default=math.inf)


class TokenBucket:
    """A token bucket in bytes that makes compaction give way to clients, with a lower rate when busy."""

    def __init__(self, idle_bytes_per_s: float, busy_bytes_per_s: float, burst_bytes: float) -> None:
        """Set the rates in bytes per second when idle and when busy, and the burst in bytes."""
        self.idle_bytes_per_s, self.busy_bytes_per_s, self.burst_bytes = (
            idle_bytes_per_s,
            busy_bytes_per_s,
            burst_bytes,
        )
        self.tokens, self.refilled_ms = burst_bytes, 0.0

    def take(self, size: int, now_ms: float, busy: bool) -> bool:
        """Take tokens for some bytes; return False if there are too few.

        A backward step of the clock adds no tokens.
        """
        rate = self.busy_bytes_per_s if busy else self.idle_bytes_per_s
        self.tokens = min(self.burst_bytes, self.tokens + rate * max(0.0, now_ms - self.refilled_ms) / 1000.0)
        self.refilled_ms = now_ms
        if self.tokens < min(size, self.burst_bytes):
            return False
        self.tokens -= size
        return True
