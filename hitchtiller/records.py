"""Records that the decisions keep of servers, attempts and open requests: data only, no decisions."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from hitchtiller.interface import ClassSettings, Member, Request
from hitchtiller.routing.fills import FillLimit
from hitchtiller.routing.pace import Pace

if TYPE_CHECKING:
    from hashlib import blake2b
else:
    try:
        from _blake2 import blake2b  # what hashlib has, without libcrypto, which takes 3 MB
    except ImportError:
        from hashlib import blake2b


def hash64(*values: int) -> int:
    """Return a 64-bit hash of numbers that is the same in every process."""
    return int.from_bytes(blake2b(repr(values).encode(), digest_size=8).digest(), "big")


def combine_hashes(a: int, b: int) -> int:
    """Combine two 64-bit hashes into one; cheap, as each new object needs a ranking of all servers."""
    mixed = ((a ^ b) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    return ((mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF


def lru_put(table: dict[Any, Any], key: Any, value: Any, max_size: int) -> None:
    """Store a value as the most recently used; above `max_size` entries drop the least recently used."""
    table.pop(key, None)
    table[key] = value
    if len(table) > max_size:
        del table[next(iter(table))]


@dataclass(slots=True, eq=False)
class Node:
    """A listed server and what this gateway has observed of it."""

    member: Member
    salt: int  # hash of its name, for rankings
    answered_ms: float  # when it last responded, if only with a quick failure
    joined_ms: float  # when it last started or returned to service; minus infinity: long ago
    capacity: float = 1.0  # simultaneous transfers at full rate: the likely number
    safe_capacity: float = 1.0  # lower bound of the capacity, used by the guards
    debt_ms: float = 0.0  # work sent to it while cold (recently started) that its rate has not paid off yet
    debt_at_ms: float = 0.0  # when the debt was last updated
    load_ms: float = 0.0  # work of this gateway's attempts in flight at it, also as a source
    in_flight: int = 0  # number of this gateway's attempts in flight at it, also as a source
    attempts: int = 0  # of these, the ones sent to it itself
    overdue: int = 0  # of `attempts`, the overdue ones
    failure_score: float = 0.0  # from 0 to 1: failures raise it, answers lower it; see routing/blame.py
    ejected_until_ms: float = 0.0  # not picked until then
    ejections: int = 0  # in a row
    reset_ms: float = -1.0  # when the reset of a connection to it last raised its failure score
    refused_ms: float = 0.0  # when it refused a connection: cold when it returns; 0: not since its start
    fill_limit: FillLimit = field(default_factory=FillLimit)  # on fills requested from it as a source
    pace: Pace = field(default_factory=Pace)  # time of its answers over that of their bytes at full rate
    on_trial: bool = False  # used again after an ejection, with one attempt at a time

    def update(self, member: Member, now_ms: float) -> None:
        """Apply its new list entry; a start or a return to service clears its failures and cold debt."""
        restarted = member.started_ms != self.member.started_ms
        if restarted or self.member.state != "SERVING":
            self.refused_ms = 0.0 if restarted else self.refused_ms
            self.failure_score = self.ejected_until_ms = self.debt_ms = 0.0
            self.joined_ms, self.on_trial = now_ms, False
        self.member = member


def rank_by_hash(object_hash: int, nodes: Iterable[Node]) -> list[Node]:
    """Return the servers ranked by rendezvous hash, weighted by their capacity."""
    return sorted(
        nodes, key=lambda n: -math.log((combine_hashes(object_hash, n.salt) + 1) / (1 << 64)) / n.capacity
    )


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, sent to `node`; a miss is filled from `source`, or not at all if that is `node` itself.

    `stage` says what the attempt is for. A look-up asks a cache only for a copy that it holds.

    - `look` is a look-up; after a miss the cache is filled from a sibling (another cache that holds a copy),
      or else from above, which is a parent or the origin.
    - `check` is a look-up that comes first while the fills from above are limited; after a miss such
      a fill follows.
    - `only` is a look-up that no fill follows.
    - `sibling` is a fill from a sibling.
    - `fill` is a fill from above, a write, or an attempt that bypasses the caches.
    """

    node: Node
    source: Node
    stage: str
    sent_ms: float
    work_ms: float
    aim_ms: float  # its aim: the time from `sent_ms` within which its answer earns the full worth
    overdue: bool = False  # its answer has taken too long
    missed_aim: bool = False  # `aim_ms` has passed, or the server refused it as busy
    from_origin: bool = False  # a fill at the origin, whose number is bounded over all gateways

    def adjust_load(self, sign: int) -> None:
        """Add the attempt to the load of its cache and its source with 1, or remove it with -1."""
        self.node.attempts += sign
        for server in (self.node,) if self.source is self.node else (self.node, self.source):
            server.load_ms += sign * self.work_ms
            server.in_flight += sign


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client's request that has no final answer yet."""

    event: Request
    request_class: ClassSettings  # settings of its request class
    work_ms: float  # time to send its bytes at full rate
    size_known: bool  # `work_ms` comes from its own size, not only from its class's mean
    item: tuple[int, int]  # object and part
    object_hash: int
    home_number: int  # number of the home gateway, whose directory lists the caches that hold the object
    admission_draw: float = 0.0  # random, from [0, 1), for limited sources; the same for all its attempts
    attempt_count: int = 0  # attempts sent so far
    in_flight: bool = False  # an attempt is in flight
    keep_rank: int = 1  # rank at which a cache keeps the copy
    avoid: list[Node] = field(default_factory=list)  # caches and sources at which an attempt failed
    error_attempts: tuple[Attempt, ...] = ()  # answered with `err`; the request may be at fault
    missed_cache: Node | None = None  # the cache whose look-up found no copy
    first_run: tuple[float, Node] | None = None  # when and where the first attempt went that may have run
    lacks_lease: bool = False  # its miss can only be filled from the origin, under a lease
    waited_for_lease: bool = False  # it waits at most once
