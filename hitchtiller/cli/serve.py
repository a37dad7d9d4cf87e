"""`hitchtiller serve`: the platform's gateway with the optional parts that the operators' file switches on.

The optional parts are the gateway's own copies, the front for package repositories and membership. Their
modules are imported only if the file has their block.
"""

import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

from hitchtiller import log
from hitchtiller.__main__ import Gateway
from hitchtiller.__main__ import serve as serve_gateway
from hitchtiller.cli.logs import json_sink
from hitchtiller.codec.bus import read_address
from hitchtiller.config import ConfigError, read_config
from hitchtiller.operator.model import MB, File, Membership, Repo, Store
from hitchtiller.operator.read import InvalidFileError, read_file
from hitchtiller.ops.stats import Stats

if TYPE_CHECKING:
    from hitchtiller.repo.fetch import Fetcher
    from hitchtiller.repo.front import RepoFront


def make_store_extension(settings: Store) -> Callable[[Gateway], Callable[[], None]]:
    """Return a function that adds the tiers of copies to a gateway and returns a callable for its end."""
    from hitchtiller.store.disk import DiskOptions
    from hitchtiller.store.jobs import ThreadJobs
    from hitchtiller.store.keeper import FolderKeeper
    from hitchtiller.store.memory import Memory
    from hitchtiller.store.pace import Pace
    from hitchtiller.store.space import TokenBucket
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
        options = DiskOptions(
            budget=int(disk.budget_mb * MB),
            reserve=int(disk.reserve_mb * MB),
            segment_bytes=int(disk.segment_mb * MB) // 64 * 64,
            queue_bytes=int(disk.queue_mb * MB),
            sync_ms=disk.sync_ms,
            checkpoint_ms=disk.checkpoint_s * 1000.0,
        )
        rate = TokenBucket(disk.compact_mb_per_s * MB, disk.compact_busy_mb_per_s * MB, 4.0 * MB)
        jobs = ThreadJobs(sched, disk.readers)
        keeper = FolderKeeper(sched, tier, gateway.front, Path(disk.folder), options, jobs, rate)
        sched.keep_running(keeper.run)
        return keeper.finish

    return extend


def make_repository_extension(settings: Repo) -> Callable[[Gateway], None]:
    """Return a function that adds the HTTP front for package repositories to a gateway."""
    from hitchtiller.repo.admission import BackgroundLimit, ConnectionLimits
    from hitchtiller.repo.budget import RepeatBudget
    from hitchtiller.repo.fetch import Fetcher
    from hitchtiller.repo.front import ClientTimeouts, RepoFront
    from hitchtiller.repo.kinds import make_kind
    from hitchtiller.repo.service import Repository, Service

    def extend(gateway: Gateway) -> None:
        sched, engine = gateway.sched, gateway.engine
        give_way = BackgroundLimit(is_enabled=settings.give_way)
        fetcher = Fetcher(sched, engine, give_way, RepeatBudget(), gateway.config.seed)
        repositories = [
            Repository(
                name,
                make_kind(r.kind),
                r.prefix,
                r.class_name,
                r.group,
                r.grace_s * 1e3,
                int(r.index_mb * MB),
            )
            for name, r in settings.repository.items()
        ]
        hosts = frozenset(host.strip().lower() for host in settings.hosts.split(",") if host.strip())
        service = Service(engine, fetcher, repositories, hosts)
        times = ClientTimeouts(settings.header_s * 1e3, settings.idle_s * 1e3, settings.slow_s * 1e3)
        front = RepoFront(
            sched, service, ConnectionLimits(settings.connections, settings.each_address), times
        )
        front.listen(read_address(settings.listen))
        publish_repository_figures(engine.stats, front, fetcher)

        def adjust_limit() -> None:
            """Adapt the limit on background fetches to the load every 200 ms; never returns."""
            while True:
                sched.sleep(200.0)
                fetcher.adjust_limit()

        sched.keep_running(adjust_limit)

    return extend


def make_membership_extension(settings: Membership) -> Callable[[Gateway], Callable[[], None]]:
    """Return a function that adds membership to a gateway and returns a callable for its end."""
    from hitchtiller.ops.members import MembershipService

    def extend(gateway: Gateway) -> Callable[[], None]:
        assert gateway.peers, "checked before the start"
        parts = (gateway.sched, gateway.engine, gateway.peers, gateway.bus)
        members = MembershipService(*parts, settings.fleet, settings.period_ms)
        gateway.front.not_ready_reasons.append(members.isolation_reason)
        gateway.calls.calls_without_argument["members"] = members.list_members
        gateway.calls.calls_with_argument["forget-member"] = members.forget
        gateway.sched.keep_running(members.run)
        return members.leave

    return extend


def publish_repository_figures(stats: Stats, front: "RepoFront", fetcher: "Fetcher") -> None:
    """Add the figures of the repository front to the statistics of the gateway."""
    background_limit, budget, service = fetcher.background_limit, fetcher.budget, front.service
    stats.gauges |= {
        "repo.connections": lambda: front.connection_limits.open_connections,
        "repo.parts_open": lambda: background_limit.parts_in_flight,
        "repo.parts_limit": lambda: int(background_limit.limit),
    }
    stats.counters |= {
        "repo.parts": lambda: fetcher.parts_requested,
        "repo.repeats": lambda: budget.repeats_spent,
        "repo.repeats_denied": lambda: budget.repeats_denied,
        "repo.gave_way": lambda: background_limit.refusal_count,
        "repo.turned_away": lambda: sum(front.rejected_connections.values()),
        "repo.answers": lambda: sum(service.reply_counts.values()),
        "repo.held_back": lambda: sum(
            line.updates_withheld for repo in service.repositories for line in repo.index_histories.values()
        ),
    }


def _add_parts(settings: File, gateway: Gateway) -> Callable[[], None]:
    """Add the parts that the file switches on; return a callable that ends them."""
    finish = make_store_extension(settings.store)(gateway) if settings.store else lambda: None
    if settings.repo:
        make_repository_extension(settings.repo)(gateway)
    if settings.membership:
        leave_membership = make_membership_extension(settings.membership)(gateway)
        return lambda: (leave_membership(), finish())[1]
    return finish


def serve(file: Path | None) -> int:
    """Run the gateway until it is stopped; return 2 for a configuration or a file that can't be used."""
    settings = File()
    try:
        if file:
            settings = read_file(file)
        config = read_config(os.environ)
        unknown = set(settings.store.share if settings.store else ()) - set(config.settings.classes)
        for name, repository in (settings.repo.repository if settings.repo else {}).items():
            request_class = config.settings.classes.get(repository.class_name)
            if request_class is None or request_class.write or request_class.effect != "repeatable":
                valid_names = [
                    n for n, c in config.settings.classes.items() if c.effect == "repeatable" and not c.write
                ]
                reason = (
                    f"class_name {repository.class_name!r} of repository {name!r} "
                    "is no class that may be kept"
                )
                raise ConfigError(f"{file}: {reason}; there are " + ", ".join(valid_names))
        if settings.membership and not (config.peer_listen and config.settings.peers):
            raise ConfigError(f"{file}: membership needs peers and peer_listen in the configuration")
        if unknown:
            raise ConfigError(f"{file}: share for {sorted(unknown)[0]!r}, which is no class; there are "
                              + ", ".join(config.settings.classes))  # fmt: skip
    except InvalidFileError as error:
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
        serve_gateway(config, lambda gateway: _add_parts(settings, gateway))
    except OSError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0
