"""Reports between gateways about failing servers, for servers that a gateway has not asked lately itself.

With little traffic each gateway runs into its own timeouts for each failing server, so a fleet of N gateways
pays N times for one server. A gateway that ejects a server therefore reports it, and other gateways eject
the server as well once enough of them have reported it.

A report comes from one witness: the server (a hash of its name), the symptom, the witness, how long ago and
how often it saw the symptom. Reports are passed on under the name of their witness, so one witness repeated
by forty gateways still counts as one. A gateway that ejected a server only because of reports is no witness.
Clocks need not agree, since reports carry ages. Reports lead to a verdict under these conditions:

- It takes MIN_WITNESSES independent witnesses within REPORT_LIFETIME_MS, the same for every fleet size. A
  gateway that is itself cut off from the server, or a faulty process, is only one witness. Two gateways cut
  off from the server by the same network fault can cause a wrong verdict; this is accepted.
- Reports never outweigh what this gateway saw itself: an answer from the server voids all earlier reports,
  since a network fault can't fake an answer.
- A verdict is returned once, and again only for reports that are newer than it.

A verdict is only a preference: a server ejected by it is tried again after the usual time, no share of a
fleet-wide limit depends on it, and the decisions eject no server while other servers of its kind are failing
too.

Bounds for 200 gateways: MAX_WITNESSES reports a server are kept and passed on, MAX_SENDS times each, as many
in a datagram as fit, one datagram to each of REPORT_FANOUT members a tick while there is something new. A
failing server thus costs at most MAX_WITNESSES * MAX_SENDS entries of nine bytes a gateway.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

REPORT_LIFETIME_MS, MIN_WITNESSES, MAX_WITNESSES = 6_000.0, 2, 4
MAX_SENDS, REPORT_FANOUT = 6, 3


class Symptom(IntEnum):
    """How a server failed, as its witness saw it."""

    SILENT = 0
    REFUSED = 1
    FAILING = 2


@dataclass(frozen=True, slots=True)
class Report:
    """Report of one witness about one server."""

    server: int  # CRC-32 of its name
    symptom: Symptom
    witness: int
    age_ms: float
    count: int = 1  # how often that witness saw the server failing


@dataclass(slots=True)
class StoredReport:
    """A report as kept by this gateway, with the time by its own clock and the number of times sent."""

    symptom: Symptom
    seen_ms: float
    count: int
    send_count: int = 0


class Evidence:
    """One gateway's reports about failing servers, its own and those of others."""

    def __init__(self, own_number: int) -> None:
        """Start without reports."""
        self.own_number = own_number
        self.reports: dict[int, dict[int, StoredReport]] = {}  # by server, then by witness
        self.last_answer_ms: dict[int, float] = {}  # by server: its last answer to this gateway
        self.last_verdict_ms: dict[int, float] = {}  # by server: the last verdict against it
        # by server: how often this gateway saw it failing, which tells its successive reports apart
        self.failure_counts: dict[int, int] = {}

    def record_failure(self, server: int, symptom: Symptom, now_ms: float) -> None:
        """Record a failure that this gateway saw itself: it is passed on, but is no witness here."""
        self.failure_counts[server] = self.failure_counts.get(server, 0) + 1
        self.reports.setdefault(server, {})[self.own_number] = StoredReport(
            symptom, now_ms, self.failure_counts[server]
        )

    def record_answer(self, server: int, now_ms: float) -> None:
        """Record an answer of a server, which voids all earlier reports about it for this gateway."""
        self.last_answer_ms[server] = max(now_ms, self.last_answer_ms.get(server, now_ms))
        self.reports.get(server, {}).pop(self.own_number, None)

    def add_reports(self, reports: Iterable[Report], now_ms: float) -> None:
        """Add reports of other gateways; expired ones and older ones of the same witness change nothing."""
        for report in reports:
            seen_ms = now_ms - report.age_ms
            if report.witness == self.own_number or report.age_ms >= REPORT_LIFETIME_MS:
                continue
            witnesses = self.reports.setdefault(report.server, {})
            old = witnesses.get(report.witness)
            if old is None and sum(witness != self.own_number for witness in witnesses) >= MAX_WITNESSES:
                continue  # further witnesses would not change the verdict
            if old is None or report.count > old.count:
                witnesses[report.witness] = StoredReport(report.symptom, seen_ms, report.count)

    def witnesses(self, server: int, now_ms: float) -> set[int]:
        """Return the other members that saw a server failing lately and since its last answer and verdict."""
        since_ms = max(
            now_ms - REPORT_LIFETIME_MS,
            self.last_answer_ms.get(server, 0.0),
            self.last_verdict_ms.get(server, 0.0),
        )
        stored = self.reports.get(server, {})
        return {
            witness
            for witness, report in stored.items()
            if witness != self.own_number and report.seen_ms > since_ms
        }

    def take_verdicts(self, now_ms: float) -> list[int]:
        """Return the servers that enough others saw failing, each once; drop what has expired."""
        found = []
        for server in list(self.reports):
            if len(self.witnesses(server, now_ms)) >= MIN_WITNESSES:
                self.last_verdict_ms[server] = now_ms
                found.append(server)
            stored = {
                witness: report
                for witness, report in self.reports[server].items()
                if now_ms - report.seen_ms < REPORT_LIFETIME_MS
            }
            if stored:
                self.reports[server] = stored
            else:
                del self.reports[server]
        for table in (self.last_answer_ms, self.last_verdict_ms):
            for server in [s for s, time_ms in table.items() if now_ms - time_ms >= REPORT_LIFETIME_MS]:
                del table[server]
        # the other gateways have dropped this gateway's reports on all further servers by now too
        known = {**self.reports, **self.last_answer_ms}
        self.failure_counts = {
            server: count for server, count in self.failure_counts.items() if server in known
        }
        return found

    def next_reports(self, now_ms: float, max_count: int) -> list[Report]:
        """Return the reports for the next datagram, those sent least often first, and count them as sent."""
        known = [
            (stored.send_count, server, witness, stored)
            for server, witnesses in self.reports.items()
            for witness, stored in witnesses.items()
            if stored.send_count < MAX_SENDS and now_ms - stored.seen_ms < REPORT_LIFETIME_MS
        ]
        chosen = sorted(known, key=lambda row: row[:3])[:max_count]
        for _, _, _, stored in chosen:
            stored.send_count += 1
        return [
            Report(server, report.symptom, witness, now_ms - report.seen_ms, report.count)
            for _, server, witness, report in chosen
        ]
