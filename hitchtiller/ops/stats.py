"""The figures that operators read: counters in one place, and levels that are read when asked for."""

from collections.abc import Callable, Iterable

PREFIX = "svc"
ANSWER_KINDS = ("served", "refused", "failed")
WORTH_KINDS = ("asked", "in_time", "late", "refused", "failed", "left")


class Stats:
    """Counts from 0 in each process; every class is there from the start."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Start at 0."""
        self.answer_counts = {name: dict.fromkeys(ANSWER_KINDS, 0) for name in classes}
        self.taken = self.left = self.attempts = 0
        self.worth = dict.fromkeys(WORTH_KINDS, 0.0)  # of requests, by what became of them
        self.links = 0  # connections opened to servers: each has cost a handshake
        self.tries: dict[str, int] = {}  # ends of attempts, in the decisions' words
        self.levels: dict[str, Callable[[], int]] = {}  # read when asked: steps may be missed
        self.counts: dict[str, Callable[[], int]] = {}  # counters that other parts hold

    def end(self, class_name: str, kind: str) -> None:
        """Count a final answer; a class that the settings don't have has no counter."""
        if answer_counts := self.answer_counts.get(class_name):
            answer_counts[kind] += 1

    def tried(self, status: str) -> None:
        """Count an attempt's end."""
        self.tries[status] = self.tries.get(status, 0) + 1

    def figures(self) -> str:
        """Write the line that `hitchtiller worth` sums over a fleet: all since the start of the process."""
        worth = [f"worth.{name}={round(value, 3)}" for name, value in self.worth.items()]
        tries = [f"end.{name}={count}" for name, count in sorted(self.tries.items())]
        return " ".join(["figures", *worth, *tries, f"links={self.links}"])

    def total(self) -> dict[str, int]:
        """Sum the ends over the classes, for the log's regular line."""
        return {
            kind: sum(answer_counts[kind] for answer_counts in self.answer_counts.values())
            for kind in ANSWER_KINDS
        }

    def lines(self) -> list[str]:
        """Write all figures, a line each."""
        counted = {
            f"{kind}.{name}": n
            for name, answer_counts in self.answer_counts.items()
            for kind, n in answer_counts.items()
        }
        counted["attempts"] = self.attempts
        counted |= {name: read() for name, read in self.counts.items()}
        levels = {name: read() for name, read in self.levels.items()}
        return [f"{PREFIX}.{name}:{count}|c" for name, count in counted.items()] + [
            f"{PREFIX}.{name}:{level}|g" for name, level in levels.items()
        ]
