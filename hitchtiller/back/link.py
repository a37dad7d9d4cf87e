"""One connection to a server: commands are written in order, answers may arrive in any order.

A link notices overdue answers, truncated answers and blocked writes, and closes itself. Jobs that were not
written yet are returned to the pool; jobs that were written end with the connection.
"""

import socket
from collections import deque
from collections.abc import Callable

from greenlet import getcurrent, greenlet

from hitchtiller.account import Kind
from hitchtiller.back.jobs import Job
from hitchtiller.back.killed_questions import KilledQuestions
from hitchtiller.back.recent_names import RecentNames
from hitchtiller.codec import resp
from hitchtiller.log import log_connection_end, logger
from hitchtiller.sched import Scheduler, now_ms
from hitchtiller.stream import Stream, StreamClosed

IDLE_SHARE = 0.7  # of the servers' idle timeout; closing before the server avoids a race with a send
SERVER_CLOSE_CODES = ("eof", "reset")  # closes that the server initiated
# Time without a byte while an answer is overdue: first the link gets no new jobs, then it is closed.
SUSPECT_AFTER_MS, STUCK_AFTER_MS = 200.0, 400.0
MIN_ROUND_TRIP_SHARE = 0.05  # of the connect timeout: least time that a KILL or a close gets to arrive
# Within this time a partial answer has to grow by this many bytes, or be complete.
GROWTH_TIMEOUT_MS, MIN_GROWTH_BYTES = 400.0, 1_024
MAX_READS_IN_A_ROW = 8  # in a long turn


