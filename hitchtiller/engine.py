"""Carries events to the decisions and their actions out; knows exchanges, no protocol and no socket."""

from collections import deque
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Protocol

from hitchtiller import interface as api
from hitchtiller.decide import NEVER_RAN, Router
from hitchtiller.exchange import (
    FAILED,
    REFUSED,
    SERVED,
    Answer,
    Attempt,
    AttemptResult,
    ClientRequest,
    Exchange,
    SendLimits,
)
from hitchtiller.log import logger
from hitchtiller.news import Event, PurgeNotice, Topology
from hitchtiller.ops.stats import Stats
from hitchtiller.routing.effects import Effects


class Timer(Protocol):
    """What a clock gives for a later call."""

    def cancel(self) -> None:
        """Take the call back."""


class Clock(Protocol):
    """Time in Unix milliseconds, and later calls."""

    def now_ms(self) -> float:
        """Read the clock."""

    def later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Call later."""


class Back(Protocol):
    """The server side."""

    def send(self, attempt: Attempt) -> None:
        """Carry an attempt to its server."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up; its end is reported by the caller."""

    def probe(self, server: str, report: Callable[[str, dict[str, float]], None]) -> None:
        """Check a server."""

    def follow(self, news: Topology) -> Callable[[], None]:
        """Take the list's news; the call that it gives ends what was out on processes that are gone."""


class Copies(Protocol):
    """Copies of the gateway's own, asked before the decisions are."""

    def take(self, exchange: Exchange) -> bool:
        """Take a request: True if it is answered, or waits for what may answer it."""

    def may_send(self, exchange: Exchange) -> bool:
        """Tell whether one more attempt may go out for all that wait for it."""

    def cap(self, exchange: Exchange, cap_ms: float, now_ms: float) -> float:
        """Bound the age of the copy that is asked for further; 0 for no bound."""

    def on_result(self, attempt: Attempt, ending: AttemptResult) -> AttemptResult:
        """Take a served attempt's end, to keep it or to put a confirmed copy's bytes in."""

    def fallback(self, exchange: Exchange, answer: Answer) -> Answer:
        """Give what is better than a refusal or a failure, if there is something."""

    def over(self, exchange: Exchange, answer: Answer | None) -> None:
        """Hear of a request's end; None if its client left."""

    def purged(self, ban: PurgeNotice) -> None:
        """Hear of a purge before the decisions do."""


