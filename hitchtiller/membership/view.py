"""What a gateway believes of the others: one claim for each number, and a merge that any order ends alike.

A claim is a state at an incarnation. An incarnation grows with each start (it begins at the start's Unix
milliseconds) and with each refutation, and only its owner makes a new one. Of two claims the higher
incarnation holds; at the same one the graver state: alive < suspect < dead < left. Claims are so ordered in a
line, and a merge takes the greater: commutative, associative, idempotent. Whatever is lost, repeated or late,
those that heard the same claims hold the same view.

Two processes with one number (an upgrade) have two incarnations: the older one hears of the newer, which it
never made itself, and knows that it is superseded; it refutes nothing from then on.

Bounds. One claim for each configured number. A number that the configuration drops is forgotten with it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum


class State(IntEnum):
    """What is claimed of a member, by gravity."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True, order=True)
class Claim:
    """A state at an incarnation; the greater one holds."""

    incarnation: int
    state: State


UNHEARD = Claim(0, State.ALIVE)  # configured, never heard of: taken for alive until a probe fails


@dataclass(frozen=True, slots=True)
class Change:
    """A change of the view, for logs and figures."""

    number: int
    old: Claim
    new: Claim
    reporter: int  # who said so: my own number for what I saw myself


class View:
    """The claims of one gateway on all configured numbers."""

    def __init__(self, own_number: int, size: int, incarnation: int) -> None:
        """Start with all configured numbers unheard of, and myself alive."""
        self.own_number = own_number
        self.claims = {number: UNHEARD for number in range(size)}
        self.claims[own_number] = Claim(incarnation, State.ALIVE)
        self.superseded = False
        self.changed_ms: dict[int, float] = {}
        self.reporters: dict[int, int] = {}  # who said what is held now
        self.listeners: list[Callable[[Change], object]] = []

    def merge(self, number: int, claim: Claim, reporter: int, now_ms: float) -> bool:
        """Take a claim in; True if it changed the view. One about myself may be refuted by `refute`."""
        old = self.claims.get(number)
        if old is None or claim <= old:
            return False
        if number == self.own_number:
            if claim.state is State.ALIVE:
                self.superseded = True  # never made by me: a later process has my number
            elif not self.superseded:
                return self.refute(claim, now_ms)
        self.claims[number] = claim
        self.changed_ms[number], self.reporters[number] = now_ms, reporter
        for ear in self.listeners:
            ear(Change(number, old, claim, reporter))
        return True

    def refute(self, claim: Claim, now_ms: float) -> bool:
        """Answer a claim that I am not alive with a newer incarnation of mine."""
        old, new = self.claims[self.own_number], Claim(claim.incarnation + 1, State.ALIVE)
        self.claims[self.own_number] = new
        self.changed_ms[self.own_number], self.reporters[self.own_number] = now_ms, self.own_number
        for ear in self.listeners:
            ear(Change(self.own_number, old, new, self.own_number))
        return True

    def leave(self, now_ms: float) -> None:
        """Claim that I leave by plan."""
        old = self.claims[self.own_number]
        new = self.claims[self.own_number] = Claim(old.incarnation, State.LEFT)
        self.changed_ms[self.own_number], self.reporters[self.own_number] = now_ms, self.own_number
        for ear in self.listeners:
            ear(Change(self.own_number, old, new, self.own_number))

    def forget(self, number: int) -> bool:
        """Forget what is claimed of another number, as if it had never been heard of."""
        if number == self.own_number or number not in self.claims:
            return False
        self.claims[number] = UNHEARD
        self.changed_ms.pop(number, None)
        self.reporters.pop(number, None)
        return True

    def resize(self, size: int) -> None:
        """Take over a configuration with more or fewer numbers; mine stays."""
        for number in [n for n in self.claims if n >= size and n != self.own_number]:
            del self.claims[number]
            self.changed_ms.pop(number, None)
            self.reporters.pop(number, None)
        for number in range(size):
            self.claims.setdefault(number, UNHEARD)

    def numbers_in(self, *wanted: State) -> list[int]:
        """Give the numbers in these states, in order."""
        return sorted(n for n, claim in self.claims.items() if claim.state in wanted)

    def in_service(self) -> list[int]:
        """Give those that may be asked: alive, or suspect, which is no more than a doubt."""
        return self.numbers_in(State.ALIVE, State.SUSPECT)

    def items(self, numbers: Iterable[int]) -> list[tuple[int, Claim, int]]:
        """Give the claims on these numbers that tell something, and who first said so."""
        known = (n for n in numbers if self.claims.get(n, UNHEARD) != UNHEARD)
        return [(n, self.claims[n], self.reporters.get(n, self.own_number)) for n in known]
