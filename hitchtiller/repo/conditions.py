"""Conditional requests (RFC 9110, 13): whether a request is answered in full, in part, with 304 or with 412.

Entity tags are strong: the digest that an index gives, and the tag of the cache's bytes. Both, because a body
that broke off may have begun with bytes that its digest would have refused at the end: it may go on only with
bytes of the very same tag. Weak tags never match where strong ones are called for.
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
    """What a representation is known by; `modified_ms` is Unix time, 0 where unknown."""

    digest: str
    modified_ms: int = 0
    tag: str = ""  # of the bytes, as caches know them; "" for a body that is made here

    @property
    def tag_text(self) -> str:
        """Give the strong tag's text."""
        return f"{self.digest}.{self.tag}" if self.tag else self.digest

    @property
    def etag(self) -> str:
        """Write the strong tag."""
        return f'"{self.tag_text}"'

    def has_digest_of(self, text: str) -> bool:
        """Tell whether a client's whole copy of this tag has these bytes: only its digest counts then."""
        return text.partition(".")[0] == self.digest

    @property
    def last_modified(self) -> str:
        """Write the date, whole seconds."""
        return format_datetime(datetime.fromtimestamp(self.modified_ms // 1000, UTC), usegmt=True)


def read_tags(header: str) -> list[tuple[bool, str]] | None:
    """Read a list of entity tags as (weak, opaque); None for `*`; what is malformed is left out."""
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


def status(method: str, headers: Mapping[str, str], known: Validators) -> int:
    """Give 200 to go on, 304 or 412, in the order that the standard gives the conditions."""
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
    """Tell whether a Range is to be heeded: always without If-Range, else only for the very same bytes."""
    condition = headers.get("if-range")
    if condition is None:
        return True
    tags = ENTITY_TAG.findall(condition)
    if tags:
        return [(bool(weak), text) for weak, text in tags] == [(False, known.tag_text)]
    date_ms = _date_ms(condition)
    return date_ms is not None and bool(known.modified_ms) and known.modified_ms // 1000 * 1000 == date_ms
