"""The byte layouts of the store's files, without I/O; docs/second-tier.md describes each field.

Detects torn, reordered and corrupted bytes: everything that is read carries a CRC-32C whose seed is made of
the file's salt, known only to its writer, and of the offset. A record inside a body, or one left by an
earlier use of the same offset, therefore can't pass for a record of this file.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

VERSION = 1
ALIGN = 64  # every record begins at a multiple of this
SEGMENT_MAGIC, RECORD_MAGIC, LOG_MAGIC, CHECKPOINT_MAGIC = b"HTSG", b"HTRC", b"HTLG", b"HTCP"
SEGMENT_HEAD = struct.Struct("<4sBxxxQQQI")  # magic, version, id, salt, created ms, crc
RECORD_HEAD = struct.Struct("<4sBBBBIIQIiqIII")
# magic, version, kind, class length, tag length, body length, epoch, key, part, group, since, size, body crc,
# head crc
PART = 1  # the only kind of record so far
MAX_BODY_BYTES, MAX_TEXT_BYTES = 262_144, 128  # of a body; of a class name or a tag
LOG_ENTRY = struct.Struct("<BxxxIqqQI")  # kind, epoch, time ms, group, key, crc
PURGE_OBJECT, PURGE_GROUP, FOLLOWED, EPOCH, FLOOR = 1, 2, 3, 4, 5
LOG_KINDS = (PURGE_OBJECT, PURGE_GROUP, FOLLOWED, EPOCH, FLOOR)


class FormatError(ValueError):
    """Bytes that are not of the expected kind, or not complete; the text names the failed check."""


class UnsupportedVersionError(FormatError):
    """Valid bytes of a version that this program can't read."""


@dataclass(frozen=True, slots=True)
class Part:
    """One stored part of an object, without its body; times are in Unix ms."""

    key: int
    part: int
    group: int
    class_name: str
    since_ms: int
    tag: str
    epoch: int

    def size(self, body: int) -> int:
        """Return the size of the record on disk in bytes, for a body of this length."""
        return aligned(RECORD_HEAD.size + len(self.class_name.encode()) + len(self.tag.encode()) + body)


@dataclass(frozen=True, slots=True)
class SegmentHead:
    """The head of a segment file."""

    id: int
    salt: int
    created_ms: int


@dataclass(frozen=True, slots=True)
class LogEntry:
    """An entry of the purge log: a purge, a watermark, an epoch, or a floor under the time of every copy."""

    kind: int
    epoch: int
    at_ms: int
    group: int = -1
    key: int = 0


