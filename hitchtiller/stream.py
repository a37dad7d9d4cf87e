"""A non-blocking TCP socket for greenlets of the scheduler: reads park, writes are buffered.

A stream also tells how much of what was written the other side's kernel has acknowledged.
"""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections import deque

from hitchtiller.account import MAX_READ_BYTES, PART_BYTES, Holding, Kind
from hitchtiller.sched import READ, WRITE, Scheduler, now_ms

RECEIVE_BUFFER = bytearray(MAX_READ_BYTES)  # of all streams: emptied before another greenlet runs
# Errors of send and recv that pass: the kernel has no memory for buffers just now.
SHORTAGES, SHORTAGE_DELAY_MS = frozenset((errno.ENOBUFS, errno.ENOMEM)), 10.0
MAX_SEND_BUFFERS = 16  # passed to one sendmsg
# The rest of a part is copied once so many bytes of it were sent, and so many times the rest.
MIN_FREED_BYTES, COPY_RATIO = 32_768, 3
# States of a connection, see tcp(7); in half closed ones (CLOSE_WAIT, LAST_ACK, CLOSING) the peer has closed
# it. A system that only imitates connections may show CLOSE for all of them.
TCP_ESTABLISHED, TCP_CLOSE, HALF_CLOSED_STATES = 1, 7, frozenset((8, 9, 11))
KERNEL_INT = struct.Struct("i")  # the result of an ioctl


class StreamClosed(Exception):
    """The stream of a socket has ended; the text is the reason code."""


