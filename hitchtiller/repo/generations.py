"""Releases as generations: which index may be served to whom, and which bytes go with it; no I/O.

One `Line` follows one index (a project's page, a suite's Release). Times are Unix ms. Bounds: KEPT
generations a line, with what each names; FOLLOWED clients a line, the longest silent forgotten first; a
forgotten client has the newest served.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

KEPT = 8
FOLLOWED = 10_000
AGAIN_MS = 500.0  # before an unproven generation is looked at again


class State(Enum):
    """How far a generation is."""

    SEEN = "seen"
    PROVEN = "proven"
    SERVED = "served"
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class NamedFile:
    """A file as an index names it.

    SHA-256 in hexadecimal, "" where it gives none; size in bytes, -1 where untold.
    """

    path: str
    digest: str
    size: int = -1


@dataclass(slots=True)
class Generation:
    """One index, by the digest of its bytes, with what it names."""

    digest: str
    files: Mapping[str, NamedFile]
    since_ms: float  # when the origin gave out these bytes
    state: State = State.SEEN
    served_ms: float = -math.inf
    retired_ms: float = math.inf
    body: bytes = b""
    wanted: set[str] = field(default_factory=set)  # paths that have to be there before it is proven
    looked_ms: float = -math.inf


class Line:
    """The generations of one index, oldest first."""

    def __init__(self, grace_ms: float) -> None:
        """Permit a generation for `grace_ms` after another was served in its place."""
        self.grace_ms = grace_ms
        self.known: OrderedDict[str, Generation] = OrderedDict()
        self.newest = ""  # the digest that came last from upstream
        self.current = ""  # the digest that is served
        self.given: OrderedDict[str, str] = OrderedDict()
        self.updates_withheld = self.rolled_back = 0

    def saw(
        self,
        digest: str,
        files: Mapping[str, NamedFile],
        since_ms: float,
        body: bytes,
        optional: frozenset[str] = frozenset(),
    ) -> Generation:
        """Hear of an index as it came; gives its generation.

        One that is older than what is known by its time changes nothing, unless it has the same bytes as a
        newer one: a cache may lag. A roll-back is an older text given out anew.
        """
        found = self.known.get(digest)
        newest = self.known.get(self.newest)
        if found is None:
            found = self.known[digest] = Generation(digest, files, since_ms, body=body)
            before = self.known.get(self.current)
            had = before.files if before else {}
            found.wanted = {p for p, named in files.items() if had.get(p) != named and p not in optional}
            if not found.wanted:
                found.state = State.PROVEN
        elif since_ms > found.since_ms:
            found.since_ms = since_ms
        if newest is None or found.since_ms >= newest.since_ms:
            order = list(self.known)
            if newest and newest is not found and order.index(digest) < order.index(newest.digest):
                self.rolled_back += 1
            self.newest = digest
        self._bound()
        return found

    def _bound(self) -> None:
        while len(self.known) > KEPT:
            old = next((d for d in self.known if d not in (self.newest, self.current)), None)
            if old is None:
                return
            del self.known[old]

    def found(self, digest: str, path: str) -> None:
        """Hear that a file that a generation names is there."""
        generation = self.known.get(digest)
        if generation:
            generation.wanted.discard(path)
            if not generation.wanted and generation.state is State.SEEN:
                generation.state = State.PROVEN

    def missing(self, digest: str, now_ms: float) -> None:
        """Hear that a file is not there: it is looked for again after a while."""
        if generation := self.known.get(digest):
            generation.looked_ms = now_ms

    def to_look(self, now_ms: float) -> Generation | None:
        """Give the newest generation if its files have to be looked for now."""
        generation = self.known.get(self.newest)
        if generation is None or generation.state is not State.SEEN:
            return None
        return generation if now_ms - generation.looked_ms >= AGAIN_MS else None

    def serve(self, client: str, now_ms: float) -> Generation | None:
        """Give the generation whose index a client gets now.

        The newest proven one; None if there is none yet.
        """
        newest = self.known.get(self.newest)
        if newest and newest.state is not State.SEEN and self.newest != self.current:
            before = self.known.get(self.current)
            if before:
                before.state, before.retired_ms = State.RETIRED, now_ms
            self.current = self.newest
        elif newest and newest.state is State.SEEN:
            self.updates_withheld += 1
        generation = self.known.get(self.current)
        if generation is None:
            return None
        generation.state, generation.served_ms, generation.retired_ms = State.SERVED, now_ms, math.inf
        self.given[client] = generation.digest
        self.given.move_to_end(client)
        if len(self.given) > FOLLOWED:
            self.given.popitem(last=False)
        return generation

    def permitted(self, client: str, path: str, now_ms: float) -> NamedFile | None:
        """Give what a file must be for a client: as the index names it that the client was given.

        An older index counts as long as it is permitted, for the clients that were given it. Bytes of another
        generation, older or newer, are never for a client: it would pair an index with another release's
        file.
        """
        own = self._own(client)
        return own.files.get(path) if own and self._may(own, now_ms) else None

    def _own(self, client: str) -> Generation | None:
        """Give a client's generation; the one that is served, where it is not known."""
        return self.known.get(self.given.get(client, self.current)) or self.known.get(self.current)

    def outdated(self, client: str, now_ms: float) -> bool:
        """Tell whether a client holds an index that is permitted no more."""
        own = self._own(client)
        return own is not None and not self._may(own, now_ms)

    def _may(self, generation: Generation, now_ms: float) -> bool:
        if generation.state is State.RETIRED:
            return now_ms - generation.retired_ms <= self.grace_ms
        return generation.state is State.SERVED
