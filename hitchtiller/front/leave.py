"""Orderly removal of the clients: for a drain, for a hand-over to a new version, or at a stop.

Clients are told with a GOING frame to send new requests elsewhere, open requests are answered, and
connections are closed once nothing is pending on them.
"""

from typing import TYPE_CHECKING

from hitchtiller.error_boundary import ErrorBoundary
from hitchtiller.log import logger
from hitchtiller.ops.stats import Rejection
from hitchtiller.sched import Scheduler, now_ms

if TYPE_CHECKING:
    from hitchtiller.front.client import Client
    from hitchtiller.front.server import Front

SERVING, DRAINED, HANDED_OVER, STOPPING = "serving", "drained", "handed over to the next version", "stopping"
ACCEPT_GRACE_MS = 450.0  # after a stop or drain begins, new connections may still arrive for 0.4 s
REQUEST_GRACE_MS = 350.0  # and requests on open connections for another 0.2 s
# The platform may kill the process this long after SIGTERM, plus the longest deadline up to MAX_DEADLINE_MS
# (PROTOCOL, figures).
KILL_GRACE_MS, MAX_DEADLINE_MS = 700.0, 3_000.0
# Time to send the last answers, and from the exit until the platform may kill the process.
LAST_ANSWERS_MS, EXIT_MARGIN_MS = 250.0, 150.0
# After the beginning of a drain: new requests are refused, and the connections on which they come are closed.
DRAIN_REFUSE_MS, DRAIN_CLOSE_MS = 1_500.0, 2_500.0
FORCED_END_MS = 50.0  # after the time of the exit: then the process ends whatever has failed
CHECK_INTERVAL_MS = 50.0
MIN_STAY_MS = 1_000.0  # after a hand-over the old process stays this long, as the new one may fail early
MOVED = "moved"  # reason code of connections whose clients go to the next version


def times_until_kill(started_ms: float, deadline_ms: float) -> tuple[float, float]:
    """Return until when answers are awaited, and when the process exits: before it may be killed.

    `started_ms` is the time of SIGTERM and `deadline_ms` the longest deadline of a request.
    """
    kill_ms = started_ms + min(deadline_ms, MAX_DEADLINE_MS) + KILL_GRACE_MS
    return kill_ms - LAST_ANSWERS_MS - EXIT_MARGIN_MS, kill_ms - EXIT_MARGIN_MS


def end_loop_after(sched: Scheduler, delay_ms: float) -> None:
    """End the loop after a delay, whatever has failed, unless a stop has ended it by then."""

    def end() -> None:
        if not sched.stopped:
            logger.error("the stop did not end in time")
            sched.stopped = True

    sched.later(delay_ms, end)


