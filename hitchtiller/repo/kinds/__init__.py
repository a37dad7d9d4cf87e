"""Kinds of repositories.

What is an index, and what it names. A kind is one file with a class that has `Kind`'s methods.
"""

from dataclasses import dataclass, field
from typing import Protocol

from hitchtiller.repo.generations import NamedFile


class BadIndex(ValueError):
    """An index that can't be used; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Parsed:
    """What an index says: the files it names, and further indexes that belong to it and name more."""

    files: dict[str, NamedFile]
    nested: tuple[str, ...] = field(default=())
    optional: frozenset[str] = frozenset()  # named, but need not be there for the release to be whole


class Kind(Protocol):
    """One kind of repository; paths have no leading slash."""

    def root(self, path: str) -> bool:
        """Tell whether a path is an index that begins a generation."""

    def listing(self, path: str) -> bool:
        """Tell whether a path is a list that names no files, served as it comes."""

    def roots_for(self, path: str) -> list[str]:
        """Give the indexes that could name a file, as far as its path tells."""

    def parse(self, path: str, body: bytes) -> Parsed:
        """Read an index; BadIndex where it is none."""

    def content_type(self, path: str, body: bytes) -> str:
        """Give the media type of what is served."""


def make(name: str) -> Kind:
    """Make a kind by its name; KeyError for an unknown one."""
    from hitchtiller.repo.kinds.debian import Debian
    from hitchtiller.repo.kinds.simple import Simple

    kinds: dict[str, Kind] = {"simple": Simple(), "debian": Debian()}
    return kinds[name]


NAMES = ("debian", "simple")
