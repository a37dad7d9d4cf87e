"""The gateway's own link, as used by answers from copies: when each is sent, and whether it is in time.

Takes constant space and time. An answer begins when the link is free of the answers before it. A transfer
takes at least the time of its bytes at the bandwidth of one flow. The bandwidths are flow_bytes_per_s and
link_bytes_per_s of the configuration.
"""

import math


class Pace:
    """A link as a queue of transfers; bandwidths in bytes per second, 0 for no limit."""

    def __init__(self, flow_bytes_per_s: float, link_bytes_per_s: float) -> None:
        """Set the bandwidths of one flow and of the link."""
        self.flow_bytes_per_s, self.link_bytes_per_s = (
            flow_bytes_per_s or math.inf,
            link_bytes_per_s or math.inf,
        )
        self.free_ms = 0.0

    def transfer_ms(self, size: int) -> float:
        """Return the duration of a transfer on an idle link."""
        return size * 1000.0 / min(self.flow_bytes_per_s, self.link_bytes_per_s)

    def reserve(self, size: int, now_ms: float) -> float:
        """Reserve the link for a transfer; return when it begins."""
        begin_ms = max(now_ms, self.free_ms)
        self.free_ms = begin_ms + size * 1000.0 / self.link_bytes_per_s
        return begin_ms

    def is_in_time(self, size: int, now_ms: float, deadline_ms: float) -> bool:
        """Return whether a transfer would be complete in time."""
        return max(now_ms, self.free_ms) + self.transfer_ms(size) <= deadline_ms
