"""The index of the disk tier: where each stored part lies; a hash table with open addressing.

The table is an array of 16-byte slots. At most three quarters of them are in use, so that the index takes
21.4 to 42.7 bytes a part between two growths. While a table grows, the old one exists beside the new one
until all its entries have moved, but its pages are returned to the system as it empties. A look-up reads two
slots on average.

No call moves more than MOVE_SLOTS slots, so none blocks the event loop for long. The pages of a new table are
zeroed by the kernel at their first use, so creating one costs nothing until it is filled. Removed entries
leave no tombstones: the entries behind them move up.
"""

import mmap
import threading
from collections.abc import Iterator

import xxhash

SLOT_BYTES = 16  # part hash, place
MAX_FILL = 0.75  # share of the slots in use
MOVE_SLOTS = 64  # slots of the old table that each change moves while the table grows
MIN_SLOTS = 1 << 10
RELEASE_BYTES = 1 << 20  # of the old table, returned to the system at once
# bits; offset and length in units of 64 bytes: files up to 256 MiB, records up to 512 KiB
SEGMENT_BITS, OFFSET_BITS, LENGTH_BITS = 24, 22, 13


def hash_part(key: int, part: int) -> int:
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
    segment_and_offset = place >> LENGTH_BITS
    return segment_and_offset >> OFFSET_BITS, (segment_and_offset & (1 << OFFSET_BITS) - 1) << 6, length


class Table:
    """One array of slots; `slots` is a power of two."""

    def __init__(self, slots: int) -> None:
        """Map zeroed pages."""
        self.slots, self.mask = slots, slots - 1
        self.pages = mmap.mmap(-1, max(mmap.PAGESIZE, slots * SLOT_BYTES))
        # Avoids huge pages: the kernel zeroes each at its first use, which took 35 ms for 64 of them.
        if hasattr(mmap, "MADV_NOHUGEPAGE"):
            self.pages.madvise(mmap.MADV_NOHUGEPAGE)
        self.words = memoryview(self.pages).cast("Q")
        self.used = 0

    def find(self, part_hash: int) -> int:
        """Return the slot of a part hash, or the empty slot where it would be inserted."""
        words, mask, slot = self.words, self.mask, part_hash & self.mask
        while (stored := words[2 * slot]) and stored != part_hash:
            slot = (slot + 1) & mask
        return slot

    def put(self, part_hash: int, place: int) -> int:
        """Set the place of a part hash; return its previous place, or 0."""
        slot = self.find(part_hash)
        replaced = self.words[2 * slot + 1]
        if not self.words[2 * slot]:
            self.words[2 * slot] = part_hash
            self.used += 1
        self.words[2 * slot + 1] = place
        return int(replaced)

    def pop(self, part_hash: int) -> int:
        """Remove a part hash and move up the entries behind it; return its place, or 0."""
        words, mask, hole = self.words, self.mask, self.find(part_hash)
        place = int(words[2 * hole + 1])
        if not words[2 * hole]:
            return 0
        slot = hole
        while True:
            slot = (slot + 1) & mask
            stored = words[2 * slot]
            if not stored:
                break
            if (slot - stored) & mask >= (slot - hole) & mask:  # its home slot is not behind the hole
                words[2 * hole], words[2 * hole + 1] = stored, words[2 * slot + 1]
                hole = slot
        words[2 * hole] = words[2 * hole + 1] = 0
        self.used -= 1
        return place

    def close(self) -> None:
        """Unmap the pages."""
        self.words.release()
        self.pages.close()


