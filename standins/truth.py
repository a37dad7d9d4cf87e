"""What was right when: for every object, part and moment the bytes that the head office would have given out.

Times are Unix milliseconds of this machine. Bodies are made from object, part and version, so that any answer
can be judged whole, and an answer of mixed bytes fits no version.
"""

import time
from dataclasses import dataclass, field

import xxhash

GRACE_MS = 1_050.0  # the rule's second, and what every limit is longer on sockets


def now_ms() -> float:
    """Read the clock."""
    return time.time() * 1000.0


def make_body(key: int, part: int, version: int, size: int) -> bytes:
    """Make a part's bytes."""
    seed = xxhash.xxh3_128(f"{key}/{part}/{version}").digest()
    return (seed * (size // 16 + 1))[:size]


def tag_of(key: int, version: int) -> str:
    """Make the tag of a version."""
    return f"{xxhash.xxh3_64_intdigest(f'{key}:{version}'):016x}"


@dataclass(slots=True)
class Purge:
    """A purge of an object or, with no key, of a group."""

    key: int | None
    group: int
    at_ms: float
    told_ms: float  # when the bus had it


@dataclass(slots=True)
class Truth:
    """The head office's objects and their versions."""

    groups: int = 16
    small: int = 500
    large: int = 60_000
    purges: list[Purge] = field(default_factory=list)
    by_key: dict[int, list[Purge]] = field(default_factory=dict)
    by_group: dict[int, list[Purge]] = field(default_factory=dict)
    window_ms: float = 6_000.0  # in which a repeat of an effect is known by its key, and dropped
    ran: dict[str, float] = field(default_factory=dict)  # effects by key: when they ran first
    twice: list[str] = field(default_factory=list)  # those that ran again

    def effect(self, key: str) -> None:
        """Run an effect, unless its key is known."""
        now = now_ms()
        if now - self.ran.setdefault(key, now) > self.window_ms:
            self.twice.append(key)

    def group(self, key: int) -> int:
        """Give an object's group."""
        return key % self.groups

    def size(self, key: int, part: int) -> int:
        """Give a part's size: many small ones, few large."""
        draw = xxhash.xxh3_64_intdigest(f"size {key} {part}") / 2**64
        return int(self.small + (self.large - self.small) * draw**4)

    def purge(self, key: int | None, group: int, told_ms: float) -> Purge:
        """Purge now; the bus will have it at `told_ms`."""
        told_ms = max(
            [told_ms, *(purge.told_ms for purge in self.purges[-1:])]
        )  # told in the order of their times
        purge = Purge(key, self.group(key) if key is not None else group, now_ms(), told_ms)
        self.purges.append(purge)
        if key is not None:
            self.by_key.setdefault(key, []).append(purge)
        else:
            self.by_group.setdefault(group, []).append(purge)
        return purge

    def concerning(self, key: int) -> list[Purge]:
        """Give the purges that concern an object."""
        return self.by_key.get(key, []) + self.by_group.get(self.group(key), [])

    def version(self, key: int, at_ms: float) -> int:
        """Give the version in force at a time: one more with each purge."""
        return sum(purge.at_ms <= at_ms for purge in self.concerning(key))

    def body(self, key: int, part: int, version: int) -> bytes:
        """Give a version's bytes."""
        return make_body(key, part, version, self.size(key, part))

    def tag(self, key: int, version: int) -> str:
        """Give a version's tag."""
        return tag_of(key, version)

    def judge(self, key: int, part: int, body: bytes, sent_ms: float, got_ms: float) -> str:
        """Judge an answer to a request of `sent_ms`: "" if it is right, else "torn" or "old"."""
        newest = self.version(key, got_ms)
        version = next((v for v in range(newest, -1, -1) if self.body(key, part, v) == body), None)
        if version is None:
            return "torn"
        told = sum(purge.told_ms + GRACE_MS <= sent_ms for purge in self.concerning(key))
        # versions count purges in the order of their times, and they are told in that order too
        return "old" if version < told else ""
