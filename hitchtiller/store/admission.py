"""What is kept and what makes room, by bytes: S3-FIFO and W-TinyLFU, beside LRU, LFU and FIFO as yardsticks.

All of them decide without I/O: `hit` notes a request for what is kept, `offer` asks for room and gives what
has to go (the offered key itself where it is not let in). Costs are constant on average for each call; LFU's
heap costs a logarithm. The choice between them was made by `hitchtiller store replay`; docs/second-tier.md
has the table.
"""

import heapq
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from hitchtiller.store.sketch import Sketch


class Policy(Protocol):
    """What a bounded set of sized entries asks of a policy; keys are fingerprints."""

    @property
    def used(self) -> int:
        """Give the bytes kept."""

    def hit(self, key: int) -> None:
        """Note a request for an entry that is kept."""

    def miss(self, key: int) -> None:
        """Note a request for one that is not."""

    def offer(self, key: int, size: int) -> list[int]:
        """Let an entry in; gives the keys that go for it, its own if it is turned away."""

    def drop(self, key: int) -> None:
        """Forget an entry that went for another reason."""

    def trim(self, room: int) -> list[int]:
        """Live with other room from now on; gives what goes for it."""

    def __contains__(self, key: int) -> bool:
        """Tell whether it is kept."""


class Lru:
    """Drops what was asked for longest ago."""

    def __init__(self, room: int) -> None:
        """Keep `room` bytes."""
        self.room, self.used = room, 0
        self.sizes: OrderedDict[int, int] = OrderedDict()

    def hit(self, key: int) -> None:
        """Move it to the young end."""
        self.sizes.move_to_end(key)

    def miss(self, key: int) -> None:
        """Nothing to learn."""

    def offer(self, key: int, size: int) -> list[int]:
        """Let everything in that fits at all."""
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
        """Live with other room."""
        self.room, gone = room, list[int]()
        while self.used > room:
            old, its = self.sizes.popitem(last=False)
            self.used -= its
            gone.append(old)
        return gone

    def drop(self, key: int) -> None:
        """Forget one."""
        self.used -= self.sizes.pop(key, 0)

    def __contains__(self, key: int) -> bool:
        """Tell whether it is kept."""
        return key in self.sizes


class Fifo(Lru):
    """Drops what came first: no admission and no memory of use."""

    def hit(self, key: int) -> None:
        """Change nothing."""


class Lfu:
    """Drops what was asked for least since it came; old favourites stay for ever."""

    def __init__(self, room: int) -> None:
        """Keep `room` bytes."""
        self.room, self.used, self.clock = room, 0, 0
        self.entries: dict[int, tuple[int, int, int]] = {}  # size, uses, time of the last
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
        """Nothing to learn."""

    def offer(self, key: int, size: int) -> list[int]:
        """Let everything in that fits at all."""
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
        """Live with other room."""
        self.room, gone = room, list[int]()
        while self.used > room:
            uses, clock, old = heapq.heappop(self.heap)
            if self.entries.get(old, (0, 0, 0))[1:] == (uses, clock):
                self.drop(old)
                gone.append(old)
        return gone

    def drop(self, key: int) -> None:
        """Forget one."""
        self.used -= self.entries.pop(key, (0, 0, 0))[0]

    def __contains__(self, key: int) -> bool:
        """Tell whether it is kept."""
        return key in self.entries


class S3Fifo:
    """A small queue on trial, a main queue for what was asked for again, and ghosts of what failed the trial.

    One-offs cross the small queue only, a tenth of the room, and push out nothing of the main one. Yang et
    al., 2023.
    """

    SMALL, MOST = 0.1, 3  # share of the room on trial; uses that are counted

    def __init__(self, room: int) -> None:
        """Keep `room` bytes; ghosts cover as many bytes as are kept, 8 + dict overhead each."""
        self.room, self.used, self.trial = room, 0, 0
        self.small: OrderedDict[int, int] = OrderedDict()
        self.main: OrderedDict[int, int] = OrderedDict()
        self.ghosts: OrderedDict[int, int] = OrderedDict()
        self.ghostly = 0
        self.uses: dict[int, int] = {}

    def hit(self, key: int) -> None:
        """Count a use; nothing moves until room is needed."""
        self.uses[key] = min(self.MOST, self.uses.get(key, 0) + 1)

    def miss(self, key: int) -> None:
        """Nothing to learn: ghosts are looked at on offers."""

    def offer(self, key: int, size: int) -> list[int]:
        """Let it in on trial, or to the main queue if its ghost is remembered."""
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
        """Live with other room."""
        self.room, gone = room, list[int]()
        while self.used > room:
            self._evict(gone)
        return gone

    def drop(self, key: int) -> None:
        """Forget one."""
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
        """Tell whether it is kept."""
        return key in self.uses


