"""Decides to which server a gateway sends each request, and where a cache's miss is filled from.

The scheme (dbDCM): a rendezvous hash picks one cache, or two or three for frequently requested objects. A
hash over the gateways' numbers picks an object's home gateway, whose directory lists caches that may hold it.
A look-up that misses asks the home gateway and is filled from one listed sibling; without one, from
the hub parent that the hash picks, then from the one picked among all parents, then from the origin."""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from hitchtiller import interface as api
from hitchtiller.records import Attempt, Node, OpenRequest, hash64, lru_put, rank_by_hash
from hitchtiller.routing.blame import ASSUMED_FILL_SHARE, EJECT_AT, FAILURE_SHARES, SUCCESS_FACTOR
from hitchtiller.routing.blame import ejection_ms as ejection_time_ms
from hitchtiller.routing.capacity import Capacity
from hitchtiller.routing.cold import ColdGuard
from hitchtiller.routing.directory import ENTRY_MS, Directory
from hitchtiller.routing.effects import repeats_anywhere, same_scope
from hitchtiller.routing.leases import Messages, OriginLeases
from hitchtiller.routing.popularity import DECAY_MS, Popularity, caches_for, keep_rank
from hitchtiller.routing.purges import PurgeLog
from hitchtiller.routing.sizes import Sizes

MAX_TABLE_ENTRIES = 4096  # per table; more cost memory, fewer forget rarely requested objects
PLACEMENT_CHANGE_MS = 15_000.0  # a new cache is looked up first: longer costs look-ups, shorter costs fills
HOME_WAIT_SHARE = 0.08  # of the aim, for the home gateway's answer: longer is slow, shorter misses siblings
ASK_AGAIN_MS = 500.0  # wait before a silent home gateway, or discovery, is asked again
ORIGIN_FILLS = 24  # simultaneous fills from the origin, of all gateways together: its link is thin
WINDOW_MARGIN_MS = 100.0  # kept from the end of a time window, for clock differences and network delay
MAX_ERRORS = 3  # `err` answers until the request itself is taken to be at fault; more add load
OVERDUE_AFTER, SWEEP_MS = (400.0, 2.0), 50.0  # overdue after ms + factor * work; check interval
SILENT_FILL_AFTER = 2.0, 0.5  # of aim, of deadline: a fill silent beyond both has a stuck connection
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.2, 20.0  # retry budget: more rescue requests but add load
LINK_FAILURES, LINK_RETRY_COST = ("econnreset", "econnrefused", "etimedout"), 0.25  # a break can hit many
MEAN_RETRY_AFTER_MS = 400.0  # mean time that a refused client is told to wait
MAX_AIM_SHARE, UNKNOWN_SIZE_FACTOR = 0.65, 0.6  # shed above this share of the aim; median size / mean

NEVER_RAN = ("busy", "econnrefused", "skipped", "enoent")  # statuses that prove that an attempt did not run


