"""Tests of the index parsers: the files that an index names, and the errors for malformed indexes."""

import contextlib
import gzip
import hashlib
import json
import lzma

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller.repo.kinds import InvalidIndexError, Kind, make_kind

A, B = "a" * 64, "b" * 64
PAGE = "simple/demo/"
SIMPLE, DEBIAN = make_kind("simple"), make_kind("debian")


def as_json(**changes: object) -> bytes:
    file = {"filename": "demo-1.whl", "url": "../../files/demo-1.whl", "hashes": {"sha256": A}, "size": 5}
    page: dict[str, object] = {
        "meta": {"api-version": "1.1"},
        "name": "demo",
        "files": [file | changes.pop("file", {})],
    }  # type: ignore[dict-item]
    return json.dumps(page | changes).encode()


def html(*rows: str, version: str = "1.0") -> bytes:
    meta = f'<meta name="pypi:repository-version" content="{version}">'
    return f"<!DOCTYPE html><html><head>{meta}</head><body>\n{chr(10).join(rows)}\n</body></html>".encode()


def anchor(url: str = "../../files/demo-1.whl", digest: str = A, more: str = "") -> str:
    return f'<a href="{url}#sha256={digest}" {more}>x</a>'


def test_the_simple_index_names_the_same_files_in_html_and_json() -> None:
    more = f'data-core-metadata="sha256={B}" data-requires-python="&gt;=3.8"'
    by_html = SIMPLE.parse(PAGE, html(anchor(more=more))).files
    by_json = SIMPLE.parse(PAGE, as_json(file={"core-metadata": {"sha256": B}})).files
    assert by_html.keys() == by_json.keys() == {"files/demo-1.whl", "files/demo-1.whl.metadata"}
    assert by_html["files/demo-1.whl"].digest == A and by_json["files/demo-1.whl"].size == 5
    assert by_json["files/demo-1.whl.metadata"].digest == B
    assert not SIMPLE.parse(PAGE, html('<a href="https://elsewhere.example/x.whl">x</a>')).files
    assert SIMPLE.parse(PAGE, html('<a href="/files/x.whl#md5=abc">x</a>')).files["files/x.whl"].digest == ""
    assert SIMPLE.content_type(PAGE, as_json()).endswith("+json")


def test_index_paths_follow_from_the_path_of_a_file() -> None:
    assert SIMPLE.index_paths_for("files/Demo_Thing-1.0-py3-none-any.whl") == ["simple/demo-thing/"]
    assert (
        SIMPLE.index_paths_for("files/demo-1.0.tar.gz") == ["simple/demo/"]
        and SIMPLE.index_paths_for("files/x") == []
    )
    assert SIMPLE.is_index(PAGE) and SIMPLE.is_listing("simple/") and not SIMPLE.is_index("files/x")
    assert "dists/stable/InRelease" in DEBIAN.index_paths_for("dists/stable/main/binary-amd64/Packages")


RELEASE = f"Origin: x\nAcquire-By-Hash: yes\nSHA256:\n {A} 100 main/Packages\n {B} 50 main/Packages.gz\n"
STANZA = f"Package: x\nFilename: pool/x.deb\nSize: 7\nSHA256: {A}\nDescription: y\n more\n .\n"


def test_a_release_names_packages_files_which_name_the_pool() -> None:
    signed = (
        "-----BEGIN PGP SIGNED MESSAGE-----\nHash: SHA256\n\n"
        + RELEASE
        + "-----BEGIN PGP SIGNATURE-----\nx\n"
    )
    for text in (RELEASE, signed):
        parsed = DEBIAN.parse("dists/s/InRelease", text.encode())
        assert parsed.nested == ("dists/s/main/Packages.gz",)
        assert parsed.files[f"dists/s/main/by-hash/SHA256/{B}"].digest == B
        assert (
            "dists/s/main/Packages" in parsed.optional and "dists/s/main/Packages.gz" not in parsed.optional
        )
    raw = (STANZA + "\n" + STANZA.replace("pool/x", "./pool/z")).encode()
    for suffix, data in (("", raw), (".gz", gzip.compress(raw)), (".xz", lzma.compress(raw))):
        files = DEBIAN.parse(f"dists/s/main/Packages{suffix}", data).files
        assert files.keys() == {"pool/x.deb", "pool/z.deb"} and files["pool/x.deb"].size == 7


