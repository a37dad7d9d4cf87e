"""Event dispatch of one gateway: feeds events to the router and executes the actions that it returns.

Clients, back ends, the event bus and timers turn what happens into events. `Engine` hands them to
`Router.handle` one at a time and in order, and executes the resulting actions. It works on exchanges (a
request with its attempts and its final answer) and knows neither protocols nor sockets.
"""

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
    Requester,
    SendLimits,
)
from hitchtiller.log import logger
from hitchtiller.news import Event, PurgeNotice, Topology
from hitchtiller.ops.request_log import RequestLog
from hitchtiller.ops.stats import Rejection, Stats
from hitchtiller.routing.effects import Effects, UnconfirmedEffect
from hitchtiller.routing.request_ids import RequestIds
from hitchtiller.routing.unheard import UnheardPurges


class Timer(Protocol):
    """A pending call, as returned by `Clock.later`."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """The current time, and calls after a delay."""

    def now_ms(self) -> float:
        """Return the time for spans and deadlines in Unix milliseconds; steps of the clock don't show."""

    def wall_ms(self) -> float:
        """Return the wall clock in Unix milliseconds, for comparisons with times from other machines."""

    def later(self, delay_ms: float, call: Callable[[], object]) -> Timer:
        """Schedule a call after a delay and return its timer."""


class BackEnd(Protocol):
    """The server side: sends attempts and probes to the listed servers."""

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its server."""

    def cancel(self, attempt: Attempt) -> None:
        """Give up an attempt; the caller reports its end."""

    def probe(self, server: str, report: Callable[[str, dict[str, float]], None]) -> None:
        """Probe a server; `report` receives the status and the load report."""

    def follow(self, news: Topology) -> Callable[[], None]:
        """Apply a change of the list of servers.

        Returns a callable that closes the connections to processes that are gone, and so ends the attempts on
        them.
        """


class Copies(Protocol):
    """The gateway's own copies of objects, which are tried before a request goes to the router."""

    def try_serve(self, exchange: Exchange) -> bool:
        """Try to serve a request; return True if it is answered, or waits for a fill or a disk read."""

    def may_send(self, exchange: Exchange) -> bool:
        """Return whether one more attempt may be sent on behalf of all requests that wait for this object."""

    def limit_age(self, exchange: Exchange, cap_ms: float) -> float:
        """Tighten the maximum age (ms) of the copy that a server may answer with; 0 means no bound."""

    def on_result(self, attempt: Attempt, result: AttemptResult) -> AttemptResult:
        """Store a served result as a copy, or fill in the body of a copy that the server has confirmed."""

    def fallback(self, exchange: Exchange, answer: Answer) -> Answer:
        """Return a better answer than a refusal or a failure if there is one, else `answer`."""

    def on_request_end(self, exchange: Exchange, answer: Answer | None) -> None:
        """Handle the end of a request; `answer` is None if it was abandoned."""

    def on_purge(self, purge: PurgeNotice) -> None:
        """Handle a purge; called before the router handles it."""


class EffectSharing(Protocol):
    """Tells the other process of an upgrade which effects may have run, and learns the same of it."""

    @property
    def is_active(self) -> bool:
        """Return whether another process lives."""

    def publish_id(self, id: str) -> None:
        """Tell that an attempt under an id is about to begin."""

    def publish_key(self, class_name: str, key: str, effect: UnconfirmedEffect) -> None:
        """Tell that an attempt of a keyed effect is about to begin."""

    def read_others(self) -> None:
        """Learn what the other process has told since the last call."""


