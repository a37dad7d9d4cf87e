"""The lines about effects: any name of the settings goes through, and older versions can live beside."""

import pytest

from hitchtiller.ops.effect_lines import ToldId, ToldKey, id_line, key_line, read_line
from hitchtiller.routing.effects import UnconfirmedEffect
from hitchtiller.sched import from_monotonic_ms

NAMES = [
    "north", "mérida", "pago rápido", "a b c", " ", "", "two\nlines", "cr\rlf\r\n", "'\"\\", "{}",
    "a\u2028b\x85c", "\x00\x1f\x7f", "東京", "😀", "\ud800", "x" * 5_000, "key a b 1.0 c 2", "id 00", "1.0 2",
]  # fmt: skip
SENT_MS = from_monotonic_ms(1_234.5)


def effect(zone: str = "north") -> UnconfirmedEffect:
    return UnconfirmedEffect(SENT_MS, zone, 7, attempts=1)


@pytest.mark.parametrize("name", NAMES)
def test_any_class_and_zone_of_the_settings_goes_through_one_line(name: str) -> None:
    """A name outside of ASCII raised UnicodeEncodeError, one with a space was skipped by the reader."""
    line = key_line(name, "k1", effect(name))
    assert line.count(b"\n") == 1 and line.endswith(b"\n") and line.isascii()
    assert read_line(line[:-1]) == ToldKey(name, "k1", effect(name))


def test_plain_names_are_written_as_older_versions_read_them() -> None:
    line = key_line("pay", "k1", effect())
    assert line.decode("ascii").split(" ") == ["key", "pay", "k1", "1234.5", "north", "7\n"]
    assert id_line("a" * 16) == b"id " + b"a" * 16 + b"\n"
    assert read_line(b"id " + b"a" * 16) == ToldId("a" * 16)


def test_other_names_are_no_line_that_an_older_version_takes_for_another() -> None:
    """Older versions know the words `id ID` and `key` with five more, parted by single spaces."""
    for name in NAMES[1:]:
        for text in key_line(name, "k1", effect(name)).decode("ascii").splitlines():
            assert text.startswith("{") or text.split(" ")[0] == "key"


def test_lines_of_older_versions_with_spaces_in_their_names_are_read() -> None:
    told = read_line(b"key pago normal k1 1234.5 zona norte 7")
    assert told == ToldKey("pago normal", "k1", effect("zona norte"))


@pytest.mark.parametrize(
    "line",
    [
        b"", b"id", b"id zz", b"id \xff", b"key", b"key pay k9 soon z1 0", b"key pay k9 1.0.0 z1 0",
        b"key pay k9 1e999 z1 0", b"key pay k9 1.0 z1 x", b"\xff", b"{", b"{}", b"[1]", b"{\xff}",
        b'{"class": 1, "key": "k", "first_sent_ms": 1, "zone": "z", "cell": 0}',
        b'{"class": "c", "key": "k", "first_sent_ms": "1", "zone": "z", "cell": 0}',
        b'{"class": "c", "key": "k", "first_sent_ms": NaN, "zone": "z", "cell": 0}',
        b'{"class": "c", "key": "k", "first_sent_ms": 1, "zone": "z", "cell": true}',
    ],
)  # fmt: skip
def test_a_line_that_can_not_be_read_is_skipped(line: bytes) -> None:
    assert read_line(line) is None