def aligned(size: int) -> int:
    """Round a size up to where the next record may begin."""
    return -(-size // ALIGN) * ALIGN


def crc(seed: int, data: bytes | memoryview) -> int:
    """Return the CRC-32C of data with a seed made of the salt and the offset."""
    return int(google_crc32c.extend(seed & 0xFFFFFFFF, bytes(data)))


def place_seed(salt: int, offset: int) -> int:
    """Return the checksum seed for an offset of a file with this salt."""
    return (salt ^ (salt >> 32) ^ (offset * 0x9E3779B1)) & 0xFFFFFFFF


def write_segment_head(head: SegmentHead) -> bytes:
    """Return a segment's first ALIGN bytes."""
    content = SEGMENT_HEAD.pack(SEGMENT_MAGIC, VERSION, head.id, head.salt, head.created_ms, 0)[:-4]
    return (content + struct.pack("<I", crc(0, content))).ljust(ALIGN, b"\0")


def read_segment_head(data: bytes) -> SegmentHead:
    """Parse a segment's first bytes.

    Raises FormatError if they are not a segment head, or of a version that this program can't read.
    """
    if len(data) < SEGMENT_HEAD.size:
        raise FormatError(f"segment head is only {len(data)} bytes long")
    magic, version, id, salt, created_ms, checksum = SEGMENT_HEAD.unpack_from(data)
    if magic != SEGMENT_MAGIC or checksum != crc(0, data[: SEGMENT_HEAD.size - 4]):
        raise FormatError("not a segment head")
    if version != VERSION:
        raise UnsupportedVersionError(f"segment has version {version}; this program reads version {VERSION}")
    return SegmentHead(id, salt, created_ms)


def has_room_for_texts(part: Part) -> bool:
    """Return whether a record can hold the class name and the tag of a part."""
    return max(len(part.class_name.encode()), len(part.tag.encode())) <= MAX_TEXT_BYTES


def write_record(part: Part, body: bytes, salt: int, offset: int) -> bytes:
    """Return a part's record for one place in one segment, padded to ALIGN."""
    name, tag = part.class_name.encode(), part.tag.encode()
    if len(body) > MAX_BODY_BYTES or len(name) > MAX_TEXT_BYTES or len(tag) > MAX_TEXT_BYTES:
        raise FormatError("body, class or tag is too long for a record")
    seed = place_seed(salt, offset)
    head = RECORD_HEAD.pack(
        RECORD_MAGIC, VERSION, PART, len(name), len(tag), len(body), part.epoch, part.key, part.part,
        part.group, part.since_ms, 0, crc(seed, body), 0,
    )[:-4] + name + tag  # fmt: skip
    texts_size = len(name) + len(tag)
    checksum = struct.pack("<I", crc(seed, head))
    data = b"".join(
        (head[: RECORD_HEAD.size - 4], checksum, head[len(head) - texts_size :] if texts_size else b"", body)
    )
    return data.ljust(aligned(len(data)), b"\0")


def read_record_head(data: bytes | memoryview, salt: int, offset: int) -> tuple[Part, int, int]:
    """Parse a record's head; return the part, where its body begins, and the body's length.

    Raises FormatError if the head is not valid.
    """
    if len(data) < RECORD_HEAD.size:
        raise FormatError("record is truncated")
    fields = RECORD_HEAD.unpack_from(data)
    magic, version, kind, name_size, tag_size, body_size, epoch, key, part, group, since_ms = fields[:11]
    if magic != RECORD_MAGIC or version != VERSION or kind != PART:
        raise FormatError("not a record")
    start = RECORD_HEAD.size + name_size + tag_size
    if (
        body_size > MAX_BODY_BYTES
        or name_size > MAX_TEXT_BYTES
        or tag_size > MAX_TEXT_BYTES
        or len(data) < start
    ):
        raise FormatError("length in the record head is out of bounds")
    texts = bytes(data[RECORD_HEAD.size : start])
    if fields[13] != crc(place_seed(salt, offset), bytes(data[: RECORD_HEAD.size - 4]) + texts):
        raise FormatError("checksum of the record head does not match")
    name, tag = texts[:name_size].decode(), texts[name_size:].decode()
    return Part(key, part, group, name, since_ms, tag, epoch), start, body_size


def read_record(data: bytes | memoryview, salt: int, offset: int) -> tuple[Part, bytes]:
    """Parse a whole record; raises FormatError unless both of its checksums match."""
    part, start, size = read_record_head(data, salt, offset)
    body = bytes(data[start : start + size])
    if len(body) != size or RECORD_HEAD.unpack_from(data)[12] != crc(place_seed(salt, offset), body):
        raise FormatError("checksum of the body does not match")
    return part, body


def write_log_head(salt: int) -> bytes:
    """Return the purge log's first bytes."""
    content = LOG_MAGIC + bytes([VERSION, 0, 0, 0]) + struct.pack("<Q", salt)
    return content + struct.pack("<I", crc(0, content))


LOG_HEAD_BYTES = len(write_log_head(0))


def write_log_entry(entry: LogEntry, salt: int, offset: int) -> bytes:
    """Return one entry of the log for its offset."""
    content = LOG_ENTRY.pack(entry.kind, entry.epoch, entry.at_ms, entry.group, entry.key, 0)[:-4]
    return content + struct.pack("<I", crc(place_seed(salt, offset), content))


def read_log(data: bytes) -> tuple[int, list[LogEntry], int]:
    """Parse a log; return its salt, its entries up to the first invalid one, and the offset of that one.

    Nothing behind a torn entry is used, because it was not durable when the process ended.
    """
    if len(data) < LOG_HEAD_BYTES or data[:4] != LOG_MAGIC or data[4] != VERSION:
        raise FormatError("not a purge log, or of another version")
    (salt,) = struct.unpack_from("<Q", data, 8)
    if data[:LOG_HEAD_BYTES] != write_log_head(salt):
        raise FormatError("checksum of the purge log's head does not match")
    entries: list[LogEntry] = []
    offset = LOG_HEAD_BYTES
    while offset + LOG_ENTRY.size <= len(data):
        kind, epoch, at_ms, group, key, checksum = LOG_ENTRY.unpack_from(data, offset)
        content = data[offset : offset + LOG_ENTRY.size - 4]
        if kind not in LOG_KINDS or checksum != crc(place_seed(salt, offset), content):
            break
        entries.append(LogEntry(kind, epoch, at_ms, group, key))
        offset += LOG_ENTRY.size
    return salt, entries, offset


@dataclass(frozen=True, slots=True)
class CoveredSegment:
    """A segment covered by a checkpoint: the checkpoint's index has its records up to the byte `end`."""

    id: int
    salt: int
    end: int
    oldest_ms: int


COVERED_SEGMENT = struct.Struct("<QQQq")
CHECKPOINT_HEAD = struct.Struct("<4sBxxxQQQ")  # magic, version, number, segments, index bytes


def write_checkpoint(number: int, segments: list[CoveredSegment], slots: list[bytes]) -> Iterator[bytes]:
    """Yield a checkpoint in pieces: head, segments, slots of the index, and a checksum over all."""
    pieces = [CHECKPOINT_HEAD.pack(CHECKPOINT_MAGIC, VERSION, number, len(segments), sum(map(len, slots)))]
    pieces += [COVERED_SEGMENT.pack(s.id, s.salt, s.end, s.oldest_ms) for s in segments]
    checksum = 0
    for piece in (*pieces, *slots):
        checksum = crc(checksum, piece)
        yield piece
    yield struct.pack("<I", checksum)


def read_checkpoint(data: bytes) -> tuple[int, list[CoveredSegment], memoryview]:
    """Parse a checkpoint; return its number, its segments and the slots of its index.

    Raises FormatError unless all of it is valid.
    """
    if len(data) < CHECKPOINT_HEAD.size + 4:
        raise FormatError("checkpoint is truncated")
    magic, version, number, count, size = CHECKPOINT_HEAD.unpack_from(data)
    start = CHECKPOINT_HEAD.size + count * COVERED_SEGMENT.size
    if magic != CHECKPOINT_MAGIC or version != VERSION or len(data) != start + size + 4:
        raise FormatError("not a checkpoint, or of another version or length")
    if struct.unpack_from("<I", data, start + size)[0] != crc(0, memoryview(data)[: start + size]):
        raise FormatError("checksum of the checkpoint does not match")
    segments = [
        CoveredSegment(*COVERED_SEGMENT.unpack_from(data, CHECKPOINT_HEAD.size + i * COVERED_SEGMENT.size))
        for i in range(count)
    ]
    return number, segments, memoryview(data)[start : start + size]
