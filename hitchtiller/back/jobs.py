"""What is written on a connection to a server, and what its answer means."""

import math
import re
from collections.abc import Callable
from itertools import product
from typing import Protocol

from hitchtiller.codec import resp
from hitchtiller.exchange import Attempt, AttemptResult
from hitchtiller.sched import now_ms

METER_TIMEOUT_MS = 1_000.0
ORIGIN_TIME_PATTERN = re.compile(r"[0-9]{1,16}\Z")
TAG_PATTERN = re.compile(r"[0-9A-Za-z_.:+/-]{1,128}\Z")
STATUS_BY_REPLY = {
    "DONE": "done",
    "KEEP": "done",
    "LACK": "enoent",
    "WAIT": "busy",
    "BROKE": "err",
    "PAST": "skipped",
}
NOTE_NUMBERS = {
    letter: number for number, letter in enumerate("hfojsrblnx", 1)
}  # `why`, by the simulator's numbers
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")


def _read_ms(text: str) -> float:
    """Read how long a source was waited for; what can't be read is untold."""
    return float(text) if DECIMAL_PATTERN.match(text) else 0.0


DO_VALUES = {
    flags: "+".join(
        reply for reply, flag in zip(("merge", "local", "revalidate"), flags, strict=True) if flag
    )
    for flags in product((False, True), repeat=3)
}


class Job(Protocol):
    """A command that is owed an answer under its name."""

    name: bytes
    due_ms: float  # when an answer should have come, once it is written
    reassignments: int  # how often it was handed on unwritten
    repeatable: bool  # a late second answer under its name may be taken for its next one's

    def command(self) -> bytes | None:
        """Write it, at its first byte; None if it may not go any more."""

    def on_sent(self) -> None:
        """Hear that its last byte went out."""

    def answered(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """Take its answer; resp.BadResp for one that no server of ours gives."""

    def broken(self, status: str) -> None:
        """Take the connection's end instead."""

    def block_until(self, until_ms: float) -> None:
        """Hear until when word that it was given up may be under way to its server."""


class PullJob:
    """An attempt as a PULL."""

    def __init__(self, attempt: Attempt) -> None:
        """Carry an attempt."""
        self.attempt = attempt
        self.due_ms, self.reassignments = math.inf, 0
        self.name = attempt.exchange.request.id.encode()
        self.repeatable = attempt.exchange.request.repeatable

    def command(self) -> bytes | None:
        """Write PULL, with what is settled only now: the wait and the oldest copy that will do."""
        attempt = self.attempt
        limits = attempt.authorize(attempt)
        if limits is None:
            attempt.drop("skipped")
            return None
        attempt.written = True
        self.due_ms = now_ms() + attempt.get.overdue_ms if attempt.get.overdue_ms else math.inf
        request, get = attempt.exchange.request, attempt.get
        ttl = max(1, int(limits.ttl_ms))
        fields = f"lane={request.class_name},name={request.object},piece={request.part},ttl={ttl}"
        if request.dedupe:
            fields += f",dedupe={request.dedupe}"
        if get.source != get.server:
            fields += f",up={get.source}"
        if get.keep:
            fields += f",store={get.keep}"
        if limits.cap_ms:
            fields += f",cap={max(1, int(limits.cap_ms))}"  # 0 would mean any age that is fresh
        if do_value := DO_VALUES[get.join, get.held_only, get.renew]:
            fields += f",do={do_value}"
        if client_tag := request.client_tag or attempt.exchange.confirm_tag:
            fields += f",inm={client_tag}"
        return resp.write_command(b"PULL", self.name, fields.encode(), request.body)

    def on_sent(self) -> None:
        """Tell that it was written whole."""
        self.attempt.on_sent()

    def answered(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """End the attempt in the decisions' words."""
        status, request = STATUS_BY_REPLY.get(reply, ""), self.attempt.exchange.request
        rev, since = fields.get("rev"), fields.get("since")
        is_copy = status == "done" and not request.write  # a key tells nothing: effects may run without one
        if not status or (
            is_copy and not (TAG_PATTERN.match(rev or "") and ORIGIN_TIME_PATTERN.match(since or ""))
        ):
            raise resp.BadResp(f"answer {reply!r:.20} rev={rev!r:.40} since={since!r:.40}")  # as may the rest
        unchanged = reply == "KEEP"
        if unchanged and not (request.client_tag or self.attempt.exchange.confirm_tag):
            status = "err"  # a server that keeps a copy the client never named
        load = resp.read_report(fields["rep"]) if "rep" in fields else {}
        served_body = body if reply == "DONE" else b""
        origin_ms = int(since) if is_copy and since else 0
        note, waited_ms = NOTE_NUMBERS.get(fields.get("why", ""), 0), _read_ms(fields.get("fill", ""))
        self.attempt.end(
            AttemptResult(
                status, served_body, unchanged, fields.get("rev", ""), load, origin_ms, note, waited_ms
            )
        )

    def block_until(self, until_ms: float) -> None:
        """Keep further attempts back for so long: the server would have two copies out."""
        self.attempt.exchange.blocked_until_ms = max(self.attempt.exchange.blocked_until_ms, until_ms)

    def broken(self, status: str) -> None:
        """End it with the connection: refused, or reset once written (unwritten jobs go elsewhere)."""
        silent = status == "silent"
        self.attempt.end(AttemptResult("econnrefused" if silent else status, silent=silent))


class MeterJob:
    """A probe as a METER."""

    def __init__(self, number: int, on_report: Callable[[str, dict[str, float]], None]) -> None:
        """Report to `report` once."""
        self.name = b"m%x" % number
        self.due_ms, self.reassignments, self.repeatable = math.inf, 0, True
        self.on_report = on_report

    def command(self) -> bytes:
        """Write METER."""
        self.due_ms = now_ms() + METER_TIMEOUT_MS
        return resp.write_command(b"METER", self.name)

    def on_sent(self) -> None:
        """Count nothing: a probe is no attempt."""

    def answered(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """Report what came."""
        self.on_report("done" if reply == "FIT" else "err", resp.read_report(fields.get("rep", "")))

    def block_until(self, until_ms: float) -> None:
        """Pass over: a probe is no attempt."""

    def broken(self, status: str) -> None:
        """Report the connection's end."""
        self.on_report("econnrefused" if status == "silent" else status, {})
