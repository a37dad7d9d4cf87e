"""What the policy keeps of servers, attempts and requests: plain data, no decisions."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from hitchtiller.interface import ClassSettings, Member, Request
from hitchtiller.routing.fills import FillLimit
from hitchtiller.routing.pace import Pace


def hash64(*values: int) -> int:
    """Hash numbers to 64 bits, the same in every process."""
    return int.from_bytes(blake2b(repr(values).encode(), digest_size=8).digest(), "big")


def combine_hashes(a: int, b: int) -> int:
    """Mix two 64-bit hashes into one; cheap, for rankings that are made for each new object."""
    mixed = ((a ^ b) * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    return ((mixed ^ mixed >> 32) * 0xD6E8FEB86659FD93) & 0xFFFFFFFFFFFFFFFF


def lru_put(table: dict[Any, Any], key: Any, value: Any, most: int) -> None:
    """Put a value in as the latest used; the least recently used makes room."""
    table.pop(key, None)
    table[key] = value
    if len(table) > most:
        del table[next(iter(table))]


@dataclass(slots=True, eq=False)
class Node:
    """A listed server, with what this gateway has seen of it."""

    member: Member
    salt: int
    answered_ms: float
    joined_ms: float  # last start or return, 0: long ago
    capacity: float = 1.0  # transfers at full pace at once: likely
    safe_capacity: float = 1.0  # and at least
    debt_ms: float = 0.0  # work sent to it while cold and not yet earned
    debt_at_ms: float = 0.0
    load_ms: float = 0.0  # my work out there
    in_flight: int = 0  # my attempts out there, also as a source
    attempts: int = 0  # those sent to it itself
    overdue: int = 0  # the overdue of these
    failure_score: float = 0.0
    ejected_until_ms: float = 0.0  # left out until then
    ejections: int = 0
    reset_ms: float = -1.0  # when a connection to it last broke
    refused_ms: float = 0.0  # when it refused a connection: it comes back cold; 0: not since its listed start
    fill_limit: FillLimit = field(default_factory=FillLimit)  # asked of it as a source
    pace: Pace = field(default_factory=Pace)
    trial: bool = False  # back on trial: one attempt at a time

    def update(self, member: Member, now_ms: float) -> None:
        """Take its new line of the list; a start, or a return to service, clears what was held against it."""
        restarted = member.started_ms != self.member.started_ms
        if restarted or self.member.state != "SERVING":
            self.refused_ms = 0.0 if restarted else self.refused_ms
            self.failure_score = self.ejected_until_ms = self.debt_ms = 0.0
            self.joined_ms, self.trial = now_ms, False
        self.member = member


def rank_by_hash(hashed: int, nodes: Iterable[Node]) -> list[Node]:
    """Order servers by weighted rendezvous hash."""
    return sorted(
        nodes, key=lambda n: -math.log((combine_hashes(hashed, n.salt) + 1) / (1 << 64)) / n.capacity
    )


@dataclass(slots=True, eq=False)
class Attempt:
    """One send: `stage` is look, check (a jam), sibling, fill or only (no fill after it)."""

    node: Node
    source: Node
    stage: str
    sent_ms: float
    work_ms: float
    aim_ms: float  # time in which its answer earns the full worth
    overdue: bool = False  # overdue
    missed_aim: bool = False  # past its aim
    from_origin: bool = False  # a fill at the origin, which all gateways together bound

    def adjust_load(self, sign: int) -> None:
        """Add it to its cache's and source's work with 1, or take it off with -1."""
        self.node.attempts += sign
        for server in (self.node,) if self.source is self.node else (self.node, self.source):
            server.load_ms += sign * self.work_ms
            server.in_flight += sign


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request in hand."""

    event: Request
    spec: ClassSettings
    work_ms: float
    known: bool  # its own size is, not only its class's mean
    item: tuple[int, int]  # object and part
    object_hash: int
    home: int  # router that keeps its directory entry
    admission_draw: float = 0.0  # from [0, 1): its chance in a jam, the same for all its attempts
    tries: int = 0
    in_flight: bool = False
    keep_rank: int = 1
    avoid: list[Node] = field(default_factory=list)  # caches and sources that failed it
    error_attempts: tuple[Attempt, ...] = ()  # it may be at fault itself
    missed_cache: Node | None = None  # the cache that lacks it
    first_run: tuple[float, Node] | None = None  # first attempt that may have run
    lacks_lease: bool = False  # its miss could only be filled from the origin, under a lease
    waited_for_lease: bool = False  # for one
