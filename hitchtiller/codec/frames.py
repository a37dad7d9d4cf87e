"""The platform's client frames: length, type, stream and payload, and the field lists within payloads."""

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

REQUEST, ANSWER, GIVE_UP, READY, READY_ANSWER, GOING = 7, 8, 9, 1, 2, 3
SERVED, REFUSED, FAILED = 0, 11, 5
MIN_LENGTH, MAX_LENGTH = 5, 262_144  # bounds of a frame's length field, in bytes
LARGE_LENGTH = 4_096  # from this length on a frame's bytes are removed from the buffer at once
HEAD = struct.Struct(">IBI")  # length, type, stream


class FrameError(Exception):
    """The bytes are not a valid frame; nothing after them can be decoded either."""


class Dropped(Enum):
    """Why the payload of a frame was dropped."""

    TOO_LONG = "too long"  # over the reader's limit
    NO_ROOM = "no room"  # dropped by the reader's owner before the frame was complete


@dataclass(slots=True)
class Frame:
    """One complete frame; a frame whose payload was dropped has an empty one and the reason."""

    kind: int
    stream: int
    payload: bytes
    dropped: Dropped | None = None


class FrameReader:
    """An incremental decoder: feed it bytes and iterate over the frames.

    Between calls it buffers less than one frame. A payload that is longer than `max_payload_bytes` is dropped
    as it arrives; its frame is still yielded once it is complete.
    """

    def __init__(self, max_payload_bytes: int = MAX_LENGTH) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.max_payload_bytes = max_payload_bytes
        self.dropping: Frame | None = None  # the frame whose payload is being dropped
        self.remaining_bytes = self.dropped_bytes = 0  # of its payload: still to arrive, and dropped so far

    @property
    def in_frame(self) -> bool:
        """Return whether a frame has begun and is not complete."""
        return bool(self.buffer or self.dropping)

    @property
    def arrived_bytes(self) -> int:
        """Return how much of the current frame has arrived, with what was dropped of it."""
        return self.dropped_bytes if self.dropping else len(self.buffer)

    @property
    def missing_bytes(self) -> int:
        """Return how much of the current frame has not arrived; 0 if unknown, or if it is being dropped."""
        if self.dropping or len(self.buffer) < HEAD.size:
            return 0
        return 4 + int.from_bytes(self.buffer[:4], "big") - len(self.buffer)

    @property
    def expected_bytes(self) -> int:
        """Return how much completes the current frame, if its bytes are large or dropped; else 0."""
        if self.dropping:
            return self.remaining_bytes
        missing_bytes = self.missing_bytes
        return missing_bytes if missing_bytes > LARGE_LENGTH else 0

    def feed(self, data: bytes | memoryview) -> Iterator[Frame]:
        """Yield the frames that are complete; raise FrameError for invalid bytes.

        No reference to `data` is kept.
        """
        if self.dropping:
            data = self._drop(data)
            if self.remaining_bytes:
                return
        self.buffer += data
        del data
        if self.dropping:
            yield self._take_dropped()
        start = 0
        try:
            while len(self.buffer) - start >= 4:
                length = int.from_bytes(self.buffer[start : start + 4], "big")
                if not MIN_LENGTH <= length <= MAX_LENGTH:
                    raise FrameError(f"length {length} is out of bounds")
                end = start + 4 + length
                if length - MIN_LENGTH > self.max_payload_bytes and len(self.buffer) - start >= HEAD.size:
                    start = self._start_dropping(start, end, Dropped.TOO_LONG)
                    if self.remaining_bytes:
                        break
                    yield self._take_dropped()
                    continue
                if len(self.buffer) < end:
                    break
                is_large = length > LARGE_LENGTH
                frame_start, start = start, 0 if is_large else end
                yield self._take_frame(frame_start, end, is_large)  # no name here would let go of the payload
        finally:
            del self.buffer[:start]

    def _take_frame(self, start: int, end: int, is_large: bool) -> Frame:
        """Return the frame between two positions; a large one is removed at once, so that it is held once."""
        _, kind, stream = HEAD.unpack_from(self.buffer, start)
        frame = Frame(kind, stream, bytes(memoryview(self.buffer)[start + HEAD.size : end]))
        if is_large:
            del self.buffer[:end]
        return frame

    def drop_partial(self) -> None:
        """Drop what has arrived of the current frame's payload, and the rest of it once it arrives."""
        if len(self.buffer) >= HEAD.size:
            length = int.from_bytes(self.buffer[:4], "big")
            del self.buffer[: self._start_dropping(0, 4 + length, Dropped.NO_ROOM)]

    def _start_dropping(self, start: int, end: int, reason: Dropped) -> int:
        """Drop the payload of the frame at `start` of the buffer; return the end of what has arrived."""
        _, kind, stream = HEAD.unpack_from(self.buffer, start)
        self.dropping = Frame(kind, stream, b"", reason)
        arrived_end = min(end, len(self.buffer))
        self.remaining_bytes, self.dropped_bytes = end - arrived_end, arrived_end - start
        return arrived_end

    def _take_dropped(self) -> Frame:
        """Return the frame whose payload was dropped, once it is complete."""
        assert self.dropping
        frame, self.dropping = self.dropping, None
        return frame

    def _drop(self, data: bytes | memoryview) -> bytes | memoryview:
        """Drop bytes of the current frame's payload; return the bytes behind it."""
        dropped_bytes = min(len(data), self.remaining_bytes)
        self.remaining_bytes -= dropped_bytes
        self.dropped_bytes += dropped_bytes
        return memoryview(data)[dropped_bytes:]


def head(kind: int, stream: int, size: int) -> bytes:
    """Return the head of a frame whose payload has `size` bytes."""
    return HEAD.pack(size + 5, kind, stream)


def write_fields(fields: Mapping[str, str]) -> bytes:
    """Encode a list of fields."""
    encoded = bytearray([len(fields)])
    for name, value in fields.items():
        raw_name, raw_value = name.encode(), value.encode()
        encoded += len(raw_name).to_bytes(1, "big") + raw_name + len(raw_value).to_bytes(2, "big") + raw_value
    return bytes(encoded)


def read_fields(payload: bytes, start: int = 0) -> tuple[dict[str, str], int]:
    """Decode a list of fields; return it with the offset of its end, or raise FrameError."""
    fields: dict[str, str] = {}
    try:
        offset = start + 1
        for _ in range(payload[start]):
            end = offset + 1 + payload[offset]
            value_start = end + 2
            value_end = value_start + (payload[end] << 8 | payload[end + 1])
            name = payload[offset + 1 : end].decode()
            if name in fields:
                raise FrameError(f"field {name[:20]!r} is given twice")
            fields[name] = payload[value_start:value_end].decode()
            offset = value_end
        if offset > len(payload):
            raise FrameError("fields are truncated")
    except (IndexError, UnicodeDecodeError) as error:
        raise FrameError(f"fields: {error}") from None
    return fields, offset


def answer_head(stream: int, code: int, fields: Mapping[str, str], body_size: int) -> bytes:
    """Return an answer's frame without its body, so that the body need not be copied."""
    payload = bytes([code]) + write_fields(fields)
    return head(ANSWER, stream, len(payload) + body_size) + payload
