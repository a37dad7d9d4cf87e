"""A client on asyncio that sends requests on one connection and checks every answer against a `Truth`."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from hitchtiller.codec import frames
from standins.truth import Truth, now_ms


@dataclass(slots=True)
class Answered:
    """A final answer as the client received it."""

    code: int
    fields: dict[str, str]
    body: bytes
    sent_ms: float
    received_ms: float


@dataclass(slots=True)
class Verdicts:
    """The results of all clients together; `wrong` has a line for each answer that breaks a rule."""

    counts: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    waits_ms: list[float] = field(default_factory=list)


class StandInClient:
    """A client with one connection and, like real clients, some copies of its own."""

    def __init__(self, truth: Truth, verdicts: Verdicts, rng: random.Random) -> None:
        """Prepare a client that judges by `truth` and counts in `verdicts`, which clients may share."""
        self.truth, self.verdicts, self.rng = truth, verdicts, rng
        self.last_stream, self.pending = 0, dict[int, asyncio.Future[frames.Frame | None]]()
        self.own_copies: dict[tuple[int, int], tuple[str, bytes]] = {}  # the client's own copies
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None
        self.is_leaving = False  # the gateway has announced that it accepts no new request on this connection

    @property
    def needs_new_connection(self) -> bool:
        """Return whether a new request needs another connection."""
        return self.is_leaving or self.task is None or self.task.done()

    async def connect(self, port: int) -> None:
        """Open the connection."""
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self._read(reader))

    async def _read(self, reader: asyncio.StreamReader) -> None:
        answers = frames.FrameReader()
        try:
            while data := await reader.read(262_144):
                for frame in answers.feed(data):
                    self.is_leaving = self.is_leaving or frame.kind == frames.GOING
                    waiting = self.pending.pop(frame.stream, None)
                    if frame.kind == frames.ANSWER and waiting and not waiting.done():
                        waiting.set_result(frame)
                    elif frame.kind == frames.ANSWER and frame.stream:
                        self.verdicts.counts["second answer"] += 1
                        self.verdicts.wrong.append(f"a second answer on stream {frame.stream}")
        except (ConnectionError, frames.FrameError):
            pass
        finally:
            for waiting in self.pending.values():
                if not waiting.done():
                    waiting.set_result(None)
            self.pending.clear()

    async def ask(
        self,
        class_name: str,
        key: int,
        part: int = 0,
        wait_ms: float = 2000.0,
        own_tag: str = "",
        effect_key: str = "",
    ) -> Answered | None:
        """Request a part and return the answer, or None if the connection ended first.

        `own_tag` is the tag of the client's own copy, `effect_key` the key of an effect. An answer that does
        not come within `wait_ms` and one more second counts as lost, and the result is None too.
        """
        assert self.writer and self.task
        if self.task.done():
            return None
        self.last_stream += 1
        stream, sent = self.last_stream, now_ms()
        fields = {
            "c": class_name,
            "i": f"{self.rng.getrandbits(64):016x}",
            "d": f"{wait_ms:.0f}",
            "o": f"{key:016x}",
            "piece": str(part),
            "m": f"{self.truth.size(key, part) / 1000.0:.3f}",
        }
        if (group := self.truth.group(key)) >= 0:
            fields["lot"] = str(group)
        if own_tag:
            fields["ver"] = own_tag
        if effect_key:
            fields["k"] = effect_key
        payload = frames.write_fields(fields)
        waiting = self.pending[stream] = asyncio.get_running_loop().create_future()
        self.writer.write(frames.head(frames.REQUEST, stream, len(payload)) + payload)
        try:
            frame = await asyncio.wait_for(waiting, wait_ms / 1000.0 + 1.0)
        except TimeoutError:
            self.verdicts.counts["lost"] += 1
            self.verdicts.wrong.append(f"no answer for {key:x}/{part} by 1 s after its deadline")
            return None
        if frame is None:
            return None
        answer_fields, end = frames.read_fields(frame.payload, 1)
        return Answered(frame.payload[0], answer_fields, frame.payload[end:], sent, now_ms())

    async def read(
        self, class_name: str, key: int, part: int = 0, wait_ms: float = 2000.0
    ) -> Answered | None:
        """Request a part, naming the client's own copy if there is one, and judge the answer."""
        own_tag, own_body = self.own_copies.get((key, part), ("", b""))
        answer = await self.ask(class_name, key, part, wait_ms, own_tag)
        counts = self.verdicts.counts
        if answer is None:
            counts["broken off"] += 1
            return None
        counts[{0: "served", 11: "refused", 5: "failed"}.get(answer.code, "odd code")] += 1
        if answer.code == 0:
            body = own_body if answer.fields.get("unchanged") else answer.body
            verdict = self.truth.judge(key, part, body, answer.sent_ms, answer.received_ms)
            if verdict:
                counts[verdict] += 1
                self.verdicts.wrong.append(f"{verdict}: {key:x}/{part}, {answer.fields}, {len(body)} bytes")
            self.verdicts.waits_ms.append(answer.received_ms - answer.sent_ms)
            if self.rng.random() < 0.3 and "ver" in answer.fields:
                self.own_copies[key, part] = (answer.fields["ver"], body)
        return answer

    async def effect(
        self, class_name: str, key: int, dedupe: str, wait_ms: float = 2000.0
    ) -> Answered | None:
        """Request an effect under its key."""
        answer = await self.ask(class_name, key, 0, wait_ms, "", dedupe)
        self.verdicts.counts["broken off" if answer is None else f"effect {answer.code}"] += 1
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer:
            self.writer.close()