class Engine:
    """Feeds the events of one gateway to `Router.handle` in order and executes the resulting actions."""

    def __init__(
        self,
        router: Router,
        clock: Clock,
        back: BackEnd,
        send_note: Callable[[int, api.PeerNote | api.LeaseNote], None],
    ) -> None:
        """Connect the router to the clock, to the back ends and to the other gateways."""
        self.router, self.clock, self.back_end, self.send_note = router, clock, back, send_note
        self.open_exchanges: dict[int, Exchange] = {}
        self.open_ids: set[str] = set()  # ids given by clients, of the open requests
        self.request_numbers = count(1)
        self.event_queue: deque[api.Event] = deque()
        self.is_dispatching = False
        self.copies: Copies | None = None
        self.effects = Effects(router.settings.classes)
        self.request_ids = RequestIds(router.settings.classes)
        self.shared_effects: EffectSharing | None = None  # with the other process of an upgrade
        self.unheard_purges = UnheardPurges.of(router.settings)
        self.unheard_ms: Callable[[], float] = float  # time since all events of the bus were known
        self.may_lack_events: Callable[[], bool] = bool  # whether bus events may have been missed
        self.purge_listeners: list[Callable[[PurgeNotice], object]] = []
        self.on_final_answer: Callable[[Exchange, Answer], None] | None = None  # called for each final answer
        self.stats, self.request_log = Stats(router.settings.classes), RequestLog()
        self.stats.gauges = {
            "in_flight": lambda: len(self.open_exchanges),
            "station_caches_known": lambda: len(router.nodes),
            "station_caches_excluded": lambda: sum(not router.is_usable(n) for n in router.nodes.values()),
        }
        if not router.leases.fixed_fills:
            self.stats.gauges["origin_fills"] = lambda: router.leases.fills_in_flight
            self.stats.counters["origin_leases_granted"] = lambda: router.leases.grants_received
            self.stats.counters["origin_leases_denied"] = lambda: router.leases.denials_received

    # Client side

    def has_request(self, id: str) -> bool:
        """Return whether a request with this id is open, from any client."""
        return id.lower() in self.open_ids

    def accept(
        self,
        request: ClientRequest,
        deliver: Callable[[Answer], None],
        requester: Requester | None = None,
    ) -> Exchange:
        """Start handling a request; `deliver` receives its final answer unless the client leaves."""
        exchange = Exchange(next(self.request_numbers), request, deliver, requester)
        self.open_exchanges[exchange.number] = exchange
        self.open_ids.add(request.id.lower())
        self.stats.requests_accepted += 1
        self._count_worth("asked", exchange)
        exchange.accepted_ms = self.clock.now_ms()
        delay_ms = request.deadline_ms - exchange.accepted_ms
        exchange.cancel_deadline = self.clock.later(delay_ms, partial(self.on_deadline, exchange)).cancel
        if self.shared_effects and not request.repeatable:
            self.shared_effects.read_others()
        if self.request_ids.may_have_run(request.id):
            self.fail(exchange, Rejection.REUSED)
        elif self.effects.window_passed(request.class_name, request.dedupe, exchange.accepted_ms):
            # an earlier attempt may have run, and servers no longer drop its repeat
            self.fail(exchange, Rejection.REPEAT_WINDOW)
        elif self.copies is None or not self.copies.try_serve(exchange):
            self.route(exchange)
        return exchange

    def route(self, exchange: Exchange) -> None:
        """Submit a request to the router, at most once."""
        if exchange.is_over or exchange.is_routed:
            return
        exchange.is_routed, request = True, exchange.request
        self.submit(
            api.Request(
                exchange.number,
                request.class_name,
                request.key,
                request.deadline_ms,
                request.size_kb,
                request.group,
                request.part,
            )
        )

    def client_left(self, exchange: Exchange) -> None:
        """Handle a client that left: close the exchange and cancel its attempts."""
        if exchange.close():
            self.stats.clients_left += 1
            self._count_worth("left", exchange)
            self.abandon(exchange)

    def on_deadline(self, exchange: Exchange) -> None:
        """At the deadline, end the attempts in flight; fail the request if the router has not answered it."""
        for attempt in list(exchange.attempts):
            self.cancel(attempt, "etimedout")
        if exchange.is_over:
            return
        # prevents a request without any answer: it may still wait for another gateway, or a fault lost it
        logger.warning("request {} got no answer before its deadline; failing it", exchange.request.id)
        self.fail(exchange, Rejection.DEADLINE)

    def fail(self, exchange: Exchange, reason: Rejection) -> None:
        """Fail a request without the router, and report to the router that its client left."""
        self._record_rejection(exchange, FAILED, reason)
        self.finish(exchange, Answer(FAILED))
        self.abandon(exchange)

    def _record_rejection(self, exchange: Exchange, kind: str, reason: Rejection) -> None:
        self.stats.record_rejection(reason)
        request = exchange.request
        self.request_log.record_rejection(request.id, request.class_name, kind, reason)

    def abandon(self, exchange: Exchange) -> None:
        """Tell the router and the copies that a request is over, and cancel its attempts."""
        self._remove_open(exchange)
        if exchange.is_routed:
            self.submit(api.ClientLeft(exchange.number))
        if self.copies:
            self.copies.on_request_end(exchange, None)
        for attempt in list(exchange.attempts):
            self.cancel(attempt, "ecanceled")

    def _remove_open(self, exchange: Exchange) -> None:
        if self.open_exchanges.pop(exchange.number, None):
            self.open_ids.discard(exchange.request.id.lower())

    def finish(self, exchange: Exchange, answer: Answer) -> None:
        """Deliver the final answer, at most once."""
        if self.copies and answer.kind != SERVED:
            answer = self.copies.fallback(exchange, answer)
        request, requester = exchange.request, exchange.requester
        if answer.body and requester and not exchange.is_over and not requester.has_room(len(answer.body)):
            self._record_rejection(exchange, FAILED, Rejection.UNREAD)
            answer = Answer(FAILED)  # its client reads too slowly for all its answers to be held
        if answer.kind == REFUSED and (
            self.request_ids.may_have_run(request.id)
            or not self.effects.retry_is_safe(request.class_name, request.dedupe, self.clock.now_ms())
        ):
            answer = Answer(FAILED)  # a refusal would tell the client that a retry is safe
        self._remove_open(exchange)
        if exchange.finish(answer):
            self.stats.record_answer(exchange.request.class_name, answer.kind)
            self._count_worth(answer.kind, exchange)
            if self.on_final_answer:
                self.on_final_answer(exchange, answer)
            if self.copies:
                self.copies.on_request_end(exchange, answer)
        exchange.release_attempts()

    def _count_worth(self, outcome: str, exchange: Exchange) -> None:
        """Add a request's worth to the total of its outcome.

        `served` is split into `in_time` and `late` by the aim of the request's class.
        """
        settings, request = self.router.settings, exchange.request
        if (cls := settings.classes.get(request.class_name)) is None:
            return
        if outcome == SERVED:
            transfer_ms = 1000.0 * request.size_kb / settings.flow_kb_per_s if settings.flow_kb_per_s else 0.0
            in_time = self.clock.now_ms() - exchange.accepted_ms <= cls.aim_ms + cls.aim_stretch * transfer_ms
            outcome = "in_time" if in_time else "late"
        self.stats.worth[outcome] += cls.worth

    # Bus events

    def on_bus_event(self, event: Event) -> None:
        """Handle an event of the bus: a purge, or a change of the list of servers."""
        if isinstance(event, PurgeNotice):
            if self.copies:
                self.copies.on_purge(event)
            for listener in self.purge_listeners:
                listener(event)
            # the younger a purge is taken for, the fresher the copies that are accepted after it
            age_ms = max(0.0, min(self.clock.now_ms(), self.clock.wall_ms()) - event.at_ms)
            self.submit(api.Purged(event.key, event.group, age_ms))
            return
        close_stale = self.back_end.follow(event)  # first: servers must be known before the router names them
        self.submit(api.Members(tuple(host.member for host in event.hosts), whole=event.whole))
        close_stale()  # last: by now the router retries the attempts that this ends on other servers

    # Decisions of the router

    def submit(self, event: api.Event) -> None:
        """Submit an event to the router; events that its actions cause are handled after it, in order."""
        self.event_queue.append(event)
        if self.is_dispatching:
            return
        self.is_dispatching = True
        try:
            while self.event_queue:
                self.process_event(self.event_queue.popleft())
        finally:
            self.is_dispatching = False

    def process_event(self, event: api.Event) -> None:
        """Handle one event; an exception fails only the request concerned and is logged."""
        try:
            for action in self.router.handle(event, self.clock.now_ms()):
                self.execute(action)
        except Exception:  # noqa: BLE001  a fault in one request must not affect the others
            logger.exception("handling the event {} failed", type(event).__name__)
            exchange = self.open_exchanges.get(getattr(event, "id", 0))
            if exchange and not isinstance(event, api.ClientLeft):
                self.fail(exchange, Rejection.FAULT)

    def execute(self, action: api.Action) -> None:
        """Execute one action."""
        match action:
            case api.Get():
                self.send(action)
            case api.Refuse():
                if exchange := self.open_exchanges.get(action.id):
                    self._record_rejection(exchange, REFUSED, Rejection.ROUTER_REFUSED)
                    self.finish(exchange, Answer(REFUSED, wait_ms=action.retry_after_ms))
            case api.Fail():
                if exchange := self.open_exchanges.get(action.id):
                    self._record_rejection(exchange, FAILED, Rejection.ROUTER_FAILED)
                    self.finish(exchange, Answer(FAILED))
            case api.Cancel():
                if exchange := self.open_exchanges.get(action.id):
                    self.cancel(exchange.attempts[action.attempt], "ecanceled")
            case api.SetTimer():
                self.clock.later(action.delay_ms, partial(self.submit, api.TimerDue(action.token)))
            case api.SendNote():
                self.send_note(action.peer, action.note)
            case api.Probe():
                begun_ms = self.clock.now_ms()
                self.back_end.probe(action.server, partial(self.on_probe_result, action.server, begun_ms))
            case api.Log():
                logger.info("{}", action.text)
            case api.WatchDiscovery():
                pass  # the bus sends changes without being asked

    def on_probe_result(self, server: str, begun_ms: float, status: str, load: dict[str, float]) -> None:
        """Submit the result of a probe."""
        self.submit(api.Probed(server, status, self.clock.now_ms() - begun_ms, load))

    def send(self, get: api.Get) -> None:
        """Start an attempt, unless the copies know that none may be sent for this request."""
        exchange = self.open_exchanges.get(get.id)
        if exchange is None:
            return
        now = self.clock.now_ms()
        if exchange.attempts:
            number, request_id = len(exchange.attempts), exchange.request.id
            self.request_log.record_retry(request_id, number, get.server, exchange.last_status)
        withheld = self.copies is not None and not self.copies.may_send(exchange)
        attempt = Attempt(exchange, get, now, self.authorize, self.on_attempt_end, self.on_attempt_written)
        if 0.0 < get.timeout_ms < exchange.request.deadline_ms - now - 1.0:  # otherwise the deadline ends it
            timer = self.clock.later(get.timeout_ms, partial(self.cancel, attempt, "etimedout"))
            attempt.cancel_timer = timer.cancel
        if withheld:
            attempt.abort("skipped")  # never written, so it can't have run
        else:
            self.back_end.send(attempt)

    def authorize(self, attempt: Attempt) -> SendLimits | None:
        """Check an attempt again just before its first byte is written; None if it must not be sent.

        Drains and purges may have arrived since the router chose the server.
        """
        now, request = self.clock.now_ms(), attempt.exchange.request
        if attempt.ended or attempt.exchange.is_over or self.may_lack_events():
            return None
        requester = attempt.exchange.requester
        if requester and requester.has_left():
            return None
        try:
            node = self.router.nodes.get(attempt.get.server)  # None if it was delisted in the meantime
            if node and not request.repeatable and not self._claim(request, node.member, now):
                return None
            if not node or not self.effects.may_begin(
                request.class_name, request.dedupe, node.member, now, attempt.process_is_certain
            ):
                return None
            cap = self.router.recheck_send(attempt.get.id, attempt.index, now)
        except Exception:  # noqa: BLE001  it would end the other attempts of the connection
            logger.exception("checking an attempt before its first byte failed")
            return None
        if cap is not None and self.copies:
            cap = self.copies.limit_age(attempt.exchange, cap)
        if cap is None:
            return None
        if not request.write:
            cap = attempt.max_age_ms = self.unheard_purges.limit_age(cap, self.unheard_ms())
        self.effects.begin(request.class_name, request.dedupe, node.member, now, attempt.process_is_certain)
        self.request_ids.begin(request.class_name, request.id)
        purged_ms = self.router.purges.latest(request.key, request.group)
        return SendLimits(cap, request.deadline_ms - now, purged_ms)

    def _claim(self, request: ClientRequest, member: api.Member, now: float) -> bool:
        """Return whether an effect may begin as far as its id and the other process of an upgrade tell.

        The own claim is told before the other's are read, so that two processes can't both miss each other's.
        """
        if self.shared_effects and self.shared_effects.is_active:
            name = (request.class_name, request.dedupe)
            if request.class_name in self.request_ids.classes:
                self.shared_effects.publish_id(request.id)
            elif request.dedupe:
                first = UnconfirmedEffect(now, member.zone, member.cell)
                self.shared_effects.publish_key(*name, self.effects.unconfirmed.get(name, first))
            self.shared_effects.read_others()
        return not self.request_ids.may_have_run(request.id)

    def on_attempt_written(self) -> None:
        """Count an attempt that was written completely."""
        self.stats.attempts += 1

    def cancel(self, attempt: Attempt, status: str) -> None:
        """Give up an attempt and end it with `status`."""
        if not attempt.ended:
            self.back_end.cancel(attempt)
            attempt.abort(status)

    def on_attempt_end(self, attempt: Attempt, result: AttemptResult) -> None:
        """Handle the end of an attempt; the first served one becomes the final answer."""
        exchange = attempt.exchange
        self.stats.record_attempt_result(result.status)
        exchange.last_status = result.status
        if attempt.written and result.status in NEVER_RAN:
            self.effects.never_ran(exchange.request.class_name, exchange.request.dedupe)
            self.request_ids.never_ran(exchange.request.id)
        if result.status == "done" and self.copies:
            result = self.copies.on_result(attempt, result)
        if result.status == "done" and not exchange.is_over:
            answer = Answer(
                SERVED,
                result.body,
                result.unchanged,
                result.tag,
                since_ms=result.since_ms,
                usable_until_ms=result.usable_until_ms,
            )
            self.finish(exchange, answer)
        self.submit(
            api.Outcome(
                attempt.get.id,
                attempt.index,
                attempt.get.server,
                result.status,
                self.clock.now_ms() - attempt.sent_ms,
                closed=exchange.is_over,
                note=result.note,
                waited_ms=result.waited_ms,
                silent=result.silent,
                whole=not result.unchanged and not exchange.confirm_tag,
                load=result.load,
            )
        )
        exchange.release_attempts()
