"""RESP arrays of bulk strings, as station caches speak them, and the FIELDS text in them."""

import re
from collections.abc import Iterator, Sequence

MAX_ITEMS = 8
MAX_BULK_BYTES = 262_144
MAX_LINE_BYTES = 16
# an answer, up to its body
ANSWER_HEAD = re.compile(rb"\*4\r\n" + rb"\$(\d{1,5})\r\n([^\r]*)\r\n" * 3 + rb"\$(\d{1,6})\r\n")


class BadResp(Exception):
    """The bytes are not what a station cache may send."""


class RespReader:
    """Feed it bytes, take arrays; unread bytes stay under one array's bound."""

    def __init__(self) -> None:
        """Start between arrays."""
        self.buffer = bytearray()
        self.items: list[bytes] = []
        self.remaining_items = 0  # bulk strings still to come in this array
        self.bulk_size = -1  # size of the one under way

    @property
    def in_array(self) -> bool:
        """Tell whether an array has begun that is not whole."""
        return bool(self.buffer or self.remaining_items)

    def feed(self, data: bytes) -> Iterator[list[bytes]]:
        """Give the arrays that are whole now; raise BadResp on what can't be one."""
        self.buffer += data
        start = 0
        try:
            while True:
                if self.bulk_size >= 0:
                    end = start + self.bulk_size
                    if len(self.buffer) < end + 2:
                        return
                    if self.buffer[end : end + 2] != b"\r\n":
                        raise BadResp("bulk string without its end")
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
                    raise BadResp(f"unexpected {bytes(self.buffer[start : start + MAX_LINE_BYTES])!r}")
                end = self.buffer.find(b"\r\n", start, start + MAX_LINE_BYTES)
                if end < 0:
                    if len(self.buffer) - start >= MAX_LINE_BYTES:
                        raise BadResp("line too long")
                    return
                digits = bytes(self.buffer[start + 1 : end])
                if not digits.isdigit():
                    raise BadResp(f"unexpected {bytes(self.buffer[start:end])!r}")
                size, start = int(digits), end + 2
                if size > (MAX_BULK_BYTES if self.remaining_items else MAX_ITEMS):
                    raise BadResp(f"size {size}")
                if self.remaining_items:
                    self.bulk_size = size
                else:
                    self.remaining_items = size
        finally:
            del self.buffer[:start]

    def _take_whole_answer(self, start: int) -> tuple[int, list[bytes]] | None:
        """Take an answer that is there as a whole in one step: nearly all are; else None."""
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
        return end + 2, [item_1, item_2, item_3, bytes(memoryview(self.buffer)[body:end])]


def write_command(*parts: bytes) -> bytes:
    """Write one array."""
    out = [b"*%d\r\n" % len(parts)]
    for part in parts:
        out += (b"$%d\r\n" % len(part), part, b"\r\n")
    return b"".join(out)


def read_fields(data: bytes) -> dict[str, str]:
    """Read FIELDS; raise BadResp on what is none."""
    if data in (b"-", b""):
        return {}
    try:
        pairs = [pair.partition("=") for pair in data.decode().split(",")]
    except UnicodeDecodeError:
        raise BadResp("fields are not text") from None
    if not all(sign for _, sign, _ in pairs):
        raise BadResp("field without a value")
    return {name: value for name, _, value in pairs}


def read_report(text: str, names: Sequence[str] = ()) -> dict[str, float]:
    """Read a load report, `inflight:7;util:0.61`; what is no number is passed over."""
    report = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            report[name] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in report.items() if not names or name in names}