class Index:
    """Maps part hashes to places; the caller compares the key in the record with the one requested."""

    def __init__(self, expected_parts: int = 0) -> None:
        """Start with space for the expected number of parts."""
        slots = MIN_SLOTS
        while slots * MAX_FILL < expected_parts:
            slots *= 2
        self.table, self.emptied_slots = Table(slots), 0
        self.old_table: Table | None = None
        self.removed_while_frozen: set[int] | None = None  # by a checkpoint that copies the slots

    def __len__(self) -> int:
        """Return the number of parts."""
        return (
            self.table.used
            + (self.old_table.used if self.old_table else 0)
            - len(self.removed_while_frozen or ())
        )

    @property
    def table_bytes(self) -> int:
        """Return the size of both tables in bytes, empty slots included."""
        return SLOT_BYTES * (self.table.slots + (self.old_table.slots if self.old_table else 0))

    def get(self, part_hash: int) -> int:
        """Return the place of a part hash, or 0."""
        table = self.table
        place = table.words[2 * table.find(part_hash) + 1]
        if not place and (old := self._old_table_of(part_hash)):
            place = old.words[2 * old.find(part_hash) + 1]
        return int(place)

    def _old_table_of(self, part_hash: int) -> Table | None:
        """Return the old table if a part hash can still be in it, else None.

        A part hash whose home slot has already been emptied is not in it, and looking for it there would map
        pages again that were returned to the system.
        """
        old = self.old_table
        return old if old and part_hash & old.mask < old.slots - self.emptied_slots else None

    def put(self, part_hash: int, place: int) -> int:
        """Set the place of a part hash; return the place that it replaces, or 0."""
        if self.old_table:
            self._move_entries()
        elif self.table.used >= self.table.slots * MAX_FILL and self.removed_while_frozen is None:
            self.old_table, self.emptied_slots = self.table, 0
            self.table = Table(2 * self.old_table.slots)
        if self.removed_while_frozen:
            self.removed_while_frozen.discard(part_hash)
        old = self._old_table_of(part_hash)
        replaced = old.pop(part_hash) if old else 0
        return self.table.put(part_hash, place) or replaced

    def pop(self, part_hash: int) -> int:
        """Remove a part hash; return its place, or 0."""
        # moving entries up could carry one past the copy's position, so that the copy would miss it
        if self.removed_while_frozen is not None:
            slot = self.table.find(part_hash)
            place = int(self.table.words[2 * slot + 1])
            if place:
                self.table.words[2 * slot + 1] = 0
                self.removed_while_frozen.add(part_hash)
            return place
        if self.old_table:
            self._move_entries()
        old = self._old_table_of(part_hash)
        return self.table.pop(part_hash) or (old.pop(part_hash) if old else 0)

    def compare_and_set(self, part_hash: int, old: int, new: int) -> bool:
        """Set a new place if the old one is still current; return whether it was set.

        Keeps compaction from replacing a newer record.
        """
        if self.get(part_hash) != old:
            return False
        self.put(part_hash, new)
        return True

    def _move_entries(self) -> None:
        """Move some slots of the old table to the new one; entries still in the old table are found there."""
        old = self.old_table
        if old is None:
            return
        # Backwards: removing an entry moves up only the entries behind it, so none passes the current slot
        # unseen, except in a run that wraps round the end; `used` tells when all entries have moved.
        for _ in range(MOVE_SLOTS):
            if not old.used:
                # Unmapping took 10 ms at four million slots; the call releases the interpreter lock.
                threading.Thread(target=old.close, daemon=True).start()
                self.old_table = None
                return
            slot = (old.slots - 1 - self.emptied_slots) & old.mask
            part_hash = old.words[2 * slot]
            if part_hash:
                self.table.put(int(part_hash), old.pop(int(part_hash)))
            else:
                self.emptied_slots += 1
                if self.emptied_slots % (RELEASE_BYTES // SLOT_BYTES) == 0 and self.emptied_slots < old.slots:
                    start = (old.slots - self.emptied_slots) * SLOT_BYTES
                    if start % mmap.PAGESIZE == 0:
                        old.pages.madvise(mmap.MADV_DONTNEED, start, RELEASE_BYTES)

    def items(self) -> Iterator[tuple[int, int]]:
        """Yield all part hashes with their places; the index must not change meanwhile."""
        for table in (self.table, self.old_table):
            if table:
                for slot in range(table.slots):
                    if place := table.words[2 * slot + 1]:
                        yield int(table.words[2 * slot]), int(place)

    def freeze(self) -> bool:
        """Begin a copy of the slots; return False while the table grows or another copy is in progress.

        Until `thaw`, removed part hashes keep their slots.
        """
        if self.old_table or self.removed_while_frozen is not None:
            return False
        self.removed_while_frozen = set()
        return True

    def snapshot(self, start: int, slots: int) -> bytes:
        """Return a copy of a range of slots, empty past the end; later changes may be in it or not."""
        return bytes(self.table.words[2 * start : 2 * (start + slots)])

    def thaw(self) -> None:
        """End the copy, and free the slots of the part hashes removed meanwhile."""
        part_hashes, self.removed_while_frozen = self.removed_while_frozen or set(), None
        for part_hash in part_hashes:
            self.table.pop(part_hash)

    def load(self, words: memoryview, kept_segments: frozenset[int]) -> None:
        """Insert the slots of a checkpoint whose segments still exist."""
        shift = OFFSET_BITS + LENGTH_BITS
        pairs = words.cast("Q")
        for word in range(0, len(pairs), 2):
            if (part_hash := pairs[word]) and pairs[word + 1] >> shift in kept_segments:
                self.put(int(part_hash), int(pairs[word + 1]))
