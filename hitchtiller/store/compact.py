"""Compaction: live parts of a victim segment are copied to the active one, then the victim is removed.

A copied part keeps its epoch and time, because copying it proves nothing about its freshness. The copy takes
effect only if the index still points to the old place, so it never replaces a newer record. Each step reads
at most CHUNK_BYTES, within a rate that gives way to clients.
"""

from collections.abc import Callable

from hitchtiller.store import format as fmt
from hitchtiller.store.disk import Disk
from hitchtiller.store.index import hash_part, pack_place
from hitchtiller.store.jobs import READ_LANE
from hitchtiller.store.recover import records, segment_name
from hitchtiller.store.space import Segment, TokenBucket

CHUNK_BYTES = 1 << 20


class Compactor:
    """Compacts one segment at a time."""

    def __init__(self, disk: Disk, count_requests: Callable[[int], int], rate: TokenBucket) -> None:
        """Copy the parts that are often requested, as estimated by `count_requests` from a part hash."""
        self.disk, self.count_requests, self.rate = disk, count_requests, rate
        self.victim: Segment | None = None
        self.offset = 0
        self.reading = False
        self.copies_in_progress = 0
        self.copied_bytes = 0  # of the victim
        self.copy_failed = False
        self.segments_done = self.records_copied = self.records_dropped = 0

    def step(self, now_ms: float, busy: bool) -> bool:
        """Do one step; return False if there is nothing to do now."""
        disk = self.disk
        if not disk.health.can_write or disk.closed:
            return False
        if self.reading or self.copies_in_progress:
            return True
        if self.victim is None:
            victim = disk.space.victim()
            if victim is None:
                return False
            self.begin(victim)
        assert self.victim
        if self.offset >= self.victim.written:
            if self.copy_failed:  # some parts could not be copied, so the segment stays
                self.victim = None
                return False
            self._finish(self.victim)
            return True
        if not self.rate.take(min(CHUNK_BYTES, self.victim.written - self.offset), now_ms, busy):
            return False
        self._read(self.victim)
        return True

    def begin(self, victim: Segment) -> None:
        """Start compacting a segment, which must be sealed."""
        self.victim, self.offset, self.copy_failed, self.copied_bytes = victim, fmt.ALIGN, False, 0

    def _read(self, victim: Segment) -> None:
        start = self.offset
        files = self.disk.files

        def run() -> tuple[int, list[tuple[int, int, fmt.Part, bytes]]]:
            """Read whole records from `start` on; records whose body is not valid are left out."""
            records_found, offset = list[tuple[int, int, fmt.Part, bytes]](), start
            for offset, length, _ in records(files, victim, start, victim.written, lambda text: None):
                try:
                    data = files.read(segment_name(victim.id), offset, length)
                    part, body = fmt.read_record(data, victim.salt, offset)
                    records_found.append((offset, length, part, body))
                except fmt.FormatError:
                    pass
                offset += length
                if offset - start >= CHUNK_BYTES:
                    return offset, records_found
            return victim.written, records_found

        def on_read(
            result: tuple[int, list[tuple[int, int, fmt.Part, bytes]]] | None, error: BaseException | None
        ) -> None:
            self.reading = False
            if result is None:
                os_error = error if isinstance(error, OSError) else OSError(5, str(error))
                self.disk.health.on_read_error(victim.id, os_error)
                self.victim = None
                return
            self.offset = result[0]
            for record in result[1]:
                self._handle_record(victim, *record)

        self.reading = True
        if not self.disk.jobs.submit(READ_LANE, run, on_read):
            self.reading = False

    def _handle_record(self, victim: Segment, offset: int, length: int, part: fmt.Part, body: bytes) -> None:
        disk, part_hash = self.disk, hash_part(part.key, part.part)
        place = pack_place(victim.id, offset, length)
        if disk.index.get(part_hash) != place:
            return
        allowed = disk.purges.allows(part.key, part.group, part.since_ms)
        if not allowed or not disk.space.should_copy(
            self.count_requests(part_hash), victim, length, self.copied_bytes
        ):
            disk.forget(part_hash)
            self.records_dropped += 1
            return
        if part_hash in disk.pending:
            return  # a newer record is being written, and the index will point to it
        self.copies_in_progress += 1
        if disk.put(part, body, self._on_copy_written, expected_place=place):
            self.records_copied += 1
            self.copied_bytes += length
        else:
            self.copies_in_progress -= 1
            self.copy_failed = True

    def _on_copy_written(self, ok: bool) -> None:
        self.copies_in_progress -= 1
        self.copy_failed = self.copy_failed or not ok

    def _finish(self, victim: Segment) -> None:
        """Remove the file once the copies are durable, which the order of the write lane ensures."""
        self.disk.sync()
        self.disk.remove(victim)
        self.segments_done += 1
        self.victim = None
