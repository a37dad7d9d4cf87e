"""Many hollow gateways on one virtual clock and network, with faults between them.

Gateways share nothing but the clock and the network: notes between them are delayed, lost, repeated or cut;
processes are killed, started, stopped and let go on. Servers are only times: a look-up misses, a fill ends
after its time. A fill at the origin runs to its end whatever becomes of the gateway that asked for it, and
the peak of those at once is kept; all is drawn from one seed.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack
from standins.scale.gateway import HollowGateway
from standins.scale.plan import Plan

UDP_HEAD = 28  # bytes of IP and UDP heads
DELAY_MS = (2.5, 19.0)  # of a note between gateways, as the operators measured it
WAY_MS = 3.0  # to a server and back
FILL_MS = (50.0, 400.0)  # of a fill at the origin
STUCK_SHARE = 0.05  # of fills that go on until their time-out


@dataclass(slots=True)
class Wire:
    """What goes wrong between gateways."""

    loss: float = 0.0
    repeat: float = 0.0
    cut: Callable[[int, int], bool] = field(default=lambda sender, receiver: False)


class HollowFleet:
    """Gateways by number; only those that are started run."""

    def __init__(self, plan: Plan, seed: int, members: Callable[[int], tuple[api.Member, ...]]) -> None:
        """Prepare; `members` gives the list that a gateway of a number is told."""
        self.plan, self.seed, self.members, self.rng = plan, seed, members, Random(seed)
        self.now, self.wire = 1_000_000.0, Wire()
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.order, self.ids = count(), count(1)
        self.running: dict[int, HollowGateway] = {}
        self.stopped: dict[int, list[api.Event]] = {}  # what waits for a stopped process
        self.origin_fills = self.origin_peak = self.origin_done = 0
        self.origin_ms, self.origin_at = 0.0, self.now  # of all fills together, counted up to then
        self.answers: Counter[str] = Counter()
        self.notes: Counter[str] = Counter()  # datagrams by kind
        self.note_bytes = 0
        self.origin = plan.origin().server

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Call at a time."""
        heapq.heappush(self.calls, (when_ms, next(self.order), call))

    def run(self, until_ms: float) -> None:
        """Let time pass until then."""
        while self.calls and self.calls[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = until_ms

    # Processes

    def start(self, number: int) -> HollowGateway:
        """Start a process; what an earlier one of this number knew is gone."""
        settings = self.plan.settings(number)
        gateway = self.running[number] = HollowGateway(settings, self.seed * 100_000 + number)
        self.stopped.pop(number, None)
        self.give(gateway, api.Members(self.members(number), whole=True))
        return gateway

    def kill(self, number: int) -> None:
        """End a process without a word."""
        del self.running[number]
        self.stopped.pop(number, None)

    def stop(self, number: int) -> None:
        """Stop a process where it stands."""
        self.stopped[number] = []

    def resume_process(self, number: int) -> None:
        """Let a stopped process go on; what came meanwhile is handled first."""
        gateway = self.running[number]
        for event in self.stopped.pop(number):
            self.give(gateway, event)

    # Events and actions

    def give(self, gateway: HollowGateway, event: api.Event) -> None:
        """Hand an event to a process that still runs and carry its actions out."""
        if self.running.get(gateway.number) is not gateway:
            return
        if gateway.number in self.stopped:
            self.stopped[gateway.number].append(event)
            return
        for action in gateway.handle(event, self.now):
            self.act(gateway, action)

    def act(self, gateway: HollowGateway, action: api.Action) -> None:
        """Carry out one action."""
        match action:
            case api.Get():
                self.send(gateway, action)
            case api.Refuse() | api.Fail():
                self.answers["refused"] += 1
                gateway.finish(action.id, "refused")
            case api.SetTimer():
                due = api.TimerDue(action.token)
                self.at(self.now + max(0.01, action.delay_ms), partial(self.give, gateway, due))
            case api.SendNote():
                self.tell(gateway.number, action)

    def tell(self, sender: int, action: api.SendNote) -> None:
        """Carry a note, or not; what no running process takes is lost."""
        data = pack(action.note)
        kind = action.note.kind
        self.notes[kind if isinstance(kind, str) else f"lease {kind.name.lower()}"] += 1
        self.note_bytes += len(data) + UDP_HEAD
        if self.wire.cut(sender, action.peer) or self.rng.random() < self.wire.loss:
            return
        for _ in range(1 + (self.rng.random() < self.wire.repeat)):
            when = self.now + self.rng.uniform(*DELAY_MS)
            self.at(when, partial(self.deliver, sender, action))

    def deliver(self, sender: int, action: api.SendNote) -> None:
        """Hand a note over."""
        if gateway := self.running.get(action.peer):
            self.give(gateway, api.PeerMessage(sender, action.note))

    # Requests and servers

    def ask(self, number: int, key: int, size_kb: float = 50.0, class_name: str = "files") -> None:
        """Take a request at a gateway."""
        deadline = self.now + self.plan.common.classes[class_name].deadline_ms
        request = api.Request(next(self.ids), class_name, key, deadline, size_kb, key % 256)
        self.give(self.running[number], request)

    def send(self, gateway: HollowGateway, get: api.Get) -> None:
        """Carry an attempt to its server, if it is still cleared at its first byte."""
        shot, ask = gateway.shot(get.id), gateway.open.get(get.id)
        end = partial(self.end, gateway, get, shot)
        if ask is None or gateway.router.recheck_send(get.id, shot, self.now) is None:
            self.at(self.now, partial(end, "skipped"))
        elif get.source == self.origin:
            self.fill_from_origin(ask, end)
        else:
            self.at(self.now + WAY_MS, partial(end, "enoent"))

    def fill_from_origin(self, ask: api.Request, end: Callable[[str], None]) -> None:
        """Count a fill at the origin until it is over, whoever still waits for it."""
        left, stuck = ask.deadline_ms - self.now, self.rng.random() < STUCK_SHARE
        took = left if stuck else min(left, self.rng.uniform(*FILL_MS))
        self.count_fills(1)
        self.origin_peak = max(self.origin_peak, self.origin_fills)

        def over() -> None:
            self.count_fills(-1)
            self.origin_done += not stuck
            end("etimedout" if stuck else "done")

        self.at(self.now + took, over)

    def count_fills(self, change: int) -> None:
        """Count the fills at the origin, and the time that they have taken together until now."""
        self.origin_ms += self.origin_fills * (self.now - self.origin_at)
        self.origin_at = self.now
        self.origin_fills += change

    def end(self, gateway: HollowGateway, get: api.Get, shot: int, status: str) -> None:
        """Tell a gateway how an attempt ended."""
        if self.running.get(gateway.number) is not gateway:
            return
        closed = status == "done" and get.id in gateway.open
        if closed:
            self.answers["served"] += 1
            gateway.finish(get.id, "served")
        over = closed or get.id not in gateway.open
        self.give(gateway, api.Outcome(get.id, shot, get.server, status, 1.0, over))
