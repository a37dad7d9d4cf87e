"""The account of the memory that other parties make this process hold, and who may hold more.

Each connection has a `Holding`, to which bytes are charged from the moment they are held until they are
freed: partial frames, queued and open requests, unsent data, partial answers. `Account` has the totals and
their limit.

No connection pays for another's bytes. Each may hold WHOLE_REQUEST_BYTES of requests as long as there is
room. Beyond that it may use a share of what is free below a part of the limit (a dynamic threshold, as in the
shared buffers of switches): the more is used, the less each may add, so that room stays for the others.
"""

import math
import sys
from enum import IntEnum

WHOLE_REQUEST_BYTES = 65_536  # of requests on one connection, whatever the others hold
SMALL_REQUEST_BYTES = 8_192  # up to this cost a request may use the whole limit
LARGE_REQUEST_SHARE = 0.9  # of the limit, for requests above that; the rest is kept for the small ones
ANSWER_SHARE = 0.85  # of the limit, for unsent answers; the rest is kept for requests
PARTIAL_ANSWER_SHARE = 0.25  # of the limit: below it closing connections to servers is no remedy
SMALL_ANSWERS_BYTES = 65_536  # of unsent answers on one connection, whatever the others hold
SHARED_SHARE, HOLDER_SHARE = (
    0.4,
    0.25,
)  # requests beyond WHOLE_REQUEST_BYTES: of the limit; of what is free of it
MIN_READ_BYTES, MAX_READ_BYTES = 2_048, 65_536  # requested by one recv
READ_SHARE = 1 / 16  # of the bytes that are free for partial input, for one recv
PARTIAL_SHARE = 0.5  # of the limit: above it the rest of a large request stays in the kernel
PART_BYTES = 256  # cost of one buffered part of a stream beside its bytes


class Kind(IntEnum):
    """What the bytes of a holding are; the values are indexes."""

    PARTIAL_REQUEST = 0
    QUEUED_REQUEST = 1  # read whole, waiting until their client reads its answers
    OPEN_REQUEST = 2
    UNSENT_ANSWER = 3
    UNSENT_COMMAND = 4
    PARTIAL_ANSWER = 5
    OTHER_INPUT = 6  # event bus, operators' calls, repository clients
    OTHER_OUTPUT = 7


FIGURE_NAMES = {
    Kind.PARTIAL_REQUEST: "partial_requests",
    Kind.QUEUED_REQUEST: "queued_requests",
    Kind.OPEN_REQUEST: "open_requests",
    Kind.UNSENT_ANSWER: "unsent_answers",
    Kind.UNSENT_COMMAND: "unsent_commands",
    Kind.PARTIAL_ANSWER: "partial_answers",
    Kind.OTHER_INPUT: "other_input",
    Kind.OTHER_OUTPUT: "other_output",
}


class Account:
    """The totals over all connections of the process, and their limit in bytes."""

    def __init__(self) -> None:
        """Start with nothing held and no limit."""
        self.held_bytes = 0
        self.bytes_by_kind = [0] * len(Kind)
        self.limit_bytes = math.inf

    def may_hold_request(self, holding: "Holding", size: int) -> bool:
        """Return whether a connection may hold one more request that costs `size` bytes."""
        limit = self.limit_bytes if size <= SMALL_REQUEST_BYTES else LARGE_REQUEST_SHARE * self.limit_bytes
        if self.held_bytes + size > limit:
            return False
        free_shared = SHARED_SHARE * self.limit_bytes - self.held_bytes
        return holding.request_bytes() + size <= max(WHOLE_REQUEST_BYTES, HOLDER_SHARE * free_shared)

    def may_hold_answer(self, holding: "Holding", size: int) -> bool:
        """Return whether a connection may hold `size` bytes more of answers that its client does not read."""
        unsent_bytes = holding.get(Kind.UNSENT_ANSWER) + size
        if unsent_bytes <= SMALL_ANSWERS_BYTES and self.held_bytes + size <= self.limit_bytes:
            return True
        return unsent_bytes <= ANSWER_SHARE * self.limit_bytes - self.held_bytes

    def lacks_room(self, size: int = 0) -> bool:
        """Return whether partial requests have to be dropped so that a request of `size` bytes finds room."""
        return self.held_bytes + size > LARGE_REQUEST_SHARE * self.limit_bytes

    def is_full(self) -> bool:
        """Return whether the limit is reached."""
        return self.held_bytes >= self.limit_bytes

    def answers_lack_room(self) -> bool:
        """Return whether the limit is reached and partial answers of servers have much of it."""
        return self.is_full() and (
            self.bytes_by_kind[Kind.PARTIAL_ANSWER] > PARTIAL_ANSWER_SHARE * self.limit_bytes
        )

    def may_read_partial(self, size: int) -> bool:
        """Return whether `size` bytes more may be read of a request that is not complete."""
        return self.held_bytes + size <= PARTIAL_SHARE * self.limit_bytes

    def read_bytes(self) -> int:
        """Return how many bytes may be requested by one recv."""
        free_bytes = READ_SHARE * (PARTIAL_SHARE * self.limit_bytes - self.held_bytes)
        if free_bytes >= MAX_READ_BYTES:
            return MAX_READ_BYTES
        return max(MIN_READ_BYTES, int(free_bytes))


class Holding:
    """What one connection holds."""

    __slots__ = ("account", "bytes_by_kind", "held_bytes")

    def __init__(self, account: Account) -> None:
        """Start with nothing held."""
        self.account = account
        self.held_bytes = 0
        self.bytes_by_kind = [0] * len(Kind)

    def add(self, kind: Kind, size: int) -> None:
        """Charge `size` bytes, or free them if it is negative."""
        if size:
            self.bytes_by_kind[kind] += size
            self.held_bytes += size
            self.account.held_bytes += size
            self.account.bytes_by_kind[kind] += size

    def set(self, kind: Kind, size: int) -> None:
        """Set how many bytes of a kind are held."""
        if size != self.bytes_by_kind[kind]:
            self.add(kind, size - self.bytes_by_kind[kind])

    def set_buffer(self, kind: Kind, buffer: bytearray) -> None:
        """Set the bytes of a kind to what a buffer takes in memory, which is more than its length."""
        self.set(kind, sys.getsizeof(buffer) if buffer else 0)

    def get(self, kind: Kind) -> int:
        """Return how many bytes of a kind are held."""
        return self.bytes_by_kind[kind]

    def request_bytes(self) -> int:
        """Return how many bytes of whole requests are held."""
        return self.bytes_by_kind[Kind.OPEN_REQUEST] + self.bytes_by_kind[Kind.QUEUED_REQUEST]

    def release(self) -> None:
        """Free all that is held."""
        for kind in Kind:
            self.set(kind, 0)
