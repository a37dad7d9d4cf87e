"""Segments as the disk's budget sees them: how much lives in each, which goes next, and how fast.

Bound: one small object a segment; `victim` looks at all of them, some thousands at the most, and is asked
once a step.
"""

import math
from dataclasses import dataclass

MOSTLY_DEAD = 0.5  # share of dead bytes from which on a segment is compacted rather than the oldest dropped
CARRY = 0.5  # share of a victim that is written again at most where space is short
WARM = 2  # sightings from which on a live part is carried over


@dataclass(slots=True)
class Segment:
    """One file: bytes used, of them live, and the time of the oldest copy in it."""

    id: int
    salt: int
    size: int = 64  # the end of what was given out to records
    written: int = 64  # up to here all writes have returned
    live: int = 0
    oldest_ms: float = math.inf
    sealed: bool = False
    durable: int = 0  # up to here an fsync has returned

    @property
    def dead(self) -> int:
        """Give the bytes that no index entry points to."""
        return max(0, self.size - self.live)


class Space:
    """Decides when a segment goes and what of it is carried over."""

    def __init__(self, budget: int, reserve: int, segment_bytes: int) -> None:
        """Use `budget` bytes less `reserve`; the reserve is what compaction itself may need."""
        self.budget, self.reserve, self.segment_bytes = budget, max(reserve, 2 * segment_bytes), segment_bytes
        self.segments: dict[int, Segment] = {}
        self.next_id = 1

    @property
    def used(self) -> int:
        """Give the bytes of all files."""
        return sum(segment.size for segment in self.segments.values())

    @property
    def dead(self) -> int:
        """Give the bytes that nothing points to."""
        return sum(segment.dead for segment in self.segments.values())

    def open(self, salt: int) -> Segment:
        """Start the next segment."""
        segment = self.segments[self.next_id] = Segment(self.next_id, salt)
        self.next_id += 1
        return segment

    def full(self, segment: Segment, size: int) -> bool:
        """Tell whether a record of this size must go to the next segment."""
        return segment.sealed or segment.size + size > self.segment_bytes

    def pressed(self) -> bool:
        """Tell whether a segment has to go for the next one to fit."""
        return self.used + self.segment_bytes > self.budget - self.reserve

    def victim(self) -> Segment | None:
        """Pick the segment that goes: the deadest if half of it is dead, else the oldest."""
        sealed = [segment for segment in self.segments.values() if segment.sealed]
        if not sealed:
            return None
        worst = max(sealed, key=lambda segment: (segment.dead, -segment.id))
        if worst.dead >= MOSTLY_DEAD * worst.size:
            return worst
        return min(sealed, key=lambda segment: segment.id) if self.pressed() else None

    def carries(self, count: int, victim: Segment, size: int, carried: int) -> bool:
        """Tell whether a live part of a victim is carried over, beside `carried` bytes of it.

        Guards against going round in circles: where space is short at most half of a victim is written again.
        """
        if self.pressed() and carried + size > CARRY * victim.size:
            return False
        return count >= WARM or (not self.pressed() and victim.dead >= MOSTLY_DEAD * victim.size)

    def oldest_ms(self) -> float:
        """Give the time of the oldest copy on disk: purges from before it can be forgotten."""
        return min((segment.oldest_ms for segment in self.segments.values()), default=math.inf)


class Rate:
    """A token bucket in bytes, so that compaction gives way to clients.

    Full speed idle, a share when busy.
    """

    def __init__(self, calm: float, busy: float, burst: float) -> None:
        """Give bytes a second when calm and when busy, and the most that is saved up."""
        self.calm, self.busy, self.burst = calm, busy, burst
        self.tokens, self.at_ms = burst, 0.0

    def take(self, size: int, now_ms: float, busy: bool) -> bool:
        """Take bytes; False while there are too few. A step back of the clock earns nothing."""
        rate = self.busy if busy else self.calm
        self.tokens = min(self.burst, self.tokens + rate * max(0.0, now_ms - self.at_ms) / 1000.0)
        self.at_ms = now_ms
        if self.tokens < min(size, self.burst):
            return False
        self.tokens -= size
        return True
