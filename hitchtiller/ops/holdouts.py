"""Station caches that operators left out: a set over the bus's list, shared by all processes of a gateway."""

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

POLL_MS = 100.0  # the other process of an upgrade may have taken a call
FILE_NAME, LOCK_NAME = "held-out.json", "held-out.lock"
STATES = ("SERVING", "DRAINING")  # as the bus tells it, as the decisions hear it


class HoldOuts:
    """Stands between the bus and the decisions, which hear of a held-out cache as of one that drains."""

    def __init__(
        self, folder: Path | None, forward: Callable[[Event], None], origin_kind: str | None = None
    ) -> None:
        """Start from what was kept in the folder; without one it is kept in memory alone."""
        self.folder, self.forward, self.origin_kind = folder, forward, origin_kind
        self.listed: dict[str, ListedServer] = {}  # the list as the bus last told it
        self.out: frozenset[str] = frozenset()
        self.read_version: tuple[int, ...] = ()  # which file was read last
        self.reload()
        if self.out:
            logger.info("held out since before: {}", ", ".join(sorted(self.out)))

    def news(self, event: Event) -> None:
        """Take an event of the bus."""
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
        member = host.member
        if member.server in self.out and member.state == STATES[0]:  # whatever the bus says meanwhile
            return replace(host, member=replace(member, state=STATES[1]))
        return host

    def disable(self, server: str) -> str:
        """Leave a cache out until it is given back."""
        host = self.listed.get(server)
        if host is None and server not in self.out:
            raise CallError(f"unknown station cache {server[:40]!r}")
        if host and host.member.kind == self.origin_kind:
            raise CallError(f"{server} is the origin, which nothing can stand in for")
        self._update(lambda out: out | {server})
        return f"{server} is out"

    def enable(self, server: str) -> str:
        """Give a cache back as the bus last told of it."""
        if server not in self.listed and server not in self.out:
            raise CallError(f"unknown station cache {server[:40]!r}")
        self._update(lambda out: out - {server})
        return f"{server} may serve"

    def _update(self, change: Callable[[frozenset[str]], frozenset[str]]) -> None:
        """Change the set, and keep it before anybody is told that it has changed."""
        if self.folder is None:
            return self._apply(change(self.out))
        try:
            with (self.folder / LOCK_NAME).open("w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)  # guards against two processes that change it at once
                self.reload()
                out = change(self.out)
                if out != self.out:
                    new_file = self.folder / f"{FILE_NAME}.new"
                    new_file.write_text(json.dumps({"out": sorted(out)}))
                    new_file.rename(self.folder / FILE_NAME)
        except OSError as error:
            raise CallError(f"can't be kept: {error.strerror}") from None
        self._apply(out)

    def reload(self) -> None:
        """Read the file if it is another than before; a damaged one changes nothing."""
        if self.folder is None:
            return
        path = self.folder / FILE_NAME
        with contextlib.suppress(FileNotFoundError):
            stat = path.stat()
            read_version = (stat.st_ino, stat.st_mtime_ns, stat.st_size)
            if read_version == self.read_version:
                return
            text = path.read_text()
            self.read_version = read_version
            try:
                out = json.loads(text)["out"]
                if not isinstance(out, list) or not all(isinstance(server, str) for server in out):
                    raise ValueError("no list of ids")
            except (ValueError, TypeError, KeyError) as error:
                logger.warning("hold-outs not read, those in force stay: {!r}", error)
                return
            self._apply(frozenset(out))

    def _apply(self, out: Iterable[str]) -> None:
        """Tell the decisions what has changed."""
        before, self.out = self.out, frozenset(out)
        for server in sorted(before ^ self.out):
            logger.info("{} {}", server, "held out" if server in self.out else "given back")
            if host := self.listed.get(server):
                self.forward(Topology((self._with_hold_out(host),), whole=False))

    def run(self, sched: Scheduler) -> None:
        """Look again and again for what another process was told."""
        while self.folder:
            sched.sleep(POLL_MS)
            with contextlib.suppress(OSError):  # no descriptor left: it is looked at again
                self.reload()
