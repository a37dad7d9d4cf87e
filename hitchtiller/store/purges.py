"""Known purges: the time after which a copy of an object must date.

At most `max_objects` purged objects and 256 groups are kept. Beyond that, the older half of the objects is
replaced by a floor: no copy of any object from before the latest of them may be served. This refuses good
copies, but never serves a purged one.
"""

import math


class Purges:
    """The time of the last purge for each object and group, in Unix ms of the origin's clock."""

    def __init__(self, most: int = 100_000) -> None:
        """Keep at most `max_objects` purged objects by key."""
        self.most = most
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}
        self.floor = -math.inf
        self.floors = 0  # how often the limit was reached

    def add(self, key: int | None, group: int, at_ms: float) -> bool:
        """Record a purge of an object or, without a key, of a group; return False if it adds nothing new."""
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
        """Return whether the limit is near, so that purges which concern no copy should be forgotten."""
        return len(self.objects) > 0.9 * self.most

    def raise_floor(self, at_ms: float) -> None:
        """Forbid every copy from before a time, and forget the purges that this covers."""
        self.floor = max(self.floor, at_ms)
        for table in (self.objects, self.groups):
            for name in [name for name, at in table.items() if at <= self.floor]:
                del table[name]

    def last(self, key: int, group: int) -> float:
        """Return the time of the last purge; a copy of exactly that time is older than the purge."""
        return max(self.floor, self.objects.get(key, -math.inf), self.groups.get(group, -math.inf))

    def allows(self, key: int, group: int, since_ms: float) -> bool:
        """Return whether a copy that the origin sent at `since_ms` may be served."""
        return since_ms > self.last(key, group)

    def forget(self, oldest_ms: float) -> int:
        """Forget the purges that are older than every stored copy; return their number."""
        before = len(self.objects) + len(self.groups)
        for table in (self.objects, self.groups):
            for name in [name for name, at in table.items() if at < oldest_ms]:
                del table[name]
        return before - len(self.objects) - len(self.groups)
