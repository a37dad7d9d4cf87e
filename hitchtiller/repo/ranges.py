"""Byte ranges (RFC 9110, section 14): which bytes of a body of known size a request asks for.

Bound: at most MAX_RANGES ranges, of which at most one pair of neighbours may overlap. A request for more is
answered with the complete body, as the RFC allows: receiving it costs an attacker as much as sending it costs
the gateway.
"""

import re
from dataclasses import dataclass

MAX_RANGES = 16
RANGE_SPEC = re.compile(r"(\d{1,18})?-(\d{1,18})?\Z")


class UnsatisfiableRangeError(Exception):
    """No range lies within the body; answered with 416."""


@dataclass(frozen=True, slots=True)
class Span:
    """Bytes from `first` up to but not including `end`."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Return the number of bytes."""
        return self.end - self.first

    def content_range(self, size: int) -> str:
        """Return the Content-Range header value."""
        return f"bytes {self.first}-{self.end - 1}/{size}"


def read_ranges(header: str, size: int) -> list[Span] | None:
    """Parse a Range header for a body of `size` bytes.

    Returns None if the header is to be ignored: another unit, malformed, too many ranges, or more than one
    overlap. Raises UnsatisfiableRangeError if all ranges lie outside the body.
    """
    unit, equals, text = header.partition("=")
    if not equals or unit.strip().lower() != "bytes":
        return None
    specs = [spec.strip(" \t") for spec in text.split(",")]
    specs = [spec for spec in specs if spec]
    if not specs or len(specs) > MAX_RANGES:
        return None
    spans: list[Span] = []
    for spec in specs:
        match = RANGE_SPEC.match(spec)
        if not match or spec == "-":
            return None
        first, last = match.groups()
        if first is None:
            length = min(int(last), size)
            if length:
                spans.append(Span(size - length, size))
        elif last is not None and int(last) < int(first):
            return None
        elif int(first) < size:
            spans.append(Span(int(first), size if last is None else min(int(last) + 1, size)))
    if not spans:
        raise UnsatisfiableRangeError
    ordered = sorted(spans, key=lambda span: span.first)
    overlaps = sum(a.end > b.first for a, b in zip(ordered, ordered[1:], strict=False))
    return None if overlaps > 1 else spans


def split_into_parts(span: Span, part_bytes: int) -> list[tuple[int, int, int]]:
    """Return (part number, begin, end) for each part that a span covers; begin and end are in the part."""
    slices = []
    offset = span.first
    while offset < span.end:
        number = offset // part_bytes
        begin = offset - number * part_bytes
        end = min(part_bytes, span.end - number * part_bytes)
        slices.append((number, begin, end))
        offset = number * part_bytes + end
    return slices
