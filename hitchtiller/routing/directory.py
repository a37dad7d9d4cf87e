"""The slice of the object directory that this gateway keeps as home router: which caches may hold an object.

Entries are pessimistic: a cache is listed once a gateway saw it keep a copy, and taken off when it lacks the
object, has restarted, the object was purged, or the entry has aged.

Bounds. MAX_ENTRIES objects, the least recently added go first; MAX_HOLDERS caches an object.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from hitchtiller.records import lru_put

MAX_ENTRIES, MAX_HOLDERS = 4096, 4  # memory, or sight of seldom-asked objects
ENTRY_MS = 10_000.0  # age from which a listed cache is no longer believed
Item = tuple[int, int]  # object and part


@dataclass(slots=True)
class Entry:
    """The caches that may hold one object, each with the time at which it was last said to."""

    group: int
    holders: dict[str, float] = field(default_factory=dict)


class Directory:
    """Entries by object, in the order of their last addition."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[Item, Entry] = {}

    def add(self, item: Item, group: int, server: str, now_ms: float) -> None:
        """List a cache as a holder of an object of a group."""
        entry = self.entries.get(item) or Entry(group)
        entry.group = group
        lru_put(entry.holders, server, now_ms, MAX_HOLDERS)
        lru_put(self.entries, item, entry, MAX_ENTRIES)

    def drop(self, item: Item, server: str) -> None:
        """Take a cache off an object's entry."""
        if entry := self.entries.get(item):
            entry.holders.pop(server, None)

    def group(self, item: Item) -> int:
        """Give the group of a listed object; 0 for one that is not listed."""
        entry = self.entries.get(item)
        return entry.group if entry else 0

    def holders(self, item: Item, since_ms: float, now_ms: float) -> Iterator[tuple[str, float]]:
        """Give the listed caches, the least recently named first; older entries are dropped on the way.

        `since_ms` is when the object was last purged.
        """
        entry = self.entries.get(item)
        for server, listed_ms in list(entry.holders.items()) if entry else ():
            if listed_ms <= max(since_ms, now_ms - ENTRY_MS):
                self.drop(item, server)
            else:
                yield server, listed_ms

    def name(self, item: Item, server: str) -> None:
        """Move a cache that is being named as a holder to the end of the round."""
        holders = self.entries[item].holders
        holders[server] = holders.pop(server)
