"""Where the tiers meet the engine: a request is looked up, joined or let through; answers are kept.

The engine asks; this answers by way of the exchange like anybody, and gives all else to the decisions. Costs
for a request: one fingerprint, two look-ups and one sketch update, about 20 us. Deciding is done by `plan`,
`join`, `pace` and the admission policies; this carries it out.
"""

import math
from collections.abc import Callable
from functools import partial

from hitchtiller.engine import Engine
from hitchtiller.exchange import REFUSED, SERVED, Answer, Attempt, AttemptResult, Exchange
from hitchtiller.log import logger
from hitchtiller.news import PurgeNotice
from hitchtiller.store.disk import STALL_MS, Disk, steady_ms
from hitchtiller.store.format import Part
from hitchtiller.store.index import fingerprint
from hitchtiller.store.join import Joins, Then
from hitchtiller.store.memory import Copy, Memory
from hitchtiller.store.pace import Pace
from hitchtiller.store.plan import KNOWN_SHARE, Plan, State
from hitchtiller.store.purges import Purges
from hitchtiller.store.sketch import Sketch
from hitchtiller.store.suspect import Proof

UNDER_WAY_MS = 60_000.0  # by then no copy from before a purge comes from anywhere
DISK_COUNT = 1  # sightings before this one, from which on a part is written to disk