class Engine:
    """The events of one gateway, in order, into `Router.handle`; the actions out."""

    def __init__(
        self,
        router: Router,
        clock: Clock,
        back: Back,
        send_note: Callable[[int, api.PeerNote | api.LeaseNote], None],
    ) -> None:
        """Join the parts."""
        self.router, self.clock, self.back, self.send_note = router, clock, back, send_note
        self.open: dict[int, Exchange] = {}
        self.ids: set[str] = set()  # of what is open, as clients name it
        self.numbers = count(1)
        self.events: deque[api.Event] = deque()
        self.busy = False
        self.copies: Copies | None = None
        self.effects = Effects(router.settings.classes)
        self.behind: Callable[[], bool] = bool  # tells whether news may have been missed
        self.purge_listeners: list[Callable[[PurgeNotice], object]] = []
        self.on_final_answer: Callable[[Exchange, Answer], None] | None = None  # hears of each final answer
        self.stats = Stats(router.settings.classes)
        self.stats.levels = {
            "in_flight": lambda: len(self.open),
            "station_caches_known": lambda: len(router.nodes),
            "station_caches_excluded": lambda: sum(not router.usable(n) for n in router.nodes.values()),
        }
        if not router.leases.fixed_fills:
            self.stats.levels["origin_fills"] = lambda: router.leases.fills_in_flight
            self.stats.counts["origin_leases_granted"] = lambda: router.leases.granted
            self.stats.counts["origin_leases_denied"] = lambda: router.leases.denied

    # Client side

    def has(self, id: str) -> bool:
        """Tell whether a request of this id is open, whoever asked."""
        return id.lower() in self.ids

    def take(self, ask: ClientRequest, deliver: Callable[[Answer], None]) -> Exchange:
        """Take a request; `deliver` gets its final answer, unless it leaves."""
        exchange = Exchange(next(self.numbers), ask, deliver)
        self.open[exchange.number] = exchange
        self.ids.add(ask.id.lower())
        self.stats.taken += 1
        self._worth("asked", exchange)
        exchange.taken_ms = self.clock.now_ms()
        delay = ask.deadline_ms - exchange.taken_ms
        exchange.guard = self.clock.later(delay, partial(self.expire, exchange)).cancel
        if self.effects.window_passed(ask.class_name, ask.dedupe, exchange.taken_ms):
            self.fail(exchange)  # an earlier try may have run, and a repeat would not be dropped any more
        elif self.copies is None or not self.copies.take(exchange):
            self.decide(exchange)
        return exchange

    def decide(self, exchange: Exchange) -> None:
        """Hand a request to the decisions, once."""
        if exchange.over or exchange.decided:
            return
        exchange.decided, ask = True, exchange.request
        self.submit(
            api.Request(
                exchange.number, ask.class_name, ask.key, ask.deadline_ms, ask.size_kb, ask.group, ask.part
            )
        )

    def leave(self, exchange: Exchange) -> None:
        """Nobody waits for it any more: stop its attempts."""
        if exchange.close():
            self.stats.left += 1
            self._worth("left", exchange)
            self.abandon(exchange)

    def expire(self, exchange: Exchange) -> None:
        """At the deadline end what is out; answer in place of decisions that did not then."""
        for attempt in list(exchange.attempts):
            self.cancel(attempt, "etimedout")
        if exchange.over:
            return
        # guards against a request that stays without an end: one that waits for a peer, or a fault
        logger.warning("request {} was overdue", exchange.request.id)
        self.fail(exchange)

    def fail(self, exchange: Exchange) -> None:
        """Answer in place of the decisions, which hear of it as of a client that left."""
        self.finish(exchange, Answer(FAILED))
        self.abandon(exchange)

    def abandon(self, exchange: Exchange) -> None:
        """Tell the decisions that a request is over and cancel what is out for it."""
        self._drop(exchange)
        if exchange.decided:
            self.submit(api.ClientLeft(exchange.number))
        if self.copies:
            self.copies.over(exchange, None)
        for attempt in list(exchange.attempts):
            self.cancel(attempt, "ecanceled")

    def _drop(self, exchange: Exchange) -> None:
        if self.open.pop(exchange.number, None):
            self.ids.discard(exchange.request.id.lower())

    def finish(self, exchange: Exchange, answer: Answer) -> None:
        """Give the final answer, once."""
        if self.copies and answer.kind != SERVED:
            answer = self.copies.fallback(exchange, answer)
        ask = exchange.request
        if answer.kind == REFUSED and not self.effects.retry_is_safe(
            ask.class_name, ask.dedupe, self.clock.now_ms()
        ):
            answer = Answer(FAILED)  # a refusal would say that trying again does no harm
        self._drop(exchange)
        if exchange.finish(answer):
            self.stats.end(exchange.request.class_name, answer.kind)
            self._worth(answer.kind, exchange)
            if self.on_final_answer:
                self.on_final_answer(exchange, answer)
            if self.copies:
                self.copies.over(exchange, answer)
        exchange.settle()

    def _worth(self, what: str, exchange: Exchange) -> None:
        """Count a request's worth under what became of it; `served` is told apart by its class's aim."""
        settings, ask = self.router.settings, exchange.request
        if (cls := settings.classes.get(ask.class_name)) is None:
            return
        if what == SERVED:
            work = 1000.0 * ask.size_kb / settings.flow_kb_per_s if settings.flow_kb_per_s else 0.0
            prompt = self.clock.now_ms() - exchange.taken_ms <= cls.aim_ms + cls.aim_stretch * work
            what = "in_time" if prompt else "late"
        self.stats.worth[what] += cls.worth

    # News

    def news(self, event: Event) -> None:
        """Take an event of the bus."""
        if isinstance(event, PurgeNotice):
            if self.copies:
                self.copies.purged(event)
            for hear in self.purge_listeners:
                hear(event)
            age = max(0.0, self.clock.now_ms() - event.at_ms)
            self.submit(api.Purged(event.key, event.group, age))
            return
        settle = self.back.follow(event)  # new servers are known before the decisions name them,
        self.submit(api.Members(tuple(host.member for host in event.hosts), whole=event.whole))
        settle()  # and gone ones end their attempts once the decisions know to go elsewhere

    # Decisions

    def submit(self, event: api.Event) -> None:
        """Hand an event over; events that come of its actions follow it in order."""
        self.events.append(event)
        if self.busy:
            return
        self.busy = True
        try:
            while self.events:
                self.step(self.events.popleft())
        finally:
            self.busy = False

    def step(self, event: api.Event) -> None:
        """Decide on one event; a fault ends the one request concerned, not the program."""
        try:
            for action in self.router.handle(event, self.clock.now_ms()):
                self.execute(action)
        except Exception:  # noqa: BLE001  an exception for one request must not lose the others
            logger.exception("deciding on {} failed", type(event).__name__)
            exchange = self.open.get(getattr(event, "id", 0))
            if exchange and not isinstance(event, api.ClientLeft):
                self.fail(exchange)

    def execute(self, action: api.Action) -> None:
        """Carry out one action."""
        match action:
            case api.Get():
                self.send(action)
            case api.Refuse():
                if exchange := self.open.get(action.id):
                    self.finish(exchange, Answer(REFUSED, wait_ms=action.retry_after_ms))
            case api.Fail():
                if exchange := self.open.get(action.id):
                    self.finish(exchange, Answer(FAILED))
            case api.Cancel():
                if exchange := self.open.get(action.id):
                    self.cancel(exchange.attempts[action.attempt], "ecanceled")
            case api.SetTimer():
                self.clock.later(action.delay_ms, partial(self.submit, api.TimerDue(action.token)))
            case api.SendNote():
                self.send_note(action.peer, action.note)
            case api.Probe():
                begun = self.clock.now_ms()
                self.back.probe(action.server, partial(self.probed, action.server, begun))
            case api.Log():
                logger.info("{}", action.text)
            case api.Watch():
                pass  # the bus tells unasked

    def probed(self, server: str, begun: float, status: str, load: dict[str, float]) -> None:
        """Take a probe's result."""
        self.submit(api.Probed(server, status, self.clock.now_ms() - begun, load))

    def send(self, get: api.Get) -> None:
        """Make an attempt."""
        exchange = self.open.get(get.id)
        if exchange is None:
            return
        now = self.clock.now_ms()
        spared = self.copies is not None and not self.copies.may_send(exchange)
        attempt = Attempt(exchange, get, now, self.authorize, self.ended, self.sent)
        if 0.0 < get.timeout_ms < exchange.request.deadline_ms - now - 1.0:  # else the deadline ends it
            timer = self.clock.later(get.timeout_ms, partial(self.cancel, attempt, "etimedout"))
            attempt.timeout = timer.cancel
        if spared:
            attempt.drop("skipped")  # it was never written, so it can't have run
        else:
            self.back.send(attempt)

    def authorize(self, attempt: Attempt) -> SendLimits | None:
        """Ask the decisions again at the first byte: drains and purges may have come since."""
        now, ask = self.clock.now_ms(), attempt.exchange.request
        if attempt.ended or attempt.exchange.over or self.behind():
            return None
        try:
            node = self.router.nodes.get(attempt.get.server)  # it may have gone meanwhile
            if not node or not self.effects.may_begin(ask.class_name, ask.dedupe, node.member, now):
                return None
            cap = self.router.recheck_send(attempt.get.id, attempt.shot, now)
        except Exception:  # noqa: BLE001  it would take a connection's other jobs along
            logger.exception("clearing an attempt failed")
            return None
        if cap is not None and self.copies:
            cap = self.copies.cap(attempt.exchange, cap, now)
        if cap is None:
            return None
        self.effects.begin(ask.class_name, ask.dedupe, node.member, now)
        return SendLimits(cap, ask.deadline_ms - now)

    def sent(self) -> None:
        """Count an attempt that was written whole."""
        self.stats.attempts += 1

    def cancel(self, attempt: Attempt, word: str) -> None:
        """Give an attempt up."""
        if not attempt.ended:
            self.back.cancel(attempt)
            attempt.drop(word)

    def ended(self, attempt: Attempt, ending: AttemptResult) -> None:
        """Take an attempt's end: the first served one is the answer."""
        exchange = attempt.exchange
        self.stats.tried(ending.status)
        if attempt.written and ending.status in NEVER_RAN:
            self.effects.never_ran(exchange.request.class_name, exchange.request.dedupe)
        if ending.status == "done" and self.copies:
            ending = self.copies.on_result(attempt, ending)
        if ending.status == "done" and not exchange.over:
            answer = Answer(SERVED, ending.body, ending.unchanged, ending.tag, since_ms=ending.since_ms)
            self.finish(exchange, answer)
        self.submit(
            api.Outcome(
                attempt.get.id,
                attempt.shot,
                attempt.get.server,
                ending.status,
                self.clock.now_ms() - attempt.sent_ms,
                closed=exchange.over,
                note=ending.note,
                waited_ms=ending.waited_ms,
                silent=ending.silent,
                whole=not ending.unchanged and not exchange.confirm_tag,
                load=ending.load,
            )
        )
        exchange.settle()
