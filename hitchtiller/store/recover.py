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
from hitchtiller.store.index import SLOT_BYTES, Index, hash_part, pack_place, unpack_place
from hitchtiller.store.purges import Purges
from hitchtiller.store.space import Segment
from hitchtiller.store.suspect import SavedProof

LOG_NAME, LOG_TEMP_NAME = "purges.log", "purges.new"
SEGMENT_PREFIX, CHECKPOINT_PREFIX = "segment-", "checkpoint-"
READ_AHEAD_BYTES = fmt.RECORD_HEAD.size + 2 * fmt.MAX_TEXT_BYTES
SCAN_BYTES = 1 << 20


def segment_name(segment_id: int) -> str:
    """Return the file name of a segment."""
    return f"{SEGMENT_PREFIX}{segment_id:08d}"


def checkpoint_name(number: int) -> str:
    """Return the file name of a checkpoint."""
    return f"{CHECKPOINT_PREFIX}{number:08d}"


def file_numbers(names: list[str], prefix: str) -> list[int]:
    """Return the numbers of the files with a prefix, in ascending order; other names are skipped."""
    suffixes = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(suffix) for suffix in suffixes if suffix.isdecimal())


@dataclass(slots=True)
class Recovered:
    """The recovered state of a folder; `notes` describe in words what could not be read."""

    index: Index = field(default_factory=Index)
    segments: dict[int, Segment] = field(default_factory=dict)
    purges: Purges = field(default_factory=Purges)
    saved_proof: SavedProof = field(default_factory=SavedProof)
    checkpoint: int = 0  # number of the checkpoint; 0: none was used
    records_read: int = 0  # number of records that were read one by one
    next_id: int = 1  # above every segment number that a checkpoint or the folder has ever held
    headless_files: list[str] = field(default_factory=list)  # segment files without a valid head
    notes: list[str] = field(default_factory=list)


def records(
    files: Files, segment: Segment, start: int, end: int, on_bad_bytes: Callable[[str], None]
) -> Iterator[tuple[int, int, fmt.Part]]:
    """Yield the offset, length and part of each record.

    Bytes that are not a valid record are skipped up to the next valid one.
    """
    name, offset = segment_name(segment.id), start
    while offset + fmt.RECORD_HEAD.size <= end:
        data = files.read(name, offset, READ_AHEAD_BYTES)
        try:
            part, body_start, body_size = fmt.read_record_head(data, segment.salt, offset)
        except (fmt.FormatError, UnicodeDecodeError):
            next_offset = _find_next_record(files, segment, offset + fmt.ALIGN, end)
            if next_offset is None:
                return
            on_bad_bytes(f"{name}: bytes {offset} to {next_offset} contain no valid record")
            offset = next_offset
            continue
        length = fmt.aligned(body_start + body_size)
        if offset + body_start + body_size > end:
            return  # its body was never completely written
        yield offset, length, part
        offset += length


def _find_next_record(files: Files, segment: Segment, offset: int, end: int) -> int | None:
    """Return the offset of the next valid record head, or None.

    The salt prevents bytes inside a body from passing as a head.
    """
    name = segment_name(segment.id)
    while offset < end:
        chunk = files.read(name, offset, SCAN_BYTES + READ_AHEAD_BYTES)
        position = chunk.find(fmt.RECORD_MAGIC)
        while 0 <= position < SCAN_BYTES:
            if position % fmt.ALIGN == 0:
                try:
                    fmt.read_record_head(
                        chunk[position : position + READ_AHEAD_BYTES], segment.salt, offset + position
                    )
                except (fmt.FormatError, UnicodeDecodeError):
                    pass
                else:
                    return offset + position
            position = chunk.find(fmt.RECORD_MAGIC, position + 1)
        offset += SCAN_BYTES
    return None


def read_segments(files: Files, state: Recovered) -> dict[int, tuple[Segment, int]]:
    """Return the segments with a valid head, with the lengths of their files."""
    segments_found: dict[int, tuple[Segment, int]] = {}
    for segment_id in file_numbers(files.names(), SEGMENT_PREFIX):
        try:
            head = fmt.read_segment_head(files.read(segment_name(segment_id), 0, fmt.ALIGN))
            if head.id != segment_id:
                raise fmt.FormatError(f"the head names segment {head.id}")
            segments_found[segment_id] = (
                Segment(segment_id, head.salt, sealed=True),
                files.size(segment_name(segment_id)),
            )
        except fmt.FormatError as error:
            state.notes.append(f"{segment_name(segment_id)}: {error}")
            if not isinstance(error, fmt.UnsupportedVersionError):
                state.headless_files.append(segment_name(segment_id))
        state.next_id = max(state.next_id, segment_id + 1)
    return segments_found


