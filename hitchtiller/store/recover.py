"""What a folder holds at a start: the last whole checkpoint, the tails behind it, and the purge log.

Cost: with a checkpoint about 2 us a kept part, and one read a record for what was written since; without one,
one read of READ_AHEAD bytes a record of all segments. Runs on a worker thread; nothing is written here.
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
    """Name a segment's file."""
    return f"{SEGMENT}{id:08d}"


def checkpoint_name(number: int) -> str:
    """Name a checkpoint's file."""
    return f"{CHECKPOINT}{number:08d}"


def numbered(names: list[str], prefix: str) -> list[int]:
    """Give the numbers of the files of a kind, lowest first; names that are not ours are passed over."""
    ends = [name.removeprefix(prefix) for name in names if name.startswith(prefix)]
    return sorted(int(end) for end in ends if end.isdecimal())


@dataclass(slots=True)
class Recovered:
    """A folder's state; `notes` say in words what did not hold."""

    index: Index = field(default_factory=Index)
    segments: dict[int, Segment] = field(default_factory=dict)
    purges: Purges = field(default_factory=Purges)
    kept: SavedProof = field(default_factory=SavedProof)
    checkpoint: int = 0  # its number; 0: none was used
    scanned: int = 0  # records read one by one
    next_id: int = 1  # above all numbers that were ever in a checkpoint or the folder
    garbage: list[str] = field(default_factory=list)  # files whose head was never whole
    notes: list[str] = field(default_factory=list)


def records(
    files: Files, segment: Segment, start: int, end: int, note: Callable[[str], None]
) -> Iterator[tuple[int, int, fmt.Part]]:
    """Give offset, length and part of each record.

    What does not hold is passed over to the next that does.
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
            note(f"{name}: bytes {at} to {found} hold no record")
            at = found
            continue
        length = fmt.aligned(begin + body)
        if at + begin + body > end:
            return  # its body was never written whole
        yield at, length, part
        at += length


def _resync(files: Files, segment: Segment, at: int, end: int) -> int | None:
    """Look for the next head that holds; the salt keeps what lies in bodies from passing for one."""
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
    """Give the segments whose head holds, with the lengths of their files."""
    found: dict[int, tuple[Segment, int]] = {}
    for id in numbered(files.names(), SEGMENT):
        try:
            head = fmt.read_segment_head(files.read(segment_name(id), 0, fmt.ALIGN))
            if head.id != id:
                raise fmt.BadBytes(f"it says it is segment {head.id}")
            found[id] = (Segment(id, head.salt, sealed=True), files.size(segment_name(id)))
        except fmt.BadBytes as error:
            state.notes.append(f"{segment_name(id)}: {error}")
            if not isinstance(error, fmt.OtherVersion):
                state.garbage.append(segment_name(id))
        state.next_id = max(state.next_id, id + 1)
    return found


def read_purges(files: Files, state: Recovered) -> bool:
    """Read the purge log into the state; False if there is none that holds."""
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
    """Read a folder; OSError if it can't be read. `tick` hears of each segment done."""
    state = Recovered()
    logged = read_purges(files, state)
    found = read_segments(files, state)
    covered: dict[int, fmt.Covered] = {}
    if use_checkpoint and logged:
        covered, slots = _checkpoint(files, state)
        if slots is not None:
            # guards against a number that was used again: a segment made since is not the one that was
            # covered
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
        # guards against a lost log: which purges were told is not known, so every copy there is must be asked
        # about
        state.kept = SavedProof(epoch=eras, followed_ms=0.0, gap_end_ms=math.inf if state.segments else 0.0)
    for _, place in state.index.items():
        id, _, length = unpack_place(place)
        state.segments[id].live += length
    return state
