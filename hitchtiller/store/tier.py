"""Connect the memory and disk tiers to the engine: serve, join or pass on requests; store answers.

Implements the engine's `Copies` interface. A request that is not answered here goes to the decision module.
The cost per request is one hash, two look-ups and one sketch update, about 20 us. The decisions are
made in `plan`, `join`, `pace` and the admission policies; this module carries them out.
"""

import math
from collections.abc import Callable
from functools import partial

from hitchtiller.engine import Engine
from hitchtiller.exchange import REFUSED, SERVED, Answer, Attempt, AttemptResult, Exchange
from hitchtiller.log import logger
from hitchtiller.news import PurgeNotice
from hitchtiller.routing.unheard import spread
from hitchtiller.store.disk import STALL_MS, Disk, monotonic_ms
from hitchtiller.store.figures import publish_figures
from hitchtiller.store.format import Part
from hitchtiller.store.index import hash_part
from hitchtiller.store.join import Joins, NextStep
from hitchtiller.store.memory import Copy, Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.plan import UNCHANGED_COST_SHARE, CopyRules, CopyState
from hitchtiller.store.purges import Purges
from hitchtiller.store.sketch import Sketch
from hitchtiller.store.suspect import Proof

MAX_DELIVERY_MS = 60_000.0  # after a purge; no copy from before it is delivered later than this
DISK_MIN_EARLIER_REQUESTS = 1  # for a part to be written to disk


