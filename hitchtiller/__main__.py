"""Entry point of one gateway: reads its configuration, connects its parts and runs the loop."""

import gc
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count
from pathlib import Path

from hitchtiller import heap, log
from hitchtiller.account import FIGURE_NAMES, Account
from hitchtiller.back.upstreams import Upstreams
from hitchtiller.bus import BusLink
from hitchtiller.config import Config, ConfigError, read_config
from hitchtiller.decide import Router
from hitchtiller.engine import Engine
from hitchtiller.error_boundary import ErrorBoundary
from hitchtiller.front.server import Front
from hitchtiller.limits import buffer_bytes, connection_limits
from hitchtiller.log import logger
from hitchtiller.ops.calls import OperatorCalls
from hitchtiller.ops.control import ControlServer
from hitchtiller.ops.holdouts import HoldOuts
from hitchtiller.ops.memory_guard import MemoryGuard
from hitchtiller.ops.process_memory import peak_bytes, resident_bytes
from hitchtiller.ops.shared_effects import SharedEffects
from hitchtiller.ops.sign import ProcessMarker
from hitchtiller.ops.stats import Stats
from hitchtiller.ops.stop import ProcessStop
from hitchtiller.ops.upgrade import Upgrade
from hitchtiller.peers import Peers
from hitchtiller.reload import Reload
from hitchtiller.sched import Clock, Scheduler
from hitchtiller.signals import Signals
from hitchtiller.stream import Stream

# With a memory limit below the minimum, there is no memory for copies and the option has no effect.
MEMORY_TIER_OPTION, MIN_TIER_MEMORY_MB = "--memory-tier", 64.0
COUNTS_INTERVAL_MS, FIGURES_INTERVAL_MS = 10_000.0, 5_000.0
GC_INTERVAL_MS = 1_000.0


def log_counts(sched: Scheduler, engine: Engine, front: Front, memory_mb: float) -> None:
    """Log a line at regular intervals: counts, open sockets and the lag of the loop."""
    while True:
        sched.sleep(COUNTS_INTERVAL_MS)
        logger.info(
            "taken={} {} left={} attempts={} open={} clients={} sockets={} lag_ms={:.1f}",
            engine.stats.requests_accepted,
            " ".join(f"{kind}={count}" for kind, count in engine.stats.answer_totals().items()),
            engine.stats.clients_left,
            engine.stats.attempts,
            len(engine.open_exchanges),
            len(front.clients),
            Stream.open_count,
            sched.lag_ms,
        )
        sched.lag_ms = 0.0
        log_memory(sched, engine, memory_mb)


def log_memory(sched: Scheduler, engine: Engine, memory_mb: float) -> None:
    """Log the memory of the process, what connections hold of it by kind, and why requests were rejected."""
    held = [
        f"{name}={size}" for kind, name in FIGURE_NAMES.items() if (size := sched.account.bytes_by_kind[kind])
    ]
    rejected = [f"rejected.{reason}={count}" for reason, count in sorted(engine.stats.rejections.items())]
    logger.info(
        "memory rss_mb={:.1f} peak_mb={:.1f} limit_mb={} held={} {}",
        resident_bytes() / 1e6,
        peak_bytes() / 1e6,
        memory_mb,
        sched.account.held_bytes,
        " ".join(held + rejected),
    )


def add_memory_gauges(stats: Stats, account: Account) -> None:
    """Add the memory of the process, and what connections hold of it by kind, to the statistics."""
    stats.gauges["memory.resident"] = resident_bytes
    stats.gauges["memory.peak"] = peak_bytes
    stats.gauges["memory.held"] = lambda: account.held_bytes
    for kind, name in FIGURE_NAMES.items():
        stats.gauges[f"memory.held.{name}"] = partial(account.bytes_by_kind.__getitem__, kind)


def log_figures(sched: Scheduler, engine: Engine, back: Upstreams) -> None:
    """Log the figures that `hitchtiller worth` sums over all gateways: at the start and every 5 s."""
    while True:
        engine.stats.links = back.opened_count
        logger.info("{}", engine.stats.figures_line())
        sched.sleep(FIGURES_INTERVAL_MS)


def shared_folder(name: str) -> Path | None:
    """Return the folder that the processes of one gateway share; the gateway also serves without one."""
    if name and os.access(name, os.W_OK | os.X_OK):
        return Path(name)
    logger.warning("TMPDIR {!r} is not writable: hold-outs are not saved, no version takes over", name)
    return None


def create_marker(folder: Path) -> ProcessMarker | None:
    """Create the marker of this process; the gateway also serves without one, as when the disk is full."""
    try:
        return ProcessMarker(folder)
    except OSError as error:
        logger.warning("no marker in TMPDIR, no version takes over: {}", error.strerror or error)
        return None


