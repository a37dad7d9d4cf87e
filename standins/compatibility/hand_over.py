"""Checks of the hand-over of a gateway to a process of the other build (B3)."""

import asyncio
import socket
from dataclasses import dataclass
from pathlib import Path

from standins.client import Answered, StandInClient
from standins.compatibility.builds import Build
from standins.compatibility.checks import Trial, expect
from standins.compatibility.environment import StandInEnvironment, disconnect
from standins.compatibility.gateway import LOOPBACK, Gateway
from standins.compatibility.stored_data import REQUESTS_EACH, store_file, wait_for_store

SEED = 13
WARM_KEYS, LATER_KEYS = range(1, 11), range(21, 31)  # requested before and after the hand-over
SLOW_KEYS = range(5_000, 5_006)  # requested before it and answered after it
UNDER_WAY_S = 0.5  # from the hand-over until servers answer the requests under way
DEADLINE_MS = 20_000.0  # of requests that are under way while the second process starts


class Gate:
    """Delays the servers' answers for some objects until it is opened."""

    def __init__(self, keys: range) -> None:
        """Prepare a closed gate for the objects in `keys`."""
        self.keys, self.opened, self.waiting = keys, asyncio.Event(), set[int]()

    async def hold(self, fields: dict[str, str]) -> None:
        """Wait at a server for the opening if the request is for one of the objects."""
        if (key := int(fields["name"], 16)) in self.keys:
            self.waiting.add(key)
            await self.opened.wait()


@dataclass(slots=True)
class SlowRequests:
    """Requests of one client that are under way during the hand-over."""

    client: StandInClient
    tasks: list[asyncio.Task[Answered | None]]

    async def expect_answered(self) -> None:
        """Check that each request is answered without error, and disconnect the client."""
        answers = await asyncio.gather(*self.tasks)
        codes = [answer.code if answer else None for answer in answers]
        expect("codes of the requests under way", [0] * len(SLOW_KEYS), codes)
        await disconnect(self.client)


@dataclass(frozen=True, slots=True)
class HandOver:
    """One hand-over: the environment, the platform's listening socket, and the gateway's folder."""

    trial: Trial
    environment: StandInEnvironment
    listener: socket.socket
    folder: Path
    gate: Gate

    async def start_process(self, build: Build) -> Gateway:
        """Start a process on the listening socket, beside one that may already run there."""
        bus = self.environment.bus
        config = self.environment.config(bus, is_second=bool(bus.known))
        config["settings"]["classes"][0]["deadline_ms"] = DEADLINE_MS
        gateway = Gateway(build, 0, self.folder)
        operators_file = store_file(self.folder / "store")
        await gateway.start(self.trial.processes, config, operators_file, self.listener)
        return gateway

    async def start_first(self, build: Build) -> Gateway:
        """Start the first process and let it store objects."""
        gateway = await self.start_process(build)
        await wait_for_store(gateway, self.folder / "store")
        for _ in range(REQUESTS_EACH):
            await self.environment.request(gateway, WARM_KEYS)
        return gateway

    async def begin_slow_requests(self, gateway: Gateway) -> SlowRequests:
        """Send requests whose answers are delayed, and wait until all have reached a server."""
        client = await self.environment.connect_client(gateway)
        tasks = [asyncio.create_task(client.read("files", key, wait_ms=DEADLINE_MS)) for key in SLOW_KEYS]

        async def all_wait() -> bool:
            return self.gate.waiting == set(SLOW_KEYS)

        await gateway.wait_until("requests are under way", all_wait)
        return SlowRequests(client, tasks)

    async def expect_new_clients_served(self, gateway: Gateway) -> None:
        """Check that the second process answers the requests of new clients."""
        served = (await gateway.figures())["served.files"]
        await self.environment.request(gateway, LATER_KEYS)
        served_after = (await gateway.figures())["served.files"]
        expect("answers by the new process", served + len(LATER_KEYS), served_after)

    async def expect_warm_store(self, gateway: Gateway) -> int:
        """Check that the second process serves what the first one stored; return the hits on disk."""
        await gateway.wait_for_figure("store.disk.parts", len(WARM_KEYS))
        hits_before = (await gateway.figures())["store.hits.disk"]
        await self.environment.request(gateway, WARM_KEYS)
        expect("answers that break a rule", [], self.environment.verdicts.wrong)
        hits = (await gateway.figures())["store.hits.disk"] - hits_before
        expect("hits on disk of what the process before kept", len(WARM_KEYS), hits)
        return hits


async def is_handed_over(gateway: Gateway) -> bool:
    """Return whether a gateway has left its clients to the next process."""
    (answer,) = await gateway.call("ready")
    return answer.startswith("-ERR")


async def expect_orderly_end(gateway: Gateway) -> None:
    """Check that the first process ends by itself, without an unhandled exception."""
    expect("exit code of the process before", 0, await gateway.wait_for_end())
    expect("lines of trouble", [], [line for line in gateway.log_lines if "Traceback" in line])


async def expect_hand_over(hand_over: HandOver, before: Build, after: Build) -> str:
    """Check that a process of one build takes over from one of the other while requests are under way.

    Return the counts in words.
    """
    for server in hand_over.environment.servers:
        server.hook = hand_over.gate.hold
    first = await hand_over.start_first(before)
    slow_requests = await hand_over.begin_slow_requests(first)
    second = await hand_over.start_process(after)
    await first.wait_until("it has handed over", lambda: is_handed_over(first))
    await hand_over.expect_new_clients_served(second)
    await asyncio.sleep(UNDER_WAY_S)
    hand_over.gate.opened.set()
    await slow_requests.expect_answered()
    await expect_orderly_end(first)
    hits = await hand_over.expect_warm_store(second)
    expect("exit code of the process after", 0, await second.terminate())
    return f"{len(SLOW_KEYS)} requests under way answered, the new process serves, {hits} hits on disk"


async def check_hand_over_between_builds(trial: Trial) -> None:
    """Check an upgrade to the newer build, and a return to the older one."""
    for before, after in trial.directions():
        async with trial.report.check(f"B3 hand-over, {before.label} to {after.label}") as details:
            environment = StandInEnvironment(SEED)
            await environment.start()
            with socket.create_server((LOOPBACK, 0)) as listener:
                folder = trial.new_folder("hand-over")
                hand_over = HandOver(trial, environment, listener, folder, Gate(SLOW_KEYS))
                details.append(await expect_hand_over(hand_over, before, after))
        await trial.processes.end_all()
