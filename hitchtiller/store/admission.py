"""Admission and eviction by bytes: S3-FIFO and W-TinyLFU, with LRU, LFU and FIFO for comparison.

All policies decide without I/O: `hit` records a request for a stored entry; `offer` asks for space and
returns the keys to evict, which include the offered key if it is not admitted. The amortised cost of a call
is constant; the heap of LFU makes it logarithmic. docs/second-tier.md has the table of `hitchtiller store
replay` on which the choice between the policies rests.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from hitchtiller.store.sketch import Sketch


class Policy(Protocol):
    """Interface of an admission and eviction policy for entries of different sizes; keys are hashes."""

    @property
    def used(self) -> int:
        """Return the size of all stored entries in bytes."""

    def hit(self, key: int) -> None:
        """Record a request for a stored entry."""

    def miss(self, key: int) -> None:
        """Record a request for an entry that is not stored."""

    def offer(self, key: int, size: int) -> list[int]:
        """Offer an entry; return the evicted keys, which include its own if it is not admitted."""

    def drop(self, key: int) -> None:
        """Remove an entry for a reason other than eviction."""

    def resize(self, max_bytes: int) -> list[int]:
        """Change the limit; return the keys that were evicted to meet it."""

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""


class Lru:
    """Least recently used: evicts the entry whose last request is longest ago."""

    def __init__(self, max_bytes: int) -> None:
        """Store at most `max_bytes`."""
        self.max_bytes, self.used = max_bytes, 0
        self.sizes: OrderedDict[int, int] = OrderedDict()

    def hit(self, key: int) -> None:
        """Move the entry to the recently used end."""
        self.sizes.move_to_end(key)

    def miss(self, key: int) -> None:
        """Do nothing: requests for entries that are not stored have no effect."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit every entry that is not larger than the limit."""
        if size > self.max_bytes:
            return [key]
        self.drop(key)
        evicted = []
        while self.used + size > self.max_bytes:
            old_key, old_size = self.sizes.popitem(last=False)
            self.used -= old_size
            evicted.append(old_key)
        self.sizes[key] = size
        self.used += size
        return evicted

    def resize(self, max_bytes: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.max_bytes, evicted = max_bytes, list[int]()
        while self.used > max_bytes:
            old_key, old_size = self.sizes.popitem(last=False)
            self.used -= old_size
            evicted.append(old_key)
        return evicted

    def drop(self, key: int) -> None:
        """Remove an entry."""
        self.used -= self.sizes.pop(key, 0)

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.sizes


class Fifo(Lru):
    """First in, first out: no admission control, and requests for stored entries have no effect."""

    def hit(self, key: int) -> None:
        """Do nothing: a request does not change the order."""


class Lfu:
    """Least frequently used: counts are never reduced, so once popular entries stay for ever."""

    def __init__(self, max_bytes: int) -> None:
        """Store at most `max_bytes`."""
        self.max_bytes, self.used, self.sequence = max_bytes, 0, 0
        # size, number of uses, sequence number of the last use
        self.entries: dict[int, tuple[int, int, int]] = {}
        self.heap: list[tuple[int, int, int]] = []

    def hit(self, key: int) -> None:
        """Count a use."""
        size, uses, _ = self.entries[key]
        self._set(key, size, uses + 1)

    def _set(self, key: int, size: int, uses: int) -> None:
        self.sequence += 1
        self.entries[key] = (size, uses, self.sequence)
        heapq.heappush(self.heap, (uses, self.sequence, key))

    def miss(self, key: int) -> None:
        """Do nothing: requests for entries that are not stored have no effect."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit every entry that is not larger than the limit."""
        if size > self.max_bytes:
            return [key]
        self.drop(key)
        evicted = []
        while self.used + size > self.max_bytes:
            uses, sequence, old_key = heapq.heappop(self.heap)
            if self.entries.get(old_key, (0, 0, 0))[1:] == (uses, sequence):
                self.drop(old_key)
                evicted.append(old_key)
        self._set(key, size, 1)
        self.used += size
        return evicted

    def resize(self, max_bytes: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.max_bytes, evicted = max_bytes, list[int]()
        while self.used > max_bytes:
            uses, sequence, old_key = heapq.heappop(self.heap)
            if self.entries.get(old_key, (0, 0, 0))[1:] == (uses, sequence):
                self.drop(old_key)
                evicted.append(old_key)
        return evicted

    def drop(self, key: int) -> None:
        """Remove an entry."""
        self.used -= self.entries.pop(key, (0, 0, 0))[0]

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.entries


class S3Fifo:
    """S3-FIFO: a small queue for new entries, a main queue for reused ones, and a ghost queue.

    New entries enter the small queue, a tenth of the space; those that are requested again move to the main
    queue. The ghost queue remembers the keys of those that were not. Entries requested only once therefore
    evict nothing from the main queue. See Yang et al., 2023.
    """

    SMALL_SHARE, MAX_USES = 0.1, 3  # of the space, for the small queue; uses counted per entry

    def __init__(self, max_bytes: int) -> None:
        """Store at most `max_bytes`; ghosts for as many bytes again cost 8 bytes plus dict overhead each."""
        self.max_bytes, self.used, self.small_bytes = max_bytes, 0, 0
        self.small: OrderedDict[int, int] = OrderedDict()
        self.main: OrderedDict[int, int] = OrderedDict()
        self.ghosts: OrderedDict[int, int] = OrderedDict()
        self.ghost_bytes = 0
        self.uses: dict[int, int] = {}

    def hit(self, key: int) -> None:
        """Count a use; entries move between the queues only when space is needed."""
        self.uses[key] = min(self.MAX_USES, self.uses.get(key, 0) + 1)

    def miss(self, key: int) -> None:
        """Do nothing: the ghost queue is consulted when an entry is offered."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit an entry to the small queue, or to the main queue if its ghost is remembered."""
        if size > self.max_bytes:
            return [key]
        self.drop(key)
        evicted: list[int] = []
        ghost_size = self.ghosts.pop(key, None)
        if ghost_size is not None:
            self.ghost_bytes -= ghost_size
        while self.used + size > self.max_bytes:
            self._evict(evicted)
        queue = self.small if ghost_size is None else self.main
        queue[key] = size
        self.small_bytes += size if ghost_size is None else 0
        self.used += size
        self.uses[key] = 0
        return evicted

    def _evict(self, evicted: list[int]) -> None:
        if self.small and (self.small_bytes > self.max_bytes * self.SMALL_SHARE or not self.main):
            key, size = self.small.popitem(last=False)
            self.small_bytes -= size
            if self.uses[key] > 0:
                self.main[key], self.uses[key] = size, 0
                return
            self.ghosts[key] = size
            self.ghost_bytes += size
            while self.ghost_bytes > self.max_bytes:
                self.ghost_bytes -= self.ghosts.popitem(last=False)[1]
        else:
            key, size = self.main.popitem(last=False)
            if self.uses[key] > 0:
                self.main[key] = size
                self.uses[key] -= 1
                return
        self.used -= size
        del self.uses[key]
        evicted.append(key)

    def resize(self, max_bytes: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.max_bytes, evicted = max_bytes, list[int]()
        while self.used > max_bytes:
            self._evict(evicted)
        return evicted

    def drop(self, key: int) -> None:
        """Remove an entry."""
        if key in self.small:
            size = self.small.pop(key)
            self.small_bytes -= size
        elif key in self.main:
            size = self.main.pop(key)
        else:
            return
        self.used -= size
        del self.uses[key]

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.uses


class TinyLfu:
    """W-TinyLFU: a small window for new entries, and a main part that admits by request frequency.

    The main part is a segmented LRU (probation and protected). An entry that leaves the window is admitted
    only if it was requested more often than all entries it would evict together, so that a large entry can't
    evict many small ones because of one request. See Einziger et al., 2017.
    """

    WINDOW_SHARE, PROTECTED_SHARE = 0.05, 0.8  # of the space; of the main part

    def __init__(self, max_bytes: int, sketch: Sketch | None = None) -> None:
        """Store at most `max_bytes`; the sketch may be shared with other policies."""
        self.max_bytes = max_bytes
        self.sketch = sketch or Sketch(max(1 << 12, max_bytes >> 14))
        self.window, self.probation, self.protected = (Lru(max_bytes) for _ in range(3))

    @property
    def used(self) -> int:
        """Return the size of all stored entries in bytes."""
        return self.window.used + self.probation.used + self.protected.used

    def hit(self, key: int) -> None:
        """Count a use; an entry in probation that is used again becomes protected."""
        self.sketch.add(key)
        for segment in (self.window, self.protected):
            if key in segment:
                segment.hit(key)
                return
        size = self.probation.sizes[key]
        self.probation.drop(key)
        self.protected.sizes[key] = size
        self.protected.used += size
        while self.protected.used > self.PROTECTED_SHARE * (self.max_bytes - self.window.used):
            old_key, old_size = self.protected.sizes.popitem(last=False)
            self.protected.used -= old_size
            self.probation.sizes[old_key] = old_size
            self.probation.used += old_size
            if old_key == key:
                break

    def miss(self, key: int) -> None:
        """Count a request."""
        self.sketch.add(key)

    def offer(self, key: int, size: int) -> list[int]:
        """Admit an entry to the window; entries that leave the window compete with those they would evict."""
        if size > self.max_bytes:
            return [key]
        self.drop(key)
        evicted: list[int] = []
        self.window.sizes[key] = size
        self.window.used += size
        while self.window.used > self.WINDOW_SHARE * self.max_bytes and self.window.sizes:
            candidate, candidate_size = self.window.sizes.popitem(last=False)
            self.window.used -= candidate_size
            evicted += self._admit_to_main(candidate, candidate_size)
        return evicted

    def _admit_to_main(self, key: int, size: int) -> list[int]:
        bytes_to_free = (
            self.probation.used + self.protected.used + size - int((1.0 - self.WINDOW_SHARE) * self.max_bytes)
        )
        victims: list[int] = []
        requests, victim_requests = self.sketch.count(key), 0
        for segment in (self.probation, self.protected):
            for old_key, old_size in segment.sizes.items():
                if bytes_to_free <= 0:
                    break
                victims.append(old_key)
                bytes_to_free -= old_size
                victim_requests += self.sketch.count(old_key)
                if victim_requests >= requests:
                    return [key]
        if bytes_to_free > 0:
            return [key]
        for old_key in victims:
            self.probation.drop(old_key)
            self.protected.drop(old_key)
        self.probation.sizes[key] = size
        self.probation.used += size
        return victims

    def resize(self, max_bytes: int) -> list[int]:
        """Change the limit and evict down to it: first from probation, last from the window."""
        self.max_bytes, evicted = max_bytes, list[int]()
        for segment in (self.probation, self.protected, self.window):
            evicted += segment.resize(max(0, segment.used - max(0, self.used - max_bytes)))
        return evicted

    def drop(self, key: int) -> None:
        """Remove an entry."""
        for segment in (self.window, self.probation, self.protected):
            segment.drop(key)

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.window or key in self.probation or key in self.protected


class Shares:
    """Divides the space between owners (a class, or a class at a station), each with a policy of its own.

    No owner can evict another's entries. The space is divided by weight among the owners that have made
    requests so far. There is one policy per owner, and the number of owners is that of classes times
    stations. The caller holds the entries themselves: it has to remove each key that a call returns as
    evicted before its next call.
    """

    def __init__(
        self, max_bytes: int, weights: dict[str, float], make_policy: Callable[[int], Policy]
    ) -> None:
        """Divide `max_bytes` by weight; an owner without a weight has weight 1."""
        self.max_bytes, self.weights, self.make_policy = max_bytes, weights, make_policy
        self.owners: dict[str, Policy] = {}
        self.owner_of: dict[int, str] = {}

    @property
    def used(self) -> int:
        """Return the size of the stored entries of all owners in bytes."""
        return sum(policy.used for policy in self.owners.values())

    def hit(self, key: int) -> None:
        """Record a request for a stored entry."""
        self.owners[self.owner_of[key]].hit(key)

    def miss(self, owner: str, key: int) -> list[int]:
        """Record a request for an entry that is not stored; return the evicted keys of other owners.

        The first request of an owner reduces the space of the others at once.
        """
        evicted = self._add_owner(owner)
        self.owners[owner].miss(key)
        return evicted

    def offer(self, owner: str, key: int, size: int) -> list[int]:
        """Offer an entry within the space of its owner; return all evicted keys."""
        previous_owner = self.owner_of.get(key)
        if previous_owner is not None and previous_owner != owner:
            self.drop(key)
        evicted = self._add_owner(owner)
        not_kept = self.owners[owner].offer(key, size)
        if key not in not_kept:
            self.owner_of[key] = owner
        self._forget(not_kept)
        return evicted + not_kept

    def _add_owner(self, owner: str) -> list[int]:
        """Create the policy of a new owner and divide the space anew; return the evicted keys."""
        if owner in self.owners:
            return []
        self.owners[owner] = self.make_policy(self.max_bytes)
        total = sum(self.weights.get(name, 1.0) for name in self.owners) or 1.0
        evicted: list[int] = []
        for name, policy in self.owners.items():
            evicted += policy.resize(int(self.max_bytes * self.weights.get(name, 1.0) / total))
        self._forget(evicted)
        return evicted

    def _forget(self, evicted: list[int]) -> None:
        for key in evicted:
            self.owner_of.pop(key, None)

    def drop(self, key: int) -> None:
        """Remove an entry."""
        if owner := self.owner_of.pop(key, None):
            self.owners[owner].drop(key)

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.owner_of


def make_tiny_lfu(max_bytes: int) -> Policy:
    """Create a W-TinyLFU policy with a sketch of its own."""
    return TinyLfu(max_bytes)


POLICIES: dict[str, Callable[[int], Policy]] = {
    "tinylfu": make_tiny_lfu, "s3fifo": S3Fifo, "lru": Lru, "lfu": Lfu, "fifo": Fifo,
}  # fmt: skip
