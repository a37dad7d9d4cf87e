"""`hitchtiller repo check|mirror-plan|pull`: look at a repository by URL or folder as its clients do."""

import hashlib
import http.client
import json
import os
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

from hitchtiller.cli import show
from hitchtiller.repo.fetch import PART
from hitchtiller.repo.generations import NamedFile
from hitchtiller.repo.kinds import BadIndex, make

CHUNK = 65_536
AGAIN, PAUSE_S = 5, 1.0


class Unreachable(Exception):
    """Nothing can be read from there."""


class Away(Exception):
    """A file is not there, or not now; `status` is the answer's, 0 for none."""

    def __init__(self, status: int, text: str) -> None:
        """Keep the status."""
        super().__init__(text)
        self.status = status


class Folder:
    """A repository on this machine's disk."""

    def __init__(self, root: Path) -> None:
        """Take a folder."""
        self.root = root

    def read(self, path: str, start: int = 0, tag: str = "") -> tuple[Iterator[bytes], str, bool]:
        """Give a file's bytes from `start` on, its tag, and whether it does go on there."""
        file = self.root / path
        if not file.is_file():
            file = file / "index.html"
        try:
            opened = file.open("rb")
        except OSError:
            raise Away(404, f"{path} is not there") from None

        def pieces() -> Iterator[bytes]:
            with opened:
                opened.seek(start)
                while data := opened.read(CHUNK):
                    yield data

        return pieces(), "", bool(start)


class Site:
    """A repository behind HTTP/1.1."""

    def __init__(self, url: str) -> None:
        """Take a URL; Unreachable if it is none."""
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise Unreachable(f"{url!r} is no http:// address and no folder")
        self.host, self.port, self.base = parts.hostname, parts.port or 80, parts.path.rstrip("/") + "/"

    def read(self, path: str, start: int = 0, tag: str = "") -> tuple[Iterator[bytes], str, bool]:
        """Ask for a file from `start` on, as long as it is still the one of this tag."""
        connection = http.client.HTTPConnection(self.host, self.port, timeout=30)
        headers = {"Connection": "close"}
        if start and tag:
            headers |= {"Range": f"bytes={start}-", "If-Range": tag}
        try:
            connection.request("GET", self.base + quote(path), headers=headers)
            answer = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            raise Away(0, f"{self.host}:{self.port}: {error}") from None
        if answer.status not in (200, 206):
            raise Away(answer.status, f"{path}: {answer.status} {answer.reason}")

        def pieces() -> Iterator[bytes]:
            try:
                while data := answer.read(CHUNK):
                    yield data
            except (OSError, http.client.HTTPException) as error:
                raise Away(0, f"{path}: broke off: {error!r}") from None
            finally:
                connection.close()

        return pieces(), answer.getheader("ETag") or "", answer.status == 206


Reader = Folder | Site


def reader(place: str) -> Reader:
    """Take a URL or a folder."""
    return Folder(Path(place)) if Path(place).is_dir() else Site(place)


def whole(source: Reader, path: str) -> bytes:
    """Read a file whole, a few times again where it is not there now."""
    for attempt in range(AGAIN):
        try:
            return b"".join(source.read(path)[0])
        except Away as error:
            if error.status not in (0, 503, 504) or attempt == AGAIN - 1:
                raise
        time.sleep(PAUSE_S)
    raise AssertionError


def named_by(source: Reader, kind_name: str, root: str) -> dict[str, NamedFile]:
    """Read an index with what belongs to it."""
    kind = make(kind_name)
    parsed = kind.parse(root, whole(source, root))
    files = {path: named for path, named in parsed.files.items() if path not in parsed.optional}
    for path in parsed.nested:
        body = whole(source, path)
        if hashlib.sha256(body).hexdigest() != parsed.files[path].digest:
            raise BadIndex(f"{path}: not the bytes that {root} names")
        files |= kind.parse(path, body).files
    return files


def fetch(source: Reader, named: NamedFile, target: Path, tick: Callable[[int], None]) -> str:
    """Fetch one file, going on where it broke off.

    Gives "" or what is wrong. The file has its name only when whole.
    """
    part, tag_file = target.with_name(target.name + ".part"), target.with_name(target.name + ".tag")
    target.parent.mkdir(parents=True, exist_ok=True)
    told = ""
    for attempt in range(AGAIN):
        have = part.stat().st_size if part.exists() and tag_file.exists() else 0
        tag = tag_file.read_text() if have else ""
        try:
            pieces, fresh, goes_on = source.read(named.path, have, tag)
            tag_file.write_text(fresh)
            with part.open("ab" if goes_on and have else "wb") as out:
                for data in pieces:
                    out.write(data)
                    tick(len(data))
        except Away as error:
            told = str(error)
            if error.status not in (0, 503, 504):
                break
            time.sleep(PAUSE_S * (attempt > 0))
            continue
        with part.open("rb") as file:
            digest = hashlib.file_digest(file, "sha256").hexdigest()
        size = part.stat().st_size
        if named.digest in ("", digest) and named.size in (-1, size):
            os.replace(part, target)
            tag_file.unlink()
            return ""
        part.unlink()
        told = f"{named.path}: {size} bytes with digest {digest[:12]}; the index names {named.digest[:12]}"
    return told


