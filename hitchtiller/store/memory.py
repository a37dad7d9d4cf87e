"""The memory tier.

Parts with their bodies, bounded in bytes by an admission policy with a share for each owner.
"""

import math
from dataclasses import dataclass

from hitchtiller.store.admission import POLICIES, Shares
from hitchtiller.store.format import Part
from hitchtiller.store.index import fingerprint

OVERHEAD_BYTES = (
    600  # bytes that a kept part costs beside its body, as measured: objects, table entries, policy
)


@dataclass(slots=True)
class Copy:
    """A kept part with its bytes."""

    part: Part
    body: bytes


class Memory:
    """Copies by fingerprint; `owner` is the class, or the class at a station."""

    def __init__(
        self, max_bytes: int, weights: dict[str, float] | None = None, policy: str = "s3fifo"
    ) -> None:
        """Hold `room` bytes, OVERHEAD a part included."""
        self.max_bytes = max_bytes
        self.copies: dict[int, Copy] = {}
        self.shares = Shares(max_bytes, weights or {}, POLICIES[policy])

    @property
    def used(self) -> int:
        """Give the bytes held."""
        return self.shares.used

    def get(self, key: int, number: int) -> Copy | None:
        """Give a copy and note the request for it."""
        part_hash = fingerprint(key, number)
        copy = self.copies.get(part_hash)
        if copy is None or (copy.part.key, copy.part.part) != (key, number):
            return None
        self.shares.hit(part_hash)
        return copy

    def missed(self, owner: str, part_hash: int) -> None:
        """Note a request for what is not here."""
        self.shares.miss(owner, part_hash)

    def put(self, owner: str, part: Part, body: bytes) -> bool:
        """Offer a copy; False if it is not let in. What goes for it goes at once."""
        part_hash = fingerprint(part.key, part.part)
        self.copies.pop(part_hash, None)
        self.shares.drop(part_hash)
        gone = self.shares.offer(owner, part_hash, len(body) + OVERHEAD_BYTES)
        if part_hash not in gone:
            self.copies[part_hash] = Copy(part, body)
        for old in (*gone, *self.shares.take_evicted()):
            self.copies.pop(old, None)
        return part_hash in self.copies

    def oldest_ms(self) -> float:
        """Give the time of the oldest copy; looks at all of them, about 50 ns each."""
        return min((copy.part.since_ms for copy in self.copies.values()), default=math.inf)

    def drop(self, part_hash: int) -> None:
        """Forget a copy."""
        self.copies.pop(part_hash, None)
        self.shares.drop(part_hash)
