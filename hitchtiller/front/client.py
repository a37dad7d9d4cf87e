"""One client's connection: frames in, requests to the engine, answers out."""

import math
from functools import partial
from typing import TYPE_CHECKING

from hitchtiller.codec import frames
from hitchtiller.exchange import FAILED, REFUSED, Answer, Exchange
from hitchtiller.front.asks import RequestError, read_request, write_answer
from hitchtiller.log import ended
from hitchtiller.sched import LAG_LIMIT_MS, Closed, Stream, now_ms

if TYPE_CHECKING:
    from hitchtiller.front.server import Front

MAX_OPEN_REQUESTS = 32  # requests on one connection
MAX_SKIPPED_STREAMS = 64  # stream numbers passed over that may still come
HIGH_WATER_BYTES = 1_000_000  # bytes that a client has not taken, from which its requests wait: backpressure
MAX_EXCESS_REQUESTS = 32  # requests past MOST_OPEN that are refused before their sender is taken for a flood
FRAMES_PER_TURN = 16  # frames of one connection in a turn: hundreds at once must not hold up the others
FRAME_TIMEOUT_MS = 2_200.0  # for a first whole frame, or the rest of one
MIN_GROWTH_BYTES, MAX_FRAME_MS = (
    32,
    6_000.0,
)  # bytes with which that begins anew; until when all of a frame has to be here
MIN_IDLE_MS = 200.0  # without a word, from which a connection is let go: requests may cross frame 3
PROBE_KEEP_MS = 1_000.0  # the front's probes come ten times a second, and may keep theirs
QUEUE_CHECK_MS = 20.0
DEFAULT_LINGER_MS = 1_500.0  # what is unread at a close is read and dropped for so long


class StreamNumbers:
    """The stream numbers used so far, in bounded space."""

    def __init__(self) -> None:
        """Start with none."""
        self.highest, self.skipped = 0, set[int]()

    def claim(self, number: int) -> bool:
        """Use a number; False if it was used before, or never may be."""
        if number <= self.highest:
            known = number in self.skipped
            self.skipped.discard(number)
            return known
        self.skipped.update(range(max(self.highest + 1, number - MAX_SKIPPED_STREAMS), number))
        while len(self.skipped) > MAX_SKIPPED_STREAMS:
            self.skipped.remove(min(self.skipped))
        self.highest = number
        return True