class Stream:
    """A non-blocking TCP socket: reads park the greenlet, writes are buffered.

    The caller has to bound `unsent_bytes`. All that a stream holds is charged to the scheduler's account.
    """

    open_count = 0  # open sockets of this process

    def __init__(
        self,
        sched: Scheduler,
        sock: socket.socket,
        input_kind: Kind = Kind.OTHER_INPUT,
        output_kind: Kind = Kind.OTHER_OUTPUT,
    ) -> None:
        """Take over a socket; it is closed by `close` only. Its bytes are charged under the two kinds."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sched, self.sock, self.fd = sched, sock, sock.fileno()
        self.holding, self.input_kind, self.output_kind = Holding(sched.account), input_kind, output_kind
        self.unsent: deque[memoryview] = deque()
        self.unsent_bytes = 0  # bytes in `unsent`
        self.sent_part_bytes = 0  # bytes of the first part that were sent and are still held
        self.sent_bytes = self.acknowledged_bytes = (
            0  # handed to the kernel, and acknowledged at the last check
        )
        self.delivered_bytes = 0  # `sent_bytes` when the kernel's send queue was last found empty
        # When bytes were last sent or seen to be acknowledged, or a write last found `unsent` empty.
        self.last_progress_ms = 0.0
        self.is_flushing = False
        self.was_established = self._tcp_state() == TCP_ESTABLISHED
        self.is_short = False  # the last send failed for want of kernel memory
        self.input_drained = True  # no unread input is known: the last read emptied the receive buffer
        self.close_code = ""  # reason code of the close; empty while open
        self.shutdown_requested = False  # writing is shut down once `unsent` is empty
        Stream.open_count += 1

    def connect(self, address: tuple[str, int], timeout_ms: float) -> None:
        """Connect, or raise StreamClosed: `refused`, `silent` on a timeout, or the code of its close."""
        error = self.sock.connect_ex(address)
        if error == errno.EINPROGRESS:
            if not self.sched.wait(self.fd, WRITE, timeout_ms):
                raise StreamClosed("silent")
            if self.close_code:
                raise StreamClosed(self.close_code)
            error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise StreamClosed("refused")

    def read(self, timeout_ms: float | None = None, max_bytes: int = 0) -> bytes:
        """Wait for bytes, or raise StreamClosed: `eof`, `reset`, `silent` on a timeout, or its code.

        Returns at most `max_bytes`, or with 0 as many as the account allows.
        """
        while True:
            if self.close_code:
                raise StreamClosed(self.close_code)
            if self.input_drained:  # nothing to read: trying recv first would waste a system call
                self.input_drained = False
                if not self.sched.wait(self.fd, READ, timeout_ms):
                    raise StreamClosed("silent")
                continue
            size = min(max_bytes, MAX_READ_BYTES) or self.sched.account.read_bytes()
            try:
                received = self.sock.recv_into(RECEIVE_BUFFER, size)
            except BlockingIOError:
                self.input_drained = True
                continue
            except OSError as error:
                if error.errno not in SHORTAGES:
                    raise StreamClosed("reset") from None
                self.sched.sleep(SHORTAGE_DELAY_MS)
                continue
            if not received:
                raise StreamClosed("eof")
            self.input_drained = received < size
            return bytes(memoryview(RECEIVE_BUFFER)[:received])

    def wait_for_input(self, size: int) -> None:
        """Wait until `size` bytes are unread in the kernel, or the stream has ended or is closed.

        Where the system knows no such limit (SO_RCVLOWAT, see socket(7)) any input ends the wait.
        """
        self._set_min_input(size)
        self.sched.wait(self.fd, READ)
        self.input_drained = False
        self._set_min_input(1)

    def end_wait_for_input(self) -> None:
        """Let any input end `wait_for_input`."""
        self._set_min_input(1)

    def _set_min_input(self, size: int) -> None:
        if not self.close_code:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, size)

    def unread_bytes(self) -> int:
        """Return how many received bytes the kernel holds (ioctl FIONREAD, see tcp(7)); 0 if unknown."""
        try:
            result = fcntl.ioctl(self.fd, termios.FIONREAD, bytes(KERNEL_INT.size))
        except OSError:
            return 0
        return int(KERNEL_INT.unpack(result)[0])

    def write(self, *parts: bytes | memoryview) -> None:
        """Send what the socket accepts and buffer the rest; the caller has to bound `unsent_bytes`."""
        if self.close_code:
            return
        if not self.unsent:
            self.last_progress_ms = now_ms()
        for part in parts:
            if len(part):
                self.unsent.append(memoryview(part))
                self.unsent_bytes += len(part)
        if not self.is_flushing:
            self._send_unsent()
            if self.unsent and not self.close_code:
                self.is_flushing = True
                self.sched.spawn(self._flush_in_background)
        self._charge_unsent()

    def _charge_unsent(self) -> None:
        """Charge what is unsent, with the sent bytes of the first part: they stay until all of it is sent."""
        size = self.unsent_bytes + self.sent_part_bytes + PART_BYTES * len(self.unsent)
        self.holding.set(self.output_kind, size)

    def write_whole(self, data: bytes) -> bool:
        """Send all of `data`, parking while the socket accepts no more; False if it was closed first."""
        self.is_flushing = True
        self.write(data)
        self._send_unsent()
        self._charge_unsent()
        self._flush()
        return not self.close_code

    def charge_reader(self, buffer: bytearray) -> None:
        """Charge the buffer in which its reader keeps incomplete input."""
        if not self.close_code:
            self.holding.set_buffer(self.input_kind, buffer)

    @property
    def reader_bytes(self) -> int:
        """Return what the incomplete input that its reader keeps is charged as."""
        return self.holding.get(self.input_kind)

    def has_input(self) -> bool:
        """Return whether unread input has arrived; the end of the stream counts as input."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)
        return True

    def is_at_end(self) -> bool:
        """Return whether the other side has closed or reset the connection and no data is left to read."""
        try:
            return not self.close_code and not self.sock.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return not isinstance(error, BlockingIOError)

    def peer_has_closed(self) -> bool:
        """Return whether the other side has closed or reset the connection, also behind unread input.

        Where the system does not tell (TCP_INFO, see tcp(7)), the answer is no.
        """
        if self.close_code:
            return True
        state = self._tcp_state()
        return state in HALF_CLOSED_STATES or (state == TCP_CLOSE and self.was_established)

    def _tcp_state(self) -> int:
        """Return the state of the connection, or 0 where the system does not tell."""
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        except (OSError, IndexError):
            return 0

    def undelivered_bytes(self) -> int:
        """Return how many written bytes the other side's kernel has not acknowledged.

        Where the system does not tell what its send buffer holds, only the unsent bytes count.
        """
        return self.unsent_bytes + self._bytes_in_send_buffer()

    def _bytes_in_send_buffer(self) -> int:
        """Return the size of the kernel's send queue (ioctl SIOCOUTQ, see tcp(7)); 0 if it can't be had."""
        if self.close_code or self.sent_bytes == self.delivered_bytes:  # no system call for idle connections
            return 0
        try:
            result = fcntl.ioctl(self.fd, termios.TIOCOUTQ, bytes(KERNEL_INT.size))
        except OSError:
            return 0
        waiting_bytes = int(KERNEL_INT.unpack(result)[0])
        if not waiting_bytes:
            self.delivered_bytes = self.sent_bytes
        return waiting_bytes

    def check_progress(self, now: float) -> None:
        """Record progress at `now` if more bytes were acknowledged than at the last check."""
        acknowledged_bytes = self.sent_bytes - self._bytes_in_send_buffer()
        if acknowledged_bytes > self.acknowledged_bytes:
            self.acknowledged_bytes, self.last_progress_ms = acknowledged_bytes, now

    def discard_unsent(self) -> None:
        """Drop all unsent data; nothing meaningful can be written on the stream after that."""
        self.unsent.clear()
        self.unsent_bytes = self.sent_part_bytes = 0
        self._charge_unsent()

    def _send_unsent(self) -> None:
        while self.unsent:
            try:
                if len(self.unsent) == 1:
                    sent = self.sock.send(self.unsent[0])
                else:
                    sent = self.sock.sendmsg(
                        [self.unsent[i] for i in range(min(MAX_SEND_BUFFERS, len(self.unsent)))]
                    )
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in SHORTAGES:
                    self.is_short = True  # nothing was sent: the flush tries again a little later
                else:
                    self.close("reset")
                return
            self.unsent_bytes -= sent
            self.sent_bytes += sent
            self.last_progress_ms = now_ms()
            self._drop_sent(sent)

    def _drop_sent(self, sent: int) -> None:
        """Remove the next `sent` bytes from the unsent parts."""
        while sent:
            head = self.unsent[0]
            if sent < len(head):
                self._shorten_first_part(sent)
                return
            sent -= len(head)
            self.unsent.popleft()
            self.sent_part_bytes = 0

    def _shorten_first_part(self, sent: int) -> None:
        """Remove bytes from the first part; copy the rest of one that was mostly sent, to free the others."""
        rest = self.unsent[0][sent:]
        self.sent_part_bytes += sent
        if self.sent_part_bytes >= MIN_FREED_BYTES and self.sent_part_bytes >= COPY_RATIO * len(rest):
            rest, self.sent_part_bytes = memoryview(bytes(rest)), 0
        self.unsent[0] = rest

    def _flush_in_background(self) -> None:
        try:
            self._flush()
        except Exception:
            self.close("fault")  # otherwise what is unsent would never be sent
            raise

    def _flush(self) -> None:
        while self.unsent and not self.close_code:
            if self.is_short:
                self.is_short = False
                self.sched.sleep(SHORTAGE_DELAY_MS)
            else:
                self.sched.wait(self.fd, WRITE)
            if not self.close_code:
                self._send_unsent()
                self._charge_unsent()
        self.is_flushing = False
        if self.shutdown_requested:
            self.finish()

    def finish(self) -> None:
        """Shut down writing once all buffered data is sent; reading continues."""
        self.shutdown_requested = True
        if not self.unsent and not self.close_code:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def close(self, code: str) -> None:
        """Close the socket once; the first reason code is kept, and a parked reader is woken with it."""
        if self.close_code:
            return
        self.holding.set(self.input_kind, 0)
        self.close_code = code
        self.discard_unsent()
        self.sched.unregister(self.fd)
        self.sock.close()
        Stream.open_count -= 1
