"""What is known of purges: from which time on a copy of an object may be.

Bound: `most` purged objects and 256 groups. Past the bound the older half of the objects is replaced by a
floor: no copy from before the latest of them will do, whatever it is of. That refuses good copies but never
serves a bad one.
"""

import math


class Purges:
    """The time of the last purge that concerns an object; times in Unix ms, the origin's clock."""

    def __init__(self, most: int = 100_000) -> None:
        """Remember `most` objects by name."""
        self.most = most
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}
        self.floor = -math.inf
        self.floors = 0  # how often the bound was reached

    def add(self, key: int | None, group: int, at_ms: float) -> bool:
        """Note a purge of an object or, with no key, of a group; False if it says nothing new."""
        table, name = (self.groups, group) if key is None else (self.objects, key)
        if at_ms <= max(self.floor, table.get(name, -math.inf)):
            return False
        table[name] = at_ms
        if len(self.objects) > self.most:
            self.raise_floor(sorted(self.objects.values())[self.most // 2])
            self.floors += 1
        return True

    @property
    def crowded(self) -> bool:
        """Tell whether the bound is near: what no copy needs should be forgotten."""
        return len(self.objects) > 0.9 * self.most

    def raise_floor(self, at_ms: float) -> None:
        """Let no copy from before a time do, and forget the purges that this covers."""
        self.floor = max(self.floor, at_ms)
        for table in (self.objects, self.groups):
            for name in [name for name, at in table.items() if at <= self.floor]:
                del table[name]

    def last(self, key: int, group: int) -> float:
        """Give the time from which on a copy may be; a copy from that very time is older than the purge."""
        return max(self.floor, self.objects.get(key, -math.inf), self.groups.get(group, -math.inf))

    def allows(self, key: int, group: int, since_ms: float) -> bool:
        """Tell whether a copy that the origin gave out then may be served."""
        return since_ms > self.last(key, group)

    def forget(self, oldest_ms: float) -> int:
        """Drop the purges that no kept copy is older than; gives how many."""
        before = len(self.objects) + len(self.groups)
        for table in (self.objects, self.groups):
            for name in [name for name, at in table.items() if at < oldest_ms]:
                del table[name]
        return before - len(self.objects) - len(self.groups)
