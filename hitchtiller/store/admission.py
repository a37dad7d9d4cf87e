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

    def trim(self, room: int) -> list[int]:
        """Change the limit; return the keys that were evicted to meet it."""

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""


class Lru:
    """Least recently used: evicts the entry whose last request is longest ago."""

    def __init__(self, room: int) -> None:
        """Store at most `max_bytes`."""
        self.room, self.used = room, 0
        self.sizes: OrderedDict[int, int] = OrderedDict()

    def hit(self, key: int) -> None:
        """Move the entry to the recently used end."""
        self.sizes.move_to_end(key)

    def miss(self, key: int) -> None:
        """Do nothing: requests for entries that are not stored have no effect."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit every entry that is not larger than the limit."""
        if size > self.room:
            return [key]
        self.drop(key)
        gone = []
        while self.used + size > self.room:
            old, its = self.sizes.popitem(last=False)
            self.used -= its
            gone.append(old)
        self.sizes[key] = size
        self.used += size
        return gone

    def trim(self, room: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.room, gone = room, list[int]()
        while self.used > room:
            old, its = self.sizes.popitem(last=False)
            self.used -= its
            gone.append(old)
        return gone

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

    def __init__(self, room: int) -> None:
        """Store at most `max_bytes`."""
        self.room, self.used, self.clock = room, 0, 0
        # size, number of uses, sequence number of the last use
        self.entries: dict[int, tuple[int, int, int]] = {}
        self.heap: list[tuple[int, int, int]] = []

    def hit(self, key: int) -> None:
        """Count a use."""
        size, uses, _ = self.entries[key]
        self._set(key, size, uses + 1)

    def _set(self, key: int, size: int, uses: int) -> None:
        self.clock += 1
        self.entries[key] = (size, uses, self.clock)
        heapq.heappush(self.heap, (uses, self.clock, key))

    def miss(self, key: int) -> None:
        """Do nothing: requests for entries that are not stored have no effect."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit every entry that is not larger than the limit."""
        if size > self.room:
            return [key]
        self.drop(key)
        gone = []
        while self.used + size > self.room:
            uses, clock, old = heapq.heappop(self.heap)
            if self.entries.get(old, (0, 0, 0))[1:] == (uses, clock):
                self.drop(old)
                gone.append(old)
        self._set(key, size, 1)
        self.used += size
        return gone

    def trim(self, room: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.room, gone = room, list[int]()
        while self.used > room:
            uses, clock, old = heapq.heappop(self.heap)
            if self.entries.get(old, (0, 0, 0))[1:] == (uses, clock):
                self.drop(old)
                gone.append(old)
        return gone

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

    SMALL, MOST = 0.1, 3  # share of the space for the small queue; uses counted at most

    def __init__(self, room: int) -> None:
        """Store at most `max_bytes`; ghosts for as many bytes again cost 8 bytes plus dict overhead each."""
        self.room, self.used, self.trial = room, 0, 0
        self.small: OrderedDict[int, int] = OrderedDict()
        self.main: OrderedDict[int, int] = OrderedDict()
        self.ghosts: OrderedDict[int, int] = OrderedDict()
        self.ghostly = 0
        self.uses: dict[int, int] = {}

    def hit(self, key: int) -> None:
        """Count a use; entries move between the queues only when space is needed."""
        self.uses[key] = min(self.MOST, self.uses.get(key, 0) + 1)

    def miss(self, key: int) -> None:
        """Do nothing: the ghost queue is consulted when an entry is offered."""

    def offer(self, key: int, size: int) -> list[int]:
        """Admit an entry to the small queue, or to the main queue if its ghost is remembered."""
        if size > self.room:
            return [key]
        self.drop(key)
        gone: list[int] = []
        known = self.ghosts.pop(key, None)
        if known is not None:
            self.ghostly -= known
        while self.used + size > self.room:
            self._evict(gone)
        queue = self.small if known is None else self.main
        queue[key] = size
        self.trial += size if known is None else 0
        self.used += size
        self.uses[key] = 0
        return gone

    def _evict(self, gone: list[int]) -> None:
        if self.small and (self.trial > self.room * self.SMALL or not self.main):
            key, size = self.small.popitem(last=False)
            self.trial -= size
            if self.uses[key] > 0:
                self.main[key], self.uses[key] = size, 0
                return
            self.ghosts[key] = size
            self.ghostly += size
            while self.ghostly > self.room:
                self.ghostly -= self.ghosts.popitem(last=False)[1]
        else:
            key, size = self.main.popitem(last=False)
            if self.uses[key] > 0:
                self.main[key] = size
                self.uses[key] -= 1
                return
        self.used -= size
        del self.uses[key]
        gone.append(key)

    def trim(self, room: int) -> list[int]:
        """Change the limit and evict down to it."""
        self.room, gone = room, list[int]()
        while self.used > room:
            self._evict(gone)
        return gone

    def drop(self, key: int) -> None:
        """Remove an entry."""
        if key in self.small:
            size = self.small.pop(key)
            self.trial -= size
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

    WINDOW, PROTECTED = 0.05, 0.8

    def __init__(self, room: int, sketch: Sketch | None = None) -> None:
        """Store at most `max_bytes`; the sketch may be shared with other policies."""
        self.room = room
        self.sketch = sketch or Sketch(max(1 << 12, room >> 14))
        self.window, self.trial, self.kept = (Lru(room) for _ in range(3))

    @property
    def used(self) -> int:
        """Return the size of all stored entries in bytes."""
        return self.window.used + self.trial.used + self.kept.used

    def hit(self, key: int) -> None:
        """Count a use; an entry in probation that is used again becomes protected."""
        self.sketch.add(key)
        for part in (self.window, self.kept):
            if key in part:
                part.hit(key)
                return
        size = self.trial.sizes[key]
        self.trial.drop(key)
        self.kept.sizes[key] = size
        self.kept.used += size
        while self.kept.used > self.PROTECTED * (self.room - self.window.used):
            old, its = self.kept.sizes.popitem(last=False)
            self.kept.used -= its
            self.trial.sizes[old] = its
            self.trial.used += its
            if old == key:
                break

    def miss(self, key: int) -> None:
        """Count a request."""
        self.sketch.add(key)

    def offer(self, key: int, size: int) -> list[int]:
        """Admit an entry to the window; entries that leave the window compete with those they would evict."""
        if size > self.room:
            return [key]
        self.drop(key)
        gone: list[int] = []
        self.window.sizes[key] = size
        self.window.used += size
        while self.window.used > self.WINDOW * self.room and self.window.sizes:
            candidate, its = self.window.sizes.popitem(last=False)
            self.window.used -= its
            gone += self._enter(candidate, its)
        return gone

    def _enter(self, key: int, size: int) -> list[int]:
        need = self.trial.used + self.kept.used + size - int((1.0 - self.WINDOW) * self.room)
        victims: list[int] = []
        wanted, cost = self.sketch.count(key), 0
        for part in (self.trial, self.kept):
            for old, its in part.sizes.items():
                if need <= 0:
                    break
                victims.append(old)
                need -= its
                cost += self.sketch.count(old)
                if cost >= wanted:
                    return [key]
        if need > 0:
            return [key]
        for old in victims:
            self.trial.drop(old)
            self.kept.drop(old)
        self.trial.sizes[key] = size
        self.trial.used += size
        return victims

    def trim(self, room: int) -> list[int]:
        """Change the limit and evict down to it: first from probation, last from the window."""
        self.room, gone = room, list[int]()
        for part in (self.trial, self.kept, self.window):
            gone += part.trim(max(0, part.used - max(0, self.used - room)))
        return gone

    def drop(self, key: int) -> None:
        """Remove an entry."""
        for part in (self.window, self.trial, self.kept):
            part.drop(key)

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.window or key in self.trial or key in self.kept


class Shares:
    """Divides the space between owners (a class, or a class at a station), each with a policy of its own.

    No owner can evict another's entries. The space is divided by weight among the owners that have made
    requests so far. There is one policy per owner, and the number of owners is that of classes times
    stations.
    """

    def __init__(self, room: int, weights: dict[str, float], make: Callable[[int], Policy]) -> None:
        """Divide `max_bytes` by weight; an owner without a weight has weight 1."""
        self.room, self.weights, self.make = room, weights, make
        self.owners: dict[str, Policy] = {}
        self.of: dict[int, str] = {}
        self.gone: list[int] = []

    @property
    def used(self) -> int:
        """Return the size of the stored entries of all owners in bytes."""
        return sum(policy.used for policy in self.owners.values())

    def policy(self, owner: str) -> Policy:
        """Return the policy of an owner.

        The first request of an owner creates its policy, which reduces the space of the other owners at once.
        """
        if owner not in self.owners:
            self.owners[owner] = self.make(self.room)
            total = sum(self.weights.get(name, 1.0) for name in self.owners) or 1.0
            for name, policy in self.owners.items():
                self.gone += policy.trim(int(self.room * self.weights.get(name, 1.0) / total))
            for old in self.gone:
                self.of.pop(old, None)
        return self.owners[owner]

    def trimmed(self) -> list[int]:
        """Return the keys evicted by dividing the space anew since the last call."""
        gone, self.gone = self.gone, []
        return gone

    def hit(self, key: int) -> None:
        """Record a request for a stored entry."""
        self.owners[self.of[key]].hit(key)

    def miss(self, owner: str, key: int) -> None:
        """Record a request for an entry that is not stored."""
        self.policy(owner).miss(key)

    def offer(self, owner: str, key: int, size: int) -> list[int]:
        """Offer an entry within the space of its owner; return the evicted keys."""
        before = self.of.get(key)
        if before is not None and before != owner:
            self.drop(key)
        gone = self.policy(owner).offer(key, size)
        if key not in gone:
            self.of[key] = owner
        for old in gone:
            self.of.pop(old, None)
        return gone

    def drop(self, key: int) -> None:
        """Remove an entry."""
        if owner := self.of.pop(key, None):
            self.owners[owner].drop(key)

    def __contains__(self, key: int) -> bool:
        """Return whether an entry is stored."""
        return key in self.of


def tiny_lfu(room: int) -> Policy:
    """Create a W-TinyLFU policy with a sketch of its own."""
    return TinyLfu(room)


POLICIES: dict[str, Callable[[int], Policy]] = {
    "tinylfu": tiny_lfu, "s3fifo": S3Fifo, "lru": Lru, "lfu": Lfu, "fifo": Fifo,
}  # fmt: skip
