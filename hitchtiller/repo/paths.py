"""What a request's target names: a repository and a path in it, or a reason why it names nothing.

Guards against targets that two readers could take for two paths: traversal, encoded separators, control
bytes, absolute forms of other hosts. A path is compared byte for byte after decoding; no cost but its length,
which is bounded.
"""

import re
from dataclasses import dataclass

import xxhash

MOST_TARGET = 2_048  # bytes
MOST_SEGMENTS = 32
UNRESERVED = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@/%]*\Z")  # RFC 3986, pchar and the slash
ESCAPE = re.compile(r"%([0-9A-Fa-f]{2})?")
PLAIN = re.compile(r"[A-Za-z0-9\-._~!$&'()*+,;=:@]+\Z")


class BadTarget(ValueError):
    """The target names nothing; `status` is the answer's."""

    def __init__(self, status: int, reason: str) -> None:
        """Keep the status with the reason."""
        super().__init__(reason)
        self.status = status


@dataclass(frozen=True, slots=True)
class Target:
    """A path in a repository, without the leading slash; `query` as it stood."""

    path: str
    query: str = ""


def read_target(raw: bytes, hosts: frozenset[str] = frozenset()) -> Target:
    """Read a request target; an absolute form is taken only for one of our own hosts."""
    if len(raw) > MOST_TARGET:
        raise BadTarget(414, f"target of {len(raw)} bytes; {MOST_TARGET} are taken")
    try:
        text = raw.decode("ascii")
    except UnicodeDecodeError:
        raise BadTarget(400, "target is not ASCII; encode other bytes as %XX") from None
    if text.lower().startswith(("http://", "https://")):
        host, slash, rest = text.partition("://")[2].partition("/")
        if host.lower() not in hosts:
            raise BadTarget(421, f"target is on {host[:60]!r}, which is not served here")
        text = slash + rest if slash else "/"
    if not text.startswith("/"):
        raise BadTarget(400, "target does not begin with /")
    path, _, query = text.partition("?")
    if not UNRESERVED.match(path):
        raise BadTarget(400, "target holds bytes that must be encoded")
    return Target(_decode(path[1:]), query)


def _decode(path: str) -> str:
    segments = path.split("/")
    if len(segments) > MOST_SEGMENTS:
        raise BadTarget(414, f"target of {len(segments)} segments; {MOST_SEGMENTS} are taken")
    return "/".join(
        _segment(segment, last=place == len(segments) - 1) for place, segment in enumerate(segments)
    )


def _segment(text: str, last: bool) -> str:
    def decoded(match: re.Match[str]) -> str:
        if not match.group(1):
            raise BadTarget(400, "target holds a % without two hexadecimal digits")
        return chr(int(match.group(1), 16))

    plain = ESCAPE.sub(decoded, text)
    if plain in (".", "..") or not plain.isprintable() or "/" in plain or "\\" in plain or "%" in plain:
        raise BadTarget(400, f"segment {text[:40]!r} is not taken: it could be read as another path")
    if not plain.isascii():
        raise BadTarget(404, "nothing here has such a name")
    if not plain and not last:
        raise BadTarget(400, "target has an empty segment")
    return plain


def object_key(repository: str, path: str) -> int:
    """Give the platform's object of a path, 64 bits."""
    return xxhash.xxh3_64_intdigest(f"{repository}\0{path}")
