"""How large a fill a source is asked for now: fewer and smaller ones while fills miss their aim.

A purge of many groups, or the loss of one of two districts, makes all gateways ask for more fills than
the rest can give in time. All of them then share the links, and nearly none ends in time: the fleet
gives a tenth of what it could, for as long as clients come again. No gateway can count the others'
fills, but each sees its own miss their aim. So each keeps, for each source, the largest fill that it
always asks for, as a share of the mean sending time of the class that takes longest: a fifth less for
each fill that missed its aim or was turned away, a twentieth more for each that was prompt. A larger fill is
asked for with the chance limit over size, so that an often-wanted object gets through soon, whatever its
size; a smaller one always, since a small answer is worth as much as a large one. What is not asked for
is a look at the cache alone, which serves what it holds. While a source is limited, what may be filled is
looked up first too: the answers then tell of fills, and not of hits, which are most and always prompt.

Bounds. One number for each listed server. The work asked of a source in a second is at most the
gateway's requests in it times the limit; all gateways shrink alike, since they see the same jam, so over
3, 40 or 200 of them the source settles where two fills in ten miss their aim. At MIN_SHARE of the mean a
gateway still asks for all small fills, which is how it learns that a jam has ended.
"""

MAX_SHARE = 1.5  # times the mean; from here on any size goes. At 3.0 the first cuts held next to nothing back
MIN_SHARE = 0.2  # of the mean: what keeps asking whether the jam has ended. At 0.02 that took 26 s to be seen
SHRINK, GROW = 0.8, 1.05  # at each fill that missed its aim, and at each prompt one


class FillLimit:
    """The limit for one source; `share` is that of the mean sending time."""

    __slots__ = ("share",)

    def __init__(self) -> None:
        """Start with no limit: most sources never jam."""
        self.share = MAX_SHARE

    @property
    def unlimited(self) -> bool:
        """Tell whether fills of any size go, so that nothing has to be known of one beforehand."""
        return self.share >= MAX_SHARE

    def admits(self, work_ms: float, mean_ms: float, draw: float) -> bool:
        """Tell whether a fill that takes `work_ms` to send may be asked for; `draw` is from [0, 1)."""
        return self.unlimited or draw * work_ms < self.share * mean_ms

    def shrink(self) -> None:
        """Hear of a fill that missed its aim, or was turned away."""
        self.share = max(MIN_SHARE, self.share * SHRINK)

    def grow(self) -> None:
        """Hear of a fill that was served within its aim."""
        self.share = min(MAX_SHARE, self.share * GROW)
