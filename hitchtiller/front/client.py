"""One client's connection: reads frames, passes requests to the engine and writes the answers.

All limits are per connection: the number of open and of queued requests, the unsent bytes above which new
requests wait, and the time that a partial frame may take. A client that exceeds them is disconnected.
"""

import math
from functools import partial
from typing import TYPE_CHECKING

from hitchtiller.account import SMALL_REQUEST_BYTES, Kind
from hitchtiller.codec import frames
from hitchtiller.exchange import FAILED, REFUSED, Answer, Exchange
from hitchtiller.front.asks import MAX_REQUEST_BYTES, RequestError, read_request, write_answer
from hitchtiller.front.frame_timeout import FrameTimeout
from hitchtiller.front.reading import ReadingEstimate
from hitchtiller.front.stream_numbers import StreamNumbers
from hitchtiller.log import log_connection_end
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import LAG_LIMIT_MS, now_ms
from hitchtiller.stream import Stream, StreamClosed

if TYPE_CHECKING:
    from hitchtiller.front.server import Front

MAX_OPEN_REQUESTS = 32
HIGH_WATER_BYTES = 1_000_000  # unsent bytes above which new requests of the client wait (backpressure)
MAX_EXCESS_REQUESTS = 32  # consecutive requests above MAX_OPEN_REQUESTS that are refused before a disconnect
BURST_BYTES = 1_024  # input that may hold many requests
FRAMES_PER_TURN = 16  # a burst of hundreds of frames must not delay the other connections; 1 in a long turn
# Of a partial request, and of one whose rest is left in the kernel: dropping less frees too little.
MIN_DROP_BYTES, MIN_DEFERRED_DROP_BYTES = 1_024, 8_192
STOPPED_MS = 300.0  # without a byte: a partial request that is dropped before those that still grow
MIN_IDLE_MS = 200.0  # before a drain closes a connection: a request may cross the GOING frame (type 3)
PROBE_KEEP_MS = 1_000.0  # connections with readiness probes, which come 10 times per second, are kept
QUEUE_CHECK_MS = 20.0
DEFAULT_LINGER_MS = 1_500.0  # how long a closing connection reads and drops input
CLOSE_LINGER_MS = 100.0  # the same for one that was idle; clients resend elsewhere what crosses the close
QUEUED_REQUEST_BYTES = 512  # memory of a queued request beside its payload
OPEN_REQUEST_BYTES = 4_096  # memory of an open request beside its body: its records here and in the router
REJECTION_OF_DROPPED = {
    frames.Dropped.TOO_LONG: Rejection.TOO_LONG,
    frames.Dropped.NO_ROOM: Rejection.MEMORY,
}
REJECTION_BY_CODE = {"flood": Rejection.FLOOD, "bad-frame": Rejection.BAD_FRAME}


