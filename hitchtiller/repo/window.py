"""How many parts of a body are under way: grown while the client drains, shrunk when it does not.

Bound: MOST parts of a body at once, so that MOST x 240 kB is the memory of one client's body, plus what its
socket takes.
"""

from dataclasses import dataclass

INITIAL_PARTS, MAX_PARTS = 2, 6
LOW_UNSENT_BYTES, MAX_UNSENT_BYTES = (
    60_000,
    240_000,
)  # bytes that wait for the client: below, the window grows; above, nothing is asked


@dataclass(slots=True)
class Window:
    """One body's window."""

    size: int = INITIAL_PARTS
    in_flight: int = 0  # parts under way
    early_parts: int = 0  # parts that came before their turn

    def can_request(self, unsent_bytes: int) -> bool:
        """Tell whether one more part may be asked for, with so many bytes waiting for the client.

        A client that reads slowly holds no attempt open: nothing is asked while HIGH bytes wait for it.
        """
        return unsent_bytes < MAX_UNSENT_BYTES and self.in_flight + self.early_parts < self.size

    def record_request(self) -> None:
        """Note a part that was asked for."""
        self.in_flight += 1

    def record_arrival(self, unsent_bytes: int, early_parts: int, was_starved: bool = True) -> None:
        """Note a part that came, with what waits for the client and how many parts came early.

        More at once help only where the body had to wait for the part: a client that is slower needs none.
        """
        self.in_flight -= 1
        self.early_parts = early_parts
        if was_starved and unsent_bytes < LOW_UNSENT_BYTES:
            self.size = min(MAX_PARTS, self.size + 1)
        elif unsent_bytes >= MAX_UNSENT_BYTES:
            self.size = max(1, self.size // 2)

    def record_failure(self) -> None:
        """Note a part that did not come: where servers fail, fewer at a time."""
        self.in_flight -= 1
        self.size = max(1, self.size // 2)
