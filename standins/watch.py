"""What the servers of a fleet are asked, judged over all gateways together: drains and cold starts.

Knows only what a bus told which gateway and when, and which request reached which server from whom, by the
connection's end. Times are this machine's; `SLACK_MS` is the loopback's way and this process's own lag.
"""

from typing import Any

from standins.rules import ColdStarts, Drains
from standins.truth import now_ms

SLACK_MS = 150.0


class Watch:
    """The judges of a fleet's servers."""

    def __init__(self, setup: dict[str, Any], weight: float) -> None:
        """Judge by the settings that the gateways have."""
        rules = setup["contract"]
        self.drains = Drains(rules["stop_sending_within_ms"] + SLACK_MS)
        self.cold = ColdStarts(
            rules["overload_factor"], rules["tip_after_ms"], rules["start_capacity"], rules["ramp_time_ms"]
        )
        self.ends: dict[tuple[str, int], int] = {}  # which gateway a connection is, by its far end
        self.born: dict[tuple[int, str], float] = {}  # the start that a gateway was told of
        self.reached: dict[tuple[int, str], int] = {}  # requests by gateway and server

    def told(self, number: int, host: dict[str, Any]) -> None:
        """Hear what a bus told a gateway of a server."""
        self.drains.heard(number, host["host"], host["health"] == "Ready", now_ms())
        self.born[number, host["host"]] = host["born_ms"]

    def asked(self, server: str, peer: tuple[str, int], source: str, work_ms: float) -> None:
        """Hear of a request at a server, and of the source that it names."""
        number, now = self.ends.get(peer, -1), now_ms()
        self.reached[number, server] = self.reached.get((number, server), 0) + 1
        for name in (server, source) if source else (server,):
            self.drains.sent(number, name, now)
        started = self.cold.started.get(server, (0.0, 0.0))[0]
        self.cold.reach(server, work_ms, now, self.born.get((number, server), 0.0) >= int(started))

    @property
    def broken(self) -> list[str]:
        """Give the rules that were broken."""
        return self.drains.broken + self.cold.broken
