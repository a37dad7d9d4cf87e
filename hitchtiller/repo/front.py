"""HTTP/1.1 connections: h11 for the protocol, one greenlet each, limits on all that a client may hold.

Bounds: `connections` in all and `each_address`; HEADER bytes and FIELDS fields a header; one request at a
time, later ones wait unread in the socket; HIGH bytes of answer that a client has not taken. Each
connection's last log line has a reason code. Once a body has begun, a failure ends the connection, so that
the client can tell.
"""

import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass

import h11

from hitchtiller.log import ended, logger
from hitchtiller.repo.admission import ConnectionLimits
from hitchtiller.repo.body import Broken
from hitchtiller.repo.fetch import Failed, Refused
from hitchtiller.repo.service import Reply, Service, refusal
from hitchtiller.sched import READ, Closed, Scheduler, Stream, now_ms

HEADER, FIELDS = 16_384, 64  # bytes and fields of one request's header
BODY = 65_536  # bytes of a request's body that are read and dropped
HIGH = 240_000  # bytes that wait for a client, from which on nothing is added
BACKLOG = 512
SEND_BUFFER = 131_072  # bytes that the machine holds for a client: more would hide that it takes nothing
QUICK_MS, LOOK_MS = 1.0, 20.0  # how often a client that takes something, or nothing, is looked at


@dataclass(frozen=True, slots=True)
class Times:
    """How long a client may take; milliseconds."""

    header_ms: float = 5_000.0
    idle_ms: float = 15_000.0
    slow_ms: float = 20_000.0


