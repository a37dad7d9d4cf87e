"""Distinguishes dead members, a network partition and an isolated gateway, as seen from one gateway.

| state | condition | homes: members | claims of others | what clients are told |
| --- | --- | --- | --- | --- |
| WHOLE | no member is missing | in service | believed | nothing |
| DEATHS | some are missing; caches and bus are heard | in service | believed | nothing |
| CUT | CUT_SHARE of the others, at least 2, lost within CUT_WINDOW_MS | in service | sides differ | nothing |
| ALONE | no member is heard, but caches or the bus are | this gateway | none arrive | nothing |
| DEAF | no member, no cache and no bus is heard | unchanged | not passed on | to come back later |

No state changes a share of a fleet-wide limit (see `shares.py`), so a wrong state lowers the value of the
service but never breaks a limit. A more severe state is entered at once, a milder one only after its
condition has held for SETTLE_MS. This prevents a flapping member, or a partition that heals and opens
again, from moving entries back and forth. Operators see the state as `standing`.
"""

from enum import IntEnum

CUT_SHARE, CUT_WINDOW_MS, SETTLE_MS = 0.3, 10_000.0, 3_000.0


class Connectivity(IntEnum):
    """State of this gateway's connection to the rest of the fleet, ordered by severity."""

    WHOLE = 0
    DEATHS = 1
    CUT = 2
    ALONE = 3
    DEAF = 4


class PartitionMonitor:
    """Derives the connectivity from what the gateway hears, with hysteresis."""

    def __init__(self) -> None:
        """Start as WHOLE."""
        self.connectivity = Connectivity.WHOLE
        self.milder_since_ms: float | None = None  # start of the time for which a milder condition has held
        self.missing_since_ms: dict[int, float] = {}  # by member, for those missing now

    def assess(
        self, now_ms: float, others: int, missing: set[int], heard: bool, caches: bool, bus: bool
    ) -> Connectivity:
        """Update and return the state.

        `others` is the number of other members and `missing` those believed dead; `heard`, `caches` and `bus`
        state whether any other member, any cache and the event bus were heard lately.
        """
        self.missing_since_ms = {number: self.missing_since_ms.get(number, now_ms) for number in missing}
        recently_missing = sum(
            now_ms - since_ms <= CUT_WINDOW_MS for since_ms in self.missing_since_ms.values()
        )
        observed = Connectivity.WHOLE
        if others and not heard:
            observed = Connectivity.ALONE if caches or bus else Connectivity.DEAF
        elif others and recently_missing >= max(2.0, CUT_SHARE * others):
            observed = Connectivity.CUT
        elif missing:
            observed = Connectivity.DEATHS
        if observed >= self.connectivity:
            self.connectivity, self.milder_since_ms = observed, None
        elif self.milder_since_ms is None:
            self.milder_since_ms = now_ms
        elif now_ms - self.milder_since_ms >= SETTLE_MS:
            self.connectivity, self.milder_since_ms = observed, None
        return self.connectivity
