"""The Python simple index, HTML (1.0) and JSON (1.x), as the packaging specifications describe it.

A project's page `simple/NAME/` is a root; `simple/` lists projects and names no files. Files carry `#sha256=`
fragments (HTML) or `hashes` (JSON); the metadata file beside one is named by `data-core-metadata` or
`core-metadata`.
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
from hitchtiller.repo.kinds import BadIndex, Parsed

ROOT = re.compile(r"simple/([^/]+)/(index\.(html|json))?\Z")
LISTING = re.compile(r"simple/(index\.(html|json))?\Z")
SHA256 = re.compile(r"[0-9a-f]{64}\Z")
MOST_FILES = 100_000
BASE = "http://here.invalid/"


class _Page(HTMLParser):
    """Collects the anchors of a page with their lines."""

    def __init__(self) -> None:
        super().__init__(convert_charrefs=True)
        self.anchors: list[tuple[int, dict[str, str]]] = []
        self.version = ""
        self.tags = 0

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        """Take a tag."""
        self.tags += 1
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
    """The kind `simple`."""

    def root(self, path: str) -> bool:
        """A project's page."""
        return bool(ROOT.match(path))

    def listing(self, path: str) -> bool:
        """The list of projects."""
        return bool(LISTING.match(path))

    def content_type(self, path: str, body: bytes) -> str:
        """Tell HTML and JSON apart by their first byte."""
        if not (self.root(path) or self.listing(path)):
            return "application/octet-stream"
        if body.lstrip()[:1] == b"{":
            return "application/vnd.pypi.simple.v1+json"
        return "text/html; charset=utf-8"

    def roots_for(self, path: str) -> list[str]:
        """A file's name begins with its project's."""
        name = path.rpartition("/")[2].removesuffix(".metadata")
        try:
            if name.endswith(".whl"):
                project: str = parse_wheel_filename(name)[0]
            else:
                project = parse_sdist_filename(name)[0]
        except (InvalidWheelFilename, InvalidSdistFilename):
            return []
        return [f"simple/{project}/"]

    def parse(self, path: str, body: bytes) -> Parsed:
        """Read a project's page in either form."""
        match = ROOT.match(path)
        if not match:
            raise BadIndex(f"{path} is no project's page")
        try:
            text = body.decode()
        except UnicodeDecodeError as error:
            raise BadIndex(f"{path}: byte {error.start} is not UTF-8") from None
        read = self._json if text.lstrip().startswith("{") else self._html
        return Parsed(read(path, match.group(1), text))

    def _json(self, path: str, project: str, text: str) -> dict[str, NamedFile]:
        try:
            page = msgspec.json.decode(text, type=_Project)
        except (msgspec.DecodeError, RecursionError) as error:
            raise BadIndex(f"{path}: {error}") from None
        self._version(path, page.meta.api_version)
        if canonicalize_name(page.name) != canonicalize_name(project):
            raise BadIndex(f"{path}: it is the page of {page.name[:60]!r}")
        files: dict[str, NamedFile] = {}
        for number, file in enumerate(page.files, 1):
            where = f"{path}: file {number} ({file.filename[:60]!r})"
            digest = file.hashes.get("sha256", "").lower()
            self._add(files, where, path, file.url, digest, file.size)
            if isinstance(file.core_metadata, dict):
                beside = file.core_metadata.get("sha256", "").lower()
                self._add(files, where, path, file.url.partition("#")[0] + ".metadata", beside, -1)
        return files

    def _html(self, path: str, project: str, text: str) -> dict[str, NamedFile]:
        page = _Page()
        page.feed(text)
        page.close()
        if not page.tags:
            raise BadIndex(f"{path}: neither HTML nor JSON")
        self._version(path, page.version or "1.0")
        files: dict[str, NamedFile] = {}
        for line, fields in page.anchors:
            where = f"{path}:{line}"
            url, _, fragment = fields["href"].strip().partition("#")
            kind, _, digest = fragment.partition("=")
            if kind and kind != "sha256":
                digest = ""  # an older hash: the file is named, its bytes can't be proven
            self._add(files, where, path, url, digest.lower(), -1)
            beside = fields.get("data-core-metadata", fields.get("data-dist-info-metadata", ""))
            if beside and beside != "false":
                self._add(files, where, path, url + ".metadata", beside.removeprefix("sha256=").lower(), -1)
        return files

    def _version(self, path: str, version: str) -> None:
        major, _, minor = version.partition(".")
        if not (major.isdecimal() and minor.isdecimal()) or int(major) != 1:
            raise BadIndex(f"{path}: repository version {version[:20]!r}; 1.x is read")

    def _add(
        self, files: dict[str, NamedFile], where: str, path: str, url: str, digest: str, size: int
    ) -> None:
        if digest == "true":
            digest = ""
        if digest and not SHA256.match(digest):
            raise BadIndex(f"{where}: sha256 {digest[:20]!r} is not 64 hexadecimal digits")
        if not url or size < -1:
            raise BadIndex(f"{where}: no url, or a size below 0")
        try:
            parts = urlsplit(urljoin(BASE + path, url))
        except ValueError as error:
            raise BadIndex(f"{where}: url {url[:60]!r}: {error}") from None
        if parts.netloc != "here.invalid":
            return  # on another host: clients fetch it there
        name = unquote(parts.path).lstrip("/")
        if not name or name != normpath(name) or name.startswith("..") or "\\" in name or "\0" in name:
            raise BadIndex(f"{where}: url {url[:60]!r} does not name a file of this repository")
        known = files.get(name)
        if known and known.digest != digest:
            raise BadIndex(f"{where}: {name[:60]!r} is named twice with different digests")
        files[name] = NamedFile(name, digest, size)
        if len(files) > MOST_FILES:
            raise BadIndex(f"{where}: over {MOST_FILES} files")
