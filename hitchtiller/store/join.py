"""Requests for the same part share one fill: one request leads, the others wait. Decided without I/O.

There is one flight per part being filled, and one entry per request. The attempts of all leaders of a flight
together stay within the class's limit for one request, so that a failing object is not requested from the
servers as often as clients request it.
"""

from dataclasses import dataclass, field
from enum import Enum


class Then(Enum):
    """What a waiting request does next."""

    SERVE = "serve"  # is served the leader's answer
    LEAD = "lead"  # continues in the leader's place
    SHARE = "share"  # gets the leader's refusal or failure
    ALONE = "alone"  # continues by itself


@dataclass(slots=True)
class Waiter:
    """A request that waits; `client_tag` is the tag that its client holds."""

    number: int
    client_tag: str
    after_ms: float  # a copy must date from after this: the last purge known when the request came


@dataclass(slots=True)
class Flight:
    """A fill in progress for one part."""

    part_hash: int
    leader: int
    client_tag: str
    waiters: dict[int, Waiter] = field(default_factory=dict)
    attempts: int = 0


class Joins:
    """All flights, by part, by leader and by waiter."""

    def __init__(self, max_attempts: int) -> None:
        """Allow the leaders of one flight this many attempts together."""
        self.max_attempts = max_attempts
        self.flights: dict[int, Flight] = {}
        self.leads: dict[int, Flight] = {}
        self.waits: dict[int, Flight] = {}
        self.joined = self.promoted = self.impatient = self.spared = 0

    def lead(self, number: int, part_hash: int, client_tag: str) -> None:
        """Begin a flight led by a request.

        If the part has a flight already, that one continues and this request leads none.
        """
        if part_hash not in self.flights:
            self.flights[part_hash] = self.leads[number] = Flight(part_hash, number, client_tag)

    def join(self, number: int, part_hash: int, client_tag: str, after_ms: float) -> bool:
        """Wait for a flight; return False if there is none whose answer this client could use."""
        flight = self.flights.get(part_hash)
        if flight is None or (flight.client_tag and flight.client_tag != client_tag):
            return False  # a leader whose client holds a copy may get an answer without the body
        flight.waiters[number] = Waiter(number, client_tag, after_ms)
        self.waits[number] = flight
        self.joined += 1
        return True

    def may_send(self, number: int) -> bool:
        """Count an attempt of a leader; return False if the limit of the flight is reached."""
        flight = self.leads.get(number)
        if flight is None:
            return True
        if flight.attempts >= self.max_attempts:
            self.spared += 1
            return False
        flight.attempts += 1
        return True

    def give_up(self, number: int) -> bool:
        """Stop a request from waiting because it has waited too long; return whether it was waiting."""
        flight = self.waits.pop(number, None)
        if flight is None:
            return False
        del flight.waiters[number]
        self.impatient += 1
        return True

    def leave(self, number: int) -> None:
        """Remove a waiter whose client left or whose time is over."""
        if flight := self.waits.pop(number, None):
            del flight.waiters[number]

    def served(self, number: int, since_ms: float) -> list[tuple[Then, int]]:
        """End a leader's flight with an answer; return the next step of each waiter.

        A copy from before a purge known to a waiter is not served to that waiter. Such waiters continue as a
        flight of their own, led by the first of them.
        """
        flight = self._end(number)
        if flight is None:
            return []
        good = [w for w in flight.waiters.values() if since_ms > w.after_ms]
        rest = [w for w in flight.waiters.values() if since_ms <= w.after_ms]
        return [(Then.SERVE, waiter.number) for waiter in good] + self._again(flight, rest, 0)

    def failed(self, number: int) -> list[tuple[Then, int]]:
        """End a leader's flight without an answer: it failed, its client left, or its time is over.

        Return the next step of each waiter. The first one leads on with the attempts that the flight has
        left; if none are left, all waiters share the outcome.
        """
        flight = self._end(number)
        if flight is None:
            return []
        waiters = list(flight.waiters.values())
        if flight.attempts >= self.max_attempts:
            return [(Then.SHARE, waiter.number) for waiter in waiters]
        return self._again(flight, waiters, flight.attempts)

    def _end(self, number: int) -> Flight | None:
        flight = self.leads.pop(number, None)
        if flight:
            del self.flights[flight.part_hash]
            for waiter in flight.waiters:
                del self.waits[waiter]
        return flight

    def _again(self, flight: Flight, waiters: list[Waiter], attempts: int) -> list[tuple[Then, int]]:
        if not waiters:
            return []
        first, *rest = waiters
        fresh = Flight(flight.part_hash, first.number, first.client_tag, attempts=attempts)
        self.flights[flight.part_hash] = self.leads[first.number] = fresh
        self.promoted += 1
        alone = []
        for waiter in rest:
            if fresh.client_tag and fresh.client_tag != waiter.client_tag:
                alone.append((Then.ALONE, waiter.number))
            else:
                fresh.waiters[waiter.number] = waiter
                self.waits[waiter.number] = fresh
        return [(Then.LEAD, first.number), *alone]
