"""A gateway's view of the fleet: one claim per configured member number, merged independently of order.

A claim is a state at an incarnation. An incarnation starts at the Unix time of the process start in
milliseconds and grows with each refutation; only its owner creates a new one. Of two claims the one with
the higher incarnation wins; at the same incarnation the more severe state wins: alive < suspect < dead <
left. Claims are therefore totally ordered, and a merge takes the maximum, which is commutative, associative
and idempotent. Gateways that received the same claims hold the same view, even if datagrams were repeated,
late or out of order.

During an upgrade two processes share one number and have two incarnations. The older process receives the
newer incarnation, which it did not create, concludes that it is superseded, and refutes nothing from then
on.

Bounds: one claim for each configured number. The claim of a number is dropped when the configuration drops
the number.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum


class State(IntEnum):
    """State of a member in a claim, ordered by severity."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class MemberClaim:
    """State of a member at an incarnation; the greater of two claims holds."""

    incarnation: int
    state: State


UNHEARD = MemberClaim(0, State.ALIVE)  # configured but never heard of; treated as alive until a probe fails


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the view, as passed to its listeners."""

    number: int
    old: MemberClaim
    new: MemberClaim
    reporter: int  # the member that made the claim; the own number for what this gateway found out itself


class View:
    """The claims that one gateway holds about all configured numbers."""

    def __init__(self, own_number: int, size: int, incarnation: int) -> None:
        """Start with the own number alive and all other configured numbers unheard of."""
        self.own_number = own_number
        self.claims = {number: UNHEARD for number in range(size)}
        self.claims[own_number] = MemberClaim(incarnation, State.ALIVE)
        self.superseded = False
        self.changed_ms: dict[int, float] = {}  # time of the last change by number
        self.reporters: dict[int, int] = {}  # by number: the member that made the claim held now
        self.listeners: list[Callable[[Change], object]] = []

    def merge(self, number: int, claim: MemberClaim, reporter: int, now_ms: float) -> bool:
        """Merge a claim and return whether it changed the view; a claim about the own number is refuted.

        A claim that the own number is alive at a newer incarnation is not refuted: it comes from a later
        process with the same number and marks this process as superseded.
        """
        old = self.claims.get(number)
        if old is None or claim <= old:
            return False
        if number == self.own_number:
            if claim.state is State.ALIVE:
                self.superseded = True  # not created by this process, so a later process has this number
            elif not self.superseded:
                return self.refute(claim, now_ms)
        self.claims[number] = claim
        self.changed_ms[number], self.reporters[number] = now_ms, reporter
        for listener in self.listeners:
            listener(Change(number, old, claim, reporter))
        return True

    def refute(self, claim: MemberClaim, now_ms: float) -> bool:
        """Answer a claim that this gateway is not alive by raising the own incarnation."""
        old, new = self.claims[self.own_number], MemberClaim(claim.incarnation + 1, State.ALIVE)
        self.claims[self.own_number] = new
        self.changed_ms[self.own_number], self.reporters[self.own_number] = now_ms, self.own_number
        for listener in self.listeners:
            listener(Change(self.own_number, old, new, self.own_number))
        return True

    def leave(self, now_ms: float) -> None:
        """Record that this gateway leaves as planned."""
        old = self.claims[self.own_number]
        new = self.claims[self.own_number] = MemberClaim(old.incarnation, State.LEFT)
        self.changed_ms[self.own_number], self.reporters[self.own_number] = now_ms, self.own_number
        for listener in self.listeners:
            listener(Change(self.own_number, old, new, self.own_number))

    def forget(self, number: int) -> bool:
        """Reset another number to unheard of; return whether that number exists."""
        if number == self.own_number or number not in self.claims:
            return False
        self.claims[number] = UNHEARD
        self.changed_ms.pop(number, None)
        self.reporters.pop(number, None)
        return True

    def resize(self, size: int) -> None:
        """Adopt a configuration with more or fewer numbers; the own number always stays."""
        for number in [n for n in self.claims if n >= size and n != self.own_number]:
            del self.claims[number]
            self.changed_ms.pop(number, None)
            self.reporters.pop(number, None)
        for number in range(size):
            self.claims.setdefault(number, UNHEARD)

    def numbers_in(self, *states: State) -> list[int]:
        """Return the numbers in any of these states, in ascending order."""
        return sorted(n for n, claim in self.claims.items() if claim.state in states)

    def in_service(self) -> list[int]:
        """Return the numbers that may be contacted: those alive, and those only suspected."""
        return self.numbers_in(State.ALIVE, State.SUSPECT)

    def items(self, numbers: Iterable[int]) -> list[tuple[int, MemberClaim, int]]:
        """Return number, claim and reporter for those of these numbers that have been heard of."""
        known = (n for n in numbers if self.claims.get(n, UNHEARD) != UNHEARD)
        return [(n, self.claims[n], self.reporters.get(n, self.own_number)) for n in known]
