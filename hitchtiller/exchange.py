"""Where client side and server side meet: a request, its attempts, and its one final answer."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hitchtiller import interface as api
from hitchtiller.log import logger

SERVED, REFUSED, FAILED = "served", "refused", "failed"


@dataclass(slots=True)
class ClientRequest:
    """A request as any front reads it; texts are passed on as the client wrote them."""

    id: str
    class_name: str
    object: str
    key: int
    deadline_ms: float
    part: int = 0
    group: int = -1
    size_kb: float = 0.0
    body: bytes = b""
    dedupe: str = ""
    client_tag: str = ""  # tag of the copy that the client holds
    background: bool = False  # gives way to others
    repeatable: bool = True  # its class may be repeated freely
    write: bool = False  # its class runs at the origin: the answer is no copy, and has neither tag nor time


@dataclass(slots=True)
class Answer:
    """A final answer as any front writes it."""

    kind: str
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    wait_ms: float = 0.0
    since_ms: int = 0  # when the origin gave out the copy; 0 where it is no copy


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, in the decisions' words, with what a served one brought."""

    status: str
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    load: dict[str, float] = field(default_factory=dict)
    since_ms: int = 0  # when the origin gave out the copy; 0 where it is no copy
    note: int = 0  # as in api.Outcome: 1 hit, 2 filled ...; 0 where untold
    waited_ms: float = 0.0  # for the source's first byte, where told
    silent: bool = False  # refused by silence: no connection came up, which tells nothing of the process


@dataclass(slots=True)
class SendLimits:
    """What is settled only when an attempt's first byte goes out."""

    cap_ms: float
    ttl_ms: float


class Attempt:
    """One send of an exchange; it ends once, whoever says so first."""

    __slots__ = (
        "authorize", "ended", "exchange", "get", "on_end", "on_sent", "back_end_handle", "sent_ms", "index",
        "cancel_timer", "written",
    )  # fmt: skip

    def __init__(
        self,
        exchange: "Exchange",
        get: api.Get,
        sent_ms: float,
        authorize: Callable[["Attempt"], SendLimits | None],
        on_end: Callable[["Attempt", AttemptResult], None],
        on_sent: Callable[[], None],
    ) -> None:
        """Make the next attempt; `authorize` is asked before the first byte, `on_sent` hears of the last."""
        self.exchange, self.get, self.sent_ms = exchange, get, sent_ms
        self.index = len(exchange.attempts)
        self.authorize, self.on_end, self.on_sent = authorize, on_end, on_sent
        self.cancel_timer: Callable[[], None] | None = None  # takes its timer back
        self.back_end_handle: Any = None  # where the server side put it
        self.written = False  # its first byte went out: from here it may run
        self.ended = False
        exchange.attempts.append(self)

    def end(self, result: AttemptResult) -> None:
        """Report the end; a second report is passed over."""
        if self.ended:
            return
        self.ended = True
        if self.cancel_timer:
            self.cancel_timer()
        # no cycles: they would need the garbage collector, which stalls
        self.cancel_timer = self.back_end_handle = None
        self.on_end(self, result)

    def drop(self, status: str) -> None:
        """End with a word, or with `skipped` if it was never written: then it can't have run."""
        self.end(AttemptResult(status if self.written else "skipped"))


class Exchange:
    """A taken request: it is owed exactly one final answer, unless its client leaves."""

    __slots__ = (
        "request", "attempts", "confirm_tag", "decided", "deliver", "cancel_deadline", "blocked_until_ms", "number",
        "over", "taken_ms",
    )  # fmt: skip

    def __init__(self, number: int, request: ClientRequest, deliver: Callable[[Answer], None]) -> None:
        """Take a request; `deliver` carries the final answer to the client."""
        self.number, self.request, self.deliver = number, request, deliver
        self.attempts: list[Attempt] = []
        self.cancel_deadline: Callable[[], None] | None = None  # takes the overdue timer back
        self.over = False
        self.decided = False  # the decisions have it
        self.taken_ms = 0.0
        # until then an attempt that was given up may still be out: none may follow it
        self.blocked_until_ms = 0.0
        self.confirm_tag = ""  # tag of a copy of our own that a server is asked about

    def finish(self, answer: Answer) -> bool:
        """Answer; False if the exchange was over: a second answer would lose the request."""
        if not self.close():
            return False
        try:
            self.deliver(answer)
        except Exception:  # noqa: BLE001  a front's fault must not reach the engine's other requests
            logger.exception("an answer could not be delivered")
        return True

    def release_attempts(self) -> None:
        """Let its attempts go once all is over: no cycles, as in Attempt.end."""
        if self.over and all(attempt.ended for attempt in self.attempts):
            self.attempts.clear()

    def close(self) -> bool:
        """End without an answer: the client has left."""
        if self.over:
            return False
        self.over = True
        if self.cancel_deadline:
            self.cancel_deadline()
        return True
