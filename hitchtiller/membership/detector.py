"""Who is there: probes, suspicion, and word of it, as a state machine fed with datagrams and the time.

After SWIM and Lifeguard (ideas only): each period a gateway pings one other, in a shuffled round that meets
each once; without an answer in a share of the period it pings again and asks HELPERS others to ping for it,
in ROUNDS rounds (at 30% loss one probe in forty then fails for nothing, with one round one in five); without
any by the period's end it suspects, and tells the suspect so each period until that is settled. A suspect is
dead after a time that grows with the logarithm of the fleet's size and shrinks with independent witnesses;
it refutes by a newer incarnation until then, and after. Any datagram is a sign of life: who was heard within
the last period is not pinged in it, so busy gateways hardly probe.

A gateway doubts itself first. Late ticks (a stopped process, a crowded core) void the probes under way; each
missed answer, and each refutation of its own, lengthen its periods and suspicions up to DOUBT_MOST steps,
each answer takes one back. So one that was stopped for 20 s accuses nobody when it wakes.

Bounds, whatever the fleet's size: a gateway and period sends one ping, one more to each suspect that it
accused itself, for an unanswered ping at most ROUNDS times one ping and HELPERS requests, NEWS words while
there is news, answers what it is asked, and one page every PAGE_EVERY periods; 4 to 6 datagrams a second
at a period of 1 s, 10 with 30% of them lost.
"""

import math
from dataclasses import dataclass
from random import Random

from hitchtiller.membership.evidence import REPORT_FANOUT, Evidence
from hitchtiller.membership.gossip import Gossip
from hitchtiller.membership.view import UNHEARD, Change, Claim, State, View
from hitchtiller.membership.words import MAX_CLAIMS, MAX_REPORTS, Kind, MembershipMessage, pack, unpack

HELPER_COUNT, SYNC_INTERVAL_PERIODS, INITIAL_SYNCS = 3, 10, 3
ROUND_SHARE, MAX_RETRY_ROUNDS = (
    0.3,
    2,
)  # of a period, for an answer; rounds of asking again, itself and by helpers
MAX_SUSPECT_PERIODS, MIN_SUSPECT_PERIODS = (
    4.0,
    2.0,
)  # periods, times log10 of the size (1 at least); with all witnesses
FULL_WITNESS_COUNT, GOSSIP_FANOUT = 3, 2  # from which on a suspicion lasts no longer than the least
MAX_SLOWDOWN_STEPS, LATE_TICK_PERIODS = (
    8,
    1.5,
)  # steps of doubt; periods between ticks from which on I was late myself

Datagrams = list[tuple[int, bytes]]


@dataclass(slots=True)
class Probe:
    """A ping under way, for myself or for another."""

    target: int
    number: int
    started_ms: float
    retry_rounds: int = 0  # rounds
    requester: int = -1  # who asked me to ping, and under which number; -1: myself
    requester_probe: int = 0


@dataclass(slots=True)
class Suspicion:
    """A suspect's time."""

    started_ms: float
    witnesses: set[int]


