"""The platform's client frames: length, type, stream and payload, and the field lists within payloads."""

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

REQUEST, ANSWER, GIVE_UP, READY, READY_ANSWER, GOING = 7, 8, 9, 1, 2, 3
SERVED, REFUSED, FAILED = 0, 11, 5
MIN_LENGTH, MAX_LENGTH = 5, 262_144  # bounds of a frame's length field, in bytes
HEAD = struct.Struct(">IBI")  # length, type, stream


class FrameError(Exception):
    """The bytes are not a valid frame; nothing after them can be decoded either."""


@dataclass(slots=True)
class Frame:
    """One complete frame."""

    kind: int
    stream: int
    payload: bytes


class FrameReader:
    """An incremental decoder: feed it bytes and iterate over the frames.

    Between calls it buffers less than one frame.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are complete; raise FrameError for invalid bytes."""
        self.buffer += data
        start = 0
        try:
            while len(self.buffer) - start >= 4:
                length = int.from_bytes(self.buffer[start : start + 4], "big")
                if not MIN_LENGTH <= length <= MAX_LENGTH:
                    raise FrameError(f"length {length} is out of bounds")
                end = start + 4 + length
                if len(self.buffer) < end:
                    break
                _, kind, stream = HEAD.unpack_from(self.buffer, start)
                payload = bytes(memoryview(self.buffer)[start + HEAD.size : end])
                start = end
                yield Frame(kind, stream, payload)
        finally:
            del self.buffer[:start]


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
