"""Word on servers: what other gateways saw of a cache or district that I have not asked lately.

With little traffic each gateway pays time-outs of its own for each sick server: a fleet of N pays N times
for one. So a gateway that leaves a server out says so, and others leave it out on the word of enough of them.

A report is one witness's: the server (a mark of its name), the sign, who saw it, how long ago, how often. It
is passed on as that witness's, so one witness repeated by forty is one; who left a server out on the word of
others is no witness. Clocks need not agree: reports carry ages. What is believed, and when not:

- NEEDED independent witnesses within KEEP_MS, the same for every fleet: one that is itself cut from a server
  is one witness, and so is a wrong process; two that are cut from it by the same cut are the price;
- never against what I saw myself: an answer of the server's takes all reports from before it away, since
  what a server answers no cut can falsify;
- a verdict is given once; it is given again only for reports that are newer than it.

It is preference only: whom it leaves out is tried again after its time as after any suspicion, no rule's
share depends on it, and the decisions leave nobody out where its likes are blamed too.

Bounds over 200 gateways: WITNESSES reports a server are kept and passed on, TIMES each, as many in a
datagram as fit, one datagram to FANOUT others a tick while there is news: a sick server costs at most
WITNESSES * TIMES mentions of nine bytes a gateway.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

REPORT_LIFETIME_MS, MIN_WITNESSES, MAX_WITNESSES = 6_000.0, 2, 4
MAX_SENDS, REPORT_FANOUT = 6, 3


class Symptom(IntEnum):
    """What a witness saw."""

    SILENT = 0
    REFUSED = 1
    FAILING = 2


@dataclass(frozen=True, slots=True)
class Report:
    """What one witness says of one server."""

    server: int  # mark of its name
    symptom: Symptom
    witness: int
    age_ms: float
    count: int = 1  # how often that witness saw it


@dataclass(slots=True)
class StoredReport:
    """A report as it is kept here: when it was seen by this gateway's clock, how often it was told."""

    symptom: Symptom
    seen_ms: float
    count: int
    send_count: int = 0


class Evidence:
    """One gateway's knowledge of what others saw of servers."""

    def __init__(self, own_number: int) -> None:
        """Know nothing."""
        self.own_number = own_number
        self.reports: dict[int, dict[int, StoredReport]] = {}  # server, witness
        self.last_answer_ms: dict[int, float] = {}  # when a server last answered me
        self.last_verdict_ms: dict[int, float] = {}  # when a verdict was last given
        self.failure_counts: dict[int, int] = {}  # how often I saw a server sick: tells my reports apart

    def record_failure(self, server: int, symptom: Symptom, now_ms: float) -> None:
        """Take what I saw myself; it is told, and is no witness for me."""
        self.failure_counts[server] = self.failure_counts.get(server, 0) + 1
        self.reports.setdefault(server, {})[self.own_number] = StoredReport(
            symptom, now_ms, self.failure_counts[server]
        )

    def record_answer(self, server: int, now_ms: float) -> None:
        """Take an answer of a server's: what was said of it before is void for me."""
        self.last_answer_ms[server] = max(now_ms, self.last_answer_ms.get(server, now_ms))
        self.reports.get(server, {}).pop(self.own_number, None)

    def add_reports(self, reports: Iterable[Report], now_ms: float) -> None:
        """Take others' word; older word of the same witness, and what is too old, changes nothing."""
        for report in reports:
            at = now_ms - report.age_ms
            if report.witness == self.own_number or report.age_ms >= REPORT_LIFETIME_MS:
                continue
            witnesses = self.reports.setdefault(report.server, {})
            old = witnesses.get(report.witness)
            if old is None and sum(witness != self.own_number for witness in witnesses) >= MAX_WITNESSES:
                continue  # more add nothing
            if old is None or report.count > old.count:
                witnesses[report.witness] = StoredReport(report.symptom, at, report.count)

    def witnesses(self, server: int, now_ms: float) -> set[int]:
        """Give who else saw a server sick lately, and since it last answered me."""
        since = max(
            now_ms - REPORT_LIFETIME_MS,
            self.last_answer_ms.get(server, 0.0),
            self.last_verdict_ms.get(server, 0.0),
        )
        kept = self.reports.get(server, {})
        return {
            witness
            for witness, report in kept.items()
            if witness != self.own_number and report.seen_ms > since
        }

    def take_verdicts(self, now_ms: float) -> list[int]:
        """Give the servers that enough others saw sick, each once; forgets what is too old."""
        found = []
        for server in list(self.reports):
            if len(self.witnesses(server, now_ms)) >= MIN_WITNESSES:
                self.last_verdict_ms[server] = now_ms
                found.append(server)
            kept = {
                witness: k
                for witness, k in self.reports[server].items()
                if now_ms - k.seen_ms < REPORT_LIFETIME_MS
            }
            if kept:
                self.reports[server] = kept
            else:
                del self.reports[server]
        for table in (self.last_answer_ms, self.last_verdict_ms):
            for server in [s for s, at in table.items() if now_ms - at >= REPORT_LIFETIME_MS]:
                del table[server]
        known = {
            **self.reports,
            **self.last_answer_ms,
        }  # others have forgotten my reports on the rest by now too
        self.failure_counts = {
            server: count for server, count in self.failure_counts.items() if server in known
        }
        return found

    def next_reports(self, now_ms: float, most: int) -> list[Report]:
        """Give what goes with the next datagram: the least told first; counts it as told once."""
        known = [
            (kept.send_count, server, witness, kept)
            for server, witnesses in self.reports.items()
            for witness, kept in witnesses.items()
            if kept.send_count < MAX_SENDS and now_ms - kept.seen_ms < REPORT_LIFETIME_MS
        ]
        chosen = sorted(known, key=lambda row: row[:3])[:most]
        for _, _, _, kept in chosen:
            kept.send_count += 1
        return [
            Report(server, k.symptom, witness, now_ms - k.seen_ms, k.count)
            for _, server, witness, k in chosen
        ]
