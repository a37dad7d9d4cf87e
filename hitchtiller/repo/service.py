"""Answers HTTP requests to the package repositories.

Given a request's method, target and headers, `Service` returns the status, the headers and an iterator over
the body. Runs in greenlets of the event loop and opens no sockets; `hitchtiller.repo.front` does that. Memory
bound: one index at a time for each request that reads one (`index_mb`), and the parts in the body's window.
"""

import hashlib
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from hitchtiller.engine import Engine
from hitchtiller.log import logger
from hitchtiller.repo.body import (
    Assembly,
    BrokenBodyError,
    Part,
    TagChangedError,
    VerifiedBodies,
    VerifiedBody,
)
from hitchtiller.repo.conditions import Validators, evaluate_conditions, range_applies
from hitchtiller.repo.fetch import (
    ABSENT_TAG,
    MAX_PART_BYTES,
    Fetcher,
    FetchFailedError,
    FetchRefusedError,
    FileRequest,
)
from hitchtiller.repo.generations import IndexHistory, NamedFile
from hitchtiller.repo.kinds import InvalidIndexError, Kind, ParsedIndex
from hitchtiller.repo.paths import InvalidTargetError, object_key, read_target
from hitchtiller.repo.ranges import Span, UnsatisfiableRangeError, read_ranges, split_into_parts
from hitchtiller.sched import now_ms
from hitchtiller.store.purges import Purges

MAX_FILES_CHECKED = 500  # files of a generation whose presence is checked before it is served
MAX_CHECKS_AT_ONCE = 8
MAX_INDEXES = 20_000  # per repository; the index known for longest is forgotten first
PURGE_GRACE_MS = 1_000.0  # after a purge is reported, an older index may still be served for this long


@dataclass(slots=True)
class Reply:
    """An HTTP response; `size` is the length of its body, None where that is not known in advance."""

    status: int
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: Iterator[bytes] = field(default_factory=lambda: iter(()))
    size: int | None = 0
    reason: str = ""  # reason code, counted in Service.counts


def make_refusal(code: int, reason: str, text: str = "", wait_s: float = 0.0, **headers: str) -> Reply:
    """Return an error response with a plain-text body.

    `headers` become additional HTTP headers, with each `_` in a name replaced by `-`.
    """
    data = (text or reason.replace("-", " ")).encode() + b"\n"
    reply_headers = [("Content-Type", "text/plain; charset=utf-8"), ("Cache-Control", "no-store")]
    if wait_s:
        reply_headers.append(("Retry-After", str(max(1, round(wait_s)))))
    reply_headers += [(name.replace("_", "-"), value) for name, value in headers.items()]
    return Reply(code, reply_headers, iter((data,)), len(data), reason)


@dataclass(slots=True)
class Repository:
    """One repository: its kind, its URL path prefix, and the generations of its indexes."""

    name: str
    kind: Kind
    prefix: str
    class_name: str
    group: int
    grace_ms: float
    index_bytes: int
    index_histories: dict[str, IndexHistory] = field(default_factory=dict)
    # From the path of a file to the paths of the indexes that name it.
    indexes_by_path: dict[str, set[str]] = field(default_factory=dict)

    def get_history(self, path: str) -> IndexHistory:
        """Return the history of an index, creating it if there is none."""
        if path not in self.index_histories:
            if len(self.index_histories) >= MAX_INDEXES:  # read again when it is next requested
                oldest = next(iter(self.index_histories))
                del self.index_histories[oldest]
                for names in self.indexes_by_path.values():
                    names.discard(oldest)
            self.index_histories[path] = IndexHistory(self.grace_ms)
        return self.index_histories[path]


