"""The correct bytes of every object and part at any time: those that the origin would have served.

Times are Unix milliseconds of this machine. A body is computed from object, part and version, so that every
answer can be checked completely, and an answer that mixes versions matches none.
"""

import time
from dataclasses import dataclass, field

import xxhash

GRACE_MS = 1_050.0  # the purge rule allows 1 s; all limits are 50 ms longer over real sockets


def now_ms() -> float:
    """Return the present time."""
    return time.time() * 1000.0


def make_body(key: int, part: int, version: int, size: int) -> bytes:
    """Return the bytes of a part's version."""
    seed = xxhash.xxh3_128(f"{key}/{part}/{version}").digest()
    return (seed * (size // 16 + 1))[:size]


def tag_of(key: int, version: int) -> str:
    """Return the tag of an object's version."""
    return f"{xxhash.xxh3_64_intdigest(f'{key}:{version}'):016x}"


@dataclass(slots=True)
class Purge:
    """A purge of an object or, without a key, of a group."""

    key: int | None
    group: int
    at_ms: float
    announced_ms: float  # when the bus announces it


@dataclass(slots=True)
class Truth:
    """The origin's objects with their versions, and the effects that have run."""

    groups: int = 16
    small: int = 500
    large: int = 60_000
    purges: list[Purge] = field(default_factory=list)
    by_key: dict[int, list[Purge]] = field(default_factory=dict)
    by_group: dict[int, list[Purge]] = field(default_factory=dict)
    repeat_window_ms: float = 6_000.0  # time in which a repeated effect is recognized by its key and dropped
    first_run_ms: dict[str, float] = field(default_factory=dict)  # by key of an effect: when it ran first
    repeated_effects: list[str] = field(default_factory=list)  # keys of effects that ran again

    def effect(self, key: str) -> None:
        """Run an effect, unless its key was used within the window."""
        now = now_ms()
        if now - self.first_run_ms.setdefault(key, now) > self.repeat_window_ms:
            self.repeated_effects.append(key)

    def group(self, key: int) -> int:
        """Return the group of an object."""
        return key % self.groups

    def size(self, key: int, part: int) -> int:
        """Return the size of a part in bytes: many are small, few are large."""
        share = xxhash.xxh3_64_intdigest(f"size {key} {part}") / 2**64
        return int(self.small + (self.large - self.small) * share**4)

    def purge(self, key: int | None, group: int, announced_ms: float) -> Purge:
        """Purge now; the bus announces it at `announced_ms`, or later with the purge before it."""
        # Purges are announced in the order of their times.
        announced_ms = max([announced_ms, *(purge.announced_ms for purge in self.purges[-1:])])
        purge = Purge(key, self.group(key) if key is not None else group, now_ms(), announced_ms)
        self.purges.append(purge)
        if key is not None:
            self.by_key.setdefault(key, []).append(purge)
        else:
            self.by_group.setdefault(group, []).append(purge)
        return purge

    def purges_of(self, key: int) -> list[Purge]:
        """Return the purges of an object and of its group."""
        return self.by_key.get(key, []) + self.by_group.get(self.group(key), [])

    def version(self, key: int, at_ms: float) -> int:
        """Return an object's version at a time; each purge increases it by one."""
        return sum(purge.at_ms <= at_ms for purge in self.purges_of(key))

    def body(self, key: int, part: int, version: int) -> bytes:
        """Return the bytes of a part's version."""
        return make_body(key, part, version, self.size(key, part))

    def tag(self, key: int, version: int) -> str:
        """Return the tag of an object's version."""
        return tag_of(key, version)

    def judge(self, key: int, part: int, body: bytes, sent_ms: float, received_ms: float) -> str:
        """Check an answer that came at `received_ms` to a request of `sent_ms`.

        Returns "" if it is right, "torn" if its bytes match no version, "old" if it misses a purge that was
        announced more than GRACE_MS before the request.
        """
        newest = self.version(key, received_ms)
        version = next((v for v in range(newest, -1, -1) if self.body(key, part, v) == body), None)
        if version is None:
            return "torn"
        announced_count = sum(purge.announced_ms + GRACE_MS <= sent_ms for purge in self.purges_of(key))
        # Versions count purges in the order of their times, which is the order of their announcements.
        return "old" if version < announced_count else ""
