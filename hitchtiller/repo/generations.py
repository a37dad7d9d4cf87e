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

MAX_GENERATIONS = 8
MAX_CLIENTS = 10_000
RECHECK_MS = 500.0  # before an unproven generation is looked at again


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
    pending_paths: set[str] = field(default_factory=set)  # paths that have to be there before it is proven
    checked_ms: float = -math.inf


class IndexHistory:
    """The generations of one index, oldest first."""

    def __init__(self, grace_ms: float) -> None:
        """Permit a generation for `grace_ms` after another was served in its place."""
        self.grace_ms = grace_ms
        self.generations: OrderedDict[str, Generation] = OrderedDict()
        self.newest_digest = ""  # the digest that came last from upstream
        self.served_digest = ""  # the digest that is served
        self.served_to: OrderedDict[str, str] = OrderedDict()
        self.updates_withheld = self.rollback_count = 0

    def record_index(
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
        generation = self.generations.get(digest)
        newest_generation = self.generations.get(self.newest_digest)
        if generation is None:
            generation = self.generations[digest] = Generation(digest, files, since_ms, body=body)
            previous = self.generations.get(self.served_digest)
            previous_files = previous.files if previous else {}
            generation.pending_paths = {
                p for p, named in files.items() if previous_files.get(p) != named and p not in optional
            }
            if not generation.pending_paths:
                generation.state = State.PROVEN
        elif since_ms > generation.since_ms:
            generation.since_ms = since_ms
        if newest_generation is None or generation.since_ms >= newest_generation.since_ms:
            arrival_order = list(self.generations)
            if (
                newest_generation
                and newest_generation is not generation
                and arrival_order.index(digest) < arrival_order.index(newest_generation.digest)
            ):
                self.rollback_count += 1
            self.newest_digest = digest
        self._enforce_limit()
        return generation

    def _enforce_limit(self) -> None:
        while len(self.generations) > MAX_GENERATIONS:
            oldest = next(
                (d for d in self.generations if d not in (self.newest_digest, self.served_digest)), None
            )
            if oldest is None:
                return
            del self.generations[oldest]

    def mark_found(self, digest: str, path: str) -> None:
        """Hear that a file that a generation names is there."""
        generation = self.generations.get(digest)
        if generation:
            generation.pending_paths.discard(path)
            if not generation.pending_paths and generation.state is State.SEEN:
                generation.state = State.PROVEN

    def mark_missing(self, digest: str, now_ms: float) -> None:
        """Hear that a file is not there: it is looked for again after a while."""
        if generation := self.generations.get(digest):
            generation.checked_ms = now_ms

    def due_for_check(self, now_ms: float) -> Generation | None:
        """Give the newest generation if its files have to be looked for now."""
        generation = self.generations.get(self.newest_digest)
        if generation is None or generation.state is not State.SEEN:
            return None
        return generation if now_ms - generation.checked_ms >= RECHECK_MS else None

    def serve(self, client: str, now_ms: float) -> Generation | None:
        """Give the generation whose index a client gets now.

        The newest proven one; None if there is none yet.
        """
        newest_generation = self.generations.get(self.newest_digest)
        if (
            newest_generation
            and newest_generation.state is not State.SEEN
            and self.newest_digest != self.served_digest
        ):
            previous = self.generations.get(self.served_digest)
            if previous:
                previous.state, previous.retired_ms = State.RETIRED, now_ms
            self.served_digest = self.newest_digest
        elif newest_generation and newest_generation.state is State.SEEN:
            self.updates_withheld += 1
        generation = self.generations.get(self.served_digest)
        if generation is None:
            return None
        generation.state, generation.served_ms, generation.retired_ms = State.SERVED, now_ms, math.inf
        self.served_to[client] = generation.digest
        self.served_to.move_to_end(client)
        if len(self.served_to) > MAX_CLIENTS:
            self.served_to.popitem(last=False)
        return generation

    def permitted(self, client: str, path: str, now_ms: float) -> NamedFile | None:
        """Give what a file must be for a client: as the index names it that the client was given.

        An older index counts as long as it is permitted, for the clients that were given it. Bytes of another
        generation, older or newer, are never for a client: it would pair an index with another release's
        file.
        """
        generation = self._generation_for(client)
        return generation.files.get(path) if generation and self._is_permitted(generation, now_ms) else None

    def _generation_for(self, client: str) -> Generation | None:
        """Give a client's generation; the one that is served, where it is not known."""
        return self.generations.get(self.served_to.get(client, self.served_digest)) or self.generations.get(
            self.served_digest
        )

    def is_outdated(self, client: str, now_ms: float) -> bool:
        """Tell whether a client holds an index that is permitted no more."""
        generation = self._generation_for(client)
        return generation is not None and not self._is_permitted(generation, now_ms)

    def _is_permitted(self, generation: Generation, now_ms: float) -> bool:
        if generation.state is State.RETIRED:
            return now_ms - generation.retired_ms <= self.grace_ms
        return generation.state is State.SERVED