class Connection:
    """Serves one client until one side ends it."""

    def __init__(
        self, sched: Scheduler, service: Service, stream: Stream, address: str, times: Times
    ) -> None:
        """Take an accepted connection."""
        self.sched, self.service, self.stream, self.address, self.times = (
            sched,
            service,
            stream,
            address,
            times,
        )
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=HEADER)
        self.requests = self.sent = 0

    def run(self) -> None:
        """Serve request after request."""
        code = "fault"
        try:
            while True:
                request = self._request()
                if request is None:
                    code = "eof"
                    break
                self.requests += 1
                self._serve(request)
                if not self._again():
                    code = "close"
                    break
        except Closed as error:
            code = str(error)
        except h11.RemoteProtocolError as error:
            code = "bad-request"
            self._last(error.error_status_hint, str(error))
        except (Broken, Refused, Failed) as error:
            code = f"broken-{error}"  # the body had begun: only the end of the connection can tell
        finally:
            self._linger(code)
            self.stream.close(code)
            ended("repo", self.address, code, requests=self.requests, sent=self.sent)

    def _request(self) -> h11.Request | None:
        """Read one request's header; None at an orderly end."""
        until = now_ms() + self.times.idle_ms
        begun = False
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = self._read(max(1.0, until - now_ms()), "half-header" if begun else "idle")
                if data and not begun:  # from the first byte on, however slowly the others come
                    begun, until = True, now_ms() + self.times.header_ms
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                if len(event.headers) > FIELDS:
                    raise h11.RemoteProtocolError(f"over {FIELDS} header fields", error_status_hint=431)
                if sum(len(name) + len(value) for name, value in event.headers) > HEADER:
                    raise h11.RemoteProtocolError(f"over {HEADER} bytes of header", error_status_hint=431)
                return event
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _read(self, wait_ms: float, code: str) -> bytes:
        try:
            return self.stream.read(wait_ms)
        except Closed as error:
            if str(error) == "silent":
                raise Closed(code) from None
            if str(error) == "eof":
                return b""
            raise

    def _serve(self, request: h11.Request) -> None:
        headers: dict[str, str] = {}
        for raw, value in request.headers:
            name, text = raw.decode("ascii").lower(), value.decode("latin-1")
            headers[name] = f"{headers[name]}, {text}" if name in headers else text
        method = request.method.decode("ascii")
        reply = self.service.answer(
            method,
            request.target,
            headers,
            self.address,
            lambda: self.stream.size + (HIGH if self.stream.code else 0),
        )
        self._drain_body()
        self._send(reply, method)

    def _drain_body(self) -> None:
        """Read and drop a request's body, up to a bound: nothing here takes one."""
        if self.http.they_are_waiting_for_100_continue:
            return  # they hear the final answer instead
        until, size = now_ms() + self.times.header_ms, 0
        while self.http.their_state is h11.SEND_BODY:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(self._read(max(1.0, until - now_ms()), "half-body"))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > BODY:
                    raise h11.RemoteProtocolError("body too long", error_status_hint=413)
            elif isinstance(event, h11.EndOfMessage):
                return

    def _begin(self, reply: Reply, method: str) -> tuple[Reply, Iterator[bytes], bytes]:
        """Get a body's first bytes before its header goes out.

        What fails until then gets an answer of its own.
        """
        body = iter(()) if method == "HEAD" or reply.status in (204, 304) else reply.body
        try:
            return reply, body, next(body, b"")
        except Broken as error:
            reply = refusal(503, str(error), "a release is being published; come back", 1.0)
        except Refused as error:
            reply = refusal(503, "refused", "busy; come back", max(1.0, error.wait_ms / 1000.0))
        except Failed:
            reply = refusal(504, "failed", "no server answered in time")
        return reply, reply.body, next(reply.body, b"")

    def _send(self, reply: Reply, method: str) -> None:
        reply, body, first = self._begin(reply, method)
        fields = list(reply.headers)
        bare = reply.status in (204, 304)
        if reply.size is not None and not bare:
            fields.append(("Content-Length", str(reply.size)))
        response = h11.Response(status_code=reply.status, headers=fields)
        self._write(self.http.send(response))
        if first:
            self._write(self.http.send(h11.Data(data=first)))
        for piece in body:
            self._write(self.http.send(h11.Data(data=piece)))
        self._write(self.http.send(h11.EndOfMessage()))

    def _write(self, data: bytes | None) -> None:
        if data:
            self.stream.write(data)
            self.sent += len(data)
        while self.stream.size > HIGH and not self.stream.code:
            if now_ms() - self.stream.progress_ms > self.times.slow_ms:
                raise Closed("slow")
            moving = now_ms() - self.stream.progress_ms < 10.0 * LOOK_MS
            self.sched.sleep(QUICK_MS if moving else LOOK_MS)
        if self.stream.code:
            raise Closed(self.stream.code)

    def _again(self) -> bool:
        """Make ready for the next request; False where the connection ends with this one."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def _last(self, status: int, text: str) -> None:
        """Answer what was no request, if nothing has been said yet."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = refusal(status, "bad-request", text)
        fields = [*reply.headers, ("Content-Length", str(reply.size)), ("Connection", "close")]
        with contextlib.suppress(h11.LocalProtocolError):
            self.stream.write(self.http.send(h11.Response(status_code=status, headers=fields)) or b"")
            for piece in reply.body:  # none is taken in answer to HEAD
                self.stream.write(self.http.send(h11.Data(data=piece)) or b"")
            self.stream.write(self.http.send(h11.EndOfMessage()) or b"")

    def _linger(self, code: str) -> None:
        """Let what is buffered go out, for a while, unless the end must show at once."""
        until = now_ms() + self.times.slow_ms
        while self.stream.size and not self.stream.code and now_ms() < until:
            self.sched.sleep(LOOK_MS)
        if code in ("close", "bad-request") and not self.stream.code:
            self.stream.finish()
            with contextlib.suppress(Closed):  # unread bytes would turn our close into a reset
                for _ in range(16):
                    self.stream.read(200.0)


class RepoFront:
    """The listener of the second front."""

    def __init__(self, sched: Scheduler, service: Service, doors: ConnectionLimits, times: Times) -> None:
        """Let clients in by `connection_limits`."""
        self.sched, self.service, self.connection_limits, self.times = sched, service, doors, times
        self.listener = socket.socket()
        self.rejected_connections: dict[str, int] = {}
        self.accepting = True

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start to accept; gives the address, with the port that the system chose for 0."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)
        self.sched.spawn(self._accept)
        host, port = self.listener.getsockname()
        logger.info("repositories on {}:{}", host, port)
        return str(host), int(port)

    def _accept(self) -> None:
        while True:
            self.sched.wait(self.listener.fileno(), READ)
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                continue
            except OSError:
                self.sched.sleep(10.0)  # out of descriptors, or the client left
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            if code := self.connection_limits.enter(address[0]):
                self.rejected_connections[code] = self.rejected_connections.get(code, 0) + 1
                sock.close()
                ended("repo", f"{address[0]}:{address[1]}", code)
                continue
            self.sched.spawn(self._serve, sock, address[0])

    def _serve(self, sock: socket.socket, address: str) -> None:
        try:
            Connection(self.sched, self.service, Stream(self.sched, sock), address, self.times).run()
        finally:
            self.connection_limits.leave(address)
