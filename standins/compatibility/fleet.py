"""A fleet of gateways of both builds, with membership, among stand-in servers."""

import asyncio
from collections.abc import Callable
from typing import Any

from standins.compatibility.builds import Build
from standins.compatibility.checks import MismatchError, Trial, expect
from standins.compatibility.datagram_relay import DatagramRelay
from standins.compatibility.environment import StandInEnvironment, settings
from standins.compatibility.gateway import Gateway

PERIOD_MS = 200.0  # of membership
MEMBERSHIP_FILE = f'membership {{\n  period_ms = {PERIOD_MS:.0f}\n  fleet = "mixed"\n}}\n'
TROUBLE_MARKS = (" ERROR ", " WARNING ", " CRITICAL ", "Traceback")


def fleet_settings(number: int, size: int) -> dict[str, Any]:
    """Return the settings of one gateway of a fleet."""
    changed = settings() | {"my_number": number, "group_size": size}
    changed["limits"] |= {"peers": True}
    return changed


class Fleet:
    """Gateways of both builds, whose datagrams are carried by one relay."""

    def __init__(
        self, trial: Trial, environment: StandInEnvironment, relay: DatagramRelay, builds: dict[int, Build]
    ) -> None:
        """Prepare the gateways; `builds` holds the build of each number."""
        self.trial, self.environment, self.relay, self.builds = trial, environment, relay, builds
        self.running: dict[int, Gateway] = {}
        self.trouble: list[str] = []  # lines of logs that report an error or a warning
        self.dropped: dict[int, int] = {}  # by gateway: membership messages that it could not read

    async def start(self, make_settings: Callable[[int], dict[str, Any]]) -> None:
        """Start all gateways, each with a bus of its own."""
        self.relay.start()
        await asyncio.gather(*(self._start(number, make_settings(number)) for number in self.builds))

    async def _start(self, number: int, own_settings: dict[str, Any]) -> None:
        """Start the gateway with this number."""
        folder = self.trial.new_folder(f"n{number}")
        gateway = self.running[number] = Gateway(self.builds[number], number, folder)
        bus = await self.environment.new_bus()
        own = {"name": f"n{number}", "seed": f"{number + 1:x}", "settings": own_settings}
        config = self.environment.config(bus) | own | self.relay.config(number)
        await gateway.start(self.trial.processes, config, MEMBERSHIP_FILE)

    def numbers(self, build: Build) -> list[int]:
        """Return the numbers that run a build."""
        return [number for number, own_build in self.builds.items() if own_build is build]

    async def wait_for_states(self, wanted: dict[int, str]) -> None:
        """Wait until each running gateway has recorded these states of these numbers."""
        for gateway in self.running.values():
            await self._wait_for_view(gateway, wanted)

    async def _wait_for_view(self, gateway: Gateway, wanted: dict[int, str]) -> None:
        """Wait until one gateway has recorded these states; raise MismatchError with those it has."""
        seen: dict[int, str] = {}

        async def is_wanted() -> bool:
            seen.update(await gateway.members())
            return wanted.items() <= seen.items()

        try:
            await gateway.wait_until("members", is_wanted)
        except MismatchError:
            shown = {number: seen.get(number) for number in wanted}
            expect(f"members in the view of gateway {gateway.number}", wanted, shown)

    async def end(self, number: int) -> None:
        """Drain a gateway by an operator's call, end it, and record the trouble in its log."""
        gateway = self.running[number]
        expect("answer to drain", ["+OK drained"], await gateway.call("drain"))
        expect("answer to ready after it", ["-ERR drained"], await gateway.call("ready"))
        await self.record_dropped()
        del self.running[number]
        expect(f"exit code of {number}", 0, await gateway.terminate())
        self.trouble += [line for line in gateway.log_lines if any(mark in line for mark in TROUBLE_MARKS)]

    async def record_dropped(self) -> None:
        """Record how many membership messages each running gateway has dropped."""
        for number, gateway in self.running.items():
            figures = await gateway.figures()
            expect(f"gateway {number} has sent membership messages", True, figures["members_words_sent"] > 0)
            self.dropped[number] = figures["members_words_dropped"]