class DrainControl:
    """Drains, hands over or stops a front."""

    def __init__(self, front: "Front") -> None:
        """Control the state and the clients of a front."""
        self.front, self.sched = front, front.sched
        self.drain_number = 0  # ends a drain that was cancelled by a resume
        self.errors = ErrorBoundary()
        self.superseded = False  # the next version serves and owns what only one process can own

    def drain(self) -> None:
        """Report not ready and remove the clients while the gateway goes on listening."""
        if self.front.state == SERVING:
            self.front.state = DRAINED
            self.drain_number += 1
            logger.info("draining on an operator's call, {} clients", len(self.front.clients))
            self.sched.spawn(self._run_drain, self.drain_number)

    def resume(self) -> bool:
        """End a drain and serve again; return False if the gateway is not serving afterwards."""
        if self.front.state == DRAINED:
            self.front.state, self.front.refusing = SERVING, False
            self._reset_going_sent()
            logger.info("resumed on an operator's call")
        return self.front.state == SERVING

    def _run_drain(self, drain: int) -> None:
        started_ms = now_ms()
        self.sched.sleep(ACCEPT_GRACE_MS)
        while self.front.state == DRAINED and drain == self.drain_number:
            elapsed_ms = now_ms() - started_ms
            # Clients may keep sending requests: 4 s after the call none may have an open one any more.
            self.front.refusing = elapsed_ms > DRAIN_REFUSE_MS
            self._release_clients(elapsed_ms > DRAIN_CLOSE_MS)
            self.sched.sleep(CHECK_INTERVAL_MS)

    def _release_clients(self, final: bool) -> None:
        """Send GOING to all clients and close the connections on which nothing is pending."""
        now = now_ms()
        for client in list(self.front.clients):
            self.errors.call("releasing a client", self._release, client, now, final)

    def _release(self, client: "Client", now: float, final: bool) -> None:
        client.send_going()
        if client.may_close(now, final):
            client.release(MOVED if self.front.state == HANDED_OVER else "drained")

    def hand_over(self) -> None:
        """Stop accepting, as the next version does from now on, and exit once all clients have left."""
        if self.front.state in (SERVING, DRAINED):
            self.front.state, self.front.accepting, self.front.refusing = HANDED_OVER, False, False
            self.superseded = True
            logger.info("handed over to the next version, {} clients", len(self.front.clients))
            self.sched.spawn(self._run_hand_over)

    def resume_after_hand_over(self) -> None:
        """Serve again after the next version has ended."""
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
            client.going_sent = False  # a later drain has to send it again

    def stop(self) -> None:
        """Stop: accept for the grace time, send GOING, answer the open requests, then stop the event loop.

        A step that fails does not stop the others, and the loop ends in time whatever fails.
        """
        front = self.front
        if front.state == STOPPING:
            return
        is_sole_listener = front.state != HANDED_OVER
        started_ms = now_ms()
        front.state = STOPPING
        logger.info("told to stop")
        answer_ms, exit_ms = self._shutdown_times_or_longest(started_ms)
        end_loop_after(self.sched, exit_ms + FORCED_END_MS - started_ms)
        if is_sole_listener:
            self.sched.sleep(ACCEPT_GRACE_MS)
        self.errors.call("closing the listener", front.close)
        for client in list(front.clients):
            self.errors.call("telling a client to go", client.send_going)
        self.sched.sleep(REQUEST_GRACE_MS)
        while front.clients and now_ms() < answer_ms:
            self._close_idle()
            self.sched.sleep(10.0)
        front.refusing = True  # requests that still arrive are refused at once
        for client in list(front.clients):
            for exchange in list(client.open_exchanges.values()):
                # every request gets an answer before the kill
                self.errors.call("failing a request", front.engine.fail, exchange, Rejection.DEADLINE)
        while front.clients and now_ms() < exit_ms:
            self._close_idle(final=True)
            self.sched.sleep(10.0)
        self._end_loop("stop")

    def stop_without_clients(self) -> None:
        """Stop in the plainest way, where `stop` fails: wait for the open requests, then end the loop."""
        self.front.state = STOPPING
        started_ms = now_ms()
        self.sched.sleep(ACCEPT_GRACE_MS + REQUEST_GRACE_MS)
        answer_ms, _ = times_until_kill(started_ms, MAX_DEADLINE_MS)
        while self.front.engine.open_exchanges and now_ms() < answer_ms:
            self.sched.sleep(CHECK_INTERVAL_MS)
        self._end_loop("stop")

    def _shutdown_times_or_longest(self, started_ms: float) -> tuple[float, float]:
        """Return the times of the stop; those of the longest deadline if the settings can't be read."""
        try:
            return self._shutdown_times(started_ms)
        except Exception:  # noqa: BLE001  the stop has to go on
            logger.exception("the times of the stop are unknown; the longest ones are used")
            return times_until_kill(started_ms, MAX_DEADLINE_MS)

    def _shutdown_times(self, started_ms: float) -> tuple[float, float]:
        """Return the times of `times_until_kill` for the longest deadline of the settings."""
        deadline_ms = max(
            (cls.deadline_ms for cls in self.front.settings.classes.values()), default=MAX_DEADLINE_MS
        )
        return times_until_kill(started_ms, deadline_ms)

    def _close_idle(self, final: bool = False) -> None:
        """Close each connection without a pending answer.

        Unless `final`, those with a partial request or with answers that may be unread are left open. A
        connection with unread input is left open until that was read. Nothing else runs between this check
        and the shutdown. Input that arrives later is dropped, for which the close lingers a little.
        """
        now = now_ms()
        for client in list(self.front.clients):
            self.errors.call("closing an idle client", self._close_if_idle, client, now, final)

    def _close_if_idle(self, client: "Client", now: float, final: bool) -> None:
        if client.close_code:
            if client.timeout_code(now):
                client.stream.close(client.close_code)
        elif client.is_idle() and (final or client.awaits_nothing(now)):
            client.release("stop")

    def _end_loop(self, code: str) -> None:
        for client in list(self.front.clients):
            self.errors.call("closing a client", client.stream.close, code)
        self.sched.sleep(10.0)
        self.sched.stopped = True
