"""Assembles one response body from parts that all have the same tag.

Parts may be added in any order; bytes are released in order and hashed on the way. The last TAIL_BYTES are
released only once the digest has been verified, so that a client never receives a complete body with wrong
bytes. Performs no I/O. Memory bound: the parts that arrived before their turn, at most as many as the window
allows in flight, and TAIL_BYTES.
"""

import hashlib
from dataclasses import dataclass, field

TAIL_BYTES = 16_384  # held back at the end of a body until its digest is verified


class BrokenBodyError(Exception):
    """The body cannot be completed; the message is the reason code."""


class TagChangedError(Exception):
    """A part with another tag arrived before any byte was released; the body can restart with that tag."""

    def __init__(self, tag: str) -> None:
        """Keep the tag to start again with."""
        super().__init__(tag)
        self.tag = tag


@dataclass(slots=True)
class Part:
    """A part as received: its bytes, their tag, and when the origin sent them (Unix ms)."""

    data: bytes
    tag: str
    since_ms: int


@dataclass(slots=True)
class Assembly:
    """The state of one body; `digest` is the SHA-256 that it must have, "" for any."""

    part_bytes: int
    digest: str = ""
    size: int = -1  # -1 if unknown: the first part shorter than part_bytes is the last one
    tag: str = ""
    next_part: int = 0  # number of the part to be released next
    sent_bytes: int = 0  # bytes released so far
    early_parts: dict[int, Part] = field(default_factory=dict)
    hasher: "hashlib._Hash" = field(default_factory=hashlib.sha256)
    tail: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    since_ms: int = 0  # of the oldest part

    def has_same_tag(self, part: Part) -> bool:
        """Return whether a part has the tag of this body; any tag will do before the first part."""
        return not self.tag or part.tag == self.tag

    def needs(self, number: int) -> bool:
        """Return whether a part is still needed: it lies within the body and has not been added yet."""
        is_past_end = self.size >= 0 and number * self.part_bytes >= max(1, self.size)
        return (
            not self.is_complete
            and not is_past_end
            and number >= self.next_part
            and number not in self.early_parts
        )

    def add_part(self, number: int, part: Part) -> list[bytes]:
        """Add a part, and return the bytes that may be sent now, in order.

        Raises TagChangedError for a part with another tag before any byte was released, BrokenBodyError for
        one after that, and BrokenBodyError for a wrong size or digest.
        """
        if self.is_complete or number < self.next_part:
            return []
        if not self.tag:
            self.tag = part.tag
        if part.tag != self.tag:
            if self.sent_bytes:
                raise BrokenBodyError("two-releases")  # the client must not get mixed bytes
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
        """Append one part, and return the bytes that need not be held back."""
        self.hasher.update(part.data)
        self.since_ms = min(self.since_ms or part.since_ms, part.since_ms)
        self.next_part += 1
        end = (self.next_part - 1) * self.part_bytes + len(part.data)
        is_short = len(part.data) < self.part_bytes
        if self.size >= 0 and (end > self.size or (is_short and end < self.size)):
            raise BrokenBodyError("wrong-size")
        self.tail += part.data
        if is_short or end == self.size:
            self.is_complete, self.size = True, end
            if self.digest and self.hasher.hexdigest() != self.digest:
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
    """Digest and size of a body that was read completely."""

    digest: str
    size: int


class VerifiedBodies:
    """Digest and size by object key and tag, for the bodies that were read completely.

    The least recently used entry is forgotten first.
    """

    def __init__(self, max_entries: int = 50_000) -> None:
        """Keep at most `max_entries` entries, about 250 bytes each."""
        self.max_entries = max_entries
        self.entries: dict[tuple[int, str], VerifiedBody] = {}

    def get(self, key: int, tag: str) -> VerifiedBody | None:
        """Return digest and size for a tag of an object, None if unknown."""
        found = self.entries.pop((key, tag), None)
        if found:
            self.entries[key, tag] = found
        return found

    def put(self, key: int, tag: str, digest: str, size: int) -> None:
        """Record a body that was read completely."""
        self.entries[key, tag] = VerifiedBody(digest, size)
        while len(self.entries) > self.max_entries:
            del self.entries[next(iter(self.entries))]
