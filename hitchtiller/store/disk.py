"""The disk tier: parts appended to segments, found by the index, read back and checked.

All state is changed in the loop; file calls run as jobs. What is on disk is only ever an offer: each read
checks both checksums and the key, and the caller judges age, purges and proof. Bounds: `queue_bytes` of
bodies wait to be written (more are dropped and counted), the index's 21 to 43 bytes a part, and `budget`
bytes of files.
"""

import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from hitchtiller.log import logger
from hitchtiller.store import format as fmt
from hitchtiller.store.files import Files
from hitchtiller.store.health import OFF, Health
from hitchtiller.store.index import fingerprint, pack_place, unpack_place
from hitchtiller.store.jobs import READ_LANE, WRITE_LANE, Jobs
from hitchtiller.store.log import PurgeLog
from hitchtiller.store.recover import CHECKPOINT, Recovered, checkpoint_name, numbered, segment_name
from hitchtiller.store.space import Segment, Space
from hitchtiller.store.suspect import Proof

SLICE = 1 << 15  # index slots copied in one step of a checkpoint: half a megabyte
STALL_MS = 100.0  # that a read may take before the next ones go to the caches
Got = Callable[[fmt.Part | None, bytes], None]


def steady_ms() -> float:
    """Read the clock that never steps."""
    return time.monotonic() * 1000.0


@dataclass(frozen=True, slots=True)
class Options:
    """Sizes in bytes, times in milliseconds."""

    budget: int = 1 << 30
    reserve: int = 0
    segment_bytes: int = 64 << 20
    queue_bytes: int = 8 << 20
    sync_ms: float = 1_000.0
    checkpoint_ms: float = 30_000.0


@dataclass(slots=True)
class Counts:
    """What happened, for the figures."""

    puts: int = 0
    dropped: int = 0
    reads: int = 0
    glanced: int = 0  # of them without a thread
    torn: int = 0
    checkpoints: int = 0
    syncs: int = 0
    notes: list[str] = field(default_factory=list)


