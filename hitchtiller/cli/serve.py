"""`hitchtiller serve`: the platform's gateway with what the operators' file switches on."""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from hitchtiller import log
from hitchtiller.__main__ import Gateway
from hitchtiller.__main__ import serve as serve_gateway
from hitchtiller.cli.logs import json_sink
from hitchtiller.codec.bus import read_dial
from hitchtiller.config import ConfigError, read_config
from hitchtiller.operator.model import MB, File, Membership, Repo, Store
from hitchtiller.operator.read import BadFile, read_file
from hitchtiller.ops.stats import Stats

if TYPE_CHECKING:
    from hitchtiller.repo.fetch import Fetcher
    from hitchtiller.repo.front import RepoFront


def with_store(settings: Store) -> Callable[[Gateway], Callable[[], None]]:
    """Join the tiers to a gateway."""
    from hitchtiller.store.disk import Options
    from hitchtiller.store.jobs import ThreadJobs
    from hitchtiller.store.keeper import Keeper
    from hitchtiller.store.memory import Memory
    from hitchtiller.store.pace import Pace
    from hitchtiller.store.space import Rate
    from hitchtiller.store.suspect import Proof, SavedProof
    from hitchtiller.store.tier import Tier

    def extend(gateway: Gateway) -> Callable[[], None]:
        config, sched = gateway.config, gateway.sched
        weights = {name: share.weight for name, share in settings.share.items()}
        memory = Memory(int(settings.memory_mb * MB), weights, settings.policy)
        proof = Proof(SavedProof(), config.settings.purge_done_ms, settings.purge_lag_ms)
        pace = Pace(config.flow_bytes_per_s, config.link_bytes_per_s)
        tier = Tier(gateway.engine, memory, proof, pace, settings.confirm)
        gateway.bus.on_caught_up = tier.on_caught_up
        if settings.disk is None:
            return lambda: None
        disk = settings.disk
        options = Options(
            budget=int(disk.budget_mb * MB),
            reserve=int(disk.reserve_mb * MB),
            segment_bytes=int(disk.segment_mb * MB) // 64 * 64,
            queue_bytes=int(disk.queue_mb * MB),
            sync_ms=disk.sync_ms,
            checkpoint_ms=disk.checkpoint_s * 1000.0,
        )
        rate = Rate(disk.compact_mb_per_s * MB, disk.compact_busy_mb_per_s * MB, 4.0 * MB)
        jobs = ThreadJobs(sched, disk.readers)
        keeper = Keeper(sched, tier, gateway.front, Path(disk.folder), options, jobs, rate)
        sched.spawn(keeper.run)
        return keeper.finish

    return extend


def with_repositories(settings: Repo) -> Callable[[Gateway], None]:
    """Join the second front to a gateway."""
    from hitchtiller.repo.admission import BackgroundLimit, ConnectionLimits
    from hitchtiller.repo.budget import Budget
    from hitchtiller.repo.fetch import Fetcher
    from hitchtiller.repo.front import RepoFront, Times
    from hitchtiller.repo.kinds import make
    from hitchtiller.repo.service import Repository, Service

    def extend(gateway: Gateway) -> None:
        sched, engine = gateway.sched, gateway.engine
        give_way = BackgroundLimit(on=settings.give_way)
        fetcher = Fetcher(sched, engine, give_way, Budget(), gateway.config.seed)
        served = [
            Repository(
                name, make(r.kind), r.prefix, r.class_name, r.group, r.grace_s * 1e3, int(r.index_mb * MB)
            )
            for name, r in settings.repository.items()
        ]
        hosts = frozenset(host.strip().lower() for host in settings.hosts.split(",") if host.strip())
        service = Service(engine, fetcher, served, hosts)
        times = Times(settings.header_s * 1e3, settings.idle_s * 1e3, settings.slow_s * 1e3)
        front = RepoFront(
            sched, service, ConnectionLimits(settings.connections, settings.each_address), times
        )
        front.listen(read_dial(settings.listen))
        publish(engine.stats, front, fetcher)

        def look() -> None:
            while True:
                sched.sleep(200.0)
                fetcher.look()

        sched.spawn(look)

    return extend


def with_membership(settings: Membership) -> Callable[[Gateway], Callable[[], None]]:
    """Join membership to a gateway."""
    from hitchtiller.ops.members import Members

    def extend(gateway: Gateway) -> Callable[[], None]:
        assert gateway.peers, "checked before the start"
        joined = (gateway.sched, gateway.engine, gateway.peers, gateway.bus)
        members = Members(*joined, settings.fleet, settings.period_ms)
        gateway.front.not_ready_reasons.append(members.isolation_reason)
        gateway.calls.plain["members"] = members.listed
        gateway.calls.named["forget-member"] = members.forget
        gateway.sched.spawn(members.run)
        return members.leave

    return extend


def publish(stats: Stats, front: "RepoFront", fetcher: "Fetcher") -> None:
    """Put the second front's figures where operators read them."""
    way, budget, service = fetcher.give_way, fetcher.budget, front.service
    stats.levels |= {
        "repo.connections": lambda: front.connection_limits.all,
        "repo.parts_open": lambda: way.open,
        "repo.parts_limit": lambda: int(way.limit),
    }
    stats.counts |= {
        "repo.parts": lambda: fetcher.asked,
        "repo.repeats": lambda: budget.spent,
        "repo.repeats_denied": lambda: budget.denied,
        "repo.gave_way": lambda: way.refused,
        "repo.turned_away": lambda: sum(front.rejected_connections.values()),
        "repo.answers": lambda: sum(service.counts.values()),
        "repo.held_back": lambda: sum(
            line.updates_withheld for repo in service.repositories for line in repo.lines.values()
        ),
    }


def _extend(settings: File, gateway: Gateway) -> Callable[[], None]:
    """Join all that the file asks for."""
    finish = with_store(settings.store)(gateway) if settings.store else lambda: None
    if settings.repo:
        with_repositories(settings.repo)(gateway)
    if settings.membership:
        left = with_membership(settings.membership)(gateway)
        return lambda: (left(), finish())[1]
    return finish


def serve(file: Path | None) -> int:
    """Run until told to stop; 2 for a configuration or a file that can't be used."""
    settings = File()
    try:
        if file:
            settings = read_file(file)
        config = read_config(os.environ)
        unknown = set(settings.store.share if settings.store else ()) - set(config.settings.classes)
        for name, repository in (settings.repo.repository if settings.repo else {}).items():
            cls = config.settings.classes.get(repository.class_name)
            if cls is None or cls.write or cls.effect != "repeatable":
                names = [
                    n for n, c in config.settings.classes.items() if c.effect == "repeatable" and not c.write
                ]
                told = f"class_name {repository.class_name!r} of repository {name!r} is none that may be kept"
                raise ConfigError(f"{file}: {told}; there are " + ", ".join(names))
        if settings.membership and not (config.peer_listen and config.settings.peers):
            raise ConfigError(f"{file}: membership needs peers and peer_listen in the configuration")
        if unknown:
            raise ConfigError(f"{file}: share for {sorted(unknown)[0]!r}, which is no class; there are "
                              + ", ".join(config.settings.classes))  # fmt: skip
    except BadFile as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"hitchtiller: {file}: {error.strerror}", file=sys.stderr)
        return 2
    except ConfigError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    log.start(config.name, json_sink if settings.log.form == "json" else None)
    try:
        serve_gateway(config, lambda gateway: _extend(settings, gateway))
    except OSError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0