class TinyLfu:
    """A small window for what is new; the main part lets in only what is asked for more than what would go.

    Main is a segmented LRU (trial and protected). An entry that is larger than its victim must be wanted more
    than all of the victims together, so that a large one can't push out many small ones for one request.
    Einziger et al., 2017.
    """

    WINDOW, PROTECTED = 0.05, 0.8

    def __init__(self, room: int, sketch: Sketch | None = None) -> None:
        """Keep `room` bytes; the sketch may be shared with others."""
        self.room = room
        self.sketch = sketch or Sketch(max(1 << 12, room >> 14))
        self.window, self.trial, self.kept = (Lru(room) for _ in range(3))

    @property
    def used(self) -> int:
        """Give the bytes kept."""
        return self.window.used + self.trial.used + self.kept.used

    def hit(self, key: int) -> None:
        """Count it; what is used again on trial becomes protected."""
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
        """Count it."""
        self.sketch.add(key)

    def offer(self, key: int, size: int) -> list[int]:
        """Let it into the window; what leaves the window must be worth more than what makes room for it."""
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
        """Live with other room: trial goes first, the window last."""
        self.room, gone = room, list[int]()
        for part in (self.trial, self.kept, self.window):
            gone += part.trim(max(0, part.used - max(0, self.used - room)))
        return gone

    def drop(self, key: int) -> None:
        """Forget one."""
        for part in (self.window, self.trial, self.kept):
            part.drop(key)

    def __contains__(self, key: int) -> bool:
        """Tell whether it is kept."""
        return key in self.window or key in self.trial or key in self.kept


class Shares:
    """Gives each owner (a class, or a class at a station) room of its own, so that none can empty another's.

    `room` is divided by weight among the owners that have asked for anything so far. Bound: one policy an
    owner; the number of owners is that of classes times stations.
    """

    def __init__(self, room: int, weights: dict[str, float], make: Callable[[int], Policy]) -> None:
        """Divide `room` bytes by weight; an owner without a weight has 1."""
        self.room, self.weights, self.make = room, weights, make
        self.owners: dict[str, Policy] = {}
        self.of: dict[int, str] = {}
        self.gone: list[int] = []

    @property
    def used(self) -> int:
        """Give the bytes kept for all owners."""
        return sum(policy.used for policy in self.owners.values())

    def policy(self, owner: str) -> Policy:
        """Give an owner's policy.

        A new owner makes the others' room smaller at once, which happens once an owner.
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
        """Give, once, what had to go because the room was divided anew."""
        gone, self.gone = self.gone, []
        return gone

    def hit(self, key: int) -> None:
        """Note a request for what is kept."""
        self.owners[self.of[key]].hit(key)

    def miss(self, owner: str, key: int) -> None:
        """Note a request for what is not."""
        self.policy(owner).miss(key)

    def offer(self, owner: str, key: int, size: int) -> list[int]:
        """Let an entry in at its owner's cost."""
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
        """Forget an entry."""
        if owner := self.of.pop(key, None):
            self.owners[owner].drop(key)

    def __contains__(self, key: int) -> bool:
        """Tell whether it is kept."""
        return key in self.of


def tiny_lfu(room: int) -> Policy:
    """Make one with a sketch of its own."""
    return TinyLfu(room)


POLICIES: dict[str, Callable[[int], Policy]] = {
    "tinylfu": tiny_lfu, "s3fifo": S3Fifo, "lru": Lru, "lfu": Lfu, "fifo": Fifo,
}  # fmt: skip
