"""What is told along with each word: the claims told least often first, each a bounded number of times.

A claim that is new here is told TIMES times the logarithm of the fleet's size, whatever is lost; then it
rests. What gossip lost is mended by pages (see `detector.py`). A newer claim on the same number takes the
place of the older. Bounds over 200 gateways: 24 times for each claim, 21 claims a datagram, so a kill of half
the fleet is 100 claims in five datagrams a neighbour.
"""

import heapq
import math

SENDS_PER_LOG2_SIZE = 3.0


class Gossip:
    """How often each changed claim has been told."""

    def __init__(self, size: int) -> None:
        """Start with nothing to tell."""
        self.told: dict[int, int] = {}
        self.max_sends = self.max_sends_for(size)

    @staticmethod
    def max_sends_for(size: int) -> int:
        """Give how often a claim is told in a fleet of this size."""
        return max(3, math.ceil(SENDS_PER_LOG2_SIZE * math.log2(size + 1)))

    def queue(self, number: int) -> None:
        """Have the claim on a number told anew."""
        self.told[number] = 0

    def next_numbers(self, max_count: int, first: int | None = None) -> list[int]:
        """Give the numbers whose claims go with the next word; `first` goes in any case."""
        order = heapq.nsmallest(max_count - (first is not None), self.told, key=lambda n: (self.told[n], n))
        for number in order:
            self.told[number] += 1
            if self.told[number] >= self.max_sends:
                del self.told[number]
        return order if first is None or first in order else [first, *order]
