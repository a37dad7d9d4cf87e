"""How clients leave a gateway in order: for a drain, for a new version, or for good."""

from typing import TYPE_CHECKING

from hitchtiller.log import logger
from hitchtiller.sched import now_ms

if TYPE_CHECKING:
    from hitchtiller.front.server import Front

SERVING, DRAINED, HANDED_OVER, STOPPING = "serving", "drained", "handed over to the next version", "stopping"
ACCEPT_GRACE_MS = 450.0  # after the word to go, connections may come for 0.4 s
REQUEST_GRACE_MS = 350.0  # and on open ones requests for 0.2 s more
# PROTOCOL, figures: it may be killed so long after SIGTERM, on top of the longest deadline up to MOST_MS
KILL_GRACE_MS, MAX_DEADLINE_MS = 700.0, 3_000.0
LAST_ANSWERS_MS, EXIT_MARGIN_MS = (
    250.0,
    150.0,
)  # for the last answers to go out, and from the exit to the kill
CLOSE_LINGER_MS = 100.0  # what crosses a close for so long is dropped: its client sends it again elsewhere
DRAIN_REFUSE_MS, DRAIN_CLOSE_MS = (
    1_500.0,
    2_500.0,
)  # in a drain: requests are refused, and their connections closed
CHECK_INTERVAL_MS = 50.0
MIN_STAY_MS = 1_000.0  # after handing over: the next version may end in its first moments
MOVED = "moved"  # the code of connections whose clients go to the next version


class DrainControl:
    """Empties a front of its clients."""

    def __init__(self, front: "Front") -> None:
        """Work on a front's state and clients."""
        self.front, self.sched = front, front.sched
        self.drain_number = 0  # so that one that was called back ends
        self.superseded = False  # a next version serves: what only one process can own is its

    def drain(self) -> None:
        """Say no from now on, and empty the gateway while it goes on listening."""
        if self.front.state == SERVING:
            self.front.state = DRAINED
            self.drain_number += 1
            logger.info("drained by call, {} clients", len(self.front.clients))
            self.sched.spawn(self._run_drain, self.drain_number)

    def resume(self) -> bool:
        """Take clients again; False if the gateway is stopping."""
        if self.front.state == DRAINED:
            self.front.state, self.front.refusing = SERVING, False
            self._reset_going_sent()
            logger.info("resumed by call")
        return self.front.state == SERVING

    def _run_drain(self, drain: int) -> None:
        started_ms = now_ms()
        self.sched.sleep(ACCEPT_GRACE_MS)
        while self.front.state == DRAINED and drain == self.drain_number:
            elapsed_ms = now_ms() - started_ms
            # guards against clients that ask on: from 4 s after the call none may hold a late request
            self.front.refusing = elapsed_ms > DRAIN_REFUSE_MS
            self._release_clients(elapsed_ms > DRAIN_CLOSE_MS)
            self.sched.sleep(CHECK_INTERVAL_MS)

    def _release_clients(self, final: bool) -> None:
        """Tell all clients to go, and close those that hold nothing more."""
        now = now_ms()
        for client in list(self.front.clients):
            client.send_going()
            if client.may_close(now, final):
                client.close_when_done(
                    MOVED if self.front.state == HANDED_OVER else "drained", CLOSE_LINGER_MS
                )

    def hand_over(self) -> None:
        """Leave the clients to the next version, which accepts from now on, and end when all have gone."""
        if self.front.state in (SERVING, DRAINED):
            self.front.state, self.front.accepting, self.front.refusing = HANDED_OVER, False, False
            self.superseded = True
            logger.info("handed over to the next version, {} clients", len(self.front.clients))
            self.sched.spawn(self._run_hand_over)

    def resume_after_hand_over(self) -> None:
        """Serve on: the next version has ended."""
        if self.front.state == HANDED_OVER:
            logger.warning("the next version has ended, serving again")
            self.front.state, self.front.accepting, self.superseded = SERVING, True, False
            self._reset_going_sent()

    def _run_hand_over(self) -> None:
        started_ms = now_ms()
        while self.front.state == HANDED_OVER:
            self._release_clients(final=False)
            if not self.front.clients and now_ms() - started_ms > MIN_STAY_MS:
                return self._end_loop(MOVED)
            self.sched.sleep(CHECK_INTERVAL_MS)

    def _reset_going_sent(self) -> None:
        for client in self.front.clients:
            client.going_sent = False  # a second time it has to be told again

    def stop(self) -> None:
        """Leave: accept for the stated while, say so to all, answer what is in hand, then end the loop."""
        front = self.front
        if front.state == STOPPING:
            return
        is_sole_listener = front.state != HANDED_OVER
        started_ms = now_ms()
        front.state = STOPPING
        logger.info("told to stop")
        if is_sole_listener:
            self.sched.sleep(ACCEPT_GRACE_MS)
        front.close()
        for client in list(front.clients):
            client.send_going()
        self.sched.sleep(REQUEST_GRACE_MS)
        answer_ms, exit_ms = self._shutdown_times(started_ms)
        while front.clients and now_ms() < answer_ms:
            self._close_idle()
            self.sched.sleep(10.0)
        front.refusing = True  # whatever still comes is refused at once
        for client in list(front.clients):
            for exchange in list(client.open_exchanges.values()):
                front.engine.fail(exchange)  # guards against a kill while a request has no answer
        while front.clients and now_ms() < exit_ms:
            self._close_idle(final=True)
            self.sched.sleep(10.0)
        self._end_loop("stop")

    def _shutdown_times(self, started_ms: float) -> tuple[float, float]:
        """Give until when answers are waited for, and when the program is gone: before it may be killed."""
        deadline_ms = max(
            (cls.deadline_ms for cls in self.front.settings.classes.values()), default=MAX_DEADLINE_MS
        )
        kill_ms = started_ms + min(deadline_ms, MAX_DEADLINE_MS) + KILL_GRACE_MS
        return kill_ms - LAST_ANSWERS_MS - EXIT_MARGIN_MS, kill_ms - EXIT_MARGIN_MS

    def _close_idle(self, final: bool = False) -> None:
        """Close each connection on which nothing is owed; `last`: also where half a request has come.

        What has come unread is read first. Between that look and the shutdown nothing else runs; what comes
        after it is dropped, and the close waits a little for it.
        """
        now = now_ms()
        for client in list(self.front.clients):
            if client.close_code:
                if client.timeout_code(now):
                    client.stream.close(client.close_code)
            elif client.is_idle() and (final or not client.stream.kept):
                client.close_when_done("stop", CLOSE_LINGER_MS)

    def _end_loop(self, code: str) -> None:
        for client in list(self.front.clients):
            client.stream.close(code)
        self.sched.sleep(10.0)
        self.sched.stopped = True