class Link:
    """A connection that writes each job's command once, and ends all its jobs when it closes."""

    def __init__(
        self,
        sched: Scheduler,
        server: str,
        address: tuple[str, int],
        timeouts: tuple[float, float],
        max_jobs: int,
        on_close: Callable[["Link", list[Job]], None],
        on_full: Callable[[], None],
    ) -> None:
        """Start to connect; `timeouts` are the connect timeout and the servers' idle timeout in ms.

        `on_full` is called when a partial answer arrives and there is no room left.
        """
        self.sched, self.server, self.address, self.max_jobs = sched, server, address, max_jobs
        self.connect_ms, self.idle_ms = timeouts
        self.on_close, self.on_full = on_close, on_full
        self.stream = Stream(sched, socket.socket(), Kind.PARTIAL_ANSWER, Kind.UNSENT_COMMAND)
        self.queue: deque[Job | bytes] = deque()
        self.queued_names: set[bytes] = set()  # names of the jobs in `queue`
        self.open_jobs: dict[bytes, Job] = {}
        # Times by name. An answer to a killed job, or a second answer to an effect, may still be on its way.
        self.killed_jobs, self.answered_effects = RecentNames(), RecentNames()
        self.killed_questions = KilledQuestions()
        self.abandoned_jobs: dict[bytes, float] = {}  # open when this gateway closed the connection
        self.reader = resp.RespReader()
        # When a partial answer last grew by MIN_GROWTH_BYTES, and its growth since then.
        self.last_growth_ms, self.growth_bytes = now_ms(), 0
        self.last_read_ms = self.last_send_ms = now_ms()
        self.is_suspect = False  # an answer is overdue and nothing arrives: gets no new jobs
        self.parse_error = ""
        self.writing: tuple[Job | bytes, float] | None = None  # command being sent, and since when
        self.parked_writer: greenlet | None = None  # the writer while it has nothing to write
        self.is_retired = False  # nothing more is written; closes once the open jobs are answered
        self.is_connected = False
        # Until then another process than the listed one may have taken the connection.
        self.uncertain_until_ms = 0.0
        # Once connected: the time that connecting took, at least MIN_ROUND_TRIP_SHARE of the timeout.
        self.round_trip_ms = self.connect_ms
        self.answered_count = 0
        sched.spawn(self._run)

    def job_count(self) -> int:
        """Return the number of queued and open jobs."""
        return len(self.open_jobs) + len(self.queued_names)

    def has_room(self, name: bytes) -> bool:
        """Return whether a job of this name may be written now."""
        return self.accepts(name) and self.job_count() < self.max_jobs

    def accepts(self, name: bytes) -> bool:
        """Return whether a job of this name may be queued here, even if it has to wait for room."""
        if self.stream.close_code or self.is_retired or self.is_suspect:
            return False
        if self.writing and now_ms() - self.writing[1] > self.connect_ms:
            return False  # the server has stopped reading: a queued job would be stuck
        # Two answers under one name could not be told apart, and a late second answer to an effect would be
        # matched to its next attempt.
        return not (name in self.open_jobs or name in self.queued_names or name in self.answered_effects)

    def may_confuse(self, job: Job) -> bool:
        """Return whether an answer to a killed job, which asked something else, may be taken for its own."""
        return not self.killed_questions.allows(job.name, job.question, now_ms(), self.reader.in_array)

    def submit(self, job: Job) -> None:
        """Queue a job to be written after those before it."""
        self.queue.append(job)
        self.queued_names.add(job.name)
        self._wake()

    def cancel(self, job: Job) -> bool:
        """Cancel a job, with a KILL if it was written; return whether it was on this link."""
        name = job.name
        if name in self.queued_names and job in self.queue:
            self.queue.remove(job)
            self.queued_names.discard(name)
        elif self.open_jobs.get(name) is job:
            del self.open_jobs[name]
            self.killed_jobs.remember(name, now_ms())
            self.killed_questions.record_kill(name, job.question, now_ms(), self.reader.in_array)
            job.block_until(now_ms() + (self.connect_ms if self.stream.unsent_bytes else self.round_trip_ms))
            if self.writing and self.writing[0] is job:
                # Half of its command was sent, so neither a KILL nor another command can follow.
                self.is_retired = True
                self.stream.discard_unsent()
                self._return_unwritten()
            elif not self.is_retired:
                self.queue.appendleft(resp.write_command(b"KILL", name))
                self._wake()
            if self.is_retired and not self.open_jobs:
                self.stream.close("spoiled")
        else:
            return False
        return True

    def close(self, code: str) -> None:
        """Close the connection with a reason code."""
        self.stream.close(code)

    def _wake(self) -> None:
        if self.parked_writer:
            task, self.parked_writer = self.parked_writer, None
            self.sched.wake(task)

    def _run(self) -> None:
        try:
            started_ms = now_ms()
            self.stream.connect(self.address, self.connect_ms)
            # The lower bound prevents a second transfer of the same object: a connect that took 0.2 ms says
            # little about how long a close or a KILL takes to arrive, and the next PULL to a nearer server
            # overtook it.
            self.is_connected, self.round_trip_ms = (
                True,
                max(now_ms() - started_ms, MIN_ROUND_TRIP_SHARE * self.connect_ms),
            )
            self.sched.spawn(self._run_writer)
            self._read()
        except StreamClosed as error:
            self.stream.close(str(error))
        except resp.RespError as error:
            self.parse_error = str(error)
            self.stream.close("junk")
        finally:
            self.stream.close("fault")  # no effect if it was closed with another code before
            self._finish()

    def check(self, now: float) -> None:
        """Close the link if an answer is truncated or overdue, a write is blocked, or it has been idle."""
        if self.stream.close_code or not self.is_connected:
            return
        silent_ms, unused_ms = now - self.last_read_ms, now - max(self.last_read_ms, self.last_send_ms)
        has_overdue = any(now > job.due_ms for job in self.open_jobs.values())
        # Without this check, all jobs of a connection on which answers stopped waited for their deadlines.
        self.is_suspect = has_overdue and silent_ms > SUSPECT_AFTER_MS
        is_writable = self.writing is None or now - self.writing[1] < 2.0 * self.connect_ms
        is_cut_short = self.reader.in_array and now - self.last_growth_ms > GROWTH_TIMEOUT_MS
        if is_cut_short or (has_overdue and silent_ms > STUCK_AFTER_MS) or not is_writable:
            self.stream.close("stuck")
        elif not (self.open_jobs or self.queued_names) and unused_ms > self.idle_ms * IDLE_SHARE:
            self.stream.close("idle")

    def _read(self) -> None:
        reads = 0  # in a row, without waiting
        while True:
            data = self.stream.read()
            self.last_read_ms = now_ms()
            self.growth_bytes += len(data)
            if not self.reader.in_array or self.growth_bytes >= MIN_GROWTH_BYTES:
                self.last_growth_ms, self.growth_bytes = self.last_read_ms, 0
            incoming = self.reader.feed(data)
            del data  # this task may be parked for long, and what it holds is not charged
            for items in incoming:
                self.last_growth_ms, self.growth_bytes = self.last_read_ms, 0
                self._handle_answer(items)
                del items
            self.stream.charge_reader(self.reader.buffer)
            if self.sched.account.answers_lack_room():
                self.on_full()
            reads = 0 if self.stream.input_drained else reads + 1
            if reads >= MAX_READS_IN_A_ROW and self.sched.is_turn_long():
                self.sched.poll_again()  # a fast server must not delay the clients
                reads = 0

    def _handle_answer(self, items: list[bytes]) -> None:
        if len(items) != resp.ANSWER_ITEMS:
            raise resp.RespError(f"answer has {len(items)} items")
        name, reply, fields_text, body = items
        job = self.open_jobs.get(name)
        if job is None:
            self.killed_jobs.pop(name, None)  # the answer crossed the KILL, or belongs to no job
            self.killed_questions.record_answer(name)
            return
        if self._belongs_to_killed(job, reply, fields_text):
            self.killed_questions.record_answer(name)
            return
        del self.open_jobs[name]
        self.answered_count += 1
        if not job.repeatable:
            self.answered_effects.remember(job.name, now_ms())
        if self.queue:
            self._wake()  # the writer may be waiting for room
        try:
            job.on_answer(reply.decode("ascii", "replace"), resp.read_fields(fields_text), body)
        except resp.RespError as error:
            # The frame itself was valid, so the answers to the other open jobs can still be read.
            self.parse_error = str(error)
            if not self.open_jobs:
                self.open_jobs[name] = job
                raise
            job.on_connection_end("econnreset")
            if not self.is_retired:
                self.is_retired = True
                self._return_unwritten()
        if self.is_retired and not self.open_jobs:
            raise StreamClosed("spoiled")

    def _belongs_to_killed(self, job: Job, reply: bytes, fields_text: bytes) -> bool:
        """Return whether an answer can only belong to a killed job of this name, not to the open one."""
        if not self.killed_questions.may_answer(job.name):
            return False
        try:
            fields = resp.read_fields(fields_text)
        except resp.RespError:
            return False  # handled with the open job
        return not job.is_answered_by(reply.decode("ascii", "replace"), fields)

    def _run_writer(self) -> None:
        try:
            self._write()
        except Exception:
            self.stream.close("fault")  # otherwise its jobs would wait in the queue for their deadlines
            raise

    def _write(self) -> None:
        has_polled = False
        while not self.stream.close_code and not self.is_retired:
            is_full = len(self.open_jobs) >= self.max_jobs
            if not self.queue or (is_full and not isinstance(self.queue[0], bytes)):
                self.parked_writer = getcurrent()
                self.sched.park()
                continue
            # In a long turn the gateway may not have read yet that a client has left: poll once before
            # sending its request.
            if not has_polled and self.sched.is_lagging():
                self.sched.poll_again()
                has_polled = True
                continue
            has_polled = False
            job = self.queue.popleft()
            data = job if isinstance(job, bytes) else self._start_job(job)
            if data is not None:
                self.writing = (job, self.last_send_ms)
                is_sent = self.stream.write_whole(data)
                self.writing = None
                if is_sent and not self.is_retired and not isinstance(job, bytes):
                    job.on_sent()
                del job, data  # this task may be parked for long

    def _start_job(self, job: Job) -> bytes | None:
        """Return a job's command and expect its answer from now on; None if the job withdrew."""
        self.queued_names.discard(job.name)
        job.process_is_certain = now_ms() >= self.uncertain_until_ms
        try:
            data = job.command()
        except Exception:  # noqa: BLE001  the other jobs of the connection go on
            logger.exception("composing a command failed")
            job.on_connection_end("skipped")
            return None
        if data is not None:
            self.open_jobs[job.name] = job
            self.killed_jobs.pop(job.name, None)
            self.last_send_ms = now_ms()
        return data

    def _return_unwritten(self) -> None:
        jobs = [job for job in self.queue if not isinstance(job, bytes)]
        self.queue.clear()
        self.queued_names.clear()
        self.on_close(self, jobs)

    def _finish(self) -> None:
        """Fail the written jobs and return the unwritten ones, which can't have run."""
        log_connection_end(
            "server",
            self.server,
            self.stream.close_code,
            self.parse_error,
            done=self.answered_count,
            open=len(self.open_jobs),
        )
        jobs, self.open_jobs = list(self.open_jobs.values()), {}
        if self.stream.close_code not in SERVER_CLOSE_CODES:  # otherwise the server itself has ended them
            self.abandoned_jobs = dict.fromkeys((job.name for job in jobs), now_ms())
            for job in jobs:
                job.block_until(now_ms() + self.round_trip_ms)
        self._wake()
        if self.is_connected:
            self._return_unwritten()
        else:
            unwritten = [job for job in self.queue if not isinstance(job, bytes)]
            self.queue.clear()
            self.queued_names.clear()
            self.on_close(self, [])
            for job in unwritten:
                job.on_connection_end("silent" if self.stream.close_code == "silent" else "econnrefused")
        for job in jobs:
            job.on_connection_end("etimedout" if self.stream.close_code == "stuck" else "econnreset")