RELEASES = [
    ("", "0 stanzas"),
    ("\n\n", "0 stanzas"),
    (RELEASE + "\n" + RELEASE, "2 stanzas"),
    ("Origin: x\n", "no SHA256"),
    ("SHA256:\n zz 1 x\n", "not DIGEST SIZE NAME"),
    (f"SHA256:\n {A} x y\n", "not DIGEST"),
    (f"SHA256:\n {A} 1\n", "not DIGEST"),
    (f"SHA256:\n {A} 1 ../../x\n", "does not name"),
    (f"SHA256:\n {A} 1 a/../../../x\n", "does not name"),
    (f"SHA256:\n {A} -1 x\n", "not DIGEST"),
    (f"SHA256:\n {A} 1 a//b\n", "does not name"),
    (f"SHA256:\n {A} 1 a\\b\n", "does not name"),
    (" x\n", ":1: a continuation"),
    ("no colon\n", ":1: 'no colon' is not NAME: VALUE"),
    ("A: 1\nA: 2\n", ":2: field 'A'"),
    ("A b: 1\n", "is not NAME"),
    (": x\n", "is not NAME"),
    ("-----BEGIN PGP SIGNED MESSAGE-----\nx", "cut short"),
    ("-----BEGIN PGP SIGNED MESSAGE-----\n\n" + RELEASE, "cut short"),
    ("\ufeffSHA256:\n", "no SHA256"),
]
PACKAGES = [
    ("Package: x\n", ":1: stanza without filename"),
    ("Filename: x\n", "without size"),
    ("Filename: x\nSize: 1\n", "without sha256"),
    (STANZA.replace("Size: 7", "Size: x"), "malformed"),
    (STANZA.replace(A, "abc"), "malformed"),
    (STANZA.replace("pool/x.deb", "/etc/passwd"), "does not name"),
    (STANZA.replace("pool/x.deb", "../x"), "does not name"),
    (STANZA.replace("pool/x.deb", "pool/../../x"), "does not name"),
    (STANZA.replace("pool/x.deb", "pool\\x"), "does not name"),
    (STANZA + "\n" + STANZA.replace(A, B), "twice with different digests"),
    ("\n\n" + STANZA.replace("Size: 7\n", ""), ":3:"),
    (STANZA + "Size: 8\n", "a second time"),
    (STANZA.replace("Package: x", " Package"), "a continuation"),
    (STANZA.replace("pool/x.deb", "pool//x.deb"), "does not name"),
    (STANZA.replace("Size: 7", "Size: -7"), "malformed"),
    (STANZA.replace("pool/x.deb", "pool/./x.deb"), "does not name"),
    (STANZA.replace("Size: 7", "Size:"), "malformed"),
    (STANZA.replace("pool/x.deb", ""), "does not name"),
    (STANZA.replace("pool/x.deb", "pool/x.deb/"), "does not name"),
]
PAGES = [
    (b"", "neither"),
    (b"plain text", "neither"),
    (b"\xff\xfe", "not UTF-8"),
    (b"{", "simple/demo/"),
    (b"{}", "meta"),
    (b"[1]", "neither"),
    (as_json(meta={}), "api-version"),
    (as_json(meta={"api-version": "2.0"}), "1.x is read"),
    (as_json(meta={"api-version": "one"}), "1.x is read"),
    (as_json(meta={"api-version": 1}), "api-version"),
    (as_json(name="other"), "the page of 'other'"),
    (as_json(files={}), "files"),
    (as_json(files=[1]), "files"),
    (as_json(files=None), "files"),
    (as_json(file={"hashes": {"sha256": "zz"}}), "file 1 ('demo-1.whl'): sha256"),
    (as_json(file={"hashes": []}), "hashes"),
    (as_json(file={"url": ""}), "no url"),
    (as_json(file={"url": 5}), "url"),
    (as_json(file={"size": -5}), "size below 0"),
    (as_json(file={"size": "5"}), "size"),
    (as_json(file={"filename": 1}), "filename"),
    (as_json(file={"url": "../../.."}), "does not name"),
    (as_json(file={"url": "/a/%2e%2e/%2e%2e/x"}), "does not name"),
    (as_json(file={"url": "/a%5cb"}), "does not name"),
    (as_json(file={"url": "/a%00b"}), "does not name"),
    (as_json(file={"url": "http://[x/"}), "url"),
    (as_json(file={"core-metadata": {"sha256": "x"}}), "sha256"),
    (as_json(file={"core-metadata": 7}), "core-metadata"),
    (b'{"meta":' * 5000, "simple/demo/"),
    (html(version="2.0"), "1.x is read"),
    (html(version="x"), "1.x is read"),
    (html(anchor(digest="12")), ":2: sha256"),
    (html(anchor(), anchor(digest=B)), ":3: 'files/demo-1.whl' is named twice"),
    (html(anchor(url="../../..")), ":2:"),
    (html(anchor(url="/a//b")), "does not name"),
    (html(anchor(url="http://[x/y")), "url"),
    (html(anchor(more='data-core-metadata="sha256=zz"')), "sha256"),
    (html(anchor(url="/%2e%2e/x")), "does not name"),
    (html(anchor(url="/a%5c..%5cb")), "does not name"),
    (html(anchor(url=" ")), "no url"),
]
UNPACKED = [
    (".gz", b"no gzip", "can't be unpacked"),
    (".gz", gzip.compress(b"x" * 5000)[:-12], "cut short"),
    (".xz", b"no xz at all", "unpacked"),
    (".xz", lzma.compress(b"x" * 5000)[:40], "cut short"),
    ("", b"\xff", "not UTF-8"),
]


