"""Purges that copies may still be older than, by object and by group of objects.

After a purge is announced, caches drop older copies within a stated time; until then each request has to
bound the age of the copy that it accepts. A purge is forgotten once that time has passed.

Bounds. One time for each object or group purged within that time, and one heap entry for each purge heard.
A look-up is two dictionary reads; forgetting costs O(log n) for each purge that is over and nothing for
those that are not, so that a regular sweep does not walk all of them.
"""

import heapq
import math

PurgeName = tuple[str, int]  # "key" or "group", and its number


class PurgeLog:
    """The latest purge of each object and group, in Unix milliseconds."""

    def __init__(self) -> None:
        """Start with nothing purged."""
        self.purged_ms: dict[PurgeName, float] = {}
        self.by_age: list[tuple[float, PurgeName]] = []

    def record(self, key: int | None, group: int, purged_ms: float) -> None:
        """Note a purge of an object, or with no key of a whole group; an older one changes nothing."""
        name = ("group", group) if key is None else ("key", key)
        if purged_ms > self.purged_ms.get(name, -math.inf):
            self.purged_ms[name] = purged_ms
            heapq.heappush(self.by_age, (purged_ms, name))

    def latest(self, key: int, group: int) -> float:
        """Give the time of the latest purge that concerns an object; minus infinity for none."""
        of_object = self.purged_ms.get(("key", key), -math.inf)
        return max(of_object, self.purged_ms.get(("group", group), -math.inf))

    def forget_until(self, purged_ms: float) -> None:
        """Forget the purges of up to this time."""
        while self.by_age and self.by_age[0][0] <= purged_ms:
            at_ms, name = heapq.heappop(self.by_age)
            if self.purged_ms.get(name) == at_ms:
                del self.purged_ms[name]

    def __len__(self) -> int:
        """Count the objects and groups with a purge that is not over."""
        return len(self.purged_ms)
