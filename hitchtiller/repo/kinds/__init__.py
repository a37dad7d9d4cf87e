"""Repository kinds: which paths are indexes, and which files an index names.

Each kind is one module with a class that implements the `Kind` protocol.
"""

from dataclasses import dataclass, field
from typing import Protocol

from hitchtiller.repo.generations import NamedFile


class InvalidIndexError(ValueError):
    """An index that cannot be used; the message says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class ParsedIndex:
    """A parsed index: the files that it names, and the nested indexes among them, which name more files."""

    files: dict[str, NamedFile]
    nested: tuple[str, ...] = field(default=())
    optional: frozenset[str] = frozenset()  # need not exist before the release is served


class Kind(Protocol):
    """One kind of repository; its paths have no leading slash."""

    def is_index(self, path: str) -> bool:
        """Return whether a path is a top-level index, whose versions are the generations."""

    def is_listing(self, path: str) -> bool:
        """Return whether a path is a list that names no files and is served unchanged."""

    def index_paths_for(self, path: str) -> list[str]:
        """Return the paths of the indexes that may name a file, as far as its path shows."""

    def parse(self, path: str, body: bytes) -> ParsedIndex:
        """Parse an index; raise InvalidIndexError if it is not valid."""

    def content_type(self, path: str, body: bytes) -> str:
        """Return the media type of a file."""


def make_kind(name: str) -> Kind:
    """Return the kind of a name; raise KeyError if there is none."""
    from hitchtiller.repo.kinds.debian import Debian
    from hitchtiller.repo.kinds.simple import Simple

    kinds: dict[str, Kind] = {"simple": Simple(), "debian": Debian()}
    return kinds[name]


NAMES = ("debian", "simple")
