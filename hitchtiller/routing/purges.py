"""Recent purges, which cached copies may still predate, by object and by group of objects.

After a purge is announced, caches drop older copies within a stated time. Until then each request has to
limit the age of the copy that it accepts. A purge is forgotten once that time has passed.

Bounds. One time for each object or group purged within that time, and one heap entry for each purge heard
of. A look-up is two dictionary reads. Forgetting costs O(log n) for each expired purge and nothing for the
others, so that a regular sweep does not visit all of them.
"""

import heapq
import math

PurgeKey = tuple[str, int]  # "key" or "group", and its number


class PurgeLog:
    """The latest purge of each object and group, in Unix milliseconds."""

    def __init__(self) -> None:
        """Create a log without any purge."""
        self.purged_ms: dict[PurgeKey, float] = {}
        self.by_age: list[tuple[float, PurgeKey]] = []

    def record(self, key: int | None, group: int, purged_ms: float) -> None:
        """Record a purge of an object, or without a key of a whole group; an older one changes nothing."""
        purge_key = ("group", group) if key is None else ("key", key)
        if purged_ms > self.purged_ms.get(purge_key, -math.inf):
            self.purged_ms[purge_key] = purged_ms
            heapq.heappush(self.by_age, (purged_ms, purge_key))

    def latest(self, key: int, group: int) -> float:
        """Return the time of the latest purge that affects an object; minus infinity if there is none."""
        object_ms = self.purged_ms.get(("key", key), -math.inf)
        return max(object_ms, self.purged_ms.get(("group", group), -math.inf))

    def forget_until(self, purged_ms: float) -> None:
        """Forget the purges made up to this time."""
        while self.by_age and self.by_age[0][0] <= purged_ms:
            oldest_ms, purge_key = heapq.heappop(self.by_age)
            if self.purged_ms.get(purge_key) == oldest_ms:
                del self.purged_ms[purge_key]

    def __len__(self) -> int:
        """Return the number of objects and groups with a purge that is not forgotten."""
        return len(self.purged_ms)
