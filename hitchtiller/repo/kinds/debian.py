"""Debian archives, after the Debian repository format: InRelease or Release, Packages, by-hash and the pool.

A suite's `dists/SUITE/InRelease` (or `Release`) is the top-level index. It names Packages files by SHA-256.
For each component and architecture one of them (plain, gz or xz) is read as a nested index, which names the
files of the pool. Signatures are served unchanged; verifying them is left to the client.
"""

import gzip
import lzma
import re
import zlib
from collections.abc import Iterator
from posixpath import dirname, normpath

from hitchtiller.repo.generations import NamedFile
from hitchtiller.repo.kinds import InvalidIndexError, ParsedIndex

INDEX_PATH = re.compile(r"dists/.+/(InRelease|Release)\Z")
PACKAGES_PATH = re.compile(r"dists/.+/Packages(\.gz|\.xz)?\Z")
SHA256_HEX = re.compile(r"[0-9a-f]{64}\Z")
MAX_UNPACKED_BYTES = 256_000_000  # of an unpacked Packages file; prevents decompression bombs
MAX_FILES = 500_000
SIGNED_BEGIN, SIGNATURE_BEGIN = "-----BEGIN PGP SIGNED MESSAGE-----", "-----BEGIN PGP SIGNATURE-----"


def _unpack(path: str, body: bytes) -> bytes:
    try:
        if path.endswith(".gz"):
            decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS)
            data = decompressor.decompress(body, MAX_UNPACKED_BYTES + 1)
            is_complete = decompressor.eof
        elif path.endswith(".xz"):
            xz_decompressor = lzma.LZMADecompressor(lzma.FORMAT_XZ, memlimit=128_000_000)
            data = xz_decompressor.decompress(body, MAX_UNPACKED_BYTES + 1)
            is_complete = xz_decompressor.eof
        else:
            return body
    except (zlib.error, lzma.LZMAError, gzip.BadGzipFile, EOFError) as error:
        raise InvalidIndexError(f"{path}: can't be unpacked: {error}") from None
    if len(data) > MAX_UNPACKED_BYTES:
        raise InvalidIndexError(f"{path}: over {MAX_UNPACKED_BYTES} bytes unpacked")
    if not is_complete:
        raise InvalidIndexError(f"{path}: cut short")
    return data


