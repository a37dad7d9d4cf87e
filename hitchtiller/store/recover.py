"""Recovery: read a folder's last intact checkpoint, the records written after it, and the purge log.

With a checkpoint this takes about 2 us per stored part, and one read per record written since the checkpoint;
without one it takes one read of READ_AHEAD_BYTES per record in all segments. Runs on a worker thread and
writes nothing.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from hitchtiller.store import format as fmt
from hitchtiller.store.files import Files
from hitchtiller.store.index import SLOT, Index, fingerprint, pack_place, unpack_place
from hitchtiller.store.purges import Purges
from hitchtiller.store.space import Segment
from hitchtiller.store.suspect import SavedProof

LOG, LOG_NEW = "purges.log", "purges.new"
SEGMENT, CHECKPOINT = "segment-", "checkpoint-"
READ_AHEAD = fmt.RECORD_HEAD.size + 2 * fmt.MOST_TEXT
SCAN = 1 << 20


def segment_name(id: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT}{id:08d}"


def checkpoint_name(number: int) -> str:
    """Return the file name of a checkpoint."""
    return f"{CHECKPOINT}{number:08d}"


def numbered(names: list[str], prefix: str) -> list[int]:
    """Return the numbers of the files with a prefix, in ascending order; other names are skipped."""
    ends = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(end) for end in ends if end.isdecimal())


@dataclass(slots=True)
class Recovered:
    """The recovered state of a folder; `notes` describe in words what could not be read."""

    index: Index = field(default_factory=Index)
    segments: dict[int, Segment] = field(default_factory=dict)
    purges: Purges = field(default_factory=Purges)
    kept: SavedProof = field(default_factory=SavedProof)
    checkpoint: int = 0  # number of the checkpoint; 0: none was used
    scanned: int = 0  # number of records that were read one by one
    next_id: int = 1  # above every segment number that a checkpoint or the folder has ever held
    garbage: list[str] = field(default_factory=list)  # segment files without a valid head
    notes: list[str] = field(default_factory=list)


def records(
    files: Files, segment: Segment, start: int, end: int, note: Callable[[str], None]
) -> Iterator[tuple[int, int, fmt.Part]]:
    """Yield the offset, length and part of each record.

    Bytes that are not a valid record are skipped up to the next valid one.
    """
    name, at = segment_name(segment.id), start
    while at + fmt.RECORD_HEAD.size <= end:
        data = files.read(name, at, READ_AHEAD)
        try:
            part, begin, body = fmt.read_record_head(data, segment.salt, at)
        except (fmt.BadBytes, UnicodeDecodeError):
            found = _resync(files, segment, at + fmt.ALIGN, end)
            if found is None:
                return
            note(f"{name}: no valid record in bytes {at} to {found}")
            at = found
            continue
        length = fmt.aligned(begin + body)
        if at + begin + body > end:
            return  # its body was never completely written
        yield at, length, part
        at += length


def _resync(files: Files, segment: Segment, at: int, end: int) -> int | None:
    """Return the offset of the next valid record head, or None.

    The salt prevents bytes inside a body from passing as a head.
    """
    name = segment_name(segment.id)
    while at < end:
        chunk = files.read(name, at, SCAN + READ_AHEAD)
        place = chunk.find(fmt.RECORD_MAGIC)
        while 0 <= place < SCAN:
            if place % fmt.ALIGN == 0:
                try:
                    fmt.read_record_head(chunk[place : place + READ_AHEAD], segment.salt, at + place)
                except (fmt.BadBytes, UnicodeDecodeError):
                    pass
                else:
                    return at + place
            place = chunk.find(fmt.RECORD_MAGIC, place + 1)
        at += SCAN
    return None


def read_segments(files: Files, state: Recovered) -> dict[int, tuple[Segment, int]]:
    """Return the segments with a valid head, with the lengths of their files."""
    found: dict[int, tuple[Segment, int]] = {}
    for id in numbered(files.names(), SEGMENT):
        try:
            head = fmt.read_segment_head(files.read(segment_name(id), 0, fmt.ALIGN))
            if head.id != id:
                raise fmt.BadBytes(f"the head names segment {head.id}")
            found[id] = (Segment(id, head.salt, sealed=True), files.size(segment_name(id)))
        except fmt.BadBytes as error:
            state.notes.append(f"{segment_name(id)}: {error}")
            if not isinstance(error, fmt.OtherVersion):
                state.garbage.append(segment_name(id))
        state.next_id = max(state.next_id, id + 1)
    return found


def read_purges(files: Files, state: Recovered) -> bool:
    """Read the purge log into the state; return False if there is no valid log."""
    try:
        data = files.read(LOG, 0, files.size(LOG))
        _, entries, _ = fmt.read_log(data)
    except (FileNotFoundError, fmt.BadBytes) as error:
        if not isinstance(error, FileNotFoundError):
            state.notes.append(f"{LOG}: {error}")
        return False
    epoch, followed, gap_end = 0, 0.0, 0.0
    for entry in entries:
        if entry.kind == fmt.ERA:
            epoch, gap_end = entry.epoch, float(entry.at_ms)
        elif entry.kind == fmt.FOLLOWED:
            followed = float(entry.at_ms)
        elif entry.kind == fmt.FLOOR:
            state.purges.raise_floor(float(entry.at_ms))
        else:
            key = entry.key if entry.kind == fmt.PURGE_OBJECT else None
            state.purges.add(key, entry.group, float(entry.at_ms))
    state.kept = SavedProof(epoch, followed, gap_end)
    return True


def _checkpoint(files: Files, state: Recovered) -> tuple[dict[int, fmt.Covered], memoryview | None]:
    for number in reversed(numbered(files.names(), CHECKPOINT)):
        name = checkpoint_name(number)
        try:
            data = files.read(name, 0, files.size(name))
            _, covered, slots = fmt.read_checkpoint(data)
        except (fmt.BadBytes, FileNotFoundError) as error:
            state.notes.append(f"{name}: {error}")
            continue
        state.checkpoint = number
        return {each.id: each for each in covered}, slots
    return {}, None


def load(
    files: Files, use_checkpoint: bool = True, tick: Callable[[int], None] = lambda n: None
) -> Recovered:
    """Read a folder and return its state; `tick` is called with the number of each segment that was read.

    Raises OSError if the folder can't be read.
    """
    state = Recovered()
    logged = read_purges(files, state)
    found = read_segments(files, state)
    covered: dict[int, fmt.Covered] = {}
    if use_checkpoint and logged:
        covered, slots = _checkpoint(files, state)
        if slots is not None:
            # Prevents taking a reused number for the segment that the checkpoint covered: a segment created
            # since has another salt.
            state.next_id = max(state.next_id, *(id + 1 for id in covered), 1)
            covered = {id: c for id, c in covered.items() if id in found and found[id][0].salt == c.salt}
            keep = frozenset(covered)
            state.index = Index(len(slots) // SLOT * 3 // 4)
            state.index.load(slots, keep)
    eras = 0
    for id, (segment, size) in found.items():
        state.segments[id] = segment
        start = fmt.ALIGN
        if id in covered:
            start = covered[id].end
            segment.oldest_ms = covered[id].oldest_ms
        segment.size = segment.written = max(start, size)
        segment.durable = covered[id].end if id in covered else 0
        for at, length, part in records(files, segment, start, size, state.notes.append):
            state.scanned += 1
            state.index.put(fingerprint(part.key, part.part), pack_place(id, at, length))
            segment.oldest_ms = min(segment.oldest_ms, float(part.since_ms))
            eras = max(eras, part.epoch)
        tick(id)
    if not logged:
        # Prevents serving purged copies after the log was lost: which purges were received is unknown, so a
        # server must confirm every copy.
        state.kept = SavedProof(epoch=eras, followed_ms=0.0, gap_end_ms=math.inf if state.segments else 0.0)
    for _, place in state.index.items():
        id, _, length = unpack_place(place)
        state.segments[id].live += length
    return state
