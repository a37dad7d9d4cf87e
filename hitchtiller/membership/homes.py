"""Which gateway keeps an object's directory entry: rendezvous hash over the members in service.

With a plain remainder over the configured number a home that is gone stays home: each look-up for its objects
waits for an answer that never comes. Here each object ranks all gateways by hash, and the first in service is
home; if one leaves, only its own objects move, each to its own next. It is a preference: two gateways whose
views differ ask different homes for a while, which costs a fill and breaks no rule.

Bounds. KEPT orders are remembered, of DEPTH numbers each; one costs as many hashes as there are gateways.
"""

from collections.abc import Collection

from hitchtiller.records import blend, mix, put

KEPT, DEPTH = 2048, 4


class Homes:
    """Ranks gateways for objects."""

    def __init__(self, size: int) -> None:
        """Rank these many."""
        self.salts = [mix(0x484F4D45, number) for number in range(size)]
        self.orders: dict[int, list[int]] = {}

    def home(self, hashed: int, serving: Collection[int]) -> int:
        """Give the first in service; the first of all where none is known to be."""
        order = self.orders.get(hashed)
        if order is None:
            order = self._rank(hashed)[:DEPTH]
            put(self.orders, hashed, order, KEPT)
        for number in order:
            if number in serving:
                return number
        return next((number for number in self._rank(hashed) if number in serving), order[0])

    def _rank(self, hashed: int) -> list[int]:
        return sorted(range(len(self.salts)), key=lambda n: (-blend(hashed, self.salts[n]), n))
