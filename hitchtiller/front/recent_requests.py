"""What clients have lately asked under each request id. Decided without I/O.

A client gives each request a new id. One that comes again with another question is invalid: servers and
the records of attempts know a request by its id alone, and what is still under way for the first one would
be taken for the second. The same request may come again, as when it crosses the close of a connection.

Bounds. An id is remembered until LATE_ANSWER_MS after its request's deadline; above MAX_IDS the oldest are
removed first. Under a higher load `back/killed_questions.py` still tells late answers apart.
"""

from hitchtiller.exchange import ClientRequest

LATE_ANSWER_MS = 6_000.0  # after the deadline: nothing of the request is under way any more
MAX_IDS = 2_048


class RecentRequests:
    """The questions of accepted requests by id; times are in Unix milliseconds."""

    def __init__(self) -> None:
        """Start without any."""
        self.by_id: dict[int, tuple[int, float]] = {}  # the question, and until when it is remembered

    def asks_otherwise(self, request: ClientRequest, now_ms: float) -> bool:
        """Return whether the id of a request was lately used with another question."""
        question, until_ms = self.by_id.get(int(request.id, 16), (0, 0.0))
        return now_ms < until_ms and question != request.question()

    def remember(self, request: ClientRequest, now_ms: float) -> None:
        """Record an accepted request, and remove what has expired."""
        number = int(request.id, 16)
        self.by_id.pop(number, None)
        self.by_id[number] = request.question(), request.deadline_ms + LATE_ANSWER_MS
        while len(self.by_id) > 1:
            oldest = next(iter(self.by_id))
            if len(self.by_id) <= MAX_IDS and now_ms < self.by_id[oldest][1]:
                return
            del self.by_id[oldest]
