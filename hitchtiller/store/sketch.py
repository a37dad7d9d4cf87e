"""Estimates how often each object was requested lately: a count-min sketch behind a doorkeeper.

Takes `width` bytes for each of ROW_COUNT rows and `width` bits for the doorkeeper, whatever the number of
objects. An estimate is too low only by what ageing took, and too high only by hash collisions. Ageing halves
all counters after `sample` additions, AGEING_CHUNK_BYTES per call, so that no call delays the event loop.
"""

ROW_COUNT = 4
MAX_COUNT = 15  # counts saturate: an object that is requested more often is stored anyway
AGEING_CHUNK_BYTES = 1 << 16
HALVED = bytes(n >> 1 for n in range(256))
ROW_FACTORS = (0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F, 0x165667B19E3779F9, 0xD6E8FEB86659FD93)
MASK_64_BITS = (1 << 64) - 1


class Sketch:
    """Counts part hashes approximately.

    The first request sets only a bit of the doorkeeper, so that objects requested once fill no counters.
    """

    def __init__(self, width: int = 1 << 16, sample: int = 0) -> None:
        """Hold `width` counters a row, rounded up to a power of two, and age after `sample` additions."""
        counters = 1 << max(6, (width - 1).bit_length())
        self.mask, self.sample = counters - 1, sample or 8 * counters
        self.rows = [bytearray(counters) for _ in range(ROW_COUNT)]
        self.doorkeeper = bytearray(counters >> 3)
        self.additions = 0
        self.ageing: list[tuple[bytearray, int]] = []

    def _column(self, part_hash: int, row: int) -> int:
        return ((part_hash * ROW_FACTORS[row] & MASK_64_BITS) >> 32) & self.mask

    def add(self, part_hash: int) -> None:
        """Count one request."""
        self.additions += 1
        if self.ageing:
            self._age()
        elif self.additions >= self.sample:
            self.additions //= 2
            self.doorkeeper = bytearray(len(self.doorkeeper))
            self.ageing = [
                (row, column) for row in self.rows for column in range(0, len(row), AGEING_CHUNK_BYTES)
            ]
        bit = part_hash & self.mask
        if not self.doorkeeper[bit >> 3] >> (bit & 7) & 1:
            self.doorkeeper[bit >> 3] |= 1 << (bit & 7)
            return
        columns = [self._column(part_hash, row) for row in range(ROW_COUNT)]
        lowest = min(row[column] for row, column in zip(self.rows, columns, strict=True))
        # conservative update: only the lowest counters grow, which halves the error from collisions
        if lowest < MAX_COUNT:
            for row, column in zip(self.rows, columns, strict=True):
                if row[column] == lowest:
                    row[column] = lowest + 1

    def _age(self) -> None:
        row, column = self.ageing.pop()
        row[column : column + AGEING_CHUNK_BYTES] = row[column : column + AGEING_CHUNK_BYTES].translate(
            HALVED
        )

    def count(self, part_hash: int) -> int:
        """Return an estimate of the number of recent requests, from 0 to 16."""
        bit = part_hash & self.mask
        doorkeeper_bit = self.doorkeeper[bit >> 3] >> (bit & 7) & 1
        return doorkeeper_bit + min(
            row[self._column(part_hash, row_number)] for row_number, row in enumerate(self.rows)
        )
