"""A request frame's fields, checked, as a ClientRequest; an Answer as fields."""

import math
import re
from collections.abc import Mapping

from hitchtiller import interface as api
from hitchtiller.codec import frames
from hitchtiller.exchange import REFUSED, SERVED, Answer, ClientRequest

MOST_BODY = 48_000
LONGEST_MS = 3_600_000.0
# Of what the client waits this much is left for both ways and for the loop, on a busy day 0.1 s. Of short
# waits it was a quarter: answers to impatient clients that came in their last 60 ms were given up.
MARGIN_MS, MARGIN_SHARE = 60.0, 0.05
HEX16 = re.compile(r"[0-9a-fA-F]{16}\Z")
TOKEN = re.compile(r"[0-9A-Za-z_.:+/-]{1,128}\Z")  # nothing that FIELDS would read as a sign
WHOLE = re.compile(r"[0-9]{1,9}\Z")
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?\Z")  # float() takes 1_0, 1e3, nan and other scripts' digits
LARGEST_KB = 1e6
CODES = {SERVED: frames.SERVED, REFUSED: frames.REFUSED}


class RequestError(Exception):
    """A well-framed request that can't be used; its class is told where it has one."""

    class_name = ""


def _whole(fields: Mapping[str, str], name: str, default: int, most: int) -> int:
    text = fields.get(name)
    if text is None:
        return default
    if not WHOLE.match(text) or int(text) > most:
        raise RequestError(f"{name}={text[:20]!r}")
    return int(text)


def _number(fields: Mapping[str, str], name: str, most: float, default: str = "") -> float:
    text = fields.get(name, default)
    if not NUMBER.match(text) or float(text) > most:
        raise RequestError(f"{name}={text[:20]!r}")
    return float(text)


def _text(fields: Mapping[str, str], name: str, form: re.Pattern[str], needed: bool = True) -> str:
    text = fields.get(name, "")
    if (needed or text) and not form.match(text):
        raise RequestError(f"{name}={text[:20]!r}")
    return text


def read_request(payload: bytes, settings: api.Settings, arrived_ms: float) -> ClientRequest:
    """Read a request; BadAsk for what can't be used."""
    try:
        fields, end = frames.read_fields(payload)
    except frames.BadFrame as error:
        raise RequestError(str(error)) from None
    cls = settings.classes.get(fields.get("c", ""))
    if cls is None:
        raise RequestError(f"class {fields.get('c', '')[:20]!r}")
    try:
        return _read(fields, payload[end:], cls, arrived_ms)
    except RequestError as error:
        error.class_name = cls.name
        raise


def _read(fields: Mapping[str, str], body: bytes, cls: api.ClassSettings, arrived_ms: float) -> ClientRequest:
    if len(body) > MOST_BODY:
        raise RequestError("body too long")
    wait = min(_number(fields, "d", LONGEST_MS), cls.deadline_ms or LONGEST_MS)  # nobody waits longer
    if wait <= 0.0:
        raise RequestError("no time")
    name = _text(fields, "o", HEX16)
    return ClientRequest(
        id=_text(fields, "i", HEX16),
        class_name=cls.name,
        object=name,
        key=int(name, 16),
        deadline_ms=arrived_ms + wait - min(MARGIN_MS, wait * MARGIN_SHARE),
        part=_whole(fields, "piece", 0, 0xFFFF),
        group=_whole(fields, "lot", -1, 255),
        size_kb=_number(fields, "m", LARGEST_KB, "0"),
        body=body,
        dedupe=_text(fields, "k", TOKEN, needed=cls.effect == "by_key"),
        client_tag=_text(fields, "ver", TOKEN, needed=False),
        repeatable=cls.effect == "repeatable",
        write=cls.write,
    )


def write_answer(stream: int, answer: Answer) -> tuple[bytes, bytes]:
    """Write an answer's frame in two parts, so that its body is not copied."""
    fields = {}
    if answer.kind == REFUSED and answer.wait_ms > 0.0:
        fields["w"] = str(math.ceil(answer.wait_ms))
    if answer.kind == SERVED and answer.unchanged:
        fields["unchanged"] = "1"
    if answer.kind == SERVED and answer.tag:
        fields["ver"] = answer.tag
    code = CODES.get(answer.kind, frames.FAILED)
    return frames.answer_head(stream, code, fields, len(answer.body)), answer.body
