"""Failure detector: probes, suspicions and gossip, as a state machine that is fed datagrams and the time.

The protocol follows the ideas of SWIM and Lifeguard. Each period a gateway pings one other member, in
shuffled order so that each round reaches every member once. Without an answer within ROUND_SHARE of the
period it pings again and asks HELPER_COUNT other members to ping on its behalf, in up to MAX_RETRY_ROUNDS
rounds. At 30% packet loss one probe in forty then fails although its target is alive; with a single round
it is one in five. Without any answer by the end of the period the gateway suspects the target, and pings
the suspect each period, which carries the suspicion, until it is refuted or confirmed. A suspect is
declared dead after a time that grows with the logarithm of the fleet's size and shrinks with the number of
independent witnesses. It can refute by a newer incarnation before and after that. Any datagram counts as a
sign of life: a member heard from within the last period is not pinged, so busy gateways hardly probe.

A gateway considers first that it may be slow itself. Late ticks (a stopped process, an overloaded core)
discard the probes under way. Each missed answer and each claim against itself that it has to refute
lengthens its periods and suspicion times by a step, up to MAX_SLOWDOWN_STEPS; each answer takes one step
back. This prevents a process that was stopped for 20 s from accusing others when it resumes.

Bounds, independent of the fleet's size: per period a gateway sends one ping, one more to each suspect that
it suspected itself, at most MAX_RETRY_ROUNDS times one ping and HELPER_COUNT requests for an unanswered
ping, GOSSIP_FANOUT messages while there are claims to pass on, its answers to requests, and one sync
request every SYNC_INTERVAL_PERIODS periods. That is 4 to 6 datagrams a second at a period of 1 s, and 10
with 30% of them lost.
"""

import math
from dataclasses import dataclass
from random import Random

from hitchtiller.membership.evidence import REPORT_FANOUT, Evidence
from hitchtiller.membership.gossip import Gossip
from hitchtiller.membership.view import UNHEARD, Change, MemberClaim, State, View
from hitchtiller.membership.words import MAX_CLAIMS, MAX_REPORTS, MembershipMessage, MessageKind, pack, unpack

# INITIAL_SYNCS: after a start or a pause each of this many periods sends a sync request
HELPER_COUNT, SYNC_INTERVAL_PERIODS, INITIAL_SYNCS = 3, 10, 3
# ROUND_SHARE: share of a period after which the next retry round starts, by this gateway and its helpers
ROUND_SHARE, MAX_RETRY_ROUNDS = 0.3, 2
# times log10 of the fleet's size (1 at least): with a single witness, and with FULL_WITNESS_COUNT or more
MAX_SUSPECT_PERIODS, MIN_SUSPECT_PERIODS = 4.0, 2.0
FULL_WITNESS_COUNT, GOSSIP_FANOUT = 3, 2
# LATE_TICK_PERIODS: after a longer gap between two ticks this process itself counts as late
MAX_SLOWDOWN_STEPS, LATE_TICK_PERIODS = 8, 1.5

Datagrams = list[tuple[int, bytes]]


@dataclass(slots=True)
class Probe:
    """A ping that awaits its answer, sent for this gateway itself or on behalf of another."""

    target: int
    number: int
    started_ms: float
    retry_rounds: int = 0  # rounds started so far
    requester: int = -1  # the member that asked for this ping; -1: this gateway's own probe
    requester_probe: int = 0  # the requester's probe number


@dataclass(slots=True)
class Suspicion:
    """A suspicion that is neither refuted nor confirmed: its start and the members that share it."""

    started_ms: float
    witnesses: set[int]


