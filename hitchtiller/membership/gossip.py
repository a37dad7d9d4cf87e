"""Choice of the claims sent with each message: least often sent first, each a limited number of times.

A claim that is new to this gateway is sent SENDS_PER_LOG2_SIZE times the binary logarithm of the fleet's
size, without regard to lost datagrams, and then no longer. Members that missed it get it by a sync request
(see `detector.py`). A newer claim about the same number replaces the older one. Bounds for 200 gateways: 24
sends of each claim and 21 claims a datagram, so the death of half the fleet is 100 claims in five datagrams
for each receiver.
"""

import heapq
import math

SENDS_PER_LOG2_SIZE = 3.0


class Gossip:
    """The changed claims that are still to be sent, with how often each has been sent."""

    def __init__(self, size: int) -> None:
        """Start with nothing to send."""
        self.send_counts: dict[int, int] = {}
        self.max_sends = self.max_sends_for(size)

    @staticmethod
    def max_sends_for(size: int) -> int:
        """Return how often a claim is sent in a fleet of this size."""
        return max(3, math.ceil(SENDS_PER_LOG2_SIZE * math.log2(size + 1)))

    def queue(self, number: int) -> None:
        """Queue the claim about a number to be sent, from a count of 0."""
        self.send_counts[number] = 0

    def next_numbers(self, max_count: int, first: int | None = None) -> list[int]:
        """Return the numbers whose claims go with the next message, always including `first` if given."""
        chosen = heapq.nsmallest(
            max_count - (first is not None), self.send_counts, key=lambda n: (self.send_counts[n], n)
        )
        for number in chosen:
            self.send_counts[number] += 1
            if self.send_counts[number] >= self.max_sends:
                del self.send_counts[number]
        return chosen if first is None or first in chosen else [first, *chosen]
