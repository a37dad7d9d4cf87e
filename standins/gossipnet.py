"""Gateways' membership over a simulated network in virtual time: loss, delay, repeats, cuts, kills and stops.

The detectors are the program's own; only the network and the clock are made up. Everything is drawn from one
seed, so a run that fails is played again by its seed.
"""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from hitchtiller.membership.detector import Datagrams, Detector
from hitchtiller.membership.view import State

TICKS = 4  # a period


class Net:
    """A fleet of detectors; `cut` tells whether a datagram from one to another is lost for sure."""

    def __init__(
        self, size: int, seed: int, period_ms: float = 1000.0, loss: float = 0.0, repeat: float = 0.0,
        delay_ms: tuple[float, float] = (2.0, 39.0),
    ) -> None:  # fmt: skip
        """Start all, spread over a period."""
        self.size, self.rng, self.now = size, Random(seed), 0.0
        self.seed, self.period_ms = seed, period_ms
        self.loss, self.repeat, self.delay_ms = loss, repeat, delay_ms
        self.cut: Callable[[int, int], bool] = lambda a, b: False
        self.calls: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.nodes: dict[int, Detector] = {}
        self.stopped: set[int] = set()
        self.held: dict[int, list[tuple[int, bytes]]] = {}  # what came while a process was stopped
        self.sent = [0] * size
        self.bytes = [0] * size
        self.false_deaths = 0  # a member that runs, held for dead by somebody
        for number in range(size):
            self.start(number, self.rng.random() * period_ms)

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Call at a time."""
        heapq.heappush(self.calls, (when_ms, next(self.order), call))

    def start(self, number: int, after_ms: float = 0.0) -> None:
        """Start a process of this number; it knows nothing."""
        begun = self.now + after_ms
        incarnation = 1_700_000_000_000 + int(begun)
        rng = Random(f"{self.seed}/{number}/{begun}")
        node = Detector(number, self.size, incarnation, 7, self.period_ms, rng, begun)
        node.view.listeners.append(lambda change: self.watch(change.number, change.new.state))
        self.nodes[number] = node
        self.at(begun, lambda: self.turn(number, node))

    def watch(self, number: int, state: State) -> None:
        """Count who is wrongly held for dead."""
        self.false_deaths += state is State.DEAD and number in self.nodes

    def turn(self, number: int, node: Detector) -> None:
        """Tick a process that still runs."""
        if self.nodes.get(number) is not node:
            return
        if number not in self.stopped:
            self.post(number, node.tick(self.now))
        self.at(self.now + self.period_ms / TICKS, lambda: self.turn(number, node))

    def post(self, sender: int, out: Datagrams) -> None:
        """Carry datagrams, or not."""
        for to, data in out:
            self.sent[sender] += 1
            self.bytes[sender] += len(data)
            if self.cut(sender, to) or self.rng.random() < self.loss:
                continue
            for _ in range(1 + (self.rng.random() < self.repeat)):
                when = self.now + self.rng.uniform(*self.delay_ms)
                self.at(when, lambda to=to, data=data: self.deliver(sender, to, data))  # type: ignore[misc]

    def deliver(self, sender: int, to: int, data: bytes) -> None:
        """Hand a datagram over; a stopped process finds it when it wakes."""
        node = self.nodes.get(to)
        if to in self.stopped:
            self.held.setdefault(to, []).append((sender, data))
        elif node:
            self.post(to, node.receive(sender, data, self.now))

    def kill(self, *numbers: int) -> None:
        """End processes without a word."""
        for number in numbers:
            del self.nodes[number]

    def stop(self, number: int) -> None:
        """Stop a process where it stands."""
        self.stopped.add(number)

    def resume_process(self, number: int) -> None:
        """Let it go on; what came meanwhile lies in its socket."""
        self.stopped.discard(number)
        for sender, data in self.held.pop(number, []):
            self.deliver(sender, number, data)

    def run(self, until_ms: float, done: Callable[[], bool] = lambda: False) -> float:
        """Let time pass until then, or until it is done; gives the time."""
        while self.calls and self.calls[0][0] <= until_ms:
            self.now, _, call = heapq.heappop(self.calls)
            call()
            if done():
                return self.now
        self.now = until_ms
        return self.now

    def count_believing(self, number: int, *states: State) -> int:
        """Count the running others that hold a number for one of these."""
        return sum(node.view.claims[number].state in states for n, node in self.nodes.items() if n != number)

    def agree(self) -> bool:
        """Tell whether all that run hold the same view."""
        views = [node.view.claims for node in self.nodes.values()]
        return all(view == views[0] for view in views)
