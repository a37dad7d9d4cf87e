"""Runs membership on the peer socket: ticks, datagrams, log lines, statistics and operators' calls.

The logic is in `hitchtiller/membership/`; this module provides it with the time, random numbers and the
socket. It is enabled only by the `membership` block of the operators' file; a gateway run on the platform
does not import it.
"""

import zlib
from collections import Counter
from random import Random

from hitchtiller.bus import BusLink
from hitchtiller.engine import Engine
from hitchtiller.interface import PeerNote
from hitchtiller.log import logger
from hitchtiller.membership.detector import Datagrams, Detector
from hitchtiller.membership.evidence import Symptom
from hitchtiller.membership.homes import Homes
from hitchtiller.membership.partition import Connectivity, PartitionMonitor
from hitchtiller.membership.shares import preferred_share
from hitchtiller.membership.view import Change, State
from hitchtiller.membership.words import is_membership_message
from hitchtiller.ops.control import CallError
from hitchtiller.peers import Peers
from hitchtiller.sched import Scheduler, now_ms

TICKS_PER_PERIOD = 4
SILENCE_PERIODS = 5.0  # without a datagram from any member: no member counts as heard
ANSWER_STATUSES = ("done", "enoent", "busy", "err")  # results of attempts that only a server's answer yields
# HEALTHY_SCORE: an answering server with a lower failure score counts as healthy
# REPORTED_FAILURE: added to the failure score of a server that enough others saw failing
HEALTHY_SCORE, REPORTED_FAILURE, REFUSAL_WINDOW_MS = 0.2, 0.6, 12_000.0
# without an answer of any cache; without a frame of the event bus, which sends one each second
CACHE_SILENCE_MS, BUS_SILENCE_MS = 5_000.0, 3_000.0


