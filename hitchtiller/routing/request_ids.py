"""Ids of requests that may have run and must not run again, of the classes whose effect may run once only.

A client gives each request a new id, also when it tries again. An id that comes a second time, after its
client has left or after its answer, is therefore failed if an attempt under it may have run.

Bounds. MAX_IDS ids, of which the oldest are removed first.
"""

from collections.abc import Mapping

from hitchtiller.interface import ClassSettings
from hitchtiller.records import lru_put

MAX_IDS = 8_192


class RequestIds:
    """The attempts that may have run, by id of their request."""

    def __init__(self, classes: Mapping[str, ClassSettings]) -> None:
        """Create a record in which no request has been sent."""
        self.classes = {name for name, cls in classes.items() if cls.effect == "once"}
        self.attempts: dict[int, int] = {}

    def may_have_run(self, id: str) -> bool:
        """Return whether an attempt under an id (16 hex digits) may have run."""
        return int(id, 16) in self.attempts

    def begin(self, class_name: str, id: str) -> None:
        """Record that an attempt's first byte is being sent."""
        if class_name in self.classes:
            number = int(id, 16)
            lru_put(self.attempts, number, self.attempts.get(number, 0) + 1, MAX_IDS)

    def learn(self, id: str) -> None:
        """Record an id under which another process of this gateway may have begun an attempt.

        ValueError for one that is not hexadecimal.
        """
        lru_put(self.attempts, int(id, 16), self.attempts.get(int(id, 16), 0) + 1, MAX_IDS)

    def never_ran(self, id: str) -> None:
        """Record proof that one of the attempts under an id did not run."""
        number = int(id, 16)
        if number in self.attempts:
            self.attempts[number] -= 1
            if not self.attempts[number]:
                del self.attempts[number]
