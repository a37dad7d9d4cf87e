"""Parses request targets into paths, and maps the paths to objects of the platform.

Rejects targets that two parsers could interpret as different paths: traversal, encoded separators, control
bytes, and absolute forms for other hosts. Paths are compared byte for byte after decoding. The work is linear
in the length of the target, which is bounded.
"""

import re
from dataclasses import dataclass

import xxhash

MAX_TARGET_BYTES = 2_048  # bytes
MAX_SEGMENTS = 32
PATH_CHARACTERS = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*\Z")  # RFC 3986, pchar and the slash
ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})?")
SEGMENT_CHARACTERS = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@]+\Z")


class InvalidTargetError(ValueError):
    """The target is not valid here; `status` is the HTTP status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status and the reason."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Target:
    """A decoded path without the leading slash, and the query as sent."""

    path: str
    query: str = ""


def read_target(raw: bytes, hosts: frozenset[str] = frozenset()) -> Target:
    """Parse a request target; an absolute form is accepted only if its host is one of `hosts`."""
    if len(raw) > MAX_TARGET_BYTES:
        raise InvalidTargetError(414, f"target of {len(raw)} bytes; {MAX_TARGET_BYTES} are taken")
    try:
        text = raw.decode("ascii")
    except UnicodeDecodeError:
        raise InvalidTargetError(400, "target is not ASCII; encode other bytes as %XX") from None
    if text.lower().startswith(("http://", "https://")):
        host, slash, rest = text.partition("://")[2].partition("/")
        if host.lower() not in hosts:
            raise InvalidTargetError(421, f"target is on {host[:60]!r}, which is not served here")
        text = slash + rest if slash else "/"
    if not text.startswith("/"):
        raise InvalidTargetError(400, "target does not begin with /")
    path, _, query = text.partition("?")
    if not PATH_CHARACTERS.match(path):
        raise InvalidTargetError(400, "target holds bytes that must be encoded")
    return Target(_decode(path[1:]), query)


def _decode(path: str) -> str:
    segments = path.split("/")
    if len(segments) > MAX_SEGMENTS:
        raise InvalidTargetError(414, f"target of {len(segments)} segments; {MAX_SEGMENTS} are taken")
    return "/".join(
        _decode_segment(segment, is_last=position == len(segments) - 1)
        for position, segment in enumerate(segments)
    )


def _decode_segment(text: str, is_last: bool) -> str:
    def decode_escape(match: re.Match[str]) -> str:
        if not match.group(1):
            raise InvalidTargetError(400, "target holds a % without two hexadecimal digits")
        return chr(int(match.group(1), 16))

    decoded_text = ESCAPE.sub(decode_escape, text)
    if (
        decoded_text in (".", "..")
        or not decoded_text.isprintable()
        or "/" in decoded_text
        or "\\" in decoded_text
        or "%" in decoded_text
    ):
        raise InvalidTargetError(400, f"segment {text[:40]!r} is not taken: it could be read as another path")
    if not decoded_text.isascii():
        raise InvalidTargetError(404, "nothing here has such a name")
    if not decoded_text and not is_last:
        raise InvalidTargetError(400, "target has an empty segment")
    return decoded_text


def object_key(repository: str, path: str) -> int:
    """Return the 64-bit key of the platform's object that holds the file at a path of a repository."""
    return xxhash.xxh3_64_intdigest(f"{repository}\0{path}")
