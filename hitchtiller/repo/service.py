"""What the repositories answer: a request's method, target and conditions become bytes, or a refusal.

Greenlets of the loop; no sockets. Bound: one index at a time in memory for each request that reads one
(`index_mb`), and the window's parts for bodies.
"""

import hashlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from hitchtiller.engine import Engine
from hitchtiller.log import logger
from hitchtiller.repo.body import Assembly, Broken, Piece, Proofs, Proven, Restart
from hitchtiller.repo.conditions import Validators, range_applies, status
from hitchtiller.repo.fetch import ABSENT, PART, Failed, Fetcher, Refused, Source
from hitchtiller.repo.generations import Line, NamedFile
from hitchtiller.repo.kinds import BadIndex, Kind, Parsed
from hitchtiller.repo.paths import BadTarget, object_key, read_target
from hitchtiller.repo.ranges import Span, Unsatisfiable, parts_of, read_ranges
from hitchtiller.sched import now_ms
from hitchtiller.store.purges import Purges

PROVE_MOST = 500  # files of a generation that are looked for before it is served
PROVE_AT_ONCE = 8
MOST_LINES = 20_000  # indexes that are followed
GRACE_MS = 1_000.0  # after a purge was told, until which an older index may still be given


@dataclass(slots=True)
class Reply:
    """An answer.

    Status, headers, and its body, piece by piece; `size` is None where it is not known before.
    """

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: Iterator[bytes] = field(default_factory=lambda: iter(()))
    size: int | None = 0
    reason: str = ""  # a code for the log and the counters


def refusal(code: int, reason: str, text: str = "", wait_s: float = 0.0, **headers: str) -> Reply:
    """Make an answer that has no bytes of a file; its text says what was wrong."""
    data = (text or reason.replace("-", " ")).encode() + b"\n"
    fields = [("Content-Type", "text/plain; charset=utf-8"), ("Cache-Control", "no-store")]
    if wait_s:
        fields.append(("Retry-After", str(max(1, round(wait_s)))))
    fields += [(name.replace("_", "-"), value) for name, value in headers.items()]
    return Reply(code, fields, iter((data,)), len(data), reason)


@dataclass(slots=True)
class Repository:
    """One repository: its kind, where it hangs, and the generations of its indexes."""

    name: str
    kind: Kind
    prefix: str
    class_name: str
    group: int
    grace_ms: float
    index_bytes: int
    lines: dict[str, Line] = field(default_factory=dict)
    where: dict[str, set[str]] = field(default_factory=dict)  # path: the indexes that name it

    def line(self, path: str) -> Line:
        """Give an index's line."""
        if path not in self.lines:
            if len(self.lines) >= MOST_LINES:  # the longest known goes; it is learnt again when asked for
                gone = next(iter(self.lines))
                del self.lines[gone]
                for names in self.where.values():
                    names.discard(gone)
            self.lines[path] = Line(self.grace_ms)
        return self.lines[path]


