"""The statistics that operators read: counters, and gauges that are read on demand."""

from collections import Counter
from collections.abc import Callable, Iterable
from enum import StrEnum

from hitchtiller.log import closes, printable

PREFIX = "svc"
ANSWER_KINDS = ("served", "refused", "failed")
WORTH_KINDS = ("asked", "in_time", "late", "refused", "failed", "left")


class Rejection(StrEnum):
    """Why a request got another answer than a served one; the values are names of figures."""

    INVALID = "invalid"  # could not be read
    TOO_LONG = "too_long"  # longer than any valid request
    REUSED = "reused"  # its id or its stream number was used before
    TOO_MANY_OPEN = "too_many_open"  # on its connection
    CLOSING = "closing"  # came on a connection that was closing
    DRAINING = "draining"
    LATE = "late"  # stayed unread too long: the loop lags
    MEMORY = "memory"  # no room for the request
    UNREAD = "unread"  # no room for its answer, as its client does not read its answers
    ROUTER_REFUSED = "router_refused"
    ROUTER_FAILED = "router_failed"
    REPEAT_WINDOW = "repeat_window"  # its effect may have run, and repeats are no longer dropped
    DEADLINE = "deadline"
    FLOOD = "flood"
    BAD_FRAME = "bad_frame"
    FAULT = "fault"


class Stats:
    """Statistics of one process; they start at 0, and every class is present from the start."""

    def __init__(self, classes: Iterable[str]) -> None:
        """Start all counters of these classes at 0."""
        self.answer_counts = {name: dict.fromkeys(ANSWER_KINDS, 0) for name in classes}
        self.requests_accepted = self.clients_left = self.attempts = 0
        self.worth = dict.fromkeys(WORTH_KINDS, 0.0)  # summed worth of requests by their result
        self.links = 0  # connections opened to servers; each costs a handshake
        self.attempt_results: dict[str, int] = {}  # results of attempts, by the decisions' status
        self.rejections: Counter[Rejection] = Counter()
        self.gauges: dict[str, Callable[[], int]] = {}  # gauges, read on demand: short peaks may be missed
        self.counters: dict[str, Callable[[], int]] = {}  # counters kept by other modules

    def record_answer(self, class_name: str, kind: str) -> None:
        """Count a final answer; classes that are not configured have no counter."""
        if answer_counts := self.answer_counts.get(class_name):
            answer_counts[kind] += 1

    def record_attempt_result(self, status: str) -> None:
        """Count the result of an attempt."""
        self.attempt_results[status] = self.attempt_results.get(status, 0) + 1

    def record_rejection(self, reason: Rejection) -> None:
        """Count a request that was refused or failed."""
        self.rejections[reason] += 1

    def figures_line(self) -> str:
        """Return the log line that `hitchtiller worth` sums over a fleet: totals since the process start."""
        worth = [f"worth.{name}={round(value, 3)}" for name, value in self.worth.items()]
        tries = [f"end.{name}={count}" for name, count in sorted(self.attempt_results.items())]
        return " ".join(["figures", *worth, *tries, f"links={self.links}"])

    def answer_totals(self) -> dict[str, int]:
        """Return the number of final answers of each kind over all classes, for the log's regular line."""
        return {
            kind: sum(answer_counts[kind] for answer_counts in self.answer_counts.values())
            for kind in ANSWER_KINDS
        }

    def lines(self) -> list[str]:
        """Return all statistics, one line each."""
        counted = {
            f"{kind}.{printable(name)}": n
            for name, answer_counts in self.answer_counts.items()
            for kind, n in answer_counts.items()
        }
        counted["attempts"] = self.attempts
        counted |= {f"rejected.{reason}": self.rejections[reason] for reason in Rejection}
        # without operators' calls, so that reading the statistics does not change them
        counted |= {
            f"closed.{end}": number
            for end, number in sorted(closes.items())
            if not end.startswith("control.")
        }
        counted |= {name: read() for name, read in self.counters.items()}
        levels = {name: read() for name, read in self.gauges.items()}
        return [f"{PREFIX}.{name}:{count}|c" for name, count in counted.items()] + [
            f"{PREFIX}.{name}:{level}|g" for name, level in levels.items()
        ]
