"""A scripted package repository, and clients that fetch an index and the files that it names.

Each publication of a path is a purge of its object, which gateways are told a little later; the index and
its files are published in any order, and caches may hold old bytes for some time. A client checks the files
by the digests in the index that it received. A complete body that does not match its digest breaks a rule,
even if a real client would have noticed.
"""

import asyncio
import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field

import h11

from hitchtiller.repo.fetch import ABSENT_TAG, MAX_PART_BYTES
from hitchtiller.repo.kinds.simple import Simple
from hitchtiller.repo.paths import object_key
from standins.truth import Purge, Truth, now_ms, tag_of

GROUP = 17


class RepoTruth(Truth):
    """The origin's paths and their versions; an object is a path, and all objects are in one group."""

    def __init__(self, name: str = "r") -> None:
        """Start with no path; `name` is the repository's name, from which object keys are computed."""
        super().__init__()
        self.name = name
        self.texts: dict[int, list[tuple[float, bytes | None]]] = {}

    def publish(self, path: str, data: bytes | None, announced_after_ms: float = 100.0) -> None:
        """Publish new bytes for a path, or remove the path if `data` is None."""
        key = object_key(self.name, path)
        purge = self.purge(key, -1, now_ms() + announced_after_ms)
        self.texts.setdefault(key, []).append((purge.at_ms, data))

    def group(self, key: int) -> int:
        """Return the one group of all objects."""
        return GROUP

    def purges_of(self, key: int) -> list[Purge]:
        """Return the purges of a path and of the group."""
        return self.by_key.get(key, []) + self.by_group.get(GROUP, [])

    def version(self, key: int, at_ms: float) -> int:
        """Return the version at a time; publications increase it by one, purges of the group do not."""
        return sum(at <= at_ms for at, _ in self.texts.get(key, ()))

    def size(self, key: int, part: int) -> int:
        """Return the most bytes that a part can have; real sizes are not disclosed."""
        return MAX_PART_BYTES

    def _published(self, key: int, version: int) -> bytes | None:
        return self.texts[key][version - 1][1] if version else None

    def body(self, key: int, part: int, version: int) -> bytes:
        """Return the bytes of a part, which are empty for a path that does not exist."""
        return (self._published(key, version) or b"")[part * MAX_PART_BYTES : (part + 1) * MAX_PART_BYTES]

    def tag(self, key: int, version: int) -> str:
        """Return the tag of a version, or the tag for a path that does not exist."""
        return ABSENT_TAG if self._published(key, version) is None else tag_of(key, version)


