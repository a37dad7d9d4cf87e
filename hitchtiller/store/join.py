"""Requests for the same part share one fill: one request leads, the others wait. Decided without I/O.

There is one flight per part being filled, and one entry per request. The attempts of all leaders of a flight
together stay within the class's limit for one request, so that a failing object is not requested from the
servers as often as clients request it.
"""

import math
from dataclasses import dataclass, field
from enum import Enum


class NextStep(Enum):
    """What a waiting request does next."""

    SERVE = "serve"  # is served the answer of the leader
    LEAD = "lead"  # continues in the leader's place
    SHARE = "share"  # gets the leader's refusal or failure
    ALONE = "alone"  # continues by itself


@dataclass(slots=True)
class Waiter:
    """A request that waits; `client_tag` is the tag that its client holds."""

    request_number: int
    client_tag: str
    newer_than_ms: float  # a copy must be from after this: the last purge known when the request came
    asked_ms: float  # when the request came, by `now_ms`


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
        self.flights_by_leader: dict[int, Flight] = {}
        self.flights_by_waiter: dict[int, Flight] = {}
        self.joined = self.promoted = self.impatient = self.spared = 0

    def lead(self, request_number: int, part_hash: int, client_tag: str) -> None:
        """Begin a flight led by a request.

        If the part has a flight already, that one continues and this request leads none.
        """
        if part_hash not in self.flights:
            self.flights[part_hash] = self.flights_by_leader[request_number] = Flight(
                part_hash, request_number, client_tag
            )

    def join(
        self,
        request_number: int,
        part_hash: int,
        client_tag: str,
        newer_than_ms: float,
        asked_ms: float = -math.inf,
    ) -> bool:
        """Wait for a flight; return False if there is none whose answer this client could use."""
        flight = self.flights.get(part_hash)
        if flight is None or (flight.client_tag and flight.client_tag != client_tag):
            return False  # a leader whose client holds a copy may get an answer without the body
        flight.waiters[request_number] = Waiter(request_number, client_tag, newer_than_ms, asked_ms)
        self.flights_by_waiter[request_number] = flight
        self.joined += 1
        return True

    def may_send(self, request_number: int) -> bool:
        """Count an attempt of a leader; return False if the limit of the flight is reached."""
        flight = self.flights_by_leader.get(request_number)
        if flight is None:
            return True
        if flight.attempts >= self.max_attempts:
            self.spared += 1
            return False
        flight.attempts += 1
        return True

    def give_up(self, request_number: int) -> bool:
        """Stop a request from waiting because it has waited too long; return whether it was waiting."""
        flight = self.flights_by_waiter.pop(request_number, None)
        if flight is None:
            return False
        del flight.waiters[request_number]
        self.impatient += 1
        return True

    def leave(self, request_number: int) -> None:
        """Remove a waiter whose client left or whose time is over."""
        if flight := self.flights_by_waiter.pop(request_number, None):
            del flight.waiters[request_number]

    def end_served(
        self, request_number: int, since_ms: float, usable_until_ms: float = math.inf
    ) -> list[tuple[NextStep, int]]:
        """End a leader's flight with an answer; return the next step of each waiter.

        A copy from before a purge known to a waiter is not served to that waiter, nor one that requests may
        only be served until `usable_until_ms`, before it came. Such waiters continue as a flight of their
        own, led by the first of them.
        """
        flight = self._end_flight(request_number)
        if flight is None:
            return []
        servable, others = list[Waiter](), list[Waiter]()
        for waiter in flight.waiters.values():
            is_servable = since_ms > waiter.newer_than_ms and waiter.asked_ms < usable_until_ms
            (servable if is_servable else others).append(waiter)
        steps = [(NextStep.SERVE, waiter.request_number) for waiter in servable]
        return steps + self._start_next_flight(flight, others, 0)

    def end_failed(self, request_number: int) -> list[tuple[NextStep, int]]:
        """End a leader's flight without an answer: it failed, its client left, or its time is over.

        Return the next step of each waiter. The first one leads on with the attempts that the flight has
        left; if none are left, all waiters share the outcome.
        """
        flight = self._end_flight(request_number)
        if flight is None:
            return []
        waiters = list(flight.waiters.values())
        if flight.attempts >= self.max_attempts:
            return [(NextStep.SHARE, waiter.request_number) for waiter in waiters]
        return self._start_next_flight(flight, waiters, flight.attempts)

    def _end_flight(self, request_number: int) -> Flight | None:
        flight = self.flights_by_leader.pop(request_number, None)
        if flight:
            del self.flights[flight.part_hash]
            for waiter in flight.waiters:
                del self.flights_by_waiter[waiter]
        return flight

    def _start_next_flight(
        self, flight: Flight, waiters: list[Waiter], attempts: int
    ) -> list[tuple[NextStep, int]]:
        if not waiters:
            return []
        first, *others = waiters
        next_flight = Flight(flight.part_hash, first.request_number, first.client_tag, attempts=attempts)
        self.flights[flight.part_hash] = self.flights_by_leader[first.request_number] = next_flight
        self.promoted += 1
        alone = []
        for waiter in others:
            if next_flight.client_tag and next_flight.client_tag != waiter.client_tag:
                alone.append((NextStep.ALONE, waiter.request_number))
            else:
                next_flight.waiters[waiter.request_number] = waiter
                self.flights_by_waiter[waiter.request_number] = next_flight
        return [(NextStep.LEAD, first.request_number), *alone]