class Disk:
    """One folder's parts; made from what `recover.load` found, by the folder's owner."""

    def __init__(
        self,
        files: Files,
        jobs: Jobs,
        options: Options,
        found: Recovered,
        proof: Proof,
        steady: Callable[[], float] = steady_ms,
    ) -> None:
        """Go on from what was found; the old segments are sealed, the next record opens a new one."""
        self.files, self.jobs, self.options, self.proof = files, jobs, options, proof
        self.index, self.purges = found.index, found.purges
        self.health, self.counts = Health(), Counts()
        self.space = Space(options.budget, options.reserve, options.segment_bytes)
        self.space.segments = found.segments
        self.space.next_id = found.next_id
        self.active: Segment | None = None
        self.pending: dict[
            int, int
        ] = {}  # fingerprints whose newest record is still being written: its place
        self.unwritten = 0
        self.log = PurgeLog(files, jobs, self.purges, found.kept, self._failed_write)
        self.checkpoint = found.checkpoint
        for name in found.garbage:
            jobs.submit(WRITE_LANE, partial(files.remove, name), self._written)
        self.slices: list[bytes] | None = None  # of a checkpoint under way
        self.covered: list[fmt.Covered] = []
        self.closed = False
        self.steady = steady
        self.waits: dict[int, float] = {}  # reads under way, the oldest first, and when they began

    # Writing

    def put(
        self, part: fmt.Part, body: bytes, done: Callable[[bool], None] | None = None, only: int = 0
    ) -> bool:
        """Append a part.

        False if it is dropped. With `only` it takes effect where the index still has that place.
        """
        size = part.size(len(body))
        # guards against records of an era that a crash would undo
        era_known = part.epoch <= self.log.kept.epoch
        if (
            self.closed
            or not (self.health.writes and era_known)
            or self.unwritten + size > self.options.queue_bytes
        ):
            self.counts.dropped += 1
            return False
        segment = self._room(size)
        if segment is None:
            self.counts.dropped += 1
            return False
        at, mark = segment.size, fingerprint(part.key, part.part)
        place = pack_place(segment.id, at, size)

        def run() -> None:
            self.files.write(segment_name(segment.id), at, fmt.write_record(part, body, segment.salt, at))

        def ended(_: object, error: BaseException | None) -> None:
            self.unwritten -= size
            newest = self.pending.get(mark) == place
            if newest:
                del self.pending[mark]
            if error:
                segment.sealed = True
                self._failed_write(error)
            else:
                segment.written = at + size
                segment.oldest_ms = min(segment.oldest_ms, float(part.since_ms))
                self._point(mark, place, only)
                self.counts.puts += 1
            if done:
                done(not error)

        before = self.pending.get(mark, 0)
        if not only or not before:
            self.pending[mark] = place
        segment.size += size
        self.unwritten += size
        if not self.jobs.submit(WRITE_LANE, run, ended):
            segment.size -= size
            self.unwritten -= size
            self.pending.pop(mark, None)
            if before:
                self.pending[mark] = before
            self.counts.dropped += 1
            return False
        return True

    def _point(self, mark: int, place: int, only: int) -> None:
        if only:
            if not self.index.swap(mark, only, place):
                return  # a newer record is there, or it was forgotten: the copy is dead where it lies
            before = only
        else:
            before = self.index.put(mark, place)
        id, _, size = unpack_place(place)
        self.space.segments[id].live += size
        self._bury(before)

    def _bury(self, place: int) -> None:
        if place:
            id, _, size = unpack_place(place)
            if segment := self.space.segments.get(id):
                segment.live -= size

    def _room(self, size: int) -> Segment | None:
        """Give the segment for the next record; None while there is no space for another."""
        active = self.active
        if active and not self.space.full(active, size):
            return active
        if active:
            active.sealed = True
            self.sync(active)
        self.active = None
        if self.space.used + self.options.segment_bytes > self.options.budget:
            return None
        fresh = self.space.open(secrets.randbits(64))
        head = fmt.write_segment_head(fmt.SegmentHead(fresh.id, fresh.salt, 0))

        def run() -> None:
            self.files.write(segment_name(fresh.id), 0, head)
            self.files.sync_folder()

        if not self.jobs.submit(WRITE_LANE, run, self._written):
            del self.space.segments[fresh.id]
            return None
        self.active = fresh
        return fresh

    def _written(self, _: object, error: BaseException | None) -> None:
        if error:
            self._failed_write(error)

    def _failed_write(self, error: BaseException) -> None:
        fault = error if isinstance(error, OSError) else OSError(5, str(error))
        if self.health.wrote(fault):
            logger.warning("disk tier {}: {} ({})", self.health.state, self.health.reason, fault)

    def sync(self, segment: Segment | None = None) -> None:
        """Make a segment's bytes durable, the active one's by default."""
        segment = segment or self.active
        if segment is None or not self.health.writes or segment.durable >= segment.size:
            return
        upto = segment.size

        def ended(_: object, error: BaseException | None) -> None:
            if error:
                self._failed_write(error)
            else:
                segment.durable = max(segment.durable, upto)
                self.counts.syncs += 1

        self.jobs.submit(WRITE_LANE, partial(self.files.sync, segment_name(segment.id)), ended)

    # Reading

    def __contains__(self, mark: int) -> bool:
        """Tell whether a fingerprint has a place that may be read."""
        place = self.index.get(mark)
        return bool(place) and self.health.reads(unpack_place(place)[0])

    def get(self, key: int, number: int, done: Got) -> bool:
        """Read a part; `done` gets it or None. False at once if it is not here or the readers are busy."""
        mark = fingerprint(key, number)
        place = self.index.get(mark)
        if not place or self.closed:
            return False
        id, at, size = unpack_place(place)
        segment = self.space.segments.get(id)
        if segment is None:
            self.index.pop(mark)
            return False
        if not self.health.reads(id):
            return False
        salt = segment.salt

        def run() -> tuple[fmt.Part, bytes]:
            return fmt.read_record(self.files.read(segment_name(id), at, size), salt, at)

        def ended(result: tuple[fmt.Part, bytes] | None, error: BaseException | None) -> None:
            if result and (result[0].key, result[0].part) == (key, number):
                done(*result)
                return
            if isinstance(error, OSError) and id in self.space.segments:
                if self.health.read(id, error):
                    logger.warning("disk tier {}: {}", self.health.state, self.health.reason)
            elif isinstance(error, ValueError):
                self.counts.torn += 1
                if self.index.get(mark) == place:
                    self.forget(mark)
            done(None, b"")

        if self.stalled():
            return False
        raw = self.files.glance(segment_name(id), at, size)
        if raw is not None:  # it is in the page cache: a thread would cost more than the read
            try:
                ended(fmt.read_record(raw, salt, at), None)
            except ValueError as error:
                ended(None, error)
        else:
            number_of_read = self.counts.reads
            self.waits[number_of_read] = self.steady()

            def back(result: tuple[fmt.Part, bytes] | None, error: BaseException | None) -> None:
                self.waits.pop(number_of_read, None)
                ended(result, error)

            if not self.jobs.submit(READ_LANE, run, back):
                del self.waits[number_of_read]
                return False
        self.counts.reads += 1
        self.counts.glanced += raw is not None
        return True

    def stalled(self) -> bool:
        """Tell whether the folder hangs: the oldest read under way has taken too long."""
        oldest = next(iter(self.waits.values()), None)
        return oldest is not None and self.steady() - oldest > STALL_MS

    def forget(self, mark: int) -> None:
        """Drop a part; its bytes die where they lie."""
        self._bury(self.index.pop(mark))

    # Checkpoints

    def begin_checkpoint(self) -> bool:
        """Start one; False while the index grows, or another is under way."""
        if self.slices is not None or not self.health.writes or not self.index.freeze():
            return False
        self.slices = []
        self.covered = [
            fmt.Covered(s.id, s.salt, s.written, int(s.oldest_ms) if s.oldest_ms < 1e15 else 1 << 52)
            for s in self.space.segments.values()
        ]
        return True

    def step_checkpoint(self) -> bool:
        """Copy a slice of the index, or, with the last, write the file; False if none is under way."""
        if self.slices is None:
            return False
        piece = self.index.snapshot(len(self.slices) * SLICE, SLICE)
        if piece:
            self.slices.append(piece)
            return True
        self.index.thaw()
        slices, self.slices = self.slices, None
        number = self.checkpoint + 1
        synced = [segment_name(s.id) for s in self.space.segments.values() if s.durable < s.written]
        name, covered = checkpoint_name(number), self.covered

        def run() -> None:
            for each in synced:  # what it points to is durable before it is
                self.files.sync(each)
            at = 0
            for data in fmt.write_checkpoint(number, covered, slices):
                self.files.write(f"{name}.new", at, data)
                at += len(data)
            self.files.sync(f"{name}.new")
            self.files.rename(f"{name}.new", name)
            self.files.sync_folder()
            for old in numbered(self.files.names(), CHECKPOINT):
                if old < number:
                    self.files.remove(checkpoint_name(old))

        def ended(_: object, error: BaseException | None) -> None:
            if error:
                self._failed_write(error)
            else:
                self.checkpoint = number
                self.counts.checkpoints += 1

        return self.jobs.submit(WRITE_LANE, run, ended)

    def save(self) -> None:
        """Make a whole checkpoint now, in steps that follow each other."""
        self.sync()
        if self.begin_checkpoint():
            while self.slices is not None:
                self.step_checkpoint()

    # Purges and proof

    def purge(
        self, key: int | None, group: int, at_ms: float, durable: Callable[[], None] | None = None
    ) -> None:
        """Note a purge: in force at once, durable a little later."""
        if self.purges.add(key, group, at_ms) and self.health.writes:
            kind = fmt.PURGE_GROUP if key is None else fmt.PURGE_OBJECT
            self.log.add(fmt.LogEntry(kind, self.proof.epoch, int(at_ms), group, key or 0), durable)
        elif durable:
            durable()

    def mark_followed(self) -> None:
        """Write the watermark: behind all purges that were noted before, in the same order."""
        if self.health.writes and self.proof.begun:
            self.log.add(fmt.LogEntry(fmt.FOLLOWED, self.proof.epoch, int(self.proof.followed_ms)))

    def mark_epoch(self, durable: Callable[[], None] | None = None) -> None:
        """Write the era in force."""
        if self.health.writes:
            self.log.add(fmt.LogEntry(fmt.ERA, self.proof.epoch, int(self.proof.gap_end_ms)), durable)

    def remove(self, segment: Segment) -> None:
        """Take a segment out of the folder.

        What the index still has there is forgotten as it is asked for.
        """
        self.space.segments.pop(segment.id, None)
        self.jobs.submit(WRITE_LANE, partial(self.files.remove, segment_name(segment.id)), self._written)

    def end(self, reason: str) -> None:
        """Give the folder up."""
        self.closed = True
        if self.health.ended(reason):
            logger.info("disk tier {}: {}", OFF, reason)

    def figures(self) -> dict[str, int]:
        """Give the levels that operators read."""
        return {
            "segments": len(self.space.segments),
            "parts": len(self.index),
            "bytes": self.space.used,
            "dead_bytes": self.space.dead,
            "queued_bytes": self.unwritten,
            "state": ("well", "read-only", "off").index(self.health.state),
        }