class MembershipService:
    """The membership of one gateway, connected to its engine, peer socket and event bus."""

    def __init__(
        self, sched: Scheduler, engine: Engine, peers: Peers, bus: BusLink, fleet: str, period_ms: float
    ) -> None:
        """Register with the peer socket, the statistics and the decisions' choice of home gateways."""
        self.sched, self.engine, self.peers, self.period_ms = sched, engine, peers, period_ms
        self.bus, self.answer_count, self.last_answer_ms = bus, 0, now_ms()
        settings, started_ms = engine.router.settings, now_ms()
        self.own_number, size = settings.my_number, settings.group_size
        fleet_id = zlib.crc32(f"{fleet} {size} {' '.join(settings.zones)}".encode())
        self.detector = Detector(
            self.own_number, size, int(started_ms), fleet_id, period_ms, Random(int(started_ms)), started_ms
        )
        self.view = self.detector.view
        self.view.listeners.append(self.on_change)
        self.homes, self.partition_monitor = Homes(size), PartitionMonitor()
        self.changes: Counter[str] = Counter()
        self.handed_over = 0  # directory entries sent to a new home
        # servers that this gateway ejects, by hash of their name, with the end of the ejection
        self.reported_out_until: dict[int, float] = {}
        self.serving, self.serving_share = (
            set(range(size)),
            1.0,
        )  # the members in service, and their share of all
        peers.on_other_datagram = self.receive
        engine.router.serving_share = lambda: self.serving_share
        engine.router.home_of = lambda object_hash: self.homes.home(object_hash, self.serving)
        levels = {"members_alive": State.ALIVE, "members_suspect": State.SUSPECT, "members_dead": State.DEAD}
        for name, state in levels.items():
            engine.stats.gauges[name] = lambda state=state: len(self.view.numbers_in(state))  # type: ignore[misc]
        engine.stats.gauges["members_standing"] = lambda: int(self.partition_monitor.connectivity)
        engine.stats.counters["members_entries_handed"] = lambda: self.handed_over
        engine.stats.counters["members_words_sent"] = lambda: self.detector.sent_count
        engine.stats.counters["members_words_dropped"] = lambda: self.detector.dropped_count

    def run(self) -> None:
        """Tick until the program ends."""
        while True:
            self.sched.sleep(self.period_ms / TICKS_PER_PERIOD)
            self.send_all(self.detector.tick(now_ms()))
            self.update_connectivity()
            self.exchange_reports()
            self.send_all(self.detector.make_reports(now_ms()))

    def receive(self, sender: int, data: bytes) -> bool:
        """Handle a datagram; return whether it was a membership message rather than a note about objects."""
        if not is_membership_message(data):
            self.detector.record_activity(sender, now_ms())
            return False
        self.send_all(self.detector.receive(sender, data, now_ms()))
        return True

    def send_all(self, datagrams: Datagrams) -> None:
        """Send datagrams to their peers."""
        for peer, data in datagrams:
            self.peers.send(peer, data)

    def update_connectivity(self) -> None:
        """Update the connectivity state and log a change of it."""
        now, old = now_ms(), self.partition_monitor.connectivity
        others = len(self.view.claims) - 1
        missing = set(self.view.numbers_in(State.DEAD)) - {self.own_number}
        heard = any(
            now - heard_ms < SILENCE_PERIODS * self.period_ms
            for heard_ms in self.detector.last_heard_ms.values()
        )
        results = self.engine.stats.attempt_results
        answers = sum(results.get(status, 0) for status in ANSWER_STATUSES)
        if answers > self.answer_count:
            self.answer_count, self.last_answer_ms = answers, now
        caches = now - self.last_answer_ms < CACHE_SILENCE_MS
        is_starting = self.detector.period_count < SILENCE_PERIODS
        bus = now - self.bus.last_frame_ms < BUS_SILENCE_MS
        new = self.partition_monitor.assess(now, others, missing, heard or is_starting, caches, bus)
        if new is not old:
            logger.info("standing {} was {} missing={}", new.name, old.name, sorted(missing))

    def exchange_reports(self) -> None:
        """Report the servers that this gateway ejects, and eject those that enough others saw failing."""
        now, router, evidence = now_ms(), self.engine.router, self.detector.evidence
        nodes = {zlib.crc32(name.encode()): node for name, node in router.nodes.items()}
        for server_hash, node in nodes.items():
            if now < node.ejected_until_ms:
                # reported once for each ejection
                if self.reported_out_until.get(server_hash) != node.ejected_until_ms:
                    symptom = Symptom.REFUSED if node.refused_ms > now - REFUSAL_WINDOW_MS else Symptom.SILENT
                    evidence.record_failure(server_hash, symptom, now)
            elif node.failure_score < HEALTHY_SCORE and now - node.answered_ms < self.period_ms:
                evidence.record_answer(server_hash, node.answered_ms)
        for node in (
            nodes[server_hash] for server_hash in evidence.take_verdicts(now) if server_hash in nodes
        ):
            if now >= node.ejected_until_ms and not self.engine.is_dispatching:
                router.now_ms, router.actions = now, []
                router.add_failure(node, REPORTED_FAILURE)
                for action in router.actions:
                    self.engine.execute(action)
                if now < node.ejected_until_ms:
                    logger.info("server {} left out on the word of others", node.member.server)
        self.reported_out_until = {
            server_hash: node.ejected_until_ms
            for server_hash, node in nodes.items()
            if now < node.ejected_until_ms
        }

    def on_change(self, change: Change) -> None:
        """Log a change of the view with its reporter, and apply it to the preferences."""
        self.changes[change.new.state.name] += 1
        self.apply_view()
        new, old = change.new, change.old
        logger.info(
            "member {} {} incarnation={} was {} reported by {}",
            change.number, new.state.name, new.incarnation, old.state.name, change.reporter,
        )  # fmt: skip

    def isolation_reason(self) -> str:
        """Return why clients should use another gateway, if this one hears nothing at all; "" otherwise."""
        return (
            "neither gateways nor caches nor the bus are heard"
            if self.connectivity is Connectivity.DEAF
            else ""
        )

    @property
    def connectivity(self) -> Connectivity:
        """Return the current connectivity state."""
        return self.partition_monitor.connectivity

    def hand_over_entries(self, before: set[int], after: set[int], new_home: int = -1) -> None:
        """Send directory entries of this gateway to their new homes; only to `new_home` unless it is -1."""
        router, count = self.engine.router, 0
        for key, home in self.homes.moved_entries(router.directory.entries, before, after, new_home):
            entry = router.directory.entries[key]
            name, announced_ms = next(reversed(entry.holders.items()), ("", 0.0))
            if announced_ms > router.purges.latest(key[0], entry.group) and home != self.own_number:
                count += 1
                self.peers.send_note(home, PeerNote("kept", *key, name, max(0, entry.group)))
        if count:
            self.handed_over += count
            logger.info("handed {} directory entries over", count)

    def apply_view(self) -> None:
        """Apply the view to the preferences: the homes of entries, and the share of gateways in service."""
        before, self.serving = self.serving, set(self.view.in_service())
        for number in self.serving - before:
            self.hand_over_entries(before, self.serving, number)
        self.serving_share = 1.0 / preferred_share(self.serving, self.own_number) / len(self.view.claims)

    def leave(self) -> None:
        """Hand over the directory entries, and announce to a few members that this gateway leaves."""
        if not self.view.superseded:
            self.hand_over_entries(self.serving, self.serving - {self.own_number})
            self.send_all(self.detector.leave(now_ms()))

    # Operators' calls

    def list_members(self) -> str:
        """Return a line for each member, then one with this gateway's connectivity state."""
        now, lines = now_ms(), ["members"]
        for number, claim in sorted(self.view.claims.items()):
            changed_ms = self.view.changed_ms.get(number)
            age = f"{(now - changed_ms) / 1000.0:.1f}" if changed_ms else "-"
            reporter = self.view.reporters.get(number, "-")
            name = claim.state.name if claim.incarnation else "UNHEARD"
            lines.append(f"{number}|{name}|{claim.incarnation}|{age}|{reporter}")
        return "\n".join([*lines, f"standing|{Connectivity(self.partition_monitor.connectivity).name}", "."])

    def forget(self, argument: str) -> str:
        """Forget the claim about a member; CallError if the argument is no other member's number."""
        if not argument.isdecimal() or not self.detector.forget(int(argument)):
            last_number = len(self.view.claims) - 1
            raise CallError(f"{argument[:20]!r} is no other member's number; there are 0 to {last_number}")
        self.apply_view()
        return "forgotten"
