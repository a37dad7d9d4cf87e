"""Fuzzes the parsers of the repository front with random and mutated bytes.

    python -m standins.fuzz --seconds 600

Any exception but the parsers' own ends the run with exit code 1. Hypothesis makes the inputs; each round has
its own seed, with which a finding can be repeated.
"""

import contextlib
import gzip
import lzma
import time
from collections.abc import Callable
from itertools import count

import click
import h11
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from hitchtiller.repo import conditions, ranges
from hitchtiller.repo.front import MAX_HEADER_BYTES
from hitchtiller.repo.kinds import InvalidIndexError, make_kind
from hitchtiller.repo.paths import InvalidTargetError, read_target

DIGEST = "a" * 64
SAMPLE_INPUTS = [
    b'<!DOCTYPE html><meta name="pypi:repository-version" content="1.0">'
    b'<a href="../../f/x-1.whl#sha256=' + DIGEST.encode() + b'">',
    b'{"meta":{"api-version":"1.1"},"name":"demo","files":'
    b'[{"filename":"x","url":"/x","hashes":{"sha256":"' + DIGEST.encode() + b'"}}]}',
    f"Origin: x\nSHA256:\n {DIGEST} 100 main/Packages\n".encode(),
    f"Package: x\nFilename: pool/x.deb\nSize: 7\nSHA256: {DIGEST}\n".encode(),
    b"-----BEGIN PGP SIGNED MESSAGE-----\nHash: x\n\nSHA256:\n-----BEGIN PGP SIGNATURE-----\n",
    gzip.compress(b"Package: x\n"),
    lzma.compress(b"Package: x\n"),
    b"GET /simple/x%41/..%2f HTTP/1.1\r\nHost: x\r\nRange: bytes=0-1,5-\r\nContent-Length: 5\r\n\r\n12345",
    b'bytes=0-5,-7,9-\0W/"a", "b", *Mon, 01 Jan 2001 00:00:00 GMT',
]  # fmt: skip


@st.composite
def mutated(draw: st.DrawFn) -> bytes:
    """Return a sample input with some parts deleted, inserted, replaced or repeated."""
    data = bytearray(draw(st.sampled_from(SAMPLE_INPUTS)))
    for _ in range(draw(st.integers(0, 6))):
        at = draw(st.integers(0, len(data)))
        size = draw(st.integers(0, 12))
        kind = draw(st.integers(0, 3))
        if kind == 0:
            del data[at : at + size]
        elif kind == 1:
            data[at:at] = draw(st.binary(max_size=12))
        elif kind == 2:
            data[at : at + size] = draw(st.binary(max_size=12))
        else:
            data[at:at] = data[at : at + size] * draw(st.integers(1, 40))
    return bytes(data)


def parse_everywhere(data: bytes) -> None:
    """Pass the bytes to every parser."""
    text = data.decode("latin-1")
    for kind, path in (
        ("simple", "simple/demo/"), ("debian", "dists/s/Release"), ("debian", "dists/s/main/Packages"),
        ("debian", "dists/s/main/Packages.gz"), ("debian", "dists/s/main/Packages.xz"),
    ):  # fmt: skip
        with contextlib.suppress(InvalidIndexError):
            make_kind(kind).parse(path, data)
    with contextlib.suppress(InvalidTargetError):
        path = read_target(data).path
        assert ".." not in path.split("/")
    with contextlib.suppress(ranges.UnsatisfiableRangeError):
        for span in ranges.read_ranges(text, 1000) or ():
            assert 0 <= span.first < span.end <= 1000
    known = conditions.Validators("d1", 1_700_000_000_000, "t")
    for name in ("if-match", "if-none-match", "if-modified-since", "if-unmodified-since", "if-range"):
        assert conditions.evaluate_conditions("GET", {name: text}, known) in (200, 304, 412)
        conditions.range_applies({name: text}, known)
    http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES)
    with contextlib.suppress(h11.RemoteProtocolError):
        http.receive_data(data)
        for _ in range(20):
            event = http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                break


def make_round(number: int, examples: int) -> Callable[[], None]:
    """Return one round as a function without arguments; `number` is its seed."""
    quiet = [HealthCheck.too_slow, HealthCheck.filter_too_much]

    @seed(number)
    @settings(max_examples=examples, deadline=None, database=None, suppress_health_check=quiet)
    @given(st.one_of(mutated(), st.binary(max_size=600)))
    def run(data: bytes) -> None:
        parse_everywhere(data)

    return run


@click.command()
@click.option("--seconds", default=600.0, show_default=True, type=click.FloatRange(0.1, 100_000.0))
@click.option("--first", default=1, show_default=True, help="The first round's seed.")
def main(seconds: float, first: int) -> None:
    """Fuzz the parsers."""
    until, done = time.monotonic() + seconds, 0
    for number in count(first):
        if time.monotonic() >= until:
            break
        try:
            make_round(number, 500)()
        except Exception as error:
            click.echo(f"found in round {number}: {error!r}")
            raise SystemExit(1) from error
        done += 1
        click.echo(f"\r{done} rounds of 500", nl=False, err=True)
    click.echo(f"{done} rounds of 500 inputs, nothing found")


if __name__ == "__main__":
    main()