class Service:
    """Answers requests for all repositories of a gateway."""

    def __init__(
        self, engine: Engine, fetcher: Fetcher, repositories: list[Repository], hosts: frozenset[str]
    ) -> None:
        """Serve these repositories; the longest prefix that fits counts."""
        self.engine, self.fetcher, self.hosts = engine, fetcher, hosts
        self.repositories = sorted(repositories, key=lambda each: -len(each.prefix))
        self.proofs = Proofs()
        self.counts: dict[str, int] = {}
        # the decisions forget a purge once caches have dropped; indexes are held for longer
        self.purges = Purges()
        engine.purge_listeners.append(lambda ban: self.purges.add(ban.key, ban.group, ban.at_ms))

    def answer(
        self, method: str, target: bytes, headers: Mapping[str, str], client: str, waiting: Callable[[], int]
    ) -> Reply:
        """Answer a request; `waiting` tells how many bytes its client has not taken yet."""
        try:
            reply = self._answer(method, target, headers, client, waiting)
        except BadTarget as error:
            reply = refusal(error.status, "bad-target", str(error))
        except Refused as error:
            reply = refusal(503, "refused", "busy; come back", max(1.0, error.wait_ms / 1000.0))
        except Failed:
            reply = refusal(504, "failed", "no server answered in time")
        except BadIndex as error:
            logger.warning("index not taken: {}", error)
            reply = refusal(502, "bad-index", str(error))
        except Broken as error:
            reply = refusal(503, str(error), "two releases at once; come back", 1.0)
        self.counts[reply.reason or str(reply.status)] = (
            self.counts.get(reply.reason or str(reply.status), 0) + 1
        )
        return reply

    def _answer(
        self, method: str, target: bytes, headers: Mapping[str, str], client: str, waiting: Callable[[], int]
    ) -> Reply:
        if method not in ("GET", "HEAD"):
            return refusal(405, "method", "GET and HEAD are taken", Allow="GET, HEAD")
        if headers.get("expect", "100-continue").lower() != "100-continue":
            return refusal(417, "expect", "only 100-continue is known")
        found = read_target(target, self.hosts)
        repo = next((r for r in self.repositories if found.path.startswith(r.prefix)), None)
        path = found.path[len(repo.prefix) :] if repo else ""
        if repo is None or not path:
            return refusal(404, "not-found", "no repository has this path")
        if repo.kind.root(path):
            return self._index(repo, path, method, headers, client)
        if repo.kind.listing(path):
            return self._listing(repo, path, method, headers, client)
        return self._file(repo, path, method, headers, client, waiting)

    # Indexes

    def _source(self, repo: Repository, path: str, client: str) -> Source:
        return Source(object_key(repo.name, path), repo.class_name, repo.group, client)

    def whole(
        self, repo: Repository, path: str, client: str, digest: str = ""
    ) -> tuple[bytes, Assembly] | None:
        """Read a file whole, of one tag; None if there is none. Its digest must hold, where one is given."""
        source, tag = self._source(repo, path, client), ""
        for _ in range(3):
            assembly, pieces, number = Assembly(PART, digest, tag=tag), list[bytes](), 0
            try:
                while not assembly.done:
                    piece = self.fetcher.again(source, number, assembly.suits)
                    if piece.tag == ABSENT:
                        return None
                    if piece.tag != (assembly.tag or piece.tag):
                        raise Restart(piece.tag)
                    pieces += assembly.take(number, piece)
                    number += 1
                    if number * PART > repo.index_bytes:
                        raise BadIndex(
                            f"{path}: over {repo.index_bytes} bytes, which is what index_mb allows"
                        )
            except Restart as restart:
                tag = restart.tag
                continue
            self.proofs.put(source.key, assembly.tag, assembly.hash.hexdigest(), assembly.size)
            return b"".join(pieces), assembly
        raise Broken("two-releases")

    def _learn(self, repo: Repository, path: str, client: str) -> Line | None:
        """Read an index as it is now, with what belongs to it; None if there is none."""
        got = self.whole(repo, path, client)
        if got is None:
            return None
        body, assembly = got
        line, digest = repo.line(path), assembly.hash.hexdigest()
        if digest in line.known:
            line.saw(digest, line.known[digest].files, assembly.since_ms, body)
        else:
            parsed = self._with_nested(repo, path, repo.kind.parse(path, body), client)
            line.saw(digest, parsed.files, assembly.since_ms, body, parsed.optional)
            for name in parsed.files:
                repo.where.setdefault(name, set()).add(path)
        self._prove(repo, line, client)
        return line

    def _with_nested(self, repo: Repository, path: str, parsed: Parsed, client: str) -> Parsed:
        """Read the further indexes that an index names, each by its digest."""
        files = dict(parsed.files)
        for name in parsed.nested:
            got = self.whole(repo, name, client, parsed.files[name].digest)
            if got is None:
                raise Broken("index-before-its-files")
            files |= repo.kind.parse(name, got[0]).files
        return Parsed(files, parsed.nested, parsed.optional)

    def _prove(self, repo: Repository, line: Line, client: str) -> None:
        """Look for the files that are new in the newest generation; it is served only once they are there."""
        generation = line.to_look(now_ms())
        if generation is None:
            return
        source = Source(0, repo.class_name, repo.group, client)
        source.budget.parts = len(generation.wanted)
        for path in sorted(generation.wanted)[PROVE_MOST:]:
            line.found(generation.digest, path)
        for path in sorted(generation.wanted):
            source.key = object_key(repo.name, path)
            piece = self.fetcher.one(source, 0)
            named = generation.files[path]
            proof = self.proofs.get(source.key, piece.tag)
            if piece.tag == ABSENT or not _may_be(piece, named, proof.digest if proof else ""):
                line.missing(generation.digest, now_ms())
                return
            line.found(generation.digest, path)

    def _index(
        self, repo: Repository, path: str, method: str, headers: Mapping[str, str], client: str
    ) -> Reply:
        line = self._learn(repo, path, client)
        if line is None:
            return refusal(404, "not-found", "there is no such index")
        key, now = object_key(repo.name, path), now_ms()
        generation = line.serve(client, now)
        purged = self.purges.last(key, repo.group)
        if generation is None or (generation.since_ms <= purged and now - purged > GRACE_MS):
            return refusal(503, "release-not-whole", "a release is being published; come back", 1.0)
        if generation.digest != line.newest and now - purged <= GRACE_MS:
            logger.info("{}: the release before is given, the newest is not whole", path)
        known = Validators(generation.digest, int(generation.since_ms))
        return _plain(repo.kind.content_type(path, generation.body), generation.body, known, method, headers)

    def _listing(
        self, repo: Repository, path: str, method: str, headers: Mapping[str, str], client: str
    ) -> Reply:
        got = self.whole(repo, path, client)
        if got is None:
            return refusal(404, "not-found", "there is no such list")
        body, assembly = got
        known = Validators(assembly.hash.hexdigest(), assembly.since_ms)
        return _plain(repo.kind.content_type(path, body), body, known, method, headers)

    # Files

    def _permitted(self, repo: Repository, path: str, client: str) -> list[NamedFile]:
        """Give what a file may be for a client, by each index that names it.

        One is read where none is known.
        """
        if path not in repo.where:
            for root in repo.kind.roots_for(path):
                line = self._learn(repo, root, client)
                if line:
                    line.serve(client, now_ms())
        named: list[NamedFile] = []
        for root in sorted(repo.where.get(path, ())):
            each = repo.lines[root].permitted(client, path, now_ms())
            if each and each not in named:
                named.append(each)
        return named

    def _file(
        self,
        repo: Repository,
        path: str,
        method: str,
        headers: Mapping[str, str],
        client: str,
        waiting: Callable[[], int],
    ) -> Reply:
        permitted = self._permitted(repo, path, client)
        if not permitted:
            roots = repo.where.get(path, set())
            if any(repo.lines[root].outdated(client, now_ms()) for root in roots):
                return refusal(404, "index-outdated", "your index is of an older release; ask for it again")
            return refusal(404, "not-found", "no index that was given to you names this file")
        source = self._source(repo, path, client)
        first = self.fetcher.again(source, 0, lambda piece: self._suits(source.key, piece, permitted))
        if first.tag == ABSENT:
            return refusal(404, "not-there", "the index names it, but it is not there")
        proof = self.proofs.get(source.key, first.tag)
        named = next((n for n in permitted if not proof or n.digest in ("", proof.digest)), None)
        if named is None:
            return refusal(503, "other-release", "a release is being published; come back", 1.0)
        digest = proof.digest if proof else named.digest
        known = Validators(digest, first.since_ms, first.tag)
        kind = repo.kind.content_type(path, b"")
        common = [("Content-Type", kind), ("Accept-Ranges", "bytes")]
        if digest:
            common += [("ETag", known.etag), ("Last-Modified", known.last_modified)]
            verdict = status(method, headers, known)
            if verdict == 304:
                return Reply(304, common, reason="not-modified")
            if verdict == 412:
                return refusal(412, "precondition")
        ranged = digest and method == "GET" and "range" in headers and range_applies(headers, known)
        if ranged and proof is None:
            proof = self._read_through(source, first, named)
        size = proof.size if proof else named.size
        if ranged and proof:
            return self._ranges(source, first.tag, proof.size, headers["range"], common, waiting)
        whole = None if size < 0 else size
        if method == "HEAD":
            return Reply(200, common, iter(()), whole, "head")
        assembly = Assembly(PART, digest, size)
        return Reply(200, common, self._stream(source, first, assembly, waiting), whole, "whole")

    def _suits(self, key: int, piece: Piece, permitted: list[NamedFile]) -> bool:
        """Tell whether a first part can be of a permitted release; others are asked for again for a while."""
        proof = self.proofs.get(key, piece.tag)
        if piece.tag == ABSENT:
            return False
        return any(_may_be(piece, named, proof.digest if proof else "") for named in permitted)

    def _read_through(self, source: Source, first: Piece, named: NamedFile) -> Proven:
        """Read a file once for its digest; nothing of it is sent or held."""
        assembly = Assembly(PART, named.digest, named.size)
        for _ in self._stream(source, first, assembly, lambda: 0):
            pass
        proof = self.proofs.get(source.key, assembly.tag)
        assert proof
        return proof

    def _stream(
        self, source: Source, first: Piece, assembly: Assembly, waiting: Callable[[], int]
    ) -> Iterator[bytes]:
        """Give a whole body as its parts come; Broken if it can't be ended well."""
        yield from assembly.take(0, first)
        if not assembly.done:
            last = -(-assembly.size // PART) if assembly.size >= 0 else 1 << 16
            known = last if assembly.size >= 0 else -1
            parts = self.fetcher.ordered(source, iter(range(1, last)), waiting, assembly.suits, known)
            for number, piece in parts:
                yield from assembly.take(number, piece)
                if assembly.done:
                    break
        if not assembly.done:
            raise Broken("cut-short")
        self.proofs.put(source.key, assembly.tag, assembly.hash.hexdigest(), assembly.size)

    def _ranges(
        self,
        source: Source,
        tag: str,
        size: int,
        header: str,
        common: list[tuple[str, str]],
        waiting: Callable[[], int],
    ) -> Reply:
        try:
            spans = read_ranges(header, size)
        except Unsatisfiable:
            return refusal(
                416, "range", "no byte of this file is in that range", Content_Range=f"bytes */{size}"
            )
        if spans is None:
            spans = [Span(0, size)]
            return Reply(200, common, self._spans(source, tag, size, spans, waiting), size, "whole")
        if len(spans) == 1:
            fields = [*common, ("Content-Range", spans[0].content_range(size))]
            return Reply(206, fields, self._spans(source, tag, size, spans, waiting), spans[0].size, "range")
        boundary = hashlib.sha256(f"{source.key}{header}".encode()).hexdigest()[:24]
        inner = next(value for name, value in common if name == "Content-Type")
        heads = [
            f"\r\n--{boundary}\r\nContent-Type: {inner}\r\n"
            f"Content-Range: {span.content_range(size)}\r\n\r\n".encode()
            for span in spans
        ]
        end = f"\r\n--{boundary}--\r\n".encode()
        total = sum(len(head) + span.size for head, span in zip(heads, spans, strict=True)) + len(end)
        fields = [("Content-Type", f"multipart/byteranges; boundary={boundary}")]
        fields += [(name, value) for name, value in common if name != "Content-Type"]

        def body() -> Iterator[bytes]:
            for head, span in zip(heads, spans, strict=True):
                yield head
                yield from self._spans(source, tag, size, [span], waiting)
            yield end

        return Reply(206, fields, body(), total, "ranges")

    def _spans(
        self, source: Source, tag: str, size: int, spans: list[Span], waiting: Callable[[], int]
    ) -> Iterator[bytes]:
        """Give stretches of a proven tag; Broken where a part of another tag came."""
        for span in spans:
            slices = {number: (begin, end) for number, begin, end in parts_of(span, PART)}
            parts = self.fetcher.ordered(source, iter(slices), waiting, lambda piece: piece.tag == tag)
            for number, piece in parts:
                begin, end = slices[number]
                if piece.tag != tag or len(piece.data) != min(PART, size - number * PART):
                    raise Broken("two-releases")
                yield piece.data[begin:end]


def _may_be(piece: Piece, named: NamedFile, proven: str) -> bool:
    """Tell whether a file's first part can be of what an index names."""
    if proven:
        return named.digest in ("", proven)
    if len(piece.data) < PART:  # it is all there is
        whole = named.size in (-1, len(piece.data))
        return whole and named.digest in ("", hashlib.sha256(piece.data).hexdigest())
    return named.size < 0 or named.size >= PART


def _plain(kind: str, body: bytes, known: Validators, method: str, headers: Mapping[str, str]) -> Reply:
    """Answer with a body that is in memory."""
    common = [
        ("Content-Type", kind), ("ETag", known.etag), ("Last-Modified", known.last_modified),
        ("Accept-Ranges", "bytes"), ("Cache-Control", "no-cache"),
    ]  # fmt: skip
    verdict = status(method, headers, known)
    if verdict == 304:
        return Reply(304, common, reason="not-modified")
    if verdict == 412:
        return refusal(412, "precondition")
    if method == "GET" and "range" in headers and range_applies(headers, known):
        try:
            spans = read_ranges(headers["range"], len(body))
        except Unsatisfiable:
            return refusal(416, "range", "outside", Content_Range=f"bytes */{len(body)}")
        if spans and len(spans) == 1:
            part = body[spans[0].first : spans[0].end]
            fields = [*common, ("Content-Range", spans[0].content_range(len(body)))]
            return Reply(206, fields, iter((part,)), len(part), "range")
    return Reply(200, common, iter((body,)) if method == "GET" else iter(()), len(body), "index")
