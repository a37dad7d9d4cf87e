"""Which keyed effects may have run, by class and key: a repeat goes only inside the window and its scope.

A client's retry is a request of its own, with its own id; only its key tells that it is the same effect.
The servers drop a repeat for the stated time from the first attempt that may have run. So the window counts
from that one, whichever request it was made for, and holds at the first byte of each further one. Proof that
an attempt never ran takes it off again; with none left, the key is new.

Bounds. MAX_KEYS keys, the oldest go first; a key is forgotten once its window has passed and all tries that
its client can make within TRIES deadlines have ended. One process knows only its own attempts: one that has
just started knows none.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from hitchtiller.interface import ClassSettings, Member

MAX_KEYS = 4096
TRIES = 4.0  # deadlines for which a client may come again with its key
MARGIN_MS = 100.0  # kept from the window's end: clocks, and the way to the server


@dataclass(slots=True)
class Doubt:
    """Attempts under one key that may have run."""

    since_ms: float  # when the first of them began
    zone: str
    cell: int
    attempts: int = 0


class Placed(Protocol):
    """Where an attempt went."""

    @property
    def zone(self) -> str:
        """Give the server's zone."""

    @property
    def cell(self) -> int:
        """Give the server's cell."""


def same_scope(cls: ClassSettings, first: Placed, other: Placed) -> bool:
    """Tell whether a key that one server knows is known to another as well."""
    same = {"zone": first.zone == other.zone, "cell": first.cell == other.cell}
    return same.get(cls.key_scope, True)


def repeats_anywhere(cls: ClassSettings) -> bool:
    """Tell whether a request of a class may be tried again at any server without harm, inside its window."""
    return cls.effect == "repeatable" or (cls.effect == "by_key" and cls.key_scope == "all")


class Effects:
    """What one process has sent of keyed classes, and has no proof that it did not run."""

    def __init__(self, classes: Mapping[str, ClassSettings]) -> None:
        """Start with nothing sent."""
        self.classes = {name: cls for name, cls in classes.items() if cls.effect == "by_key"}
        self.doubts: dict[tuple[str, str], Doubt] = {}

    def may_begin(self, class_name: str, key: str, member: Member, now_ms: float) -> bool:
        """Tell whether an attempt may go to a server now."""
        doubt = self.doubts.get((class_name, key))
        if doubt is None:
            return True
        return same_scope(self.classes[class_name], doubt, member) and not self.window_passed(
            class_name, key, now_ms
        )

    def begin(self, class_name: str, key: str, member: Member, now_ms: float) -> None:
        """Hear that an attempt's first byte goes out."""
        if class_name not in self.classes or not key:
            return
        doubt = self.doubts.get((class_name, key))
        if doubt is None:
            self._forget(now_ms)
            doubt = self.doubts[class_name, key] = Doubt(now_ms, member.zone, member.cell)
        doubt.attempts += 1

    def never_ran(self, class_name: str, key: str) -> None:
        """Hear that one of the attempts that began is proven not to have run."""
        if doubt := self.doubts.get((class_name, key)):
            doubt.attempts -= 1
            if not doubt.attempts:
                del self.doubts[class_name, key]

    def window_passed(self, class_name: str, key: str, now_ms: float) -> bool:
        """Tell whether the window of what may have run has passed: nothing may be sent any more."""
        doubt = self.doubts.get((class_name, key))
        return doubt is not None and (
            now_ms >= doubt.since_ms + self.classes[class_name].repeat_window_ms - MARGIN_MS
        )

    def retry_is_safe(self, class_name: str, key: str, now_ms: float) -> bool:
        """Tell whether a client may be told that trying again does no harm."""
        if (class_name, key) not in self.doubts:
            return True
        return self.classes[class_name].key_scope == "all" and not self.window_passed(class_name, key, now_ms)

    def _forget(self, now_ms: float) -> None:
        """Make room: keys come in the order of their windows."""
        while self.doubts:
            name, doubt = next(iter(self.doubts.items()))
            cls = self.classes[name[0]]
            until = doubt.since_ms + cls.repeat_window_ms + TRIES * cls.deadline_ms
            if len(self.doubts) < MAX_KEYS and now_ms < until:
                return
            del self.doubts[name]
