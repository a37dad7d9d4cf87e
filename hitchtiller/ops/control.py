"""Listener for operators' calls: one line per connection, one answer, then the close; before client work."""

import contextlib
import socket
from collections.abc import Callable

from hitchtiller.log import log_connection_end
from hitchtiller.sched import READ, Scheduler
from hitchtiller.stream import Stream, StreamClosed

BACKLOG = 64
MAX_CALL_BYTES = 200
CALL_TIMEOUT_MS = 5_000.0  # for a whole call; callers are known to hold a connection for 4 s without sending
LINGER_MS = 500.0  # for the caller to close first: unread bytes would turn this side's close into a reset
MAX_CALLERS = 16


class CallError(Exception):
    """A call that can't be executed; the text is the reason."""


class ControlServer:
    """The listener for calls; a caller that holds its connection open does not delay the others."""

    def __init__(self, sched: Scheduler, answer: Callable[[str], str]) -> None:
        """Answer each line with `answer`, which raises CallError with a reason for a call that fails."""
        self.sched, self.answer = sched, answer
        self.callers: dict[Stream, bool] = {}  # whether the call is complete; the oldest caller first
        self.listener = socket.socket()

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept calls and return the bound address, with the port chosen by the system for 0."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        self.sched.keep_running(self._accept, urgent=True)
        host, port = self.listener.getsockname()
        return str(host), int(port)

    def _accept(self) -> None:
        """Accept callers; at MAX_CALLERS close the oldest one, first among those without a complete call."""
        while True:
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                self.sched.wait(self.listener.fileno(), READ)
                continue
            except OSError:
                self.sched.sleep(10.0)  # out of descriptors, or the caller left
                continue
            if len(self.callers) >= MAX_CALLERS:  # prevents silent callers from blocking all connections
                oldest = next(
                    (caller for caller, is_complete in self.callers.items() if not is_complete), None
                )
                (oldest or next(iter(self.callers))).close("full")
            stream = Stream(self.sched, sock)
            stream.input_drained = (
                False  # the call may have arrived already: poll would cost a turn of the loop
            )
            self.callers[stream] = False
            self.sched.spawn(self._serve, stream, f"{address[0]}:{address[1]}", urgent=True)

    def _serve(self, stream: Stream, peer: str) -> None:
        """Read a call, answer it, and log both when the connection ends."""
        line = reply = ""
        try:
            line = self._read_line(stream)
            self.callers[stream] = True
            reply = self._reply(line)
            stream.write(reply.encode() + b"\n")
            stream.finish()
            self._await_close(stream)
            stream.close("answered")
        except StreamClosed as error:
            stream.close(str(error))
        finally:
            stream.close("fault")
            self.callers.pop(stream, None)
            summary = f"call={line[:MAX_CALL_BYTES]!r} answer={reply.partition(chr(10))[0]!r}"
            log_connection_end("control", peer, stream.close_code, summary)

    def _read_line(self, stream: Stream) -> str:
        """Read the line of a call, within CALL_TIMEOUT_MS and MAX_CALL_BYTES."""
        data = b""
        timer = self.sched.later(CALL_TIMEOUT_MS, lambda: stream.close("silent"))
        try:
            while b"\n" not in data and len(data) <= MAX_CALL_BYTES:
                data += stream.read()
        except StreamClosed as error:
            if str(error) != "eof" or not data:
                raise
            data += b"\n"  # the end of the connection also ends the line
        finally:
            timer.cancel()
        return data.partition(b"\n")[0][: MAX_CALL_BYTES + 1].decode("ascii", "replace").removesuffix("\r")

    def _reply(self, line: str) -> str:
        try:
            if len(line) > MAX_CALL_BYTES:
                raise CallError(f"a call has at most {MAX_CALL_BYTES} bytes")
            return f"+OK {self.answer(line)}".rstrip()
        except CallError as error:
            return f"-ERR {error}"

    def _await_close(self, stream: Stream) -> None:
        """Read until the caller closes the connection, for LINGER_MS at most."""
        timer = self.sched.later(LINGER_MS, lambda: stream.close("answered"))
        with contextlib.suppress(StreamClosed):
            while True:
                stream.read()
                self.sched.sleep(2.0)  # limits the work for a caller that sends without end
        timer.cancel()
