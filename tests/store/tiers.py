"""Shared helper of the store's tests: an engine with tiers, on a simulated clock and back end."""

import random
from dataclasses import replace
from typing import Any

from conftest import BASE, FLEET
from test_engine import ManualClock, RecordingBackEnd

from hitchtiller import interface as api
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import Answer, Attempt, AttemptResult, ClientRequest, Exchange
from hitchtiller.news import ListedServer, PurgeNotice, Topology
from hitchtiller.store import recover
from hitchtiller.store.disk import Disk, DiskOptions
from hitchtiller.store.files import Files
from hitchtiller.store.format import Part
from hitchtiller.store.jobs import InlineJobs
from hitchtiller.store.memory import Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.suspect import Proof, SavedProof
from hitchtiller.store.tier import Tier
from standins.files import SimFiles

CLASSES = BASE.classes | {"brief": api.ClassSettings("brief", 300.0, 3000.0, fresh_ms=1000.0, grace_ms=500.0)}
START = 1_000_000.0
SMALL = DiskOptions(budget=400_000, segment_bytes=32_768, queue_bytes=1 << 20)


class Tiers:
    """One gateway's engine and tiers; time passes only when the test moves it."""

    def __init__(
        self, memory: int = 1_000_000, link: float = 0.0, caught_up: bool = True, **changes: Any
    ) -> None:
        self.clock, self.back = ManualClock(), RecordingBackEnd()
        self.clock.now = START
        settings = replace(BASE, classes=CLASSES, siblings="none", purge_done_ms=6000.0, **changes)
        self.engine = Engine(Router(settings, 7), self.clock, self.back, lambda peer, note: None)
        members = tuple(ListedServer(m, ("127.0.0.1", 1)) for m in FLEET)
        self.engine.on_bus_event(Topology(members, whole=True))
        self.monotonic_drift_ms = 0.0  # of the monotonic clock against the wall clock
        self.proof = Proof(SavedProof(), 6000.0, 500.0)
        self.tier = Tier(
            self.engine,
            Memory(memory),
            self.proof,
            Pace(link, link),
            monotonic_clock=lambda: self.clock.now + self.monotonic_drift_ms,
        )
        self.answers: dict[int, Answer] = {}
        self.request_count = 0
        if caught_up:
            self.tier.on_caught_up()

    def ask(self, key: int = 42, name: str = "small", lifetime_ms: float = 2900.0, **more: Any) -> Exchange:
        """Send a request to the engine; its answer is stored under its number."""
        self.request_count += 1
        request = ClientRequest(
            f"{self.request_count:016x}",
            name,
            f"{key:016x}",
            key,
            self.clock.now + lifetime_ms,
            size_kb=50.0,
            **more,
        )
        number = self.request_count

        def deliver(answer: Answer) -> None:
            assert number not in self.answers, "a second answer"
            self.answers[number] = answer

        return self.engine.accept(request, deliver)

    def sent(self) -> list[Attempt]:
        """Return the attempts that were sent to servers and have not ended."""
        return [attempt for attempt in self.back.sent if not attempt.ended]

    def serve(
        self, attempt: Attempt, body: bytes = b"x" * 100, tag: str = "t1", since: float | None = None
    ) -> None:
        """End an attempt with a body."""
        since_ms = int(self.clock.now if since is None else since)
        attempt.written = True
        attempt.end(AttemptResult("done", body, False, tag, since_ms=since_ms))

    def keep(self, attempt: Attempt, tag: str, since: float) -> None:
        """End an attempt with a KEEP answer."""
        attempt.written = True
        attempt.end(AttemptResult("done", b"", True, tag, since_ms=int(since)))

    def fetch(self, key: int = 42, name: str = "small", **how: Any) -> None:
        """Request one object and serve it, so that it is stored."""
        self.ask(key, name)
        self.serve(self.sent()[-1], **how)

    def purge(self, key: int | None = 42, group: int = -1, at: float | None = None) -> None:
        """Deliver a purge to the engine."""
        self.engine.on_bus_event(PurgeNotice(key, group, self.clock.now if at is None else at))

    def wait(self, duration_ms: float) -> None:
        """Let time pass."""
        self.clock.advance_to(self.clock.now + duration_ms)

    def step(self, step_ms: float) -> None:
        """Let the wall clock step but not the monotonic clock."""
        self.clock.now += step_ms
        self.monotonic_drift_ms -= step_ms

    def bus_goes(self) -> None:
        """Let the event bus be away from now on."""
        known_ms = self.clock.now
        self.engine.unheard_ms = lambda: self.clock.now - known_ms

    def bus_comes_back(self) -> None:
        """Let the event bus be heard again."""
        self.engine.unheard_ms = float
        self.tier.on_caught_up()

    def disk(self, files: Files | None = None, options: DiskOptions = SMALL) -> Disk:
        """Attach a disk tier with a folder."""
        files = files or SimFiles(random.Random(1))
        disk = Disk(files, InlineJobs(), options, recover.load(files), self.proof)
        self.tier.attach(disk)
        return disk


def part(key: int = 1, number: int = 0, since: int = 1000, epoch: int = 1, **more: Any) -> Part:
    """Create a part."""
    fields = {"group": 3, "class_name": "small", "tag": "t1"} | more
    return Part(key, number, since_ms=since, epoch=epoch, **fields)
