"""Clients of a fleet: a steady stream of requests to each running gateway, with every answer checked.

Clients connect as a load balancer in front of the gateways would have it: to a process that is ready, until
that process announces that it is leaving, is killed, or is suspended (the fleet then closes its clients'
connections, as a load balancer does). Requests that are open when a process is killed get no answer and count
as broken off; every request that a running gateway has accepted must get exactly one answer.
"""

import asyncio
import random
from collections import Counter
from typing import TYPE_CHECKING

from standins.client import StandInClient

if TYPE_CHECKING:
    from standins.fleet import Fleet, Process

MAX_OPEN_REQUESTS, OBJECTS, EFFECT_SHARE = (
    24,
    400,
    0.05,
)  # most open requests on a connection, objects, share of effects


class Load:
    """A constant number of requests per second to each gateway, from `start` to `stop`."""

    def __init__(
        self, fleet: "Fleet", requests_per_s: float, objects: int = OBJECTS, numbers: list[int] | None = None
    ) -> None:
        """Prepare; requests go to all gateways, or to those in `numbers`."""
        self.numbers = numbers if numbers is not None else list(range(fleet.size))
        self.fleet, self.interval_s, self.objects = fleet, 1.0 / requests_per_s, objects
        self.rng = random.Random(fleet.rng.getrandbits(32))
        self.clients: dict[Process, StandInClient] = {}
        self.request_tasks: set[asyncio.Task[None]] = set()
        self.tasks: list[asyncio.Task[None]] = []
        self.served: Counter[int] = Counter()  # by gateway
        self.answered: Counter[int] = Counter()
        self.is_running = False

    def start(self) -> None:
        """Start the requests."""
        self.is_running = True
        self.fleet.gone_listeners.append(self.close_connection)
        self.tasks = [asyncio.create_task(self._stream(n)) for n in self.numbers]

    async def stop(self) -> None:
        """Stop, once all open requests have ended."""
        self.is_running = False
        await asyncio.gather(*self.tasks)
        await asyncio.gather(*self.request_tasks)
        for client in self.clients.values():
            client.close()
        self.fleet.gone_listeners.remove(self.close_connection)

    async def until(self, answers: int, among: list[int] | None = None) -> None:
        """Wait until each gateway (of `among`, if given) has sent this many more answers."""
        numbers = among if among is not None else [n for n in self.numbers if n in self.fleet.running]
        before = dict(self.answered)
        async with asyncio.timeout(60.0):
            while any(self.answered[n] - before.get(n, 0) < answers for n in numbers):
                await asyncio.sleep(0.01)

    def close_connection(self, process: "Process") -> None:
        """Close the clients' connection to a process that no longer answers."""
        if client := self.clients.pop(process, None):
            client.close()

    async def _stream(self, number: int) -> None:
        await asyncio.sleep(self.rng.random() * self.interval_s)
        while self.is_running:
            process = self.fleet.running.get(number)
            if process and process.serving:
                client = self.clients.get(process)
                if client is None or client.needs_new_connection:
                    client = await self._connect(process)
                if client and len(client.pending) < MAX_OPEN_REQUESTS:
                    ask = asyncio.create_task(self._ask(number, client))
                    self.request_tasks.add(ask)
                    ask.add_done_callback(self.request_tasks.discard)
            await asyncio.sleep(self.interval_s)

    async def _connect(self, process: "Process") -> StandInClient | None:
        client = StandInClient(self.fleet.truth, self.fleet.verdicts, random.Random(self.rng.getrandbits(32)))
        try:
            await client.connect(process.port)
        except OSError:
            return None
        self.clients[process] = client
        return client

    async def _ask(self, number: int, client: StandInClient) -> None:
        if self.rng.random() < EFFECT_SHARE:
            key = f"{self.rng.getrandbits(128):032x}"
            answer = await client.effect("charge", self.rng.randrange(self.objects), key)
        else:
            answer = await client.read("files", int(self.objects * self.rng.random() ** 2))
        self.answered[number] += answer is not None
        self.served[number] += answer is not None and answer.code == 0
