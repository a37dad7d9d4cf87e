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

MAX_RANKINGS, RANKING_DEPTH = 2048, 4
MAX_HANDED_OVER = 64  # entries at a change: notes in a burst, or look-ups that find nothing
EntryKey = tuple[int, int]  # object and part


class Homes:
    """Ranks gateways for objects."""

    def __init__(self, size: int) -> None:
        """Rank these many."""
        self.gateway_salts = [hash64(0x484F4D45, number) for number in range(size)]
        self.rankings: dict[int, list[int]] = {}

    def home(self, object_hash: int, serving: Collection[int]) -> int:
        """Give the first in service; the first of all where none is known to be."""
        ranking = self.rankings.get(object_hash)
        if ranking is None:
            ranking = self._rank(object_hash)[:RANKING_DEPTH]
            lru_put(self.rankings, object_hash, ranking, MAX_RANKINGS)
        for number in ranking:
            if number in serving:
                return number
        return next((number for number in self._rank(object_hash) if number in serving), ranking[0])

    def moved_entries(
        self, entries: Iterable[EntryKey], before: Collection[int], after: Collection[int], new_home: int = -1
    ) -> list[tuple[EntryKey, int]]:
        """Give the latest used of my entries whose home changes, with the new home; only to `to` if given.

        `entries` are in the order of their use, the latest last, as the decisions keep them.
        """
        found: list[tuple[EntryKey, int]] = []
        for item in reversed(list(entries)):
            object_hash = hash64(*item)
            home = self.home(object_hash, after)
            if home != self.home(object_hash, before) and new_home in (-1, home):
                found.append((item, home))
                if len(found) >= MAX_HANDED_OVER:
                    break
        return found

    def _rank(self, object_hash: int) -> list[int]:
        return sorted(
            range(len(self.gateway_salts)),
            key=lambda n: (-combine_hashes(object_hash, self.gateway_salts[n]), n),
        )
