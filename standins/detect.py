"""Measures membership: how soon all know of a death, its cost, and how often live gateways are declared dead.

    python -m standins.detect --sizes 5,40,200,1000 --loss 0,0.05,0.3 --kills 8 --plot cost.png
    python -m standins.detect --processes 40 --kills 5

In virtual time the program's own detectors run on a simulated network; with `--processes` whole gateways run
on loopback, and the fabric causes the loss. Each kill is followed by a start and by time without faults until
the fleet is complete again. False deaths are counted over all views and the whole run; messages and bytes
only while nothing happens, which leaves out the burst when all gateways start. Times are in membership
periods, as all of them scale with the period.
"""

import argparse
import asyncio
import json
import sys
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median

from hitchtiller.membership.view import State
from standins.gossipnet import Net

# In periods: to settle after a start, to count messages, and the longest wait until a death is known.
SETTLE_PERIODS, QUIET_PERIODS, MAX_WAIT_PERIODS = 12.0, 15.0, 60.0


@dataclass(slots=True)
class Figures:
    """The results for one fleet size and loss; times are in ms, with periods of `period_ms`."""

    where: str
    size: int
    loss: float
    period_ms: float
    known_ms: list[float] = field(default_factory=list)
    false_deaths: int = 0
    hours: float = 0.0  # virtual or real time, scaled to periods of one second
    messages: float = 0.0  # per gateway and period, without faults; `bytes` too
    bytes: float = 0.0

    def row(self) -> str:
        """Return the results as a row of a table."""
        known = sorted(self.known_ms)
        p99 = known[min(len(known) - 1, int(0.99 * len(known)))]
        rate = self.false_deaths / self.hours if self.hours else 0.0
        return (
            f"| {self.where} | {self.size} | {self.loss:g} | {median(known) / self.period_ms:.1f} | "
            f"{p99 / self.period_ms:.1f} | {len(known)} | {self.false_deaths} in {self.hours * 60:.1f} min "
            f"({rate:.1f} an hour) | {self.messages:.1f} | {self.bytes:.0f} |"
        )


HEAD = (
    "| where | gateways | loss | median, periods | 99th percentile | deaths | false deaths | "
    "datagrams a gateway and period | bytes |\n|" + " --- |" * 9
)


def virtual(size: int, loss: float, kills: int, seed: int) -> Figures:
    """Measure detectors on a simulated network in virtual time."""
    net = Net(size, seed=seed, loss=loss)
    period, found = net.period_ms, Figures("virtual time", size, loss, net.period_ms)
    net.run(SETTLE_PERIODS * period)
    sent, carried, begun = sum(net.sent), sum(net.bytes), net.now
    net.run(net.now + QUIET_PERIODS * period)
    periods = (net.now - begun) / period
    found.messages = (sum(net.sent) - sent) / size / periods
    found.bytes = (sum(net.bytes) - carried) / size / periods
    for kill in range(kills):
        victim, at = (kill * 7 + 1) % size, net.now
        net.kill(victim)
        while net.count_believing(victim, State.DEAD, State.LEFT) < len(net.nodes):
            if net.now - at > MAX_WAIT_PERIODS * period:
                break
            net.run(net.now + period / 4.0)
        found.known_ms.append(net.now - at)
        net.start(victim)
        net.run(net.now + SETTLE_PERIODS * period)
    found.false_deaths, found.hours = net.false_deaths, net.now / period / 3600.0
    return found


async def measure_processes(size: int, loss: float, kills: int, seed: int) -> Figures:
    """Measure with real gateway processes."""
    from standins.fabric import Faults
    from standins.fleet import Fleet

    fleet = Fleet(size, seed, period_ms=400.0)
    found, period = Figures("processes", size, loss, fleet.period_ms), fleet.period_ms
    loop = asyncio.get_running_loop()
    all_alive = {n: {"ALIVE"} for n in range(size)}
    killed = set[int]()
    try:
        await fleet.start()
        begun = loop.time()
        fleet.fabric.faults = Faults(loss_share=loss)
        await fleet.until(all_alive, patience_s=120.0)
        rows, quiet = len(fleet.fabric.history), loop.time()
        await asyncio.sleep(QUIET_PERIODS * period / 1000.0)
        periods = (loop.time() - quiet) * 1000.0 / period
        carried = fleet.fabric.history[rows:]
        found.messages = len(carried) / size / periods
        found.bytes = sum(row[3] for row in carried) / size / periods
        for kill in range(kills):
            victim = (kill * 7 + 1) % size
            killed.add(victim)
            at = loop.time()
            await fleet.stop_process(victim)
            await fleet.until({victim: {"DEAD"}}, patience_s=MAX_WAIT_PERIODS * period / 1000.0)
            found.known_ms.append(1000.0 * (loop.time() - at))
            await fleet.launch(victim)
            await fleet.until({victim: {"ALIVE"}}, patience_s=MAX_WAIT_PERIODS * period / 1000.0)
        found.hours = (loop.time() - begun) * 1000.0 / period / 3600.0
        found.false_deaths = len(fleet.declared_dead() - killed)
    finally:
        await fleet.finish()
    return found


def plot(found: list[Figures], file: str) -> None:
    """Plot the cost per gateway over the fleet's size, with a line for each loss."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(9, 3.6))
    for loss in sorted({f.loss for f in found}):
        line = [f for f in found if f.loss == loss and f.where == "virtual time"]
        left.plot([f.size for f in line], [f.messages for f in line], marker="o", label=f"{loss:.0%} lost")
        right.plot([f.size for f in line], [f.bytes for f in line], marker="o", label=f"{loss:.0%} lost")
    for axes, name in ((left, "datagrams"), (right, "bytes")):
        axes.set(xscale="log", xlabel="gateways", ylabel=f"{name} a gateway and period", ylim=(0, None))
        axes.legend(loc="upper left")
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    """Run the measurements that the command line asks for."""
    parser = argparse.ArgumentParser(description="measure membership's detection")
    parser.add_argument("--sizes", default="5,40,200")
    parser.add_argument("--processes", default="", help="sizes of fleets of real processes instead")
    parser.add_argument("--loss", default="0,0.05,0.3")
    parser.add_argument("--kills", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--plot", default="")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--read", nargs="*", default=[], help="files with the output of --json, instead of a run"
    )
    args = parser.parse_args()
    found = []
    for file in args.read:
        found += [Figures(**json.loads(line)) for line in Path(file).read_text().splitlines()]
    if found:
        print(HEAD, *(one.row() for one in found), sep="\n")
        return plot(found, args.plot) if args.plot else None
    if not args.json:
        print(HEAD)
    for loss in map(float, args.loss.split(",")):
        for size in map(int, (args.processes or args.sizes).split(",")):
            if args.processes:
                one = asyncio.run(measure_processes(size, loss, args.kills, args.seed))
            else:
                one = virtual(size, loss, args.kills, args.seed)
            found.append(one)
            print(json.dumps(asdict(one)) if args.json else one.row())
            sys.stdout.flush()
    if args.plot:
        plot(found, args.plot)


if __name__ == "__main__":
    main()
