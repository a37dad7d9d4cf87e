"""Known purges: the time after which a copy of an object must date.

At most `max_objects` purged objects and 256 groups are kept. Beyond that, the older half of the objects is
replaced by a floor: no copy of any object from before the latest of them may be served. This refuses good
copies, but never serves a purged one.
"""

import math


class Purges:
    """The time of the last purge for each object and group, in Unix ms of the origin's clock."""

    def __init__(self, max_objects: int = 100_000) -> None:
        """Keep at most `max_objects` purged objects by key."""
        self.max_objects = max_objects
        self.objects: dict[int, float] = {}
        self.groups: dict[int, float] = {}
        self.floor = -math.inf
        self.floor_raises = 0  # how often the limit was reached

    def add(self, key: int | None, group: int, at_ms: float) -> bool:
        """Record a purge of an object or, without a key, of a group; return False if it adds nothing new."""
        table, key_or_group = (self.groups, group) if key is None else (self.objects, key)
        if at_ms <= max(self.floor, table.get(key_or_group, -math.inf)):
            return False
        table[key_or_group] = at_ms
        if len(self.objects) > self.max_objects:
            self.raise_floor(sorted(self.objects.values())[self.max_objects // 2])
            self.floor_raises += 1
        return True

    @property
    def is_nearly_full(self) -> bool:
        """Return whether the limit is near, so that purges which concern no copy should be forgotten."""
        return len(self.objects) > 0.9 * self.max_objects

    def raise_floor(self, at_ms: float) -> None:
        """Forbid every copy from before a time, and forget the purges that this covers."""
        self.floor = max(self.floor, at_ms)
        for table in (self.objects, self.groups):
            for key_or_group in [
                key_or_group for key_or_group, purge_ms in table.items() if purge_ms <= self.floor
            ]:
                del table[key_or_group]

    def last_purge_ms(self, key: int, group: int) -> float:
        """Return the time of the last purge; a copy of exactly that time is older than the purge."""
        return max(self.floor, self.objects.get(key, -math.inf), self.groups.get(group, -math.inf))

    def allows(self, key: int, group: int, since_ms: float) -> bool:
        """Return whether a copy that the origin sent at `since_ms` may be served."""
        return since_ms > self.last_purge_ms(key, group)

    def forget(self, oldest_ms: float) -> int:
        """Forget the purges that are older than every stored copy; return their number."""
        count_before = len(self.objects) + len(self.groups)
        for table in (self.objects, self.groups):
            for key_or_group in [
                key_or_group for key_or_group, purge_ms in table.items() if purge_ms < oldest_ms
            ]:
                del table[key_or_group]
        return count_before - len(self.objects) - len(self.groups)
