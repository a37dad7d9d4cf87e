"""The pools of connections to all listed servers.

A pool spreads its jobs over a few connections, reassigns jobs that were not written when one closes, and
prevents a request id that was given up from overtaking its KILL on the way to the same server. The number of
connections is bounded per server and in total.
"""

import math
from collections.abc import Callable
from functools import partial
from itertools import count

from hitchtiller.back.jobs import Job, MeterJob, PullJob
from hitchtiller.back.link import SERVER_CLOSE_CODES, Link
from hitchtiller.back.recent_names import RecentNames
from hitchtiller.exchange import Attempt
from hitchtiller.log import log_connection_end
from hitchtiller.news import ListedServer, Topology
from hitchtiller.sched import Scheduler, now_ms

MAX_REASSIGNMENTS = 2  # closed connections after which an unwritten job fails
# Jobs on one connection from which another one is opened, and how many connections that may lead to.
SPREAD_JOBS, MAX_LINKS_PER_SERVER = 3, 6
SWEEP_INTERVAL_MS = 100.0
TOLD_MS = 7_000.0  # after this time the list has told of a process that has gone (PROTOCOL, figures)
LOST_PROCESS_CODES = (*SERVER_CLOSE_CODES, "refused")
MIN_RELIEF_BYTES = 16_384  # of a partial answer: closing a connection for less frees too little


class Pool:
    """The connections to one server process at one address."""

    def __init__(self, upstreams: "Upstreams", listed: ListedServer) -> None:
        """Start without connections."""
        self.upstreams, self.listed = upstreams, listed
        self.links: list[Link] = []
        # Times by name of the jobs that were given up on connections that have closed since. Those on
        # connections closed for malformed data are kept apart.
        self.abandoned_jobs, self.abandoned_after_junk = RecentNames(), RecentNames()
        # When a server's close or a refusal last showed that its process may have gone.
        self.lost_ms = -math.inf
        self.closed = False

    def submit(self, job: Job) -> None:
        """Queue a job on a connection, or end it if none of them may carry it now."""
        now = now_ms()
        if self.closed:
            return job.on_connection_end("econnrefused")  # its process is gone
        if self._may_confuse(job, now):
            return job.on_connection_end("skipped")
        link = self._link_with_kill(job, now) or self._choose_link(job, now)
        if link is None or not link.accepts(job.name):
            # a limit of this gateway, for which the server is not to be blamed
            return job.on_connection_end("skipped")
        link.submit(job)

    def _may_confuse(self, job: Job, now: float) -> bool:
        """Return whether the server might hold the job's id twice, or its answer be taken for another's."""
        # A server that hangs reads neither a KILL nor a close until it resumes, so the id is not sent to it
        # again on another connection.
        with_kill = [link for link in self.links if link.killed_jobs.holds(job.name, now)]
        return (
            self.abandoned_jobs.holds(job.name, now)
            or len(with_kill) > 1
            or any(link.may_confuse(job) for link in self.links)
        )

    def _link_with_kill(self, job: Job, now: float) -> Link | None:
        """Return the connection with the KILL of the job's id: on another one it might be overtaken."""
        return next((link for link in self.links if link.killed_jobs.holds(job.name, now)), None)

    def _choose_link(self, job: Job, now: float) -> Link | None:
        """Return a lightly loaded connection, else a new one, else the first with room, if there is one."""
        # A server that sent malformed data still reads: a connection opened now is established only after
        # the close has arrived.
        new_only = self.abandoned_after_junk.holds(job.name, now, self.upstreams.timeouts[0])
        usable = [] if new_only else [link for link in self.links if link.has_room(job.name)]
        light = (link for link in usable if link.is_connected and link.job_count() < SPREAD_JOBS)
        if link := next(light, None):
            return link
        # Several connections keep one reset from ending all attempts; idle ones close by themselves.
        new_link = self.upstreams.open(self) if self._may_open(is_needed=not usable) else None
        # answers on one connection are read together, which saves CPU under load
        return usable[0] if usable else new_link

    def _may_open(self, is_needed: bool) -> bool:
        if self.closed or self.upstreams.link_count >= self.upstreams.max_links:
            return False
        may_spread = (
            self.upstreams.link_count < self.upstreams.max_links / 2
            and len(self.links) < MAX_LINKS_PER_SERVER
        )
        return is_needed or (may_spread and all(link.is_connected for link in self.links))

    def cancel(self, job: Job) -> None:
        """Cancel a job on whichever connection it is."""
        any(link.cancel(job) for link in self.links)

    def on_link_closed(self, link: Link, unwritten: list[Job]) -> None:
        """Remove a closed connection and reassign the jobs that were not written on it."""
        # A retired link reports twice: when it returns its unwritten jobs, and when it closes.
        if link.stream.close_code and link in self.links:
            self.links.remove(link)
            self.upstreams.link_count -= 1
            now, after_junk = now_ms(), link.stream.close_code == "junk"
            self.abandoned_jobs.remember_all(link.killed_jobs, now)
            abandoned = self.abandoned_after_junk if after_junk else self.abandoned_jobs
            abandoned.remember_all(link.abandoned_jobs, now)
            if link.stream.close_code in LOST_PROCESS_CODES:
                self._record_loss(now)
        for job in unwritten:
            job.reassignments += 1
            # Without a bound, a server that resets every connection would keep the loop busy.
            if job.reassignments > MAX_REASSIGNMENTS:
                job.on_connection_end("econnrefused")
            else:
                self.submit(job)

    def _record_loss(self, now: float) -> None:
        """Record that the process may have gone: connections made from now on may lead to another one."""
        self.lost_ms = now
        for link in self.links:
            if not link.is_connected:
                link.uncertain_until_ms = now + TOLD_MS

    def close(self, code: str) -> None:
        """Close all connections and thereby end the attempts on them."""
        self.closed = True
        for link in list(self.links):
            link.close(code)


