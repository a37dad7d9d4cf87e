"""The bytes of the store's files, read and written without I/O; docs/second-tier.md gives each field.

Guards against torn, reordered and rotten bytes: everything that is read carries a CRC-32C, seeded with what
only the file's own writer knows (its salt) and with the place it stands at. A record that lies inside a body,
or that was left by an earlier use of the same place, can't pass for one of this file.
"""

import struct
from collections.abc import Iterator
from dataclasses import dataclass

import google_crc32c

VERSION = 1
ALIGN = 64  # every record begins at a multiple of this
SEGMENT_MAGIC, RECORD_MAGIC, LOG_MAGIC, CHECK_MAGIC = b"HTSG", b"HTRC", b"HTLG", b"HTCP"
SEGMENT_HEAD = struct.Struct("<4sBxxxQQQI")  # magic, version, id, salt, made ms, crc
RECORD_HEAD = struct.Struct("<4sBBBBIIQIiqIII")
# magic, version, kind, class length, tag length, body length, epoch, key, part, group, since, size, body crc,
# head crc
PART = 1  # the only kind of record so far
MOST_BODY, MOST_TEXT = 262_144, 128  # bytes
LOG_ENTRY = struct.Struct("<BxxxIqqQI")  # kind, epoch, time ms, group, key, crc
PURGE_OBJECT, PURGE_GROUP, FOLLOWED, ERA, FLOOR = 1, 2, 3, 4, 5
LOG_KINDS = (PURGE_OBJECT, PURGE_GROUP, FOLLOWED, ERA, FLOOR)


class BadBytes(ValueError):
    """What was read is no such thing, or not whole; the text says what did not hold."""


class OtherVersion(BadBytes):
    """What was read is whole, and of a version that this program can't read."""


@dataclass(frozen=True, slots=True)
class Part:
    """One kept part of an object, without its body.

    Times in Unix ms, `size` in bytes as the client counts it.
    """

    key: int
    part: int
    group: int
    class_name: str
    since_ms: int
    tag: str
    epoch: int

    def size(self, body: int) -> int:
        """Give the bytes that its record takes on disk with a body of this length."""
        return aligned(RECORD_HEAD.size + len(self.class_name.encode()) + len(self.tag.encode()) + body)


@dataclass(frozen=True, slots=True)
class SegmentHead:
    """What a segment's first bytes say."""

    id: int
    salt: int
    made_ms: int


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One line of the purge log: a purge, a watermark, a new era or a floor under all copies' times."""

    kind: int
    epoch: int
    at_ms: int
    group: int = -1
    key: int = 0


