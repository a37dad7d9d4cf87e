"""Are they dead, are they cut off, or am I? What a view looks like from inside, with hysteresis.

| state | sign | homes | what others claim | clients |
| --- | --- | --- | --- | --- |
| WHOLE | hardly anybody is missing | in service | believed | nothing |
| DEATHS | some are missing; caches and bus speak | in service | believed | nothing |
| CUT | CUT_AT of the others or more went within CUT_MS | in service | its sides differ | nothing |
| ALONE | nobody is heard, caches or the bus are | myself | nothing comes | nothing |
| DEAF | nobody, no cache and no bus is heard | as before | not passed on | come back later |

No state changes a rule's share (see `shares.py`), so a wrong guess costs worth and never a rule. A graver
state is entered at once, a milder one only after it has looked so for CALM_MS, so that a flapping member or a
cut that heals and opens again moves nothing back and forth.
"""

from enum import IntEnum

CUT_SHARE, CUT_WINDOW_MS, SETTLE_MS = 0.3, 10_000.0, 3_000.0


class Connectivity(IntEnum):
    """How I stand to the others, by gravity."""

    WHOLE = 0
    DEATHS = 1
    CUT = 2
    ALONE = 3
    DEAF = 4


class PartitionMonitor:
    """Names the standing from what is seen."""

    def __init__(self) -> None:
        """Begin whole."""
        self.connectivity = Connectivity.WHOLE
        self.milder_since_ms: float | None = None  # since when it looks milder
        self.missing_since_ms: dict[int, float] = {}  # others, since when they are missing

    def assess(
        self, now_ms: float, others: int, missing: set[int], heard: bool, caches: bool, bus: bool
    ) -> Connectivity:
        """Judge: of `others` these are missing; were any other, a cache, the bus heard lately?"""
        self.missing_since_ms = {number: self.missing_since_ms.get(number, now_ms) for number in missing}
        lately = sum(now_ms - since <= CUT_WINDOW_MS for since in self.missing_since_ms.values())
        seems = Connectivity.WHOLE
        if others and not heard:
            seems = Connectivity.ALONE if caches or bus else Connectivity.DEAF
        elif others and lately >= max(2.0, CUT_SHARE * others):
            seems = Connectivity.CUT
        elif missing:
            seems = Connectivity.DEATHS
        if seems >= self.connectivity:
            self.connectivity, self.milder_since_ms = seems, None
        elif self.milder_since_ms is None:
            self.milder_since_ms = now_ms
        elif now_ms - self.milder_since_ms >= SETTLE_MS:
            self.connectivity, self.milder_since_ms = seems, None
        return self.connectivity