class Detector:
    """Failure detector of one gateway; its methods return the datagrams to send."""

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
        """Start with an empty view; `incarnation` is the Unix time of the process start in milliseconds."""
        self.own_number, self.fleet_id, self.period_ms, self.rng = own_number, fleet_id, period_ms, rng
        self.view = View(own_number, size, incarnation)
        self.gossip, self.evidence = Gossip(size), Evidence(own_number)
        self.view.listeners.append(self._queue_gossip)
        self.last_heard_ms: dict[int, float] = {}
        self.probes: dict[int, Probe] = {}
        self.suspicions: dict[int, Suspicion] = {}
        self.probe_queue: list[int] = []
        self.last_probe_number, self.period_count, self.slowdown_steps, self.initial_syncs_left = (
            0,
            0,
            0,
            INITIAL_SYNCS,
        )
        self.next_period_ms = self.last_tick_ms = now_ms
        self.sent_count = self.dropped_count = 0
        self.gossip.queue(own_number)

    # Input from the caller

    def tick(self, now_ms: float) -> Datagrams:
        """Do what is due; to be called several times a period."""
        is_late = now_ms - self.last_tick_ms > LATE_TICK_PERIODS * self.period_ms
        self.last_tick_ms = now_ms
        if is_late:  # prevents accusing others for a time in which this process did not run itself
            self.probes.clear()
            for suspicion in self.suspicions.values():
                suspicion.started_ms = now_ms
            self._slow_down(2)
            self.initial_syncs_left = INITIAL_SYNCS
            self.next_period_ms = now_ms
        datagrams = self._check_probes(now_ms)
        self._expire_suspicions(now_ms)
        if now_ms >= self.next_period_ms and not self.view.superseded:
            self.next_period_ms = now_ms + self.period_ms * (1.0 + 0.25 * self.slowdown_steps)
            datagrams += self._begin_period(now_ms)
        return datagrams

    def receive(self, sender: int, data: bytes, now_ms: float) -> Datagrams:
        """Handle a datagram from a configured peer; drop and count one that can't be decoded."""
        message = unpack(data, self.fleet_id)
        if message is None or message.sender != sender or sender not in self.view.claims:
            self.dropped_count += 1
            return []
        self.record_activity(sender, now_ms)
        for number, claim, reporter in message.items:
            if self.view.merge(number, claim, reporter, now_ms):
                self._on_claim_merged(number, reporter, now_ms)
            elif claim.state is State.SUSPECT and claim == self.view.claims.get(number):
                self._add_witness(number, reporter)
            elif number == self.own_number and claim < self.view.claims[number] and not self.view.superseded:
                # the sender lacks this gateway's newer claim: all messages that carried it were lost
                self.gossip.queue(number)
        match message.kind:
            case MessageKind.PING:
                return self._compose(sender, MessageKind.ACK, message.number)
            case MessageKind.ACK:
                return self._handle_ack(message, sender)
            case MessageKind.PING_REQ if (
                message.target in self.view.claims and message.target != self.own_number
            ):
                return self._start_probe(message.target, now_ms, sender, message.number)
            case MessageKind.SYNC_REQUEST:
                return self._answer_sync(sender, message.target)
            case MessageKind.REPORT:
                self.evidence.add_reports(
                    (r for r in message.reports if r.witness in self.view.claims), now_ms
                )
        return []

    def record_activity(self, number: int, now_ms: float) -> None:
        """Record any sign of life of a member, such as a note about an object."""
        self.last_heard_ms[number] = now_ms

    def leave(self, now_ms: float) -> Datagrams:
        """Announce to a few members that this gateway leaves as planned."""
        self.view.leave(now_ms)
        return [
            d
            for peer in self._random_members(HELPER_COUNT, ())
            for d in self._compose(peer, MessageKind.CLAIMS, 0)
        ]

    def forget(self, number: int) -> bool:
        """Forget the claim about a number, which is then probed like one never heard of."""
        self.suspicions.pop(number, None)
        return self.view.forget(number)

    def make_reports(self, now_ms: float) -> Datagrams:
        """Return reports on servers for a few members; none while there is nothing new to report."""
        datagrams: Datagrams = []
        for peer in self._random_members(REPORT_FANOUT, ()):
            if reports := self.evidence.next_reports(now_ms, MAX_REPORTS):
                datagrams += self._encode(
                    peer, MembershipMessage(MessageKind.REPORT, self.own_number, 0, reports=reports)
                )
        return datagrams

    # Periods

    def _begin_period(self, now_ms: float) -> Datagrams:
        """Start a period: a sync request if due, pings to own suspects, gossip, and the next probe."""
        self.period_count += 1
        datagrams: Datagrams = []
        if self.initial_syncs_left or self.period_count % SYNC_INTERVAL_PERIODS == 0:
            self.initial_syncs_left = max(0, self.initial_syncs_left - 1)
            for peer in self._random_members(1, ()):
                datagrams += self._compose(
                    peer, MessageKind.SYNC_REQUEST, 0, self.rng.randrange(len(self.view.claims))
                )
        target = self._next_target(now_ms)
        for number, suspicion in self.suspicions.items():  # carries the suspicion, so that it can be refuted
            if self.own_number in suspicion.witnesses:
                datagrams += self._compose(number, MessageKind.PING, 0)
        if self.gossip.send_counts:
            for peer in self._random_members(GOSSIP_FANOUT, ()):
                datagrams += self._compose(peer, MessageKind.CLAIMS, 0)
        return datagrams + self._start_probe(target, now_ms) if target is not None else datagrams

    def _next_target(self, now_ms: float) -> int | None:
        """Return the next member of the probe round that was not heard within the last period."""
        for _ in range(2 * len(self.view.claims)):
            if not self.probe_queue:
                # a few dead members are probed too: after a network partition nothing else finds them again
                self.probe_queue = [n for n in self.view.in_service() if n != self.own_number]
                dead = self.view.numbers_in(State.DEAD)
                self.probe_queue += self.rng.sample(dead, min(len(dead), 1 + len(self.probe_queue) // 8))
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
        """Ping a member; a probe on behalf of a requester starts no retry rounds of its own."""
        self.last_probe_number += 1
        self.probes[self.last_probe_number] = Probe(
            target,
            self.last_probe_number,
            now_ms,
            MAX_RETRY_ROUNDS if requester >= 0 else 0,
            requester,
            requester_probe,
        )
        return self._compose(target, MessageKind.PING, self.last_probe_number)

    def _handle_ack(self, message: MembershipMessage, sender: int) -> Datagrams:
        """End a probe that was answered, and pass the answer on to the requester, if there is one."""
        probe = self.probes.get(message.number)
        if probe is None or (probe.target != sender and probe.requester >= 0):
            return []
        del self.probes[message.number]
        if probe.requester >= 0:
            return self._compose(probe.requester, MessageKind.ACK, probe.requester_probe)
        self.slowdown_steps = max(0, self.slowdown_steps - 1)
        return []

    def _check_probes(self, now_ms: float) -> Datagrams:
        """Drop answered probes, start retry rounds that are due, and handle probes that timed out."""
        datagrams: Datagrams = []
        for probe in list(self.probes.values()):
            age_ms, timeout_ms = (
                now_ms - probe.started_ms,
                self.period_ms * (1.0 + 0.25 * self.slowdown_steps),
            )
            if self.last_heard_ms.get(probe.target, -math.inf) >= probe.started_ms and probe.requester < 0:
                del self.probes[probe.number]
            elif probe.retry_rounds < MAX_RETRY_ROUNDS and age_ms > ROUND_SHARE * timeout_ms * (
                probe.retry_rounds + 1
            ):
                probe.retry_rounds += 1
                datagrams += self._compose(probe.target, MessageKind.PING, probe.number)
                for helper in self._random_members(HELPER_COUNT, (probe.target,)):
                    datagrams += self._compose(helper, MessageKind.PING_REQ, probe.number, probe.target)
            elif age_ms > timeout_ms:
                del self.probes[probe.number]
                if probe.requester < 0:
                    self._handle_missed_probe(probe.target, now_ms)
        return datagrams

    def _handle_missed_probe(self, target: int, now_ms: float) -> None:
        """Suspect a member after an unanswered probe, or become a witness of an existing suspicion."""
        claim = self.view.claims.get(target)
        if claim is None or claim.state > State.SUSPECT:
            return
        if claim.state is State.SUSPECT:
            return self._add_witness(target, self.own_number)
        self._slow_down(1)
        if self.view.merge(target, MemberClaim(claim.incarnation, State.SUSPECT), self.own_number, now_ms):
            self._on_claim_merged(target, self.own_number, now_ms)

    def _expire_suspicions(self, now_ms: float) -> None:
        """Drop settled suspicions, and declare members dead whose time to refute has passed."""
        for number, suspicion in list(self.suspicions.items()):
            claim = self.view.claims.get(number)
            if claim is None or claim.state is not State.SUSPECT:
                del self.suspicions[number]
            elif self.last_heard_ms.get(number, -math.inf) > suspicion.started_ms:
                # it has sent a datagram since the suspicion started, so its refutation is on its way
                suspicion.started_ms = self.last_heard_ms[number]
            elif now_ms - suspicion.started_ms >= self.suspect_ms(len(suspicion.witnesses)):
                del self.suspicions[number]
                self.view.merge(number, MemberClaim(claim.incarnation, State.DEAD), self.own_number, now_ms)

    def suspect_ms(self, witnesses: int) -> float:
        """Return how long a suspect has to refute when it has this many witnesses."""
        size_factor = max(1.0, math.log10(len(self.view.claims)))
        max_periods, min_periods = MAX_SUSPECT_PERIODS * size_factor, MIN_SUSPECT_PERIODS * size_factor
        share = (
            math.log(min(witnesses, FULL_WITNESS_COUNT)) / math.log(FULL_WITNESS_COUNT)
            if witnesses > 1
            else 0.0
        )
        return (
            self.period_ms
            * (max_periods - (max_periods - min_periods) * share)
            * (1.0 + 0.25 * self.slowdown_steps)
        )

    # Claims and messages

    def _on_claim_merged(self, number: int, reporter: int, now_ms: float) -> None:
        """Act on a claim that changed the view: slow down if it is about this gateway; start a suspicion."""
        if number == self.own_number:
            self._slow_down(1)  # others suspected this gateway, so it may be the slow one
        elif self.view.claims[number].state is State.SUSPECT:
            self.suspicions[number] = Suspicion(now_ms, {reporter})

    def _add_witness(self, number: int, witness: int) -> None:
        """Record a further member that holds the suspicion; pass on the first FULL_WITNESS_COUNT of them."""
        suspicion = self.suspicions.get(number)
        if suspicion and witness not in suspicion.witnesses:
            suspicion.witnesses.add(witness)
            if len(suspicion.witnesses) <= FULL_WITNESS_COUNT:
                self.view.reporters[number] = witness
                self.gossip.queue(number)

    def _queue_gossip(self, change: Change) -> None:
        self.gossip.queue(change.number)

    def _slow_down(self, steps: int) -> None:
        """Lengthen this gateway's periods and suspicion times by this many steps."""
        self.slowdown_steps = min(MAX_SLOWDOWN_STEPS, self.slowdown_steps + steps)

    def _random_members(self, count: int, excluded: tuple[int, ...]) -> list[int]:
        """Draw up to `count` other members that are believed alive."""
        others = [n for n in self.view.numbers_in(State.ALIVE) if n != self.own_number and n not in excluded]
        return self.rng.sample(others, min(count, len(others)))

    def _answer_sync(self, peer: int, start: int) -> Datagrams:
        """Answer a sync request with the claims about the numbers from `start` on, as many as fit."""
        size = len(self.view.claims)
        numbers = sorted(self.view.claims, key=lambda n: (n - start) % size)
        items = self.view.items(numbers)[:MAX_CLAIMS]
        return self._encode(peer, MembershipMessage(MessageKind.CLAIMS, self.own_number, 0, 0, items))

    def _compose(self, peer: int, kind: MessageKind, number: int, target: int = 0) -> Datagrams:
        """Build a message that also carries the claims next to be sent."""
        # a peer not believed alive gets the claim about itself first: it refutes, or learns it is superseded
        claim = self.view.claims.get(peer, UNHEARD)
        first_number = peer if claim.state is not State.ALIVE else None
        items = self.view.items(self.gossip.next_numbers(MAX_CLAIMS, first_number))
        return self._encode(peer, MembershipMessage(kind, self.own_number, number, target, items))

    def _encode(self, peer: int, message: MembershipMessage) -> Datagrams:
        self.sent_count += 1
        return [(peer, pack(message, self.fleet_id))]
