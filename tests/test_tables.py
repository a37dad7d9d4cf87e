"""The decisions' tables stay bounded, whatever number of objects, ids and keys clients ask for."""

from collections import deque
from collections.abc import Iterator
from typing import Any

from conftest import Bench, gets

from hitchtiller.decide import MAX_TABLE_ENTRIES

FILLED = 2 * MAX_TABLE_ENTRIES  # distinct objects after which a bounded table is full
INTERVAL_MS = 5.0  # between two requests
MAX_SMALL = 200  # containers above this length are not searched for others


def attribute_names(value: Any) -> Iterator[str]:
    """Yield the names of an object's attributes, with and without slots."""
    yield from getattr(value, "__dict__", {})
    for each in type(value).__mro__:
        slots = getattr(each, "__slots__", ())
        yield from (slots,) if isinstance(slots, str) else slots


def container_sizes(root: Any) -> dict[str, int]:
    """Return the lengths of all containers that are reachable through the program's objects, by path."""
    sizes, seen, pending = dict[str, int](), set[int](), [(root, "")]
    while pending:
        value, path = pending.pop()
        if id(value) in seen:
            continue
        seen.add(id(value))
        if isinstance(value, dict | list | set | deque):
            sizes[path] = max(len(value), sizes.get(path, 0))
            members = value.values() if isinstance(value, dict) else value
            if len(value) <= MAX_SMALL:
                pending += [(member, f"{path}[]") for member in members]
        elif type(value).__module__.startswith("hitchtiller"):
            names = [name for name in attribute_names(value) if hasattr(value, name)]
            pending += [(getattr(value, name), f"{path}.{name}") for name in names]
    return sizes


def ask_for_new_objects(bench: Bench, first: int, count: int) -> None:
    """Make requests for distinct objects, of which two in three are answered and one in three left."""
    for key in range(first, first + count):
        bench.now += INTERVAL_MS
        for id, name in ((2 * key + 1, "small"), (2 * key + 2, "keyed")):
            for get in gets(bench.ask(id, key=key, name=name, size_kb=0.0, group=key % 256)):
                bench.end(get, "ecanceled" if key % 3 == 0 else "done", closed=True)


def test_no_table_of_the_decisions_grows_with_ever_new_objects_and_ids(bench: Bench) -> None:
    ask_for_new_objects(bench, 0, FILLED)
    before = container_sizes(bench.router)
    ask_for_new_objects(bench, FILLED, FILLED)
    after = container_sizes(bench.router)
    assert MAX_TABLE_ENTRIES in after.values()
    grown = {path: (before.get(path, 0), size) for path, size in after.items() if size > MAX_SMALL}
    assert all(size <= earlier for earlier, size in grown.values()), grown
