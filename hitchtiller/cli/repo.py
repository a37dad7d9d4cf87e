"""`hitchtiller repo check|mirror-plan|pull`: read a package repository by URL or folder as its clients do.

The indexes, and the files that `pull` fetches, are requested up to MAX_ATTEMPTS times if the connection fails
or the status is 503 or 504; any other status is final.
"""

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
from hitchtiller.repo.fetch import MAX_PART_BYTES
from hitchtiller.repo.generations import NamedFile
from hitchtiller.repo.kinds import InvalidIndexError, make_kind

CHUNK_BYTES = 65_536
MAX_ATTEMPTS, RETRY_DELAY_S = 5, 1.0


class BadLocationError(Exception):
    """Raised for a location that is neither a folder nor an http:// URL."""


class FileUnavailableError(Exception):
    """Raised if a file is missing or can't be read now; `status` is the response's, 0 if there was none."""

    def __init__(self, status: int, text: str) -> None:
        """Make an error from the status of the response and a text for the user."""
        super().__init__(text)
        self.status = status


class FolderSource:
    """A repository in a local folder."""

    def __init__(self, root: Path) -> None:
        """Read the repository in the folder `root`."""
        self.root = root

    def read(self, path: str, start: int = 0, tag: str = "") -> tuple[Iterator[bytes], str, bool]:
        """Return a file's bytes from `start` on, its tag, and whether they do begin at `start`.

        A file in a folder has no tag. A path that is a folder is read as its `index.html`.
        """
        file = self.root / path
        if not file.is_file():
            file = file / "index.html"
        try:
            open_file = file.open("rb")
        except OSError:
            raise FileUnavailableError(404, f"{path} is not there") from None

        def chunks() -> Iterator[bytes]:
            with open_file:
                open_file.seek(start)
                while data := open_file.read(CHUNK_BYTES):
                    yield data

        return chunks(), "", bool(start)


class HttpSource:
    """A repository on an HTTP/1.1 server."""

    def __init__(self, url: str) -> None:
        """Read the repository at an http:// URL; BadLocationError for any other location."""
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise BadLocationError(f"{url!r} is neither an http:// URL nor a folder")
        self.host, self.port, self.base = parts.hostname, parts.port or 80, parts.path.rstrip("/") + "/"

    def read(self, path: str, start: int = 0, tag: str = "") -> tuple[Iterator[bytes], str, bool]:
        """Request a file and return its bytes, its tag, and whether the bytes begin at `start`.

        The server sends the rest from `start` on only if the file still has the given tag, else the whole
        file. FileUnavailableError if there is no response or its status is not 200 or 206.
        """
        connection = http.client.HTTPConnection(self.host, self.port, timeout=30)
        headers = {"Connection": "close"}
        if start and tag:
            headers |= {"Range": f"bytes={start}-", "If-Range": tag}
        try:
            connection.request("GET", self.base + quote(path), headers=headers)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            raise FileUnavailableError(0, f"{self.host}:{self.port}: {error}") from None
        if response.status not in (200, 206):
            raise FileUnavailableError(response.status, f"{path}: {response.status} {response.reason}")

        def chunks() -> Iterator[bytes]:
            try:
                while data := response.read(CHUNK_BYTES):
                    yield data
            except (OSError, http.client.HTTPException) as error:
                raise FileUnavailableError(0, f"{path}: connection lost: {error!r}") from None
            finally:
                connection.close()

        return chunks(), response.getheader("ETag") or "", response.status == 206


Source = FolderSource | HttpSource


def open_source(place: str) -> Source:
    """Return the source for a URL or a folder."""
    return FolderSource(Path(place)) if Path(place).is_dir() else HttpSource(place)


def read_all(source: Source, path: str) -> bytes:
    """Read a whole file, with up to MAX_ATTEMPTS tries if it is not available now."""
    for attempt in range(MAX_ATTEMPTS):
        try:
            return b"".join(source.read(path)[0])
        except FileUnavailableError as error:
            if error.status not in (0, 503, 504) or attempt == MAX_ATTEMPTS - 1:
                raise
        time.sleep(RETRY_DELAY_S)
    raise AssertionError


def read_index(source: Source, kind_name: str, root: str) -> dict[str, NamedFile]:
    """Read an index and the indexes that belong to it; return the files that they list, by path.

    InvalidIndexError if one is invalid or, for a nested one, has another digest than the first index gives.
    """
    kind = make_kind(kind_name)
    parsed = kind.parse(root, read_all(source, root))
    files = {path: expected for path, expected in parsed.files.items() if path not in parsed.optional}
    for path in parsed.nested:
        body = read_all(source, path)
        if hashlib.sha256(body).hexdigest() != parsed.files[path].digest:
            raise InvalidIndexError(f"{path}: not the bytes that {root} names")
        files |= kind.parse(path, body).files
    return files


