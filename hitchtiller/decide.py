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
from hitchtiller.routing.blame import (
    ASSUMED_FILL_SHARE,
    EJECT_AT,
    FAILURE_SHARES,
    SUCCESS_FACTOR,
    ejection_ms,
)
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
        self.handlers: dict[type, Callable[[Any], object]] = {
            api.Request: self.on_request,
            api.Outcome: self.on_outcome,
            api.TimerDue: self.on_timer,
            api.PeerMessage: self.on_peer,
            api.Members: self.on_members,
            api.Purged: self.on_purged,
            api.StreamBegun: lambda event: None,
            api.Probed: lambda event: None,
            api.ClientLeft: self.on_client_left,
        }
        self.zone_number = zone = settings.zones.index(settings.my_zone)
        self.hub_zone = settings.zones[settings.hub_of[zone]] if settings.hub_of else ""
        link_kb_per_s = settings.link_kb_per_s[zone] if settings.link_kb_per_s else 0.0
        self.link_transfers = (
            link_kb_per_s / (settings.flow_kb_per_s or math.inf) or 8.0
        )  # transfers that it carries at once
        self.link_known = link_kb_per_s > 0.0 and settings.flow_kb_per_s > 0.0  # stated in the settings
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
        zone, upstream_kinds = (
            self.settings.my_zone,
            (self.settings.parent_kind, self.settings.origin_kind, None),
        )
        self.caches = [
            n for n in self.nodes.values() if n.member.zone == zone and n.member.kind not in upstream_kinds
        ]
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

    def max_age_ms(self, request: OpenRequest, stage: str) -> float:
        """Return the largest age of a copy that will do, 0 for any; adds grace where no fill would follow."""
        fresh_ms = request.request_class.fresh_ms + (
            request.request_class.grace_ms if stage == "only" else 0.0
        )
        age_ms = min(
            fresh_ms or math.inf,
            max(1.0, self.now - self.purges.latest(request.event.key, request.event.group)),
        )
        return 0.0 if age_ms == math.inf else age_ms

    def may_send(self, request: OpenRequest, node: Node) -> bool:
        """Deadline and effects guards: no send past the deadline, none that could repeat an effect."""
        if (
            request.in_flight
            or request.attempt_count >= self.settings.max_attempts
            or self.now >= request.event.deadline_ms
        ):
            return False
        return self.may_repeat(request, node)

    def may_repeat(self, request: OpenRequest, node: Node) -> bool:
        """Effects guard, also at the first byte: the window starts at the first attempt that may have run."""
        request_class = request.request_class
        if request.first_run is None or request_class.effect == "repeatable":
            return True
        in_window = self.now < request.first_run[0] + request_class.repeat_window_ms - WINDOW_MARGIN_MS
        return (
            request_class.effect == "by_key"
            and in_window
            and same_scope(request_class, request.first_run[1].member, node.member)
        )

    def recheck_send(self, id: int, number: int, now_ms: float) -> float | None:
        """Apply the guards again at an attempt's first byte; return its age bound, or None to stop it."""
        request, attempt, self.now = self.open_requests.get(id), self.in_flight.get((id, number)), now_ms
        if not request or not attempt or now_ms >= request.event.deadline_ms:
            return None
        if attempt.from_origin and not self.leases.covers(request.event.deadline_ms, now_ms):
            return None
        serving = attempt.node.member.state == "SERVING" and attempt.source.member.state == "SERVING"
        return (
            self.max_age_ms(request, attempt.stage)
            if serving and self.may_repeat(request, attempt.node)
            else None
        )

    def usable(self, node: Node) -> bool:
        """Return whether a server may be picked: serving, and not ejected or on trial with an attempt out."""
        return (
            node.member.state == "SERVING"
            and self.now >= node.ejected_until_ms
            and not (node.trial and node.in_flight)
        )

    def rank_servers(self, hashed: int) -> tuple[list[Node], list[Node]]:
        """Rank the zone's caches, and the parents, by rendezvous hash; remembered until the list changes."""
        ranking = self.rankings.get(hashed)
        if ranking is None:
            ranking = (rank_by_hash(hashed, self.caches), rank_by_hash(hashed, self.parents))
            lru_put(self.rankings, hashed, ranking, MAX_TABLE_ENTRIES)
        return ranking

    def pick_cache(self, request: OpenRequest, width: int) -> tuple[Node | None, bool]:
        """Pick a cache, an ejected one rather than none; also return whether a copy may be at another one."""
        ranking = self.rank_servers(request.object_hash)[0]
        serving = [n for n in ranking if n.member.state == "SERVING" and n not in request.avoid]
        admitted = [n for n in serving if self.admits(n)]
        eligible = [n for n in admitted if self.usable(n)] or admitted
        if not eligible:
            return None, False
        node = min(eligible[:width], key=lambda n: n.load_ms / n.capacity)
        if not self.in_time(request, node):  # try the rest of the zone before refusing
            node = min(
                eligible, key=lambda n: (n.load_ms + request.work_ms) * n.pace.now(self.now) / n.capacity
            )
        elsewhere = width > 1 or node is not ranking[0] or self.now < node.joined_ms + PLACEMENT_CHANGE_MS
        return node, elsewhere and not request.request_class.write and self.settings.siblings != "none"

    def serving_gateways(self) -> float:
        """Return this zone's gateways in service; used to estimate loads, never for a guard's share."""
        return max(1.0, self.cold_guard.in_zone * self.serving_share())

    def in_time(self, request: OpenRequest, node: Node, with_overdue: bool = True) -> bool:
        """Return whether a request can meet its aim under the load, counted with or without overdue work."""
        total = sum(n.attempts if with_overdue else n.attempts - n.overdue for n in self.caches)
        own = node.attempts if with_overdue else node.attempts - node.overdue
        others = (self.serving_gateways() - 1.0) * total  # the other gateways have as many on average
        load = others / self.zone_capacity + (1 + own) / node.capacity
        return self.meets_aim(
            request,
            load if request.request_class.write else max(load, node.pace.significant_stretch(self.now)),
        )

    def meets_aim(self, request: OpenRequest, load: float) -> bool:
        """Return whether sending stays within the aim when a load on the link stretches it."""
        work_ms = request.work_ms * (1.0 if request.size_known else UNKNOWN_SIZE_FACTOR)
        aim_ms = (
            request.request_class.aim_ms + request.request_class.aim_stretch * work_ms
        )  # a load below 1 stretches nothing
        return work_ms * load < (aim_ms if load < 1.0 else MAX_AIM_SHARE * aim_ms)

    def pick_source(self, request: OpenRequest) -> Node | None:
        """Pick where a miss is filled from: the hashed hub parent, another hashed parent, or the origin."""
        parents = [
            n for n in self.rank_servers(request.object_hash)[1] if self.usable(n) and n not in request.avoid
        ]
        for node in [n for n in parents if n.member.zone == self.hub_zone][:1] + parents:
            if not request.request_class.write and self.admits(node):
                return node
        if not request.request_class.write and not self.leases.may_begin(request.event.deadline_ms, self.now):
            self.actions += [api.SendNote(peer, note) for peer, note in self.leases.request_lease(self.now)]
            request.lacks_lease = True
            return None
        return next(iter(self.origins), None)

    def count_request(self, request: OpenRequest) -> int:
        """Count a request for its object; set its keep rank and return how many caches should share it."""
        requests = self.popularity.count(request.item, self.now)
        request.keep_rank = keep_rank(requests)
        mean_capacity = self.zone_capacity / max(1, len(self.caches)) or 1.0
        load_share = requests * request.work_ms * self.serving_gateways() / DECAY_MS / mean_capacity
        return caches_for(requests, load_share)

    def on_request(self, event: api.Request) -> None:
        """Handle a client's request: send its first attempt."""
        request_class = self.settings.classes[event.class_name]
        work_ms, size_known = self.sizes.estimate(event)
        hashed = hash64(event.key, event.part)
        item, home_number = (event.key, event.part), self.home_of(hashed)
        request = OpenRequest(
            event, request_class, work_ms, size_known, item, hashed, home_number, self.rng.random()
        )
        self.open_requests[event.id] = request
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        self.route(request, self.count_request(request))

    def route(self, request: OpenRequest, width: int) -> None:
        """Send to the picked cache: a look-up if a copy may be elsewhere, else an attempt with its fill."""
        node, look_up = self.pick_cache(request, width)
        if node is None:  # bypass the caches where allowed and the link has room, or all fills are late
            direct_count = len(self.in_flight) - sum(n.attempts for n in self.caches)
            fits = request.request_class.write or self.meets_aim(
                request, (1 + self.serving_gateways() * direct_count) / self.link_transfers
            )
            upstream = self.pick_source(request) if self.settings.direct and fits else None
            self.send(request, upstream, upstream, "fill")
        elif not self.in_time(request, node):  # without the overdue ones, a hit may be in time
            self.send(
                request, node if self.in_time(request, node, with_overdue=False) else None, node, "only"
            )
        elif look_up and request.attempt_count + 2 < self.settings.max_attempts:
            self.send(request, node, node, "look")
        else:
            source = self.pick_source(request)
            if request.request_class.write or (
                source and source.fill_limit.unlimited and self.may_ask_fill(request, source)
            ):
                return self.send(request, node, source, "fill")
            stage = (
                "check" if source and self.may_ask_fill(request, source) else "only"
            )  # while fills are late,
            self.send(
                request, node, node, stage
            )  # hits stay prompt, and the fill limit learns from fills alone

    def may_ask_fill(self, request: OpenRequest, source: Node) -> bool:
        """Return whether a source may be asked for a fill now that can end in time on the zone's link."""
        load = (
            1 + self.serving_gateways() * sum(a.stage == "fill" for a in self.in_flight.values())
        ) / self.link_transfers
        if self.link_known and request.work_ms * load > request.event.deadline_ms - self.now:
            return False
        return source.fill_limit.admits(request.work_ms, max(self.mean.values()), request.admission_draw)

    def send(self, request: OpenRequest, node: Node | None, source: Node | None, stage: str) -> None:
        """Apply the guards, then send; a request that may not be sent is given up at once."""
        servers = [n for n in (node, source) if n and n.member.state == "SERVING"]  # drain guard, both ends
        if not node or not source or len(servers) < 2 or not self.may_send(request, node):
            return self.give_up(request)
        aim_ms = request.request_class.aim_ms + request.request_class.aim_stretch * request.work_ms
        if not request.attempt_count:  # a first attempt that times out was slow; later ones had less time
            aim_ms = min(aim_ms, request.event.deadline_ms - self.now - WINDOW_MARGIN_MS)
        attempt = Attempt(node, source, stage, self.now, request.work_ms, aim_ms)
        self.in_flight[request.event.id, request.attempt_count] = attempt
        attempt.adjust_load(1)
        attempt.from_origin = (
            source.member.kind == self.settings.origin_kind and not request.request_class.write
        )
        if attempt.from_origin:
            self.leases.begin(self.now)
        for server in servers[: 1 + (source is not node)]:
            server.debt_ms += self.mean[request.request_class.name]
        request.attempt_count, request.in_flight = request.attempt_count + 1, True
        copy_rank, remaining_ms = (
            0 if request.request_class.write else request.keep_rank,
            request.event.deadline_ms - self.now,
        )
        server_names = (node.member.server, source.member.server)
        fill_flags = (self.settings.joins, stage == "sibling", stage == "fill")  # join, held_only, renew
        overdue_after_ms = (
            OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * request.work_ms
        )  # when a missing answer is a bad sign
        if source is not node:  # it may wait for its source, and a thin link carries nothing else meanwhile
            overdue_after_ms = max(
                SILENT_FILL_AFTER[0] * aim_ms, SILENT_FILL_AFTER[1] * request.request_class.deadline_ms
            )
        self.actions.append(
            api.Get(
                request.event.id,
                *server_names,
                remaining_ms,
                copy_rank,
                self.max_age_ms(request, stage),
                *fill_flags,
                overdue_after_ms,
            )
        )

    def give_up(self, request: OpenRequest) -> None:
        """Answer finally, at once; effects guard: refuse only where the client may safely retry."""
        if (
            request.in_flight
            or self.wait_for_lease(request)
            or self.open_requests.pop(request.event.id, None) is None
        ):
            return
        request_class, delay_ms = request.request_class, MEAN_RETRY_AFTER_MS * (0.5 + self.rng.random())
        wait_ms = min(delay_ms, self.settings.max_retry_after_ms) if self.settings.retry_after else 0.0
        may_client_retry = request.first_run is None or repeats_anywhere(request_class)
        self.actions.append(
            api.Refuse(request.event.id, wait_ms) if may_client_retry else api.Fail(request.event.id)
        )

    def wait_for_lease(self, request: OpenRequest) -> bool:
        """Reroute a request that only lacked a lease, or have it wait for one, once; return if it did."""
        lease_ready = request.lacks_lease and self.leases.may_begin(request.event.deadline_ms, self.now)
        if (
            not request.lacks_lease
            or request.waited_for_lease
            or not (lease_ready or self.leases.pending_request)
        ):
            return False
        request.waited_for_lease = True
        self.lease_waiters.append(request)
        if lease_ready:
            self.on_lease_messages([])
        return True

    def on_lease_messages(self, messages: Messages) -> None:
        """Send lease notes; once no lease request is pending, resume the requests that waited for it."""
        self.actions += [api.SendNote(peer, note) for peer, note in messages]
        if not self.leases.pending_request:
            waiters, self.lease_waiters = self.lease_waiters, []
            for request in waiters:
                if request.event.id in self.open_requests and self.leases.may_begin(
                    request.event.deadline_ms, self.now
                ):
                    self.route(request, 1)
                else:
                    self.give_up(request)

    def on_outcome(self, event: api.Outcome) -> None:
        """Record an attempt's end, then finish the request or send its next attempt."""
        attempt, request = (
            self.in_flight.pop((event.id, event.attempt), None),
            self.open_requests.get(event.id),
        )
        if attempt:
            attempt.adjust_load(-1)
            if attempt.from_origin:
                self.leases.end(self.now)
            attempt.node.overdue -= attempt.overdue
            self.update_health(request, attempt, event)
        if not attempt or not request:
            return
        request.in_flight = False
        if event.status not in NEVER_RAN and request.first_run is None:
            request.first_run = (attempt.sent_ms, attempt.node)
        if event.closed:
            del self.open_requests[event.id]
            if event.status == "done":
                self.sizes.learn(
                    request.event, event, not request.request_class.write, attempt.node.pace.now(self.now)
                )
                self.served(request, attempt.node)
        elif self.now >= request.event.deadline_ms - 1.0:
            self.give_up(request)
        else:
            self.send_next_attempt(request, attempt, event.status)

    def served(self, request: OpenRequest, node: Node) -> None:
        """Report a kept copy to the home gateway, no more often than its directory entry needs."""
        last_server, reported_ms = self.reported.get(request.item, ("", 0.0))
        due = last_server != node.member.server or self.now - reported_ms > ENTRY_MS / 2
        in_own_zone = node.member.zone == self.settings.my_zone and not request.request_class.write
        if due and in_own_zone and self.settings.siblings != "none":
            lru_put(self.reported, request.item, (node.member.server, self.now), MAX_TABLE_ENTRIES)
            self.send_note(
                request.home_number,
                api.PeerNote("kept", *request.item, node.member.server, max(0, request.event.group)),
            )

    def send_next_attempt(self, request: OpenRequest, attempt: Attempt, status: str) -> None:
        """Send the next attempt: after a miss to where a copy may be, after a failure within the budget."""
        if status == "enoent" and attempt.stage == "look":
            request.missed_cache = attempt.node
            self.ask_home(request, attempt.node.member.server)
        elif status == "enoent" and attempt.stage == "check":
            request.missed_cache = attempt.node
            self.fill_missed_cache(request, None)
        elif status == "enoent" and attempt.stage == "sibling":
            self.send_note(
                request.home_number, api.PeerNote("lacks", *request.item, attempt.source.member.server)
            )
            self.fill_missed_cache(request, None)
        elif self.retry_tokens < 1.0 or attempt.stage == "only" or len(request.error_attempts) >= MAX_ERRORS:
            self.give_up(request)
        else:
            link_failed = status in LINK_FAILURES  # not the source's fault; a reset may concern one link only
            self.retry_tokens -= LINK_RETRY_COST if link_failed else 1.0
            if link_failed and (status != "econnreset" or request.attempt_count > 1):
                request.avoid.append(attempt.node)
            if link_failed:
                return self.route(request, 1)
            source_failed = attempt.source in (attempt.node, *request.avoid)  # else only the source changes
            request.avoid.append(attempt.node if source_failed else attempt.source)
            self.route(request, 1)

    def fill_missed_cache(self, request: OpenRequest, sibling: Node | None) -> None:
        """Fill the cache whose look-up missed: from a usable warm sibling, else from above."""
        node = request.missed_cache
        if node is None or node in request.avoid or not (self.usable(node) and self.admits(node)):
            self.route(request, 1)
        elif sibling and sibling is not node and self.may_fill_from(sibling, self.settings.my_zone):
            self.send(request, node, sibling, "sibling")
        else:
            source = self.pick_source(request)
            self.send(
                request, node, source if source and self.may_ask_fill(request, source) else None, "fill"
            )

    def on_client_left(self, event: api.ClientLeft) -> None:
        """Drop a request whose client left, also where it waits for its home gateway."""
        request = self.open_requests.pop(event.id, None)
        if request and event.id in (waiting_ids := self.waiting_for_home.get(request.item, [])):
            waiting_ids.remove(event.id)
            if not waiting_ids:
                del self.waiting_for_home[request.item]

    def update_health(self, request: OpenRequest | None, attempt: Attempt, event: api.Outcome) -> None:
        """Score failures: `err` in full only if another attempt is served, a broken link only once."""
        node, source = attempt.node, attempt.source
        if event.status == "busy" or (event.status == "done" and self.now - attempt.sent_ms > attempt.aim_ms):
            self.record_missed_aim(attempt)
        elif event.status == "done" and source is not node:
            source.fill_limit.grow()
        if event.status == "done" and event.note == 1 and request and request.size_known and event.whole:
            node.pace.record(self.now, event.latency_ms / request.work_ms)
        if event.status in ("done", "enoent"):
            self.record_success(node)
            fill_unknown = self.settings.notes == "none" and event.status == "done"
            if source is not node and (event.note in (2, 3) or fill_unknown):
                self.record_success(
                    source, SUCCESS_FACTOR**ASSUMED_FILL_SHARE if fill_unknown else SUCCESS_FACTOR
                )
            for failed in request.error_attempts if request and event.status == "done" else ():
                self.attribute_failure(failed, "err")
        elif event.status == "err" and request:
            request.error_attempts += (attempt,)  # a bad request must not get good servers ejected
            self.attribute_failure(attempt, "doubt")
        elif event.status in FAILURE_SHARES and not (
            event.status == "econnreset" and attempt.sent_ms <= node.reset_ms
        ):
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
        if (
            node.failure_score < EJECT_AT
            or self.now < node.ejected_until_ms
            or node.member.kind == self.settings.origin_kind
        ):
            return
        similar = [n for n in self.nodes.values() if n is not node and self.fails_alike(n, node)]
        if 2 * sum(self.now < n.ejected_until_ms or n.failure_score > EJECT_AT / 2 for n in similar) >= len(
            similar
        ):
            return
        node.ejections, node.trial = node.ejections + 1, True
        node.ejected_until_ms = self.now + ejection_ms(node.ejections)
        self.actions.append(api.Log(f"left out {node.member.server}, {node.ejections} in a row"))
        stuck = [
            attempt_id
            for attempt_id, attempt in self.in_flight.items()
            if attempt.node is node or (attempt.source is node and attempt.overdue)
        ]
        self.actions += [
            api.Cancel(*attempt_id) for attempt_id in stuck if self.settings.cancel
        ]  # to retry elsewhere

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
            failed_node = source if node.answered_ms > attempt.sent_ms else node
            self.add_failure(
                failed_node,
                FAILURE_SHARES["silence" if failed_node.answered_ms <= attempt.sent_ms else "slow"],
            )

    def on_timer(self, event: api.TimerDue) -> None:
        """Check for overdue attempts and drop old purges; poll discovery; stop waiting for a home gateway."""
        if event.token == "watch":
            self.actions.append(api.Watch())
        elif event.token != "sweep":
            request = self.open_requests.get(int(event.token)) if event.token.isdecimal() else None
            if request and request.event.id in self.waiting_for_home.get(
                request.item, []
            ):  # not of an older wait
                self.silent_homes[request.home_number] = self.now + ASK_AGAIN_MS
                self.resume_waiting(request.item, None)
        else:
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
            on_time, self.last_sweep_ms = self.now - self.last_sweep_ms < 4.0 * SWEEP_MS, self.now
            for attempt in list(self.in_flight.values()) if on_time else ():  # else this process lagged:
                self.check_overdue(attempt)  # answers may be unread, and good servers would be ejected
            self.on_lease_messages(self.leases.tick(self.now))
            self.purges.forget_until(self.now - self.settings.purge_done_ms - WINDOW_MARGIN_MS)

    def ask_home(self, request: OpenRequest, cache: str) -> None:
        """Ask the home gateway for a holder and wait a small share of the aim; not near the deadline."""
        wait_ms, remaining_ms = (
            HOME_WAIT_SHARE * request.request_class.aim_ms,
            request.event.deadline_ms - self.now,
        )
        if request.home_number == self.settings.my_number:
            self.fill_missed_cache(request, self.candidate(request.item, self.settings.my_zone, cache))
        elif (
            not self.settings.peers
            or self.now < self.silent_homes.get(request.home_number, 0.0)
            or remaining_ms < 3.0 * wait_ms
        ):
            self.fill_missed_cache(request, None)
        else:
            self.waiting_for_home.setdefault(request.item, []).append(request.event.id)
            self.send_note(request.home_number, api.PeerNote("ask", *request.item, cache, self.zone_number))
            self.actions.append(api.SetTimer(wait_ms, str(request.event.id)))

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

    def send_note(self, peer: int, note: api.PeerNote) -> None:
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
            self.send_note(
                event.sender, api.PeerNote("holder", *item, holder.member.server if holder else "")
            )
        elif note.kind == "holder":
            self.resume_waiting(item, node)
        elif note.kind == "lacks":
            self.directory.drop(item, note.server)
        elif note.kind == "kept" and node is not None:
            self.directory.add(item, note.number, note.server, self.now)

    def on_purged(self, event: api.Purged) -> None:
        """Record a purge, which bounds the age of copies and of directory entries."""
        self.purges.record(event.key, event.group, self.now - event.age_ms)
