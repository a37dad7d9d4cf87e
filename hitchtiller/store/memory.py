"""The memory tier: parts with their bodies, up to a limit in bytes.

An admission policy decides what is stored, and gives each owner a share of the space.
"""

import math
from dataclasses import dataclass

from hitchtiller.store.admission import POLICIES, Shares
from hitchtiller.store.format import Part
from hitchtiller.store.index import hash_part

OVERHEAD_BYTES = 600  # per stored part, beside its body: objects, table entries, policy


@dataclass(slots=True)
class Copy:
    """A stored part with its body."""

    part: Part
    body: bytes
    usable_until_ms: float = -math.inf  # even if the event bus is not heard; by `now_ms`


class Memory:
    """Stored copies by part hash; `owner` is the class, or the class at a station."""

    def __init__(
        self, max_bytes: int, weights: dict[str, float] | None = None, policy: str = "s3fifo"
    ) -> None:
        """Store at most `max_bytes`, counting OVERHEAD_BYTES for each part."""
        self.max_bytes = max_bytes
        self.copies: dict[int, Copy] = {}
        self.shares = Shares(max_bytes, weights or {}, POLICIES[policy])

    @property
    def used(self) -> int:
        """Return the size of all copies in bytes, overhead included."""
        return self.shares.used

    def get(self, key: int, part_number: int) -> Copy | None:
        """Return a copy and record the request for it; None if there is none."""
        part_hash = hash_part(key, part_number)
        copy = self.copies.get(part_hash)
        if copy is None or (copy.part.key, copy.part.part) != (key, part_number):
            return None
        self.shares.hit(part_hash)
        return copy

    def record_miss(self, owner: str, part_hash: int) -> None:
        """Record a request for a part that is not stored; the first one of an owner may evict copies."""
        self._remove(self.shares.miss(owner, part_hash))

    def put(self, owner: str, part: Part, body: bytes, usable_until_ms: float = -math.inf) -> bool:
        """Offer a copy and remove what it evicts; return whether it was admitted.

        `usable_until_ms` is that of `Copy`.
        """
        part_hash = hash_part(part.key, part.part)
        self.copies.pop(part_hash, None)
        self.shares.drop(part_hash)
        evicted = self.shares.offer(owner, part_hash, len(body) + OVERHEAD_BYTES)
        if part_hash not in evicted:
            self.copies[part_hash] = Copy(part, body, usable_until_ms)
        self._remove(evicted)
        return part_hash in self.copies

    def _remove(self, evicted: list[int]) -> None:
        """Remove the copies that the policies have evicted."""
        for part_hash in evicted:
            self.copies.pop(part_hash, None)

    def oldest_ms(self) -> float:
        """Return the time of the oldest copy; this looks at every copy, at about 50 ns each."""
        return min((copy.part.since_ms for copy in self.copies.values()), default=math.inf)

    def drop(self, part_hash: int) -> None:
        """Remove a copy."""
        self.copies.pop(part_hash, None)
        self.shares.drop(part_hash)
