"""Checks the requests that the servers of a fleet get, over all gateways together: drains and cold starts.

The checks use only what each bus announced to its gateway and when, and which request reached which server
from which gateway, which the address of the connection's end tells.
"""

from typing import Any

from standins.rules import ColdStarts, Drains
from standins.truth import now_ms

SLACK_MS = 150.0  # for the time on loopback and the delay of this process


class Watch:
    """The checkers for the servers of a fleet."""

    def __init__(self, setup: dict[str, Any], weight: float) -> None:
        """Check by the limits in the gateways' settings."""
        rules = setup["contract"]
        self.drains = Drains(rules["stop_sending_within_ms"] + SLACK_MS)
        self.cold = ColdStarts(
            rules["overload_factor"], rules["tip_after_ms"], rules["start_capacity"], rules["ramp_time_ms"]
        )
        self.gateway_by_address: dict[
            tuple[str, int], int
        ] = {}  # gateway by the address of its relay's connection
        self.announced_start_ms: dict[
            tuple[int, str], float
        ] = {}  # by gateway and server: the announced start
        self.reached: dict[tuple[int, str], int] = {}  # requests by gateway and server

    def told(self, number: int, host: dict[str, Any]) -> None:
        """Record what a bus announced to a gateway about a server."""
        self.drains.heard(number, host["host"], host["health"] == "Ready", now_ms())
        self.announced_start_ms[number, host["host"]] = host["born_ms"]

    def record_request(self, server: str, peer: tuple[str, int], source: str, work_ms: float) -> None:
        """Record a request at a server, and the source that it names."""
        number, now = self.gateway_by_address.get(peer, -1), now_ms()
        self.reached[number, server] = self.reached.get((number, server), 0) + 1
        for name in (server, source) if source else (server,):
            self.drains.sent(number, name, now)
        started = self.cold.started.get(server, (0.0, 0.0))[0]
        self.cold.reach(
            server, work_ms, now, self.announced_start_ms.get((number, server), 0.0) >= int(started)
        )

    @property
    def broken(self) -> list[str]:
        """Return the violations that were found."""
        return self.drains.broken + self.cold.broken
