"""HTTP/1.1 listener for the repositories: h11 parses the protocol, one greenlet serves each connection.

Bounds: `connections` in total and `each_address` for one client address; MAX_HEADER_BYTES and
MAX_HEADER_FIELDS in a request's header; one request at a time on a connection, while later ones stay unread
in the socket; MAX_UNSENT_BYTES of response that a client has not read. The last log line of each connection
has a reason code. A failure after the start of a body closes the connection before the announced end of the
body, so that the client notices it.
"""

import contextlib
import socket
from collections.abc import Iterator
from dataclasses import dataclass

import h11

from hitchtiller.log import log_connection_end, logger
from hitchtiller.repo.admission import ConnectionLimits
from hitchtiller.repo.body import BrokenBodyError
from hitchtiller.repo.fetch import FetchFailedError, FetchRefusedError
from hitchtiller.repo.service import Reply, Service, make_refusal
from hitchtiller.sched import READ, Scheduler, now_ms
from hitchtiller.stream import Stream, StreamClosed

MAX_HEADER_BYTES, MAX_HEADER_FIELDS = 16_384, 64  # bytes and number of fields of one request header
MAX_REQUEST_BODY_BYTES = 65_536  # a longer request body is rejected; a shorter one is discarded
MAX_UNSENT_BYTES = 240_000  # above this, nothing is added until the client reads
LISTEN_BACKLOG = 512
SEND_BUFFER_BYTES = 131_072  # socket buffer; a larger one would hide that a client reads nothing
FAST_POLL_MS, SLOW_POLL_MS = 1.0, 20.0  # while a client reads, and while it does not


@dataclass(frozen=True, slots=True)
class ClientTimeouts:
    """Time limits for a client, in ms.

    `header_ms` for one request header or body, `idle_ms` for the first byte of a request, `slow_ms` without
    reading any of a waiting response.
    """

    header_ms: float = 5_000.0
    idle_ms: float = 15_000.0
    slow_ms: float = 20_000.0


