"""Limits the fills that a source is asked for: fewer and smaller ones while fills miss their aim.

A purge of many groups, or the loss of one of two zones, makes all gateways ask for more fills than the
remaining servers can deliver in time. All of these fills then share the links, and almost none completes in
time: the fleet delivers a tenth of what it could, for as long as clients retry. No gateway can count the
fills of the others, but each sees its own miss their aim. Each gateway therefore keeps, for each source, the
size of the largest fill that it always asks for, as a share of the mean sending time of the class that takes
longest. The limit is reduced by a fifth for each fill that missed its aim or was refused, and raised by a
twentieth for each prompt one. A larger fill is asked for with a probability of limit / size, so that a
frequently requested object gets through soon, whatever its size. A smaller one is always asked for, since a
small answer is worth as much as a large one. In place of a fill that is not asked for, the cache alone gets a
look-up, and serves what it holds. While a source is limited, fills that are asked for begin with a look-up
too: the source's prompt answers then count only fills, and not hits, which are most of the answers and always
prompt.

Bounds. One number for each listed server. The work asked of a source in a second is at most the gateway's
requests in that second times the limit. All gateways reduce their limits alike, since they see the same
congestion, so with 3, 40 or 200 of them the source settles where two fills in ten miss their aim. At
MIN_SHARE of the mean a gateway still asks for all small fills, which is how it learns that congestion has
ended.
"""

MAX_SHARE = 1.5  # of the mean: no limit. At 3.0 the first reductions held almost no fills back
MIN_SHARE = 0.2  # of the mean; small fills show the end of congestion, which took 26 s at 0.02
SHRINK_FACTOR, GROWTH_FACTOR = 0.8, 1.05  # for each fill that missed its aim, and for each prompt one


class FillLimit:
    """The fill limit for one source; `share` is the limit over the mean sending time."""

    __slots__ = ("share",)

    def __init__(self) -> None:
        """Start without a limit, since most sources are never congested."""
        self.share = MAX_SHARE

    @property
    def unlimited(self) -> bool:
        """Return whether fills of any size may be asked for, so that a fill needs no look-up first."""
        return self.share >= MAX_SHARE

    def admits(self, work_ms: float, mean_ms: float, draw: float) -> bool:
        """Return whether a fill that takes `work_ms` to send may be asked for; `draw` is random in [0, 1)."""
        return self.unlimited or draw * work_ms < self.share * mean_ms

    def shrink(self) -> None:
        """Reduce the limit after a fill that missed its aim or was refused."""
        self.share = max(MIN_SHARE, self.share * SHRINK_FACTOR)

    def grow(self) -> None:
        """Raise the limit after a fill that was served within its aim."""
        self.share = min(MAX_SHARE, self.share * GROWTH_FACTOR)
