"""Property test: random valid events under many settings; the actions must keep the five rules."""

from dataclasses import replace
from typing import Any

from conftest import BASE, CLASSES, FLEET
from hypothesis import given
from hypothesis import strategies as st

from hitchtiller import interface as api
from hitchtiller.decide import MAX_TABLE_ENTRIES, Router

SETTINGS = st.fixed_dictionaries(
    {
        "group_size": st.sampled_from([1, 3]),
        "siblings": st.sampled_from(["none", "location", "any"]),
        "notes": st.sampled_from(["none", "hit", "all"]),
        "peers": st.booleans(),
        "joins": st.booleans(),
        "direct": st.booleans(),
        "cancel": st.booleans(),
        "retry_after": st.booleans(),
        "asks_discovery": st.booleans(),
        "parent_kind": st.sampled_from(["parent", None]),
        "max_attempts": st.sampled_from([1, 2, 6]),
    }
)
STEP = st.tuples(
    st.sampled_from(["ask"] * 4 + ["end"] * 5 + ["list", "purge", "peer", "left", "whole"]),
    st.integers(0, 9),
    st.integers(1, 400),
    st.sampled_from(["done", "err", "busy", "enoent", "econnrefused", "econnreset"]),
)


class World:
    """Simulates what surrounds a Router: clock, timers, attempts in flight, and what the rules refer to."""

    def __init__(self, changes: dict[str, Any]) -> None:
        self.settings = replace(BASE, **changes)
        self.router, self.now = Router(self.settings, 3), 1000.0
        self.open: dict[int, api.Request] = {}
        self.attempts_sent: dict[int, int] = {}
        self.first_run: dict[int, tuple[float, str]] = {}
        self.in_flight: list[tuple[api.Get, int, float]] = []
        self.timers: list[tuple[float, str]] = []
        self.state = {m.server: "SERVING" for m in FLEET}
        self.purges: list[tuple[float, int | None, int]] = []
        self.give(api.Members(FLEET, whole=True))

    def give(self, event: api.Event) -> None:
        for action in self.router.handle(event, self.now):
            if isinstance(action, api.Get):
                self.check(action)
            elif isinstance(action, api.Refuse | api.Fail):
                request = self.open.pop(action.id)  # a second final answer would raise
                cls = CLASSES[request.class_name]
                refused = isinstance(action, api.Refuse)
                assert not (refused and action.id in self.first_run and cls.effect != "repeatable")
                assert self.now <= request.deadline_ms + 8.0
            elif isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
            elif isinstance(action, api.SendNote):
                assert self.settings.peers
            elif isinstance(action, api.Cancel):
                assert self.settings.cancel and action.attempt < self.attempts_sent[action.id]

    def check(self, get: api.Get) -> None:
        request = self.open[get.id]
        cls = CLASSES[request.class_name]
        assert all(open.id != get.id for open, _, _ in self.in_flight), "two attempts in flight"
        assert (
            self.attempts_sent.get(get.id, 0) < self.settings.max_attempts and self.now < request.deadline_ms
        )
        assert self.state[get.server] == self.state[get.source] == "SERVING"
        zone = {m.server: m.zone for m in FLEET}
        assert zone[get.server] == "z1" or (self.settings.direct and zone[get.server] == "hub")
        if get.source == "d0":
            assert self.settings.siblings == "any"
        if get.id in self.first_run and cls.effect != "repeatable":
            since_ms, server = self.first_run[get.id]
            assert cls.effect == "by_key" and self.now < since_ms + cls.repeat_window_ms
            assert zone[server] == zone[get.server]
        for purged_ms, key, group in self.purges:
            if self.now < purged_ms + 6000.0 and (
                key == request.key if key is not None else group == request.group
            ):
                assert 0.0 < get.age_ms <= self.now - purged_ms
        self.in_flight.append((get, self.attempts_sent.get(get.id, 0), self.now))
        self.attempts_sent[get.id] = self.attempts_sent.get(get.id, 0) + 1

    def finish(self, index: int, status: str) -> None:
        get, number, sent_ms = self.in_flight.pop(index)
        closed = get.id not in self.open or status == "done"
        if status not in ("busy", "econnrefused", "enoent"):
            self.first_run.setdefault(get.id, (sent_ms, get.server))
        if status == "done":
            self.open.pop(get.id, None)
        self.give(api.Outcome(get.id, number, get.server, status, self.now - sent_ms, closed))

    def advance_to(self, until_ms: float) -> None:
        while True:
            deadlines = [
                (self.open[get.id].deadline_ms, n)
                for n, (get, _, _) in enumerate(self.in_flight)
                if get.id in self.open
            ]
            due = min([t for t, _ in self.timers] + [t for t, _ in deadlines] + [until_ms])
            self.now = max(self.now, due)
            if due >= until_ms:
                return
            overdue = [n for t, n in deadlines if t <= due]
            if overdue:
                self.finish(overdue[0], "etimedout")
                continue
            timer = min(self.timers)
            self.timers.remove(timer)
            self.give(api.TimerDue(timer[1]))

    def step(self, id: int, kind: str, pick: int, gap: int, status: str) -> None:
        self.advance_to(self.now + gap)
        if kind == "ask":
            name = list(CLASSES)[pick % 4]
            self.open[id] = api.Request(id, name, pick % 3, self.now + 900.0, 100.0 * (pick % 2), pick % 2)
            self.give(self.open[id])
        elif kind == "end" and self.in_flight:
            self.finish(pick % len(self.in_flight), status)
        elif kind == "left" and self.open:
            request_id = list(self.open)[pick % len(self.open)]
            del self.open[request_id]
            self.give(api.ClientLeft(request_id))
        elif kind == "purge":
            self.purges.append((self.now - 50.0, pick % 3 if gap % 2 else None, pick % 2))
            self.give(api.Purged(self.purges[-1][1], pick % 2, 50.0))
        elif kind == "peer":
            kind_of_note = ("ask", "holder", "kept", "lacks")[pick % 4]
            self.give(
                api.PeerMessage(1, api.PeerNote(kind_of_note, gap % 3, 0, FLEET[gap % 4].server, pick % 4))
            )
        elif kind in ("list", "whole"):
            member = FLEET[pick % len(FLEET)]
            self.state[member.server] = ("SERVING", "DRAINING", "DELETED")[gap % 3]
            changed = [replace(m, state=self.state[m.server], started_ms=500.0 * (gap % 2)) for m in FLEET]
            listed = [m for m in changed if m.state != "DELETED"] if kind == "whole" else changed
            self.give(api.Members(tuple(listed), whole=kind == "whole"))


@given(SETTINGS, st.lists(STEP, max_size=120))
def test_the_five_rules_hold_for_random_events(
    changes: dict[str, Any], steps: list[tuple[str, int, int, str]]
) -> None:
    world = World(changes)
    for id, step in enumerate(steps):
        world.step(id, *step)
    world.advance_to(world.now + 5000.0)
    assert not world.open and not world.router.open_requests and not world.router.waiting_for_home
    router = world.router
    assert all(
        len(table) <= MAX_TABLE_ENTRIES
        for table in (router.directory.entries, router.popularity.counts, router.reported_copies)
    )
