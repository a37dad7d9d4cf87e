"""The index of the disk tier: where each stored part lies; a hash table with open addressing.

The table is an array of 16-byte slots. At most three quarters of them are in use, so that the index takes
21.4 to 42.7 bytes a part. While a table grows, the old one exists beside the new one until all its entries
have moved, but its pages are returned to the system as it empties. A look-up reads two slots on average.

No call moves more than MOVE_SLOTS slots, so none blocks the event loop for long. The pages of a new table are
zeroed by the kernel at their first use, so creating one costs nothing until it is filled. Removed entries
leave no tombstones: the entries behind them move up.
"""

import mmap
import threading
from collections.abc import Iterator

import xxhash

SLOT = 16  # bytes: part hash, place
FULL = 0.75
MOVE = 64  # slots of the old table that each change moves while the table grows
FIRST = 1 << 10
DROP = 1 << 20  # bytes of the old table that are returned to the system at once
# bits; offset and length in units of 64 bytes: files up to 256 MiB, records up to 512 KiB
SEGMENT_BITS, OFFSET_BITS, LENGTH_BITS = 24, 22, 13


def fingerprint(key: int, part: int) -> int:
    """Return the 64-bit hash of an object's part; never 0, which marks an empty slot.

    Parts with equal hashes are told apart by the key in the record.
    """
    return xxhash.xxh3_64_intdigest(key.to_bytes(8, "little") + part.to_bytes(4, "little")) or 1


def pack_place(segment: int, offset: int, length: int) -> int:
    """Pack a segment number, a byte offset and a record length; both of these are multiples of 64."""
    if segment >> SEGMENT_BITS or offset >> 6 >> OFFSET_BITS or length >> 6 >> LENGTH_BITS:
        raise ValueError(f"place {segment}, {offset}, {length} is out of bounds")
    return (segment << OFFSET_BITS | offset >> 6) << LENGTH_BITS | length >> 6


def unpack_place(place: int) -> tuple[int, int, int]:
    """Return the segment number, the offset and the length of a packed place."""
    length = (place & (1 << LENGTH_BITS) - 1) << 6
    rest = place >> LENGTH_BITS
    return rest >> OFFSET_BITS, (rest & (1 << OFFSET_BITS) - 1) << 6, length


class Table:
    """One array of slots; `slots` is a power of two."""

    def __init__(self, slots: int) -> None:
        """Map zeroed pages."""
        self.slots, self.mask = slots, slots - 1
        self.pages = mmap.mmap(-1, max(mmap.PAGESIZE, slots * SLOT))
        # the kernel zeroes a huge page at its first use: 64 of them took 35 ms
        if hasattr(mmap, "MADV_NOHUGEPAGE"):
            self.pages.madvise(mmap.MADV_NOHUGEPAGE)
        self.words = memoryview(self.pages).cast("Q")
        self.used = 0

    def find(self, part_hash: int) -> int:
        """Return the slot of a part hash, or the empty slot where it would be inserted."""
        words, mask, at = self.words, self.mask, part_hash & self.mask
        while (there := words[2 * at]) and there != part_hash:
            at = (at + 1) & mask
        return at

    def put(self, part_hash: int, place: int) -> int:
        """Set the place of a part hash; return its previous place, or 0."""
        at = self.find(part_hash)
        before = self.words[2 * at + 1]
        if not self.words[2 * at]:
            self.words[2 * at] = part_hash
            self.used += 1
        self.words[2 * at + 1] = place
        return int(before)

    def pop(self, part_hash: int) -> int:
        """Remove a part hash and move up the entries behind it; return its place, or 0."""
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
            if (at - there) & mask >= (at - hole) & mask:  # its home slot is not behind the hole
                words[2 * hole], words[2 * hole + 1] = there, words[2 * at + 1]
                hole = at
        words[2 * hole] = words[2 * hole + 1] = 0
        self.used -= 1
        return place

    def close(self) -> None:
        """Unmap the pages."""
        self.words.release()
        self.pages.close()


class Index:
    """Maps part hashes to places; the caller compares the key in the record with the one requested."""

    def __init__(self, expected: int = 0) -> None:
        """Start with space for the expected number of parts."""
        slots = FIRST
        while slots * FULL < expected:
            slots *= 2
        self.table, self.moved = Table(slots), 0
        self.old: Table | None = None
        self.frozen: set[int] | None = None  # removed while a checkpoint copies the slots

    def __len__(self) -> int:
        """Return the number of parts."""
        return self.table.used + (self.old.used if self.old else 0) - len(self.frozen or ())

    @property
    def room(self) -> int:
        """Return the size of both tables in bytes, empty slots included."""
        return SLOT * (self.table.slots + (self.old.slots if self.old else 0))

    def get(self, part_hash: int) -> int:
        """Return the place of a part hash, or 0."""
        table = self.table
        place = table.words[2 * table.find(part_hash) + 1]
        if not place and (old := self._behind(part_hash)):
            place = old.words[2 * old.find(part_hash) + 1]
        return int(place)

    def _behind(self, part_hash: int) -> Table | None:
        """Return the old table if a part hash can still be in it, else None.

        A part hash whose home slot has already been emptied is not in it, and looking for it there would map
        pages again that were returned to the system.
        """
        old = self.old
        return old if old and part_hash & old.mask < old.slots - self.moved else None

    def put(self, part_hash: int, place: int) -> int:
        """Set the place of a part hash; return the place that it replaces, or 0."""
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
        """Remove a part hash; return its place, or 0."""
        # moving entries up could carry one past the copy's position, so that the copy would miss it
        if self.frozen is not None:
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
        """Set a new place if the old one is still current; return whether it was set.

        Keeps compaction from replacing a newer record.
        """
        if self.get(part_hash) != old:
            return False
        self.put(part_hash, new)
        return True

    def _move(self) -> None:
        """Move some slots of the old table to the new one; entries still in the old table are found there."""
        old = self.old
        if old is None:
            return
        # Backwards: removing an entry moves up only the entries behind it, so none passes the current slot
        # unseen, except in a run that wraps round the end; `used` tells when all entries have moved.
        for _ in range(MOVE):
            if not old.used:
                # Unmapping took 10 ms at four million slots; the call releases the interpreter lock.
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
        """Yield all part hashes with their places; the index must not change meanwhile."""
        for table in (self.table, self.old):
            if table:
                for at in range(table.slots):
                    if place := table.words[2 * at + 1]:
                        yield int(table.words[2 * at]), int(place)

    def freeze(self) -> bool:
        """Begin a copy of the slots; return False while the table grows or another copy is in progress.

        Until `thaw`, removed part hashes keep their slots.
        """
        if self.old or self.frozen is not None:
            return False
        self.frozen = set()
        return True

    def snapshot(self, at: int, slots: int) -> bytes:
        """Return a copy of a range of slots, empty past the end; later changes may be in it or not."""
        return bytes(self.table.words[2 * at : 2 * (at + slots)])

    def thaw(self) -> None:
        """End the copy, and free the slots of the part hashes removed meanwhile."""
        part_hashes, self.frozen = self.frozen or set(), None
        for part_hash in part_hashes:
            self.table.pop(part_hash)

    def load(self, words: memoryview, keep: frozenset[int]) -> None:
        """Insert the slots of a checkpoint whose segments still exist."""
        shift = OFFSET_BITS + LENGTH_BITS
        pairs = words.cast("Q")
        for at in range(0, len(pairs), 2):
            if (part_hash := pairs[at]) and pairs[at + 1] >> shift in keep:
                self.put(int(part_hash), int(pairs[at + 1]))
