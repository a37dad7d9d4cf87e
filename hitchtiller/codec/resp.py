"""RESP arrays of bulk strings, the protocol of station caches, and the FIELDS text within them."""

import re
from collections.abc import Iterator, Sequence

MAX_ITEMS = 8
ANSWER_ITEMS = 4  # every answer is an array of ID, WORD, FIELDS and BODY
MAX_BULK_BYTES = 262_144
MAX_FIELDS_BYTES, MAX_WORD_BYTES = 16_384, 128
MAX_ITEM_BYTES = (MAX_WORD_BYTES, MAX_WORD_BYTES, MAX_FIELDS_BYTES, MAX_BULK_BYTES)  # by index in its array
MAX_LINE_BYTES = 16
# A whole answer up to its body: an array of four bulk strings.
ANSWER_HEAD = re.compile(rb"\*4\r\n" + rb"\$(\d{1,5})\r\n([^\r]*)\r\n" * 3 + rb"\$(\d{1,6})\r\n")


class RespError(Exception):
    """The bytes are not a valid answer of a station cache."""


class RespReader:
    """An incremental decoder: feed it bytes and iterate over the arrays.

    Between calls it buffers less than one array. Only the body may be large: whole items of an incomplete
    array are kept apart from the buffer.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()
        self.items: list[bytes] = []
        self.remaining_items = 0  # bulk strings missing from the current array
        self.bulk_size = -1  # size of the current bulk string; -1 while it is unknown

    @property
    def in_array(self) -> bool:
        """Return whether an array has begun and is not complete."""
        return bool(self.buffer or self.remaining_items)

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Yield the arrays that are complete; raise RespError for invalid bytes."""
        self.buffer += data
        start = 0
        try:
            while True:
                if self.bulk_size >= 0:
                    end = start + self.bulk_size
                    if len(self.buffer) < end + 2:
                        return
                    if self.buffer[end : end + 2] != b"\r\n":
                        raise RespError("bulk string does not end in CRLF")
                    self.items.append(bytes(memoryview(self.buffer)[start:end]))
                    start, self.bulk_size, self.remaining_items = end + 2, -1, self.remaining_items - 1
                    if not self.remaining_items:
                        items, self.items = self.items, []
                        yield items
                    continue
                whole = None if self.remaining_items else self._take_whole_answer(start)
                if whole:
                    start, items = whole
                    yield items
                    continue
                mark = self.buffer[start : start + 1]
                if mark and mark != (b"$" if self.remaining_items else b"*"):
                    raise RespError(f"unexpected {bytes(self.buffer[start : start + MAX_LINE_BYTES])!r}")
                end = self.buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
                if end < 0:
                    if len(self.buffer) - start >= MAX_LINE_BYTES:
                        raise RespError("length line is too long")
                    return
                digits = bytes(self.buffer[start + 1 : end])
                if not digits.isdigit():
                    raise RespError(f"unexpected {bytes(self.buffer[start:end])!r}")
                size, start = int(digits), end + 2
                if size > (self._max_item_bytes() if self.remaining_items else MAX_ITEMS):
                    raise RespError(f"size {size} is out of bounds")
                if self.remaining_items:
                    self.bulk_size = size
                else:
                    self.remaining_items = size
        finally:
            del self.buffer[:start]

    def _max_item_bytes(self) -> int:
        """Return how long the next item of the current array may be."""
        index = len(self.items)
        return MAX_ITEM_BYTES[index] if index < len(MAX_ITEM_BYTES) else MAX_WORD_BYTES

    def _take_whole_answer(self, start: int) -> tuple[int, list[bytes]] | None:
        """Decode an answer that is buffered completely in one step, the usual case; return None otherwise."""
        match = ANSWER_HEAD.match(self.buffer, start)
        if not match:
            return None
        size_1, item_1, size_2, item_2, size_3, item_3, size = match.groups()
        body = match.end()
        end = body + int(size)
        sizes = (int(size_1), int(size_2), int(size_3))
        if int(size) > MAX_BULK_BYTES or self.buffer[end : end + 2] != b"\r\n":
            return None
        if sizes != (len(item_1), len(item_2), len(item_3)):
            return None
        if any(length > limit for length, limit in zip(sizes, MAX_ITEM_BYTES, strict=False)):
            return None
        return end + 2, [item_1, item_2, item_3, bytes(memoryview(self.buffer)[body:end])]


def write_command(*parts: bytes) -> bytes:
    """Encode one array."""
    out = [b"*%d\r\n" % len(parts)]
    for part in parts:
        out += (b"$%d\r\n" % len(part), part, b"\r\n")
    return b"".join(out)


def read_fields(data: bytes) -> dict[str, str]:
    """Parse a FIELDS text; raise RespError for an invalid one."""
    if data in (b"-", b""):
        return {}
    try:
        pairs = [pair.partition("=") for pair in data.decode().split(",")]
    except UnicodeDecodeError:
        raise RespError("fields are not text") from None
    if not all(sign for _, sign, _ in pairs):
        raise RespError("field has no value")
    return {name: value for name, _, value in pairs}


def read_report(text: str, names: Sequence[str] = ()) -> dict[str, float]:
    """Parse a load report such as `inflight:7;util:0.61`; entries without a number are ignored."""
    report = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in report.items() if not names or name in names}
