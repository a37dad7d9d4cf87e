"""Jobs: the commands that are written to servers, and the interpretation of their answers.

A PULL carries an attempt, a METER a probe. A command is composed only when its first byte is about to be
sent, because the remaining time and the accepted age of a copy are known only then.
"""

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
# The letters of the `why` field, numbered as api.Outcome numbers its notes.
NOTE_NUMBERS = {letter: number for number, letter in enumerate("hfojsrblnx", 1)}
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")


def _read_ms(text: str) -> float:
    """Return the time spent waiting for a source, or 0 if the field is missing or malformed."""
    return float(text) if DECIMAL_PATTERN.match(text) else 0.0


# Values of the `do` field by the flags (join, held_only, renew).
DO_VALUES = {
    flags: "+".join(
        option for option, flag in zip(("merge", "local", "revalidate"), flags, strict=True) if flag
    )
    for flags in product((False, True), repeat=3)
}


class Job(Protocol):
    """A command to a server, which answers it under the same name."""

    name: bytes
    due_ms: float  # when its answer becomes overdue; infinite until it is written
    reassignments: int  # how often it was moved to another connection before it was written
    process_is_certain: bool  # set before `command`: the connection leads to the listed process
    repeatable: bool  # a late second answer may safely be matched to the next job of this name
    question: int  # equal for jobs that ask the same

    def command(self) -> bytes | None:
        """Return the bytes, just before the first one is sent; None if it may not be sent any more."""

    def on_sent(self) -> None:
        """Handle that the last byte was sent."""

    def is_answered_by(self, reply: str, fields: dict[str, str]) -> bool:
        """Return whether an answer fits that may belong to a killed job which asked the same."""

    def on_answer(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """Handle the answer; raise resp.RespError for one that no valid server sends."""

    def on_connection_end(self, status: str) -> None:
        """Handle that the connection ended without an answer."""

    def block_until(self, until_ms: float) -> None:
        """Handle that a KILL or a close may still be on its way to the server until this time."""


class PullJob:
    """An attempt, sent as a PULL command."""

    def __init__(self, attempt: Attempt) -> None:
        """Wrap an attempt."""
        self.attempt = attempt
        self.due_ms, self.reassignments, self.process_is_certain = math.inf, 0, True
        self.name = attempt.exchange.request.id.encode()
        self.repeatable = attempt.exchange.request.repeatable
        self.question = attempt.exchange.request.question(attempt.exchange.confirm_tag)
        self.purged_ms = -math.inf  # latest purge of the object that was known when it was written

    def command(self) -> bytes | None:
        """Return the PULL with the values known only now: the remaining time and the oldest accepted copy."""
        attempt = self.attempt
        attempt.process_is_certain = self.process_is_certain
        limits = attempt.authorize(attempt)
        if limits is None:
            attempt.abort("skipped")
            return None
        attempt.written = True
        self.purged_ms = limits.purged_ms
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
        if limits.max_age_ms:
            fields += f",cap={max(1, int(limits.max_age_ms))}"  # 0 would accept any fresh copy
        if do_value := DO_VALUES[get.join, get.held_only, get.renew]:
            fields += f",do={do_value}"
        if client_tag := request.client_tag or attempt.exchange.confirm_tag:
            fields += f",inm={client_tag}"
        return resp.write_command(b"PULL", self.name, fields.encode(), request.body)

    def on_sent(self) -> None:
        """Report that the command was sent completely."""
        self.attempt.on_sent()

    def is_answered_by(self, reply: str, fields: dict[str, str]) -> bool:
        """Return whether an answer fits: a copy from before a known purge is that of an earlier attempt."""
        since = fields.get("since", "")
        return not ORIGIN_TIME_PATTERN.match(since) or int(since) > self.purged_ms

    def on_answer(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """End the attempt with the status that the routing decisions use."""
        status, request = STATUS_BY_REPLY.get(reply, ""), self.attempt.exchange.request
        rev, since = fields.get("rev"), fields.get("since")
        # A deduplication key does not identify a write: effects may run without one.
        is_copy = status == "done" and not request.write
        if not status or (
            is_copy and not (TAG_PATTERN.match(rev or "") and ORIGIN_TIME_PATTERN.match(since or ""))
        ):
            # The rest of what the server sends may be invalid as well.
            raise resp.RespError(f"answer {reply!r:.20} rev={rev!r:.40} since={since!r:.40}")
        unchanged = reply == "KEEP"
        if unchanged and not (request.client_tag or self.attempt.exchange.confirm_tag):
            status = "err"  # "unchanged", although the request named no copy to compare with
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
        """Delay further attempts of the request: otherwise two copies would be in transfer at once."""
        self.attempt.exchange.blocked_until_ms = max(self.attempt.exchange.blocked_until_ms, until_ms)

    def on_connection_end(self, status: str) -> None:
        """End the attempt with a status.

        An unwritten job whose connection closed was reassigned before, and gets here only once that failed.
        """
        silent = status == "silent"
        self.attempt.end(AttemptResult("econnrefused" if silent else status, silent=silent))


class MeterJob:
    """A probe, sent as a METER command."""

    def __init__(self, number: int, on_report: Callable[[str, dict[str, float]], None]) -> None:
        """Call `on_report` once with a status and the server's load report."""
        self.name = b"m%x" % number
        self.due_ms, self.reassignments, self.repeatable = math.inf, 0, True
        self.process_is_certain, self.question = True, 0
        self.on_report = on_report

    def command(self) -> bytes:
        """Return the METER command."""
        self.due_ms = now_ms() + METER_TIMEOUT_MS
        return resp.write_command(b"METER", self.name)

    def on_sent(self) -> None:
        """Ignore it: only attempts are counted."""

    def is_answered_by(self, reply: str, fields: dict[str, str]) -> bool:
        """Return True: no two probes have the same name."""
        return True

    def on_answer(self, reply: str, fields: dict[str, str], body: bytes) -> None:
        """Report the server's load."""
        self.on_report("done" if reply == "FIT" else "err", resp.read_report(fields.get("rep", "")))

    def block_until(self, until_ms: float) -> None:
        """Ignore it: a probe transfers no object."""

    def on_connection_end(self, status: str) -> None:
        """Report that the connection ended without an answer."""
        self.on_report("econnrefused" if status == "silent" else status, {})