def collect_garbage(sched: Scheduler) -> None:
    """Collect the few reference cycles that exceptions leave: young ones each second, all once a minute."""
    gc.freeze()
    gc.disable()  # full collections stalled the loop by 0.2 s under load; requests leave no cycles
    for round_number in count(1):
        sched.sleep(GC_INTERVAL_MS)
        # Prevents memory growth: with young collections only, objects that survived one were never freed.
        gc.collect(2 if round_number % 60 == 0 else 1 if round_number % 10 == 0 else 0)


@dataclass(frozen=True, slots=True)
class Gateway:
    """The parts of a running gateway to which optional parts are added, as the operator's file requests."""

    config: Config
    sched: Scheduler
    engine: Engine
    front: Front
    bus: BusLink
    calls: OperatorCalls
    peers: Peers | None


def serve(config: Config, extend: Callable[[Gateway], Callable[[], None]] | None = None) -> None:
    """Run one gateway until it is stopped.

    `extend` adds optional parts to it and returns a callable that is called at the end.
    """
    heap.set_up()
    sched = Scheduler()
    clients, links = connection_limits(config.sockets, two_processes=False, is_younger=False)
    times = (config.connect_ms, config.idle_ms)
    back = Upstreams(sched, times, config.streams, links)
    peers = Peers(sched, config.peer_listen, config.peers) if config.peer_listen else None
    send_note = peers.send_note if peers else lambda peer, note: None
    engine = Engine(Router(config.settings, config.seed), Clock(sched), back, send_note)
    folder = shared_folder(os.environ.get("TMPDIR", ""))
    holdouts = HoldOuts(folder, engine.on_bus_event, config.settings.origin_kind)
    bus = BusLink(sched, holdouts.on_bus_event, config.bus, (config.zones, config.kinds))
    engine.may_lack_events, engine.unheard_ms = bus.may_lack_events, bus.unheard_ms
    front = Front(
        sched, engine, config.settings, clients, buffer_bytes(config.memory_mb, two_processes=False)
    )

    guard = MemoryGuard(sched, config.memory_mb, front.relieve_memory)
    calls = OperatorCalls(front, holdouts, engine.stats)
    finish = extend(Gateway(config, sched, engine, front, bus, calls, peers)) if extend else None
    for event in config.known:
        bus.apply(event)

    def set_limits(two_processes: bool, is_younger: bool) -> None:
        guard.share(two_processes)
        front.max_clients, back.max_links = connection_limits(config.sockets, two_processes, is_younger)

    marker = create_marker(folder) if folder else None
    shared_effects = (
        SharedEffects(folder, marker.name, engine.effects, engine.request_ids) if folder and marker else None
    )
    engine.shared_effects = shared_effects
    upgrade = Upgrade(sched, marker, front, bus.is_followed, set_limits, shared_effects)
    front.not_ready_reason = upgrade.unready_reason
    host, port = front.listen(config.listen, config.listen_fd)
    if config.control:
        bound_address = ControlServer(sched, calls).listen(config.control)
        logger.info("control on {}:{}", *bound_address)
    sched.keep_running(bus.run)
    if peers:
        sched.keep_running(peers.run, engine)
    sched.keep_running(log_counts, sched, engine, front, config.memory_mb)
    add_memory_gauges(engine.stats, sched.account)
    sched.keep_running(log_figures, sched, engine, back)
    reload = Reload(config, os.environ, bus.move)
    stop = ProcessStop(
        sched,
        (
            ("the stop with a look for a successor", upgrade.stop),
            ("the stop of the front", front.leave.stop),
            ("the plain stop", front.leave.stop_without_clients),
        ),
    )
    Signals(sched, {signal.SIGTERM: stop, signal.SIGINT: stop, signal.SIGHUP: reload})
    sched.keep_running(collect_garbage, sched)
    sched.keep_running(guard.run)
    logger.info("serving on {}:{}, {} sockets, {} MB", host, port, config.sockets, config.memory_mb)
    sched.keep_running(upgrade.run)
    sched.keep_running(holdouts.run, sched)
    sched.run()
    errors = ErrorBoundary()
    if finish:
        errors.call("ending the optional parts", finish)
    if shared_effects:
        errors.call("ending the sharing of effects", shared_effects.close)
    if marker:
        errors.call("removing the marker", marker.remove)
    logger.info("stopped")


def main() -> int:
    """Run the gateway and return its exit code; an invalid configuration is reported in one line."""
    if sys.argv[1:] not in ([], [MEMORY_TIER_OPTION]):
        print(
            f"hitchtiller: unknown argument {sys.argv[1]!r}; there is {MEMORY_TIER_OPTION}", file=sys.stderr
        )
        return 2
    try:
        config = read_config(os.environ)
    except ConfigError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    log.start(config.name)
    extend: Callable[[Gateway], Callable[[], None]] | None = None
    if sys.argv[1:] and config.memory_mb >= MIN_TIER_MEMORY_MB:
        from hitchtiller.store import light  # imported only if used: two versions have to fit into 32 MB

        extend = light.join
    try:
        serve(config, extend)
    except OSError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
