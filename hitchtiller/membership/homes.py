"""Which gateway keeps an object's directory entry: rendezvous hash over the members in service.

With a plain remainder over the configured number a home that is gone stays home: each look-up for its objects
waits for an answer that never comes. Here each object ranks all gateways by hash, and the first in service is
home; if one leaves, only its own objects move, each to its own next. It is a preference: two gateways whose
views differ ask different homes for a while, which costs a fill and breaks no rule.

When one leaves by plan, or comes into service, the entries that change home with it are handed over: the
HANDED latest used of them, one note each, from the one home that holds them. A gateway that dies hands over
nothing; what it held is told anew as copies are used.

Bounds. KEPT orders are remembered, of DEPTH numbers each; one costs as many hashes as there are gateways.
"""

from collections.abc import Collection, Iterable

from hitchtiller.records import combine_hashes, hash64, lru_put

KEPT, DEPTH = 2048, 4
HANDED = 64  # entries at a change: notes in a burst, or look-ups that find nothing
Item = tuple[int, int]  # object and part


class Homes:
    """Ranks gateways for objects."""

    def __init__(self, size: int) -> None:
        """Rank these many."""
        self.salts = [hash64(0x484F4D45, number) for number in range(size)]
        self.orders: dict[int, list[int]] = {}

    def home(self, hashed: int, serving: Collection[int]) -> int:
        """Give the first in service; the first of all where none is known to be."""
        order = self.orders.get(hashed)
        if order is None:
            order = self._rank(hashed)[:DEPTH]
            lru_put(self.orders, hashed, order, KEPT)
        for number in order:
            if number in serving:
                return number
        return next((number for number in self._rank(hashed) if number in serving), order[0])

    def moved(
        self, entries: Iterable[Item], before: Collection[int], after: Collection[int], to: int = -1
    ) -> list[tuple[Item, int]]:
        """Give the latest used of my entries whose home changes, with the new home; only to `to` if given.

        `entries` are in the order of their use, the latest last, as the decisions keep them.
        """
        found: list[tuple[Item, int]] = []
        for item in reversed(list(entries)):
            hashed = hash64(*item)
            home = self.home(hashed, after)
            if home != self.home(hashed, before) and to in (-1, home):
                found.append((item, home))
                if len(found) >= HANDED:
                    break
        return found

    def _rank(self, hashed: int) -> list[int]:
        return sorted(range(len(self.salts)), key=lambda n: (-combine_hashes(hashed, self.salts[n]), n))
