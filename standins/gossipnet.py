"""Membership over a simulated network in virtual time: loss, delay, repeats, cuts, kills and suspension.

The detectors are the program's own; only the network and the clock are simulated. All randomness comes from
one seed, so a failing run can be repeated.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from hitchtiller.membership.detector import Datagrams, Detector
from hitchtiller.membership.view import State

TICKS = 4  # per membership period


class Net:
    """A fleet of detectors; `cut(sender, receiver)` returns whether all datagrams are lost."""

    def __init__(
        self, size: int, seed: int, period_ms: float = 1000.0, loss: float = 0.0, repeat: float = 0.0,
        delay_ms: tuple[float, float] = (2.0, 39.0),
    ) -> None:  # fmt: skip
        """Start all gateways at random times within the first period."""
        self.size, self.rng, self.now = size, Random(seed), 0.0
        self.seed, self.period_ms = seed, period_ms
        self.loss, self.repeat, self.delay_ms = loss, repeat, delay_ms
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = count()
        self.nodes: dict[int, Detector] = {}
        self.stopped: set[int] = set()
        self.undelivered: dict[int, list[tuple[int, bytes]]] = {}  # received while a process was suspended
        self.sent = [0] * size
        self.bytes = [0] * size
        self.false_deaths = 0  # how often a detector declared a running member dead
        for number in range(size):
            self.start(number, self.rng.random() * period_ms)

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.scheduled_calls, (when_ms, next(self.sequence), call))

    def start(self, number: int, after_ms: float = 0.0) -> None:
        """Start a process with this number; it has no knowledge of the others."""
        begun = self.now + after_ms
        incarnation = 1_700_000_000_000 + int(begun)
        rng = Random(f"{self.seed}/{number}/{begun}")
        node = Detector(number, self.size, incarnation, 7, self.period_ms, rng, begun)
        node.view.listeners.append(lambda change: self.count_false_death(change.number, change.new.state))
        self.nodes[number] = node
        self.at(begun, lambda: self.tick_process(number, node))

    def count_false_death(self, number: int, state: State) -> None:
        """Count a change of a view that declares a running member dead."""
        self.false_deaths += state is State.DEAD and number in self.nodes

    def tick_process(self, number: int, node: Detector) -> None:
        """Give a process its tick, unless it has ended or is suspended, and schedule the next one."""
        if self.nodes.get(number) is not node:
            return
        if number not in self.stopped:
            self.post(number, node.tick(self.now))
        self.at(self.now + self.period_ms / TICKS, lambda: self.tick_process(number, node))

    def post(self, sender: int, out: Datagrams) -> None:
        """Send datagrams, subject to cuts, loss, repeats and delay."""
        for to, data in out:
            self.sent[sender] += 1
            self.bytes[sender] += len(data)
            if self.cut(sender, to) or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.repeat)):
                when = self.now + self.rng.uniform(*self.delay_ms)
                self.at(when, lambda to=to, data=data: self.deliver(sender, to, data))  # type: ignore[misc]

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        """Deliver a datagram; a suspended process receives it when it resumes."""
        node = self.nodes.get(to)
        if to in self.stopped:
            self.undelivered.setdefault(to, []).append((sender, data))
        elif node:
            self.post(to, node.receive(sender, data, self.now))

    def kill(self, *numbers: int) -> None:
        """End processes without notice to the others."""
        for number in numbers:
            del self.nodes[number]

    def stop(self, number: int) -> None:
        """Suspend a process."""
        self.stopped.add(number)

    def resume_process(self, number: int) -> None:
        """Resume a suspended process; it receives the datagrams that have arrived meanwhile."""
        self.stopped.discard(number)
        for sender, data in self.undelivered.pop(number, []):
            self.deliver(sender, number, data)

    def run(self, until_ms: float, done: Callable[[], bool] = lambda: False) -> float:
        """Advance the virtual time to `until_ms`, or until `done` returns True; return the time."""
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.scheduled_calls)
            call()
            if done():
                return self.now
        self.now = until_ms
        return self.now

    def count_believing(self, number: int, *states: State) -> int:
        """Return how many of the other running processes hold this gateway in one of these states."""
        return sum(node.view.claims[number].state in states for n, node in self.nodes.items() if n != number)

    def agree(self) -> bool:
        """Return whether all running processes hold the same view."""
        views = [node.view.claims for node in self.nodes.values()]
        return all(view == views[0] for view in views)
