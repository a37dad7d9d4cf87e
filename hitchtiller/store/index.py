"""Where each kept part lies: open addressing in two arrays, grown a few slots at a time.

Bound: 16 bytes a slot, at most three quarters of the slots full, so 21.4 to 42.7 bytes a part between two
growths; a growth holds the old table beside the new one until all has moved, but gives the old one's pages
back as it goes. A look-up reads two slots on average. No call moves more than MOVE slots, so none stalls the
loop; a table's pages are the kernel's zeroed ones, so making one costs nothing until it is filled. Lost parts
leave no tombstones: the slots behind are moved up.
"""

import mmap
import threading
from collections.abc import Iterator

import xxhash

SLOT = 16  # bytes: fingerprint, place
FULL = 0.75
MOVE = 64  # slots of the old table that each change moves while a growth goes on
FIRST = 1 << 10
DROP = 1 << 20  # bytes of the old table that are given back at once
SEGMENT_BITS, OFFSET_BITS, LENGTH_BITS = 24, 22, 13  # units of 64 bytes: files to 256 MiB, records to 512 KiB


def fingerprint(key: int, part: int) -> int:
    """Hash an object's part to 64 bits, never 0 (an empty slot); equal ones are told apart by the record."""
    return xxhash.xxh3_64_intdigest(key.to_bytes(8, "little") + part.to_bytes(4, "little")) or 1


def pack_place(segment: int, offset: int, length: int) -> int:
    """Pack a place: segment number, byte offset and record length, both multiples of 64."""
    if segment >> SEGMENT_BITS or offset >> 6 >> OFFSET_BITS or length >> 6 >> LENGTH_BITS:
        raise ValueError(f"place {segment}, {offset}, {length} is out of bounds")
    return (segment << OFFSET_BITS | offset >> 6) << LENGTH_BITS | length >> 6


def unpack_place(place: int) -> tuple[int, int, int]:
    """Give the segment, the offset and the length of a packed place."""
    length = (place & (1 << LENGTH_BITS) - 1) << 6
    rest = place >> LENGTH_BITS
    return rest >> OFFSET_BITS, (rest & (1 << OFFSET_BITS) - 1) << 6, length


class Table:
    """One array of slots; `slots` is a power of two."""

    def __init__(self, slots: int) -> None:
        """Map zeroed pages."""
        self.slots, self.mask = slots, slots - 1
        self.pages = mmap.mmap(-1, max(mmap.PAGESIZE, slots * SLOT))
        if hasattr(mmap, "MADV_NOHUGEPAGE"):  # a huge one is zeroed at its first touch: 64 took 35 ms
            self.pages.madvise(mmap.MADV_NOHUGEPAGE)
        self.words = memoryview(self.pages).cast("Q")
        self.used = 0

    def find(self, part_hash: int) -> int:
        """Give the slot of a fingerprint, or the empty one where it would go."""
        words, mask, at = self.words, self.mask, part_hash & self.mask
        while (there := words[2 * at]) and there != part_hash:
            at = (at + 1) & mask
        return at

    def put(self, part_hash: int, place: int) -> int:
        """Set a fingerprint's place; gives the one it had, or 0."""
        at = self.find(part_hash)
        before = self.words[2 * at + 1]
        if not self.words[2 * at]:
            self.words[2 * at] = part_hash
            self.used += 1
        self.words[2 * at + 1] = place
        return int(before)

    def pop(self, part_hash: int) -> int:
        """Take a fingerprint out and move up what follows it; gives its place, or 0."""
        words, mask, hole = self.words, self.mask, self.find(part_hash)
        place = int(words[2 * hole + 1])
        if not words[2 * hole]:
            return 0
        at = hole
        while True:
            at = (at + 1) & mask
            there = words[2 * at]
            if not there:
                break
            if (at - there) & mask >= (at - hole) & mask:  # its home is not behind the hole
                words[2 * hole], words[2 * hole + 1] = there, words[2 * at + 1]
                hole = at
        words[2 * hole] = words[2 * hole + 1] = 0
        self.used -= 1
        return place

    def close(self) -> None:
        """Give the pages back."""
        self.words.release()
        self.pages.close()


