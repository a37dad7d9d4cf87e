"""Cost and delays of membership: a complete failure detector per gateway, on a virtual network.

Fleets begin converged (each view holds the first claim of each member), so that the measures describe the
steady state and one death, not a simultaneous start of all gateways. The catch-up of a newly started gateway
is measured on its detector alone, with scripted answers from the others.
"""

import gc
import time
import tracemalloc
from random import Random

from hitchtiller.membership.detector import Datagrams, Detector
from hitchtiller.membership.view import UNHEARD, MemberClaim, State
from hitchtiller.membership.words import MembershipMessage, MessageKind, pack, unpack
from standins.gossipnet import TICKS, Net
from standins.scale.fleet import UDP_HEADER_BYTES

PERIOD_MS = 1_000.0
STEADY_PERIODS, MAX_DETECTION_PERIODS = 10.0, 60.0
MAX_CATCH_UP_PERIODS = 20_000
FLEET_MARK = 7
INCARNATION = 1_700_000_000_000


def make_converged_net(gateways: int, seed: int) -> Net:
    """Return a network in which each gateway holds the first claims of all and has no gossip left to send."""
    net = Net(gateways, seed)
    claims = {number: node.view.claims[number] for number, node in net.nodes.items()}
    for node in net.nodes.values():
        node.view.claims = dict(claims)
        node.gossip.send_counts.clear()
        node.initial_syncs_left = 0
    return net


def measure_steady_state(gateways: int, seed: int) -> dict[str, float]:
    """Measure the fleet without changes, then the time until all gateways consider a killed one dead."""
    net = make_converged_net(gateways, seed)
    net.run(2.0 * PERIOD_MS)
    datagrams_before, bytes_before, cpu_before_s = sum(net.sent), sum(net.bytes), time.process_time()
    net.run(net.now + STEADY_PERIODS * PERIOD_MS)
    cpu_s = time.process_time() - cpu_before_s
    datagrams_per_period = (sum(net.sent) - datagrams_before) / gateways / STEADY_PERIODS
    bytes_per_period = (
        sum(net.bytes) - bytes_before
    ) / gateways / STEADY_PERIODS + UDP_HEADER_BYTES * datagrams_per_period
    victim, killed_ms = gateways // 2, net.now
    net.kill(victim)
    other_count = len(net.nodes)
    while (
        net.count_believing(victim, State.DEAD) < other_count
        and net.now - killed_ms < MAX_DETECTION_PERIODS * PERIOD_MS
    ):
        net.run(net.now + PERIOD_MS / 4.0)
    return {
        "members_datagrams": datagrams_per_period,
        "members_bytes": bytes_per_period,
        "members_cpu": 1e6 * cpu_s / gateways / STEADY_PERIODS,
        "members_detect": (net.now - killed_ms) / 1000.0,
        "members_false": float(net.false_deaths),
    }


def measure_state_bytes(gateways: int) -> float:
    """Return the memory, in bytes, of a detector that has heard of all gateways."""
    gc.collect()
    tracemalloc.start()
    bytes_before = tracemalloc.get_traced_memory()[0]
    node = Detector(0, gateways, INCARNATION, FLEET_MARK, PERIOD_MS, Random(1), 0.0)
    for number in range(1, gateways):
        node.view.merge(number, MemberClaim(INCARNATION + number, State.ALIVE), number, 0.0)
        node.record_activity(number, 0.0)
    node.gossip.send_counts.clear()
    gc.collect()
    state_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    return float(state_bytes)


def measure_catch_up_s(gateways: int, seed: int) -> float:
    """Return the seconds until a newly started detector has heard of all gateways, through pages alone."""
    node = Detector(0, gateways, INCARNATION, FLEET_MARK, PERIOD_MS, Random(seed), 0.0)
    claims = {number: MemberClaim(INCARNATION, State.ALIVE) for number in range(gateways)}

    def answer_datagrams(sent: Datagrams) -> list[tuple[int, bytes]]:
        answers = []
        for peer, data in sent:
            message = unpack(data, FLEET_MARK)
            if message is None or message.kind not in (MessageKind.PING, MessageKind.SYNC_REQUEST):
                continue
            if message.kind is MessageKind.PING:
                answer = MembershipMessage(MessageKind.ACK, peer, message.number)
            else:
                numbers = [(message.target + offset) % gateways for offset in range(gateways)]
                answer = MembershipMessage(
                    MessageKind.CLAIMS, peer, 0, 0, [(n, claims[n], n) for n in numbers[:64]]
                )
            answers.append((peer, pack(answer, FLEET_MARK)))
        return answers

    now_ms = 0.0
    for tick in range(MAX_CATCH_UP_PERIODS * TICKS):
        now_ms = tick * PERIOD_MS / TICKS
        for peer, data in answer_datagrams(node.tick(now_ms)):
            node.receive(peer, data, now_ms)
        if tick % TICKS == 0 and UNHEARD not in node.view.claims.values():
            break
    return now_ms / 1000.0


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure membership in a fleet of the given size."""
    figures = measure_steady_state(gateways, seed)
    return figures | {
        "members_state": measure_state_bytes(gateways),
        "members_catch_up": measure_catch_up_s(gateways, seed),
    }
