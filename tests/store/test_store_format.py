"""The byte layouts of the store: what was written is read, and nothing else is accepted."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tiers import part

from hitchtiller.store import format as fmt

PARTS = st.builds(
    fmt.Part,
    key=st.integers(0, 2**64 - 1),
    part=st.integers(0, 65_535),
    group=st.integers(-1, 255),
    class_name=st.text(max_size=20),
    since_ms=st.integers(0, 2**52),
    tag=st.text("abc0123", max_size=20),
    epoch=st.integers(0, 2**32 - 1),
)


@given(PARTS, st.binary(max_size=3000), st.integers(0, 2**64 - 1), st.integers(1, 10_000))
def test_a_record_is_read_as_it_was_written(p: fmt.Part, body: bytes, salt: int, place: int) -> None:
    data = fmt.write_record(p, body, salt, place * 64)
    assert len(data) % fmt.ALIGN == 0 and len(data) == p.size(len(body))
    assert fmt.read_record(data, salt, place * 64) == (p, body)


@given(st.data())
def test_any_changed_byte_is_detected(data: st.DataObject) -> None:
    raw = fmt.write_record(part(), b"body" * 50, 77, 64)
    used = fmt.RECORD_HEAD.size + len("small") + len("t1") + 200
    at, flip = data.draw(st.integers(0, used - 1)), data.draw(st.integers(1, 255))
    torn = bytearray(raw)
    torn[at] ^= flip
    with pytest.raises((fmt.FormatError, UnicodeDecodeError)):
        fmt.read_record(bytes(torn), 77, 64)


def test_a_record_is_valid_only_at_its_offset_and_in_its_file() -> None:
    """A record inside a body, or one left by an earlier use of a file, must not be accepted."""
    raw = fmt.write_record(part(), b"x", 77, 64)
    for salt, offset in ((78, 64), (77, 128)):
        with pytest.raises(fmt.FormatError):
            fmt.read_record(raw, salt, offset)


def test_a_log_is_read_up_to_the_first_torn_entry() -> None:
    entries = [fmt.LogEntry(fmt.PURGE_OBJECT, 1, 1000 + n, 2, n) for n in range(5)]
    data = fmt.write_log_head(9)
    for entry in entries:
        data += fmt.write_log_entry(entry, 9, len(data))
    assert fmt.read_log(data) == (9, entries, len(data))
    torn = bytearray(data)
    torn[fmt.LOG_HEAD_BYTES + 2 * fmt.LOG_ENTRY.size + 5] ^= 1
    assert fmt.read_log(bytes(torn))[1] == entries[:2]
    with pytest.raises(fmt.FormatError):
        fmt.read_log(b"\0" + data[1:])


@given(st.integers(0, 300), st.integers(1, 255))
def test_a_checkpoint_is_valid_as_a_whole_or_not_at_all(at: int, flip: int) -> None:
    segments = [fmt.CoveredSegment(3, 5, 640, 12), fmt.CoveredSegment(4, 6, 64, 1 << 52)]
    data = b"".join(fmt.write_checkpoint(7, segments, [b"a" * 64, b"b" * 128]))
    number, read, slots = fmt.read_checkpoint(data)
    assert (number, read, bytes(slots)) == (7, segments, b"a" * 64 + b"b" * 128)
    torn = bytearray(data)
    torn[at % len(torn)] ^= flip
    with pytest.raises(fmt.FormatError):
        fmt.read_checkpoint(bytes(torn))
    with pytest.raises(fmt.FormatError):
        fmt.read_checkpoint(data[: at % len(data)])


def test_another_version_is_distinguished_from_bytes_that_are_no_segment() -> None:
    head = bytearray(fmt.write_segment_head(fmt.SegmentHead(1, 2, 3)))
    head[4] = 9
    bare = bytes(head[: fmt.SEGMENT_HEAD.size - 4])
    head[len(bare) : len(bare) + 4] = fmt.crc(0, bare).to_bytes(4, "little")
    with pytest.raises(fmt.UnsupportedVersionError):
        fmt.read_segment_head(bytes(head))
