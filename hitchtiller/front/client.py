"""One client's connection: frames in, requests to the engine, answers out."""

from functools import partial
from typing import TYPE_CHECKING

from hitchtiller.codec import frames
from hitchtiller.exchange import FAILED, REFUSED, Answer, Exchange
from hitchtiller.front.asks import BadAsk, read_ask, write_answer
from hitchtiller.log import ended
from hitchtiller.sched import Closed, Stream

if TYPE_CHECKING:
    from hitchtiller.front.server import Front

MOST_OPEN = 32  # requests on one connection
MOST_HOLES = 4096  # stream numbers passed over
PAUSE_AT = 1_000_000  # bytes that a client has not taken, from which nothing more is read of it


class Numbers:
    """The stream numbers used so far, in little space where they rise one by one."""

    def __init__(self) -> None:
        """Start with none."""
        self.below, self.above = 1, set[int]()

    def use(self, number: int) -> bool:
        """Use a number; False if it was used before, or never may be."""
        if number < self.below or number in self.above or len(self.above) >= MOST_HOLES:
            return False
        self.above.add(number)
        while self.below in self.above:
            self.above.discard(self.below)
            self.below += 1
        return True


class Client:
    """Reads one connection until it ends; what is open on it then has no one to wait for it."""

    def __init__(self, front: "Front", stream: Stream, peer: str) -> None:
        """Take an accepted connection."""
        self.front, self.stream, self.peer = front, stream, peer
        self.open: dict[int, Exchange] = {}
        self.numbers = Numbers()
        self.closing = ""  # a reason to close once all in hand is answered
        self.taken = 0

    def run(self) -> None:
        """Serve until the connection ends."""
        reader = frames.FrameReader()
        try:
            while True:
                data = self.stream.read()
                if self.closing:
                    continue  # nothing can be read after what was no frame
                self._take(reader, data)
                while self.stream.size > PAUSE_AT and not self.stream.code:
                    self.front.sched.sleep(20.0)  # backpressure; Front.drop_slow ends it for good
        except Closed as error:
            self.stream.close(str(error))
        finally:
            self.stream.close("fault")
            self.front.gone(self)
            ended("client", self.peer, self.stream.code, taken=self.taken, open=len(self.open))
            exchanges, self.open = list(self.open.values()), {}
            for exchange in exchanges:
                self.front.engine.leave(exchange)

    def _take(self, reader: frames.FrameReader, data: bytes) -> None:
        arrived = self.front.sched.arrival_ms
        try:
            for frame in reader.feed(data):
                self._frame(frame, arrived)
        except frames.BadFrame:
            self._say(0, Answer(FAILED))
            self.close_when_done("bad-frame")

    def _frame(self, frame: frames.Frame, arrived: float) -> None:
        if frame.kind == frames.REQUEST:
            self._request(frame, arrived)
        elif frame.kind == frames.GIVE_UP:
            if exchange := self.open.pop(frame.stream, None):
                self.front.engine.leave(exchange)
        elif frame.kind == frames.READY:
            code = frames.SERVED if self.front.ready() else frames.REFUSED
            payload = bytes([code]) + frames.write_fields({})
            self.stream.write(frames.head(frames.READY_ANSWER, frame.stream, len(payload)) + payload)
        else:
            raise frames.BadFrame(f"type {frame.kind}")

    def _request(self, frame: frames.Frame, arrived: float) -> None:
        stream = frame.stream
        try:
            ask = read_ask(frame.payload, self.front.settings, arrived)
            if stream == 0 or not self.numbers.use(stream):
                raise BadAsk(f"stream {stream}")
        except BadAsk:
            self._say(stream, Answer(FAILED))  # never sent on
            return
        self.taken += 1
        if len(self.open) >= MOST_OPEN or not self.front.takes():
            self._say(stream, Answer(REFUSED, wait_ms=self.front.settings.max_retry_after_ms))
            return
        exchange = self.front.engine.take(ask, partial(self._answer, stream))
        if not exchange.over:
            self.open[stream] = exchange

    def _answer(self, stream: int, answer: Answer) -> None:
        self.open.pop(stream, None)
        self._say(stream, answer)
        self._close_if_done()

    def _say(self, stream: int, answer: Answer) -> None:
        self.stream.write(*write_answer(stream, answer))

    def going(self) -> None:
        """Tell that no new request may come on this connection."""
        self.stream.write(frames.head(frames.GOING, 0, 0))

    def close_when_done(self, code: str) -> None:
        """Close after the answers in hand: those requests were taken and must not be lost."""
        self.closing = self.closing or code
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.closing and not self.open:
            self.stream.close_when_sent(self.closing)
