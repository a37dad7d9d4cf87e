"""One body put together from parts: of one tag only, hashed as it goes, its end held until the digest holds.

Sans-I/O: parts come in any order and leave in order. Bound: parts that came early, as many as the window lets
be under way, and HOLD bytes of the end.
"""

import hashlib
from dataclasses import dataclass, field

TAIL_BYTES = 16_384  # bytes at the end that are sent only once the digest holds


class BrokenBodyError(Exception):
    """The body can't be ended well; the text is the reason code."""


class TagChangedError(Exception):
    """Another tag came before anything was sent: all of it can begin anew with that one."""

    def __init__(self, tag: str) -> None:
        """Keep the tag to begin with."""
        super().__init__(tag)
        self.tag = tag


@dataclass(slots=True)
class Part:
    """A part as it came."""

    data: bytes
    tag: str
    since_ms: int


@dataclass(slots=True)
class Assembly:
    """Puts one body together; `digest` is the SHA-256 it must have, "" for any."""

    part_bytes: int
    digest: str = ""
    size: int = -1  # -1: the first part that is short ends it
    tag: str = ""
    next_part: int = 0  # the part that goes out next
    sent_bytes: int = 0  # bytes given out
    early_parts: dict[int, Part] = field(default_factory=dict)
    hash: "hashlib._Hash" = field(default_factory=hashlib.sha256)
    tail: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    since_ms: int = 0  # the oldest part's

    def has_same_tag(self, part: Part) -> bool:
        """Tell whether a part is of the tag that this body has."""
        return not self.tag or part.tag == self.tag

    def needs(self, number: int) -> bool:
        """Tell whether a part is needed and has not come."""
        is_past_end = self.size >= 0 and number * self.part_bytes >= max(1, self.size)
        return (
            not self.is_complete
            and not is_past_end
            and number >= self.next_part
            and number not in self.early_parts
        )

    def add_part(self, number: int, part: Part) -> list[bytes]:
        """Take a part.

        Gives the bytes that may be sent now, in order. Broken or Restart where it does not fit.
        """
        if self.is_complete or number < self.next_part:
            return []
        if not self.tag:
            self.tag = part.tag
        if part.tag != self.tag:
            if self.sent_bytes:
                raise BrokenBodyError("two-releases")  # never mixed bytes: the client must be able to tell
            raise TagChangedError(part.tag)
        if len(part.data) > self.part_bytes:
            raise BrokenBodyError("part-too-long")
        self.early_parts[number] = part
        released: list[bytes] = []
        while (arrived := self.early_parts.pop(self.next_part, None)) is not None:
            released += self._release_part(arrived)
            if self.is_complete:
                self.early_parts.clear()
                break
        self.sent_bytes += sum(map(len, released))
        return released

    def _release_part(self, part: Part) -> list[bytes]:
        """Pass one part on, but for what has to be held."""
        self.hash.update(part.data)
        self.since_ms = min(self.since_ms or part.since_ms, part.since_ms)
        self.next_part += 1
        end = (self.next_part - 1) * self.part_bytes + len(part.data)
        is_short = len(part.data) < self.part_bytes
        if self.size >= 0 and (end > self.size or (is_short and end < self.size)):
            raise BrokenBodyError("wrong-size")
        self.tail += part.data
        if is_short or end == self.size:
            self.is_complete, self.size = True, end
            if self.digest and self.hash.hexdigest() != self.digest:
                raise BrokenBodyError("wrong-digest")
            remainder, self.tail = bytes(self.tail), bytearray()
            return [remainder] if remainder else []
        if len(self.tail) <= TAIL_BYTES:
            return []
        release_bytes = len(self.tail) - TAIL_BYTES
        released = bytes(self.tail[:release_bytes])
        del self.tail[:release_bytes]
        return [released]


@dataclass(slots=True)
class VerifiedBody:
    """What the bytes of a tag were found to be."""

    digest: str
    size: int


class VerifiedBodies:
    """Which digest a tag of an object stands for, once all of it has been read.

    The longest unused goes first.
    """

    def __init__(self, max_entries: int = 50_000) -> None:
        """Remember `most` tags, about 250 bytes each."""
        self.max_entries = max_entries
        self.entries: dict[tuple[int, str], VerifiedBody] = {}

    def get(self, key: int, tag: str) -> VerifiedBody | None:
        """Give what a tag stands for."""
        found = self.entries.pop((key, tag), None)
        if found:
            self.entries[key, tag] = found
        return found

    def put(self, key: int, tag: str, digest: str, size: int) -> None:
        """Note a body that was read whole."""
        self.entries[key, tag] = VerifiedBody(digest, size)
        while len(self.entries) > self.max_entries:
            del self.entries[next(iter(self.entries))]
