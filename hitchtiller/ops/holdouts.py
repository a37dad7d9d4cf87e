"""Station caches held out by operators: a set applied to the bus's list, shared by a gateway's processes."""

import contextlib
import fcntl
import json
from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path

from hitchtiller.log import logger
from hitchtiller.news import Event, ListedServer, Topology
from hitchtiller.ops.control import CallError
from hitchtiller.sched import Scheduler

POLL_MS = 100.0  # during an upgrade the other process may have received a call
FILE_NAME, LOCK_NAME = "held-out.json", "held-out.lock"
STATES = ("SERVING", "DRAINING")  # a held-out cache's state on the bus, and as passed to the decisions


class HoldOuts:
    """Filter between the bus and the decisions, which see a held-out cache as a draining one."""

    def __init__(
        self, folder: Path | None, forward: Callable[[Event], None], origin_kind: str | None = None
    ) -> None:
        """Start with the set stored in the folder; without a folder the set is kept in memory only.

        Events of the bus are passed on to `forward`. A cache of the kind `origin_kind` can't be held out.
        """
        self.folder, self.forward, self.origin_kind = folder, forward, origin_kind
        self.listed: dict[str, ListedServer] = {}  # the list as last received from the bus
        self.held_out: frozenset[str] = frozenset()
        self.read_version: tuple[int, ...] = ()  # inode, time and size of the file that was read last
        try:
            self.reload()
        except OSError as error:
            logger.warning("hold-outs can't be read: {}", error.strerror or error)
        if self.held_out:
            logger.info("held out since before: {}", ", ".join(sorted(self.held_out)))

    def on_bus_event(self, event: Event) -> None:
        """Handle an event of the bus and pass it on."""
        if isinstance(event, Topology):
            if event.whole:
                self.listed.clear()
            for host in event.hosts:
                self.listed[host.member.server] = host
                if host.member.state == "DELETED":
                    del self.listed[host.member.server]
            event = replace(event, hosts=tuple(map(self._with_hold_out, event.hosts)))
        self.forward(event)

    def _with_hold_out(self, host: ListedServer) -> ListedServer:
        """Return a server as the decisions are to see it: draining if it is held out."""
        member = host.member
        if member.server in self.held_out and member.state == STATES[0]:  # whatever the bus reports meanwhile
            return replace(host, member=replace(member, state=STATES[1]))
        return host

    def disable(self, server: str) -> str:
        """Hold a cache out of service until `enable`."""
        host = self.listed.get(server)
        if host is None and server not in self.held_out:
            raise CallError(f"unknown station cache {server[:40]!r}")
        if host and host.member.kind == self.origin_kind:
            raise CallError(f"{server} is the origin, which nothing can stand in for")
        self._update(lambda out: out | {server})
        return f"{server} is out"

    def enable(self, server: str) -> str:
        """End the hold-out of a cache, which returns with its latest state on the bus."""
        if server not in self.listed and server not in self.held_out:
            raise CallError(f"unknown station cache {server[:40]!r}")
        self._update(lambda out: out - {server})
        return f"{server} may serve"

    def _update(self, change: Callable[[frozenset[str]], frozenset[str]]) -> None:
        """Change the set, and store it before the change takes effect."""
        if self.folder is None:
            return self._apply(change(self.held_out))
        try:
            with (self.folder / LOCK_NAME).open("w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)  # prevents lost updates by two processes
                self.reload()
                out = change(self.held_out)
                if out != self.held_out:
                    new_file = self.folder / f"{FILE_NAME}.new"
                    new_file.write_text(json.dumps({"out": sorted(out)}))
                    new_file.rename(self.folder / FILE_NAME)
        except OSError as error:
            raise CallError(f"can't be kept: {error.strerror}") from None
        self._apply(out)

    def reload(self) -> None:
        """Read the file if it has changed; a damaged file changes nothing."""
        if self.folder is None:
            return
        path = self.folder / FILE_NAME
        with contextlib.suppress(FileNotFoundError):
            stat = path.stat()
            read_version = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
            if read_version == self.read_version:
                return
            data = path.read_bytes()
            self.read_version = read_version
            try:
                out = json.loads(data)["out"]
                if not isinstance(out, list) or not all(isinstance(server, str) for server in out):
                    raise ValueError("not a list of ids")
            except (ValueError, TypeError, KeyError) as error:
                logger.warning("hold-outs not read, the current ones stay: {!r}", error)
                return
            self._apply(frozenset(out))

    def _apply(self, out: Iterable[str]) -> None:
        """Replace the set, and pass the changed states on to the decisions."""
        before, self.held_out = self.held_out, frozenset(out)
        for server in sorted(before ^ self.held_out):
            logger.info("{} {}", server, "held out" if server in self.held_out else "given back")
            if host := self.listed.get(server):
                self.forward(Topology((self._with_hold_out(host),), whole=False))

    def run(self, sched: Scheduler) -> None:
        """Poll the file for changes made by another process."""
        while self.folder:
            sched.sleep(POLL_MS)
            with contextlib.suppress(OSError):  # out of descriptors: the next poll tries again
                self.reload()
