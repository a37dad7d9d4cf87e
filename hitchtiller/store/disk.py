"""The disk tier: parts are appended to segment files, found through the index, read back and checked.

All state is changed in the event loop; file calls run as jobs. A part on disk is only a candidate: each read
checks both checksums and the key, and the caller checks age, purges and proof of freshness.

Bounds: at most `queue_bytes` of bodies wait to be written (more are dropped and counted), the index takes 21
to 43 bytes a part, and all files together take at most `budget` bytes.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from hitchtiller.log import logger
from hitchtiller.store import format as fmt
from hitchtiller.store.files import Files, random_salt
from hitchtiller.store.health import OFF, Health
from hitchtiller.store.index import hash_part, pack_place, unpack_place
from hitchtiller.store.jobs import READ_LANE, WRITE_LANE, Jobs
from hitchtiller.store.log import PurgeLog
from hitchtiller.store.recover import (
    CHECKPOINT_PREFIX,
    Recovered,
    checkpoint_name,
    file_numbers,
    segment_name,
)
from hitchtiller.store.space import Segment, Space
from hitchtiller.store.suspect import Proof

SLICE_SLOTS = 1 << 15  # index slots copied in one step of a checkpoint: half a megabyte
STALL_MS = 100.0  # duration of the oldest read from which on new reads go to the caches
ReadCallback = Callable[[fmt.Part | None, bytes], None]


def monotonic_ms() -> float:
    """Return the monotonic time, which does not follow steps of the wall clock."""
    return time.monotonic() * 1000.0


@dataclass(frozen=True, slots=True)
class DiskOptions:
    """Settings of the disk tier: sizes in bytes, times in milliseconds."""

    budget: int = 1 << 30
    reserve: int = 0
    segment_bytes: int = 64 << 20
    queue_bytes: int = 8 << 20
    sync_ms: float = 1_000.0
    checkpoint_ms: float = 30_000.0


@dataclass(slots=True)
class Counts:
    """Counters for the statistics."""

    puts: int = 0
    dropped: int = 0
    reads: int = 0
    glanced: int = 0  # reads answered from the page cache, without a thread
    torn: int = 0
    checkpoints: int = 0
    syncs: int = 0
    notes: list[str] = field(default_factory=list)


class Disk:
    """The parts of one folder; created by the folder's owner from the result of `recover.load`."""

    def __init__(
        self,
        files: Files,
        jobs: Jobs,
        options: DiskOptions,
        found: Recovered,
        proof: Proof,
        monotonic_clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Continue from the recovered state; its segments are sealed, the next record opens a new one."""
        self.files, self.jobs, self.options, self.proof = files, jobs, options, proof
        self.index, self.purges = found.index, found.purges
        self.health, self.counts = Health(), Counts()
        self.space = Space(options.budget, options.reserve, options.segment_bytes)
        self.space.segments = found.segments
        self.space.next_id = found.next_id
        self.active: Segment | None = None
        # By part hash: the place of the newest record while that record is still being written.
        self.pending: dict[int, int] = {}
        self.unwritten_bytes = 0
        self.log = PurgeLog(files, jobs, self.purges, found.saved_proof, self._on_write_error)
        self.checkpoint = found.checkpoint
        for name in found.headless_files:
            jobs.submit(WRITE_LANE, partial(files.remove, name), self._on_write_done)
        # copied so far for the checkpoint in progress; None if there is none
        self.checkpoint_slices: list[bytes] | None = None
        self.covered_segments: list[fmt.CoveredSegment] = []
        self.closed = False
        self.monotonic_clock = monotonic_clock
        # start times of the reads in progress by read number, oldest first
        self.read_starts_ms: dict[int, float] = {}

    # Writing

    def put(
        self, part: fmt.Part, body: bytes, done: Callable[[bool], None] | None = None, expected_place: int = 0
    ) -> bool:
        """Append a part to the active segment; return False if it is dropped.

        With `expected_place`, the new record takes effect only if the index still points to that place.
        """
        size = part.size(len(body))
        # Prevents records of an epoch that a crash would undo: the next start would use its number again.
        era_known = part.epoch <= self.log.saved_proof.epoch
        if (
            self.closed
            or not (self.health.can_write and era_known and fmt.has_room_for_texts(part))
            or self.unwritten_bytes + size > self.options.queue_bytes
        ):
            self.counts.dropped += 1
            return False
        segment = self._segment_for_record(size)
        if segment is None:
            self.counts.dropped += 1
            return False
        offset, part_hash = segment.size, hash_part(part.key, part.part)
        place = pack_place(segment.id, offset, size)

        def run() -> None:
            self.files.write(
                segment_name(segment.id), offset, fmt.write_record(part, body, segment.salt, offset)
            )

        def on_done(_: object, error: BaseException | None) -> None:
            self.unwritten_bytes -= size
            is_newest = self.pending.get(part_hash) == place
            if is_newest:
                del self.pending[part_hash]
            if error:
                segment.sealed = True
                self._on_write_error(error)
            else:
                segment.written = offset + size
                segment.oldest_ms = min(segment.oldest_ms, float(part.since_ms))
                self._set_place(part_hash, place, expected_place)
                self.counts.puts += 1
            if done:
                done(not error)

        replaced = self.pending.get(part_hash, 0)
        if not expected_place or not replaced:
            self.pending[part_hash] = place
        segment.size += size
        self.unwritten_bytes += size
        if not self.jobs.submit(WRITE_LANE, run, on_done):
            segment.size -= size
            self.unwritten_bytes -= size
            self.pending.pop(part_hash, None)
            if replaced:
                self.pending[part_hash] = replaced
            self.counts.dropped += 1
            return False
        return True

    def _set_place(self, part_hash: int, place: int, expected_place: int) -> None:
        if expected_place:
            if not self.index.compare_and_set(part_hash, expected_place, place):
                return  # a newer record is there, or the part was dropped: the copy stays as dead bytes
            replaced = expected_place
        else:
            replaced = self.index.put(part_hash, place)
        segment_id, _, size = unpack_place(place)
        self.space.segments[segment_id].live += size
        self._count_as_dead(replaced)

    def _count_as_dead(self, place: int) -> None:
        if place:
            segment_id, _, size = unpack_place(place)
            if segment := self.space.segments.get(segment_id):
                segment.live -= size

    def _segment_for_record(self, size: int) -> Segment | None:
        """Return the segment for the next record; None while there is no space for another segment."""
        active = self.active
        if active and not self.space.needs_new_segment(active, size):
            return active
        if active:
            active.sealed = True
            self.sync(active)
        self.active = None
        if self.space.used + self.options.segment_bytes > self.options.budget:
            return None
        segment = self.space.open(random_salt())
        head = fmt.write_segment_head(fmt.SegmentHead(segment.id, segment.salt, 0))

        def run() -> None:
            self.files.write(segment_name(segment.id), 0, head)
            self.files.sync_folder()

        if not self.jobs.submit(WRITE_LANE, run, self._on_write_done):
            del self.space.segments[segment.id]
            return None
        self.active = segment
        return segment

    def _on_write_done(self, _: object, error: BaseException | None) -> None:
        if error:
            self._on_write_error(error)

    def _on_write_error(self, error: BaseException) -> None:
        os_error = error if isinstance(error, OSError) else OSError(5, str(error))
        if self.health.on_write_error(os_error):
            logger.warning("disk tier {}: {} ({})", self.health.state, self.health.reason, os_error)

    def sync(self, segment: Segment | None = None) -> None:
        """Make a segment's bytes durable with an fsync; the active segment by default."""
        segment = segment or self.active
        if segment is None or not self.health.can_write or segment.durable >= segment.size:
            return
        synced_size = segment.size

        def on_done(_: object, error: BaseException | None) -> None:
            if error:
                self._on_write_error(error)
            else:
                segment.durable = max(segment.durable, synced_size)
                self.counts.syncs += 1

        self.jobs.submit(WRITE_LANE, partial(self.files.sync, segment_name(segment.id)), on_done)

    # Reading

    def __contains__(self, part_hash: int) -> bool:
        """Return whether a part has a record that may be read."""
        place = self.index.get(part_hash)
        return bool(place) and self.health.can_read(unpack_place(place)[0])

    def get(self, key: int, part_number: int, done: ReadCallback) -> bool:
        """Read a part and call `done` with it, or with None if it can't be read.

        Return False at once, without a call, if the part is not stored here or the readers are busy.
        """
        part_hash = hash_part(key, part_number)
        place = self.index.get(part_hash)
        if not place or self.closed:
            return False
        segment_id, offset, size = unpack_place(place)
        segment = self.space.segments.get(segment_id)
        if segment is None:
            self.index.pop(part_hash)
            return False
        if not self.health.can_read(segment_id):
            return False
        salt = segment.salt

        def run() -> tuple[fmt.Part, bytes]:
            return fmt.read_record(self.files.read(segment_name(segment_id), offset, size), salt, offset)

        def on_done(result: tuple[fmt.Part, bytes] | None, error: BaseException | None) -> None:
            if result and (result[0].key, result[0].part) == (key, part_number):
                done(*result)
                return
            if isinstance(error, OSError) and segment_id in self.space.segments:
                if self.health.on_read_error(segment_id, error):
                    logger.warning("disk tier {}: {}", self.health.state, self.health.reason)
            elif isinstance(error, ValueError):
                self.counts.torn += 1
                if self.index.get(part_hash) == place:
                    self.forget(part_hash)
            done(None, b"")

        if self.is_stalled():
            return False
        cached = self.files.read_cached(segment_name(segment_id), offset, size)
        if cached is not None:  # it is in the page cache: a thread would cost more than the read
            try:
                on_done(fmt.read_record(cached, salt, offset), None)
            except ValueError as error:
                on_done(None, error)
        else:
            read_number = self.counts.reads
            self.read_starts_ms[read_number] = self.monotonic_clock()

            def on_read(result: tuple[fmt.Part, bytes] | None, error: BaseException | None) -> None:
                self.read_starts_ms.pop(read_number, None)
                on_done(result, error)

            if not self.jobs.submit(READ_LANE, run, on_read):
                del self.read_starts_ms[read_number]
                return False
        self.counts.reads += 1
        self.counts.glanced += cached is not None
        return True

    def is_stalled(self) -> bool:
        """Return whether the folder hangs: the oldest read in progress has taken too long."""
        oldest = next(iter(self.read_starts_ms.values()), None)
        return oldest is not None and self.monotonic_clock() - oldest > STALL_MS

    def forget(self, part_hash: int) -> None:
        """Remove a part from the index; its record stays on disk as dead bytes."""
        self._count_as_dead(self.index.pop(part_hash))

    # Checkpoints

    def begin_checkpoint(self) -> bool:
        """Start a checkpoint; return False while the index grows or another checkpoint is in progress."""
        if self.checkpoint_slices is not None or not self.health.can_write or not self.index.freeze():
            return False
        self.checkpoint_slices = []
        self.covered_segments = [
            fmt.CoveredSegment(s.id, s.salt, s.written, int(s.oldest_ms) if s.oldest_ms < 1e15 else 1 << 52)
            for s in self.space.segments.values()
        ]
        return True

    def step_checkpoint(self) -> bool:
        """Copy one slice of the index, or write the checkpoint file after the last slice.

        Return False if no checkpoint is in progress.
        """
        if self.checkpoint_slices is None:
            return False
        slice_bytes = self.index.snapshot(len(self.checkpoint_slices) * SLICE_SLOTS, SLICE_SLOTS)
        if slice_bytes:
            self.checkpoint_slices.append(slice_bytes)
            return True
        self.index.thaw()
        slices, self.checkpoint_slices = self.checkpoint_slices, None
        number = self.checkpoint + 1
        unsynced = [segment_name(s.id) for s in self.space.segments.values() if s.durable < s.written]
        name, covered = checkpoint_name(number), self.covered_segments

        def run() -> None:
            for unsynced_name in unsynced:  # records are durable before the checkpoint that points to them
                self.files.sync(unsynced_name)
            offset = 0
            for data in fmt.write_checkpoint(number, covered, slices):
                self.files.write(f"{name}.new", offset, data)
                offset += len(data)
            self.files.sync(f"{name}.new")
            self.files.rename(f"{name}.new", name)
            self.files.sync_folder()
            for old in file_numbers(self.files.names(), CHECKPOINT_PREFIX):
                if old < number:
                    self.files.remove(checkpoint_name(old))

        def on_done(_: object, error: BaseException | None) -> None:
            if error:
                self._on_write_error(error)
            else:
                self.checkpoint = number
                self.counts.checkpoints += 1

        return self.jobs.submit(WRITE_LANE, run, on_done)

    def write_checkpoint(self) -> None:
        """Write a complete checkpoint now."""
        self.sync()
        if self.begin_checkpoint():
            while self.checkpoint_slices is not None:
                self.step_checkpoint()

    # Purges and proof of freshness

    def purge(
        self, key: int | None, group: int, at_ms: float, durable: Callable[[], None] | None = None
    ) -> None:
        """Record a purge: it applies at once; `durable` is called once it is durable in the log."""
        if self.purges.add(key, group, at_ms) and self.health.can_write:
            kind = fmt.PURGE_GROUP if key is None else fmt.PURGE_OBJECT
            self.log.add(fmt.LogEntry(kind, self.proof.epoch, int(at_ms), group, key or 0), durable)
        elif durable:
            durable()

    def mark_followed(self) -> None:
        """Append the watermark to the log, behind all purges that were recorded before it."""
        if self.health.can_write and self.proof.begun:
            self.log.add(fmt.LogEntry(fmt.FOLLOWED, self.proof.epoch, int(self.proof.followed_ms)))

    def mark_epoch(self, durable: Callable[[], None] | None = None) -> None:
        """Append the current epoch to the log."""
        if self.health.can_write:
            self.log.add(fmt.LogEntry(fmt.EPOCH, self.proof.epoch, int(self.proof.gap_end_ms)), durable)

    def remove(self, segment: Segment) -> None:
        """Remove a segment and its file.

        Index entries that still point to it are removed when they are next looked up.
        """
        self.space.segments.pop(segment.id, None)
        self.jobs.submit(
            WRITE_LANE, partial(self.files.remove, segment_name(segment.id)), self._on_write_done
        )

    def close(self, reason: str) -> None:
        """Stop using the folder."""
        self.closed = True
        if self.health.give_up(reason):
            logger.info("disk tier {}: {}", OFF, reason)

    def figures(self) -> dict[str, int]:
        """Return the gauges that operators read."""
        return {
            "segments": len(self.space.segments),
            "parts": len(self.index),
            "bytes": self.space.used,
            "dead_bytes": self.space.dead,
            "queued_bytes": self.unwritten_bytes,
            "state": ("well", "read-only", "off").index(self.health.state),
        }