class Detector:
    """One gateway's part in membership; calls give the datagrams to send."""

    def __init__(
        self,
        own_number: int,
        size: int,
        incarnation: int,
        fleet_id: int,
        period_ms: float,
        rng: Random,
        now_ms: float,
    ) -> None:
        """Start; `incarnation` is the start's Unix milliseconds."""
        self.own_number, self.fleet_id, self.period_ms, self.rng = own_number, fleet_id, period_ms, rng
        self.view = View(own_number, size, incarnation)
        self.gossip, self.evidence = Gossip(size), Evidence(own_number)
        self.view.listeners.append(self._queue_gossip)
        self.last_heard_ms: dict[int, float] = {}
        self.probes: dict[int, Probe] = {}
        self.suspicions: dict[int, Suspicion] = {}
        self.probe_queue: list[int] = []
        self.last_probe_number, self.period_count, self.slowdown_steps, self.pages = 0, 0, 0, INITIAL_SYNCS
        self.next_period_ms = self.last_tick_ms = now_ms
        self.sent_count = self.dropped_count = 0
        self.gossip.queue(own_number)

    # What the caller feeds

    def tick(self, now_ms: float) -> Datagrams:
        """Look at what is due; to be called several times a period."""
        late = now_ms - self.last_tick_ms > LATE_TICK_PERIODS * self.period_ms
        self.last_tick_ms = now_ms
        if late:  # guards against accusing others for a time in which I did not run myself
            self.probes.clear()
            for suspicion in self.suspicions.values():
                suspicion.started_ms = now_ms
            self._slow_down(2)
            self.pages = INITIAL_SYNCS
            self.next_period_ms = now_ms
        out = self._check_probes(now_ms)
        self._expire_suspicions(now_ms)
        if now_ms >= self.next_period_ms and not self.view.superseded:
            self.next_period_ms = now_ms + self.period_ms * (1.0 + 0.25 * self.slowdown_steps)
            out += self._begin_period(now_ms)
        return out

    def receive(self, sender: int, data: bytes, now_ms: float) -> Datagrams:
        """Take a datagram from a listed peer; what can't be read is dropped and counted."""
        message = unpack(data, self.fleet_id)
        if message is None or message.sender != sender or sender not in self.view.claims:
            self.dropped_count += 1
            return []
        self.hear(sender, now_ms)
        for number, claim, by in message.items:
            if self.view.merge(number, claim, by, now_ms):
                self._on_claim_merged(number, by, now_ms)
            elif claim.state is State.SUSPECT and claim == self.view.claims.get(number):
                self._add_witness(number, by)
            elif number == self.own_number and claim < self.view.claims[number] and not self.view.superseded:
                self.gossip.queue(
                    number
                )  # its sender has not heard my newer claim: all those words were lost
        match message.kind:
            case Kind.PING:
                return self._compose(sender, Kind.ACK, message.number)
            case Kind.ACK:
                return self._handle_ack(message, sender)
            case Kind.ASK if message.target in self.view.claims and message.target != self.own_number:
                return self._start_probe(message.target, now_ms, sender, message.number)
            case Kind.PAGE:
                return self._sync_answer(sender, message.target)
            case Kind.REPORT:
                self.evidence.add_reports(
                    (r for r in message.reports if r.witness in self.view.claims), now_ms
                )
        return []

    def hear(self, number: int, now_ms: float) -> None:
        """Take any sign of life, such as a note on an object."""
        self.last_heard_ms[number] = now_ms

    def leave(self, now_ms: float) -> Datagrams:
        """Tell a few that I leave by plan."""
        self.view.leave(now_ms)
        return [
            d for peer in self._random_members(HELPER_COUNT, ()) for d in self._compose(peer, Kind.TELL, 0)
        ]

    def forget(self, number: int) -> bool:
        """Forget what is claimed of a number; it is probed again like one never heard of."""
        self.suspicions.pop(number, None)
        return self.view.forget(number)

    def make_reports(self, now_ms: float) -> Datagrams:
        """Give what is to be said of servers, to a few; nothing while there is no news."""
        out: Datagrams = []
        for peer in self._random_members(REPORT_FANOUT, ()):
            if reports := self.evidence.next_reports(now_ms, MAX_REPORTS):
                out += self._encode(peer, MembershipMessage(Kind.REPORT, self.own_number, 0, reports=reports))
        return out

    # Periods

    def _begin_period(self, now_ms: float) -> Datagrams:
        self.period_count += 1
        out: Datagrams = []
        if self.pages or self.period_count % SYNC_INTERVAL_PERIODS == 0:
            self.pages = max(0, self.pages - 1)
            for peer in self._random_members(1, ()):
                out += self._compose(peer, Kind.PAGE, 0, self.rng.randrange(len(self.view.claims)))
        target = self._next_target(now_ms)
        for number, suspicion in self.suspicions.items():  # so that it may refute
            if self.own_number in suspicion.witnesses:
                out += self._compose(number, Kind.PING, 0)
        if self.gossip.told:
            for peer in self._random_members(GOSSIP_FANOUT, ()):
                out += self._compose(peer, Kind.TELL, 0)
        return out + self._start_probe(target, now_ms) if target is not None else out

    def _next_target(self, now_ms: float) -> int | None:
        for _ in range(2 * len(self.view.claims)):
            if not self.probe_queue:
                # the dead are tried too, seldom: a cut that heals is noticed by nobody else
                self.probe_queue = [n for n in self.view.in_service() if n != self.own_number]
                gone = self.view.numbers_in(State.DEAD)
                self.probe_queue += self.rng.sample(gone, min(len(gone), 1 + len(self.probe_queue) // 8))
                self.rng.shuffle(self.probe_queue)
                if not self.probe_queue:
                    return None
            number = self.probe_queue.pop()
            if (
                number in self.view.claims
                and now_ms - self.last_heard_ms.get(number, -math.inf) > self.period_ms
            ):
                return number
        return None

    def _start_probe(
        self, target: int, now_ms: float, requester: int = -1, requester_probe: int = 0
    ) -> Datagrams:
        self.last_probe_number += 1
        self.probes[self.last_probe_number] = Probe(
            target,
            self.last_probe_number,
            now_ms,
            MAX_RETRY_ROUNDS if requester >= 0 else 0,
            requester,
            requester_probe,
        )
        return self._compose(target, Kind.PING, self.last_probe_number)

    def _handle_ack(self, message: MembershipMessage, sender: int) -> Datagrams:
        probe = self.probes.get(message.number)
        if probe is None or (probe.target != sender and probe.requester >= 0):
            return []
        del self.probes[message.number]
        if probe.requester >= 0:
            return self._compose(probe.requester, Kind.ACK, probe.requester_probe)
        self.slowdown_steps = max(0, self.slowdown_steps - 1)
        return []

    def _check_probes(self, now_ms: float) -> Datagrams:
        out: Datagrams = []
        for probe in list(self.probes.values()):
            age, wait = now_ms - probe.started_ms, self.period_ms * (1.0 + 0.25 * self.slowdown_steps)
            if self.last_heard_ms.get(probe.target, -math.inf) >= probe.started_ms and probe.requester < 0:
                del self.probes[probe.number]
            elif probe.retry_rounds < MAX_RETRY_ROUNDS and age > ROUND_SHARE * wait * (
                probe.retry_rounds + 1
            ):
                probe.retry_rounds += 1
                out += self._compose(probe.target, Kind.PING, probe.number)
                for helper in self._random_members(HELPER_COUNT, (probe.target,)):
                    out += self._compose(helper, Kind.ASK, probe.number, probe.target)
            elif age > wait:
                del self.probes[probe.number]
                if probe.requester < 0:
                    self._handle_missed_probe(probe.target, now_ms)
        return out

    def _handle_missed_probe(self, target: int, now_ms: float) -> None:
        claim = self.view.claims.get(target)
        if claim is None or claim.state > State.SUSPECT:
            return
        if claim.state is State.SUSPECT:
            return self._add_witness(target, self.own_number)
        self._slow_down(1)
        if self.view.merge(target, Claim(claim.incarnation, State.SUSPECT), self.own_number, now_ms):
            self._on_claim_merged(target, self.own_number, now_ms)

    def _expire_suspicions(self, now_ms: float) -> None:
        for number, suspicion in list(self.suspicions.items()):
            claim = self.view.claims.get(number)
            if claim is None or claim.state is not State.SUSPECT:
                del self.suspicions[number]
            elif self.last_heard_ms.get(number, -math.inf) > suspicion.started_ms:
                suspicion.started_ms = self.last_heard_ms[
                    number
                ]  # it spoke to me since: its refutation is on its way
            elif now_ms - suspicion.started_ms >= self.suspect_ms(len(suspicion.witnesses)):
                del self.suspicions[number]
                self.view.merge(number, Claim(claim.incarnation, State.DEAD), self.own_number, now_ms)

    def suspect_ms(self, witnesses: int) -> float:
        """Give how long a suspect has to refute, with so many that suspect it."""
        grown = max(1.0, math.log10(len(self.view.claims)))
        most, least = MAX_SUSPECT_PERIODS * grown, MIN_SUSPECT_PERIODS * grown
        share = (
            math.log(min(witnesses, FULL_WITNESS_COUNT)) / math.log(FULL_WITNESS_COUNT)
            if witnesses > 1
            else 0.0
        )
        return self.period_ms * (most - (most - least) * share) * (1.0 + 0.25 * self.slowdown_steps)

    # Word

    def _on_claim_merged(self, number: int, reporter: int, now_ms: float) -> None:
        if number == self.own_number:
            self._slow_down(1)  # I was taken for gone: maybe it is I who is late
        elif self.view.claims[number].state is State.SUSPECT:
            self.suspicions[number] = Suspicion(now_ms, {reporter})

    def _add_witness(self, number: int, by: int) -> None:
        """Count one who suspects too, and pass on the first few of them."""
        suspicion = self.suspicions.get(number)
        if suspicion and by not in suspicion.witnesses:
            suspicion.witnesses.add(by)
            if len(suspicion.witnesses) <= FULL_WITNESS_COUNT:
                self.view.reporters[number] = by
                self.gossip.queue(number)

    def _queue_gossip(self, change: Change) -> None:
        self.gossip.queue(change.number)

    def _slow_down(self, steps: int) -> None:
        self.slowdown_steps = min(MAX_SLOWDOWN_STEPS, self.slowdown_steps + steps)

    def _random_members(self, count: int, but: tuple[int, ...]) -> list[int]:
        others = [n for n in self.view.numbers_in(State.ALIVE) if n != self.own_number and n not in but]
        return self.rng.sample(others, min(count, len(others)))

    def _sync_answer(self, peer: int, start: int) -> Datagrams:
        size = len(self.view.claims)
        numbers = sorted(self.view.claims, key=lambda n: (n - start) % size)
        items = self.view.items(numbers)[:MAX_CLAIMS]
        return self._encode(peer, MembershipMessage(Kind.TELL, self.own_number, 0, 0, items))

    def _compose(self, peer: int, kind: Kind, number: int, target: int = 0) -> Datagrams:
        # a peer that I hold for gone is told so first: it refutes, or knows that it is superseded
        claim = self.view.claims.get(peer, UNHEARD)
        first = peer if claim.state is not State.ALIVE else None
        items = self.view.items(self.gossip.next_numbers(MAX_CLAIMS, first))
        return self._encode(peer, MembershipMessage(kind, self.own_number, number, target, items))

    def _encode(self, peer: int, message: MembershipMessage) -> Datagrams:
        self.sent_count += 1
        return [(peer, pack(message, self.fleet_id))]
