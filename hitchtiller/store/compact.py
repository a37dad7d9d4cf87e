"""Compaction: what is wanted of a victim segment is carried over, then its file goes; a chunk at a time.

A part is carried over with its own era and time: moving it proves nothing. It takes effect only where the
index still points at the old place, so a newer record is never undone. Cost: each step reads at most CHUNK
bytes, by the rate that clients leave.
"""

from collections.abc import Callable

from hitchtiller.store import format as fmt
from hitchtiller.store.disk import Disk
from hitchtiller.store.index import fingerprint, pack_place
from hitchtiller.store.jobs import READ_LANE
from hitchtiller.store.recover import records, segment_name
from hitchtiller.store.space import Rate, Segment

CHUNK = 1 << 20


class Compactor:
    """Works on one segment at a time."""

    def __init__(self, disk: Disk, wanted: Callable[[int], int], rate: Rate) -> None:
        """Carry over what `wanted` (an estimate of requests for a fingerprint) says is warm."""
        self.disk, self.wanted, self.rate = disk, wanted, rate
        self.victim: Segment | None = None
        self.at = 0
        self.reading = False
        self.open = 0  # copies being written
        self.moved = 0  # bytes of the victim written again
        self.failed = False
        self.segments = self.records_copied = self.let_go = 0

    def step(self, now_ms: float, busy: bool) -> bool:
        """Do a little; False if there is nothing to do now."""
        disk = self.disk
        if not disk.health.writes or disk.closed:
            return False
        if self.reading or self.open:
            return True
        if self.victim is None:
            victim = disk.space.victim()
            if victim is None:
                return False
            self.begin(victim)
        assert self.victim
        if self.at >= self.victim.written:
            if self.failed:  # its parts could not be written elsewhere: it stays
                self.victim = None
                return False
            self._finish(self.victim)
            return True
        if not self.rate.take(min(CHUNK, self.victim.written - self.at), now_ms, busy):
            return False
        self._read(self.victim)
        return True

    def begin(self, victim: Segment) -> None:
        """Start on a segment, which must be sealed."""
        self.victim, self.at, self.failed, self.moved = victim, fmt.ALIGN, False, 0

    def _read(self, victim: Segment) -> None:
        start = self.at
        files = self.disk.files

        def run() -> tuple[int, list[tuple[int, int, fmt.Part, bytes]]]:
            """Read whole records from `start` on; bodies are checked, what does not hold is left behind."""
            found, at = list[tuple[int, int, fmt.Part, bytes]](), start
            for at, length, _ in records(files, victim, start, victim.written, lambda text: None):
                try:
                    data = files.read(segment_name(victim.id), at, length)
                    part, body = fmt.read_record(data, victim.salt, at)
                    found.append((at, length, part, body))
                except fmt.BadBytes:
                    pass
                at += length
                if at - start >= CHUNK:
                    return at, found
            return victim.written, found

        def done(
            result: tuple[int, list[tuple[int, int, fmt.Part, bytes]]] | None, error: BaseException | None
        ) -> None:
            self.reading = False
            if result is None:
                fault = error if isinstance(error, OSError) else OSError(5, str(error))
                self.disk.health.read(victim.id, fault)
                self.victim = None
                return
            self.at = result[0]
            for record in result[1]:
                self._judge(victim, *record)

        self.reading = True
        if not self.disk.jobs.submit(READ_LANE, run, done):
            self.reading = False

    def _judge(self, victim: Segment, at: int, length: int, part: fmt.Part, body: bytes) -> None:
        disk, mark = self.disk, fingerprint(part.key, part.part)
        place = pack_place(victim.id, at, length)
        if disk.index.get(mark) != place:
            return
        good = disk.purges.allows(part.key, part.group, part.since_ms)
        if not good or not disk.space.carries(self.wanted(mark), victim, length, self.moved):
            disk.forget(mark)
            self.let_go += 1
            return
        if mark in disk.pending:
            return  # a newer record is on its way: the index will point to that
        self.open += 1
        if disk.put(part, body, self._copied, only=place):
            self.records_copied += 1
            self.moved += length
        else:
            self.open -= 1
            self.failed = True

    def _copied(self, whole: bool) -> None:
        self.open -= 1
        self.failed = self.failed or not whole

    def _finish(self, victim: Segment) -> None:
        """Remove the file once the copies are durable: the write lane keeps this order."""
        self.disk.sync()
        self.disk.remove(victim)
        self.segments += 1
        self.victim = None
