"""Estimates how often each object was requested lately: a count-min sketch behind a doorkeeper.

Takes `width` bytes for each of ROW_COUNT rows and `width` bits for the doorkeeper, whatever the number of
objects. An estimate is too low only by what ageing took, and too high only by hash collisions. Ageing halves
all counters after `sample` additions, AGEING_CHUNK_BYTES per call, so that no call delays the event loop.
"""

ROWS = 4
MOST = 15  # counts saturate: an object that is requested more often is stored anyway
CHUNK = 1 << 16
HALF = bytes(n >> 1 for n in range(256))
MIX = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0xD6E8FEB86659FD93)
WORD = (1 << 64) - 1


class Sketch:
    """Counts part hashes approximately.

    The first request sets only a bit of the doorkeeper, so that objects requested once fill no counters.
    """

    def __init__(self, width: int = 1 << 16, sample: int = 0) -> None:
        """Hold `width` counters a row, rounded up to a power of two, and age after `sample` additions."""
        size = 1 << max(6, (width - 1).bit_length())
        self.mask, self.sample = size - 1, sample or 8 * size
        self.rows = [bytearray(size) for _ in range(ROWS)]
        self.door = bytearray(size >> 3)
        self.added = 0
        self.ageing: list[tuple[bytearray, int]] = []

    def _at(self, part_hash: int, row: int) -> int:
        return ((part_hash * MIX[row] & WORD) >> 32) & self.mask

    def add(self, part_hash: int) -> None:
        """Count one request."""
        self.added += 1
        if self.ageing:
            self._age()
        elif self.added >= self.sample:
            self.added //= 2
            self.door = bytearray(len(self.door))
            self.ageing = [(row, at) for row in self.rows for at in range(0, len(row), CHUNK)]
        spot = part_hash & self.mask
        if not self.door[spot >> 3] >> (spot & 7) & 1:
            self.door[spot >> 3] |= 1 << (spot & 7)
            return
        places = [self._at(part_hash, row) for row in range(ROWS)]
        least = min(row[at] for row, at in zip(self.rows, places, strict=True))
        # conservative update: only the lowest counters grow, which halves the error from collisions
        if least < MOST:
            for row, at in zip(self.rows, places, strict=True):
                if row[at] == least:
                    row[at] = least + 1

    def _age(self) -> None:
        row, at = self.ageing.pop()
        row[at : at + CHUNK] = row[at : at + CHUNK].translate(HALF)

    def count(self, part_hash: int) -> int:
        """Return an estimate of the number of recent requests, from 0 to 16."""
        spot = part_hash & self.mask
        seen = self.door[spot >> 3] >> (spot & 7) & 1
        return seen + min(row[self._at(part_hash, place)] for place, row in enumerate(self.rows))
