"""What the commands that one connection has killed had asked, while their answers may still arrive. No I/O.

A server answers a command under its name and tells nothing of what was asked. A KILL may cross the answer,
so an answer that follows it may belong to the killed command or to a later one of the same name. Whether the
KILL came in time is never told: even after one answer, another may be on its way. So only a command that
asks the same may be written under the name of a killed one, on any connection to that server, until no
answer to the killed one can come any more.

Bounds. An entry expires LATE_ANSWER_MS after the last KILL of its name, unless an answer is being received at
that time, which may be the one. Above MAX_NAMES the oldest are removed first.
"""

from dataclasses import dataclass

from hitchtiller.back.recent_names import LATE_ANSWER_MS, MAX_NAMES


@dataclass(slots=True)
class KilledQuestion:
    """The killed commands of one name, all of which have asked the same."""

    question: int
    killed_ms: float
    unanswered: int = 0  # killed commands that no answer is counted for


class KilledQuestions:
    """The killed commands of one connection, by name; times are in Unix milliseconds."""

    def __init__(self) -> None:
        """Start without any."""
        self.by_name: dict[bytes, KilledQuestion] = {}  # the one that was killed first comes first

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self.by_name)

    def record_kill(self, name: bytes, question: int, now_ms: float, is_receiving: bool) -> None:
        """Record that a written command was killed; `is_receiving` tells that part of an answer is here."""
        killed = self.by_name.pop(name, None) or KilledQuestion(question, now_ms)
        killed.killed_ms = now_ms
        killed.unanswered += 1
        self.by_name[name] = killed
        self._expire(now_ms, is_receiving)

    def record_answer(self, name: bytes) -> None:
        """Count an answer for a killed command; a second copy of it may still follow."""
        if killed := self.by_name.get(name):
            killed.unanswered = max(0, killed.unanswered - 1)

    def allows(self, name: bytes, question: int, now_ms: float, is_receiving: bool) -> bool:
        """Return whether a command that asks this may be written under a name."""
        if name not in self.by_name:
            return True
        self._expire(now_ms, is_receiving)
        killed = self.by_name.get(name)
        return killed is None or killed.question == question

    def may_answer(self, name: bytes) -> bool:
        """Return whether the next answer under a name may belong to a killed command."""
        killed = self.by_name.get(name)
        return killed is not None and killed.unanswered > 0

    def _expire(self, now_ms: float, is_receiving: bool) -> None:
        while self.by_name:
            oldest = next(iter(self.by_name))
            is_over = now_ms - self.by_name[oldest].killed_ms > LATE_ANSWER_MS and not is_receiving
            if len(self.by_name) <= MAX_NAMES and not is_over:
                return
            del self.by_name[oldest]