def aligned(size: int) -> int:
    """Round up to where the next record may begin."""
    return -(-size // ALIGN) * ALIGN


def crc(seed: int, data: bytes | memoryview) -> int:
    """CRC-32C of data, begun from what its writer and its place give."""
    return int(google_crc32c.extend(seed & 0xFFFFFFFF, bytes(data)))


def place_seed(salt: int, offset: int) -> int:
    """Give the seed for what stands at an offset of a file with this salt."""
    return (salt ^ (salt >> 32) ^ (offset * 0x9E3779B1)) & 0xFFFFFFFF


def write_segment_head(head: SegmentHead) -> bytes:
    """Write a segment's first ALIGN bytes."""
    bare = SEGMENT_HEAD.pack(SEGMENT_MAGIC, VERSION, head.id, head.salt, head.made_ms, 0)[:-4]
    return (bare + struct.pack("<I", crc(0, bare))).ljust(ALIGN, b"\0")


def read_segment_head(data: bytes) -> SegmentHead:
    """Read a segment's first bytes.

    BadBytes if they are none, or of a version that this program can't read.
    """
    if len(data) < SEGMENT_HEAD.size:
        raise BadBytes(f"segment head of {len(data)} bytes")
    magic, version, id, salt, made, check = SEGMENT_HEAD.unpack_from(data)
    if magic != SEGMENT_MAGIC or check != crc(0, data[: SEGMENT_HEAD.size - 4]):
        raise BadBytes("no segment head")
    if version != VERSION:
        raise OtherVersion(f"segment of version {version}; this program reads {VERSION}")
    return SegmentHead(id, salt, made)


def write_record(part: Part, body: bytes, salt: int, offset: int) -> bytes:
    """Write a part's record for one place in one segment, padded to ALIGN."""
    name, tag = part.class_name.encode(), part.tag.encode()
    if len(body) > MOST_BODY or len(name) > MOST_TEXT or len(tag) > MOST_TEXT:
        raise BadBytes("body, class or tag too long for a record")
    seed = place_seed(salt, offset)
    head = RECORD_HEAD.pack(
        RECORD_MAGIC, VERSION, PART, len(name), len(tag), len(body), part.epoch, part.key, part.part,
        part.group, part.since_ms, 0, crc(seed, body), 0,
    )[:-4] + name + tag  # fmt: skip
    bare = len(name) + len(tag)
    check = struct.pack("<I", crc(seed, head))
    data = b"".join((head[: RECORD_HEAD.size - 4], check, head[len(head) - bare :] if bare else b"", body))
    return data.ljust(aligned(len(data)), b"\0")


def read_record_head(data: bytes | memoryview, salt: int, offset: int) -> tuple[Part, int, int]:
    """Read a record's head: the part, where its body begins, and its length; BadBytes if it does not hold."""
    if len(data) < RECORD_HEAD.size:
        raise BadBytes("record cut short")
    fields = RECORD_HEAD.unpack_from(data)
    magic, version, kind, name_size, tag_size, body_size, epoch, key, part, group, since = fields[:11]
    if magic != RECORD_MAGIC or version != VERSION or kind != PART:
        raise BadBytes("no record")
    start = RECORD_HEAD.size + name_size + tag_size
    if body_size > MOST_BODY or name_size > MOST_TEXT or tag_size > MOST_TEXT or len(data) < start:
        raise BadBytes("record head out of bounds")
    texts = bytes(data[RECORD_HEAD.size : start])
    if fields[13] != crc(place_seed(salt, offset), bytes(data[: RECORD_HEAD.size - 4]) + texts):
        raise BadBytes("record head's checksum does not hold")
    name, tag = texts[:name_size].decode(), texts[name_size:].decode()
    return Part(key, part, group, name, since, tag, epoch), start, body_size


def read_record(data: bytes | memoryview, salt: int, offset: int) -> tuple[Part, bytes]:
    """Read a whole record; BadBytes unless both of its checksums hold."""
    part, start, size = read_record_head(data, salt, offset)
    body = bytes(data[start : start + size])
    if len(body) != size or RECORD_HEAD.unpack_from(data)[12] != crc(place_seed(salt, offset), body):
        raise BadBytes("body's checksum does not hold")
    return part, body


def write_log_head(salt: int) -> bytes:
    """Write the purge log's first bytes."""
    bare = LOG_MAGIC + bytes([VERSION, 0, 0, 0]) + struct.pack("<Q", salt)
    return bare + struct.pack("<I", crc(0, bare))


LOG_HEAD = len(write_log_head(0))


def write_log_entry(entry: LogEntry, salt: int, offset: int) -> bytes:
    """Write one line of the log for its place."""
    bare = LOG_ENTRY.pack(entry.kind, entry.epoch, entry.at_ms, entry.group, entry.key, 0)[:-4]
    return bare + struct.pack("<I", crc(place_seed(salt, offset), bare))


def read_log(data: bytes) -> tuple[int, list[LogEntry], int]:
    """Read a log: its salt, its entries up to the first that does not hold, and where that stands.

    What follows a torn entry is never taken: it was not durable when the process ended.
    """
    if len(data) < LOG_HEAD or data[:4] != LOG_MAGIC or data[4] != VERSION:
        raise BadBytes("no purge log, or one of another version")
    (salt,) = struct.unpack_from("<Q", data, 8)
    if data[:LOG_HEAD] != write_log_head(salt):
        raise BadBytes("purge log's head does not hold")
    entries: list[LogEntry] = []
    at = LOG_HEAD
    while at + LOG_ENTRY.size <= len(data):
        kind, epoch, when, group, key, check = LOG_ENTRY.unpack_from(data, at)
        bare = data[at : at + LOG_ENTRY.size - 4]
        if kind not in LOG_KINDS or check != crc(place_seed(salt, at), bare):
            break
        entries.append(LogEntry(kind, epoch, when, group, key))
        at += LOG_ENTRY.size
    return salt, entries, at


@dataclass(frozen=True, slots=True)
class Covered:
    """A segment as a checkpoint knew it: up to which byte its records are in the checkpoint's index."""

    id: int
    salt: int
    end: int
    oldest_ms: int


COVERED = struct.Struct("<QQQq")
CHECK_HEAD = struct.Struct("<4sBxxxQQQ")  # magic, version, number, segments, index bytes


def write_checkpoint(number: int, segments: list[Covered], slots: list[bytes]) -> Iterator[bytes]:
    """Write a checkpoint piece by piece: head, segments, the index's slots, a checksum over all."""
    pieces = [CHECK_HEAD.pack(CHECK_MAGIC, VERSION, number, len(segments), sum(map(len, slots)))]
    pieces += [COVERED.pack(s.id, s.salt, s.end, s.oldest_ms) for s in segments]
    check = 0
    for piece in (*pieces, *slots):
        check = crc(check, piece)
        yield piece
    yield struct.pack("<I", check)


def read_checkpoint(data: bytes) -> tuple[int, list[Covered], memoryview]:
    """Read a checkpoint: its number, its segments, its index's slots; BadBytes unless all of it holds."""
    if len(data) < CHECK_HEAD.size + 4:
        raise BadBytes("checkpoint cut short")
    magic, version, number, count, size = CHECK_HEAD.unpack_from(data)
    start = CHECK_HEAD.size + count * COVERED.size
    if magic != CHECK_MAGIC or version != VERSION or len(data) != start + size + 4:
        raise BadBytes("no checkpoint, or one of another version or length")
    if struct.unpack_from("<I", data, start + size)[0] != crc(0, memoryview(data)[: start + size]):
        raise BadBytes("checkpoint's checksum does not hold")
    segments = [Covered(*COVERED.unpack_from(data, CHECK_HEAD.size + i * COVERED.size)) for i in range(count)]
    return number, segments, memoryview(data)[start : start + size]
