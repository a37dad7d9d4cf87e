"""Converts the fields of a request frame to a validated ClientRequest, and an Answer to an answer frame."""

import math
import re
from collections.abc import Mapping

from hitchtiller import interface as api
from hitchtiller.codec import frames
from hitchtiller.exchange import REFUSED, SERVED, Answer, ClientRequest

MAX_BODY_BYTES, MAX_FIELDS_BYTES = 48_000, 16_384
MAX_REQUEST_BYTES = MAX_FIELDS_BYTES + MAX_BODY_BYTES  # payload of a request frame
MAX_WAIT_MS = 3_600_000.0
# Part of the client's waiting time that is reserved for the network and for the event loop, which takes 0.1 s
# on a busy day. A quarter of a short wait was too much: answers that came in the last 60 ms of impatient
# clients were given up.
DEADLINE_MARGIN_MS, DEADLINE_MARGIN_SHARE = 60.0, 0.05
HEX16_PATTERN = re.compile(r"[0-9a-fA-F]{16}\Z")
TOKEN_PATTERN = re.compile(r"[0-9A-Za-z_.:+/-]{1,128}\Z")  # no separator of the FIELDS text of codec/resp.py
INTEGER_PATTERN = re.compile(r"[0-9]{1,9}\Z")
# float() alone would accept 1_0, 1e3, nan and the digits of other scripts.
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")
MAX_SIZE_KB = 1e6
ANSWER_CODES = {SERVED: frames.SERVED, REFUSED: frames.REFUSED}


class RequestError(Exception):
    """A request in a valid frame is invalid; `class_name` is its class where that is known."""

    class_name = ""


def _read_integer(fields: Mapping[str, str], name: str, default: int, max_value: int) -> int:
    text = fields.get(name)
    if text is None:
        return default
    if not INTEGER_PATTERN.match(text) or int(text) > max_value:
        raise RequestError(f"field {name}={text[:20]!r} is not a valid integer")
    return int(text)


def _read_decimal(fields: Mapping[str, str], name: str, max_value: float, default: str = "") -> float:
    text = fields.get(name, default)
    if not DECIMAL_PATTERN.match(text) or float(text) > max_value:
        raise RequestError(f"field {name}={text[:20]!r} is not a valid number")
    return float(text)


def _read_text(fields: Mapping[str, str], name: str, pattern: re.Pattern[str], required: bool = True) -> str:
    text = fields.get(name, "")
    if (required or text) and not pattern.match(text):
        raise RequestError(f"field {name}={text[:20]!r} is not valid")
    return text


def read_request(payload: bytes, settings: api.Settings, arrived_ms: float) -> ClientRequest:
    """Parse and validate a request; raise RequestError for an invalid one."""
    try:
        fields, end = frames.read_fields(payload)
    except frames.FrameError as error:
        raise RequestError(str(error)) from None
    cls = settings.classes.get(fields.get("c", ""))
    if cls is None:
        raise RequestError(f"unknown class {fields.get('c', '')[:20]!r}")
    try:
        return _read_checked(fields, payload[end:], cls, arrived_ms)
    except RequestError as error:
        error.class_name = cls.name
        raise


def _read_checked(
    fields: Mapping[str, str], body: bytes, cls: api.ClassSettings, arrived_ms: float
) -> ClientRequest:
    if len(body) > MAX_BODY_BYTES:
        raise RequestError("body is too long")
    # No client waits longer than the deadline of the class.
    wait_ms = min(_read_decimal(fields, "d", MAX_WAIT_MS), cls.deadline_ms or MAX_WAIT_MS)
    if wait_ms <= 0.0:
        raise RequestError("field d leaves no time to wait")
    name = _read_text(fields, "o", HEX16_PATTERN)
    return ClientRequest(
        id=_read_text(fields, "i", HEX16_PATTERN),
        class_name=cls.name,
        object=name,
        key=int(name, 16),
        deadline_ms=arrived_ms + wait_ms - min(DEADLINE_MARGIN_MS, wait_ms * DEADLINE_MARGIN_SHARE),
        part=_read_integer(fields, "piece", 0, 0xFFFF),
        group=_read_integer(fields, "lot", -1, 255),
        size_kb=_read_decimal(fields, "m", MAX_SIZE_KB, "0"),
        body=body,
        dedupe=_read_text(fields, "k", TOKEN_PATTERN, required=cls.effect == "by_key"),
        client_tag=_read_text(fields, "ver", TOKEN_PATTERN, required=False),
        repeatable=cls.effect == "repeatable",
        write=cls.write,
    )


def write_answer(stream: int, answer: Answer) -> tuple[bytes, bytes]:
    """Return an answer frame in two parts, the head and the body, so that the body is not copied."""
    fields = {}
    if answer.kind == REFUSED and answer.wait_ms > 0.0:
        fields["w"] = str(math.ceil(answer.wait_ms))
    if answer.kind == SERVED and answer.unchanged:
        fields["unchanged"] = "1"
    if answer.kind == SERVED and answer.tag:
        fields["ver"] = answer.tag
    code = ANSWER_CODES.get(answer.kind, frames.FAILED)
    return frames.answer_head(stream, code, fields, len(answer.body)), answer.body