class Client:
    """One client connection; requests that are open when it ends are abandoned."""

    def __init__(self, front: "Front", stream: Stream, remote_address: str) -> None:
        """Take over an accepted connection."""
        self.front, self.stream, self.remote_address = front, stream, remote_address
        self.open_exchanges: dict[int, Exchange] = {}
        self.reader = frames.FrameReader(MAX_REQUEST_BYTES)
        self.stream_numbers = StreamNumbers()
        self.reading = ReadingEstimate()
        # Requests that arrived while more than HIGH_WATER_BYTES were unsent, with their arrival times.
        self.queued_requests: dict[int, tuple[frames.Frame, float]] = {}
        self.excess_requests = 0  # consecutive requests refused because too many were open
        self.close_code = ""  # reason code; set once the connection closes after its last answer
        self.discards_input = False  # input is dropped: it can't be parsed, or can't be answered any more
        self.accepted_count = 0
        self.has_sent_frame = False  # a whole frame has arrived
        self.going_sent = False  # the client was told to send no new requests here
        self.last_probe_ms = -math.inf  # last READY frame
        self.arrived_ms = self.last_activity_ms = now_ms()  # last activity: a whole frame or an answer
        # Parsing: what was read is not handled completely yet, and may hold whole requests.
        self.last_input_ms, self.is_parsing = self.arrived_ms, False
        self.is_waiting = False  # in a read, with nothing unread
        self.is_deferred = False  # the rest of a large request stays in the kernel
        self.may_wait_for_room = True  # until a request has waited in vain
        self.frame_timeout = FrameTimeout(self.arrived_ms)
        self.linger_ms, self.linger_until_ms = DEFAULT_LINGER_MS, math.inf

    def run(self) -> None:
        """Serve the connection until it ends."""
        reader = self.reader
        try:
            while True:
                self._defer_large_request()
                self._receive(reader, self._read(reader.expected_bytes))
                if self.discards_input:
                    reader.buffer.clear()
                    self._count_buffered()
                    self.front.sched.sleep(2.0)  # keeps a fast sender of 60 MB from occupying the loop
                elif not self.stream.input_drained:
                    self.front.sched.pause()
        except StreamClosed as error:
            self.stream.close(self.close_code or str(error))
        finally:
            self.stream.close("fault")
            self.front.remove_client(self)
            log_connection_end(
                "client",
                self.remote_address,
                self.stream.close_code,
                taken=self.accepted_count,
                open=len(self.open_exchanges),
                held=self.stream.holding.held_bytes,
            )
            self.queued_requests.clear()
            exchanges, self.open_exchanges = list(self.open_exchanges.values()), {}
            self.stream.holding.release()
            for exchange in exchanges:
                self.front.engine.client_left(exchange)

    def _defer_large_request(self) -> None:
        """While room is short, leave the rest of a large request in the kernel until it is whole and fits.

        If it finds no room in time, it is dropped as it is read.
        """
        missing_bytes = self.reader.missing_bytes
        if self.discards_input or missing_bytes <= SMALL_REQUEST_BYTES:
            return
        if self.front.account.may_read_partial(missing_bytes):
            return
        self.is_deferred = True
        self.stream.wait_for_input(missing_bytes)
        self.arrived_ms = self.front.sched.earliest_arrival_ms
        if not (self.stream.close_code or self.discards_input or self.reader.dropping):
            self._wait_for_room(missing_bytes + OPEN_REQUEST_BYTES)
        self.is_deferred = False

    def _wait_for_room(self, size: int) -> None:
        """Wait until `size` bytes have room, or drop the current request."""
        queue, holding = self.front.room_queue, self.stream.holding
        self.front.relieve_memory(size, only_stopped=True)
        has_room = queue.wait(holding, size) if self.may_wait_for_room else queue.has_room(holding, size)
        self.may_wait_for_room = has_room
        if not has_room:
            self.front.relieve_memory(size)
            if not self.front.account.may_hold_request(holding, size):
                self.reader.drop_partial()
                self._count_buffered()

    def _read(self, max_bytes: int) -> bytes:
        """Wait for bytes, at most `max_bytes` unless it is 0; raise StreamClosed at the end of the stream."""
        was_drained = self.stream.input_drained
        self.is_waiting = True
        data = self.stream.read(max_bytes=max_bytes)
        self.is_waiting = False
        if self.stream.input_drained:
            self.may_wait_for_room = True
        # Left-over data was there at an earlier poll already: its deadlines count from that one.
        if was_drained:
            self.arrived_ms = self.front.sched.earliest_arrival_ms
        # After a long turn the end of the stream may already follow the requests in the socket buffer:
        # requests of a client that has disconnected are not started.
        if now_ms() - self.arrived_ms > LAG_LIMIT_MS and self.stream.peer_has_closed():
            raise StreamClosed("eof")
        return data

    def _receive(self, reader: frames.FrameReader, data: bytes) -> None:
        if self.discards_input:
            return
        arrived_ms, self.last_input_ms = self.arrived_ms, now_ms()
        started_ms = self.last_input_ms
        self.stream.holding.add(Kind.PARTIAL_REQUEST, len(data))
        is_burst = len(data) > BURST_BYTES
        incoming = reader.feed(data)
        del data  # the reader's buffer will have it, and this task may be parked for long
        self.is_parsing, count = True, 0
        try:
            if is_burst and not reader.dropping and self.front.sched.is_turn_long():
                self.front.sched.pause()  # single requests of other clients go first
                if not self._goes_on():
                    return
            for frame in incoming:
                count += 1
                self.has_sent_frame, self.last_activity_ms = True, started_ms
                self.frame_timeout.record_whole()
                self._count_buffered()
                self._handle_frame(frame, arrived_ms)
                del frame  # its payload is not charged any more, and this task may be parked for long
                if count % FRAMES_PER_TURN == 0 or self.front.sched.is_turn_long():
                    self.front.sched.pause()
                if not self._goes_on():
                    return
        except frames.FrameError:
            reader.buffer.clear()
            self.fail_all("bad-frame")
        finally:
            self.is_parsing = False
        self._count_buffered()
        self.frame_timeout.record_progress(reader.arrived_bytes, started_ms)
        if self.front.account.lacks_room():
            self.front.relieve_memory()

    def _goes_on(self) -> bool:
        """Return whether input is still handled; raise StreamClosed once the connection is closed."""
        if self.stream.close_code:
            raise StreamClosed(self.stream.close_code)
        return not self.discards_input

    def relief_order(self, now: float) -> tuple[bool, int]:
        """Return the order in which partial requests are dropped for want of room.

        The largest of those that have stopped goes first, then the largest of all.
        """
        if not self._may_drop_partial():
            return False, 0
        grown_ms = self.last_input_ms
        if self.is_deferred:  # the kernel has what came since
            grown_ms = max(grown_ms, self.frame_timeout.progress_ms or 0.0)
        return now - grown_ms > STOPPED_MS, self.stream.holding.get(Kind.PARTIAL_REQUEST)

    def _may_drop_partial(self) -> bool:
        """Return whether a partial request holds so much that dropping it frees enough."""
        min_bytes = MIN_DEFERRED_DROP_BYTES if self.is_deferred else MIN_DROP_BYTES
        return not self.is_parsing and len(self.reader.buffer) > min_bytes

    def drop_partial_request(self) -> bool:
        """Drop the bytes of a partial request, which then fails at its end; False if that frees little."""
        if not self._may_drop_partial():
            return False
        self.reader.drop_partial()
        self._count_buffered()
        if self.is_deferred:
            self.stream.end_wait_for_input()
        return True

    def fail_all(self, code: str) -> None:
        """Answer FAILED on stream 0 and to all open and queued requests, drop further input and close."""
        self._discard_input()
        reason = REJECTION_BY_CODE[code]
        self._send_answer(0, Answer(FAILED))
        for stream in list(self.queued_requests):
            self._reject(stream, FAILED, reason)
        self.queued_requests.clear()
        for exchange in list(self.open_exchanges.values()):
            self.front.engine.fail(exchange, reason)
        self.close_when_done(code)

    def timeout_code(self, now: float) -> str:
        """Return the reason code with which the connection has timed out, or an empty string."""
        if self.close_code:
            return self.close_code if now > self.linger_until_ms else ""
        if self.is_deferred:
            arrived_bytes = self.reader.arrived_bytes + self.stream.unread_bytes()
            self.frame_timeout.record_progress(arrived_bytes, now)
        if self.is_parsing or not self.frame_timeout.is_overdue(now):
            return ""
        return "half" if self.has_sent_frame else "unasked"

    def lacks_input(self) -> bool:
        """Return whether what is unread can't complete the frame that is due."""
        if self.is_deferred and not self.reader.dropping:
            return self.stream.unread_bytes() < self.reader.missing_bytes
        return not self.stream.has_input()

    def is_idle(self) -> bool:
        """Return whether no answer is pending, no close is under way and no input is unread or unhandled."""
        return (
            not (self.is_parsing or self.has_pending_answers() or self.close_code or self.stream.close_code)
            and not self.stream.has_input()
        )

    def has_pending_answers(self) -> bool:
        """Return whether a request is open or queued, or answer bytes are not acknowledged yet."""
        return bool(self.open_exchanges or self.queued_requests or self.stream.undelivered_bytes())

    def reads_nothing(self, now: float, stall_ms: float) -> bool:
        """Return whether nothing of the unsent answers was read for `stall_ms`.

        What the kernel still holds counts too once the client was told to go: the gateway waits for it.
        """
        stream = self.stream
        if not (stream.unsent_bytes or (self.going_sent and stream.undelivered_bytes())):
            return False
        stream.check_progress(now)
        return now - stream.last_progress_ms > stall_ms

    def is_lingering(self) -> bool:
        """Return whether the connection is closing and its last answer has been sent."""
        return bool(self.close_code) and not self.has_pending_answers()

    def _handle_frame(self, frame: frames.Frame, arrived_ms: float) -> None:
        if frame.kind == frames.REQUEST:
            if self._reads_answers() and not self.queued_requests:
                self._handle_request(frame, arrived_ms)
            elif len(self.queued_requests) < MAX_OPEN_REQUESTS and frame.stream not in self.queued_requests:
                if not self.queued_requests:
                    self.front.sched.spawn(self._run_queued)
                self.queued_requests[frame.stream] = (frame, arrived_ms)
                self._count_buffered()
            else:
                self._fail_flood()
        elif frame.kind == frames.GIVE_UP:
            self.queued_requests.pop(frame.stream, None)
            if exchange := self._forget_open(frame.stream):
                self.front.engine.client_left(exchange)
        elif frame.kind == frames.READY:
            self.last_probe_ms = now_ms()
            if not self._reads_answers():
                return self._fail_flood()
            code = frames.REFUSED if self.front.client_unready_reason() else frames.SERVED
            payload = bytes([code]) + frames.write_fields({})
            self.stream.write(frames.head(frames.READY_ANSWER, frame.stream, len(payload)) + payload)
        else:
            raise frames.FrameError(f"unknown frame type {frame.kind}")

    def _count_buffered(self) -> None:
        """Charge the bytes held in partial frames and queued requests."""
        self.stream.charge_reader(self.reader.buffer)
        if self.queued_requests or self.stream.holding.get(Kind.QUEUED_REQUEST):
            frames_bytes = sum(len(frame.payload) for frame, _ in self.queued_requests.values())
            queued_bytes = frames_bytes + QUEUED_REQUEST_BYTES * len(self.queued_requests)
            self.stream.holding.set(Kind.QUEUED_REQUEST, queued_bytes)

    def _reads_answers(self) -> bool:
        """Return whether the client has read so much of its answers that more may be written."""
        return not self.stream.unsent_bytes or (
            self.stream.unsent_bytes <= HIGH_WATER_BYTES
            and self.front.account.may_hold_answer(self.stream.holding, 0)
        )

    def has_left(self) -> bool:
        """Return whether the client has closed its connection, also if that can't have been read yet."""
        if self.is_waiting and not self.front.sched.is_lagging():
            return bool(self.stream.close_code)  # nothing is unread: the next poll tells
        return self.check_closed()

    def check_closed(self) -> bool:
        """Return whether the client has closed its connection, which then ends as if that had been read."""
        if not self.stream.close_code and self.stream.peer_has_closed():
            self.stream.close("eof")
        return bool(self.stream.close_code)

    def has_room(self, size: int) -> bool:
        """Return whether an answer with a body of `size` bytes can be written or held for the client."""
        account = self.front.account
        if account.may_hold_answer(self.stream.holding, size):
            return True
        is_allowed = size <= SMALL_REQUEST_BYTES or not account.is_full()
        return is_allowed and not self.stream.undelivered_bytes()  # the kernel takes it, or most of it

    def _discard_input(self) -> None:
        """Drop all further input as it is read, also that of a deferred request."""
        self.discards_input = True
        if self.is_deferred:
            self.stream.end_wait_for_input()

    def _fail_flood(self) -> None:
        """Disconnect a client that sends too many requests, or keeps sending while it reads no answers."""
        if not self.discards_input:
            self.fail_all("flood")

    def _run_queued(self) -> None:
        try:
            self._process_queued()
        except Exception:
            self.stream.close("fault")  # as in `run`; otherwise the queue would never be handled again
            raise

    def _process_queued(self) -> None:
        """Handle the queued requests once the client has read enough of its answers.

        Reading goes on meanwhile, so that a GIVE_UP frame or a disconnect is noticed at once.
        """
        while self.queued_requests and not self.stream.close_code:
            if not self._reads_answers():
                self.front.sched.sleep(QUEUE_CHECK_MS)
                continue
            frame, arrived_ms = self.queued_requests.pop(next(iter(self.queued_requests)))
            self._count_buffered()
            try:
                self._handle_request(frame, arrived_ms)
            except frames.FrameError:
                self.fail_all("bad-frame")
            del frame  # its payload is not charged any more, and this task may be parked for long
        if not self.stream.close_code:
            self._close_if_done()

    def _handle_request(self, frame: frames.Frame, arrived_ms: float) -> None:
        stream = frame.stream
        if stream in self.open_exchanges:  # two answers under one number could not be told apart
            raise frames.FrameError(f"stream number {stream} is still open")
        if frame.dropped:
            return self._reject(stream, FAILED, REJECTION_OF_DROPPED[frame.dropped])
        try:
            request = read_request(frame.payload, self.front.settings, arrived_ms)
        except RequestError as error:  # an invalid request is never forwarded
            return self._reject(stream, FAILED, Rejection.INVALID, error.class_name)
        is_new = stream != 0 and self.stream_numbers.claim(stream)
        # A cache must not get the same request id twice at the same time, nor with another question while an
        # answer to the first may be under way.
        is_reused = self.front.engine.has_request(request.id) or self.front.recent_requests.asks_otherwise(
            request, now_ms()
        )
        if not is_new or is_reused:
            return self._reject(stream, FAILED, Rejection.REUSED, request.class_name, request.id)
        self.accepted_count += 1
        is_full = len(self.open_exchanges) >= MAX_OPEN_REQUESTS
        self.excess_requests = self.excess_requests + 1 if is_full else 0
        if self.excess_requests > MAX_EXCESS_REQUESTS:
            return self._fail_flood()
        cost = OPEN_REQUEST_BYTES + len(request.body)
        if reason := self._refusal_reason(is_full, cost, arrived_ms):
            return self._reject(stream, REFUSED, reason, request.class_name, request.id)
        self.front.recent_requests.remember(request, now_ms())
        exchange = self.front.engine.accept(request, partial(self._on_answer, stream), self)
        if not exchange.is_over:
            self.open_exchanges[stream] = exchange
            self.stream.holding.add(Kind.OPEN_REQUEST, cost)

    def _refusal_reason(self, is_full: bool, cost: int, arrived_ms: float) -> Rejection | None:
        """Return why a valid request that costs `cost` bytes is refused; None if it is accepted."""
        if is_full:
            return Rejection.TOO_MANY_OPEN
        if self.close_code:
            return Rejection.CLOSING
        if cost > SMALL_REQUEST_BYTES:
            self.front.relieve_memory(cost)
        if not self.front.account.may_hold_request(self.stream.holding, cost):
            return Rejection.MEMORY
        return self.front.refusal_reason(arrived_ms)

    def _reject(
        self, stream: int, kind: str, reason: Rejection, class_name: str = "", request_id: str = ""
    ) -> None:
        """Answer a request that is not accepted; its class and its id are empty where they are not known."""
        engine = self.front.engine
        engine.stats.record_rejection(reason)
        engine.stats.record_answer(class_name, kind)
        engine.request_log.record_rejection(request_id, class_name, kind, reason)
        wait_ms = self.front.settings.max_retry_after_ms if kind == REFUSED else 0.0
        self._send_answer(stream, Answer(kind, wait_ms=wait_ms))

    def _forget_open(self, stream: int) -> Exchange | None:
        """Remove an open request and free what it held; return None if there is none on the stream."""
        exchange = self.open_exchanges.pop(stream, None)
        if exchange:
            size = OPEN_REQUEST_BYTES + len(exchange.request.body)
            self.stream.holding.add(Kind.OPEN_REQUEST, -size)
        return exchange

    def _on_answer(self, stream: int, answer: Answer) -> None:
        self._forget_open(stream)
        self.last_activity_ms = now_ms()
        self._send_answer(stream, answer)
        self._close_if_done()

    def _send_answer(self, stream: int, answer: Answer) -> None:
        parts = write_answer(stream, answer)
        self.reading.record_write(sum(map(len, parts)), now_ms())
        self.stream.write(*parts)

    def send_going(self) -> None:
        """Send a GOING frame once: no new request may be sent on this connection."""
        if not self.going_sent:
            self.going_sent = True
            self.stream.write(frames.head(frames.GOING, 0, 0))

    def may_close(self, now: float, final: bool) -> bool:
        """Return whether a drain may close the connection: it is idle and has no recent probe.

        Unless `final`, a partial frame, answers that the client may still be reading or activity within
        MIN_IDLE_MS also keep it open.
        """
        if not self.is_idle() or now - self.last_probe_ms <= PROBE_KEEP_MS:
            return False
        return final or (self.awaits_nothing(now) and now - self.last_activity_ms > MIN_IDLE_MS)

    def awaits_nothing(self, now: float) -> bool:
        """Return whether the client has sent no partial frame and has read its answers, as far as is known.

        A client that has not read the GOING frame behind its answers still sends requests in good faith.
        """
        return not self.stream.reader_bytes and self.reading.remaining_ms(now) == 0.0

    def release(self, code: str) -> None:
        """Close an idle connection; input is dropped for as long as the client may still be reading."""
        self.close_when_done(code, CLOSE_LINGER_MS + self.reading.remaining_ms(now_ms()))

    def close_when_done(self, code: str, linger_ms: float = DEFAULT_LINGER_MS) -> None:
        """Close once all open requests are answered: they were accepted and must not be lost."""
        self.close_code, self.linger_ms = self.close_code or code, linger_ms
        self._close_if_done()

    def _close_if_done(self) -> None:
        """If no request is open, shut down the write side and drop input until the linger time is over.

        Closing a socket with unread bytes makes the kernel send a reset, which can discard the last answer.
        After the shutdown no answer can be written, so input is no longer treated as requests: the client
        sends them again on another connection.
        """
        if self.close_code and not (self.open_exchanges or self.queued_requests):
            self._discard_input()
            self.linger_until_ms = min(self.linger_until_ms, now_ms() + self.linger_ms)
            self.stream.finish()
