"""Decides to which server a gateway sends each request, and where a cache's miss is filled from.

A `Router` holds the decisions of one gateway. It is passed events and returns actions; it reads no clock and
does no input or output.

The scheme (dbDCM): a rendezvous hash of the object picks one cache of the zone, or two or three for
frequently requested objects. A hash over the gateways' numbers picks an object's home gateway, whose
directory lists the caches that may hold the object. A look-up, which asks a cache only for a copy that it
holds, asks the home gateway after a miss. The cache is then filled from one sibling, which is another cache
that the directory lists. Without one, it is filled from the parent of the hub zone that the hash ranks first,
then from the one that it ranks first among all parents, then from the origin.

Terms. The work of a request is the time to send its bytes at full rate. Its aim is the time within which its
answer earns the full worth, and its deadline is the time until which its client waits. A cold server has
started recently and gets only a limited rate of work until it is warm. An ejected server has failed too often
and is not picked for a while.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

from hitchtiller import interface as api
from hitchtiller.records import Attempt, Node, OpenRequest, hash64, lru_put, rank_by_hash
from hitchtiller.routing.blame import (
    ASSUMED_FILL_SHARE,
    EJECTION_SCORE,
    FAILURE_SHARES,
    SUCCESS_FACTOR,
    ejection_ms,
)
from hitchtiller.routing.capacity import Capacity
from hitchtiller.routing.cold import ColdGuard
from hitchtiller.routing.directory import ENTRY_TTL_MS, Directory
from hitchtiller.routing.effects import repeats_anywhere, same_scope
from hitchtiller.routing.leases import Messages, OriginLeases
from hitchtiller.routing.popularity import DECAY_MS, Popularity, caches_for, keep_rank
from hitchtiller.routing.purges import PurgeLog
from hitchtiller.routing.sizes import Sizes

# Placement and the directory
MAX_TABLE_ENTRIES = 4096  # per table; more cost memory, fewer forget rarely requested objects
PLACEMENT_CHANGE_MS = 15_000.0  # a new cache is looked up first: longer costs look-ups, shorter costs fills
HOME_WAIT_SHARE = 0.08  # of the aim, for the home gateway's answer: longer is slow, shorter misses siblings
ASK_AGAIN_MS = 500.0  # wait before a silent home gateway, or discovery, is asked again

# Guards
MAX_ORIGIN_FILLS = 24  # simultaneous fills from the origin, of all gateways together: its link is thin
WINDOW_MARGIN_MS = 100.0  # kept from the end of a time window, for clock differences and network delay

# Server health
MAX_ERRORS = 3  # `err` answers until the request itself is taken to be at fault; more add load
# An attempt is overdue after the first number of ms plus the second times its work; time between checks.
OVERDUE_AFTER, SWEEP_MS = (400.0, 2.0), 50.0
# A fill that is silent for longer than this multiple of its aim, and longer than this share of its class's
# deadline, has a stuck connection.
SILENT_FILL_AFTER = 2.0, 0.5

# Retries and refusals
# The retry budget: each request adds to it, each retry takes from it. More rescue requests, but add load.
RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS = 0.2, 20.0
# A retry after a broken link costs less than a token, since one break can end many attempts.
LINK_FAILURES, LINK_RETRY_COST = ("econnreset", "econnrefused", "etimedout"), 0.25
MEAN_RETRY_AFTER_MS = 400.0  # mean time that a refused client is told to wait
# Under load, a request is refused if it would take more than this share of its aim; the second number is the
# median size over the mean size, for requests whose size is unknown.
MAX_AIM_SHARE, UNKNOWN_SIZE_FACTOR = 0.65, 0.6

NEVER_RAN = ("busy", "econnrefused", "skipped", "enoent")  # statuses that prove that an attempt did not run


class Router:
    """The decisions of one gateway: pass it events, and carry out the actions that it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start from the settings alone, with no server known."""
        self.settings, self.rng = settings, Random(seed)
        self.now_ms, self.actions = 0.0, list[api.Action]()  # time of the event, actions decided so far
        self.nodes, self.caches, self.parents = dict[str, Node](), list[Node](), list[Node]()
        self.origins, self.zone_capacity = list[Node](), 0.0  # sum over the zone's caches
        # open requests by id; attempts in flight by id of the request and number of the attempt
        self.open_requests, self.in_flight = dict[int, OpenRequest](), dict[tuple[int, int], Attempt]()
        self.popularity = Popularity()
        self.directory = Directory()  # the slice that this gateway keeps as a home gateway
        # by object and part: the cache that was last reported to the home gateway as a holder, and when
        self.reported_copies: dict[tuple[int, int], tuple[str, float]] = {}
        # by object and part: ids of the requests that wait for the home gateway's answer
        self.waiting_for_home: dict[tuple[int, int], list[int]] = {}
        # number of an object's home gateway, by the object's hash; membership replaces this function
        self.home_of: Callable[[int], int] = lambda object_hash: object_hash % settings.group_size
        # share of all gateways that are in service; membership replaces this function
        self.serving_share: Callable[[], float] = lambda: 1.0
        # numbers of the home gateways that did not answer, with the time from which they are asked again
        self.silent_homes: dict[int, float] = {}
        self.purges = PurgeLog()
        self.rankings: dict[int, tuple[list[Node], list[Node]]] = {}  # caches and parents, by object hash
        self.sizes = Sizes(settings)
        # mean work by class
        self.capacity_model, self.mean_work_ms = Capacity(settings), self.sizes.mean_work_ms
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
        # transfers that the zone's link carries at once, and whether the settings state it
        self.link_transfers = link_kb_per_s / (settings.flow_kb_per_s or math.inf) or 8.0
        self.link_known = link_kb_per_s > 0.0 and settings.flow_kb_per_s > 0.0
        self.cold_guard = ColdGuard(settings)
        self.leases, self.lease_waiters = OriginLeases(settings, MAX_ORIGIN_FILLS), list[OpenRequest]()

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Decide on one event; the returned actions are to be carried out in their order."""
        self.now_ms, self.actions = now_ms, []
        self.handlers[type(event)](event)
        return self.actions

    # Server list

    def on_members(self, event: api.Members) -> None:
        """Update the known servers from a server list, or from changes of it.

        A server that a whole list lacks is removed.
        """
        if not self.nodes:
            self.leases.start(self.now_ms)
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
        if self.settings.asks_discovery and (event.failed or not self.nodes):
            self.actions.append(api.SetTimer(ASK_AGAIN_MS * event.failed, "watch"))
        listed = {member.server for member in event.members}
        removed = [n.member for n in self.nodes.values() if event.whole and n.member.server not in listed]
        for member in [*event.members, *(replace(m, state="DELETED") for m in removed)]:
            node = self.nodes.get(member.server)
            if node is None:
                salt = hash64(*member.server.encode())
                self.nodes[member.server] = Node(member, salt, self.now_ms, member.started_ms or -math.inf)
                continue
            node.update(member, self.now_ms)
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

    # Guards: rules that no attempt may break, whatever the load

    def cold_rate(self, node: Node) -> float:
        """Cold guard: return the work per ms that this gateway may add to a server, infinite if it is warm.

        A server that started recently may get one attempt in advance of this rate.
        """
        return self.cold_guard.work_rate_for(
            node, self.now_ms, max(self.mean_work_ms.values()), self.serving_share()
        )

    def admits(self, node: Node) -> bool:
        """Cold guard: return whether a server may get one more attempt.

        Each attempt adds the mean work of its class to a cold server's debt, and the rate pays it off with
        time. A server may get an attempt once its debt is paid off.
        """
        return self.cold_guard.admits(
            node, self.now_ms, max(self.mean_work_ms.values()), self.serving_share()
        )

    def max_age_ms(self, request: OpenRequest, stage: str) -> float:
        """Return the largest age of a copy that will do, or 0 if any age will.

        A copy must be younger than the latest purge of its object or group, and no older than the time for
        which its class is fresh. Where no fill would follow, the grace time of the class is added.
        """
        fresh_ms = request.request_class.fresh_ms + (
            request.request_class.grace_ms if stage == "only" else 0.0
        )
        age_ms = min(
            fresh_ms or math.inf,
            max(1.0, self.now_ms - self.purges.latest(request.event.key, request.event.group)),
        )
        return 0.0 if age_ms == math.inf else age_ms

    def may_send(self, request: OpenRequest, node: Node) -> bool:
        """Deadline and effects guards: return whether an attempt may be sent now.

        None is sent past the deadline, and none that could repeat an effect.
        """
        if (
            request.in_flight
            or request.attempt_count >= self.settings.max_attempts
            or self.now_ms >= request.event.deadline_ms
        ):
            return False
        return self.may_repeat(request, node)

    def may_repeat(self, request: OpenRequest, node: Node) -> bool:
        """Effects guard: return whether an attempt at this server is safe after the earlier attempts.

        It is checked before the send and again at the first byte. An effect that is known by its key may be
        repeated at servers that know the key, within the repeat window, which starts at the first attempt
        that may have run.
        """
        request_class = request.request_class
        if request.first_run is None or request_class.effect == "repeatable":
            return True
        in_window = self.now_ms < request.first_run[0] + request_class.repeat_window_ms - WINDOW_MARGIN_MS
        return (
            request_class.effect == "by_key"
            and in_window
            and same_scope(request_class, request.first_run[1].member, node.member)
        )

    def recheck_send(self, id: int, attempt_number: int, now_ms: float) -> float | None:
        """Apply the guards again at an attempt's first byte.

        Return the largest age of a copy that will do then, or None to stop the attempt.
        """
        request, attempt, self.now_ms = (
            self.open_requests.get(id),
            self.in_flight.get((id, attempt_number)),
            now_ms,
        )
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

    # Picking servers

    def is_usable(self, node: Node) -> bool:
        """Return whether a server may be picked: it is in service and not ejected.

        After an ejection a server is on trial, and is not picked while an attempt at it is in flight.
        """
        return (
            node.member.state == "SERVING"
            and self.now_ms >= node.ejected_until_ms
            and not (node.on_trial and node.in_flight)
        )

    def rank_servers(self, object_hash: int) -> tuple[list[Node], list[Node]]:
        """Rank the zone's caches, and the parents, by rendezvous hash with an object's hash.

        Rankings are remembered until the server list changes.
        """
        ranking = self.rankings.get(object_hash)
        if ranking is None:
            ranking = (rank_by_hash(object_hash, self.caches), rank_by_hash(object_hash, self.parents))
            lru_put(self.rankings, object_hash, ranking, MAX_TABLE_ENTRIES)
        return ranking

    def pick_cache(self, request: OpenRequest, width: int) -> tuple[Node | None, bool]:
        """Pick the least loaded of the first `width` caches in the object's ranking.

        Return it, or None, and whether a copy may be at another cache, so that a look-up should come first.
        An ejected cache is picked rather than none.
        """
        ranking = self.rank_servers(request.object_hash)[0]
        serving = [n for n in ranking if n.member.state == "SERVING" and n not in request.avoid]
        admitted = [n for n in serving if self.admits(n)]
        eligible = [n for n in admitted if self.is_usable(n)] or admitted
        if not eligible:
            return None, False
        node = min(eligible[:width], key=lambda n: n.load_ms / n.capacity)
        if not self.in_time(request, node):  # try the other caches of the zone before refusing
            node = min(
                eligible,
                key=lambda n: (n.load_ms + request.work_ms) * n.pace.current(self.now_ms) / n.capacity,
            )
        elsewhere = width > 1 or node is not ranking[0] or self.now_ms < node.joined_ms + PLACEMENT_CHANGE_MS
        return node, elsewhere and not request.request_class.write and self.settings.siblings != "none"

    def serving_gateways(self) -> float:
        """Return the number of this zone's gateways in service.

        It only serves to estimate loads. A guard's share must not depend on it.
        """
        return max(1.0, self.cold_guard.gateways_in_zone * self.serving_share())

    def in_time(self, request: OpenRequest, node: Node, with_overdue: bool = True) -> bool:
        """Return whether a cache can answer a request within its aim under the present load.

        The load is counted with or without the attempts that are overdue.
        """
        total = sum(n.attempts if with_overdue else n.attempts - n.overdue for n in self.caches)
        own = node.attempts if with_overdue else node.attempts - node.overdue
        # Each of the zone's other gateways is assumed to have as many attempts in flight as this one.
        others = (self.serving_gateways() - 1.0) * total
        load = others / self.zone_capacity + (1 + own) / node.capacity
        return self.meets_aim(
            request,
            load if request.request_class.write else max(load, node.pace.significant_stretch(self.now_ms)),
        )

    def meets_aim(self, request: OpenRequest, load: float) -> bool:
        """Return whether sending stays within the aim when a load on the link stretches it.

        A load below 1 leaves room on the link and stretches nothing, so the whole aim is available.
        """
        work_ms = request.work_ms * (1.0 if request.size_known else UNKNOWN_SIZE_FACTOR)
        aim_ms = request.request_class.aim_ms + request.request_class.aim_stretch * work_ms
        return work_ms * load < (aim_ms if load < 1.0 else MAX_AIM_SHARE * aim_ms)

    def pick_source(self, request: OpenRequest) -> Node | None:
        """Pick the server from which a miss is filled, or None.

        It is the parent of the hub zone that the hash ranks first, else the first one among all parents, else
        the origin. Writes run at the origin. A fill from the origin needs a lease, which bounds such fills
        over all gateways; without a lease one is requested.
        """
        parents = [
            n
            for n in self.rank_servers(request.object_hash)[1]
            if self.is_usable(n) and n not in request.avoid
        ]
        for node in [n for n in parents if n.member.zone == self.hub_zone][:1] + parents:
            if not request.request_class.write and self.admits(node):
                return node
        if not request.request_class.write and not self.leases.may_begin(
            request.event.deadline_ms, self.now_ms
        ):
            self.actions += [
                api.SendNote(peer, note) for peer, note in self.leases.request_lease(self.now_ms)
            ]
            request.lacks_lease = True
            return None
        return next(iter(self.origins), None)

    # Sending requests and answering them

    def count_request(self, request: OpenRequest) -> int:
        """Count a request for its object, and return how many caches should share the object.

        Also set the rank at which a cache keeps the copy.
        """
        requests = self.popularity.count(request.item, self.now_ms)
        request.keep_rank = keep_rank(requests)
        mean_capacity = self.zone_capacity / max(1, len(self.caches)) or 1.0
        load_share = requests * request.work_ms * self.serving_gateways() / DECAY_MS / mean_capacity
        return caches_for(requests, load_share)

    def on_request(self, event: api.Request) -> None:
        """Handle a client's request: send its first attempt."""
        request_class = self.settings.classes[event.class_name]
        work_ms, size_known = self.sizes.estimate(event)
        object_hash = hash64(event.key, event.part)
        item, home_number = (event.key, event.part), self.home_of(object_hash)
        request = OpenRequest(
            event, request_class, work_ms, size_known, item, object_hash, home_number, self.rng.random()
        )
        self.open_requests[event.id] = request
        self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_REQUEST)
        self.route(request, self.count_request(request))

    def route(self, request: OpenRequest, width: int) -> None:
        """Send a request to the picked cache, or past the caches if none can be picked.

        The attempt is a look-up if a copy may be at another cache or fills have to be limited, else the cache
        fills a miss from the picked source.
        """
        node, look_up = self.pick_cache(request, width)
        if node is None:
            # Bypass the caches where the settings allow it. Without room on the zone's link, all fills over
            # it would be late.
            direct_count = len(self.in_flight) - sum(n.attempts for n in self.caches)
            fits = request.request_class.write or self.meets_aim(
                request, (1 + self.serving_gateways() * direct_count) / self.link_transfers
            )
            upstream = self.pick_source(request) if self.settings.direct and fits else None
            self.send(request, upstream, upstream, "fill")
        elif not self.in_time(request, node):
            # Even where fills are stuck, a held copy may be in time, so overdue attempts don't count here.
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
            # While fills are late, a look-up keeps answers from held copies prompt. The source's answers are
            # then fills alone, so that its fill limit learns only from fills.
            stage = "check" if source and self.may_ask_fill(request, source) else "only"
            self.send(request, node, node, stage)

    def may_ask_fill(self, request: OpenRequest, source: Node) -> bool:
        """Return whether a source may be asked for a fill now.

        The fill must be able to end before the deadline on the zone's link. It must also be within the
        source's fill limit, which falls while fills miss their aim.
        """
        load = (
            1 + self.serving_gateways() * sum(a.stage == "fill" for a in self.in_flight.values())
        ) / self.link_transfers
        if self.link_known and request.work_ms * load > request.event.deadline_ms - self.now_ms:
            return False
        return source.fill_limit.admits(
            request.work_ms, max(self.mean_work_ms.values()), request.admission_draw
        )

    def send(self, request: OpenRequest, node: Node | None, source: Node | None, stage: str) -> None:
        """Apply the guards, then send an attempt; a request that may not be sent is given up at once.

        `stage` says what the attempt is for: `look` and `check` are look-ups that a fill may follow, `only`
        is a look-up that no fill follows, `sibling` is a fill from a sibling, and `fill` is one from above.
        """
        # Drain guard: the cache and its source must both be in service.
        servers = [n for n in (node, source) if n and n.member.state == "SERVING"]
        if not node or not source or len(servers) < 2 or not self.may_send(request, node):
            return self.give_up(request)
        aim_ms = request.request_class.aim_ms + request.request_class.aim_stretch * request.work_ms
        if not request.attempt_count:
            # The aim of a first attempt ends before the deadline, so that one that times out counts as slow.
            # Later attempts had less time, so that a time-out says nothing about the source.
            aim_ms = min(aim_ms, request.event.deadline_ms - self.now_ms - WINDOW_MARGIN_MS)
        attempt = Attempt(node, source, stage, self.now_ms, request.work_ms, aim_ms)
        self.in_flight[request.event.id, request.attempt_count] = attempt
        attempt.adjust_load(1)
        attempt.from_origin = (
            source.member.kind == self.settings.origin_kind and not request.request_class.write
        )
        if attempt.from_origin:
            self.leases.record_fill_start(self.now_ms)
        for server in servers[: 1 + (source is not node)]:
            server.debt_ms += self.mean_work_ms[request.request_class.name]
        request.attempt_count, request.in_flight = request.attempt_count + 1, True
        copy_rank, remaining_ms = (
            0 if request.request_class.write else request.keep_rank,
            request.event.deadline_ms - self.now_ms,
        )
        server_names = (node.member.server, source.member.server)
        fill_flags = (self.settings.joins, stage == "sibling", stage == "fill")  # join, held_only, renew
        # A missing answer counts as a failure after this time.
        overdue_after_ms = OVERDUE_AFTER[0] + OVERDUE_AFTER[1] * request.work_ms
        if source is not node:
            # The cache may wait for its source, and a thin link carries nothing else meanwhile.
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
        """Answer a request finally, at once, unless it has an attempt in flight or waits for a lease.

        Effects guard: it is refused only where the client may safely retry, else it fails.
        """
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
        """Reroute a request that only lacked a lease, or have it wait for one, at most once.

        Return whether it was rerouted or waits.
        """
        lease_ready = request.lacks_lease and self.leases.may_begin(request.event.deadline_ms, self.now_ms)
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
        """Send notes about leases, and resume the requests that waited for a lease.

        Once no lease request is pending, those that a lease now covers are routed, and the others are given
        up.
        """
        self.actions += [api.SendNote(peer, note) for peer, note in messages]
        if not self.leases.pending_request:
            waiters, self.lease_waiters = self.lease_waiters, []
            for request in waiters:
                if request.event.id in self.open_requests and self.leases.may_begin(
                    request.event.deadline_ms, self.now_ms
                ):
                    self.route(request, 1)
                else:
                    self.give_up(request)

    # After an attempt

    def on_outcome(self, event: api.Outcome) -> None:
        """Record an attempt's end, then finish the request or send its next attempt."""
        attempt, request = (
            self.in_flight.pop((event.id, event.attempt), None),
            self.open_requests.get(event.id),
        )
        if attempt:
            attempt.adjust_load(-1)
            if attempt.from_origin:
                self.leases.record_fill_end(self.now_ms)
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
                    request.event,
                    event,
                    not request.request_class.write,
                    attempt.node.pace.current(self.now_ms),
                )
                self.served(request, attempt.node)
        elif self.now_ms >= request.event.deadline_ms - 1.0:
            self.give_up(request)
        else:
            self.send_next_attempt(request, attempt, event.status)

    def served(self, request: OpenRequest, node: Node) -> None:
        """Report a cache that keeps a copy to the home gateway, no more often than its entry needs."""
        last_server, reported_ms = self.reported_copies.get(request.item, ("", 0.0))
        due = last_server != node.member.server or self.now_ms - reported_ms > ENTRY_TTL_MS / 2
        in_own_zone = node.member.zone == self.settings.my_zone and not request.request_class.write
        if due and in_own_zone and self.settings.siblings != "none":
            lru_put(self.reported_copies, request.item, (node.member.server, self.now_ms), MAX_TABLE_ENTRIES)
            self.send_note(
                request.home_number,
                api.PeerNote("kept", *request.item, node.member.server, max(0, request.event.group)),
            )

    def send_next_attempt(self, request: OpenRequest, attempt: Attempt, status: str) -> None:
        """Send the next attempt, or give the request up.

        After a look-up that missed, the next attempt goes where a copy may be. After a failure it needs a
        token of the retry budget.
        """
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
            # A broken link is not the source's fault. A first reset may concern one connection only, so the
            # request may go to the same cache again.
            link_failed = status in LINK_FAILURES
            self.retry_tokens -= LINK_RETRY_COST if link_failed else 1.0
            if link_failed and (status != "econnreset" or request.attempt_count > 1):
                request.avoid.append(attempt.node)
            if link_failed:
                return self.route(request, 1)
            # Another source is tried first, and another cache only after that.
            source_failed = attempt.source in (attempt.node, *request.avoid)
            request.avoid.append(attempt.node if source_failed else attempt.source)
            self.route(request, 1)

    def fill_missed_cache(self, request: OpenRequest, sibling: Node | None) -> None:
        """Fill the cache whose look-up missed.

        It is filled from the sibling if that is usable and warm, else from a parent or the origin.
        """
        node = request.missed_cache
        if node is None or node in request.avoid or not (self.is_usable(node) and self.admits(node)):
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

    # Server health

    def update_health(self, request: OpenRequest | None, attempt: Attempt, event: api.Outcome) -> None:
        """Update the failure scores, fill limit and pace of an attempt's cache and source after its end.

        The pace is how much longer a cache's answers take than their bytes at full rate. An `err` answer
        counts in full only if another attempt of its request is served, as the request itself may be at
        fault. The reset of a connection counts once, however many attempts it ended.
        """
        node, source = attempt.node, attempt.source
        if event.status == "busy" or (
            event.status == "done" and self.now_ms - attempt.sent_ms > attempt.aim_ms
        ):
            self.record_missed_aim(attempt)
        elif event.status == "done" and source is not node:
            source.fill_limit.grow()
        if event.status == "done" and event.note == 1 and request and request.size_known and event.whole:
            node.pace.record(self.now_ms, event.latency_ms / request.work_ms)
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
            node.reset_ms = self.now_ms if event.status == "econnreset" else node.reset_ms
            if event.status == "econnrefused" and not event.silent:
                # The server's process has ended, so the server is cold when it returns.
                node.refused_ms = self.now_ms
            self.attribute_failure(attempt, event.status)

    def attribute_failure(self, attempt: Attempt, status: str) -> None:
        """Score a failure that came quickly, on a cache and its source.

        The one whose failure score is higher gets the larger share. A failed connection counts on the cache
        alone.
        """
        node, source = attempt.node, attempt.source
        node.answered_ms = self.now_ms
        node_only = source is node or status.startswith("econn")
        self.add_failure(node, FAILURE_SHARES[status] * (1.0 if node_only else 1.0 - source.failure_score))
        if not node_only:
            self.add_failure(source, FAILURE_SHARES[status] * (1.0 - node.failure_score))

    def record_success(self, node: Node, factor: float = SUCCESS_FACTOR) -> None:
        """Lower the failure score of a server that answered."""
        node.failure_score *= factor
        node.answered_ms = self.now_ms
        if node.on_trial:
            node.on_trial, node.failure_score, node.ejections = (
                False,
                EJECTION_SCORE / 2,
                max(0, node.ejections - 1),
            )

    def add_failure(self, node: Node, share: float) -> None:
        """Raise a server's failure score, and eject the server if the score is too high.

        It is not ejected if at least half of the similar servers fail too, as the cause is then shared, nor
        if there are none. The origin is never ejected.
        """
        node.failure_score += (1.0 - node.failure_score) * share
        if (
            node.failure_score < EJECTION_SCORE
            or self.now_ms < node.ejected_until_ms
            or node.member.kind == self.settings.origin_kind
        ):
            return
        similar = [n for n in self.nodes.values() if n is not node and self.fails_alike(n, node)]
        if 2 * sum(
            self.now_ms < other.ejected_until_ms or other.failure_score > EJECTION_SCORE / 2
            for other in similar
        ) >= len(similar):
            return
        node.ejections, node.on_trial = node.ejections + 1, True
        node.ejected_until_ms = self.now_ms + ejection_ms(node.ejections)
        self.actions.append(api.Log(f"left out {node.member.server}, {node.ejections} in a row"))
        # Cancel the attempts that are stuck at the server, so that their requests are retried elsewhere.
        stuck = [
            attempt_id
            for attempt_id, attempt in self.in_flight.items()
            if attempt.node is node or (attempt.source is node and attempt.overdue)
        ]
        self.actions += [api.Cancel(*attempt_id) for attempt_id in stuck if self.settings.cancel]

    def fails_alike(self, other: Node, node: Node) -> bool:
        """Return whether another server is in service and shares causes of failure with this one.

        For a parent these are the other parents, for a cache the servers of its zone.
        """
        is_similar = other in self.parents if node in self.parents else other.member.zone == node.member.zone
        return is_similar and other.member.state == "SERVING"

    def record_missed_aim(self, attempt: Attempt) -> None:
        """Lower a source's fill limit, once for each fill that missed its aim or was refused."""
        if not attempt.missed_aim and attempt.source is not attempt.node:
            attempt.source.fill_limit.shrink()
        attempt.missed_aim = True

    def check_overdue(self, attempt: Attempt) -> None:
        """Score an attempt once it is overdue.

        It counts against the source if the cache has answered anything since the attempt was sent, else
        against the cache.
        """
        node, source, age_ms = attempt.node, attempt.source, self.now_ms - attempt.sent_ms
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

    # Timers

    def on_timer(self, event: api.TimerDue) -> None:
        """Handle a timer; its token says which one it is.

        `sweep` checks for overdue attempts and drops old purges, `watch` asks discovery again, and the id of
        a request ends its wait for a home gateway.
        """
        if event.token == "watch":
            self.actions.append(api.WatchDiscovery())
        elif event.token != "sweep":
            request = self.open_requests.get(int(event.token)) if event.token.isdecimal() else None
            # The timer may belong to an older wait, which an answer has ended.
            if request and request.event.id in self.waiting_for_home.get(request.item, []):
                self.silent_homes[request.home_number] = self.now_ms + ASK_AGAIN_MS
                self.resume_waiting(request.item, None)
        else:
            self.actions.append(api.SetTimer(SWEEP_MS, "sweep"))
            on_time, self.last_sweep_ms = self.now_ms - self.last_sweep_ms < 4.0 * SWEEP_MS, self.now_ms
            # After this process was stopped, answers may still be unread: good servers would be ejected.
            for attempt in list(self.in_flight.values()) if on_time else ():
                self.check_overdue(attempt)
            self.on_lease_messages(self.leases.tick(self.now_ms))
            self.purges.forget_until(self.now_ms - self.settings.purge_done_ms - WINDOW_MARGIN_MS)

    # Directory of copies, and notes between gateways

    def ask_home(self, request: OpenRequest, cache_name: str) -> None:
        """Ask the home gateway for a cache that holds the object, and wait a small share of the aim.

        It is not asked near the deadline, nor for a while after it did not answer.
        """
        wait_ms, remaining_ms = (
            HOME_WAIT_SHARE * request.request_class.aim_ms,
            request.event.deadline_ms - self.now_ms,
        )
        if request.home_number == self.settings.my_number:
            self.fill_missed_cache(request, self.next_holder(request.item, self.settings.my_zone, cache_name))
        elif (
            not self.settings.peers
            or self.now_ms < self.silent_homes.get(request.home_number, 0.0)
            or remaining_ms < 3.0 * wait_ms
        ):
            self.fill_missed_cache(request, None)
        else:
            self.waiting_for_home.setdefault(request.item, []).append(request.event.id)
            self.send_note(
                request.home_number, api.PeerNote("ask", *request.item, cache_name, self.zone_number)
            )
            self.actions.append(api.SetTimer(wait_ms, str(request.event.id)))

    def resume_waiting(self, item: tuple[int, int], sibling: Node | None) -> None:
        """Continue the requests that waited for a home gateway."""
        for id in self.waiting_for_home.pop(item, []):
            if id in self.open_requests:
                self.fill_missed_cache(self.open_requests[id], sibling)

    def may_fill_from(self, node: Node, zone: str) -> bool:
        """Return whether the caches of a zone may be filled from this one: allowed, usable and warm."""
        allowed = self.settings.siblings == "any" or node.member.zone == zone
        return allowed and self.is_usable(node) and self.cold_rate(node) == math.inf

    def next_holder(self, item: tuple[int, int], zone: str, excluded: str) -> Node | None:
        """Return the next cache that the directory lists as a holder, round robin, or None.

        Entries from before a purge of the object or a restart of the cache are dropped.
        """
        purged_ms = self.purges.latest(item[0], self.directory.group(item))
        for server, listed_ms in self.directory.holders(item, purged_ms, self.now_ms):
            node = self.nodes.get(server)
            if node is None or listed_ms <= node.joined_ms:
                self.directory.remove_holder(item, server)
            elif server != excluded and self.may_fill_from(node, zone):
                self.directory.move_to_end(item, server)
                return node
        return None

    def send_note(self, peer: int, note: api.PeerNote) -> None:
        """Send a note to another gateway; one to this gateway itself is handled at once."""
        if peer == self.settings.my_number:
            self.on_peer(api.PeerMessage(peer, note))
        elif self.settings.peers:
            self.actions.append(api.SendNote(peer, note))

    def on_peer(self, event: api.PeerMessage) -> None:
        """Handle a note from another gateway.

        It is about a lease, asks which cache holds an object, answers that, or reports that a cache keeps or
        lacks an object.
        """
        if isinstance(event.note, api.LeaseNote):
            return self.on_lease_messages(self.leases.receive(event.sender, event.note, self.now_ms))
        note, zones = event.note, self.settings.zones
        item, node = (note.key, note.part), self.nodes.get(note.server)
        if note.kind == "ask" and note.number < len(zones):
            holder = self.next_holder(item, zones[note.number], note.server)
            self.send_note(
                event.sender, api.PeerNote("holder", *item, holder.member.server if holder else "")
            )
        elif note.kind == "holder":
            self.resume_waiting(item, node)
        elif note.kind == "lacks":
            self.directory.remove_holder(item, note.server)
        elif note.kind == "kept" and node is not None:
            self.directory.add(item, note.number, note.server, self.now_ms)

    def on_purged(self, event: api.Purged) -> None:
        """Record a purge, which bounds the age of copies and of directory entries."""
        self.purges.record(event.key, event.group, self.now_ms - event.age_ms)
