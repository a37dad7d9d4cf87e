"""Decides where a gateway sends each request.

dbDCM: a rendezvous hash picks the cache (often-asked objects: two or three); a hash over router numbers names
an object's home router, which lists the caches that may hold it; a look-up that misses asks home, then fills
from one listed sibling, else from the hashed hub parent, a parent hashed over all, the origin.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from hitchtiller import interface as api
from hitchtiller.records import Attempt, OpenRequest, Node, rank_by_hash, hash64, lru_put
from hitchtiller.routing.blame import ASSUMED_FILL_SHARE, FAILURE_SHARES, EJECT_AT, SUCCESS_FACTOR, ejection_ms
from hitchtiller.routing.capacity import Capacity
from hitchtiller.routing.cold import ColdGuard
from hitchtiller.routing.directory import ENTRY_MS, Directory
from hitchtiller.routing.effects import repeats_anywhere, same_scope
from hitchtiller.routing.leases import Messages, OriginLeases
from hitchtiller.routing.popularity import DECAY_MS, Popularity, caches_for, keep_rank
from hitchtiller.routing.purges import PurgeLog
from hitchtiller.routing.sizes import Sizes

# Ordinary path
MAX_TABLE_ENTRIES = 4096  # entries in each table: memory or sight of the tail
PLACEMENT_CHANGE_MS = 15_000.0  # a change of caches is over: look-ups or fills
HOME_WAIT_SHARE = 0.08  # share of the aim spent on waiting for home: latency or sibling fills
ASK_AGAIN_MS = 500.0  # wait before a silent home router, or discovery, is asked again
# Guards
ORIGIN_FILLS = 24  # straight from the origin at once, of all gateways together: a thin link
WINDOW_MARGIN_MS = 100.0  # kept from the ends of windows: clocks and ways
# Health
MAX_ERRORS = 3  # errors from which on it is: tries or load
OVERDUE_AFTER, SWEEP_MS = (400.0, 2.0), 50.0  # overdue after this and so many times its work; how often to look
SILENT_FILL_AFTER = 2.0, 0.5  # times its aim, share of its time, until a fill's silence is a sign of its connection
# Further attempts
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.2, 20.0  # further attempts earned by a request, saved at most: rescue or load
LINK_FAILURES, LINK_RETRY_COST = ("econnreset", "econnrefused", "etimedout"), 0.25  # a break may hit many at once
MEAN_RETRY_AFTER_MS = 400.0  # mean advice to a refused client
MAX_AIM_SHARE, UNKNOWN_SIZE_FACTOR = 0.65, 0.6  # expected time over the aim to shed at; an untold size over the mean (median)

NEVER_RAN = ("busy", "econnrefused", "skipped", "enoent")


class Router:
    """One gateway's decisions: feed it events, carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start with nothing but the settings."""
        self.settings, self.rng = settings, Random(seed)
        self.now, self.actions = 0.0, list[api.Action]()
        self.nodes, self.caches, self.parents = dict[str, Node](), list[Node](), list[Node]()
        self.origins, self.zone_capacity = list[Node](), 0.0  # of the zone's caches together
        self.open_requests, self.in_flight = dict[int, OpenRequest](), dict[tuple[int, int], Attempt]()
        self.popularity = Popularity()
        self.directory = Directory()  # my slice of it
        self.reported: dict[tuple[int, int], tuple[str, float]] = {}
        self.waiting_for_home: dict[tuple[int, int], list[int]] = {}
        self.home_of: Callable[[int], int] = lambda hashed: hashed % settings.group_size  # or by membership
        self.serving_share: Callable[[], float] = lambda: 1.0  # share of the gateways in service, by membership
        self.silent_homes: dict[int, float] = {}  # home routers that did not answer, until when
        self.purges = PurgeLog()
        self.rankings: dict[int, tuple[list[Node], list[Node]]] = {}  # of caches and parents, by hash
        self.sizes = Sizes(settings)
        self.capacity_model, self.mean = Capacity(settings), self.sizes.mean
        self.last_sweep_ms = math.inf  # when overdue work was last looked for
        self.retry_tokens = MAX_RETRY_TOKENS  # further attempts that may be sent
        self.handlers: dict[type, Callable[[Any], object]] = {api.Request: self.on_request,
            api.Outcome: self.on_outcome, api.TimerDue: self.on_timer, api.PeerMessage: self.on_peer,
            api.Members: self.on_members, api.Purged: self.on_purged, api.StreamBegun: lambda e: None,
            api.Probed: lambda e: None, api.ClientLeft: self.on_client_left}  # fmt: skip
        self.zone_number = zone = settings.zones.index(settings.my_zone)
        self.hub_zone = settings.zones[settings.hub_of[zone]] if settings.hub_of else ""
        link = settings.link_kb_per_s[zone] if settings.link_kb_per_s else 0.0
        self.link = link / (settings.flow_kb_per_s or math.inf) or 8.0  # transfers on my zone's link
        self.link_known = link > 0.0 and settings.flow_kb_per_s > 0.0  # it is told
        self.cold_guard = ColdGuard(settings)
        self.leases, self.lease_waiters = OriginLeases(settings, ORIGIN_FILLS), list[OpenRequest]()

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Decide on one event; the actions are to be carried out in this order."""
        self.now, self.actions = now_ms, []
        self.handlers[type(event)](event)
        return self.actions

    def on_members(self, event: api.Members) -> None:
        """Follow the list; what a whole list lacks is gone."""
        if not self.nodes:
            self.leases.start(self.now)
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
        if self.settings.asks_discovery and (event.failed or not self.nodes):
            self.actions.append(api.SetTimer(ASK_AGAIN_MS * event.failed, "watch"))
        listed = {member.server for member in event.members}
        lost = [n.member for n in self.nodes.values() if event.whole and n.member.server not in listed]
        for member in [*event.members, *(replace(m, state="DELETED") for m in lost)]:
            node = self.nodes.get(member.server)
            if node is None:
                salt = hash64(*member.server.encode())
                self.nodes[member.server] = Node(member, salt, self.now, member.started_ms or -math.inf)
                continue
            node.update(member, self.now)
        self.nodes = {name: n for name, n in self.nodes.items() if n.member.state != "DELETED"}
        mine, tiers = self.settings.my_zone, (self.settings.parent_kind, self.settings.origin_kind, None)
        self.caches = [n for n in self.nodes.values() if n.member.zone == mine and n.member.kind not in tiers]
        self.parents = [n for n in self.nodes.values() if n.member.kind == self.settings.parent_kind]
        self.origins = [n for n in self.nodes.values() if n.member.kind == self.settings.origin_kind]
        for name, links in self.capacity_model.estimate(n.member for n in self.nodes.values()).items():
            self.nodes[name].capacity, self.nodes[name].safe_capacity = links
        self.zone_capacity = sum(n.capacity for n in self.caches)
        self.rankings.clear()

    # Rule guards

    def cold_rate(self, node: Node) -> float:
        """Cold guard: work I may add a ms to a server that started lately, less the one attempt above it."""
        return self.cold_guard.rate_of(node, self.now, max(self.mean.values()), self.serving_share())

    def admits(self, node: Node) -> bool:
        """Tell whether a cold server's debt is paid off, so that it may get one more."""
        return self.cold_guard.admits(node, self.now, max(self.mean.values()), self.serving_share())

    def max_age_ms(self, req: OpenRequest, stage: str) -> float:
        """Bound a copy's age by purges and its fresh time; with the grace where no fill would follow."""
        fresh = req.spec.fresh_ms + (req.spec.grace_ms if stage == "only" else 0.0)
        age = min(fresh or math.inf, max(1.0, self.now - self.purges.latest(req.event.key, req.event.group)))
        return 0.0 if age == math.inf else age

    def may_send(self, req: OpenRequest, node: Node) -> bool:
        """Deadline and effects guard: no send past the end, none that could repeat an effect."""
        if req.in_flight or req.tries >= self.settings.max_attempts or self.now >= req.event.deadline_ms:
            return False
        return self.may_repeat(req, node)

    def may_repeat(self, req: OpenRequest, node: Node) -> bool:
        """Effects guard, again at the first byte: the window counts from the first that may have run."""
        cls = req.spec
        if req.first_run is None or cls.effect == "repeatable":
            return True
        within = self.now < req.first_run[0] + cls.repeat_window_ms - WINDOW_MARGIN_MS
        return cls.effect == "by_key" and within and same_scope(cls, req.first_run[1].member, node.member)

    def recheck_send(self, id: int, shot: int, now_ms: float) -> float | None:
        """Guards again at an attempt's first byte: its age bound then, or None if it may not go."""
        req, attempt, self.now = self.open_requests.get(id), self.in_flight.get((id, shot)), now_ms
        if not req or not attempt or now_ms >= req.event.deadline_ms:
            return None
        if attempt.from_origin and not self.leases.covers(req.event.deadline_ms, now_ms):
            return None
        serving = attempt.node.member.state == "SERVING" and attempt.source.member.state == "SERVING"
        return self.max_age_ms(req, attempt.stage) if serving and self.may_repeat(req, attempt.node) else None

    def usable(self, node: Node) -> bool:
        """Tell whether a server may be picked: listed, not left out, or due for its single trial."""
        return node.member.state == "SERVING" and self.now >= node.ejected_until_ms and not (node.trial and node.in_flight)

    def rank(self, hashed: int) -> tuple[list[Node], list[Node]]:
        """Order the zone's caches, and the parents, by weighted rendezvous hash, until the list changes."""
        orders = self.rankings.get(hashed)
        if orders is None:
            orders = (rank_by_hash(hashed, self.caches), rank_by_hash(hashed, self.parents))
            lru_put(self.rankings, hashed, orders, MAX_TABLE_ENTRIES)
        return orders

    def pick_cache(self, req: OpenRequest, width: int) -> tuple[Node | None, bool]:
        """Pick the cache (better one left out than none); tell if the object is spread or moved."""
        order = self.rank(req.object_hash)[0]
        serving = [n for n in order if n.member.state == "SERVING" and n not in req.avoid]
        open_to = [n for n in serving if self.admits(n)]
        able = [n for n in open_to if self.usable(n)] or open_to
        if not able:
            return None, False
        node = min(able[:width], key=lambda n: n.load_ms / n.capacity)
        if not self.in_time(req, node):  # exception: the rest of the zone before a refusal
            node = min(able, key=lambda n: (n.load_ms + req.work_ms) * n.pace.now(self.now) / n.capacity)
        moved = width > 1 or node is not order[0] or self.now < node.joined_ms + PLACEMENT_CHANGE_MS
        return node, moved and not req.spec.write and self.settings.siblings != "none"

    def gateways(self) -> float:
        """Give the gateways of my zone in service: crowds are guessed by it, never a rule's share."""
        return max(1.0, self.cold_guard.in_zone * self.serving_share())

    def in_time(self, req: OpenRequest, node: Node, stuck: bool = True) -> bool:
        """Tell whether a request can be in time in this crowd (overload), with or without stuck fills."""
        asked = sum(n.attempts if stuck else n.attempts - n.overdue for n in self.caches)
        mine = node.attempts if stuck else node.attempts - node.overdue
        zone = (self.gateways() - 1.0) * asked  # the others': as mine on average
        crowd = zone / self.zone_capacity + (1 + mine) / node.capacity
        return self.meets(req, crowd if req.spec.write else max(crowd, node.pace.significant_stretch(self.now)))

    def meets(self, req: OpenRequest, crowd: float) -> bool:
        """Tell whether sending, stretched by a crowd, stays within the aim."""
        work = req.work_ms * (1.0 if req.known else UNKNOWN_SIZE_FACTOR)
        whole = req.spec.aim_ms + req.spec.aim_stretch * work  # a link that is not full stretches nothing
        return work * crowd < (whole if crowd < 1.0 else MAX_AIM_SHARE * whole)

    def pick_source(self, req: OpenRequest) -> Node | None:
        """Name where a miss is filled from: hashed hub parent, one parent hashed over all, the origin."""
        wide = [n for n in self.rank(req.object_hash)[1] if self.usable(n) and n not in req.avoid]
        for node in [n for n in wide if n.member.zone == self.hub_zone][:1] + wide:
            if not req.spec.write and self.admits(node):
                return node
        if not req.spec.write and not self.leases.may_begin(req.event.deadline_ms, self.now):
            self.actions += [api.SendNote(peer, note) for peer, note in self.leases.request_lease(self.now)]
            req.lacks_lease = True
            return None
        return next(iter(self.origins), None)

    def count_request(self, req: OpenRequest) -> int:
        """Count a request for an object: its rank when kept, and how many caches should share it."""
        heat = self.popularity.count(req.item, self.now)
        req.keep_rank = keep_rank(heat)
        link = self.zone_capacity / max(1, len(self.caches)) or 1.0
        share = heat * req.work_ms * self.gateways() / DECAY_MS / link
        return caches_for(heat, share)

    def on_request(self, ask: api.Request) -> None:
        """Take a request and send its first attempt."""
        cls = self.settings.classes[ask.class_name]
        work, known = self.sizes.estimate(ask)
        hashed = hash64(ask.key, ask.part)
        item, home = (ask.key, ask.part), self.home_of(hashed)
        req = OpenRequest(ask, cls, work, known, item, hashed, home, self.rng.random())
        self.open_requests[ask.id] = req
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        self.route(req, self.count_request(req))

    def route(self, req: OpenRequest, width: int) -> None:
        """Send to the picked cache: a look-up for spread or moved objects, else one attempt with its fill."""
        node, look = self.pick_cache(req, width)
        if node is None:  # straight up where allowed and the zone's link has room: else all fills would jam
            out = len(self.in_flight) - sum(n.attempts for n in self.caches)
            fits = req.spec.write or self.meets(req, (1 + self.gateways() * out) / self.link)
            up = self.pick_source(req) if self.settings.direct and fits else None
            self.send(req, up, up, "fill")
        elif not self.in_time(req, node):  # exception: beside stuck fills a hit may be in time
            self.send(req, node if self.in_time(req, node, stuck=False) else None, node, "only")
        elif look and req.tries + 2 < self.settings.max_attempts:
            self.send(req, node, node, "look")
        else:
            source = self.pick_source(req)
            if req.spec.write or (source and source.fill_limit.unlimited and self.may_ask_fill(req, source)):
                return self.send(req, node, source, "fill")
            stage = "check" if source and self.may_ask_fill(req, source) else "only"  # exception: hits stay
            self.send(req, node, node, stage)  # prompt while fills jam, and only fills are counted as such

    def may_ask_fill(self, req: OpenRequest, source: Node) -> bool:
        """Tell whether a source may be asked for a fill now that can end in time on the zone's link in."""
        crowd = (1 + self.gateways() * sum(a.stage == "fill" for a in self.in_flight.values())) / self.link
        if self.link_known and req.work_ms * crowd > req.event.deadline_ms - self.now:
            return False
        return source.fill_limit.admits(req.work_ms, max(self.mean.values()), req.admission_draw)

    def send(self, req: OpenRequest, node: Node | None, source: Node | None, stage: str) -> None:
        """Run the guards, then send; what may not be sent is given up at once."""
        servers = [n for n in (node, source) if n and n.member.state == "SERVING"]  # drain guard, for sources too
        if not node or not source or len(servers) < 2 or not self.may_send(req, node):
            return self.give_up(req)
        aim = req.spec.aim_ms + req.spec.aim_stretch * req.work_ms
        if not req.tries:  # one that times out was slow; a later one had less than its time
            aim = min(aim, req.event.deadline_ms - self.now - WINDOW_MARGIN_MS)
        attempt = Attempt(node, source, stage, self.now, req.work_ms, aim)
        self.in_flight[req.event.id, req.tries] = attempt
        attempt.adjust_load(1)
        attempt.from_origin = source.member.kind == self.settings.origin_kind and not req.spec.write
        if attempt.from_origin:
            self.leases.begin(self.now)
        for server in servers[: 1 + (source is not node)]:
            server.debt_ms += self.mean[req.spec.name]
        req.tries, req.in_flight = req.tries + 1, True
        keep, left = 0 if req.spec.write else req.keep_rank, req.event.deadline_ms - self.now
        names = (node.member.server, source.member.server)
        how = (self.settings.joins, stage == "sibling", stage == "fill")
        overdue = OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * req.work_ms
        if source is not node:  # it may wait for its source, and a thin connection carries nothing else
            overdue = max(SILENT_FILL_AFTER[0] * aim, SILENT_FILL_AFTER[1] * req.spec.deadline_ms)
        self.actions.append(api.Get(req.event.id, *names, left, keep, self.max_age_ms(req, stage), *how, overdue))

    def give_up(self, req: OpenRequest) -> None:
        """Answer finally, at once; effects guard: a refusal says that trying again is harmless."""
        if req.in_flight or self.wait_for_lease(req) or self.open_requests.pop(req.event.id, None) is None:
            return
        cls, asked = req.spec, MEAN_RETRY_AFTER_MS * (0.5 + self.rng.random())
        wait = min(asked, self.settings.max_retry_after_ms) if self.settings.retry_after else 0.0
        harmless = req.first_run is None or repeats_anywhere(cls)
        self.actions.append(api.Refuse(req.event.id, wait) if harmless else api.Fail(req.event.id))

    def wait_for_lease(self, req: OpenRequest) -> bool:
        """Have a request that only lacked a lease go again under it, or wait for an owner's answer, once."""
        ready = req.lacks_lease and self.leases.may_begin(req.event.deadline_ms, self.now)
        if not req.lacks_lease or req.waited_for_lease or not (ready or self.leases.pending_request):
            return False
        req.waited_for_lease = True
        self.lease_waiters.append(req)
        if ready:
            self.on_lease_messages([])
        return True

    def on_lease_messages(self, messages: Messages) -> None:
        """Send notes on leases; once an owner has answered, or not, go on with what waited for it."""
        self.actions += [api.SendNote(peer, note) for peer, note in messages]
        if not self.leases.pending_request:
            waiters, self.lease_waiters = self.lease_waiters, []
            for req in waiters:
                if req.event.id in self.open_requests and self.leases.may_begin(req.event.deadline_ms, self.now):
                    self.route(req, 1)
                else:
                    self.give_up(req)

    def on_outcome(self, event: api.Outcome) -> None:
        """Book an attempt's end, then finish the request or send the next attempt."""
        attempt, req = self.in_flight.pop((event.id, event.attempt), None), self.open_requests.get(event.id)
        if attempt:
            attempt.adjust_load(-1)
            if attempt.from_origin:
                self.leases.end(self.now)
            attempt.node.overdue -= attempt.overdue
            self.update_health(req, attempt, event)
        if not attempt or not req:
            return
        req.in_flight = False
        if event.status not in NEVER_RAN and req.first_run is None:
            req.first_run = (attempt.sent_ms, attempt.node)
        if event.closed:
            del self.open_requests[event.id]
            if event.status == "done":
                self.sizes.learn(req.event, event, not req.spec.write, attempt.node.pace.now(self.now))
                self.served(req, attempt.node)
        elif self.now >= req.event.deadline_ms - 1.0:
            self.give_up(req)
        else:
            self.send_next_attempt(req, attempt, event.status)

    def served(self, req: OpenRequest, node: Node) -> None:
        """Tell home of the kept copy, not oftener than its entry needs."""
        known, when = self.reported.get(req.item, ("", 0.0))
        due = known != node.member.server or self.now - when > ENTRY_MS / 2
        near = node.member.zone == self.settings.my_zone and not req.spec.write
        if due and near and self.settings.siblings != "none":
            lru_put(self.reported, req.item, (node.member.server, self.now), MAX_TABLE_ENTRIES)
            self.post(req.home, api.PeerNote("kept", *req.item, node.member.server, max(0, req.event.group)))

    def send_next_attempt(self, req: OpenRequest, attempt: Attempt, status: str) -> None:
        """Send the next attempt: the directory's after a miss, within a budget after a failure."""
        if status == "enoent" and attempt.stage == "look":
            req.missed_cache = attempt.node
            self.ask_home(req, attempt.node.member.server)
        elif status == "enoent" and attempt.stage == "check":
            req.missed_cache = attempt.node
            self.fill_missed_cache(req, None)
        elif status == "enoent" and attempt.stage == "sibling":
            self.post(req.home, api.PeerNote("lacks", *req.item, attempt.source.member.server))
            self.fill_missed_cache(req, None)
        elif self.retry_tokens < 1.0 or attempt.stage == "only" or len(req.error_attempts) >= MAX_ERRORS:
            self.give_up(req)
        else:
            way = status in LINK_FAILURES  # not the source failed: a reset may be no more than that connection's
            self.retry_tokens -= LINK_RETRY_COST if way else 1.0
            if way and (status != "econnreset" or req.tries > 1):
                req.avoid.append(attempt.node)
            if way:
                return self.route(req, 1)
            again = attempt.source in (attempt.node, *req.avoid)  # else its cache with another source first
            req.avoid.append(attempt.node if again else attempt.source)
            self.route(req, 1)

    def fill_missed_cache(self, req: OpenRequest, sibling: Node | None) -> None:
        """Fill the cache that was looked at from a usable warm sibling, else from above."""
        node = req.missed_cache
        if node is None or node in req.avoid or not (self.usable(node) and self.admits(node)):
            self.route(req, 1)
        elif sibling and sibling is not node and self.may_fill_from(sibling, self.settings.my_zone):
            self.send(req, node, sibling, "sibling")
        else:
            source = self.pick_source(req)
            self.send(req, node, source if source and self.may_ask_fill(req, source) else None, "fill")

    def on_client_left(self, event: api.ClientLeft) -> None:
        """Forget a request, also where it waits for a home router."""
        req = self.open_requests.pop(event.id, None)
        if req and event.id in (waiting := self.waiting_for_home.get(req.item, [])):
            waiting.remove(event.id)
            if not waiting:
                del self.waiting_for_home[req.item]

    def update_health(self, req: OpenRequest | None, attempt: Attempt, event: api.Outcome) -> None:
        """Blame failures: an error in full only if another attempt is served, a break only once."""
        node, source = attempt.node, attempt.source
        if event.status == "busy" or (event.status == "done" and self.now - attempt.sent_ms > attempt.aim_ms):
            self.record_missed_aim(attempt)
        elif event.status == "done" and source is not node:
            source.fill_limit.grow()
        if event.status == "done" and event.note == 1 and req and req.known and event.whole:
            node.pace.record(self.now, event.latency_ms / req.work_ms)
        if event.status in ("done", "enoent"):
            self.record_success(node)
            unknown = self.settings.notes == "none" and event.status == "done"
            if source is not node and (event.note in (2, 3) or unknown):
                self.record_success(source, SUCCESS_FACTOR**ASSUMED_FILL_SHARE if unknown else SUCCESS_FACTOR)
            for failed in req.error_attempts if req and event.status == "done" else ():
                self.attribute_failure(failed, "err")
        elif event.status == "err" and req:
            req.error_attempts += (attempt,)  # a client's bad request must not have good servers left out
            self.attribute_failure(attempt, "doubt")
        elif event.status in FAILURE_SHARES and not (event.status == "econnreset" and attempt.sent_ms <= node.reset_ms):
            node.reset_ms = self.now if event.status == "econnreset" else node.reset_ms
            if event.status == "econnrefused" and not event.silent:  # its process is gone: back cold
                node.refused_ms = self.now
            self.attribute_failure(attempt, event.status)

    def attribute_failure(self, attempt: Attempt, status: str) -> None:
        """Blame quick failures on whichever of cache and source has the worse name."""
        node, source = attempt.node, attempt.source
        node.answered_ms = self.now
        own = source is node or status.startswith("econn")
        self.add_failure(node, FAILURE_SHARES[status] * (1.0 if own else 1.0 - source.failure_score))
        if not own:
            self.add_failure(source, FAILURE_SHARES[status] * (1.0 - node.failure_score))

    def record_success(self, node: Node, left: float = SUCCESS_FACTOR) -> None:
        """Note an answer: the server works."""
        node.failure_score *= left
        node.answered_ms = self.now
        if node.trial:
            node.trial, node.failure_score, node.ejections = False, EJECT_AT / 2, max(0, node.ejections - 1)

    def add_failure(self, node: Node, share: float) -> None:
        """Blame a server and leave it out, but not where its likes are blamed too: the cause is shared."""
        node.failure_score += (1.0 - node.failure_score) * share
        if node.failure_score < EJECT_AT or self.now < node.ejected_until_ms or node.member.kind == self.settings.origin_kind:
            return
        alike = [n for n in self.nodes.values() if n is not node and self.fails_alike(n, node)]
        if 2 * sum(self.now < n.ejected_until_ms or n.failure_score > EJECT_AT / 2 for n in alike) >= len(alike):
            return
        node.ejections, node.trial = node.ejections + 1, True
        node.ejected_until_ms = self.now + ejection_ms(node.ejections)
        self.actions.append(api.Log(f"left out {node.member.server}, {node.ejections} in a row"))
        stuck = [shot for shot, a in self.in_flight.items() if a.node is node or (a.source is node and a.overdue)]
        self.actions += [api.Cancel(*shot) for shot in stuck if self.settings.cancel]  # to find another way

    def fails_alike(self, other: Node, node: Node) -> bool:
        """Tell whether another server in service fails for the same causes: a parent, or of its zone."""
        kin = other in self.parents if node in self.parents else other.member.zone == node.member.zone
        return kin and other.member.state == "SERVING"

    def record_missed_aim(self, attempt: Attempt) -> None:
        """Ask a source for less after a fill that missed its aim, once for each."""
        if not attempt.missed_aim and attempt.source is not attempt.node:
            attempt.source.fill_limit.shrink()
        attempt.missed_aim = True

    def check_overdue(self, attempt: Attempt) -> None:
        """Blame an overdue attempt, on its source if its cache answered since."""
        node, source, age = attempt.node, attempt.source, self.now - attempt.sent_ms
        if age > attempt.aim_ms:
            self.record_missed_aim(attempt)
        if not attempt.overdue and age > OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * attempt.work_ms:
            attempt.overdue = True
            node.overdue += 1
            wrong = source if node.answered_ms > attempt.sent_ms else node
            self.add_failure(wrong, FAILURE_SHARES["silence" if wrong.answered_ms <= attempt.sent_ms else "slow"])

    def on_timer(self, event: api.TimerDue) -> None:
        """Look for overdue work and drop old purges; ask discovery again; stop waiting for a home router."""
        if event.token == "watch":
            self.actions.append(api.Watch())
        elif event.token != "sweep":
            req = self.open_requests.get(int(event.token)) if event.token.isdecimal() else None
            if req and req.event.id in self.waiting_for_home.get(req.item, []):  # not an older wait's timer
                self.silent_homes[req.home] = self.now + ASK_AGAIN_MS
                self.resume_waiting(req.item, None)
        else:
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
            prompt, self.last_sweep_ms = self.now - self.last_sweep_ms < 4.0 * SWEEP_MS, self.now
            for attempt in list(self.in_flight.values()) if prompt else ():  # else the lag is mine: answers
                self.check_overdue(attempt)  # may lie unread, and good servers would be left out for it
            self.on_lease_messages(self.leases.tick(self.now))
            self.purges.forget_until(self.now - self.settings.purge_done_ms - WINDOW_MARGIN_MS)

    # Directory

    def ask_home(self, req: OpenRequest, asking: str) -> None:
        """Ask home for a holder and wait a small share of the aim; not near the deadline."""
        wait, left = HOME_WAIT_SHARE * req.spec.aim_ms, req.event.deadline_ms - self.now
        if req.home == self.settings.my_number:
            self.fill_missed_cache(req, self.candidate(req.item, self.settings.my_zone, asking))
        elif not self.settings.peers or self.now < self.silent_homes.get(req.home, 0.0) or left < 3.0 * wait:
            self.fill_missed_cache(req, None)
        else:
            self.waiting_for_home.setdefault(req.item, []).append(req.event.id)
            self.post(req.home, api.PeerNote("ask", *req.item, asking, self.zone_number))
            self.actions.append(api.SetTimer(wait, str(req.event.id)))

    def resume_waiting(self, item: tuple[int, int], sibling: Node | None) -> None:
        """Go on with the requests that waited for a home router."""
        for request in self.waiting_for_home.pop(item, []):
            if request in self.open_requests:
                self.fill_missed_cache(self.open_requests[request], sibling)

    def may_fill_from(self, node: Node, zone: str) -> bool:
        """Tell whether a zone's caches may fill from this one: allowed, in service, warm."""
        near = self.settings.siblings == "any" or node.member.zone == zone
        return near and self.usable(node) and self.cold_rate(node) == math.inf

    def candidate(self, item: tuple[int, int], zone: str, asking: str) -> Node | None:
        """Take the next listed holder, round robin; old entries, of before a purge or restart, drop."""
        purged = self.purges.latest(item[0], self.directory.group(item))
        for name, listed in self.directory.holders(item, purged, self.now):
            node = self.nodes.get(name)
            if node is None or listed <= node.joined_ms:
                self.directory.drop(item, name)
            elif name != asking and self.may_fill_from(node, zone):
                self.directory.name(item, name)
                return node
        return None

    def post(self, peer: int, note: api.PeerNote) -> None:
        """Send a note to a peer; to myself without a message."""
        if peer == self.settings.my_number:
            self.on_peer(api.PeerMessage(peer, note))
        elif self.settings.peers:
            self.actions.append(api.SendNote(peer, note))

    def on_peer(self, event: api.PeerMessage) -> None:
        """Take a query or answer, a kept copy for my slice, or word that a listed cache lacks the object."""
        if isinstance(event.note, api.LeaseNote):
            return self.on_lease_messages(self.leases.receive(event.sender, event.note, self.now))
        note, zones = event.note, self.settings.zones
        item, node = (note.key, note.part), self.nodes.get(note.server)
        if note.kind == "ask" and note.number < len(zones):
            found = self.candidate(item, zones[note.number], note.server)
            self.post(event.sender, api.PeerNote("holder", *item, found.member.server if found else ""))
        elif note.kind == "holder":
            self.resume_waiting(item, node)
        elif note.kind == "lacks":
            self.directory.drop(item, note.server)
        elif note.kind == "kept" and node is not None:
            self.directory.add(item, note.number, note.server, self.now)

    def on_purged(self, event: api.Purged) -> None:
        """Note a purge; it bounds the age of copies, and of directory entries."""
        self.purges.record(event.key, event.group, self.now - event.age_ms)