class Router:
    """The decisions of one gateway: pass it events, and carry out the actions that it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start from the settings alone, with no server known."""
        self.settings, self.rng = settings, Random(seed)
        self.now, self.actions = 0.0, list[api.Action]()  # time of the event in hand, and actions so far
        self.nodes, self.caches, self.parents = dict[str, Node](), list[Node](), list[Node]()
        self.origins, self.zone_capacity = list[Node](), 0.0  # sum over the zone's caches
        self.open_requests, self.in_flight = dict[int, OpenRequest](), dict[tuple[int, int], Attempt]()
        self.popularity = Popularity()
        self.directory = Directory()  # the slice that this gateway keeps as a home gateway
        self.reported: dict[tuple[int, int], tuple[str, float]] = {}  # last cache reported, and when
        self.waiting_for_home: dict[tuple[int, int], list[int]] = {}  # ids of requests
        self.home_of: Callable[[int], int] = lambda hashed: hashed % settings.group_size  # set by membership
        self.serving_share: Callable[[], float] = lambda: 1.0  # of all gateways, by membership
        self.silent_homes: dict[int, float] = {}  # gateways that did not answer; asked again from then on
        self.purges = PurgeLog()
        self.rankings: dict[int, tuple[list[Node], list[Node]]] = {}  # caches and parents, by object hash
        self.sizes = Sizes(settings)
        self.capacity_model, self.mean = Capacity(settings), self.sizes.mean  # mean work by class
        self.last_sweep_ms = math.inf  # last check for overdue attempts
        self.retry_tokens = MAX_RETRY_TOKENS  # retries that may be sent now
        self.handlers: dict[type, Callable[[Any], object]] = {api.Request: self.on_request,
            api.Outcome: self.on_outcome, api.TimerDue: self.on_timer, api.PeerMessage: self.on_peer,
            api.Members: self.on_members, api.Purged: self.on_purged, api.StreamBegun: lambda e: None,
            api.Probed: lambda e: None, api.ClientLeft: self.on_client_left}  # fmt: skip
        self.zone_number = zone = settings.zones.index(settings.my_zone)
        self.hub_zone = settings.zones[settings.hub_of[zone]] if settings.hub_of else ""
        link = settings.link_kb_per_s[zone] if settings.link_kb_per_s else 0.0
        self.link = link / (settings.flow_kb_per_s or math.inf) or 8.0  # transfers that it carries at once
        self.link_known = link > 0.0 and settings.flow_kb_per_s > 0.0  # stated in the settings
        self.cold_guard = ColdGuard(settings)
        self.leases, self.lease_waiters = OriginLeases(settings, ORIGIN_FILLS), list[OpenRequest]()

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Decide on one event; the returned actions are to be carried out in their order."""
        self.now, self.actions = now_ms, []
        self.handlers[type(event)](event)
        return self.actions

    def on_members(self, event: api.Members) -> None:
        """Update the known servers; those that a whole list lacks are removed."""
        if not self.nodes:
            self.leases.start(self.now)
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
        if self.settings.asks_discovery and (event.failed or not self.nodes):
            self.actions.append(api.SetTimer(ASK_AGAIN_MS * event.failed, "watch"))
        listed = {member.server for member in event.members}
        removed = [n.member for n in self.nodes.values() if event.whole and n.member.server not in listed]
        for member in [*event.members, *(replace(m, state="DELETED") for m in removed)]:
            node = self.nodes.get(member.server)
            if node is None:
                salt = hash64(*member.server.encode())
                self.nodes[member.server] = Node(member, salt, self.now, member.started_ms or -math.inf)
                continue
            node.update(member, self.now)
        self.nodes = {name: n for name, n in self.nodes.items() if n.member.state != "DELETED"}
        zone, upper = self.settings.my_zone, (self.settings.parent_kind, self.settings.origin_kind, None)
        self.caches = [n for n in self.nodes.values() if n.member.zone == zone and n.member.kind not in upper]
        self.parents = [n for n in self.nodes.values() if n.member.kind == self.settings.parent_kind]
        self.origins = [n for n in self.nodes.values() if n.member.kind == self.settings.origin_kind]
        for name, capacities in self.capacity_model.estimate(n.member for n in self.nodes.values()).items():
            self.nodes[name].capacity, self.nodes[name].safe_capacity = capacities
        self.zone_capacity = sum(n.capacity for n in self.caches)
        self.rankings.clear()

    def cold_rate(self, node: Node) -> float:
        """Cold guard: work per ms to add to a server that started lately, besides one attempt in advance."""
        return self.cold_guard.rate_of(node, self.now, max(self.mean.values()), self.serving_share())

    def admits(self, node: Node) -> bool:
        """Return whether a cold server's debt is paid off, so that it may get one more attempt."""
        return self.cold_guard.admits(node, self.now, max(self.mean.values()), self.serving_share())

    def max_age_ms(self, req: OpenRequest, stage: str) -> float:
        """Return the largest age of a copy that will do, 0 for any; adds grace where no fill would follow."""
        fresh = req.spec.fresh_ms + (req.spec.grace_ms if stage == "only" else 0.0)
        age = min(fresh or math.inf, max(1.0, self.now - self.purges.latest(req.event.key, req.event.group)))
        return 0.0 if age == math.inf else age

    def may_send(self, req: OpenRequest, node: Node) -> bool:
        """Deadline and effects guards: no send past the deadline, none that could repeat an effect."""
        if req.in_flight or req.tries >= self.settings.max_attempts or self.now >= req.event.deadline_ms:
            return False
        return self.may_repeat(req, node)

    def may_repeat(self, req: OpenRequest, node: Node) -> bool:
        """Effects guard, also at the first byte: the window starts at the first attempt that may have run."""
        spec = req.spec
        if req.first_run is None or spec.effect == "repeatable":
            return True
        within = self.now < req.first_run[0] + spec.repeat_window_ms - WINDOW_MARGIN_MS
        return spec.effect == "by_key" and within and same_scope(spec, req.first_run[1].member, node.member)

    def recheck_send(self, id: int, number: int, now_ms: float) -> float | None:
        """Apply the guards again at an attempt's first byte; return its age bound, or None to stop it."""
        req, attempt, self.now = self.open_requests.get(id), self.in_flight.get((id, number)), now_ms
        if not req or not attempt or now_ms >= req.event.deadline_ms:
            return None
        if attempt.from_origin and not self.leases.covers(req.event.deadline_ms, now_ms):
            return None
        serving = attempt.node.member.state == "SERVING" and attempt.source.member.state == "SERVING"
        return self.max_age_ms(req, attempt.stage) if serving and self.may_repeat(req, attempt.node) else None

    def usable(self, node: Node) -> bool:
        """Return whether a server may be picked: serving, and not ejected or on trial with an attempt out."""
        return (node.member.state == "SERVING" and self.now >= node.ejected_until_ms
                and not (node.trial and node.in_flight))  # fmt: skip

    def rank(self, hashed: int) -> tuple[list[Node], list[Node]]:
        """Rank the zone's caches, and the parents, by rendezvous hash; remembered until the list changes."""
        ranking = self.rankings.get(hashed)
        if ranking is None:
            ranking = (rank_by_hash(hashed, self.caches), rank_by_hash(hashed, self.parents))
            lru_put(self.rankings, hashed, ranking, MAX_TABLE_ENTRIES)
        return ranking

    def pick_cache(self, req: OpenRequest, width: int) -> tuple[Node | None, bool]:
        """Pick a cache, an ejected one rather than none; also return whether a copy may be at another one."""
        ranking = self.rank(req.object_hash)[0]
        serving = [n for n in ranking if n.member.state == "SERVING" and n not in req.avoid]
        admitted = [n for n in serving if self.admits(n)]
        eligible = [n for n in admitted if self.usable(n)] or admitted
        if not eligible:
            return None, False
        node = min(eligible[:width], key=lambda n: n.load_ms / n.capacity)
        if not self.in_time(req, node):  # try the rest of the zone before refusing
            node = min(eligible, key=lambda n: (n.load_ms + req.work_ms) * n.pace.now(self.now) / n.capacity)
        elsewhere = width > 1 or node is not ranking[0] or self.now < node.joined_ms + PLACEMENT_CHANGE_MS
        return node, elsewhere and not req.spec.write and self.settings.siblings != "none"

    def gateways(self) -> float:
        """Return this zone's gateways in service; used to estimate loads, never for a guard's share."""
        return max(1.0, self.cold_guard.in_zone * self.serving_share())

    def in_time(self, req: OpenRequest, node: Node, with_overdue: bool = True) -> bool:
        """Return whether a request can meet its aim under the load, counted with or without overdue work."""
        total = sum(n.attempts if with_overdue else n.attempts - n.overdue for n in self.caches)
        own = node.attempts if with_overdue else node.attempts - node.overdue
        others = (self.gateways() - 1.0) * total  # the other gateways have as many on average
        load = others / self.zone_capacity + (1 + own) / node.capacity
        return self.meets(req, load if req.spec.write else max(load, node.pace.significant_stretch(self.now)))

    def meets(self, req: OpenRequest, load: float) -> bool:
        """Return whether sending stays within the aim when a load on the link stretches it."""
        work_ms = req.work_ms * (1.0 if req.known else UNKNOWN_SIZE_FACTOR)
        aim_ms = req.spec.aim_ms + req.spec.aim_stretch * work_ms  # a load below 1 stretches nothing
        return work_ms * load < (aim_ms if load < 1.0 else MAX_AIM_SHARE * aim_ms)

    def pick_source(self, req: OpenRequest) -> Node | None:
        """Pick where a miss is filled from: the hashed hub parent, another hashed parent, or the origin."""
        parents = [n for n in self.rank(req.object_hash)[1] if self.usable(n) and n not in req.avoid]
        for node in [n for n in parents if n.member.zone == self.hub_zone][:1] + parents:
            if not req.spec.write and self.admits(node):
                return node
        if not req.spec.write and not self.leases.may_begin(req.event.deadline_ms, self.now):
            self.actions += [api.SendNote(peer, note) for peer, note in self.leases.request_lease(self.now)]
            req.lacks_lease = True
            return None
        return next(iter(self.origins), None)

    def count_request(self, req: OpenRequest) -> int:
        """Count a request for its object; set its keep rank and return how many caches should share it."""
        requests = self.popularity.count(req.item, self.now)
        req.keep_rank = keep_rank(requests)
        mean_capacity = self.zone_capacity / max(1, len(self.caches)) or 1.0
        load_share = requests * req.work_ms * self.gateways() / DECAY_MS / mean_capacity
        return caches_for(requests, load_share)

    def on_request(self, event: api.Request) -> None:
        """Handle a client's request: send its first attempt."""
        spec = self.settings.classes[event.class_name]
        work_ms, known = self.sizes.estimate(event)
        hashed = hash64(event.key, event.part)
        item, home = (event.key, event.part), self.home_of(hashed)
        req = OpenRequest(event, spec, work_ms, known, item, hashed, home, self.rng.random())
        self.open_requests[event.id] = req
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        self.route(req, self.count_request(req))

    def route(self, req: OpenRequest, width: int) -> None:
        """Send to the picked cache: a look-up if a copy may be elsewhere, else an attempt with its fill."""
        node, look_up = self.pick_cache(req, width)
        if node is None:  # bypass the caches where allowed and the link has room, or all fills are late
            direct = len(self.in_flight) - sum(n.attempts for n in self.caches)
            fits = req.spec.write or self.meets(req, (1 + self.gateways() * direct) / self.link)
            upstream = self.pick_source(req) if self.settings.direct and fits else None
            self.send(req, upstream, upstream, "fill")
        elif not self.in_time(req, node):  # without the overdue ones, a hit may be in time
            self.send(req, node if self.in_time(req, node, with_overdue=False) else None, node, "only")
        elif look_up and req.tries + 2 < self.settings.max_attempts:
            self.send(req, node, node, "look")
        else:
            source = self.pick_source(req)
            if req.spec.write or (source and source.fill_limit.unlimited and self.may_ask_fill(req, source)):
                return self.send(req, node, source, "fill")
            stage = "check" if source and self.may_ask_fill(req, source) else "only"  # while fills are late,
            self.send(req, node, node, stage)  # hits stay prompt, and the fill limit learns from fills alone

    def may_ask_fill(self, req: OpenRequest, source: Node) -> bool:
        """Return whether a source may be asked for a fill now that can end in time on the zone's link."""
        load = (1 + self.gateways() * sum(a.stage == "fill" for a in self.in_flight.values())) / self.link
        if self.link_known and req.work_ms * load > req.event.deadline_ms - self.now:
            return False
        return source.fill_limit.admits(req.work_ms, max(self.mean.values()), req.admission_draw)

    def send(self, req: OpenRequest, node: Node | None, source: Node | None, stage: str) -> None:
        """Apply the guards, then send; a request that may not be sent is given up at once."""
        servers = [n for n in (node, source) if n and n.member.state == "SERVING"]  # drain guard, both ends
        if not node or not source or len(servers) < 2 or not self.may_send(req, node):
            return self.give_up(req)
        aim_ms = req.spec.aim_ms + req.spec.aim_stretch * req.work_ms
        if not req.tries:  # a first attempt that times out was slow; later ones had less time
            aim_ms = min(aim_ms, req.event.deadline_ms - self.now - WINDOW_MARGIN_MS)
        attempt = Attempt(node, source, stage, self.now, req.work_ms, aim_ms)
        self.in_flight[req.event.id, req.tries] = attempt
        attempt.adjust_load(1)
        attempt.from_origin = source.member.kind == self.settings.origin_kind and not req.spec.write
        if attempt.from_origin:
            self.leases.begin(self.now)
        for server in servers[: 1 + (source is not node)]:
            server.debt_ms += self.mean[req.spec.name]
        req.tries, req.in_flight = req.tries + 1, True
        rank, left = 0 if req.spec.write else req.keep_rank, req.event.deadline_ms - self.now
        pair = (node.member.server, source.member.server)
        how = (self.settings.joins, stage == "sibling", stage == "fill")  # join, held_only, renew
        late = OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * req.work_ms  # when a missing answer is a bad sign
        if source is not node:  # it may wait for its source, and a thin link carries nothing else meanwhile
            late = max(SILENT_FILL_AFTER[0] * aim_ms, SILENT_FILL_AFTER[1] * req.spec.deadline_ms)
        self.actions.append(api.Get(req.event.id, *pair, left, rank, self.max_age_ms(req, stage), *how, late))

    def give_up(self, req: OpenRequest) -> None:
        """Answer finally, at once; effects guard: refuse only where the client may safely retry."""
        if req.in_flight or self.wait_for_lease(req) or self.open_requests.pop(req.event.id, None) is None:
            return
        spec, delay_ms = req.spec, MEAN_RETRY_AFTER_MS * (0.5 + self.rng.random())
        wait_ms = min(delay_ms, self.settings.max_retry_after_ms) if self.settings.retry_after else 0.0
        retry_is_safe = req.first_run is None or repeats_anywhere(spec)
        self.actions.append(api.Refuse(req.event.id, wait_ms) if retry_is_safe else api.Fail(req.event.id))

    def wait_for_lease(self, req: OpenRequest) -> bool:
        """Reroute a request that only lacked a lease, or have it wait for one, once; return if it did."""
        ready = req.lacks_lease and self.leases.may_begin(req.event.deadline_ms, self.now)
        if not req.lacks_lease or req.waited_for_lease or not (ready or self.leases.pending_request):
            return False
        req.waited_for_lease = True
        self.lease_waiters.append(req)
        if ready:
            self.on_lease_messages([])
        return True

    def on_lease_messages(self, messages: Messages) -> None:
        """Send lease notes; once no lease request is pending, resume the requests that waited for it."""
        self.actions += [api.SendNote(peer, note) for peer, note in messages]
        if not self.leases.pending_request:
            waiters, self.lease_waiters = self.lease_waiters, []
            for r in waiters:
                if r.event.id in self.open_requests and self.leases.may_begin(r.event.deadline_ms, self.now):
                    self.route(r, 1)
                else:
                    self.give_up(r)

    def on_outcome(self, event: api.Outcome) -> None:
        """Record an attempt's end, then finish the request or send its next attempt."""
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
        """Report a kept copy to the home gateway, no more often than its directory entry needs."""
        last_server, reported_ms = self.reported.get(req.item, ("", 0.0))
        due = last_server != node.member.server or self.now - reported_ms > ENTRY_MS / 2
        in_own_zone = node.member.zone == self.settings.my_zone and not req.spec.write
        if due and in_own_zone and self.settings.siblings != "none":
            lru_put(self.reported, req.item, (node.member.server, self.now), MAX_TABLE_ENTRIES)
            self.post(req.home, api.PeerNote("kept", *req.item, node.member.server, max(0, req.event.group)))

    def send_next_attempt(self, req: OpenRequest, attempt: Attempt, status: str) -> None:
        """Send the next attempt: after a miss to where a copy may be, after a failure within the budget."""
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
            link_failed = status in LINK_FAILURES  # not the source's fault; a reset may concern one link only
            self.retry_tokens -= LINK_RETRY_COST if link_failed else 1.0
            if link_failed and (status != "econnreset" or req.tries > 1):
                req.avoid.append(attempt.node)
            if link_failed:
                return self.route(req, 1)
            source_failed = attempt.source in (attempt.node, *req.avoid)  # else only the source changes
            req.avoid.append(attempt.node if source_failed else attempt.source)
            self.route(req, 1)

    def fill_missed_cache(self, req: OpenRequest, sibling: Node | None) -> None:
        """Fill the cache whose look-up missed: from a usable warm sibling, else from above."""
        node = req.missed_cache
        if node is None or node in req.avoid or not (self.usable(node) and self.admits(node)):
            self.route(req, 1)
        elif sibling and sibling is not node and self.may_fill_from(sibling, self.settings.my_zone):
            self.send(req, node, sibling, "sibling")
        else:
            source = self.pick_source(req)
            self.send(req, node, source if source and self.may_ask_fill(req, source) else None, "fill")

    def on_client_left(self, event: api.ClientLeft) -> None:
        """Drop a request whose client left, also where it waits for its home gateway."""
        req = self.open_requests.pop(event.id, None)
        if req and event.id in (waiting_ids := self.waiting_for_home.get(req.item, [])):
            waiting_ids.remove(event.id)
            if not waiting_ids:
                del self.waiting_for_home[req.item]

    def update_health(self, req: OpenRequest | None, attempt: Attempt, event: api.Outcome) -> None:
        """Score failures: `err` in full only if another attempt is served, a broken link only once."""
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
            req.error_attempts += (attempt,)  # a bad request must not get good servers ejected
            self.attribute_failure(attempt, "doubt")
        elif event.status in FAILURE_SHARES and not (
                event.status == "econnreset" and attempt.sent_ms <= node.reset_ms):  # fmt: skip
            node.reset_ms = self.now if event.status == "econnreset" else node.reset_ms
            if event.status == "econnrefused" and not event.silent:  # its process ended: cold when back
                node.refused_ms = self.now
            self.attribute_failure(attempt, event.status)

    def attribute_failure(self, attempt: Attempt, status: str) -> None:
        """Score a failure that came quickly, on cache and source, more on the one with the worse score."""
        node, source = attempt.node, attempt.source
        node.answered_ms = self.now
        node_only = source is node or status.startswith("econn")
        self.add_failure(node, FAILURE_SHARES[status] * (1.0 if node_only else 1.0 - source.failure_score))
        if not node_only:
            self.add_failure(source, FAILURE_SHARES[status] * (1.0 - node.failure_score))

    def record_success(self, node: Node, factor: float = SUCCESS_FACTOR) -> None:
        """Lower the failure score of a server that answered."""
        node.failure_score *= factor
        node.answered_ms = self.now
        if node.trial:
            node.trial, node.failure_score, node.ejections = False, EJECT_AT / 2, max(0, node.ejections - 1)

    def add_failure(self, node: Node, share: float) -> None:
        """Raise a server's score; eject it, unless similar servers fail too: then the cause is shared."""
        node.failure_score += (1.0 - node.failure_score) * share
        if (node.failure_score < EJECT_AT or self.now < node.ejected_until_ms
                or node.member.kind == self.settings.origin_kind):  # fmt: skip
            return
        similar = [n for n in self.nodes.values() if n is not node and self.fails_alike(n, node)]
        if 2 * sum(self.now < n.ejected_until_ms or n.failure_score > EJECT_AT / 2
                   for n in similar) >= len(similar):  # fmt: skip
            return
        node.ejections, node.trial = node.ejections + 1, True
        node.ejected_until_ms = self.now + ejection_time_ms(node.ejections)
        self.actions.append(api.Log(f"left out {node.member.server}, {node.ejections} in a row"))
        stuck = [k for k, a in self.in_flight.items() if a.node is node or (a.source is node and a.overdue)]
        self.actions += [api.Cancel(*k) for k in stuck if self.settings.cancel]  # to retry elsewhere

    def fails_alike(self, other: Node, node: Node) -> bool:
        """Return whether another serving server shares causes of failure: also a parent, or of its zone."""
        similar = other in self.parents if node in self.parents else other.member.zone == node.member.zone
        return similar and other.member.state == "SERVING"

    def record_missed_aim(self, attempt: Attempt) -> None:
        """Lower a source's fill limit, once for each fill that missed its aim or was turned away."""
        if not attempt.missed_aim and attempt.source is not attempt.node:
            attempt.source.fill_limit.shrink()
        attempt.missed_aim = True

    def check_overdue(self, attempt: Attempt) -> None:
        """Score an overdue attempt, against its source if its cache has answered anything since."""
        node, source, age_ms = attempt.node, attempt.source, self.now - attempt.sent_ms
        if age_ms > attempt.aim_ms:
            self.record_missed_aim(attempt)
        if not attempt.overdue and age_ms > OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * attempt.work_ms:
            attempt.overdue = True
            node.overdue += 1
            bad = source if node.answered_ms > attempt.sent_ms else node
            self.add_failure(bad, FAILURE_SHARES["silence" if bad.answered_ms <= attempt.sent_ms else "slow"])

    def on_timer(self, event: api.TimerDue) -> None:
        """Check for overdue attempts and drop old purges; poll discovery; stop waiting for a home gateway."""
        if event.token == "watch":
            self.actions.append(api.Watch())
        elif event.token != "sweep":
            req = self.open_requests.get(int(event.token)) if event.token.isdecimal() else None
            if req and req.event.id in self.waiting_for_home.get(req.item, []):  # not of an older wait
                self.silent_homes[req.home] = self.now + ASK_AGAIN_MS
                self.resume_waiting(req.item, None)
        else:
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
            on_time, self.last_sweep_ms = self.now - self.last_sweep_ms < 4.0 * SWEEP_MS, self.now
            for attempt in list(self.in_flight.values()) if on_time else ():  # else this process lagged:
                self.check_overdue(attempt)  # answers may be unread, and good servers would be ejected
            self.on_lease_messages(self.leases.tick(self.now))
            self.purges.forget_until(self.now - self.settings.purge_done_ms - WINDOW_MARGIN_MS)

    def ask_home(self, req: OpenRequest, cache: str) -> None:
        """Ask the home gateway for a holder and wait a small share of the aim; not near the deadline."""
        wait, left = HOME_WAIT_SHARE * req.spec.aim_ms, req.event.deadline_ms - self.now
        if req.home == self.settings.my_number:
            self.fill_missed_cache(req, self.candidate(req.item, self.settings.my_zone, cache))
        elif not self.settings.peers or self.now < self.silent_homes.get(req.home, 0.0) or left < 3.0 * wait:
            self.fill_missed_cache(req, None)
        else:
            self.waiting_for_home.setdefault(req.item, []).append(req.event.id)
            self.post(req.home, api.PeerNote("ask", *req.item, cache, self.zone_number))
            self.actions.append(api.SetTimer(wait, str(req.event.id)))

    def resume_waiting(self, item: tuple[int, int], sibling: Node | None) -> None:
        """Continue the requests that waited for a home gateway."""
        for id in self.waiting_for_home.pop(item, []):
            if id in self.open_requests:
                self.fill_missed_cache(self.open_requests[id], sibling)

    def may_fill_from(self, node: Node, zone: str) -> bool:
        """Return whether a zone's caches may fill from this one: allowed, usable and warm."""
        allowed = self.settings.siblings == "any" or node.member.zone == zone
        return allowed and self.usable(node) and self.cold_rate(node) == math.inf

    def candidate(self, item: tuple[int, int], zone: str, excluded: str) -> Node | None:
        """Return the next listed holder, round robin; entries from before a purge or restart are dropped."""
        purged_ms = self.purges.latest(item[0], self.directory.group(item))
        for server, listed_ms in self.directory.holders(item, purged_ms, self.now):
            node = self.nodes.get(server)
            if node is None or listed_ms <= node.joined_ms:
                self.directory.drop(item, server)
            elif server != excluded and self.may_fill_from(node, zone):
                self.directory.name(item, server)
                return node
        return None

    def post(self, peer: int, note: api.PeerNote) -> None:
        """Send a note to a peer; one to this gateway itself is handled at once."""
        if peer == self.settings.my_number:
            self.on_peer(api.PeerMessage(peer, note))
        elif self.settings.peers:
            self.actions.append(api.SendNote(peer, note))

    def on_peer(self, event: api.PeerMessage) -> None:
        """Handle a query, its answer, or news that a cache keeps or lacks an object."""
        if isinstance(event.note, api.LeaseNote):
            return self.on_lease_messages(self.leases.receive(event.sender, event.note, self.now))
        note, zones = event.note, self.settings.zones
        item, node = (note.key, note.part), self.nodes.get(note.server)
        if note.kind == "ask" and note.number < len(zones):
            holder = self.candidate(item, zones[note.number], note.server)
            self.post(event.sender, api.PeerNote("holder", *item, holder.member.server if holder else ""))
        elif note.kind == "holder":
            self.resume_waiting(item, node)
        elif note.kind == "lacks":
            self.directory.drop(item, note.server)
        elif note.kind == "kept" and node is not None:
            self.directory.add(item, note.number, note.server, self.now)

    def on_purged(self, event: api.Purged) -> None:
        """Record a purge, which bounds the age of copies and of directory entries."""
        self.purges.record(event.key, event.group, self.now - event.age_ms)
