"""The model shared by the client side and the server side: a request, its attempts and its one final answer.

A front reads a `ClientRequest`; the engine makes an `Exchange` of it, and an `Attempt` each time that the
router chooses a server. Each attempt ends with one `AttemptResult`, and each exchange with one `Answer`.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from hitchtiller import interface as api
from hitchtiller.log import logger

SERVED, REFUSED, FAILED = "served", "refused", "failed"


@dataclass(slots=True)
class ClientRequest:
    """A request as read by a front; texts are passed on as the client wrote them."""

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
    client_tag: str = ""  # tag of the copy that the client already has
    background: bool = False  # yields to other requests
    repeatable: bool = True  # requests of its class may be repeated without harm
    write: bool = False  # runs at the origin: its answer is not a copy and has neither a tag nor a time

    def question(self, tag: str = "") -> int:
        """Return a hash of all that decides what a right answer is: equal for requests that ask the same.

        `tag` is that of the copy which a server is asked to compare with, by default the client's own.
        """
        asked = (self.class_name, self.object, self.part, self.group, self.dedupe, self.body)
        return hash((*asked, tag or self.client_tag))


@dataclass(slots=True)
class Answer:
    """A final answer, as written by a front."""

    kind: str
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    wait_ms: float = 0.0  # delay before the client should retry a refused request
    since_ms: int = 0  # when the origin sent the copy; 0 if the answer is not a copy
    usable_until_ms: float = -math.inf  # as of `AttemptResult`


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, with a status as in `api.Outcome`, and what a served one returned."""

    status: str
    body: bytes = b""
    unchanged: bool = False
    tag: str = ""
    load: dict[str, float] = field(default_factory=dict)
    since_ms: int = 0  # when the origin sent the copy; 0 if the body is not a copy
    note: int = 0  # as in api.Outcome: 1 hit, 2 filled ...; 0 if not reported
    waited_ms: float = 0.0  # time that the server waited for the first byte of its source, if reported
    silent: bool = False  # "econnrefused" because connecting timed out: the process itself may be alive
    # Until then a copy of it may be used even if the event bus is not heard, by `now_ms`.
    usable_until_ms: float = -math.inf


@dataclass(slots=True)
class SendLimits:
    """Limits of an attempt that are only known when its first byte is written."""

    max_age_ms: float  # maximum age of the copy that the server may answer with; 0 for no bound
    ttl_ms: float  # time until the deadline
    purged_ms: float = -math.inf  # latest known purge of the object: an answer from before it is too old


class Attempt:
    """One try of an exchange at one server; it ends once, by the first report of its end."""

    __slots__ = (
        "authorize", "ended", "exchange", "get", "on_end", "on_sent", "back_end_handle", "sent_ms", "index",
        "cancel_timer", "written", "process_is_certain", "max_age_ms",
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
        """Add an attempt; `authorize` is called before its first byte is sent, `on_sent` after its last."""
        self.exchange, self.get, self.sent_ms = exchange, get, sent_ms
        self.index = len(exchange.attempts)
        self.authorize, self.on_end, self.on_sent = authorize, on_end, on_sent
        self.cancel_timer: Callable[[], None] | None = None  # cancels the timer of its timeout
        self.back_end_handle: Any = None  # set and read by the server side only
        self.process_is_certain = True  # its connection leads to the process that the list names
        self.max_age_ms = 0.0  # of the copy that the server may answer with; 0 for no bound
        self.written = False  # its first byte was sent, so the server may have executed it
        self.ended = False
        exchange.attempts.append(self)

    def end(self, result: AttemptResult) -> None:
        """Report the end; further reports are ignored."""
        if self.ended:
            return
        self.ended = True
        if self.cancel_timer:
            self.cancel_timer()
        # breaks reference cycles: only the garbage collector could free them, and it stalls the loop
        self.cancel_timer = self.back_end_handle = None
        self.on_end(self, result)

    def abort(self, status: str) -> None:
        """End with a status, or with `skipped` if it was never written and so can't have run."""
        self.end(AttemptResult(status if self.written else "skipped"))


class Requester(Protocol):
    """The client that a request came from, as far as the engine has to know it."""

    def has_left(self) -> bool:
        """Return whether the client has closed its connection, also if that was not read yet."""

    def has_room(self, size: int) -> bool:
        """Return whether an answer with a body of `size` bytes can be written or held for the client."""


class Exchange:
    """An accepted request; it gets exactly one final answer unless its client leaves."""

    __slots__ = (
        "request", "attempts", "confirm_tag", "is_routed", "deliver", "cancel_deadline", "blocked_until_ms",
        "number", "is_over", "accepted_ms", "requester", "last_status",
    )  # fmt: skip

    def __init__(
        self,
        number: int,
        request: ClientRequest,
        deliver: Callable[[Answer], None],
        requester: Requester | None = None,
    ) -> None:
        """Start with a request; `deliver` sends the final answer to the client."""
        self.number, self.request, self.deliver, self.requester = number, request, deliver, requester
        self.attempts: list[Attempt] = []
        self.cancel_deadline: Callable[[], None] | None = None  # cancels the timer of its deadline
        self.is_over = False
        self.is_routed = False  # submitted to the router
        self.accepted_ms = 0.0
        self.last_status = ""  # of the attempt that ended last
        # until then an attempt that was given up may still reach its server, so no other may be sent
        self.blocked_until_ms = 0.0
        self.confirm_tag = ""  # tag of the gateway's own copy that a server is asked to confirm

    def finish(self, answer: Answer) -> bool:
        """Deliver an answer; return False if the exchange was over, as a second answer loses the request."""
        if not self.close():
            return False
        try:
            self.deliver(answer)
        except Exception:  # noqa: BLE001  a fault in a front must not affect other requests
            logger.exception("delivering an answer failed")
        return True

    def release_attempts(self) -> None:
        """Release the attempts once all have ended; this breaks reference cycles, as in `Attempt.end`."""
        if self.is_over and all(attempt.ended for attempt in self.attempts):
            self.attempts.clear()

    def close(self) -> bool:
        """Mark the exchange as over and cancel its deadline; return False if it was over already."""
        if self.is_over:
            return False
        self.is_over = True
        if self.cancel_deadline:
            self.cancel_deadline()
        return True