class Client:
    """Reads one connection until it ends; what is open on it then has no one to wait for it."""

    def __init__(self, front: "Front", stream: Stream, remote_address: str) -> None:
        """Take an accepted connection."""
        self.front, self.stream, self.remote_address = front, stream, remote_address
        self.open_exchanges: dict[int, Exchange] = {}
        self.stream_numbers = StreamNumbers()
        self.queued_requests: dict[
            int, tuple[frames.Frame, float]
        ] = {}  # requests that came above HIGH_WATER
        self.incomplete_bytes = 0  # bytes of a frame that is not whole yet
        self.excess_requests = (
            0  # requests refused since one was last taken, for want of room on the connection
        )
        self.close_code = ""  # a reason to close once all in hand is answered
        self.discards_input = (
            False  # what comes is dropped: no frame can be told apart, or no answer can be written
        )
        self.accepted = 0
        self.has_sent_frame = False  # a whole frame has come
        self.going_sent = False  # that no new request may come
        self.last_probe_ms = -math.inf  # when it asked last whether the gateway is ready
        self.arrived_ms = self.last_activity_ms = now_ms()  # when one came last
        self.frame_progress_ms: float | None = (
            self.last_activity_ms
        )  # since when the client owes the rest of a frame
        self.frame_started_ms, self.frame_progress_bytes = (
            self.last_activity_ms,
            0,
        )  # when that frame began, and what was here at `owed_ms`
        self.linger_ms, self.linger_until_ms = (
            DEFAULT_LINGER_MS,
            math.inf,
        )  # how long a close lingers, and until when

    def run(self) -> None:
        """Serve until the connection ends."""
        reader = frames.FrameReader()
        try:
            while True:
                fresh = self.stream.drained
                data = self.stream.read()
                if fresh:  # else it lay there before the last look: deadlines count from the one before
                    self.arrived_ms = self.front.sched.arrival_ms
                # guards clients that have gone: the end may lie behind what they asked for in a busy turn
                if now_ms() - self.arrived_ms > LAG_LIMIT_MS and self.stream.drained and self.stream.at_end():
                    raise Closed("eof")
                if not self.discards_input:
                    self._receive(reader, data)
                if self.discards_input:
                    self.stream.keep(0)
                    self.front.sched.sleep(2.0)  # guards the loop against senders of 60 MB at full speed
                elif not self.stream.drained:
                    self.front.sched.pause()
        except Closed as error:
            self.stream.close(self.close_code or str(error))
        finally:
            self.stream.close("fault")
            self.front.remove_client(self)
            ended(
                "client",
                self.remote_address,
                self.stream.code,
                taken=self.accepted,
                open=len(self.open_exchanges),
            )
            self.queued_requests.clear()
            exchanges, self.open_exchanges = list(self.open_exchanges.values()), {}
            for exchange in exchanges:
                self.front.engine.leave(exchange)

    def _receive(self, reader: frames.FrameReader, data: bytes) -> None:
        arrived_ms, started_ms = self.arrived_ms, now_ms()
        try:
            for count, frame in enumerate(reader.feed(data), 1):
                self.has_sent_frame, self.last_activity_ms, self.frame_progress_ms = True, started_ms, None
                self._handle_frame(frame, arrived_ms)
                if count % FRAMES_PER_TURN == 0:
                    self.front.sched.pause()
                if self.stream.code:
                    raise Closed(self.stream.code)
                if self.discards_input:
                    return
        except frames.BadFrame:
            reader.buffer.clear()
            self.fail_all("bad-frame")
        self.incomplete_bytes = buffered = len(reader.buffer)
        self._count_buffered()
        if buffered and self.frame_progress_ms is None:
            self.frame_started_ms = started_ms
        # guards requests in pieces: those that took longer than the 2.2 s were cut, though they grew
        if buffered and (
            self.frame_progress_ms is None or buffered >= self.frame_progress_bytes + MIN_GROWTH_BYTES
        ):
            self.frame_progress_ms, self.frame_progress_bytes = started_ms, buffered

    def fail_all(self, code: str) -> None:
        """End a connection that can't be read on: tell so, and end all that is open on it at once."""
        self.discards_input = True
        self._send_answer(0, Answer(FAILED))
        for stream in list(self.queued_requests):
            self._send_answer(stream, Answer(FAILED))
        self.queued_requests.clear()
        for exchange in list(self.open_exchanges.values()):
            self.front.engine.fail(exchange)
        self.close_when_done(code)

    def timeout_code(self, now: float) -> str:
        """Tell why a client should wait no longer, if so."""
        if self.close_code:
            return self.close_code if now > self.linger_until_ms else ""
        if self.frame_progress_ms is None or (
            now - self.frame_progress_ms <= FRAME_TIMEOUT_MS and now - self.frame_started_ms <= MAX_FRAME_MS
        ):
            return ""
        return "half" if self.has_sent_frame else "unasked"

    def is_idle(self) -> bool:
        """Tell whether nothing is owed on it, and nothing has come that was not read."""
        return (
            not (self.has_pending_answers() or self.close_code or self.stream.code)
            and not self.stream.waiting()
        )

    def has_pending_answers(self) -> bool:
        """Tell whether an answer is owed on it, or has not gone out."""
        return bool(self.open_exchanges or self.queued_requests or self.stream.size)

    def is_lingering(self) -> bool:
        """Tell whether it is being closed and nothing is owed on it any more."""
        return bool(self.close_code) and not self.has_pending_answers()

    def _handle_frame(self, frame: frames.Frame, arrived_ms: float) -> None:
        if frame.kind == frames.REQUEST:
            if self.stream.size <= HIGH_WATER_BYTES and not self.queued_requests:
                self._handle_request(frame, arrived_ms)
            elif len(self.queued_requests) < MAX_OPEN_REQUESTS and frame.stream not in self.queued_requests:
                if not self.queued_requests:
                    self.front.sched.spawn(self._process_queued)
                self.queued_requests[frame.stream] = (frame, arrived_ms)
            else:
                self._fail_flood()
        elif frame.kind == frames.GIVE_UP:
            self.queued_requests.pop(frame.stream, None)
            if exchange := self.open_exchanges.pop(frame.stream, None):
                self.front.engine.leave(exchange)
        elif frame.kind == frames.READY:
            self.last_probe_ms = now_ms()
            if self.stream.size > HIGH_WATER_BYTES:
                return self._fail_flood()
            code = frames.REFUSED if self.front.client_unready_reason() else frames.SERVED
            payload = bytes([code]) + frames.write_fields({})
            self.stream.write(frames.head(frames.READY_ANSWER, frame.stream, len(payload)) + payload)
        else:
            raise frames.BadFrame(f"type {frame.kind}")

    def _count_buffered(self) -> None:
        """Count the bytes that are held of what could not be taken yet."""
        self.stream.keep(
            self.incomplete_bytes + sum(len(frame.payload) for frame, _ in self.queued_requests.values())
        )

    def _fail_flood(self) -> None:
        """End a client that asks on and on for what it does not take, or for more than it may."""
        if not self.discards_input:
            self.fail_all("flood")

    def _process_queued(self) -> None:
        """Take the requests that wait once the client has taken its answers.

        Meanwhile the connection is read on: a client that gives up, or leaves, is seen at once.
        """
        while self.queued_requests and not self.stream.code:
            if self.stream.size > HIGH_WATER_BYTES:
                self.front.sched.sleep(QUEUE_CHECK_MS)
                continue
            frame, arrived_ms = self.queued_requests.pop(next(iter(self.queued_requests)))
            self._count_buffered()
            try:
                self._handle_request(frame, arrived_ms)
            except frames.BadFrame:
                self.fail_all("bad-frame")
        if not self.stream.code:
            self._close_if_done()

    def _handle_request(self, frame: frames.Frame, arrived_ms: float) -> None:
        stream = frame.stream
        if stream in self.open_exchanges:  # guards against two answers under one number
            raise frames.BadFrame(f"stream {stream} is open")
        stats = self.front.engine.stats
        try:
            request = read_request(frame.payload, self.front.settings, arrived_ms)
        except RequestError as error:
            stats.end(error.class_name, FAILED)
            self._send_answer(stream, Answer(FAILED))  # never sent on
            return
        fresh = stream != 0 and self.stream_numbers.claim(stream)
        if not fresh or self.front.engine.has(request.id):  # guards against one id twice at a cache
            stats.end(request.class_name, FAILED)
            self._send_answer(stream, Answer(FAILED))
            return
        self.accepted += 1
        full = len(self.open_exchanges) >= MAX_OPEN_REQUESTS
        self.excess_requests = self.excess_requests + 1 if full else 0
        if self.excess_requests > MAX_EXCESS_REQUESTS:
            return self._fail_flood()
        if full or self.close_code or not self.front.accepts_request(arrived_ms):
            stats.end(request.class_name, REFUSED)
            self._send_answer(stream, Answer(REFUSED, wait_ms=self.front.settings.max_retry_after_ms))
            return
        exchange = self.front.engine.take(request, partial(self._on_answer, stream))
        if not exchange.over:
            self.open_exchanges[stream] = exchange

    def _on_answer(self, stream: int, answer: Answer) -> None:
        self.open_exchanges.pop(stream, None)
        self.last_activity_ms = now_ms()
        self._send_answer(stream, answer)
        self._close_if_done()

    def _send_answer(self, stream: int, answer: Answer) -> None:
        self.stream.write(*write_answer(stream, answer))

    def send_going(self) -> None:
        """Tell once that no new request may come on this connection."""
        if not self.going_sent:
            self.going_sent = True
            self.stream.write(frames.head(frames.GOING, 0, 0))

    def may_close(self, now: float, final: bool) -> bool:
        """Tell whether it may be closed when all leave: nothing open, nothing unread, no word for a while."""
        if not self.is_idle() or now - self.last_probe_ms <= PROBE_KEEP_MS:
            return False
        return final or (not self.stream.kept and now - self.last_activity_ms > MIN_IDLE_MS)

    def close_when_done(self, code: str, linger_ms: float = DEFAULT_LINGER_MS) -> None:
        """Close after the answers in hand: those requests were taken and must not be lost."""
        self.close_code, self.linger_ms = self.close_code or code, linger_ms
        self._close_if_done()

    def _close_if_done(self) -> None:
        """Shut writing down and read on for a while, dropping what comes.

        Guards against a reset for unread bytes, which would take the last answer along. From here on no
        answer can be written, so what is read is no request of ours: its client sends it again elsewhere.
        """
        if self.close_code and not (self.open_exchanges or self.queued_requests):
            self.discards_input = True
            self.linger_until_ms = min(self.linger_until_ms, now_ms() + self.linger_ms)
            self.stream.finish()
