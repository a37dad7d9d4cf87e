"""The Python simple repository API in HTML (1.0) and JSON (1.x), after the Python packaging specifications.

A project's page `simple/NAME/` is a top-level index; `simple/` lists the projects and names no files. The
digest of a file is in the `#sha256=` fragment of its URL (HTML) or in `hashes` (JSON). Its separate metadata
file is announced by `data-core-metadata` (HTML) or `core-metadata` (JSON).
"""

import re
from html.parser import HTMLParser
from posixpath import normpath
from urllib.parse import unquote, urljoin, urlsplit

import msgspec
from packaging.utils import (
    InvalidSdistFilename,
    InvalidWheelFilename,
    canonicalize_name,
    parse_sdist_filename,
    parse_wheel_filename,
)

from hitchtiller.repo.generations import NamedFile
from hitchtiller.repo.kinds import InvalidIndexError, ParsedIndex

INDEX_PATH = re.compile(r"simple/([^/]+)/(index\.(html|json))?\Z")
LISTING_PATH = re.compile(r"simple/(index\.(html|json))?\Z")
SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")
MAX_FILES = 100_000
BASE_URL = "http://here.invalid/"


class _PageParser(HTMLParser):
    """Collects the anchors of a page with their line numbers."""

    def __init__(self) -> None:
        super().__init__(convert_charrefs=True)
        self.anchors: list[tuple[int, dict[str, str]]] = []
        self.version = ""
        self.tag_count = 0

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Record an anchor or the repository version."""
        self.tag_count += 1
        fields = {name: value or "" for name, value in attrs}
        if tag == "a" and "href" in fields:
            self.anchors.append((self.getpos()[0], fields))
        elif tag == "meta" and fields.get("name") == "pypi:repository-version":
            self.version = fields.get("content", "")


class _File(msgspec.Struct):
    filename: str
    url: str
    hashes: dict[str, str]
    size: int = -1
    core_metadata: bool | dict[str, str] = msgspec.field(name="core-metadata", default=False)


class _Meta(msgspec.Struct):
    api_version: str = msgspec.field(name="api-version")


class _Project(msgspec.Struct):
    meta: _Meta
    name: str
    files: list[_File]


class Simple:
    """Repository kind `simple`."""

    def is_index(self, path: str) -> bool:
        """Return whether a path is a project's page."""
        return bool(INDEX_PATH.match(path))

    def is_listing(self, path: str) -> bool:
        """Return whether a path is the list of projects."""
        return bool(LISTING_PATH.match(path))

    def content_type(self, path: str, body: bytes) -> str:
        """Return the media type: HTML or JSON by the first byte of an index, binary data for a file."""
        if not (self.is_index(path) or self.is_listing(path)):
            return "application/octet-stream"
        if body.lstrip()[:1] == b"{":
            return "application/vnd.pypi.simple.v1+json"
        return "text/html; charset=utf-8"

    def index_paths_for(self, path: str) -> list[str]:
        """Return the page of the project that a file name belongs to; empty if the name is not valid."""
        name = path.rpartition("/")[2].removesuffix(".metadata")
        try:
            if name.endswith(".whl"):
                project: str = parse_wheel_filename(name)[0]
            else:
                project = parse_sdist_filename(name)[0]
        except (InvalidWheelFilename, InvalidSdistFilename):
            return []
        return [f"simple/{project}/"]

    def parse(self, path: str, body: bytes) -> ParsedIndex:
        """Parse a project's page in HTML or JSON."""
        path_match = INDEX_PATH.match(path)
        if not path_match:
            raise InvalidIndexError(f"{path} is no project's page")
        try:
            text = body.decode()
        except UnicodeDecodeError as error:
            raise InvalidIndexError(f"{path}: byte {error.start} is not UTF-8") from None
        parse_page = self._parse_json if text.lstrip().startswith("{") else self._parse_html
        return ParsedIndex(parse_page(path, path_match.group(1), text))

    def _parse_json(self, path: str, project: str, text: str) -> dict[str, NamedFile]:
        try:
            page = msgspec.json.decode(text, type=_Project)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidIndexError(f"{path}: {error}") from None
        self._check_version(path, page.meta.api_version)
        if canonicalize_name(page.name) != canonicalize_name(project):
            raise InvalidIndexError(f"{path}: it is the page of {page.name[:60]!r}")
        files: dict[str, NamedFile] = {}
        for number, file in enumerate(page.files, 1):
            where = f"{path}: file {number} ({file.filename[:60]!r})"
            digest = file.hashes.get("sha256", "").lower()
            self._add_file(files, where, path, file.url, digest, file.size)
            if isinstance(file.core_metadata, dict):
                metadata_digest = file.core_metadata.get("sha256", "").lower()
                self._add_file(
                    files, where, path, file.url.partition("#")[0] + ".metadata", metadata_digest, -1
                )
        return files

    def _parse_html(self, path: str, project: str, text: str) -> dict[str, NamedFile]:
        page = _PageParser()
        page.feed(text)
        page.close()
        if not page.tag_count:
            raise InvalidIndexError(f"{path}: neither HTML nor JSON")
        self._check_version(path, page.version or "1.0")
        files: dict[str, NamedFile] = {}
        for line, fields in page.anchors:
            where = f"{path}:{line}"
            url, _, fragment = fields["href"].strip().partition("#")
            hash_name, _, digest = fragment.partition("=")
            if hash_name and hash_name != "sha256":
                digest = ""  # other hashes are not checked: the file is served without a digest
            self._add_file(files, where, path, url, digest.lower(), -1)
            metadata_digest = fields.get("data-core-metadata", fields.get("data-dist-info-metadata", ""))
            if metadata_digest and metadata_digest != "false":
                self._add_file(
                    files, where, path, url + ".metadata", metadata_digest.removeprefix("sha256=").lower(), -1
                )
        return files

    def _check_version(self, path: str, version: str) -> None:
        major, _, minor = version.partition(".")
        if not (major.isdecimal() and minor.isdecimal()) or int(major) != 1:
            raise InvalidIndexError(f"{path}: repository version {version[:20]!r}; 1.x is read")

    def _add_file(
        self, files: dict[str, NamedFile], where: str, path: str, url: str, digest: str, size: int
    ) -> None:
        if digest == "true":
            digest = ""
        if digest and not SHA256_HEX.match(digest):
            raise InvalidIndexError(f"{where}: sha256 {digest[:20]!r} is not 64 hexadecimal digits")
        if not url or size < -1:
            raise InvalidIndexError(f"{where}: no url, or a size below 0")
        try:
            parts = urlsplit(urljoin(BASE_URL + path, url))
        except ValueError as error:
            raise InvalidIndexError(f"{where}: url {url[:60]!r}: {error}") from None
        if parts.netloc != "here.invalid":
            return  # on another host, from which clients fetch it directly
        name = unquote(parts.path).lstrip("/")
        if not name or name != normpath(name) or name.startswith("..") or "\\" in name or "\0" in name:
            raise InvalidIndexError(f"{where}: url {url[:60]!r} does not name a file of this repository")
        known = files.get(name)
        if known and known.digest != digest:
            raise InvalidIndexError(f"{where}: {name[:60]!r} is named twice with different digests")
        files[name] = NamedFile(name, digest, size)
        if len(files) > MAX_FILES:
            raise InvalidIndexError(f"{where}: over {MAX_FILES} files")