def assert_rejected(kind: Kind, path: str, body: bytes, message: str) -> None:
    with pytest.raises(InvalidIndexError) as error:
        kind.parse(path, body)
    assert message in str(error.value) and path.split(":")[0] in str(error.value)


@pytest.mark.parametrize("text, message", RELEASES)
def test_a_malformed_release_is_rejected_with_its_reason(text: str, message: str) -> None:
    assert_rejected(DEBIAN, "dists/s/Release", text.encode(), message)


@pytest.mark.parametrize("text, message", PACKAGES)
def test_a_malformed_packages_file_is_rejected_with_its_line(text: str, message: str) -> None:
    assert_rejected(DEBIAN, "dists/s/main/Packages", text.encode(), message)


@pytest.mark.parametrize("suffix, body, message", UNPACKED)
def test_a_packages_file_that_cannot_be_unpacked_is_rejected(suffix: str, body: bytes, message: str) -> None:
    assert_rejected(DEBIAN, f"dists/s/main/Packages{suffix}", body, message)


@pytest.mark.parametrize("body, message", PAGES)
def test_a_malformed_page_is_rejected_with_its_reason(body: bytes, message: str) -> None:
    assert_rejected(SIMPLE, PAGE, body, message)


def test_decompression_bombs_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("hitchtiller.repo.kinds.debian.MAX_UNPACKED_BYTES", 10_000)
    assert_rejected(DEBIAN, "dists/s/main/Packages.gz", gzip.compress(b"x" * 1_000_000), "over 10000 bytes")
    assert_rejected(DEBIAN, "dists/s/main/Packages.xz", lzma.compress(b"x" * 1_000_000), "over 10000 bytes")


@given(st.binary(max_size=400), st.sampled_from(["Packages", "Packages.gz", "Release"]))
def test_arbitrary_bytes_raise_nothing_but_bad_index(body: bytes, name: str) -> None:
    for kind, path in ((SIMPLE, PAGE), (DEBIAN, f"dists/s/{name}")):
        with contextlib.suppress(InvalidIndexError):
            kind.parse(path, body)


def test_the_digest_of_an_empty_file_is_known() -> None:
    assert hashlib.sha256(b"").hexdigest().startswith("e3b0c442")
