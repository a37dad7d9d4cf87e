"""The account of the memory that other parties make this process hold, by kind and by connection.

Each connection has a `Holding`, to which the bytes are charged from the moment they are held until they are
freed: partial frames, queued and open requests, unsent data, partial answers. `Account` has the totals.
"""

from enum import StrEnum


class Kind(StrEnum):
    """What the bytes of a holding are; the values are names of figures."""

    PARTIAL_REQUEST = "partial_requests"
    QUEUED_REQUEST = "queued_requests"  # read whole, waiting until their client reads its answers
    OPEN_REQUEST = "open_requests"
    UNSENT_ANSWER = "unsent_answers"
    UNSENT_COMMAND = "unsent_commands"
    PARTIAL_ANSWER = "partial_answers"
    OTHER_INPUT = "other_input"  # event bus, operators' calls, repository clients
    OTHER_OUTPUT = "other_output"


class Account:
    """The totals over all connections of the process."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.held_bytes = 0
        self.bytes_by_kind = dict.fromkeys(Kind, 0)


class Holding:
    """What one connection holds."""

    __slots__ = ("account", "bytes_by_kind", "held_bytes")

    def __init__(self, account: Account) -> None:
        """Start with nothing held."""
        self.account = account
        self.held_bytes = 0
        self.bytes_by_kind: dict[Kind, int] = {}

    def add(self, kind: Kind, size: int) -> None:
        """Charge `size` bytes, or free them if it is negative."""
        if size:
            self.bytes_by_kind[kind] = self.bytes_by_kind.get(kind, 0) + size
            self.held_bytes += size
            self.account.held_bytes += size
            self.account.bytes_by_kind[kind] += size

    def set(self, kind: Kind, size: int) -> None:
        """Set how many bytes of a kind are held."""
        self.add(kind, size - self.bytes_by_kind.get(kind, 0))

    def get(self, kind: Kind) -> int:
        """Return how many bytes of a kind are held."""
        return self.bytes_by_kind.get(kind, 0)

    def release(self) -> None:
        """Free all that is held."""
        for kind in self.bytes_by_kind:
            self.set(kind, 0)