class Tier:
    """The engine's `Copies`."""

    def __init__(
        self,
        engine: Engine,
        memory: Memory,
        proof: Proof,
        pace: Pace,
        confirm: bool = True,
        steady: Callable[[], float] = steady_ms,
    ) -> None:
        """Serve from memory; a disk may come later, and may go."""
        self.engine, self.memory, self.proof, self.pace, self.steady = engine, memory, proof, pace, steady
        self.confirms = confirm
        self.purges = Purges()
        self.plan = Plan(engine.router.settings.classes, self.purges, proof)
        self.joins = Joins(engine.router.settings.max_attempts)
        self.sketch = Sketch(1 << 16)
        self.disk: Disk | None = None
        self.held: dict[
            int, Copy
        ] = {}  # by request: a copy that may be confirmed, or serve where nothing else does
        self.hits = {"memory": 0, "disk": 0, "joined": 0, "stale": 0}
        self.confirmed = self.refuted = self.misses = self.slow_link = 0
        self.epoch = proof.epoch
        engine.copies = self
        self._publish()

    # What the engine asks

    def take(self, exchange: Exchange) -> bool:
        """Look a request up."""
        ask, now = exchange.request, self.engine.clock.now_ms()
        if not self.plan.keeps(ask.class_name) or ask.dedupe or ask.body:
            return False
        self.check_clock(now)
        mark = fingerprint(ask.key, ask.part)
        self.sketch.add(mark)
        copy = self.memory.get(ask.key, ask.part)
        if copy and self.plan.fits(copy.part, ask):
            state = self.plan.judge(copy.part, now)
            if state is State.FRESH:
                self._write(copy.part, copy.body, mark)
                return self._serve(exchange, copy, "memory")
            self._hold(exchange, copy, state, mark)
        else:
            self.memory.missed(ask.class_name, mark)
        if self.joins.join(exchange.number, mark, ask.client_tag, self.purges.last(ask.key, ask.group)):
            wait = self.plan.patience_ms(ask, now)
            self.engine.clock.later(wait, partial(self._impatient, exchange))
            return True
        self.misses += 1
        self.joins.lead(exchange.number, mark, ask.client_tag)
        return self._read(exchange, mark)

    def may_send(self, exchange: Exchange) -> bool:
        """Keep the attempts of a flight within the class's limit."""
        return self.joins.may_send(exchange.number)

    def cap(self, exchange: Exchange, cap_ms: float, now_ms: float) -> float:
        """What confirms a suspect must be from after the gap."""
        copy = self.held.get(exchange.number)
        if not exchange.confirm_tag or copy is None or copy.part.epoch == self.proof.epoch:
            return cap_ms
        return self.plan.cap_ms(now_ms, cap_ms)

    def on_result(self, attempt: Attempt, ending: AttemptResult) -> AttemptResult:
        """Keep what came; give a confirmed copy's bytes to a client that has none."""
        exchange, now = attempt.exchange, self.engine.clock.now_ms()
        self.check_clock(now)
        if ending.unchanged:
            return self._kept_on(exchange, ending, now)
        held = self.held.pop(exchange.number, None)
        part = self.plan.keep(exchange.request, ending, now)
        if held and held.part.tag != ending.tag:
            self.refuted += held.part.epoch != self.proof.epoch
            self._forget(fingerprint(held.part.key, held.part.part))
        if part:
            self._keep(part, ending.body)
        return ending

    def _kept_on(self, exchange: Exchange, ending: AttemptResult, now: float) -> AttemptResult:
        """Take KEEP: the client's copy holds, or ours, or both."""
        copy, ask = self.held.pop(exchange.number, None), exchange.request
        ours = copy is not None and copy.part.tag == ending.tag
        if copy and ours and self.proof.confirms(ending.since_ms, now):
            part = copy.part
            fresh = Part(
                part.key, part.part, part.group, part.class_name, ending.since_ms, part.tag, self.proof.epoch
            )
            if self.plan.judge(fresh, now) is State.FRESH:
                self.confirmed += 1
                self._keep(fresh, copy.body)
                if not ask.client_tag:
                    return AttemptResult("done", copy.body, False, ending.tag, ending.load, ending.since_ms)
        if ask.client_tag:
            return ending
        # guards against serving what was not confirmed: no bytes came, and ours are not proven
        self.refuted += 1
        exchange.confirm_tag = ""
        self._forget(fingerprint(ask.key, ask.part))
        return AttemptResult("err", load=ending.load)

    def fallback(self, exchange: Exchange, answer: Answer) -> Answer:
        """Serve a copy within its grace rather than a refusal or a failure."""
        copy = self.held.get(exchange.number)
        if copy is None or self.plan.judge(copy.part, self.engine.clock.now_ms()) not in (
            State.FRESH,
            State.STALE,
        ):
            return answer
        self.hits["stale"] += 1
        return self._answer(exchange, copy)

    def over(self, exchange: Exchange, answer: Answer | None) -> None:
        """End what waits for a request, one way or another."""
        number = exchange.number
        self.held.pop(number, None)
        self.joins.leave(number)
        if answer and answer.kind == SERVED:
            if number not in self.joins.leads:
                return
            ask = exchange.request
            part = Part(
                ask.key, ask.part, ask.group, ask.class_name, answer.since_ms, answer.tag, self.proof.epoch
            )
            copy = Copy(part, answer.body)
            for then, other in self.joins.served(number, answer.since_ms):
                self._then(then, other, copy, answer.unchanged, None)
        else:
            for then, other in self.joins.failed(number):
                self._then(then, other, None, False, answer)

    def purged(self, ban: PurgeNotice) -> None:
        """Put a purge in force at once, and make it durable."""
        if self.purges.crowded:
            disk = self.disk.space.oldest_ms() if self.disk else math.inf
            # what is under way may be as old as what a cache holds, and caches drop theirs within seconds
            under_way = self.engine.clock.now_ms() - UNDER_WAY_MS
            self.purges.forget(min(disk, self.memory.oldest_ms(), under_way))
        if self.disk:
            self.disk.purge(ban.key, ban.group, ban.at_ms)
        else:
            self.purges.add(ban.key, ban.group, ban.at_ms)

    # News

    def on_caught_up(self) -> None:
        """Hear from the bus that there is nothing more to tell."""
        now = self.engine.clock.now_ms()
        if not self.proof.begun:
            self.proof.begin(now, self.steady())
            self._new_era("the bus is followed")
        self.check_clock(now)
        self.proof.follow(now)
        if self.disk:
            self.disk.mark_followed()

    def check_clock(self, now: float) -> None:
        """Notice a step of the wall clock before any age is judged."""
        if self.proof.stepped(now, self.steady()):
            self._new_era("the clock stepped")

    def _new_era(self, why: str) -> None:
        if self.proof.epoch != self.epoch:
            self.epoch = self.proof.epoch
            logger.warning("copies from before are suspect, era {}: {}", self.epoch, why)
            if self.disk:
                self.disk.mark_epoch()

    def attach(self, disk: Disk) -> None:
        """Take a folder's parts into use, with the purges it knows.

        Purges told meanwhile are written to it.
        """
        mine, theirs = self.purges, disk.purges
        theirs.raise_floor(mine.floor)
        self.disk, self.purges = disk, theirs
        self.plan = Plan(self.plan.classes, theirs, self.proof)
        for group, at in mine.groups.items():
            disk.purge(None, group, at)
        for key, at in mine.objects.items():
            disk.purge(key, -1, at)
        if self.proof.adopt(disk.log.kept, self.engine.clock.now_ms()):
            disk.mark_epoch()
        if self.proof.epoch != self.epoch:
            logger.info("era {}, the folder's was {}", self.proof.epoch, disk.log.kept.epoch)
            self.epoch = self.proof.epoch

    def detach(self) -> None:
        """Go on with memory alone."""
        self.disk = None

    # Moves

    def _hold(self, exchange: Exchange, copy: Copy, state: State, mark: int) -> None:
        """Remember a copy that can't be served as it is; forget a dead one that a purge forbids."""
        part = copy.part
        if not self.purges.allows(part.key, part.group, part.since_ms):
            self._forget(mark)
        elif state is not State.FRESH:
            self.held[exchange.number] = copy
            if self.confirms and self.plan.may_confirm(exchange.request):
                exchange.confirm_tag = part.tag

    def _answer(self, exchange: Exchange, copy: Copy, unchanged: bool = False) -> Answer:
        tag = copy.part.tag
        known = unchanged or (exchange.request.client_tag == tag and bool(tag))
        return Answer(SERVED, b"" if known else copy.body, known, tag, since_ms=copy.part.since_ms)

    def _serve(self, exchange: Exchange, copy: Copy, tier: str, unchanged: bool = False) -> bool:
        """Answer from a copy when the link comes to it; False if that would be too late."""
        now, answer = self.engine.clock.now_ms(), self._answer(exchange, copy, unchanged)
        size = int(len(copy.body) * KNOWN_SHARE) if answer.unchanged else len(copy.body)
        if not self.pace.fits(
            size, now, self.plan.until_ms(exchange.request, now, self.pace.transfer_ms(size))
        ):
            self.slow_link += 1
            return False
        begin = self.pace.take(size, now)
        self.hits[tier] += 1
        if begin <= now:
            self.engine.finish(exchange, answer)
        else:
            self.engine.clock.later(begin - now, partial(self._late, exchange, copy, answer))
        return True

    def _late(self, exchange: Exchange, copy: Copy, answer: Answer) -> None:
        """Answer after waiting for the link, unless a purge came meanwhile."""
        if exchange.over:
            return
        if self.plan.judge(copy.part, self.engine.clock.now_ms()) is State.FRESH:
            self.engine.finish(exchange, answer)
        else:
            self.engine.decide(exchange)

    def _read(self, exchange: Exchange, mark: int) -> bool:
        """Read a leader's part from disk, if it may be there."""
        ask, disk = exchange.request, self.disk
        if disk is None or exchange.number in self.held or mark not in disk:
            return False
        if not disk.get(ask.key, ask.part, partial(self._read_back, exchange)):
            return False
        if not exchange.over and not exchange.decided:  # a thread reads it, and the disk may hang
            self.engine.clock.later(STALL_MS, partial(self.engine.decide, exchange))
        return True

    def _read_back(self, exchange: Exchange, part: Part | None, body: bytes) -> None:
        """Take what the disk gave: into memory, and to the client if it may be."""
        now = self.engine.clock.now_ms()
        if part and self.plan.fits(part, exchange.request):
            copy, state = Copy(part, body), self.plan.judge(part, now)
            if state is State.FRESH:
                self.memory.put(part.class_name, part, body)
                if not (exchange.over or exchange.decided) and self._serve(exchange, copy, "disk"):
                    return
            elif not (exchange.over or exchange.decided):
                self._hold(exchange, copy, state, fingerprint(part.key, part.part))
        self.engine.decide(exchange)

    def _keep(self, part: Part, body: bytes) -> None:
        """Keep a part in memory and, if it was asked for before, on disk."""
        self.memory.put(part.class_name, part, body)
        mark = fingerprint(part.key, part.part)
        if self.disk and mark in self.disk:
            self.disk.put(part, body)  # what is there is older
        else:
            self._write(part, body, mark)

    def _write(self, part: Part, body: bytes, mark: int) -> None:
        """Write a copy to disk if it is not there and was asked for before."""
        disk = self.disk
        if disk is None or not disk.health.writes or mark in disk or mark in disk.pending:
            return
        if self.sketch.count(mark) > DISK_COUNT:
            disk.put(part, body)

    def _forget(self, mark: int) -> None:
        self.memory.drop(mark)
        if self.disk:
            self.disk.forget(mark)

    def _impatient(self, exchange: Exchange) -> None:
        if not exchange.over and self.joins.give_up(exchange.number):
            self.engine.decide(exchange)

    def _then(
        self, then: Then, number: int, copy: Copy | None, unchanged: bool, answer: Answer | None
    ) -> None:
        """Carry out what comes next for one that waited."""
        exchange = self.engine.open.get(number)
        if exchange is None or exchange.over:
            return
        # guards the waiter's own age bound: the answer may have been young enough only when the leader asked
        good = copy is not None and self.plan.judge(copy.part, self.engine.clock.now_ms()) is State.FRESH
        if then is Then.SERVE and copy and good and self._serve(exchange, copy, "joined", unchanged):
            return
        if then is Then.SHARE:
            self.engine.finish(
                exchange, answer or Answer(REFUSED, wait_ms=self.engine.router.settings.max_retry_after_ms)
            )
        elif then is not Then.LEAD or not self._read(
            exchange, fingerprint(exchange.request.key, exchange.request.part)
        ):
            self.engine.decide(exchange)

    def _publish(self) -> None:
        """Put the figures where operators read them."""
        stats = self.engine.stats
        for tier in self.hits:
            stats.counts[f"store.hits.{tier}"] = partial(self.hits.__getitem__, tier)
        for name in ("misses", "confirmed", "refuted", "slow_link"):
            stats.counts[f"store.{name}"] = partial(getattr, self, name)
        for name in ("joined", "promoted", "impatient", "spared"):
            stats.counts[f"store.join.{name}"] = partial(getattr, self.joins, name)
        stats.levels["store.memory_bytes"] = lambda: self.memory.used
        stats.levels["store.era"] = lambda: self.proof.epoch
        for name in ("segments", "parts", "bytes", "dead_bytes", "queued_bytes", "state"):
            stats.levels[f"store.disk.{name}"] = partial(self._disk_figure, name)
        for name in ("puts", "dropped", "reads", "glanced", "torn", "checkpoints"):
            stats.counts[f"store.disk.{name}"] = partial(self._disk_count, name)

    def _disk_figure(self, name: str) -> int:
        return self.disk.figures()[name] if self.disk else 0

    def _disk_count(self, name: str) -> int:
        return int(getattr(self.disk.counts, name)) if self.disk else 0
