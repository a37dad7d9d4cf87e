"""Membership's cost and times: the program's detectors, all of them whole, on a virtual network.

Fleets begin converged (each view holds each member's first claim), so that what is measured is the steady
state and one death, not a start of all at once. The catching-up of one that starts anew is measured on that
one detector, with the others answered for.
"""

import gc
import time
import tracemalloc
from random import Random

from hitchtiller.membership.detector import Datagrams, Detector
from hitchtiller.membership.view import UNHEARD, Claim, State
from hitchtiller.membership.words import Kind, MembershipMessage, pack, unpack
from standins.gossipnet import TICKS, Net
from standins.scale.fleet import UDP_HEAD

PERIOD_MS = 1_000.0
QUIET, PATIENCE = 10.0, 60.0  # periods
CATCH_UP_PERIODS = 20_000
FLEET_MARK = 7
INCARNATION = 1_700_000_000_000


def converged(gateways: int, seed: int) -> Net:
    """Make a fleet in which each holds all others' first claims and nothing is left to be told."""
    net = Net(gateways, seed)
    claims = {number: node.view.claims[number] for number, node in net.nodes.items()}
    for node in net.nodes.values():
        node.view.claims = dict(claims)
        node.gossip.told.clear()
        node.pages = 0
    return net


def steady(gateways: int, seed: int) -> dict[str, float]:
    """Measure the quiet fleet, then one death until all hold it for dead."""
    net = converged(gateways, seed)
    net.run(2.0 * PERIOD_MS)
    sent, carried, begun = sum(net.sent), sum(net.bytes), time.process_time()
    net.run(net.now + QUIET * PERIOD_MS)
    used = time.process_time() - begun
    datagrams = (sum(net.sent) - sent) / gateways / QUIET
    size = (sum(net.bytes) - carried) / gateways / QUIET + UDP_HEAD * datagrams
    victim, at = gateways // 2, net.now
    net.kill(victim)
    others = len(net.nodes)
    while net.count_believing(victim, State.DEAD) < others and net.now - at < PATIENCE * PERIOD_MS:
        net.run(net.now + PERIOD_MS / 4.0)
    return {
        "members_datagrams": datagrams,
        "members_bytes": size,
        "members_cpu": 1e6 * used / gateways / QUIET,
        "members_detect": (net.now - at) / 1000.0,
        "members_false": float(net.false_deaths),
    }


def state(gateways: int) -> float:
    """Give the bytes of one detector that has heard of all."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node = Detector(0, gateways, INCARNATION, FLEET_MARK, PERIOD_MS, Random(1), 0.0)
    for number in range(1, gateways):
        node.view.merge(number, Claim(INCARNATION + number, State.ALIVE), number, 0.0)
        node.hear(number, 0.0)
    node.gossip.told.clear()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return float(used)


def catch_up(gateways: int, seed: int) -> float:
    """Give the seconds until one that starts anew has heard of all, by pages alone."""
    node = Detector(0, gateways, INCARNATION, FLEET_MARK, PERIOD_MS, Random(seed), 0.0)
    whole = {number: Claim(INCARNATION, State.ALIVE) for number in range(gateways)}

    def answers(out: Datagrams) -> list[tuple[int, bytes]]:
        found = []
        for peer, data in out:
            word = unpack(data, FLEET_MARK)
            if word is None or word.kind not in (Kind.PING, Kind.PAGE):
                continue
            if word.kind is Kind.PING:
                answer = MembershipMessage(Kind.ACK, peer, word.number)
            else:
                numbers = [(word.target + place) % gateways for place in range(gateways)]
                answer = MembershipMessage(Kind.TELL, peer, 0, 0, [(n, whole[n], n) for n in numbers[:64]])
            found.append((peer, pack(answer, FLEET_MARK)))
        return found

    now = 0.0
    for tick in range(CATCH_UP_PERIODS * TICKS):
        now = tick * PERIOD_MS / TICKS
        for peer, data in answers(node.tick(now)):
            node.receive(peer, data, now)
        if tick % TICKS == 0 and UNHEARD not in node.view.claims.values():
            break
    return now / 1000.0


def measure(gateways: int, seed: int) -> dict[str, float]:
    """Measure membership in a fleet of so many."""
    found = steady(gateways, seed)
    return found | {"members_state": state(gateways), "members_catch_up": catch_up(gateways, seed)}
