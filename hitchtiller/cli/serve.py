"""`hitchtiller serve`: the platform's gateway with what the operators' file switches on."""

import os
import sys
from collections.abc import Callable
from pathlib import Path

from hitchtiller import log
from hitchtiller.__main__ import Gateway
from hitchtiller.__main__ import serve as serve_gateway
from hitchtiller.cli.logs import json_sink
from hitchtiller.config import ConfigError, read_config
from hitchtiller.operator.model import MB, File, Store
from hitchtiller.operator.read import BadFile, read_file


def with_store(settings: Store) -> Callable[[Gateway], Callable[[], None]]:
    """Join the tiers to a gateway."""
    from hitchtiller.store.disk import Options
    from hitchtiller.store.jobs import Threads
    from hitchtiller.store.keeper import Keeper
    from hitchtiller.store.memory import Memory
    from hitchtiller.store.pace import Pace
    from hitchtiller.store.space import Rate
    from hitchtiller.store.suspect import Kept, Proof
    from hitchtiller.store.tier import Tier

    def extend(gateway: Gateway) -> Callable[[], None]:
        config, sched = gateway.config, gateway.sched
        weights = {name: share.weight for name, share in settings.share.items()}
        memory = Memory(int(settings.memory_mb * MB), weights, settings.policy)
        proof = Proof(Kept(), config.settings.purge_done_ms, settings.purge_lag_ms)
        pace = Pace(config.flow_bytes_per_s, config.link_bytes_per_s)
        tier = Tier(gateway.engine, memory, proof, pace, settings.confirm)
        gateway.bus.heard = tier.heard
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
        jobs = Threads(sched, disk.readers)
        keeper = Keeper(sched, tier, gateway.front, Path(disk.folder), options, jobs, rate)
        sched.spawn(keeper.run)
        return keeper.finish

    return extend


def serve(file: Path | None) -> int:
    """Run until told to stop; 2 for a configuration or a file that can't be used."""
    settings = File()
    try:
        if file:
            settings = read_file(file)
        config = read_config(os.environ)
        unknown = set(settings.store.share if settings.store else ()) - set(config.settings.classes)
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
        serve_gateway(config, with_store(settings.store) if settings.store else None)
    except OSError as error:
        print(f"hitchtiller: {error}", file=sys.stderr)
        return 2
    return 0