class Upstreams:
    """The server side of the gateway: sends attempts to the listed servers and follows the list."""

    def __init__(
        self, sched: Scheduler, timeouts: tuple[float, float], jobs_per_link: int, max_links: int
    ) -> None:
        """Keep at most `max_links` connections with `jobs_per_link` attempts each.

        `timeouts` are the connect timeout and the servers' idle timeout in ms.
        """
        self.sched, self.timeouts, self.jobs_per_link, self.max_links = (
            sched,
            timeouts,
            jobs_per_link,
            max_links,
        )
        self.pools: dict[str, Pool] = {}
        self.link_count = self.opened_count = 0  # connections open now, and opened since the start
        self.probe_numbers = count(1)
        sched.keep_running(self._sweep)

    def _sweep(self) -> None:
        last = now_ms()
        while True:
            self.sched.sleep(SWEEP_INTERVAL_MS)
            now = now_ms()
            # After a longer pause this process itself lagged, and answers may be unread in the sockets.
            if now - last < 2.0 * SWEEP_INTERVAL_MS:
                for link in [link for pool in self.pools.values() for link in pool.links]:
                    link.check(now)
            last = now

    def open(self, pool: Pool) -> Link | None:
        """Open a connection; return None if the process has no file descriptor left."""
        listed = pool.listed
        try:
            link = Link(
                self.sched,
                listed.member.server,
                listed.address,
                self.timeouts,
                self.jobs_per_link,
                pool.on_link_closed,
                self.relieve_memory,
            )
        except OSError as error:
            log_connection_end("server", listed.member.server, "no-descriptor", error.strerror or "")
            return None
        link.uncertain_until_ms = pool.lost_ms + TOLD_MS
        pool.links.append(link)
        self.link_count += 1
        self.opened_count += 1
        return link

    def relieve_memory(self) -> None:
        """Close the connection with the largest partial answer, as there is no room left."""
        links = [link for pool in self.pools.values() for link in pool.links]
        largest = max(links, key=lambda link: link.stream.reader_bytes, default=None)
        if largest and largest.stream.reader_bytes > MIN_RELIEF_BYTES:
            largest.close("memory")

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its server, delayed until no earlier attempt of its request can be running."""
        if (wait_ms := attempt.exchange.blocked_until_ms - now_ms()) > 0.0:
            self.sched.later(wait_ms, partial(self._send, attempt))
        else:
            self._send(attempt)

    def _send(self, attempt: Attempt) -> None:
        if attempt.ended:
            return
        pool = self.pools.get(attempt.get.server)
        if pool is None:
            attempt.abort("skipped")
            return
        attempt.back_end_handle = (pool, PullJob(attempt))
        pool.submit(attempt.back_end_handle[1])

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt."""
        if attempt.back_end_handle:
            attempt.back_end_handle[0].cancel(attempt.back_end_handle[1])

    def probe(self, server: str, on_report: Callable[[str, dict[str, float]], None]) -> None:
        """Probe a server and report its status and load."""
        if pool := self.pools.get(server):
            pool.submit(MeterJob(next(self.probe_numbers), on_report))
        else:
            on_report("econnrefused", {})

    def follow(self, news: Topology) -> Callable[[], None]:
        """Apply a change of the list; return a function that closes the pools no longer in use.

        A server process that was restarted, or has another address, gets a new pool. One whose address a
        newly listed process has taken is gone, although the list does not say so yet.
        """
        stale: list[Pool] = []
        listed_names = {listed.member.server for listed in news.hosts}
        removed = [server for server in self.pools if news.whole and server not in listed_names]
        pools_before = {pool.listed.address: pool for pool in self.pools.values()}
        for listed in news.hosts:
            member = listed.member
            if member.state == "DELETED":
                removed.append(member.server)
                continue
            pool = self.pools.get(member.server)
            if pool and (pool.listed.address, pool.listed.member.started_ms) == (
                listed.address,
                member.started_ms,
            ):
                pool.listed = listed
                continue
            if pool:
                stale.append(pool)
            elif listed.address in pools_before:
                stale.append(pools_before[listed.address])
            self.pools[member.server] = Pool(self, listed)
        stale += [self.pools.pop(server) for server in removed if server in self.pools]

        def close_stale() -> None:
            for pool in stale:
                pool.close("gone")

        return close_stale
