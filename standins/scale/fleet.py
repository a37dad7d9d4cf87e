"""A fleet of hollow gateways on one virtual clock and network, with injected faults.

Gateways share only the clock and the network. Notes between them can be delayed, lost, duplicated or cut off
by a partition; processes can be killed, started, stopped and resumed. Servers are modelled by their response
times alone: each look-up misses, and a fill ends after a random time. A fill at the origin runs to its end
even if the gateway that asked for it is killed, and the peak number of simultaneous fills is recorded. All
random draws come from one seed.
"""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from hitchtiller import interface as api
from hitchtiller.codec.notes import pack
from standins.scale.gateway import HollowGateway
from standins.scale.plan import Plan

UDP_HEADER_BYTES = 28  # IP and UDP headers
NOTE_DELAY_MS = (2.5, 19.0)  # delay of a note between gateways, measured by the operators
ROUND_TRIP_MS = 3.0  # round trip to a server
ORIGIN_FILL_MS = (50.0, 400.0)  # duration of a fill at the origin
STUCK_FILL_SHARE = 0.05  # share of fills that do not end before their deadline


@dataclass(slots=True)
class NetworkFaults:
    """The network faults between gateways: shares of notes lost and duplicated, and partitions."""

    loss_share: float = 0.0
    repeat_share: float = 0.0
    is_cut: Callable[[int, int], bool] = field(default=lambda sender, receiver: False)


