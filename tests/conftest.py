"""A small made-up deployment and a driver for one Router, shared by the tests."""

from dataclasses import replace
from typing import Any

import pytest
from hypothesis import settings as hypothesis_settings
from known_red import (  # noqa: F401  pytest looks for hooks in this module
    pytest_addoption,
    pytest_collection_modifyitems,
    pytest_configure,
    pytest_runtest_makereport,
    pytest_terminal_summary,
)

from hitchtiller import interface as api
from hitchtiller.decide import Router

hypothesis_settings.register_profile("ci", derandomize=True, deadline=None, max_examples=40)
hypothesis_settings.load_profile("ci")

CLASSES = {
    "big": api.ClassSettings("big", 500.0, 5000.0, 2.0, 2.0),
    "small": api.ClassSettings("small", 300.0, 3000.0),
    "keyed": api.ClassSettings(
        "keyed", 800.0, 3000.0, effect="by_key", key_scope="zone", repeat_window_ms=1000.0, write=True
    ),
    "once": api.ClassSettings("once", 800.0, 3000.0, effect="once", write=True),
}
BASE = api.Settings(
    my_number=0,
    group_size=1,
    my_zone="z1",
    zones=("hub", "z1", "z2"),
    hub_of=(0, 0, 0),
    gateways_in_zone=(0, 1, 1),
    link_kb_per_s=(0.0, 9000.0, 9000.0),
    classes=CLASSES,
    parent_kind="parent",
    origin_kind="origin",
    flow_kb_per_s=1000.0,
    direct=False,
    joins=True,
    siblings="any",
    notes="hit",
    peers=True,
    cancel=True,
    retry_after=True,
    max_attempts=6,
    max_retry_after_ms=1000.0,
    cold_share=0.2,
    cold_ms=10_000.0,
    fall_multiple=2.0,
    fall_ms=1000.0,
    parent_cold_share=0.1,
    parent_cold_ms=20_000.0,
    parent_fall_multiple=2.0,
    purge_done_ms=6000.0,
)
FLEET = (
    *(api.Member(f"c{n}", "z1", "box", "SERVING", weight=8.0) for n in range(3)),
    api.Member("d0", "z2", "box", "SERVING", weight=8.0),
    api.Member("p0", "hub", "parent", "SERVING", weight=30.0),
    api.Member("p1", "hub", "parent", "SERVING", weight=30.0),
    api.Member("o", "hub", "origin", "SERVING", weight=10.0),
)


class Bench:
    """One router with its clock and a record of all attempts that it sent."""

    def __init__(self, **changes: Any) -> None:
        self.router = Router(replace(BASE, **changes), 7)
        self.now = 0.0
        self.sent: list[tuple[float, api.Get]] = []
        self.give(api.Members(FLEET, whole=True))

    def give(self, event: api.Event, at: float | None = None) -> list[api.Action]:
        self.now = self.now if at is None else at
        actions = self.router.handle(event, self.now)
        self.sent += [(self.now, act) for act in actions if isinstance(act, api.Get)]
        return actions

    def ask(self, id: int, key: int = 1, name: str = "small", **more: Any) -> list[api.Action]:
        size = more.pop("size_kb", 50.0)
        life = more.pop("life_ms", 3000.0)
        return self.give(api.Request(id, name, key, self.now + life, size, **more))

    def end(self, get: api.Get, status: str, shot: int = 0, **more: Any) -> list[api.Action]:
        return self.give(api.Outcome(get.id, shot, get.server, status, 1.0, **more))


def gets(actions: list[api.Action]) -> list[api.Get]:
    return [act for act in actions if isinstance(act, api.Get)]


@pytest.fixture
def bench() -> Bench:
    return Bench()
