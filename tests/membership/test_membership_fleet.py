"""Whole fleets of failure detectors on a simulated network in virtual time, with fixed seeds."""

import pytest

from hitchtiller.membership.view import State
from standins import detect
from standins.gossipnet import Net

SETTLE_MS = 8_000.0


def detection_time_ms(net: Net, number: int, timeout_ms: float = 40_000.0) -> float:
    started_ms = net.now
    net.kill(number)
    while net.now < started_ms + timeout_ms and net.count_believing(number, State.DEAD) < len(net.nodes):
        net.run(net.now + net.period_ms / 2)
    return net.now - started_ms


@pytest.mark.parametrize(("size", "loss"), [(3, 0.0), (5, 0.05), (5, 0.3), (40, 0.0), (40, 0.3)])
def test_all_members_learn_of_a_death_and_no_live_member_is_declared_dead(size: int, loss: float) -> None:
    net = Net(size, seed=size, loss=loss)
    net.run(SETTLE_MS)
    assert detection_time_ms(net, 1) < 14_000.0
    net.run(net.now + 20_000.0)
    assert net.false_deaths == 0


def test_the_cost_for_each_gateway_does_not_grow_with_the_fleet() -> None:
    costs = []
    for size in (5, 40, 100):
        net = Net(size, seed=3)
        net.run(20_000.0)
        before, started_ms = sum(net.sent), net.now
        net.run(net.now + 20_000.0)
        costs.append((sum(net.sent) - before) / size / (net.now - started_ms) * 1000.0)
    assert max(costs) < 4.0 and max(costs) < 1.6 * min(costs), costs


def test_the_rest_learns_of_the_death_of_half_the_fleet() -> None:
    net = Net(20, seed=4)
    net.run(SETTLE_MS)
    net.kill(*range(0, 20, 2))
    net.run(net.now + 25_000.0)
    assert all(net.count_believing(n, State.DEAD) == 10 for n in range(0, 20, 2))
    assert net.false_deaths == 0 and net.agree()


def test_both_sides_of_a_partition_converge_after_it_heals() -> None:
    net = Net(10, seed=5)
    net.run(SETTLE_MS)
    net.cut = lambda a, b: (a < 4) != (b < 4)
    net.run(net.now + 25_000.0)
    assert net.nodes[0].view.numbers_in(State.DEAD) == list(range(4, 10))
    net.cut = lambda a, b: False
    net.run(net.now + 40_000.0)
    assert net.agree() and all(not n.view.numbers_in(State.DEAD) for n in net.nodes.values())


def test_helpers_prevent_false_deaths_on_a_one_way_cut() -> None:
    """1 hears 0, but 0 does not hear 1; the helpers' answers show that 1 is alive."""
    net = Net(6, seed=6)
    net.run(SETTLE_MS)
    net.cut = lambda a, b: (a, b) == (1, 0)
    net.run(net.now + 30_000.0)
    assert net.false_deaths == 0


def test_a_stopped_process_that_resumes_accuses_no_other_member() -> None:
    net = Net(8, seed=7)
    net.run(SETTLE_MS)
    net.stop(3)
    net.run(net.now + 20_000.0)
    assert net.count_believing(3, State.DEAD) == 7
    before = net.false_deaths
    net.resume_process(3)
    net.run(net.now + 20_000.0)
    assert net.false_deaths == before and net.agree()
    assert net.count_believing(3, State.ALIVE) == 7


def test_a_rolling_restart_ends_with_the_same_view_everywhere() -> None:
    net = Net(10, seed=8)
    net.run(SETTLE_MS)
    for number in range(10):
        net.kill(number)
        net.run(net.now + 500.0)
        net.start(number)
        net.run(net.now + 1_500.0)
    net.run(net.now + 20_000.0)
    assert net.agree() and len(net.nodes[0].view.numbers_in(State.ALIVE)) == 10


def test_repeated_and_reordered_datagrams_change_nothing() -> None:
    net = Net(8, seed=9, repeat=0.5, delay_ms=(1.0, 1_000.0))
    net.run(60_000.0)
    assert net.false_deaths == 0 and net.agree()


def test_a_planned_leave_does_not_count_as_a_death() -> None:
    net = Net(6, seed=10)
    net.run(SETTLE_MS)
    net.post(2, net.nodes[2].leave(net.now))
    net.kill(2)
    net.run(net.now + 15_000.0)
    assert net.count_believing(2, State.LEFT) == 5 and net.count_believing(2, State.DEAD) == 0


def test_a_flapping_member_is_alive_in_the_end() -> None:
    net = Net(6, seed=11)
    net.run(SETTLE_MS)
    for _ in range(6):
        net.kill(1)
        net.run(net.now + 1_000.0)
        net.start(1)
        net.run(net.now + 1_000.0)
    net.run(net.now + 20_000.0)
    assert net.count_believing(1, State.ALIVE) == 5 and net.agree()


def test_a_refutation_of_which_all_messages_were_lost_is_sent_again() -> None:
    """Four processes believed a live fifth dead or suspect until the soak run ended (seeds 2, 7, 8)."""
    net = Net(5, seed=12)
    net.run(SETTLE_MS)
    net.cut = (
        lambda a, b: a == 0 and b != 0
    )  # it receives the claim that it is dead; all its messages are lost
    net.run(net.now + 60_000.0)
    assert net.count_believing(0, State.DEAD) == 4
    net.cut = lambda a, b: False
    net.run(net.now + 20_000.0)
    assert net.agree() and net.count_believing(0, State.ALIVE) == 4


def test_detection_figures_count_live_members_declared_dead() -> None:
    found = detect.virtual(5, 0.0, 1, seed=1)
    assert len(found.known_ms) == 1 and 2_000.0 < found.known_ms[0] < 12_000.0
    assert found.false_deaths == 0 and 1.0 < found.messages < 4.0 and found.bytes < 256.0 * found.messages
    worse = detect.virtual(5, 0.75, 1, seed=1)
    assert worse.false_deaths > 0, "at 75% loss some live member is declared dead"