def _decode_text(path: str, body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise InvalidIndexError(f"{path}: byte {error.start} is not UTF-8") from None


def stanzas(path: str, text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield each stanza of a control file as its first line number and its fields by lower-case name."""
    fields: dict[str, str] = {}
    first_line, last_field = 1, ""
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            if fields:
                yield first_line, fields
            fields, last_field = {}, ""
            continue
        if not fields:
            first_line = number
        if line[0] in " \t":
            if not last_field:
                raise InvalidIndexError(f"{path}:{number}: a continuation before any field")
            fields[last_field] += "\n" + line.strip()
            continue
        name, separator, value = line.partition(":")
        if not separator or not name or " " in name:
            raise InvalidIndexError(f"{path}:{number}: {line[:40]!r} is not NAME: VALUE")
        last_field = name.lower()
        if last_field in fields:
            raise InvalidIndexError(f"{path}:{number}: field {name!r} a second time in this stanza")
        fields[last_field] = value.strip()
    if fields:
        yield first_line, fields


class Debian:
    """Repository kind `debian`."""

    def is_index(self, path: str) -> bool:
        """Return whether a path is a suite's InRelease or Release."""
        return bool(INDEX_PATH.match(path))

    def is_listing(self, path: str) -> bool:
        """Return whether a path is a detached signature.

        It is served unchanged: the client checks which Release it belongs to.
        """
        return path.startswith("dists/") and path.endswith("/Release.gpg")

    def content_type(self, path: str, body: bytes) -> str:
        """Return the text type for indexes and signatures, the type of binary data for all other files."""
        return (
            "text/plain; charset=utf-8"
            if self.is_index(path) or self.is_listing(path)
            else "application/octet-stream"
        )

    def index_paths_for(self, path: str) -> list[str]:
        """Return the Release files of the suite for a path below `dists/SUITE`.

        Any suite may name a file of the pool, so the list is empty for such a path.
        """
        words = path.split("/")
        if words[0] != "dists" or len(words) < 3:
            return []
        return [f"dists/{words[1]}/InRelease", f"dists/{words[1]}/Release"]

    def parse(self, path: str, body: bytes) -> ParsedIndex:
        """Parse a Release, or a Packages file in any compression."""
        if self.is_index(path):
            return self._parse_release(path, _decode_text(path, body))
        if PACKAGES_PATH.match(path):
            return ParsedIndex(self._parse_packages(path, _decode_text(path, _unpack(path, body))))
        raise InvalidIndexError(f"{path} is no index of an archive")

    def _parse_release(self, path: str, text: str) -> ParsedIndex:
        if text.startswith(SIGNED_BEGIN):
            head, separator, rest = text.partition("\n\n")
            signed, end, _ = rest.partition(SIGNATURE_BEGIN)
            if not separator or not end:
                raise InvalidIndexError(f"{path}: the signature's frame is cut short")
            text = re.sub(r"(?m)^- ", "", signed)
        all_stanzas = list(stanzas(path, text))
        if len(all_stanzas) != 1:
            raise InvalidIndexError(f"{path}: {len(all_stanzas)} stanzas; a Release has one")
        fields = all_stanzas[0][1]
        if "sha256" not in fields:
            raise InvalidIndexError(f"{path}: no SHA256 field")
        directory = dirname(path)
        by_hash = fields.get("acquire-by-hash", "no") == "yes"
        files: dict[str, NamedFile] = {}
        for line in fields["sha256"].splitlines():
            words = line.split()
            if not words:
                continue
            if len(words) != 3 or not SHA256_HEX.match(words[0]) or not words[1].isdecimal():
                raise InvalidIndexError(f"{path}: {line[:60]!r} is not DIGEST SIZE NAME")
            named = self._make_named_file(path, f"{directory}/{words[2]}", words[0], int(words[1]))
            files[named.path] = named
            if by_hash:
                by_hash_path = f"{dirname(named.path)}/by-hash/SHA256/{named.digest}"
                files[by_hash_path] = NamedFile(by_hash_path, named.digest, named.size)
        nested = self._choose_packages(files)
        return ParsedIndex(files, nested, frozenset(files) - frozenset(nested))

    def _choose_packages(self, files: dict[str, NamedFile]) -> tuple[str, ...]:
        """Return the smallest form of each Packages file that the Release names."""
        smallest: dict[str, str] = {}
        for name in files:
            if PACKAGES_PATH.match(name) and "/by-hash/" not in name:
                stem = name.removesuffix(".gz").removesuffix(".xz")
                if stem not in smallest or files[name].size < files[smallest[stem]].size:
                    smallest[stem] = name
        return tuple(sorted(smallest.values()))

    def _parse_packages(self, path: str, text: str) -> dict[str, NamedFile]:
        files: dict[str, NamedFile] = {}
        for line, fields in stanzas(path, text):
            missing = [name for name in ("filename", "size", "sha256") if name not in fields]
            if missing:
                raise InvalidIndexError(f"{path}:{line}: stanza without {missing[0]}")
            digest, size = fields["sha256"].lower(), fields["size"]
            if not SHA256_HEX.match(digest) or not size.isdecimal():
                raise InvalidIndexError(f"{path}:{line}: SHA256 or Size is malformed")
            named = self._make_named_file(
                f"{path}:{line}", fields["filename"].removeprefix("./"), digest, int(size)
            )
            known = files.get(named.path)
            if known and known != named:
                raise InvalidIndexError(
                    f"{path}:{line}: {named.path[:60]!r} is named twice with different digests"
                )
            files[named.path] = named
            if len(files) > MAX_FILES:
                raise InvalidIndexError(f"{path}:{line}: over {MAX_FILES} files")
        return files

    def _make_named_file(self, where: str, name: str, digest: str, size: int) -> NamedFile:
        if name != normpath(name) or name.startswith(("/", "..")) or "\\" in name or "\0" in name:
            raise InvalidIndexError(f"{where}: {name[:60]!r} does not name a file of this archive")
        return NamedFile(name, digest, size)
