"""The slice of the object directory that this gateway keeps as home gateway: which caches may hold an object.

Entries are pessimistic: a cache is listed once a gateway has seen it keep a copy. It is removed when it lacks
the object, when it has restarted, when the object was purged, or when the entry has expired.

Bounds. MAX_ENTRIES objects, of which the least recently added are removed first; MAX_HOLDERS caches per
object.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from hitchtiller.records import lru_put

MAX_ENTRIES, MAX_HOLDERS = 4096, 4  # more cost memory; fewer lose rarely requested objects
ENTRY_TTL_MS = 10_000.0  # age from which a listed cache is no longer assumed to hold the object
Item = tuple[int, int]  # object key and part number


@dataclass(slots=True)
class Entry:
    """The caches that may hold one object, each with the time at which it was last reported to hold it."""

    group: int
    holders: dict[str, float] = field(default_factory=dict)


class Directory:
    """Entries by object, in the order in which a holder was last added to them."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self.entries: dict[Item, Entry] = {}

    def add(self, item: Item, group: int, server: str, now_ms: float) -> None:
        """List a cache as a holder of an object of a purge group."""
        entry = self.entries.get(item) or Entry(group)
        entry.group = group
        lru_put(entry.holders, server, now_ms, MAX_HOLDERS)
        lru_put(self.entries, item, entry, MAX_ENTRIES)

    def remove_holder(self, item: Item, server: str) -> None:
        """Remove a cache from an object's entry."""
        if entry := self.entries.get(item):
            entry.holders.pop(server, None)

    def group(self, item: Item) -> int:
        """Return the purge group of a listed object; 0 for an object that is not listed."""
        entry = self.entries.get(item)
        return entry.group if entry else 0

    def holders(self, item: Item, purged_ms: float, now_ms: float) -> Iterator[tuple[str, float]]:
        """Yield the listed caches with the times of their reports, the least recently returned first.

        Caches whose report has expired, or is older than the object's last purge at `purged_ms`, are removed.
        """
        entry = self.entries.get(item)
        for server, listed_ms in list(entry.holders.items()) if entry else ():
            if listed_ms <= max(purged_ms, now_ms - ENTRY_TTL_MS):
                self.remove_holder(item, server)
            else:
                yield server, listed_ms

    def move_to_end(self, item: Item, server: str) -> None:
        """Move a cache that is returned as a holder to the end of the rotation."""
        holders = self.entries[item].holders
        holders[server] = holders.pop(server)
