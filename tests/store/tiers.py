"""The shared helper of the store's tests: an engine with tiers, a clock and a back of the test's own."""

import random
from dataclasses import replace
from typing import Any

from conftest import BASE, FLEET
from test_engine import Back, Later

from hitchtiller import interface as api
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.exchange import Answer, Attempt, AttemptResult, ClientRequest, Exchange
from hitchtiller.news import ListedServer, PurgeNotice, Topology
from hitchtiller.store import recover
from hitchtiller.store.disk import Disk, Options
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
SMALL = Options(budget=400_000, segment_bytes=32_768, queue_bytes=1 << 20)


class Tiers:
    """One gateway's engine and tiers; time stands still until it is moved."""

    def __init__(
        self, memory: int = 1_000_000, link: float = 0.0, heard: bool = True, **changes: Any
    ) -> None:
        self.clock, self.back = Later(), Back()
        self.clock.now = START
        settings = replace(BASE, classes=CLASSES, siblings="none", purge_done_ms=6000.0, **changes)
        self.engine = Engine(Router(settings, 7), self.clock, self.back, lambda peer, note: None)
        members = tuple(ListedServer(m, ("127.0.0.1", 1)) for m in FLEET)
        self.engine.news(Topology(members, whole=True))
        self.drift = 0.0  # by which the steady clock has left the other
        self.proof = Proof(SavedProof(), 6000.0, 500.0)
        self.tier = Tier(
            self.engine,
            Memory(memory),
            self.proof,
            Pace(link, link),
            steady=lambda: self.clock.now + self.drift,
        )
        self.answers: dict[int, Answer] = {}
        self.ids = 0
        if heard:
            self.tier.on_caught_up()

    def ask(self, key: int = 42, name: str = "small", life: float = 2900.0, **more: Any) -> Exchange:
        """Take a request; its answer will be found under its number."""
        self.ids += 1
        ask = ClientRequest(
            f"{self.ids:016x}", name, f"{key:016x}", key, self.clock.now + life, size_kb=50.0, **more
        )
        number = self.ids

        def deliver(answer: Answer) -> None:
            assert number not in self.answers, "a second answer"
            self.answers[number] = answer

        return self.engine.take(ask, deliver)

    def sent(self) -> list[Attempt]:
        """Give the attempts that went to servers and are still out."""
        return [attempt for attempt in self.back.sent if not attempt.ended]

    def serve(
        self, attempt: Attempt, body: bytes = b"x" * 100, tag: str = "t1", since: float | None = None
    ) -> None:
        """End an attempt with bytes."""
        given = int(self.clock.now if since is None else since)
        attempt.written = True
        attempt.end(AttemptResult("done", body, False, tag, since_ms=given))

    def keep(self, attempt: Attempt, tag: str, since: float) -> None:
        """End an attempt with KEEP."""
        attempt.written = True
        attempt.end(AttemptResult("done", b"", True, tag, since_ms=int(since)))

    def fetch(self, key: int = 42, name: str = "small", **how: Any) -> None:
        """Have one object kept, by way of a server."""
        self.ask(key, name)
        self.serve(self.sent()[-1], **how)

    def purge(self, key: int | None = 42, group: int = -1, at: float | None = None) -> None:
        """Tell of a purge."""
        self.engine.news(PurgeNotice(key, group, self.clock.now if at is None else at))

    def wait(self, ms: float) -> None:
        """Let time pass."""
        self.clock.move(self.clock.now + ms)

    def step(self, ms: float) -> None:
        """Let the wall clock step, which the steady clock does not follow."""
        self.clock.now += ms
        self.drift -= ms

    def disk(self, files: Files | None = None, options: Options = SMALL) -> Disk:
        """Attach a folder."""
        files = files or SimFiles(random.Random(1))
        disk = Disk(files, InlineJobs(), options, recover.load(files), self.proof)
        self.tier.attach(disk)
        return disk


def part(key: int = 1, number: int = 0, since: int = 1000, epoch: int = 1, **more: Any) -> Part:
    """Make a part's description."""
    fields = {"group": 3, "class_name": "small", "tag": "t1"} | more
    return Part(key, number, since_ms=since, epoch=epoch, **fields)