class Index:
    """Fingerprints to places; the caller compares the record's own key with what it wanted."""

    def __init__(self, expected: int = 0) -> None:
        """Start with room for this many parts."""
        slots = FIRST
        while slots * FULL < expected:
            slots *= 2
        self.table, self.moved = Table(slots), 0
        self.old: Table | None = None
        self.frozen: set[int] | None = None  # what was taken out while a checkpoint copies the slots

    def __len__(self) -> int:
        """Count the parts."""
        return self.table.used + (self.old.used if self.old else 0) - len(self.frozen or ())

    @property
    def room(self) -> int:
        """Give the bytes of both tables, those not yet filled included."""
        return SLOT * (self.table.slots + (self.old.slots if self.old else 0))

    def get(self, part_hash: int) -> int:
        """Give a fingerprint's place, or 0."""
        table = self.table
        place = table.words[2 * table.find(part_hash) + 1]
        if not place and (old := self._behind(part_hash)):
            place = old.words[2 * old.find(part_hash) + 1]
        return int(place)

    def _behind(self, part_hash: int) -> Table | None:
        """Give the old table if a fingerprint can still be there.

        Not where its home has been passed: a look there would map the pages again that were given back.
        """
        old = self.old
        return old if old and part_hash & old.mask < old.slots - self.moved else None

    def put(self, part_hash: int, place: int) -> int:
        """Set a place; gives the one that it replaces, or 0."""
        if self.old:
            self._move()
        elif self.table.used >= self.table.slots * FULL and self.frozen is None:
            self.old, self.moved = self.table, 0
            self.table = Table(2 * self.old.slots)
        if self.frozen:
            self.frozen.discard(part_hash)
        old = self._behind(part_hash)
        before = old.pop(part_hash) if old else 0
        return self.table.put(part_hash, place) or before

    def pop(self, part_hash: int) -> int:
        """Forget a fingerprint; gives its place, or 0."""
        if self.frozen is not None:  # moving slots up could carry one past the copy, unseen
            at = self.table.find(part_hash)
            place = int(self.table.words[2 * at + 1])
            if place:
                self.table.words[2 * at + 1] = 0
                self.frozen.add(part_hash)
            return place
        if self.old:
            self._move()
        old = self._behind(part_hash)
        return self.table.pop(part_hash) or (old.pop(part_hash) if old else 0)

    def swap(self, part_hash: int, old: int, new: int) -> bool:
        """Set a new place only where the old one is still in force.

        Compaction must not undo a newer write.
        """
        if self.get(part_hash) != old:
            return False
        self.put(part_hash, new)
        return True

    def _move(self) -> None:
        """Move some slots of the old table; those left there are still found."""
        old = self.old
        if old is None:
            return
        # backwards: taking an entry out moves up only what follows it, so nothing passes the mark unseen,
        # but a run that wraps round the end; `used` tells when all has gone
        for _ in range(MOVE):
            if not old.used:
                # unmapping it took 10 ms at four million slots; the call gives the interpreter lock away
                threading.Thread(target=old.close, daemon=True).start()
                self.old = None
                return
            at = (old.slots - 1 - self.moved) & old.mask
            part_hash = old.words[2 * at]
            if part_hash:
                self.table.put(int(part_hash), old.pop(int(part_hash)))
            else:
                self.moved += 1
                if self.moved % (DROP // SLOT) == 0 and self.moved < old.slots:
                    start = (old.slots - self.moved) * SLOT
                    if start % mmap.PAGESIZE == 0:
                        old.pages.madvise(mmap.MADV_DONTNEED, start, DROP)

    def items(self) -> Iterator[tuple[int, int]]:
        """Give all fingerprints with their places; nothing may be changed meanwhile."""
        for table in (self.table, self.old):
            if table:
                for at in range(table.slots):
                    if place := table.words[2 * at + 1]:
                        yield int(table.words[2 * at]), int(place)

    def freeze(self) -> bool:
        """Begin a copy of the slots.

        False while a growth goes on. What is taken out meanwhile keeps its slot.
        """
        if self.old or self.frozen is not None:
            return False
        self.frozen = set()
        return True

    def snapshot(self, at: int, slots: int) -> bytes:
        """Copy a stretch of slots; nothing past the end. What was put since `freeze` may be in it or not."""
        return bytes(self.table.words[2 * at : 2 * (at + slots)])

    def thaw(self) -> None:
        """End the copy, and free the slots of what was taken out meanwhile."""
        part_hashes, self.frozen = self.frozen or set(), None
        for part_hash in part_hashes:
            self.table.pop(part_hash)

    def load(self, words: memoryview, keep: frozenset[int]) -> None:
        """Take a checkpoint's slots whose segments are still there."""
        shift = OFFSET_BITS + LENGTH_BITS
        pairs = words.cast("Q")
        for at in range(0, len(pairs), 2):
            if (part_hash := pairs[at]) and pairs[at + 1] >> shift in keep:
                self.put(int(part_hash), int(pairs[at + 1]))