def read_purges(files: Files, state: Recovered) -> bool:
    """Read the purge log into the state; return False if there is no valid log."""
    try:
        data = files.read(LOG_NAME, 0, files.size(LOG_NAME))
        _, entries, _ = fmt.read_log(data)
    except (FileNotFoundError, fmt.FormatError) as error:
        if not isinstance(error, FileNotFoundError):
            state.notes.append(f"{LOG_NAME}: {error}")
        return False
    epoch, followed_ms, gap_end_ms = 0, 0.0, 0.0
    for entry in entries:
        if entry.kind == fmt.EPOCH:
            epoch, gap_end_ms = entry.epoch, float(entry.at_ms)
        elif entry.kind == fmt.FOLLOWED:
            followed_ms = float(entry.at_ms)
        elif entry.kind == fmt.FLOOR:
            state.purges.raise_floor(float(entry.at_ms))
        else:
            key = entry.key if entry.kind == fmt.PURGE_OBJECT else None
            state.purges.add(key, entry.group, float(entry.at_ms))
    state.saved_proof = SavedProof(epoch, followed_ms, gap_end_ms)
    return True


def _read_checkpoint(
    files: Files, state: Recovered
) -> tuple[dict[int, fmt.CoveredSegment], memoryview | None]:
    for number in reversed(file_numbers(files.names(), CHECKPOINT_PREFIX)):
        name = checkpoint_name(number)
        try:
            data = files.read(name, 0, files.size(name))
            _, covered, slots = fmt.read_checkpoint(data)
        except (fmt.FormatError, FileNotFoundError) as error:
            state.notes.append(f"{name}: {error}")
            continue
        state.checkpoint = number
        return {segment.id: segment for segment in covered}, slots
    return {}, None


def load(
    files: Files, use_checkpoint: bool = True, on_segment_read: Callable[[int], None] = lambda n: None
) -> Recovered:
    """Read a folder and return its state.

    `on_segment_read` is called with the number of each segment. Raises OSError if the folder can't be read.
    """
    state = Recovered()
    has_log = read_purges(files, state)
    segments_found = read_segments(files, state)
    covered: dict[int, fmt.CoveredSegment] = {}
    if use_checkpoint and has_log:
        covered, slots = _read_checkpoint(files, state)
        if slots is not None:
            # Prevents taking a reused number for the segment that the checkpoint covered: a segment created
            # since has another salt.
            state.next_id = max(state.next_id, *(segment_id + 1 for segment_id in covered), 1)
            covered = {
                segment_id: covered_segment
                for segment_id, covered_segment in covered.items()
                if segment_id in segments_found and segments_found[segment_id][0].salt == covered_segment.salt
            }
            kept_segments = frozenset(covered)
            state.index = Index(len(slots) // SLOT_BYTES * 3 // 4)
            state.index.load(slots, kept_segments)
    max_epoch = 0
    for segment_id, (segment, size) in segments_found.items():
        state.segments[segment_id] = segment
        start = fmt.ALIGN
        if segment_id in covered:
            start = covered[segment_id].end
            segment.oldest_ms = covered[segment_id].oldest_ms
        segment.size = segment.written = max(start, size)
        segment.durable = covered[segment_id].end if segment_id in covered else 0
        for offset, length, part in records(files, segment, start, size, state.notes.append):
            state.records_read += 1
            state.index.put(hash_part(part.key, part.part), pack_place(segment_id, offset, length))
            segment.oldest_ms = min(segment.oldest_ms, float(part.since_ms))
            max_epoch = max(max_epoch, part.epoch)
        on_segment_read(segment_id)
    if not has_log:
        # Prevents serving purged copies after the log was lost: which purges were received is unknown, so a
        # server must confirm every copy.
        state.saved_proof = SavedProof(
            epoch=max_epoch, followed_ms=0.0, gap_end_ms=math.inf if state.segments else 0.0
        )
    for _, place in state.index.items():
        segment_id, _, length = unpack_place(place)
        state.segments[segment_id].live += length
    return state
