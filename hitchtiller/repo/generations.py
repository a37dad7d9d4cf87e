"""Generations of an index: which version is served to which client, and which files belong to it.

A release changes an index and the files that it names, but not atomically. To prevent a client from combining
an index with files of another release, one `IndexHistory` for each index (a project's page, a suite's
Release) remembers the recent versions of the index and which version each client was served. Performs no I/O.
Times are Unix ms. Bounds for each index: MAX_GENERATIONS generations, each with the files that it names, and
MAX_CLIENTS clients. The client whose last request is oldest is forgotten first and is then treated as having
been served the current generation.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MAX_GENERATIONS = 8
MAX_CLIENTS = 10_000
RECHECK_MS = 500.0  # delay before missing files of a generation are checked again


class State(Enum):
    """State of a generation."""

    SEEN = "seen"  # read from upstream; some of its files are not yet known to exist
    PROVEN = "proven"  # all of its files are known to exist
    SERVED = "served"  # the generation that clients currently get
    RETIRED = "retired"  # replaced by another generation; permitted for the grace period


@dataclass(frozen=True, slots=True)
class NamedFile:
    """A file as an index names it.

    `digest` is its SHA-256 in hexadecimal, "" if the index gives none; `size` is in bytes, -1 if unknown.
    """

    path: str
    digest: str
    size: int = -1


@dataclass(slots=True)
class Generation:
    """One version of an index, identified by the digest of its bytes, with the files that it names."""

    digest: str
    files: Mapping[str, NamedFile]
    since_ms: float  # when the origin sent these bytes
    state: State = State.SEEN
    served_ms: float = -math.inf
    retired_ms: float = math.inf
    body: bytes = b""
    pending_paths: set[str] = field(default_factory=set)  # files not yet known to exist
    checked_ms: float = -math.inf


class IndexHistory:
    """The generations of one index in the order in which they were first read."""

    def __init__(self, grace_ms: float) -> None:
        """Permit a generation for `grace_ms` after another one has replaced it."""
        self.grace_ms = grace_ms
        self.generations: OrderedDict[str, Generation] = OrderedDict()
        self.newest_digest = ""  # of the generation that upstream served last
        self.served_digest = ""  # of the generation that clients currently get
        self.served_to: OrderedDict[str, str] = OrderedDict()  # client to digest, longest silent first
        self.updates_withheld = self.rollback_count = 0

    def record_index(
        self,
        digest: str,
        files: Mapping[str, NamedFile],
        since_ms: float,
        body: bytes,
        optional: frozenset[str] = frozenset(),
    ) -> Generation:
        """Record an index that was read from upstream, and return its generation.

        A generation that the origin sent before the newest known one does not replace it, because a cache
        may lag behind. Where the same bytes are already recorded with a later time, that time counts. A
        rollback is an earlier version of the index that the origin sends again: the same bytes with a later
        time. Files in `optional` need not exist before the generation is served.
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
        """Record that a file that a generation names exists."""
        generation = self.generations.get(digest)
        if generation:
            generation.pending_paths.discard(path)
            if not generation.pending_paths and generation.state is State.SEEN:
                generation.state = State.PROVEN

    def mark_missing(self, digest: str, now_ms: float) -> None:
        """Record that a file of a generation is missing; its files are checked again after RECHECK_MS."""
        if generation := self.generations.get(digest):
            generation.checked_ms = now_ms

    def generation_to_check(self, now_ms: float) -> Generation | None:
        """Return the newest generation if its files have to be checked now, else None."""
        generation = self.generations.get(self.newest_digest)
        if generation is None or generation.state is not State.SEEN:
            return None
        return generation if now_ms - generation.checked_ms >= RECHECK_MS else None

    def serve(self, client: str, now_ms: float) -> Generation | None:
        """Return the generation whose index the client gets now, and remember it for that client.

        This is the newest generation if all of its files exist, otherwise the one served so far; None if no
        generation has been complete yet.
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

    def permitted_file(self, client: str, path: str, now_ms: float) -> NamedFile | None:
        """Return the file as named by the index that the client was served, or None.

        An older index remains valid during its grace period for the clients that were served it. A client
        never gets the bytes of another generation, older or newer: it would combine its index with another
        release's file.
        """
        generation = self._generation_for(client)
        return generation.files.get(path) if generation and self._is_permitted(generation, now_ms) else None

    def _generation_for(self, client: str) -> Generation | None:
        """Return the generation that the client was served; the current one if that is not known."""
        return self.generations.get(self.served_to.get(client, self.served_digest)) or self.generations.get(
            self.served_digest
        )

    def is_outdated(self, client: str, now_ms: float) -> bool:
        """Return whether the grace period of the index that the client was served has ended."""
        generation = self._generation_for(client)
        return generation is not None and not self._is_permitted(generation, now_ms)

    def _is_permitted(self, generation: Generation, now_ms: float) -> bool:
        if generation.state is State.RETIRED:
            return now_ms - generation.retired_ms <= self.grace_ms
        return generation.state is State.SERVED
