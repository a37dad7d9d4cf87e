"""The gateway's own link as answers from its copies use it: who goes when, and whether waiting is worth it.

Bound: constant space and time. An answer begins once the link is free of those before it, in the order of
answers; one transfer takes at least its bytes at `flow`. The figures are the configuration's flow_bytes_per_s
and link_bytes_per_s.
"""

import math


class Pace:
    """A link as a queue of transfers; bytes a second, 0 for no bound."""

    def __init__(self, flow: float, link: float) -> None:
        """Take the configuration's figures."""
        self.flow, self.link = flow or math.inf, link or math.inf
        self.free_ms = 0.0

    def transfer_ms(self, size: int) -> float:
        """Give how long a transfer takes by itself."""
        return size * 1000.0 / min(self.flow, self.link)

    def take(self, size: int, now_ms: float) -> float:
        """Take the link for a transfer; gives when it begins."""
        begin = max(now_ms, self.free_ms)
        self.free_ms = begin + size * 1000.0 / self.link
        return begin

    def fits(self, size: int, now_ms: float, until_ms: float) -> bool:
        """Tell whether the transfer would be over in time."""
        return max(now_ms, self.free_ms) + self.transfer_ms(size) <= until_ms
