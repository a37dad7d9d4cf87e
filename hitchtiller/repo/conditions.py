"""Conditional requests (RFC 9110, section 13): decides between a full response, a partial one, 304 and 412.

Entity tags are strong and combine two values: the digest that the index gives for the file, and the tag that
the caches give to its bytes. The digest alone is not enough to resume a download: an interrupted body may
have started with wrong bytes, which the digest would have exposed only at the end. It may therefore be
continued only with bytes of the same cache tag. Weak tags never match where a strong comparison is required.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import format_datetime, parsedate_to_datetime

ENTITY_TAG = re.compile(r'(W/)?"([\x21\x23-\x7e]*)"')
MAX_TAGS = 64


@dataclass(frozen=True, slots=True)
class Validators:
    """Validators of a representation; `modified_ms` is a Unix time, 0 if unknown."""

    digest: str
    modified_ms: int = 0
    tag: str = ""  # tag that the caches give to the bytes; "" for a body built from memory

    @property
    def tag_text(self) -> str:
        """Return the text of the strong entity tag, without quotes."""
        return f"{self.digest}.{self.tag}" if self.tag else self.digest

    @property
    def etag(self) -> str:
        """Return the strong entity tag as a header value."""
        return f'"{self.tag_text}"'

    def has_digest_of(self, text: str) -> bool:
        """Return whether an entity tag of a complete copy has this digest; its cache tag does not matter."""
        return text.partition(".")[0] == self.digest

    @property
    def last_modified(self) -> str:
        """Return the Last-Modified header value, in whole seconds."""
        return format_datetime(datetime.fromtimestamp(self.modified_ms // 1000, UTC), usegmt=True)


def read_tags(header: str) -> list[tuple[bool, str]] | None:
    """Parse a list of entity tags into (is weak, text) pairs; None for `*`. Malformed tags are ignored."""
    if header.strip() == "*":
        return None
    return [(bool(weak), text) for weak, text in ENTITY_TAG.findall(header)[:MAX_TAGS]]


def _date_ms(header: str) -> float | None:
    try:
        date = parsedate_to_datetime(header)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
    if date.tzinfo is None:
        date = date.replace(tzinfo=UTC)
    return date.timestamp() * 1000.0


def evaluate_conditions(method: str, headers: Mapping[str, str], known: Validators) -> int:
    """Evaluate the conditions in the order of the RFC; return 304, 412, or 200 to answer the request."""
    if "if-match" in headers:
        tags = read_tags(headers["if-match"])
        if tags is not None and not any(not weak and known.has_digest_of(text) for weak, text in tags):
            return 412
    elif "if-unmodified-since" in headers and known.modified_ms:
        date_ms = _date_ms(headers["if-unmodified-since"])
        if date_ms is not None and known.modified_ms // 1000 * 1000 > date_ms:
            return 412
    if "if-none-match" in headers:
        tags = read_tags(headers["if-none-match"])
        if tags is None or any(known.has_digest_of(text) for _, text in tags):
            return 304 if method in ("GET", "HEAD") else 412
    elif "if-modified-since" in headers and known.modified_ms and method in ("GET", "HEAD"):
        date_ms = _date_ms(headers["if-modified-since"])
        if date_ms is not None and known.modified_ms // 1000 * 1000 <= date_ms:
            return 304
    return 200


def range_applies(headers: Mapping[str, str], known: Validators) -> bool:
    """Return whether to honour Range: without If-Range always, with it only for exactly the same bytes."""
    condition = headers.get("if-range")
    if condition is None:
        return True
    tags = ENTITY_TAG.findall(condition)
    if tags:
        return [(bool(weak), text) for weak, text in tags] == [(False, known.tag_text)]
    date_ms = _date_ms(condition)
    return date_ms is not None and bool(known.modified_ms) and known.modified_ms // 1000 * 1000 == date_ms