def file_bytes(name: str, release: int, size: int) -> bytes:
    """Return the bytes of a file in a release."""
    seed = hashlib.sha256(f"{name} {release}".encode()).digest()
    return (seed * (size // 32 + 1))[:size]


def page(files: dict[str, bytes]) -> bytes:
    """Return a project's index page in HTML, with the digests of its files."""
    rows = [
        f'<a href="../../files/{name}#sha256={hashlib.sha256(data).hexdigest()}">{name}</a><br/>'
        for name, data in files.items()
    ]
    head = '<!DOCTYPE html><html><head><meta name="pypi:repository-version" content="1.0"></head><body>'
    return (head + "\n".join(rows) + "</body></html>").encode()


@dataclass(slots=True)
class ScriptedRepository:
    """Publishes the releases of a project: each has the same paths with new bytes, and one more path."""

    truth: RepoTruth
    rng: random.Random
    names: tuple[str, ...] = ("demo-1.0-py3-none-any.whl", "demo-1.1-py3-none-any.whl", "demo-1.2.tar.gz")
    sizes: tuple[int, ...] = (20_000, 700_000, 250_000)
    release: int = 0
    files: dict[str, bytes] = field(default_factory=dict)

    async def publish(self, older_release: int = 0) -> None:
        """Publish the next release, or an older one again, with its paths in a random order."""
        self.release += 1
        number = older_release or self.release
        files = {n: file_bytes(n, number, s) for n, s in zip(self.names, self.sizes, strict=True)}
        if number > 1:
            extra = f"demo-2.{number}-py3-none-any.whl"
            files[extra] = file_bytes(extra, number, 5_000)
        self.files = files
        steps = [("simple/demo/", page(files)), *((f"files/{name}", data) for name, data in files.items())]
        order = self.rng.choice(("index first", "files first", "mixed"))
        if order == "files first":
            steps.reverse()
        elif order == "mixed":
            self.rng.shuffle(steps)
        for path, data in steps:
            self.truth.publish(path, data, self.rng.uniform(31.0, 310.0))
            await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        if self.rng.random() < 0.3:
            self.truth.purge(None, GROUP, now_ms() + self.rng.uniform(31.0, 310.0))


@dataclass(slots=True)
class HttpAnswer:
    """One answer; `whole` is whether its body was complete by the rules of HTTP."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


async def get(
    port: int,
    path: str,
    headers: dict[str, str] | None = None,
    source: str = "127.0.0.1",
    cut: int = 0,
    method: str = "GET",
) -> HttpAnswer:
    """Send one request on a new connection; with `cut`, close it after that many bytes of the body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
    http = h11.Connection(h11.CLIENT)
    fields = [("Host", "127.0.0.1"), ("Connection", "close"), *(headers or {}).items()]
    got = HttpAnswer(0, {}, b"", False)
    pieces: list[bytes] = []
    try:
        data = http.send(h11.Request(method=method, target=path, headers=fields))
        writer.write((data or b"") + (http.send(h11.EndOfMessage()) or b""))
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await asyncio.wait_for(reader.read(65_536), 20.0))
            elif isinstance(event, h11.Response):
                got.status = event.status_code
                got.headers = {k.decode().lower(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                if cut and sum(map(len, pieces)) >= cut:
                    break
            elif isinstance(event, h11.EndOfMessage):
                got.whole = True
                break
            else:
                break
    except (h11.RemoteProtocolError, ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
    got.body = b"".join(pieces)
    return got


async def fetch_set(
    port: int, source: str, rng: random.Random, counts: Counter[str], wrong: list[str]
) -> bool:
    """Fetch an index and its files as a client does, and start again until all digests match.

    Returns False, with an entry in `wrong`, if that fails 60 times.
    """
    kind, path = Simple(), "/simple/simple/demo/"
    for _ in range(60):
        index = await get(port, path, source=source)
        counts[f"index {index.status}"] += 1
        if index.status != 200 or not index.whole:
            await asyncio.sleep(rng.uniform(0.1, 0.4))
            continue
        named = kind.parse("simple/demo/", index.body).files
        is_consistent = True
        for name, file in named.items():
            body, tag = b"", ""
            for _ in range(6):
                range_headers = {"Range": f"bytes={len(body)}-", "If-Range": tag} if body and tag else {}
                cut = rng.randrange(1, 600_000) if rng.random() < 0.1 else 0
                got = await get(port, f"/simple/{name}", range_headers, source, cut)
                counts[f"file {got.status}" + ("" if got.whole else " broken off")] += 1
                if got.status == 206:
                    body += got.body
                elif got.status == 200:
                    body = got.body
                tag = got.headers.get("etag", "")
                if got.whole and got.status in (200, 206):
                    break
                if got.status in (404, 416):
                    break
                if got.status == 503:
                    await asyncio.sleep(rng.uniform(0.1, 0.4))
            digest = hashlib.sha256(body).hexdigest()
            if got.whole and got.status in (200, 206) and digest != file.digest:
                wrong.append(f"{name}: a whole body that does not match the digest in the served index")
            if digest != file.digest:
                is_consistent = False
                break
        if is_consistent:
            counts["sets"] += 1
            return True
        counts["sets begun anew"] += 1
    wrong.append(f"{source}: never received a consistent set of files")
    return False