def _index(place: str, kind: str, root: str) -> tuple[Reader, dict[str, NamedFile]] | str:
    try:
        source = reader(place)
        return source, named_by(source, kind, root)
    except (Unreachable, Away, BadIndex) as error:
        return str(error)


def check(place: str, kind: str, root: str, as_json: bool) -> int:
    """Read all that an index names; 1 if a file is missing or wrong, 2 if the index can't be read."""
    got = _index(place, kind, root)
    if isinstance(got, str):
        print(f"hitchtiller: {got}", file=sys.stderr)
        return 2
    source, files = got
    faults: list[dict[str, str]] = []
    total = 0
    with show.progress() as bar:
        task = bar.add_task("check", total=len(files))
        for path, named in sorted(files.items()):
            try:
                digest, size = hashlib.sha256(), 0
                for data in source.read(path)[0]:
                    digest.update(data)
                    size += len(data)
                total += size
                if named.digest not in ("", digest.hexdigest()) or named.size not in (-1, size):
                    faults.append({"file": path, "what": f"{size} bytes that are not those the index names"})
            except Away as error:
                faults.append({"file": path, "what": str(error)})
            bar.advance(task)
    result = {"index": root, "files": len(files), "bytes": total, "faults": faults}
    if as_json:
        show.as_json(result)
    else:
        show.pairs(place, {"index": root, "files": len(files), "bytes": total, "faults": len(faults)})
        for fault in faults:
            print(f"{root} names {fault['file']}: {fault['what']}")
    return 1 if faults else 0


def plan(place: str, kind: str, root: str, mb_per_s: float, stations: int, as_json: bool) -> int:
    """Tell what a release costs a link: bytes, parts, time; 2 if the index can't be read."""
    got = _index(place, kind, root)
    if isinstance(got, str):
        print(f"hitchtiller: {got}", file=sys.stderr)
        return 2
    source, files = got
    untold, sizes = 0, list[int]()
    for path, named in files.items():
        if named.size >= 0:
            sizes.append(named.size)
            continue
        try:
            sizes.append(sum(map(len, source.read(path)[0])))
        except Away:
            untold += 1
    total, parts = sum(sizes), sum(-(-max(1, size) // PART) for size in sizes)
    result: dict[str, Any] = {
        "files": len(files),
        "missing": untold,
        "bytes": total,
        "parts": parts,
        "seconds_a_station": round(total / (mb_per_s * 1e6), 1),
        "seconds_in_turn": round(stations * total / (mb_per_s * 1e6), 1),
        "largest": max(sizes, default=0),
    }
    show.as_json(result) if as_json else show.pairs(f"{place} over {mb_per_s:g} MB/s", result)
    return 0


def pull(place: str, kind: str, root: str, target: Path, as_json: bool) -> int:
    """Fetch a consistent set into a folder.

    What is there and right is kept. 1 if something is missing or wrong.
    """
    for attempt in range(AGAIN):
        got = _index(place, kind, root)
        if isinstance(got, str):
            print(f"hitchtiller: {got}", file=sys.stderr)
            return 2
        source, files = got
        faults, fetched = list[str](), 0
        with show.progress() as bar:
            task = bar.add_task("pull", total=len(files))
            for path, named in sorted(files.items()):
                file = target / path
                if not _right(file, named):
                    told = fetch(source, named, file, lambda size: None)
                    faults += [told] if told else []
                    fetched += not told
                bar.advance(task)
        if not faults:
            break
        print(f"attempt {attempt + 1}: {faults[0]}; the index is read again", file=sys.stderr)
        time.sleep(PAUSE_S)
    result = {"files": len(files), "fetched": fetched, "faults": faults}
    print(json.dumps(result)) if as_json else show.pairs(str(target), result | {"faults": len(faults)})
    return 1 if faults else 0


def _right(file: Path, named: NamedFile) -> bool:
    if not file.is_file() or not named.digest:
        return False
    with file.open("rb") as opened:
        return hashlib.file_digest(opened, "sha256").hexdigest() == named.digest
