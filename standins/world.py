"""Random deployments, and a simulation in virtual time that drives the decisions (`Router`) alone.

`draw` makes a deployment from a seed. What the deployment discloses (weights, sizes, notes, links) and what
it allows (direct, siblings, joins, peers) varies freely, also in ways that no real deployment has yet.
`World` simulates caches with one link each, parents, an origin, a list of servers that arrives late, purges,
drains and cold starts for one Router per gateway, and feeds the checkers in `rules.py`. It models only what
the decisions can observe: the duration of a transfer is fixed when it starts, and parents and the origin
never run out of capacity.
"""

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from hitchtiller import interface as api
from hitchtiller.decide import NEVER_RAN, Router
from standins import rules

# Delays: gateway to server, fill from a held copy, fill by the origin, mean until a list change arrives.
LINK_DELAY_MS, HELD_FILL_MS, ORIGIN_FILL_MS, LIST_DELAY_MS = 2.0, 10.0, 60.0, 700.0
# Objects; the longest delay until a gateway is told of a purge; delay and loss of notes between gateways.
OBJECTS, PURGE_DELAY_MS, PEER_DELAY_MS, PEER_LOSS_SHARE = 120, 150.0, 5.0, 0.05
# Which of the notes 1 to 10 on an outcome a deployment passes on, by its setting `notes`.
NOTES_BY_LEVEL = {"none": (), "hit": (1, 2, 2, 4, 5), "all": (1, 2, 3, 4, 5, 6, 7, 8, 9, 10)}


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment: what the gateways are told of it (settings, members) and its real capacities."""

    settings: api.Settings
    members: tuple[api.Member, ...]
    links: dict[str, float]  # by server: how many transfers its link carries at full speed
    work_ms: dict[str, float]  # by class: the mean time that its transfers take on an idle link
    share: dict[str, float]  # by class: its part of the requests
    sizes_told: bool


def draw(seed: int) -> Deployment:
    """Return a random deployment; the same seed gives the same one."""
    rng = Random(seed)
    zones = [f"z{n}" for n in range(rng.randint(1, 12))]
    weights = rng.choice(["none", "nominal", "rough", "live"])
    flow, members, links = rng.uniform(2_000.0, 12_000.0), list[api.Member](), dict[str, float]()

    def add(name: str, zone: str, kind: str, link: float) -> None:
        links[name] = link
        weight_by_setting = {
            "none": 1.0,
            "nominal": round(link) or 1.0,
            "rough": link * rng.uniform(0.85, 1.2),
            "live": link,
        }
        members.append(api.Member(name, zone, kind, "SERVING", weight=weight_by_setting[weights]))

    zone_links, gateways = [0.0], [0]
    for zone in zones:
        caches = [rng.uniform(4.0, 10.0) for _ in range(rng.randint(2, 6))]
        for n, link in enumerate(caches):
            add(f"{zone}-c{n}", zone, rng.choice(["small", "large"]), link)
        zone_links.append(flow * sum(caches) / len(caches) / rng.uniform(0.4, 0.6))
        gateways.append(rng.randint(1, 3) if len(zones) < 5 else 1)
    add("p0", "hub", "parent", 30.0)
    add("p1", "hub", "parent", 40.0)
    add("o", "hub", "origin", 40.0)
    classes, work, share = dict[str, api.ClassSettings](), dict[str, float](), dict[str, float]()
    for name, low, high, worth in (("large", 250.0, 500.0, 2.0), ("small", 30.0, 120.0, 1.0)):
        work[name], share[name] = rng.uniform(low, high), rng.uniform(0.4, 0.6)
        classes[name] = api.ClassSettings(
            name, rng.uniform(1.2, 2.0) * work[name] + 150.0, rng.choice([3000.0, 5000.0]), worth,
            aim_stretch=rng.uniform(1.0, 2.0), fresh_ms=rng.choice([0.0, 20_000.0]),
        )  # fmt: skip
    effect = rng.choice(["by_key", "once", "repeatable"])
    scope = rng.choice(["all", "zone", "cell"])
    classes["effect"] = api.ClassSettings(
        "effect", 600.0, 3000.0, 3.0, effect=effect, key_scope=scope, repeat_window_ms=6000.0, write=True
    )
    work["effect"], share["effect"] = 20.0, 0.04
    settings = api.Settings(
        my_number=0, group_size=sum(gateways), my_zone=zones[0], zones=("hub", *zones),
        hub_of=(0,) * (len(zones) + 1), gateways_in_zone=tuple(gateways), link_kb_per_s=tuple(zone_links),
        classes=classes, parent_kind="parent", origin_kind="origin", flow_kb_per_s=flow, weights=weights,
        direct=rng.random() < 0.5, joins=rng.random() < 0.5, siblings=rng.choice(["none", "location", "any"]),
        notes=rng.choice(["none", "hit", "all"]), peers=rng.random() < 0.7, cancel=rng.random() < 0.7,
        retry_after=rng.random() < 0.5, max_attempts=rng.randint(2, 6), max_retry_after_ms=500.0,
        drain_grace_ms=rng.choice([500.0, 1000.0]), cold_share=0.2, cold_ms=16_000.0,
        fall_multiple=rng.choice([3.0, 4.0]), fall_ms=rng.choice([1000.0, 2000.0]), parent_cold_share=0.07,
        parent_cold_ms=19_000.0, parent_fall_multiple=2.0, purge_grace_ms=rng.choice([300.0, 1000.0]),
        purge_done_ms=6000.0,
    )  # fmt: skip
    return Deployment(settings, tuple(members), links, work, share, rng.random() < 0.5)


@dataclass(slots=True, eq=False)
class Server:
    """The true state of a cache, a parent or the origin."""

    member: api.Member
    link: float
    copies: dict[tuple[int, int], float] = field(default_factory=dict)  # by part: when the origin served it
    transfers: int = 0
    started_ms: float = -math.inf

    def drop_copies(self, key: int, made_ms: float) -> None:
        """Drop the copies of an object that the origin served before `made_ms`, the time of a purge."""
        self.copies = {item: at for item, at in self.copies.items() if item[0] != key or at >= made_ms}


@dataclass(slots=True, eq=False)
class Gateway:
    """One gateway: its Router, and its open requests by id."""

    number: int
    zone: str
    router: Router
    open_requests: dict[int, api.Request] = field(default_factory=dict)


class World:
    """A simulation of one deployment; `broken` lists broken rules, `ends` counts how requests ended."""

    def __init__(self, made: Deployment, seed: int) -> None:
        """Start at time 0 with warm caches that hold every part."""
        self.made, self.rng, self.now, self.s = made, Random(seed), 0.0, made.settings
        self.scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence, self.request_ids = count(), count(1)
        self.servers = {m.server: Server(m, made.links[m.server]) for m in made.members}
        s = self.s
        self.answers, self.effects = rules.Answers(), rules.Effects()
        self.drains, self.purges = rules.Drains(s.drain_grace_ms), rules.Purges(s.purge_grace_ms)
        self.cold = rules.ColdStarts(s.fall_multiple, s.fall_ms, s.cold_share, s.cold_ms)
        self.purged_at_ms: dict[int, float] = {}  # by object: when it was last purged
        self.ends: Counter[tuple[str, str]] = Counter()  # by class: served, late, refused, failed, none
        self.sizes: dict[tuple[str, int], float] = {}
        self.sent_attempts: set[tuple[int, int, int]] = set()
        self.open_attempts: dict[tuple[int, int, int], Callable[[str, int, float], None]] = {}
        for server in self.servers.values():
            if server.member.kind in ("small", "large"):
                server.copies = {(key, part): -1.0 for key in range(OBJECTS) for part in range(3)}
        self.gateways = list[Gateway]()
        for zone, gateway_count in zip(s.zones, s.gateways_in_zone, strict=True):
            for _ in range(gateway_count):
                number = len(self.gateways)
                own_settings = replace(s, my_number=number, my_zone=zone)
                self.gateways.append(Gateway(number, zone, Router(own_settings, seed * 1000 + number)))
        for gateway in self.gateways:
            self.handle_event(gateway, api.Members(made.members, whole=True))

    @property
    def broken(self) -> list[str]:
        """Return the violations that all checkers have found."""
        judges = (self.answers, self.effects, self.drains, self.cold, self.purges)
        return [text for judge in judges for text in judge.broken]

    def at(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a virtual time."""
        heapq.heappush(self.scheduled_calls, (when_ms, next(self.sequence), call))

    def play(self, load: float, length_ms: float) -> None:
        """Offer a load, as a share of what each zone's caches can send, and run until all requests end."""
        mean = sum(self.made.work_ms[n] * w for n, w in self.made.share.items()) / sum(
            self.made.share.values()
        )
        for zone in dict.fromkeys(g.zone for g in self.gateways):  # a set's order differs by process
            capacity = sum(x.link for x in self.servers.values() if x.member.zone == zone)
            self.at(
                self.now,
                lambda z=zone, gap=mean / (load * capacity): self.create_request(z, gap, length_ms),  # type: ignore[misc]
            )
        until = length_ms + 8_000.0
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self.scheduled_calls)
            call()
        self.answers.end()

    def create_request(self, zone: str, gap_ms: float, until_ms: float) -> None:
        """Create a client's request for a gateway of a zone, and schedule the next one."""
        if self.now > until_ms:
            return
        self.at(
            self.now + self.rng.expovariate(1.0 / gap_ms), lambda: self.create_request(zone, gap_ms, until_ms)
        )
        gateway = self.rng.choice([g for g in self.gateways if g.zone == zone])
        name = self.rng.choices(list(self.made.share), list(self.made.share.values()))[0]
        cls, key = self.s.classes[name], min(OBJECTS - 1, int(OBJECTS * self.rng.random() ** 3))
        work, request_id = self.work(name, key), next(self.request_ids)
        size = work * self.s.flow_kb_per_s / 1000.0 if self.made.sizes_told else 0.0
        part = self.rng.randrange(3) if name == "large" else 0
        ask = api.Request(request_id, name, key, self.now + cls.deadline_ms, size, key % 16, part)
        gateway.open_requests[request_id] = ask
        self.answers.taken(request_id, ask.deadline_ms)
        begun = self.now
        self.at(ask.deadline_ms, lambda: self.expire_request(gateway, request_id, begun))
        self.handle_event(gateway, ask)

    def work(self, name: str, key: int) -> float:
        """Return the transfer time of an object in ms; it stays the same within a run."""
        if (name, key) not in self.sizes:
            mean = self.made.work_ms[name]
            self.sizes[name, key] = min(4.0 * mean, mean * self.rng.lognormvariate(-0.18, 0.6))
        return self.sizes[name, key]

    def expire_request(self, gateway: Gateway, request_id: int, begun: float) -> None:
        """Time out a request's attempts at its deadline; the gateway must still answer the request."""
        for name in [n for n in self.open_attempts if n[0] == gateway.number and n[1] == request_id]:
            self.open_attempts[name]("etimedout", 0, 0.0)
        if ask := gateway.open_requests.pop(request_id, None):
            self.ends[ask.class_name, "none"] += 1

    def handle_event(self, gateway: Gateway, event: api.Event) -> None:
        """Pass an event to a gateway's Router and carry out the resulting actions."""
        if isinstance(event, api.Members):
            for member in event.members:
                self.drains.heard(gateway.number, member.server, member.state == "SERVING", self.now)
        for action in gateway.router.handle(event, self.now):
            match action:
                case api.Get():
                    self.send_attempt(gateway, action)
                case api.Refuse() | api.Fail():
                    self.record_answer(
                        gateway, action.id, "refused" if isinstance(action, api.Refuse) else "failed"
                    )
                case api.Cancel():
                    if end := self.open_attempts.get((gateway.number, action.id, action.attempt)):
                        self.at(self.now, lambda end=end: end("ecanceled", 0, 0.0))  # type: ignore[misc]
                case api.SetTimer():
                    due = api.TimerDue(action.token)
                    self.at(
                        self.now + max(0.01, action.delay_ms),
                        lambda g=gateway, due=due: self.handle_event(g, due),  # type: ignore[misc]
                    )
                case api.SendNote():
                    if self.rng.random() >= PEER_LOSS_SHARE and action.peer != gateway.number:
                        note = api.PeerMessage(gateway.number, action.note)
                        to = self.gateways[action.peer]
                        self.at(
                            self.now + PEER_DELAY_MS,
                            lambda to=to, note=note: self.handle_event(to, note),  # type: ignore[misc]
                        )

    def record_answer(self, gateway: Gateway, request_id: int, result: str) -> None:
        """Record the final answer to a request."""
        ask = gateway.open_requests.pop(request_id, None)
        self.answers.answered(request_id, self.now)
        if ask:
            cls = self.s.classes[ask.class_name]
            self.ends[ask.class_name, result] += 1
            if result == "refused":
                self.effects.refused(request_id, cls.effect, cls.key_scope)

    def send_attempt(self, gateway: Gateway, get: api.Get) -> None:
        """Send an attempt to its server, and report it to the checkers."""
        ask = gateway.open_requests.get(get.id)
        server = self.servers[get.server]
        if ask is None:
            self.answers.broken.append(f"{get.id}: an attempt was sent after the request's end")
            return
        cls, sent = self.s.classes[ask.class_name], self.now
        attempt = next(n for n in range(99) if (gateway.number, get.id, n) not in self.sent_attempts)
        name, member = (gateway.number, get.id, attempt), server.member
        self.sent_attempts.add(name)
        for used_server in {get.server, get.source}:
            self.drains.sent(gateway.number, used_server, sent)
        self.effects.sent(
            get.id, sent, cls.effect, cls.key_scope, cls.repeat_window_ms, member.zone, member.cell
        )
        holds_link = [False]

        def end(status: str, note: int, waited_ms: float, made: float = 0.0) -> None:
            if self.open_attempts.pop(name, None) is None:
                return
            server.transfers -= holds_link[0]
            self.effects.ended(get.id, sent, status in NEVER_RAN, member.zone, member.cell)
            if status == "done" and not cls.write:
                self.purges.served(gateway.number, ask.key, sent, made)
            closed = status == "done" or get.id not in gateway.open_requests
            if status == "done" and get.id in gateway.open_requests:
                duration_ms = self.now - (ask.deadline_ms - cls.deadline_ms)
                aim = cls.aim_ms + cls.aim_stretch * self.work(ask.class_name, ask.key)
                self.record_answer(gateway, get.id, "served" if duration_ms <= aim else "late")
            passed_notes = NOTES_BY_LEVEL[self.s.notes]
            note = passed_notes[note - 1] if 0 < note <= len(passed_notes) else 0
            wait = waited_ms if self.s.notes == "all" else 0.0
            self.handle_event(
                gateway, api.Outcome(*name[1:], get.server, status, self.now - sent, closed, note, wait)
            )

        self.open_attempts[name] = end
        self.at(sent + LINK_DELAY_MS, lambda: self.serve_attempt(gateway, get, ask, cls, name, holds_link))
        if 0.0 < get.timeout_ms < ask.deadline_ms - sent:
            self.at(sent + get.timeout_ms, lambda: end("etimedout", 0, 0.0))

    def serve_attempt(
        self, gateway: Gateway, get: api.Get, ask: api.Request, cls: api.ClassSettings,
        name: tuple[int, int, int], holds_link: list[bool],
    ) -> None:  # fmt: skip
        """Handle an attempt at its server: look the copy up, fill it from the source if needed, and serve."""
        end = self.open_attempts.get(name)
        server, source, item = self.servers[get.server], self.servers[get.source], (ask.key, ask.part)
        node = gateway.router.nodes.get(get.server)
        sender_knew = node is not None and node.member.started_ms == max(0.0, server.started_ms)
        self.cold.reach(get.server, self.made.work_ms[cls.name], self.now, sender_knew)
        if end is None:
            return
        if server.transfers >= 5 * server.link:
            return end("busy", 0, 0.0)
        age = min(get.age_ms or math.inf, cls.fresh_ms + cls.grace_ms or math.inf)
        made, held = server.copies.get(item, -math.inf), item in server.copies
        purged = self.purged_at_ms.get(ask.key, -math.inf)
        waited_ms, note = 0.0, 1
        if cls.write or not held or made < self.now - LINK_DELAY_MS - age:
            if source is server and server.member.kind != "origin":
                return end("enoent", 0, 0.0)
            holds = source.copies.get(item, -math.inf)
            if source.member.kind in ("small", "large"):
                if cls.write or item not in source.copies or holds < self.now - LINK_DELAY_MS - age:
                    return end("enoent", 8, HELD_FILL_MS)
                made, waited_ms, note = holds, HELD_FILL_MS, 2
            elif not cls.write and item in source.copies and holds >= max(purged, self.now - age):
                made, waited_ms, note = holds, HELD_FILL_MS, 2
            else:
                made, waited_ms, note = self.now, ORIGIN_FILL_MS, 3
                if not cls.write and source.member.kind == "parent":
                    source.copies[item] = made
            if get.keep and not cls.write:
                server.copies[item] = made
        server.transfers += 1
        holds_link[0] = True
        warm_share = min(1.0, (self.now - server.started_ms) / self.s.cold_ms)
        capacity = server.link * (self.s.cold_share + (1.0 - self.s.cold_share) * warm_share)
        duration_ms = waited_ms + self.work(cls.name, ask.key) * max(1.0, server.transfers / capacity)
        self.at(self.now + duration_ms, lambda: end("done", note, waited_ms, made))  # type: ignore[call-arg]

    # Faults and changes

    def announce(self, *members: api.Member) -> None:
        """Deliver a change of the list to each gateway, each after a random delay."""
        for gateway in self.gateways:
            when = self.now + LIST_DELAY_MS * (0.5 + self.rng.random())
            self.at(when, lambda g=gateway: self.handle_event(g, api.Members(members)))  # type: ignore[misc]

    def drain(self, name: str) -> None:
        """Announce that a cache is draining."""
        self.announce(replace(self.servers[name].member, state="DRAINING"))

    def restart(self, name: str) -> None:
        """Restart a cache cold and empty, and announce it."""
        server = self.servers[name]
        server.copies, server.started_ms = {}, self.now
        self.cold.start(name, server.link, self.now)
        self.announce(replace(server.member, started_ms=self.now))

    def purge(self, key: int) -> None:
        """Purge an object; gateways are told a little later, and caches drop their copies later still."""
        made = self.purged_at_ms[key] = self.now
        for server in self.servers.values():
            self.at(
                self.now + self.s.purge_done_ms * self.rng.random(),
                lambda s=server: s.drop_copies(key, made),  # type: ignore[misc]
            )
        for gateway in self.gateways:
            when = self.now + PURGE_DELAY_MS * self.rng.random()

            def announce_purge(gateway: Gateway = gateway) -> None:
                self.purges.heard(gateway.number, key, made, self.now)
                self.handle_event(gateway, api.Purged(key, key % 16, self.now - made))

            self.at(when, announce_purge)
