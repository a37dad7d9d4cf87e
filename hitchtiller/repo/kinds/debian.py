"""Debian archives as the repository format describes them: InRelease or Release, Packages, by-hash, the pool.

A suite's `dists/SUITE/InRelease` (or `Release`) is a root; it names Packages files by SHA-256, and of each
component and architecture one of them (plain, gz or xz) is read further: it names the files of the pool.
Signatures are passed on as they are; checking them is the client's.
"""

import gzip
import lzma
import re
import zlib
from collections.abc import Iterator
from posixpath import dirname, normpath

from hitchtiller.repo.generations import NamedFile
from hitchtiller.repo.kinds import BadIndex, Parsed

ROOT = re.compile(r"dists/.+/(InRelease|Release)\Z")
PACKAGES = re.compile(r"dists/.+/Packages(\.gz|\.xz)?\Z")
SHA256 = re.compile(r"[0-9a-f]{64}\Z")
MOST_BYTES = 256_000_000  # of a Packages file, unpacked: guards against a few bytes that become many
MOST_FILES = 500_000
BEGIN, END = "-----BEGIN PGP SIGNED MESSAGE-----", "-----BEGIN PGP SIGNATURE-----"


def _unpack(path: str, body: bytes) -> bytes:
    try:
        if path.endswith(".gz"):
            engine = zlib.decompressobj(16 + zlib.MAX_WBITS)
            data = engine.decompress(body, MOST_BYTES + 1)
            whole = engine.eof
        elif path.endswith(".xz"):
            opened = lzma.LZMADecompressor(lzma.FORMAT_XZ, memlimit=128_000_000)
            data = opened.decompress(body, MOST_BYTES + 1)
            whole = opened.eof
        else:
            return body
    except (zlib.error, lzma.LZMAError, gzip.BadGzipFile, EOFError) as error:
        raise BadIndex(f"{path}: can't be unpacked: {error}") from None
    if len(data) > MOST_BYTES:
        raise BadIndex(f"{path}: over {MOST_BYTES} bytes unpacked")
    if not whole:
        raise BadIndex(f"{path}: cut short")
    return data


def _text(path: str, body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise BadIndex(f"{path}: byte {error.start} is not UTF-8") from None


def stanzas(path: str, text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Give the stanzas of a control file: the line each begins in, and its fields by lower-case name."""
    fields: dict[str, str] = {}
    begun, last = 1, ""
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            if fields:
                yield begun, fields
            fields, last = {}, ""
            continue
        if not fields:
            begun = number
        if line[0] in " \t":
            if not last:
                raise BadIndex(f"{path}:{number}: a continuation before any field")
            fields[last] += "\n" + line.strip()
            continue
        name, sign, value = line.partition(":")
        if not sign or not name or " " in name:
            raise BadIndex(f"{path}:{number}: {line[:40]!r} is not NAME: VALUE")
        last = name.lower()
        if last in fields:
            raise BadIndex(f"{path}:{number}: field {name!r} a second time in this stanza")
        fields[last] = value.strip()
    if fields:
        yield begun, fields


class Debian:
    """The kind `debian`."""

    def root(self, path: str) -> bool:
        """A suite's InRelease or Release."""
        return bool(ROOT.match(path))

    def listing(self, path: str) -> bool:
        """Detached signatures go as they come: which Release they are of is the client's to check."""
        return path.startswith("dists/") and path.endswith("/Release.gpg")

    def content_type(self, path: str, body: bytes) -> str:
        """Text for what has no suffix, bytes for the rest."""
        return (
            "text/plain; charset=utf-8"
            if self.root(path) or self.listing(path)
            else "application/octet-stream"
        )

    def roots_for(self, path: str) -> list[str]:
        """Files below `dists/SUITE` are named by its Release; of the pool any suite may name one."""
        words = path.split("/")
        if words[0] != "dists" or len(words) < 3:
            return []
        return [f"dists/{words[1]}/InRelease", f"dists/{words[1]}/Release"]

    def parse(self, path: str, body: bytes) -> Parsed:
        """Read a Release, or a Packages file in any form."""
        if self.root(path):
            return self._release(path, _text(path, body))
        if PACKAGES.match(path):
            return Parsed(self._packages(path, _text(path, _unpack(path, body))))
        raise BadIndex(f"{path} is no index of an archive")

    def _release(self, path: str, text: str) -> Parsed:
        if text.startswith(BEGIN):
            head, sign, rest = text.partition("\n\n")
            signed, end, _ = rest.partition(END)
            if not sign or not end:
                raise BadIndex(f"{path}: the signature's frame is cut short")
            text = re.sub(r"(?m)^- ", "", signed)
        found = list(stanzas(path, text))
        if len(found) != 1:
            raise BadIndex(f"{path}: {len(found)} stanzas; a Release has one")
        fields = found[0][1]
        if "sha256" not in fields:
            raise BadIndex(f"{path}: no SHA256 field")
        folder = dirname(path)
        by_hash = fields.get("acquire-by-hash", "no") == "yes"
        files: dict[str, NamedFile] = {}
        for line in fields["sha256"].splitlines():
            words = line.split()
            if not words:
                continue
            if len(words) != 3 or not SHA256.match(words[0]) or not words[1].isdecimal():
                raise BadIndex(f"{path}: {line[:60]!r} is not DIGEST SIZE NAME")
            named = self._named(path, f"{folder}/{words[2]}", words[0], int(words[1]))
            files[named.path] = named
            if by_hash:
                beside = f"{dirname(named.path)}/by-hash/SHA256/{named.digest}"
                files[beside] = NamedFile(beside, named.digest, named.size)
        nested = self._nested(files)
        return Parsed(files, nested, frozenset(files) - frozenset(nested))

    def _nested(self, files: dict[str, NamedFile]) -> tuple[str, ...]:
        """Of each Packages file the smallest form that is there."""
        best: dict[str, str] = {}
        for name in files:
            if PACKAGES.match(name) and "/by-hash/" not in name:
                stem = name.removesuffix(".gz").removesuffix(".xz")
                if stem not in best or files[name].size < files[best[stem]].size:
                    best[stem] = name
        return tuple(sorted(best.values()))

    def _packages(self, path: str, text: str) -> dict[str, NamedFile]:
        files: dict[str, NamedFile] = {}
        for line, fields in stanzas(path, text):
            missing = [name for name in ("filename", "size", "sha256") if name not in fields]
            if missing:
                raise BadIndex(f"{path}:{line}: stanza without {missing[0]}")
            digest, size = fields["sha256"].lower(), fields["size"]
            if not SHA256.match(digest) or not size.isdecimal():
                raise BadIndex(f"{path}:{line}: SHA256 or Size is malformed")
            named = self._named(f"{path}:{line}", fields["filename"].removeprefix("./"), digest, int(size))
            known = files.get(named.path)
            if known and known != named:
                raise BadIndex(f"{path}:{line}: {named.path[:60]!r} is named twice with different digests")
            files[named.path] = named
            if len(files) > MOST_FILES:
                raise BadIndex(f"{path}:{line}: over {MOST_FILES} files")
        return files

    def _named(self, where: str, name: str, digest: str, size: int) -> NamedFile:
        if name != normpath(name) or name.startswith(("/", "..")) or "\\" in name or "\0" in name:
            raise BadIndex(f"{where}: {name[:60]!r} does not name a file of this archive")
        return NamedFile(name, digest, size)
