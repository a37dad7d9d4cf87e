"""Carries membership on the peer socket: ticks, datagrams, log lines, figures, calls of operators.

What is decided is in `hitchtiller/membership/`; this gives it time, draws and the wire. Switched on by the
`membership` block of the operators' file only; the platform's gateway imports nothing of it.
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

TICKS_PER_PERIOD = 4  # a period
SILENCE_PERIODS = 5.0  # without a datagram from anybody: nobody is heard
ANSWER_STATUSES = ("done", "enoent", "busy", "err")  # ends of attempts that only a server's answer has
HEALTHY_SCORE, REPORTED_FAILURE, REFUSAL_WINDOW_MS = (
    0.2,
    0.6,
    12_000.0,
)  # blame of one that answers; of one that others saw sick
CACHE_SILENCE_MS, BUS_SILENCE_MS = (
    5_000.0,
    3_000.0,
)  # without one, or without a frame of the bus, which comes each second


class Members:
    """One gateway's membership at work."""

    def __init__(
        self, sched: Scheduler, engine: Engine, peers: Peers, bus: BusLink, fleet: str, period_ms: float
    ) -> None:
        """Join it to the peer socket and to the homes of directory entries."""
        self.sched, self.engine, self.peers, self.period_ms = sched, engine, peers, period_ms
        self.bus, self.answer_count, self.last_answer_ms = bus, 0, now_ms()
        settings, begun = engine.router.settings, now_ms()
        self.own_number, size = settings.my_number, settings.group_size
        fleet_id = zlib.crc32(f"{fleet} {size} {' '.join(settings.zones)}".encode())
        self.detector = Detector(
            self.own_number, size, int(begun), fleet_id, period_ms, Random(int(begun)), begun
        )
        self.view = self.detector.view
        self.view.listeners.append(self.on_change)
        self.homes, self.partition_monitor = Homes(size), PartitionMonitor()
        self.changes: Counter[str] = Counter()
        self.handed_over = 0  # directory entries told to a new home
        self.reported_out_until: dict[int, float] = {}  # servers that I leave out, by mark, until when
        self.serving, self.present = set(range(size)), 1.0  # who is in service, and their share of all
        peers.on_other_datagram = self.receive
        engine.router.present = lambda: self.present
        engine.router.home_of = lambda hashed: self.homes.home(hashed, self.serving)
        levels = {"members_alive": State.ALIVE, "members_suspect": State.SUSPECT, "members_dead": State.DEAD}
        for name, state in levels.items():
            engine.stats.levels[name] = lambda state=state: len(self.view.numbers_in(state))  # type: ignore[misc]
        engine.stats.levels["members_standing"] = lambda: int(self.partition_monitor.connectivity)
        engine.stats.counts["members_entries_handed"] = lambda: self.handed_over
        engine.stats.counts["members_words_sent"] = lambda: self.detector.sent_count
        engine.stats.counts["members_words_dropped"] = lambda: self.detector.dropped_count

    def run(self) -> None:
        """Tick until the program ends."""
        while True:
            self.sched.sleep(self.period_ms / TICKS_PER_PERIOD)
            self.send_all(self.detector.tick(now_ms()))
            self.update_connectivity()
            self.exchange_reports()
            self.send_all(self.detector.make_reports(now_ms()))

    def receive(self, sender: int, data: bytes) -> bool:
        """Take a datagram; True if it was a word, and no note on objects."""
        if not is_membership_message(data):
            self.detector.hear(sender, now_ms())
            return False
        self.send_all(self.detector.receive(sender, data, now_ms()))
        return True

    def send_all(self, out: Datagrams) -> None:
        """Send datagrams."""
        for peer, data in out:
            self.peers.send(peer, data)

    def update_connectivity(self) -> None:
        """Name my standing; a change is a line of the log."""
        now, old = now_ms(), self.partition_monitor.connectivity
        others = len(self.view.claims) - 1
        missing = set(self.view.numbers_in(State.DEAD)) - {self.own_number}
        heard = any(
            now - at < SILENCE_PERIODS * self.period_ms for at in self.detector.last_heard_ms.values()
        )
        tries = self.engine.stats.tries
        answers = sum(tries.get(word, 0) for word in ANSWER_STATUSES)
        if answers > self.answer_count:
            self.answer_count, self.last_answer_ms = answers, now
        caches = now - self.last_answer_ms < CACHE_SILENCE_MS
        young = self.detector.period_count < SILENCE_PERIODS
        bus = now - self.bus.last_frame_ms < BUS_SILENCE_MS
        new = self.partition_monitor.assess(now, others, missing, heard or young, caches, bus)
        if new is not old:
            logger.info("standing {} was {} missing={}", new.name, old.name, sorted(missing))

    def exchange_reports(self) -> None:
        """Say which servers I leave out, hear which answer, and leave out what enough others saw sick."""
        now, router, evidence = now_ms(), self.engine.router, self.detector.evidence
        marks = {zlib.crc32(name.encode()): node for name, node in router.nodes.items()}
        for fleet_id, node in marks.items():
            if now < node.out_until:
                if (
                    self.reported_out_until.get(fleet_id) != node.out_until
                ):  # once for each time that it is left out
                    sign = Symptom.REFUSED if node.refused_ms > now - REFUSAL_WINDOW_MS else Symptom.SILENT
                    evidence.record_failure(fleet_id, sign, now)
            elif node.blame < HEALTHY_SCORE and now - node.answered_ms < self.period_ms:
                evidence.record_answer(fleet_id, node.answered_ms)
        for node in (marks[fleet_id] for fleet_id in evidence.take_verdicts(now) if fleet_id in marks):
            if now >= node.out_until and not self.engine.busy:
                router.now, router.actions = now, []
                router.add_failure(node, REPORTED_FAILURE)
                for action in router.actions:
                    self.engine.execute(action)
                if now < node.out_until:
                    logger.info("server {} left out on the word of others", node.m.server)
        self.reported_out_until = {
            fleet_id: node.out_until for fleet_id, node in marks.items() if now < node.out_until
        }

    def on_change(self, change: Change) -> None:
        """Log a change with who said so, and follow it where it is preference."""
        self.changes[change.new.state.name] += 1
        self.apply_view()
        new, old = change.new, change.old
        logger.info(
            "member {} {} incarnation={} was {} said by {}",
            change.number, new.state.name, new.incarnation, old.state.name, change.reporter,
        )  # fmt: skip

    def isolation_reason(self) -> str:
        """Tell why clients should go elsewhere: nothing at all is heard here; nothing to tell otherwise."""
        return (
            "neither gateways nor caches nor the bus are heard"
            if self.connectivity is Connectivity.DEAF
            else ""
        )

    @property
    def connectivity(self) -> Connectivity:
        """Give my standing."""
        return self.partition_monitor.connectivity

    def hand_over_entries(self, before: set[int], after: set[int], to: int = -1) -> None:
        """Tell new homes of the directory entries that I held and they hold from now on."""
        router, handed = self.engine.router, 0
        for item, home in self.homes.moved_entries(router.directory.entries, before, after, to):
            entry = router.directory.entries[item]
            name, told = next(reversed(entry.holders.items()), ("", 0.0))
            if told > router.purges.latest(item[0], entry.group) and home != self.own_number:
                handed += 1
                self.peers.send_note(home, PeerNote("kept", *item, name, max(0, entry.group)))
        if handed:
            self.handed_over += handed
            logger.info("handed {} directory entries over", handed)

    def apply_view(self) -> None:
        """Follow the view with what is preference: homes, and the crowd that others make."""
        before, self.serving = self.serving, set(self.view.in_service())
        for number in self.serving - before:
            self.hand_over_entries(before, self.serving, number)
        self.present = 1.0 / preferred_share(self.serving, self.own_number) / len(self.view.claims)

    def leave(self) -> None:
        """Hand my directory entries over, and tell a few that I leave by plan."""
        if not self.view.superseded:
            self.hand_over_entries(self.serving, self.serving - {self.own_number})
            self.send_all(self.detector.leave(now_ms()))

    # Calls

    def listed(self) -> str:
        """Give a line a member, then one on my standing."""
        now, lines = now_ms(), ["members"]
        for number, claim in sorted(self.view.claims.items()):
            since = self.view.changed_ms.get(number)
            age = f"{(now - since) / 1000.0:.1f}" if since else "-"
            said = self.view.reporters.get(number, "-")
            name = claim.state.name if claim.incarnation else "UNHEARD"
            lines.append(f"{number}|{name}|{claim.incarnation}|{age}|{said}")
        return "\n".join([*lines, f"standing|{Connectivity(self.partition_monitor.connectivity).name}", "."])

    def forget(self, word: str) -> str:
        """Forget what is claimed of a member."""
        if not word.isdecimal() or not self.detector.forget(int(word)):
            most = len(self.view.claims) - 1
            raise CallError(f"{word[:20]!r} is no other member's number; there are 0 to {most}")
        self.apply_view()
        return "forgotten"