def download(source: Source, expected: NamedFile, target: Path, on_bytes: Callable[[int], None]) -> str:
    """Download one file, resuming a partial download of the same version; return "" or what went wrong.

    The bytes go to TARGET.part, with their tag in TARGET.tag; the file gets its own name only once it is
    complete and has the size and digest that the index gives. `on_bytes` is called with the size of each
    piece.
    """
    part_file, tag_file = target.with_name(target.name + ".part"), target.with_name(target.name + ".tag")
    target.parent.mkdir(parents=True, exist_ok=True)
    problem = ""
    for attempt in range(MAX_ATTEMPTS):
        resume_from = part_file.stat().st_size if part_file.exists() and tag_file.exists() else 0
        tag = tag_file.read_text() if resume_from else ""
        try:
            chunks, new_tag, is_resumed = source.read(expected.path, resume_from, tag)
            tag_file.write_text(new_tag)
            with part_file.open("ab" if is_resumed and resume_from else "wb") as out:
                for data in chunks:
                    out.write(data)
                    on_bytes(len(data))
        except FileUnavailableError as error:
            problem = str(error)
            if error.status not in (0, 503, 504):
                break
            time.sleep(RETRY_DELAY_S * (attempt > 0))
            continue
        with part_file.open("rb") as file:
            digest = hashlib.file_digest(file, "sha256").hexdigest()
        size = part_file.stat().st_size
        if expected.digest in ("", digest) and expected.size in (-1, size):
            os.replace(part_file, target)
            tag_file.unlink()
            return ""
        part_file.unlink()
        problem = (
            f"{expected.path}: {size} bytes with digest {digest[:12]}; the index gives {expected.digest[:12]}"
        )
    return problem


def _load_index(place: str, kind: str, root: str) -> tuple[Source, dict[str, NamedFile]] | str:
    """Open a source and read its index; return both, or the text of the error."""
    try:
        source = open_source(place)
        return source, read_index(source, kind, root)
    except (BadLocationError, FileUnavailableError, InvalidIndexError) as error:
        return str(error)


def check(place: str, kind: str, root: str, as_json: bool) -> int:
    """Read all files that an index lists; return 1 if one is missing or wrong, 2 for an unreadable index."""
    loaded = _load_index(place, kind, root)
    if isinstance(loaded, str):
        print(f"hitchtiller: {loaded}", file=sys.stderr)
        return 2
    source, files = loaded
    faults: list[dict[str, str]] = []
    total = 0
    with show.progress_bar() as bar:
        task = bar.add_task("check", total=len(files))
        for path, expected in sorted(files.items()):
            try:
                digest, size = hashlib.sha256(), 0
                for data in source.read(path)[0]:
                    digest.update(data)
                    size += len(data)
                total += size
                if expected.digest not in ("", digest.hexdigest()) or expected.size not in (-1, size):
                    faults.append({"file": path, "what": f"{size} bytes that are not those the index names"})
            except FileUnavailableError as error:
                faults.append({"file": path, "what": str(error)})
            bar.advance(task)
    result = {"index": root, "files": len(files), "bytes": total, "faults": faults}
    if as_json:
        show.print_json(result)
    else:
        show.print_pairs(place, {"index": root, "files": len(files), "bytes": total, "faults": len(faults)})
        for fault in faults:
            print(f"{root} names {fault['file']}: {fault['what']}")
    return 1 if faults else 0


def plan(place: str, kind: str, root: str, mb_per_s: float, stations: int, as_json: bool) -> int:
    """Print the bytes and parts of a release and its time over a link; return 2 if the index can't be read.

    Files whose size the index does not give are read to count their bytes.
    """
    loaded = _load_index(place, kind, root)
    if isinstance(loaded, str):
        print(f"hitchtiller: {loaded}", file=sys.stderr)
        return 2
    source, files = loaded
    missing_count, sizes = 0, list[int]()
    for path, expected in files.items():
        if expected.size >= 0:
            sizes.append(expected.size)
            continue
        try:
            sizes.append(sum(map(len, source.read(path)[0])))
        except FileUnavailableError:
            missing_count += 1
    total, parts = sum(sizes), sum(-(-max(1, size) // MAX_PART_BYTES) for size in sizes)
    result: dict[str, Any] = {
        "files": len(files),
        "missing": missing_count,
        "bytes": total,
        "parts": parts,
        "seconds_a_station": round(total / (mb_per_s * 1e6), 1),
        "seconds_in_turn": round(stations * total / (mb_per_s * 1e6), 1),
        "largest": max(sizes, default=0),
    }
    show.print_json(result) if as_json else show.print_pairs(f"{place} over {mb_per_s:g} MB/s", result)
    return 0


def pull(place: str, kind: str, root: str, target: Path, as_json: bool) -> int:
    """Fetch a consistent set of files into a folder; files that are there and correct are kept.

    If a file fails, the index is read again, as a new release may have replaced the old one. Returns 1 if a
    file is still missing or wrong after MAX_ATTEMPTS, 2 if the index can't be read.
    """
    for attempt in range(MAX_ATTEMPTS):
        loaded = _load_index(place, kind, root)
        if isinstance(loaded, str):
            print(f"hitchtiller: {loaded}", file=sys.stderr)
            return 2
        source, files = loaded
        faults, fetched = list[str](), 0
        with show.progress_bar() as bar:
            task = bar.add_task("pull", total=len(files))
            for path, expected in sorted(files.items()):
                file = target / path
                if not _is_correct(file, expected):
                    problem = download(source, expected, file, lambda size: None)
                    faults += [problem] if problem else []
                    fetched += not problem
                bar.advance(task)
        if not faults:
            break
        print(f"attempt {attempt + 1}: {faults[0]}; reading the index again", file=sys.stderr)
        time.sleep(RETRY_DELAY_S)
    result = {"files": len(files), "fetched": fetched, "faults": faults}
    print(json.dumps(result)) if as_json else show.print_pairs(str(target), result | {"faults": len(faults)})
    return 1 if faults else 0


def _is_correct(file: Path, expected: NamedFile) -> bool:
    """Return whether a file is there with the digest that the index gives; False if the index gives none."""
    if not file.is_file() or not expected.digest:
        return False
    with file.open("rb") as open_file:
        return hashlib.file_digest(open_file, "sha256").hexdigest() == expected.digest
