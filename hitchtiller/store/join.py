"""Requests for the same part share what is under way: one leads, others wait; decided without I/O.

Bound: one flight a part wanted, one entry a request. The attempts of all leaders of a flight together stay
within the class's limit for one request, so that a failing object is not asked for as often as it is wanted.
"""

from dataclasses import dataclass, field
from enum import Enum


class Then(Enum):
    """What a waiting request does next."""

    SERVE = "serve"  # with what the leader got
    LEAD = "lead"  # in the leader's place
    SHARE = "share"  # the leader's refusal or failure
    ALONE = "alone"  # by itself


@dataclass(slots=True)
class Waiter:
    """A request that waits.

    `client_tag` is the tag its client holds, `seq` how many purges had been told when it came.
    """

    number: int
    client_tag: str
    after_ms: float  # a copy must be from after this: the purges known when it came


@dataclass(slots=True)
class Flight:
    """What is under way for one part."""

    mark: int
    leader: int
    client_tag: str
    waiters: dict[int, Waiter] = field(default_factory=dict)
    attempts: int = 0


class Joins:
    """All flights, by part and by leader."""

    def __init__(self, max_attempts: int) -> None:
        """Let the leaders of one flight make this many attempts together."""
        self.max_attempts = max_attempts
        self.flights: dict[int, Flight] = {}
        self.leads: dict[int, Flight] = {}
        self.waits: dict[int, Flight] = {}
        self.joined = self.promoted = self.impatient = self.spared = 0

    def lead(self, number: int, mark: int, client_tag: str) -> None:
        """Begin a flight; one that is there goes on without this request, which then is nobody's leader."""
        if mark not in self.flights:
            self.flights[mark] = self.leads[number] = Flight(mark, number, client_tag)

    def join(self, number: int, mark: int, client_tag: str, after_ms: float) -> bool:
        """Wait for a flight; False if there is none, or none whose answer this client could use."""
        flight = self.flights.get(mark)
        if flight is None or (flight.client_tag and flight.client_tag != client_tag):
            return False  # a leader whose client holds a copy may be told so, without the bytes
        flight.waiters[number] = Waiter(number, client_tag, after_ms)
        self.waits[number] = flight
        self.joined += 1
        return True

    def may_send(self, number: int) -> bool:
        """Count an attempt of a leader; False past the limit of the flight."""
        flight = self.leads.get(number)
        if flight is None:
            return True
        if flight.attempts >= self.max_attempts:
            self.spared += 1
            return False
        flight.attempts += 1
        return True

    def give_up(self, number: int) -> bool:
        """Take a request that has waited too long out; True if it was waiting."""
        flight = self.waits.pop(number, None)
        if flight is None:
            return False
        del flight.waiters[number]
        self.impatient += 1
        return True

    def leave(self, number: int) -> None:
        """Forget a waiter whose client left or whose time is over."""
        if flight := self.waits.pop(number, None):
            del flight.waiters[number]

    def served(self, number: int, since_ms: float) -> list[tuple[Then, int]]:
        """End a leader's flight with an answer; a copy from before a waiter's purges is not for that waiter.

        Those go on as a flight of their own, led by the first of them.
        """
        flight = self._end(number)
        if flight is None:
            return []
        good = [w for w in flight.waiters.values() if since_ms > w.after_ms]
        rest = [w for w in flight.waiters.values() if since_ms <= w.after_ms]
        return [(Then.SERVE, waiter.number) for waiter in good] + self._again(flight, rest, 0)

    def failed(self, number: int) -> list[tuple[Then, int]]:
        """End a leader's flight without an answer, whether it failed or its client or its time ended.

        The first waiter leads on with the attempts that the flight has left; with none left all share the
        end.
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
            del self.flights[flight.mark]
            for waiter in flight.waiters:
                del self.waits[waiter]
        return flight

    def _again(self, flight: Flight, waiters: list[Waiter], attempts: int) -> list[tuple[Then, int]]:
        if not waiters:
            return []
        first, *rest = waiters
        fresh = Flight(flight.mark, first.number, first.client_tag, attempts=attempts)
        self.flights[flight.mark] = self.leads[first.number] = fresh
        self.promoted += 1
        alone = []
        for waiter in rest:
            if fresh.client_tag and fresh.client_tag != waiter.client_tag:
                alone.append((Then.ALONE, waiter.number))
            else:
                fresh.waiters[waiter.number] = waiter
                self.waits[waiter.number] = fresh
        return [(Then.LEAD, first.number), *alone]