class Service:
    """Answers requests for all repositories of a gateway."""

    def __init__(
        self, engine: Engine, fetcher: Fetcher, repositories: list[Repository], hosts: frozenset[str]
    ) -> None:
        """Serve these repositories; the longest matching prefix wins."""
        self.engine, self.fetcher, self.hosts = engine, fetcher, hosts
        self.repositories = sorted(repositories, key=lambda repository: -len(repository.prefix))
        self.verified_bodies = VerifiedBodies()
        self.reply_counts: dict[str, int] = {}
        # The decision module forgets a purge once the caches have dropped their copies. Indexes are held here
        # for longer, so the purges are recorded separately.
        self.purges = Purges()
        engine.purge_listeners.append(lambda ban: self.purges.add(ban.key, ban.group, ban.at_ms))

    def answer(
        self,
        method: str,
        target: bytes,
        headers: Mapping[str, str],
        client: str,
        count_unsent_bytes: Callable[[], int],
    ) -> Reply:
        """Answer a request; `count_unsent_bytes` returns how many response bytes wait for the client."""
        try:
            reply = self._answer(method, target, headers, client, count_unsent_bytes)
        except InvalidTargetError as error:
            reply = make_refusal(error.status, "bad-target", str(error))
        except FetchRefusedError as error:
            reply = make_refusal(503, "refused", "busy; come back", max(1.0, error.wait_ms / 1000.0))
        except FetchFailedError:
            reply = make_refusal(504, "failed", "no server answered in time")
        except InvalidIndexError as error:
            logger.warning("invalid index: {}", error)
            reply = make_refusal(502, "bad-index", str(error))
        except BrokenBodyError as error:
            reply = make_refusal(503, str(error), "two releases at once; come back", 1.0)
        self.reply_counts[reply.reason or str(reply.status)] = (
            self.reply_counts.get(reply.reason or str(reply.status), 0) + 1
        )
        return reply

    def _answer(
        self,
        method: str,
        target: bytes,
        headers: Mapping[str, str],
        client: str,
        count_unsent_bytes: Callable[[], int],
    ) -> Reply:
        if method not in ("GET", "HEAD"):
            return make_refusal(405, "method", "GET and HEAD are taken", Allow="GET, HEAD")
        if headers.get("expect", "100-continue").lower() != "100-continue":
            return make_refusal(417, "expect", "only 100-continue is known")
        parsed_target = read_target(target, self.hosts)
        repo = next((r for r in self.repositories if parsed_target.path.startswith(r.prefix)), None)
        path = parsed_target.path[len(repo.prefix) :] if repo else ""
        if repo is None or not path:
            return make_refusal(404, "not-found", "no repository has this path")
        if repo.kind.is_index(path):
            return self._answer_index(repo, path, method, headers, client)
        if repo.kind.is_listing(path):
            return self._answer_listing(repo, path, method, headers, client)
        return self._answer_file(repo, path, method, headers, client, count_unsent_bytes)

    # Indexes

    def _make_file_request(self, repo: Repository, path: str, client: str) -> FileRequest:
        return FileRequest(object_key(repo.name, path), repo.class_name, repo.group, client)

    def read_whole(
        self, repo: Repository, path: str, client: str, digest: str = ""
    ) -> tuple[bytes, Assembly] | None:
        """Read a complete file whose parts all have one tag; return its bytes and the assembly.

        Returns None if the file does not exist. Raises BrokenBodyError if the bytes do not match `digest`,
        where one is given, or if the tag changed during each of three reads, and InvalidIndexError if the
        file is larger than `index_mb` allows.
        """
        file_request, tag = self._make_file_request(repo, path, client), ""
        for _ in range(3):
            assembly, body_chunks, number = Assembly(MAX_PART_BYTES, digest, tag=tag), list[bytes](), 0
            try:
                while not assembly.is_complete:
                    part = self.fetcher.fetch_with_repeats(file_request, number, assembly.has_same_tag)
                    if part.tag == ABSENT_TAG:
                        return None
                    if part.tag != (assembly.tag or part.tag):
                        raise TagChangedError(part.tag)
                    body_chunks += assembly.add_part(number, part)
                    number += 1
                    if number * MAX_PART_BYTES > repo.index_bytes:
                        raise InvalidIndexError(
                            f"{path}: over {repo.index_bytes} bytes, which is what index_mb allows"
                        )
            except TagChangedError as changed:
                tag = changed.tag
                continue
            self.verified_bodies.put(
                file_request.key, assembly.tag, assembly.hasher.hexdigest(), assembly.size
            )
            return b"".join(body_chunks), assembly
        raise BrokenBodyError("two-releases")

    def _refresh_index(self, repo: Repository, path: str, client: str) -> IndexHistory | None:
        """Read the current index and its nested indexes, and record them; None if there is no index."""
        result = self.read_whole(repo, path, client)
        if result is None:
            return None
        body, assembly = result
        history, digest = repo.get_history(path), assembly.hasher.hexdigest()
        if digest in history.generations:
            history.record_index(digest, history.generations[digest].files, assembly.since_ms, body)
        else:
            parsed_index = self._read_nested(repo, path, repo.kind.parse(path, body), client)
            history.record_index(digest, parsed_index.files, assembly.since_ms, body, parsed_index.optional)
            for name in parsed_index.files:
                repo.indexes_by_path.setdefault(name, set()).add(path)
        self._check_files(repo, history, client)
        return history

    def _read_nested(
        self, repo: Repository, path: str, parsed_index: ParsedIndex, client: str
    ) -> ParsedIndex:
        """Read the nested indexes, verify each against its digest, and return the index with their files."""
        files = dict(parsed_index.files)
        for name in parsed_index.nested:
            result = self.read_whole(repo, name, client, parsed_index.files[name].digest)
            if result is None:
                raise BrokenBodyError("index-before-its-files")
            files |= repo.kind.parse(name, result[0]).files
        return ParsedIndex(files, parsed_index.nested, parsed_index.optional)

    def _check_files(self, repo: Repository, history: IndexHistory, client: str) -> None:
        """Check that the files that are new in the newest generation exist at the caches.

        The generation is served only once they do. Of each file only the first part is fetched. Files beyond
        the first MAX_FILES_CHECKED are assumed to exist.
        """
        generation = history.generation_to_check(now_ms())
        if generation is None:
            return
        file_request = FileRequest(0, repo.class_name, repo.group, client)
        file_request.budget.parts = len(generation.pending_paths)
        for path in sorted(generation.pending_paths)[MAX_FILES_CHECKED:]:
            history.mark_found(generation.digest, path)
        for path in sorted(generation.pending_paths):
            file_request.key = object_key(repo.name, path)
            part = self.fetcher.fetch(file_request, 0)
            named_file = generation.files[path]
            verified = self.verified_bodies.get(file_request.key, part.tag)
            if part.tag == ABSENT_TAG or not _could_match(
                part, named_file, verified.digest if verified else ""
            ):
                history.mark_missing(generation.digest, now_ms())
                return
            history.mark_found(generation.digest, path)

    def _answer_index(
        self, repo: Repository, path: str, method: str, headers: Mapping[str, str], client: str
    ) -> Reply:
        history = self._refresh_index(repo, path, client)
        if history is None:
            return make_refusal(404, "not-found", "there is no such index")
        key, now = object_key(repo.name, path), now_ms()
        generation = history.serve(client, now)
        purged_ms = self.purges.last_purge_ms(key, repo.group)
        if generation is None or (generation.since_ms <= purged_ms and now - purged_ms > PURGE_GRACE_MS):
            return make_refusal(503, "release-not-whole", "a release is being published; come back", 1.0)
        if generation.digest != history.newest_digest and now - purged_ms <= PURGE_GRACE_MS:
            logger.info("{}: serving the previous release because files of the newest one are missing", path)
        validators = Validators(generation.digest, int(generation.since_ms))
        return _answer_from_memory(
            repo.kind.content_type(path, generation.body), generation.body, validators, method, headers
        )

    def _answer_listing(
        self, repo: Repository, path: str, method: str, headers: Mapping[str, str], client: str
    ) -> Reply:
        result = self.read_whole(repo, path, client)
        if result is None:
            return make_refusal(404, "not-found", "there is no such list")
        body, assembly = result
        validators = Validators(assembly.hasher.hexdigest(), assembly.since_ms)
        return _answer_from_memory(repo.kind.content_type(path, body), body, validators, method, headers)

    # Files

    def _permitted_files(self, repo: Repository, path: str, client: str) -> list[NamedFile]:
        """Return the distinct versions of a file that the client may get, by the indexes that name it.

        Where no known index names the path, the indexes that its path suggests are read first.
        """
        if path not in repo.indexes_by_path:
            for index in repo.kind.index_paths_for(path):
                history = self._refresh_index(repo, index, client)
                if history:
                    history.serve(client, now_ms())
        named_files: list[NamedFile] = []
        for index in sorted(repo.indexes_by_path.get(path, ())):
            version = repo.index_histories[index].permitted_file(client, path, now_ms())
            if version and version not in named_files:
                named_files.append(version)
        return named_files

    def _answer_file(
        self,
        repo: Repository,
        path: str,
        method: str,
        headers: Mapping[str, str],
        client: str,
        count_unsent_bytes: Callable[[], int],
    ) -> Reply:
        permitted_files = self._permitted_files(repo, path, client)
        if not permitted_files:
            indexes = repo.indexes_by_path.get(path, set())
            if any(repo.index_histories[index].is_outdated(client, now_ms()) for index in indexes):
                return make_refusal(
                    404, "index-outdated", "your index is of an older release; ask for it again"
                )
            return make_refusal(404, "not-found", "no index that was given to you names this file")
        file_request = self._make_file_request(repo, path, client)
        first_part = self.fetcher.fetch_with_repeats(
            file_request, 0, lambda part: self._is_acceptable(file_request.key, part, permitted_files)
        )
        if first_part.tag == ABSENT_TAG:
            return make_refusal(404, "not-there", "the index names it, but it is not there")
        verified = self.verified_bodies.get(file_request.key, first_part.tag)
        named_file = next(
            (n for n in permitted_files if not verified or n.digest in ("", verified.digest)), None
        )
        if named_file is None:
            return make_refusal(503, "other-release", "a release is being published; come back", 1.0)
        digest = verified.digest if verified else named_file.digest
        validators = Validators(digest, first_part.since_ms, first_part.tag)
        content_type = repo.kind.content_type(path, b"")
        common_headers = [("Content-Type", content_type), ("Accept-Ranges", "bytes")]
        if digest:
            common_headers += [("ETag", validators.etag), ("Last-Modified", validators.last_modified)]
            condition_status = evaluate_conditions(method, headers, validators)
            if condition_status == 304:
                return Reply(304, common_headers, reason="not-modified")
            if condition_status == 412:
                return make_refusal(412, "precondition")
        is_range = digest and method == "GET" and "range" in headers and range_applies(headers, validators)
        if is_range and verified is None:
            verified = self._verify_file(file_request, first_part, named_file)
        size = verified.size if verified else named_file.size
        if is_range and verified:
            return self._answer_ranges(
                file_request,
                first_part.tag,
                verified.size,
                headers["range"],
                common_headers,
                count_unsent_bytes,
            )
        length = None if size < 0 else size
        if method == "HEAD":
            return Reply(200, common_headers, iter(()), length, "head")
        assembly = Assembly(MAX_PART_BYTES, digest, size)
        return Reply(
            200,
            common_headers,
            self._stream_body(file_request, first_part, assembly, count_unsent_bytes),
            length,
            "whole",
        )

    def _is_acceptable(self, key: int, part: Part, permitted_files: list[NamedFile]) -> bool:
        """Return whether a first part can belong to a permitted release; if not, the fetch is repeated."""
        verified = self.verified_bodies.get(key, part.tag)
        if part.tag == ABSENT_TAG:
            return False
        return any(
            _could_match(part, named_file, verified.digest if verified else "")
            for named_file in permitted_files
        )

    def _verify_file(
        self, file_request: FileRequest, first_part: Part, named_file: NamedFile
    ) -> VerifiedBody:
        """Read a complete file to verify its digest, without sending or keeping its bytes."""
        assembly = Assembly(MAX_PART_BYTES, named_file.digest, named_file.size)
        for _ in self._stream_body(file_request, first_part, assembly, lambda: 0):
            pass
        verified = self.verified_bodies.get(file_request.key, assembly.tag)
        assert verified
        return verified

    def _stream_body(
        self,
        file_request: FileRequest,
        first_part: Part,
        assembly: Assembly,
        count_unsent_bytes: Callable[[], int],
    ) -> Iterator[bytes]:
        """Yield a complete body as its parts arrive; raise BrokenBodyError if it cannot be completed."""
        yield from assembly.add_part(0, first_part)
        if not assembly.is_complete:
            part_limit = -(-assembly.size // MAX_PART_BYTES) if assembly.size >= 0 else 1 << 16
            part_count = part_limit if assembly.size >= 0 else -1
            parts = self.fetcher.fetch_in_order(
                file_request,
                iter(range(1, part_limit)),
                count_unsent_bytes,
                assembly.has_same_tag,
                part_count,
            )
            for number, part in parts:
                yield from assembly.add_part(number, part)
                if assembly.is_complete:
                    break
        if not assembly.is_complete:
            raise BrokenBodyError("cut-short")
        self.verified_bodies.put(file_request.key, assembly.tag, assembly.hasher.hexdigest(), assembly.size)

    def _answer_ranges(
        self,
        file_request: FileRequest,
        tag: str,
        size: int,
        header: str,
        common_headers: list[tuple[str, str]],
        count_unsent_bytes: Callable[[], int],
    ) -> Reply:
        try:
            spans = read_ranges(header, size)
        except UnsatisfiableRangeError:
            return make_refusal(
                416, "range", "no byte of this file is in that range", Content_Range=f"bytes */{size}"
            )
        if spans is None:
            spans = [Span(0, size)]
            return Reply(
                200,
                common_headers,
                self._stream_spans(file_request, tag, size, spans, count_unsent_bytes),
                size,
                "whole",
            )
        if len(spans) == 1:
            reply_headers = [*common_headers, ("Content-Range", spans[0].content_range(size))]
            return Reply(
                206,
                reply_headers,
                self._stream_spans(file_request, tag, size, spans, count_unsent_bytes),
                spans[0].size,
                "range",
            )
        boundary = hashlib.sha256(f"{file_request.key}{header}".encode()).hexdigest()[:24]
        content_type = next(value for name, value in common_headers if name == "Content-Type")
        part_headers = [
            f"\r\n--{boundary}\r\nContent-Type: {content_type}\r\n"
            f"Content-Range: {span.content_range(size)}\r\n\r\n".encode()
            for span in spans
        ]
        closing_boundary = f"\r\n--{boundary}--\r\n".encode()
        total_bytes = sum(
            len(part_header) + span.size for part_header, span in zip(part_headers, spans, strict=True)
        ) + len(closing_boundary)
        reply_headers = [("Content-Type", f"multipart/byteranges; boundary={boundary}")]
        reply_headers += [(name, value) for name, value in common_headers if name != "Content-Type"]

        def body() -> Iterator[bytes]:
            for part_header, span in zip(part_headers, spans, strict=True):
                yield part_header
                yield from self._stream_spans(file_request, tag, size, [span], count_unsent_bytes)
            yield closing_boundary

        return Reply(206, reply_headers, body(), total_bytes, "ranges")

    def _stream_spans(
        self,
        file_request: FileRequest,
        tag: str,
        size: int,
        spans: list[Span],
        count_unsent_bytes: Callable[[], int],
    ) -> Iterator[bytes]:
        """Yield the bytes of `spans` of a verified tag; raise BrokenBodyError if a part has another tag."""
        for span in spans:
            slices = {number: (begin, end) for number, begin, end in split_into_parts(span, MAX_PART_BYTES)}
            parts = self.fetcher.fetch_in_order(
                file_request, iter(slices), count_unsent_bytes, lambda part: part.tag == tag
            )
            for number, part in parts:
                begin, end = slices[number]
                if part.tag != tag or len(part.data) != min(MAX_PART_BYTES, size - number * MAX_PART_BYTES):
                    raise BrokenBodyError("two-releases")
                yield part.data[begin:end]


def _could_match(part: Part, named_file: NamedFile, verified_digest: str) -> bool:
    """Return whether a file's first part can belong to the file that an index names.

    `verified_digest` is the digest already established for the part's tag, "" if there is none. Without one,
    a digest can be compared only if the first part is the complete file.
    """
    if verified_digest:
        return named_file.digest in ("", verified_digest)
    if len(part.data) < MAX_PART_BYTES:
        has_named_size = named_file.size in (-1, len(part.data))
        return has_named_size and named_file.digest in ("", hashlib.sha256(part.data).hexdigest())
    return named_file.size < 0 or named_file.size >= MAX_PART_BYTES


def _answer_from_memory(
    content_type: str, body: bytes, validators: Validators, method: str, headers: Mapping[str, str]
) -> Reply:
    """Return the response for a body that is in memory: 200, 206, 304, 412 or 416."""
    common_headers = [
        ("Content-Type", content_type), ("ETag", validators.etag),
        ("Last-Modified", validators.last_modified), ("Accept-Ranges", "bytes"),
        ("Cache-Control", "no-cache"),
    ]  # fmt: skip
    condition_status = evaluate_conditions(method, headers, validators)
    if condition_status == 304:
        return Reply(304, common_headers, reason="not-modified")
    if condition_status == 412:
        return make_refusal(412, "precondition")
    if method == "GET" and "range" in headers and range_applies(headers, validators):
        try:
            spans = read_ranges(headers["range"], len(body))
        except UnsatisfiableRangeError:
            return make_refusal(416, "range", "outside", Content_Range=f"bytes */{len(body)}")
        if spans and len(spans) == 1:
            part = body[spans[0].first : spans[0].end]
            reply_headers = [*common_headers, ("Content-Range", spans[0].content_range(len(body)))]
            return Reply(206, reply_headers, iter((part,)), len(part), "range")
    return Reply(200, common_headers, iter((body,)) if method == "GET" else iter(()), len(body), "index")
