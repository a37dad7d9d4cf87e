"""Which keyed effects may have run, by class and key: a repeat is sent only within its window and scope.

A client's retry is a request of its own, with its own id; only its key shows that it is the same effect.
The servers discard a repeat for the stated time after the first attempt that may have run. The repeat window
therefore counts from that attempt, whichever request it was made for, and is checked at the first byte of
each further attempt. Proof that an attempt never ran removes that attempt; with none left, the key is new.

A key that is not known everywhere is repeated only on connections that lead for certain to the process that
the list names: after a server's process has gone another one, of another scope, may have its address before
the list tells. An effect that began on an uncertain connection is not repeated at all.

Bounds. MAX_KEYS keys, of which the oldest are removed first. A key is forgotten once its window has passed
and all retries that its client can make within RETRY_DEADLINES deadlines have ended. A process knows only its
own attempts: one that has just started knows none.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from hitchtiller.interface import ClassSettings, Member

MAX_KEYS = 4096
RETRY_DEADLINES = 4.0  # deadlines during which a client may retry with its key
WINDOW_MARGIN_MS = (
    100.0  # subtracted from the window for clock differences and the transit time to the server
)


@dataclass(slots=True)
class UnconfirmedEffect:
    """Attempts under one key that may have run."""

    first_sent_ms: float
    zone: str
    cell: int
    attempts: int = 0
    scope_is_certain: bool = True  # all of them went to the processes that the list named


class Location(Protocol):
    """Location of the server that an attempt was sent to."""

    @property
    def zone(self) -> str:
        """Return the server's zone."""

    @property
    def cell(self) -> int:
        """Return the server's cell."""


def same_scope(cls: ClassSettings, first: Location, other: Location) -> bool:
    """Return whether a key that one server knows is known to another as well."""
    matches_scope = {"zone": first.zone == other.zone, "cell": first.cell == other.cell}
    return matches_scope.get(cls.key_scope, True)


def repeats_anywhere(cls: ClassSettings) -> bool:
    """Return whether a request of a class may be retried safely at any server within its repeat window."""
    return cls.effect == "repeatable" or (cls.effect == "by_key" and cls.key_scope == "all")


class Effects:
    """The requests of keyed classes that one process has sent and that are not proven not to have run."""

    def __init__(self, classes: Mapping[str, ClassSettings]) -> None:
        """Create a record in which no keyed request has been sent."""
        self.classes = {name: cls for name, cls in classes.items() if cls.effect == "by_key"}
        self.unconfirmed: dict[tuple[str, str], UnconfirmedEffect] = {}

    def may_begin(
        self, class_name: str, key: str, member: Member, now_ms: float, process_is_certain: bool = True
    ) -> bool:
        """Return whether an attempt may be sent to a server now.

        `process_is_certain` tells whether its connection leads to the process that the list names.
        """
        unconfirmed = self.unconfirmed.get((class_name, key))
        if unconfirmed is None:
            return True
        cls = self.classes[class_name]
        if cls.key_scope != "all" and not (process_is_certain and unconfirmed.scope_is_certain):
            return False
        return same_scope(cls, unconfirmed, member) and not self.window_passed(class_name, key, now_ms)

    def begin(
        self, class_name: str, key: str, member: Member, now_ms: float, process_is_certain: bool = True
    ) -> None:
        """Record that an attempt's first byte is being sent."""
        if class_name not in self.classes or not key:
            return
        unconfirmed = self.unconfirmed.get((class_name, key))
        if unconfirmed is None:
            self._forget(now_ms)
            unconfirmed = self.unconfirmed[class_name, key] = UnconfirmedEffect(
                now_ms, member.zone, member.cell
            )
        unconfirmed.attempts += 1
        unconfirmed.scope_is_certain = unconfirmed.scope_is_certain and process_is_certain

    def learn(self, class_name: str, key: str, effect: UnconfirmedEffect) -> None:
        """Record an effect that another process of this gateway may have begun; the earlier start counts."""
        if class_name not in self.classes:
            return
        known = self.unconfirmed.get((class_name, key))
        if known is None:
            self._forget(effect.first_sent_ms)
            self.unconfirmed[class_name, key] = effect
            return
        known.first_sent_ms = min(known.first_sent_ms, effect.first_sent_ms)
        known.attempts += effect.attempts
        if (known.zone, known.cell) != (effect.zone, effect.cell):
            known.scope_is_certain = False

    def never_ran(self, class_name: str, key: str) -> None:
        """Record proof that one of the attempts that were sent did not run."""
        if unconfirmed := self.unconfirmed.get((class_name, key)):
            unconfirmed.attempts -= 1
            if not unconfirmed.attempts:
                del self.unconfirmed[class_name, key]

    def window_passed(self, class_name: str, key: str, now_ms: float) -> bool:
        """Return whether the window of what may have run has passed, so that nothing more may be sent."""
        unconfirmed = self.unconfirmed.get((class_name, key))
        return unconfirmed is not None and (
            now_ms >= unconfirmed.first_sent_ms + self.classes[class_name].repeat_window_ms - WINDOW_MARGIN_MS
        )

    def retry_is_safe(self, class_name: str, key: str, now_ms: float) -> bool:
        """Return whether a client may be told that it can retry safely."""
        if (class_name, key) not in self.unconfirmed:
            return True
        return self.classes[class_name].key_scope == "all" and not self.window_passed(class_name, key, now_ms)

    def _forget(self, now_ms: float) -> None:
        """Remove expired keys, and the oldest if the table is full; keys are ordered by their windows."""
        while self.unconfirmed:
            oldest, unconfirmed = next(iter(self.unconfirmed.items()))
            cls = self.classes[oldest[0]]
            expires_ms = unconfirmed.first_sent_ms + cls.repeat_window_ms + RETRY_DEADLINES * cls.deadline_ms
            if len(self.unconfirmed) < MAX_KEYS and now_ms < expires_ms:
                return
            del self.unconfirmed[oldest]
