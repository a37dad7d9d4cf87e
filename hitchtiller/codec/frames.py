"""The platform's client frames: length, type, stream, payload; and the lists of fields in them."""

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

REQUEST, ANSWER, GIVE_UP, READY, READY_ANSWER, GOING = 7, 8, 9, 1, 2, 3
SERVED, REFUSED, FAILED = 0, 11, 5
MIN_LENGTH, MAX_LENGTH = 5, 262_144  # what a frame's length may be
HEAD = struct.Struct(">IBI")


class BadFrame(Exception):
    """The bytes are not a frame; nothing after them can be read either."""


@dataclass(slots=True)
class Frame:
    """One whole frame."""

    kind: int
    stream: int
    payload: bytes


class FrameReader:
    """Feed it bytes, take frames; it holds one frame's bytes at most beyond what was fed."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Give the frames that are whole now; raise BadFrame on what can't be one."""
        self.buffer += data
        start = 0
        try:
            while len(self.buffer) - start >= 4:
                length = int.from_bytes(self.buffer[start : start + 4], "big")
                if not MIN_LENGTH <= length <= MAX_LENGTH:
                    raise BadFrame(f"length {length}")
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
    """Write the head of a frame whose payload has this size."""
    return HEAD.pack(size + 5, kind, stream)


def write_fields(fields: Mapping[str, str]) -> bytes:
    """Write a list of fields."""
    out = bytearray([len(fields)])
    for name, value in fields.items():
        raw, text = name.encode(), value.encode()
        out += len(raw).to_bytes(1, "big") + raw + len(text).to_bytes(2, "big") + text
    return bytes(out)


def read_fields(payload: bytes, start: int = 0) -> tuple[dict[str, str], int]:
    """Read a list of fields; gives it with the place where it ends; BadFrame if it is none."""
    fields: dict[str, str] = {}
    try:
        at = start + 1
        for _ in range(payload[start]):
            end = at + 1 + payload[at]
            value = end + 2
            after = value + (payload[end] << 8 | payload[end + 1])
            name = payload[at + 1 : end].decode()
            if name in fields:
                raise BadFrame(f"field {name[:20]!r} twice")
            fields[name] = payload[value:after].decode()
            at = after
        if at > len(payload):
            raise BadFrame("fields cut short")
    except (IndexError, UnicodeDecodeError) as error:
        raise BadFrame(f"fields: {error}") from None
    return fields, at


def answer_head(stream: int, code: int, fields: Mapping[str, str], body_size: int) -> bytes:
    """Write all of an answer's frame but its body, which need not be copied."""
    payload = bytes([code]) + write_fields(fields)
    return head(ANSWER, stream, len(payload) + body_size) + payload