class Tier:
    """The engine's `Copies`: the memory tier, and the disk tier while its folder is open."""

    def __init__(
        self,
        engine: Engine,
        memory: Memory,
        proof: Proof,
        pace: Pace,
        confirm: bool = True,
        monotonic_clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Start with the memory tier alone; a disk tier can be attached and detached later."""
        self.engine, self.memory, self.proof, self.pace, self.monotonic_clock = (
            engine,
            memory,
            proof,
            pace,
            monotonic_clock,
        )
        self.confirms_suspects = confirm
        self.purges = Purges()
        self.rules = CopyRules(engine.router.settings.classes, self.purges, proof)
        self.unheard = engine.unheard_purges
        self.spread_salt = hash_part(engine.router.settings.my_number, 0)
        self.is_unheard = False  # copies were found that can't be used as the event bus is not heard
        self.joins = Joins(engine.router.settings.max_attempts)
        self.sketch = Sketch(1 << 16)
        self.disk: Disk | None = None
        # By request number: a copy to be confirmed by a server, or to be served if no server can answer.
        self.fallback_copies: dict[int, Copy] = {}
        self.hits = {"memory": 0, "disk": 0, "joined": 0, "stale": 0}
        self.confirmed = self.refuted = self.misses = self.slow_link = self.unheard_copies = 0
        self.epoch = proof.epoch
        engine.copies = self
        publish_figures(self, engine.stats)

    # Calls from the engine

    def try_serve(self, exchange: Exchange) -> bool:
        """Serve a request from a copy, make it wait for a fill, or read it from disk.

        Return whether the request was taken over; if not, the engine sends it to a server.
        """
        request, now_ms = exchange.request, self.engine.clock.wall_ms()
        if not self.rules.is_cacheable(request.class_name) or request.dedupe or request.body:
            return False
        self.check_clock(now_ms)
        part_hash = hash_part(request.key, request.part)
        self.sketch.add(part_hash)
        copy = self.memory.get(request.key, request.part)
        if copy and self.rules.matches(copy.part, request):
            state = self._copy_state(copy, exchange)
            if state is CopyState.FRESH:
                self._write_to_disk(copy.part, copy.body, part_hash)
                return self._serve(exchange, copy, "memory")
            self._record_fallback(exchange, copy, state, part_hash)
        else:
            self.memory.record_miss(request.class_name, part_hash)
        if self.joins.join(
            exchange.number,
            part_hash,
            request.client_tag,
            self.purges.last_purge_ms(request.key, request.group),
            exchange.accepted_ms,
        ):
            wait_ms = self.rules.max_join_wait_ms(request, self.engine.clock.now_ms())
            self.engine.clock.later(wait_ms, partial(self._on_join_timeout, exchange))
            return True
        self.misses += 1
        self.joins.lead(exchange.number, part_hash, request.client_tag)
        return self._start_disk_read(exchange, part_hash)

    def may_send(self, exchange: Exchange) -> bool:
        """Return whether an attempt may be sent under the limit that one fill's leaders share."""
        return self.joins.may_send(exchange.number)

    def limit_age(self, exchange: Exchange, cap_ms: float) -> float:
        """Return the age limit for an attempt: what confirms a suspect copy must date from after the gap."""
        copy = self.fallback_copies.get(exchange.number)
        if not exchange.confirm_tag or copy is None or copy.part.epoch == self.proof.epoch:
            return cap_ms
        return self.rules.cap_ms(self.engine.clock.wall_ms(), cap_ms)

    def on_result(self, attempt: Attempt, result: AttemptResult) -> AttemptResult:
        """Store the received part, and add the body of a confirmed copy for a client that holds none."""
        exchange, now_ms = attempt.exchange, self.engine.clock.wall_ms()
        self.check_clock(now_ms)
        request = exchange.request
        result.usable_until_ms = self.unheard.answer_until_ms(
            attempt.sent_ms, attempt.max_age_ms, self._spread(request.key, request.part)
        )
        if result.unchanged:
            return self._on_unchanged(exchange, result, now_ms)
        old_copy = self.fallback_copies.pop(exchange.number, None)
        part = self.rules.part_to_store(request, result, now_ms)
        if old_copy and old_copy.part.tag != result.tag:
            self.refuted += old_copy.part.epoch != self.proof.epoch
            self._drop(hash_part(old_copy.part.key, old_copy.part.part))
        if part:
            self._store(part, result.body, result.usable_until_ms)
        return result

    def _on_unchanged(self, exchange: Exchange, result: AttemptResult, now_ms: float) -> AttemptResult:
        """Handle a KEEP answer, which confirms the client's copy, this gateway's copy, or both."""
        copy, request = self.fallback_copies.pop(exchange.number, None), exchange.request
        own_copy_matches = copy is not None and copy.part.tag == result.tag
        if copy and own_copy_matches and self._is_confirmed(copy, result, now_ms):
            part = copy.part
            confirmed_part = Part(
                part.key, part.part, part.group, part.class_name, result.since_ms, part.tag, self.proof.epoch
            )
            if self.rules.copy_state(confirmed_part, now_ms) is CopyState.FRESH:
                self.confirmed += 1
                self._store(confirmed_part, copy.body, result.usable_until_ms)
                if not request.client_tag:
                    return AttemptResult(
                        "done",
                        copy.body,
                        False,
                        result.tag,
                        result.load,
                        result.since_ms,
                        usable_until_ms=result.usable_until_ms,
                    )
        if request.client_tag:
            return result
        # Prevents serving an unconfirmed copy: the answer has no body, and the gateway's own copy is not
        # proven.
        self.refuted += 1
        exchange.confirm_tag = ""
        self._drop(hash_part(request.key, request.part))
        return AttemptResult("err", load=result.load)

    def _is_confirmed(self, copy: Copy, result: AttemptResult, now_ms: float) -> bool:
        """Return whether a KEEP answer proves a copy: one from before a gap only if it is from after it."""
        return copy.part.epoch == self.proof.epoch or self.proof.confirms(result.since_ms, now_ms)

    def fallback(self, exchange: Exchange, answer: Answer) -> Answer:
        """Return a copy within its grace time in place of a refusal or a failure, if there is one."""
        copy = self.fallback_copies.get(exchange.number)
        if copy is None or self._copy_state(copy, exchange) not in (CopyState.FRESH, CopyState.STALE):
            return answer
        self.hits["stale"] += 1
        return self._answer(exchange, copy)

    def on_request_end(self, exchange: Exchange, answer: Answer | None) -> None:
        """Finish the fill that a request led, and pass its outcome on to the requests that waited for it."""
        number = exchange.number
        self.fallback_copies.pop(number, None)
        self.joins.leave(number)
        if answer and answer.kind == SERVED:
            if number not in self.joins.flights_by_leader:
                return
            request = exchange.request
            part = Part(
                request.key,
                request.part,
                request.group,
                request.class_name,
                answer.since_ms,
                answer.tag,
                self.proof.epoch,
            )
            copy = Copy(part, answer.body, answer.usable_until_ms)
            usable_until_ms = self._usable_until_ms(copy)
            for next_step, waiter_number in self.joins.end_served(number, answer.since_ms, usable_until_ms):
                self._continue_waiter(next_step, waiter_number, copy, answer.unchanged, None)
        else:
            for next_step, waiter_number in self.joins.end_failed(number):
                self._continue_waiter(next_step, waiter_number, None, False, answer)

    def on_purge(self, notice: PurgeNotice) -> None:
        """Apply a purge at once, and write it to the purge log."""
        if self.purges.is_nearly_full:
            oldest_on_disk_ms = self.disk.space.oldest_ms() if self.disk else math.inf
            # Answers still on their way may be as old as what a cache holds; caches apply a purge within
            # seconds.
            oldest_in_delivery_ms = self.engine.clock.wall_ms() - MAX_DELIVERY_MS
            self.purges.forget(min(oldest_on_disk_ms, self.memory.oldest_ms(), oldest_in_delivery_ms))
        if self.disk:
            self.disk.purge(notice.key, notice.group, notice.at_ms)
        else:
            self.purges.add(notice.key, notice.group, notice.at_ms)

    # News from the event bus

    def on_caught_up(self) -> None:
        """Handle the notice that every event so far has been received from the bus."""
        now_ms = self.engine.clock.wall_ms()
        if not self.proof.begun:
            self.proof.begin(now_ms, self.monotonic_clock())
            self._on_epoch_change("the bus is followed")
        self.check_clock(now_ms)
        self.proof.follow(now_ms - self.engine.unheard_ms())
        if self.is_unheard:
            self.is_unheard = False
            logger.info("the event bus is heard again: copies are served without being asked for")
        if self.disk:
            self.disk.mark_followed()

    def check_clock(self, now_ms: float) -> None:
        """Detect a step of the wall clock; called before the age of any copy is judged."""
        if self.proof.check_clock_step(now_ms, self.monotonic_clock()):
            self._on_epoch_change("the clock stepped")

    def _on_epoch_change(self, reason: str) -> None:
        if self.proof.epoch != self.epoch:
            self.epoch = self.proof.epoch
            logger.warning("copies from before are suspect, era {}: {}", self.epoch, reason)
            if self.disk:
                self.disk.mark_epoch()

    def attach(self, disk: Disk) -> None:
        """Start using the parts of an opened folder, together with the purges in its log.

        Purges received while the folder was not open are written to its log.
        """
        own_purges, disk_purges = self.purges, disk.purges
        disk_purges.raise_floor(own_purges.floor)
        self.disk, self.purges = disk, disk_purges
        self.rules = CopyRules(self.rules.classes, disk_purges, self.proof)
        for group, purge_ms in own_purges.groups.items():
            disk.purge(None, group, purge_ms)
        for key, purge_ms in own_purges.objects.items():
            disk.purge(key, -1, purge_ms)
        if self.proof.adopt(disk.log.saved_proof, self.engine.clock.wall_ms()):
            disk.mark_epoch()
        if self.proof.epoch != self.epoch:
            logger.info(
                "now in era {}; the era of the store folder was {}",
                self.proof.epoch,
                disk.log.saved_proof.epoch,
            )
            self.epoch = self.proof.epoch

    def detach(self) -> None:
        """Stop using the disk tier; the memory tier goes on alone."""
        self.disk = None

    # Internal steps

    def _record_fallback(self, exchange: Exchange, copy: Copy, state: CopyState, part_hash: int) -> None:
        """Record a copy that can't be served as it is, or drop it if a purge forbids it.

        A recorded copy may be confirmed by a server, or be served if no server can answer.
        """
        part = copy.part
        if not self.purges.allows(part.key, part.group, part.since_ms):
            self._drop(part_hash)
        elif state is not CopyState.FRESH:
            self.fallback_copies[exchange.number] = copy
            if self.confirms_suspects and self.rules.may_confirm(exchange.request):
                exchange.confirm_tag = part.tag

    def _copy_state(self, copy: Copy, exchange: Exchange) -> CopyState:
        """Return the state of a copy for a request, with regard to purges that may count as told unheard.

        A purge that counts as told binds the requests that come after it.
        """
        state = self.rules.copy_state(copy.part, self.engine.clock.wall_ms())
        if state not in (CopyState.FRESH, CopyState.STALE):
            return state
        if exchange.accepted_ms < self._usable_until_ms(copy):
            return state
        if not self.is_unheard:
            self.is_unheard = True
            logger.warning("the event bus is not heard: servers are asked for copies before they are served")
        self.unheard_copies += 1
        return CopyState.UNHEARD

    def _usable_until_ms(self, copy: Copy) -> float:
        """Return until when requests may be served a copy, unless the event bus brings a purge of it."""
        known_ms = self.engine.clock.now_ms() - self.engine.unheard_ms()
        share = self._spread(copy.part.key, copy.part.part)
        return max(copy.usable_until_ms, self.unheard.heard_until_ms(known_ms, share))

    def _spread(self, key: int, part: int) -> float:
        """Return the share of its time for which a copy is used, different in each gateway of a fleet."""
        return spread(hash_part(key ^ self.spread_salt, part))

    def _answer(self, exchange: Exchange, copy: Copy, unchanged: bool = False) -> Answer:
        tag = copy.part.tag
        client_has_it = unchanged or (exchange.request.client_tag == tag and bool(tag))
        body = b"" if client_has_it else copy.body
        return Answer(
            SERVED,
            body,
            client_has_it,
            tag,
            since_ms=copy.part.since_ms,
            usable_until_ms=copy.usable_until_ms,
        )

    def _serve(self, exchange: Exchange, copy: Copy, tier: str, unchanged: bool = False) -> bool:
        """Answer from a copy as soon as the link is free; return False if that would be too late."""
        now_ms, answer = self.engine.clock.now_ms(), self._answer(exchange, copy, unchanged)
        size = int(len(copy.body) * UNCHANGED_COST_SHARE) if answer.unchanged else len(copy.body)
        if not self.pace.is_in_time(
            size, now_ms, self.rules.answer_deadline_ms(exchange.request, now_ms, self.pace.transfer_ms(size))
        ):
            self.slow_link += 1
            return False
        begin_ms = self.pace.reserve(size, now_ms)
        self.hits[tier] += 1
        if begin_ms <= now_ms:
            self.engine.finish(exchange, answer)
        else:
            self.engine.clock.later(
                begin_ms - now_ms, partial(self._answer_when_link_is_free, exchange, copy, answer)
            )
        return True

    def _answer_when_link_is_free(self, exchange: Exchange, copy: Copy, answer: Answer) -> None:
        """Send an answer that waited for the link, unless its copy is no longer fresh, as after a purge."""
        if exchange.is_over:
            return
        if self._copy_state(copy, exchange) is CopyState.FRESH:
            self.engine.finish(exchange, answer)
        else:
            self.engine.route(exchange)

    def _start_disk_read(self, exchange: Exchange, part_hash: int) -> bool:
        """Start reading the part of a fill's leader from disk; return False if the disk can't serve it."""
        request, disk = exchange.request, self.disk
        if disk is None or exchange.number in self.fallback_copies or part_hash not in disk:
            return False
        if not disk.get(request.key, request.part, partial(self._on_disk_read, exchange)):
            return False
        if not exchange.is_over and not exchange.is_routed:  # a thread reads it, and the disk may hang
            self.engine.clock.later(STALL_MS, partial(self.engine.route, exchange))
        return True

    def _on_disk_read(self, exchange: Exchange, part: Part | None, body: bytes) -> None:
        """Handle the result of a disk read: store it in memory, and answer the client if it may be served."""
        if part and self.rules.matches(part, exchange.request):
            copy = Copy(part, body)
            state = self._copy_state(copy, exchange)
            if state is CopyState.FRESH:
                self.memory.put(part.class_name, part, body)
                if not (exchange.is_over or exchange.is_routed) and self._serve(exchange, copy, "disk"):
                    return
            elif not (exchange.is_over or exchange.is_routed):
                self._record_fallback(exchange, copy, state, hash_part(part.key, part.part))
        self.engine.route(exchange)

    def _store(self, part: Part, body: bytes, usable_until_ms: float) -> None:
        """Store a part in memory and, if it was requested before, on disk."""
        self.memory.put(part.class_name, part, body, usable_until_ms)
        part_hash = hash_part(part.key, part.part)
        if self.disk and part_hash in self.disk:
            self.disk.put(part, body)  # the stored record is older
        else:
            self._write_to_disk(part, body, part_hash)

    def _write_to_disk(self, part: Part, body: bytes, part_hash: int) -> None:
        """Write a copy to disk if it is not there and the part was requested before."""
        disk = self.disk
        if disk is None or not disk.health.can_write or part_hash in disk or part_hash in disk.pending:
            return
        if self.sketch.count(part_hash) > DISK_MIN_EARLIER_REQUESTS:
            disk.put(part, body)

    def _drop(self, part_hash: int) -> None:
        self.memory.drop(part_hash)
        if self.disk:
            self.disk.forget(part_hash)

    def _on_join_timeout(self, exchange: Exchange) -> None:
        if not exchange.is_over and self.joins.give_up(exchange.number):
            self.engine.route(exchange)

    def _continue_waiter(
        self, next_step: NextStep, number: int, copy: Copy | None, unchanged: bool, answer: Answer | None
    ) -> None:
        """Carry out the next step of a request that waited for a fill."""
        exchange = self.engine.open_exchanges.get(number)
        if exchange is None or exchange.is_over:
            return
        # Enforces the waiter's own age limit: the answer may have been young enough only when the leader
        # asked.
        is_fresh = copy is not None and self._copy_state(copy, exchange) is CopyState.FRESH
        if (
            next_step is NextStep.SERVE
            and copy
            and is_fresh
            and self._serve(exchange, copy, "joined", unchanged)
        ):
            return
        if next_step is NextStep.SHARE:
            self.engine.finish(
                exchange, answer or Answer(REFUSED, wait_ms=self.engine.router.settings.max_retry_after_ms)
            )
        elif next_step is not NextStep.LEAD or not self._start_disk_read(
            exchange, hash_part(exchange.request.key, exchange.request.part)
        ):
            self.engine.route(exchange)
