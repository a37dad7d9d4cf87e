"""Window of one body: how many of its parts may be in flight.

The window grows while the client reads as fast as parts arrive, and shrinks when it does not or when a part
fails. Bound: MAX_PARTS parts of a body at once, so one client's body takes at most MAX_PARTS x 240 kB of
memory, plus the socket's send buffer.
"""

from dataclasses import dataclass

INITIAL_PARTS, MAX_PARTS = 2, 6
# Bytes that wait for the client: below the first the window grows, from the second on nothing is requested.
LOW_UNSENT_BYTES, MAX_UNSENT_BYTES = 60_000, 240_000


@dataclass(slots=True)
class Window:
    """State of one body's window."""

    size: int = INITIAL_PARTS
    in_flight: int = 0  # parts requested that have not been delivered
    early_parts: int = 0  # parts that arrived before their turn

    def can_request(self, unsent_bytes: int) -> bool:
        """Return whether one more part may be requested while `unsent_bytes` wait for the client.

        Nothing is requested while MAX_UNSENT_BYTES wait, so a slow client keeps no attempt open.
        """
        return unsent_bytes < MAX_UNSENT_BYTES and self.in_flight + self.early_parts < self.size

    def record_request(self) -> None:
        """Record a part that was requested."""
        self.in_flight += 1

    def record_arrival(self, unsent_bytes: int, early_parts: int, was_starved: bool = True) -> None:
        """Record a part that was delivered, the unsent bytes, and how many parts wait for their turn.

        The window grows only if the body had to wait for the part (`was_starved`): more parts in flight do
        not help a client that reads more slowly than parts arrive.
        """
        self.in_flight -= 1
        self.early_parts = early_parts
        if was_starved and unsent_bytes < LOW_UNSENT_BYTES:
            self.size = min(MAX_PARTS, self.size + 1)
        elif unsent_bytes >= MAX_UNSENT_BYTES:
            self.size = max(1, self.size // 2)

    def record_failure(self) -> None:
        """Record a part that did not arrive, and halve the window to reduce the load on failing servers."""
        self.in_flight -= 1
        self.size = max(1, self.size // 2)
