"""Home gateways of directory entries, by rendezvous hashing over the members in service.

With the remainder of the hash over the configured number of gateways, a dead gateway would stay home of its
objects, and each look-up for them would wait for an answer that never comes. Here each object ranks all
gateways by hash, and the first one in service is its home. If a gateway leaves, only its own objects move,
each to the next gateway in its ranking. The home is a preference: two gateways whose views differ ask
different homes for a while, which costs a fill and breaks no limit.

When a gateway leaves as planned, or comes into service, the entries whose home changes with it are handed
over: the MAX_HANDED_OVER most recently used of them, in one note each, from the home that holds them. A
gateway that dies hands over nothing; its entries are announced again as the copies are used.

Bounds: MAX_RANKINGS rankings of RANKING_DEPTH numbers each are cached; a ranking costs one hash for each
gateway.
"""

from collections.abc import Collection, Iterable

from hitchtiller.records import combine_hashes, hash64, lru_put

MAX_RANKINGS, RANKING_DEPTH = 2048, 4
MAX_HANDED_OVER = (
    64  # entries a change; more mean longer bursts of notes, fewer mean look-ups that find nothing
)
EntryKey = tuple[int, int]  # object and part


class Homes:
    """Ranks the gateways for each object and caches the rankings."""

    def __init__(self, size: int) -> None:
        """Rank `size` gateways."""
        self.gateway_salts = [hash64(0x484F4D45, number) for number in range(size)]
        self.rankings: dict[int, list[int]] = {}

    def home(self, object_hash: int, serving: Collection[int]) -> int:
        """Return the first gateway in service of the object's ranking, or its first one if none serves."""
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
        """Return the most recently used entries whose home changes, with their new home.

        `entries` are those of this gateway in the order of their use, the latest last, as the decisions keep
        them. If `new_home` is given, only entries that move to that gateway are returned.
        """
        found: list[tuple[EntryKey, int]] = []
        for entry_key in reversed(list(entries)):
            object_hash = hash64(*entry_key)
            home = self.home(object_hash, after)
            if home != self.home(object_hash, before) and new_home in (-1, home):
                found.append((entry_key, home))
                if len(found) >= MAX_HANDED_OVER:
                    break
        return found

    def _rank(self, object_hash: int) -> list[int]:
        return sorted(
            range(len(self.gateway_salts)),
            key=lambda n: (-combine_hashes(object_hash, self.gateway_salts[n]), n),
        )