class HollowFleet:
    """Hollow gateways by number, of which only those that were started run."""

    def __init__(self, plan: Plan, seed: int, members: Callable[[int], tuple[api.Member, ...]]) -> None:
        """Create a fleet without processes; `members` returns the server list of a gateway by its number."""
        self.plan, self.seed, self.members, self.rng = plan, seed, members, Random(seed)
        self.now_ms, self.network_faults = 1_000_000.0, NetworkFaults()
        self.scheduled_calls: list[tuple[float, int, Callable[[], None]]] = []
        self.call_order, self.request_ids = count(), count(1)
        self.running: dict[int, HollowGateway] = {}
        self.queued_events: dict[int, list[api.Event]] = {}  # events queued for each stopped process
        self.open_origin_fills = self.peak_origin_fills = self.completed_origin_fills = 0
        # The total duration of all fills at the origin, up to the time of the last count.
        self.origin_fill_ms, self.last_count_ms = 0.0, self.now_ms
        self.answer_counts: Counter[str] = Counter()
        self.note_counts: Counter[str] = Counter()  # notes sent, by kind
        self.note_bytes = 0
        self.origin = plan.origin().server

    def schedule(self, when_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time of the virtual clock."""
        heapq.heappush(self.scheduled_calls, (when_ms, next(self.call_order), call))

    def run(self, until_ms: float) -> None:
        """Advance the virtual clock to a time, making the calls that are due."""
        while self.scheduled_calls and self.scheduled_calls[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self.scheduled_calls)
            call()
        self.now_ms = until_ms

    # Processes

    def start(self, number: int) -> HollowGateway:
        """Start a process without any state of an earlier process of this number."""
        settings = self.plan.settings(number)
        gateway = self.running[number] = HollowGateway(settings, self.seed * 100_000 + number)
        self.queued_events.pop(number, None)
        self.handle_event(gateway, api.Members(self.members(number), whole=True))
        return gateway

    def kill(self, number: int) -> None:
        """Kill a process; the other gateways are not notified."""
        del self.running[number]
        self.queued_events.pop(number, None)

    def stop(self, number: int) -> None:
        """Suspend a process; its events are queued until it is resumed."""
        self.queued_events[number] = []

    def resume_process(self, number: int) -> None:
        """Resume a stopped process, which first handles the events queued meanwhile."""
        gateway = self.running[number]
        for event in self.queued_events.pop(number):
            self.handle_event(gateway, event)

    # Events and actions

    def handle_event(self, gateway: HollowGateway, event: api.Event) -> None:
        """Pass an event to a process and execute the resulting actions.

        The event is dropped if the process was killed or replaced, and queued if it is stopped.
        """
        if self.running.get(gateway.number) is not gateway:
            return
        if gateway.number in self.queued_events:
            self.queued_events[gateway.number].append(event)
            return
        for action in gateway.handle(event, self.now_ms):
            self.execute_action(gateway, action)

    def execute_action(self, gateway: HollowGateway, action: api.Action) -> None:
        """Execute one action of a gateway."""
        match action:
            case api.Get():
                self.send_attempt(gateway, action)
            case api.Refuse() | api.Fail():
                self.answer_counts["refused"] += 1
                gateway.finish_request(action.id, "refused")
            case api.SetTimer():
                due = api.TimerDue(action.token)
                self.schedule(
                    self.now_ms + max(0.01, action.delay_ms), partial(self.handle_event, gateway, due)
                )
            case api.SendNote():
                self.send_note(gateway.number, action)

    def send_note(self, sender: int, action: api.SendNote) -> None:
        """Send a note over the network, which may lose or duplicate it; count it as sent in any case."""
        data = pack(action.note)
        kind = action.note.kind
        self.note_counts[kind if isinstance(kind, str) else f"lease {kind.name.lower()}"] += 1
        self.note_bytes += len(data) + UDP_HEADER_BYTES
        if (
            self.network_faults.is_cut(sender, action.peer)
            or self.rng.random() < self.network_faults.loss_share
        ):
            return
        for _ in range(1 + (self.rng.random() < self.network_faults.repeat_share)):
            arrival_ms = self.now_ms + self.rng.uniform(*NOTE_DELAY_MS)
            self.schedule(arrival_ms, partial(self.deliver_note, sender, action))

    def deliver_note(self, sender: int, action: api.SendNote) -> None:
        """Deliver a note to its receiver; it is lost if no process of that number runs."""
        if gateway := self.running.get(action.peer):
            self.handle_event(gateway, api.PeerMessage(sender, action.note))

    # Requests and servers

    def submit_request(self, number: int, key: int, size_kb: float = 50.0, class_name: str = "files") -> None:
        """Submit a client's request to a gateway."""
        deadline = self.now_ms + self.plan.shared_settings.classes[class_name].deadline_ms
        request = api.Request(next(self.request_ids), class_name, key, deadline, size_kb, key % 256)
        self.handle_event(self.running[number], request)

    def send_attempt(self, gateway: HollowGateway, get: api.Get) -> None:
        """Send an attempt to its server, unless the router's recheck before the first byte withdraws it."""
        attempt, request = gateway.next_attempt(get.id), gateway.open_requests.get(get.id)
        on_end = partial(self.finish_attempt, gateway, get, attempt)
        if request is None or gateway.router.recheck_send(get.id, attempt, self.now_ms) is None:
            self.schedule(self.now_ms, partial(on_end, "skipped"))
        elif get.source == self.origin:
            self.start_origin_fill(request, on_end)
        else:
            self.schedule(self.now_ms + ROUND_TRIP_MS, partial(on_end, "enoent"))

    def start_origin_fill(self, request: api.Request, on_end: Callable[[str], None]) -> None:
        """Count a fill at the origin until it ends, even if no gateway still waits for it."""
        remaining_ms, stuck = request.deadline_ms - self.now_ms, self.rng.random() < STUCK_FILL_SHARE
        duration_ms = remaining_ms if stuck else min(remaining_ms, self.rng.uniform(*ORIGIN_FILL_MS))
        self.update_open_fills(1)
        self.peak_origin_fills = max(self.peak_origin_fills, self.open_origin_fills)

        def complete() -> None:
            self.update_open_fills(-1)
            self.completed_origin_fills += not stuck
            on_end("etimedout" if stuck else "done")

        self.schedule(self.now_ms + duration_ms, complete)

    def update_open_fills(self, change: int) -> None:
        """Change the number of open fills at the origin, and add to their total duration up to now."""
        self.origin_fill_ms += self.open_origin_fills * (self.now_ms - self.last_count_ms)
        self.last_count_ms = self.now_ms
        self.open_origin_fills += change

    def finish_attempt(self, gateway: HollowGateway, get: api.Get, attempt: int, status: str) -> None:
        """Report the end of an attempt to its gateway, and the final answer if it served the request."""
        if self.running.get(gateway.number) is not gateway:
            return
        is_served = status == "done" and get.id in gateway.open_requests
        if is_served:
            self.answer_counts["served"] += 1
            gateway.finish_request(get.id, "served")
        has_ended = is_served or get.id not in gateway.open_requests
        self.handle_event(gateway, api.Outcome(get.id, attempt, get.server, status, 1.0, has_ended))