class Connection:
    """Serves one client connection until either side closes it."""

    def __init__(
        self, sched: Scheduler, service: Service, stream: Stream, address: str, times: ClientTimeouts
    ) -> None:
        """Serve an accepted connection."""
        self.sched, self.service, self.stream, self.address, self.times = (
            sched,
            service,
            stream,
            address,
            times,
        )
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.requests = self.sent_bytes = 0

    def run(self) -> None:
        """Serve requests one after another, close the connection and log its reason code."""
        code = "fault"
        try:
            while True:
                request = self._read_request()
                if request is None:
                    code = "eof"
                    break
                self.requests += 1
                self._serve(request)
                if not self._start_next_cycle():
                    code = "close"
                    break
        except StreamClosed as error:
            code = str(error)
        except h11.RemoteProtocolError as error:
            code = "bad-request"
            self._send_error(error.error_status_hint, str(error))
        except (BrokenBodyError, FetchRefusedError, FetchFailedError) as error:
            code = f"broken-{error}"  # the body has started: only closing reports the failure
        finally:
            self._flush_and_finish(code)
            self.stream.close(code)
            log_connection_end("repo", self.address, code, requests=self.requests, sent=self.sent_bytes)

    def _read_request(self) -> h11.Request | None:
        """Read the header of the next request; None if the client closed the connection."""
        deadline_ms = now_ms() + self.times.idle_ms
        has_started = False
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = self._read(max(1.0, deadline_ms - now_ms()), "half-header" if has_started else "idle")
                # The header's time limit counts from its first byte, however slowly the rest arrives.
                if data and not has_started:
                    has_started, deadline_ms = True, now_ms() + self.times.header_ms
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                if len(event.headers) > MAX_HEADER_FIELDS:
                    raise h11.RemoteProtocolError(
                        f"over {MAX_HEADER_FIELDS} header fields", error_status_hint=431
                    )
                if sum(len(name) + len(value) for name, value in event.headers) > MAX_HEADER_BYTES:
                    raise h11.RemoteProtocolError(
                        f"over {MAX_HEADER_BYTES} bytes of header", error_status_hint=431
                    )
                return event
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _read(self, wait_ms: float, code: str) -> bytes:
        try:
            return self.stream.read(wait_ms)
        except StreamClosed as error:
            if str(error) == "silent":
                raise StreamClosed(code) from None
            if str(error) == "eof":
                return b""
            raise

    def _serve(self, request: h11.Request) -> None:
        headers: dict[str, str] = {}
        for raw_name, value in request.headers:
            name, text = raw_name.decode("ascii").lower(), value.decode("latin-1")
            headers[name] = f"{headers[name]}, {text}" if name in headers else text
        method = request.method.decode("ascii")
        reply = self.service.answer(
            method,
            request.target,
            headers,
            self.address,
            lambda: self.stream.unsent_bytes + (MAX_UNSENT_BYTES if self.stream.close_code else 0),
        )
        self._discard_request_body()
        self._send(reply, method)

    def _discard_request_body(self) -> None:
        """Read and discard the request's body, up to MAX_REQUEST_BODY_BYTES; no request here needs one."""
        if self.http.they_are_waiting_for_100_continue:
            return  # the client gets the final response instead and sends no body
        deadline_ms, size = now_ms() + self.times.header_ms, 0
        while self.http.their_state is h11.SEND_BODY:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self.http.receive_data(self._read(max(1.0, deadline_ms - now_ms()), "half-body"))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_REQUEST_BODY_BYTES:
                    raise h11.RemoteProtocolError("body too long", error_status_hint=413)
            elif isinstance(event, h11.EndOfMessage):
                return

    def _start_body(self, reply: Reply, method: str) -> tuple[Reply, Iterator[bytes], bytes]:
        """Get the first bytes of a body before the response header is sent.

        A failure up to that point can still be answered with an error status.
        """
        body = iter(()) if method == "HEAD" or reply.status in (204, 304) else reply.body
        try:
            return reply, body, next(body, b"")
        except BrokenBodyError as error:
            reply = make_refusal(503, str(error), "a release is being published; come back", 1.0)
        except FetchRefusedError as error:
            reply = make_refusal(503, "refused", "busy; come back", max(1.0, error.wait_ms / 1000.0))
        except FetchFailedError:
            reply = make_refusal(504, "failed", "no server answered in time")
        return reply, reply.body, next(reply.body, b"")

    def _send(self, reply: Reply, method: str) -> None:
        reply, body, first = self._start_body(reply, method)
        response_headers = list(reply.headers)
        has_no_body = reply.status in (204, 304)
        if reply.size is not None and not has_no_body:
            response_headers.append(("Content-Length", str(reply.size)))
        response = h11.Response(status_code=reply.status, headers=response_headers)
        self._write(self.http.send(response))
        if first:
            self._write(self.http.send(h11.Data(data=first)))
        for chunk in body:
            self._write(self.http.send(h11.Data(data=chunk)))
        self._write(self.http.send(h11.EndOfMessage()))

    def _write(self, data: bytes | None) -> None:
        if data:
            self.stream.write(data)
            self.sent_bytes += len(data)
        while self.stream.unsent_bytes > MAX_UNSENT_BYTES and not self.stream.close_code:
            if now_ms() - self.stream.last_progress_ms > self.times.slow_ms:
                raise StreamClosed("slow")
            is_draining = now_ms() - self.stream.last_progress_ms < 10.0 * SLOW_POLL_MS
            self.sched.sleep(FAST_POLL_MS if is_draining else SLOW_POLL_MS)
        if self.stream.close_code:
            raise StreamClosed(self.stream.close_code)

    def _start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if the connection ends after this one."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    def _send_error(self, status: int, text: str) -> None:
        """Send an error response to a malformed request, unless a response has already started."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        reply = make_refusal(status, "bad-request", text)
        response_headers = [*reply.headers, ("Content-Length", str(reply.size)), ("Connection", "close")]
        with contextlib.suppress(h11.LocalProtocolError):
            self.stream.write(
                self.http.send(h11.Response(status_code=status, headers=response_headers)) or b""
            )
            for chunk in reply.body:  # h11 allows no body in the response to HEAD
                self.stream.write(self.http.send(h11.Data(data=chunk)) or b"")
            self.stream.write(self.http.send(h11.EndOfMessage()) or b"")

    def _flush_and_finish(self, code: str) -> None:
        """Wait up to `slow_ms` for buffered bytes to be sent; shut the connection down after an orderly end.

        After any other end the caller closes it at once, so that the client notices the failure.
        """
        deadline_ms = now_ms() + self.times.slow_ms
        while self.stream.unsent_bytes and not self.stream.close_code and now_ms() < deadline_ms:
            self.sched.sleep(SLOW_POLL_MS)
        if code in ("close", "bad-request") and not self.stream.close_code:
            self.stream.finish()
            with contextlib.suppress(StreamClosed):  # closing with unread bytes would reset the connection
                for _ in range(16):
                    self.stream.read(200.0)


class RepoFront:
    """Listens for HTTP clients of the repositories."""

    def __init__(
        self, sched: Scheduler, service: Service, connection_limits: ConnectionLimits, times: ClientTimeouts
    ) -> None:
        """Accept clients within `connection_limits`."""
        self.sched, self.service, self.connection_limits, self.times = (
            sched,
            service,
            connection_limits,
            times,
        )
        self.listener = socket.socket()
        self.rejected_connections: dict[str, int] = {}
        self.accepting = True

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Start accepting; return the address, with the port that the system chose if it was 0."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(address)
        self.listener.listen(LISTEN_BACKLOG)
        self.sched.keep_running(self._accept)
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
                self.sched.sleep(10.0)  # out of descriptors, or the client has closed the connection
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            if code := self.connection_limits.enter(address[0]):
                self.rejected_connections[code] = self.rejected_connections.get(code, 0) + 1
                sock.close()
                log_connection_end("repo", f"{address[0]}:{address[1]}", code)
                continue
            self.sched.spawn(self._serve, sock, address[0])

    def _serve(self, sock: socket.socket, address: str) -> None:
        try:
            Connection(self.sched, self.service, Stream(self.sched, sock), address, self.times).run()
        finally:
            self.connection_limits.leave(address)
