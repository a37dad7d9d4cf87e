"""Checks of the data that a gateway keeps on disk: the store's folder (A1) and the hold-out file (A2)."""

import asyncio
import json
import shutil
from pathlib import Path
from typing import Any

from standins.compatibility.builds import Build
from standins.compatibility.checks import Trial, expect
from standins.compatibility.environment import StandInEnvironment
from standins.compatibility.gateway import Gateway

PURGE_LOG = "purges.log"
LOAD_TIME_FIELD = "load_ms"  # the only field of `store inspect` that differs between runs
CHECKPOINT_INTERVAL_S = 3.0
SYNC_INTERVAL_S = 0.1
SYNC_WAIT_S = 4.0 * SYNC_INTERVAL_S  # until the last records are surely on disk

FIRST_KEYS, LATER_KEYS = range(1, 31), range(31, 41)  # requested before and after the checkpoint
STORED_KEYS = [*FIRST_KEYS, *LATER_KEYS]
REQUESTS_EACH = 2  # an object is kept on disk from its second request on at the latest

STORE_SEED, HOLD_OUT_SEED = 5, 6
DISABLED_CACHE = "s-00000001"
HOLD_OUT_KEYS = range(1, 41)


def store_file(folder: Path) -> str:
    """Return an operators' file that enables both tiers of the store."""
    return (
        f"store {{\n  memory_mb = 1\n  purge_lag_ms = 600\n  disk {{\n"
        f'    folder = "{folder}"\n    budget_mb = 24\n    segment_mb = 2\n'
        f"    sync_ms = {1000 * SYNC_INTERVAL_S:.0f}\n    checkpoint_s = {CHECKPOINT_INTERVAL_S}\n  }}\n}}\n"
    )


async def wait_for_store(gateway: Gateway, folder: Path) -> None:
    """Wait until a gateway has opened its folder and written the first record of its purge log."""

    async def is_written() -> bool:
        return any(path.stat().st_size for path in folder.glob(PURGE_LOG))

    await gateway.wait_until("the store is in use", is_written)


async def write_store(trial: Trial, environment: StandInEnvironment, writer: Build, folder: Path) -> None:
    """Let a gateway write copies before and after a checkpoint, and kill it."""
    store = folder / "store"
    gateway = Gateway(writer, 0, folder / "writer")
    await gateway.start(trial.processes, environment.config(environment.bus), store_file(store))
    await wait_for_store(gateway, store)
    for _ in range(REQUESTS_EACH):
        await environment.request(gateway, FIRST_KEYS)
    await gateway.wait_for_figure("store.disk.parts", len(FIRST_KEYS))
    checkpoints = (await gateway.figures())["store.disk.checkpoints"]
    await gateway.wait_for_figure("store.disk.checkpoints", checkpoints + 1)
    for _ in range(REQUESTS_EACH):
        await environment.request(gateway, LATER_KEYS)
    await gateway.wait_for_figure("store.disk.parts", len(STORED_KEYS))
    await asyncio.sleep(SYNC_WAIT_S)
    await gateway.kill()


async def inspect_and_verify(
    trial: Trial, build: Build, folder: Path
) -> tuple[dict[str, Any], dict[str, Any]]:
    """Return the results of a build's `store inspect` and `store verify` on a copy of a folder."""
    copy = trial.new_folder("copy") / "store"
    shutil.copytree(folder, copy)
    results = []
    for command in ("inspect", "verify"):
        ended = await trial.processes.run_tool(build, "store", command, str(copy), "--json")
        expect(f"exit code of store {command} by the {build.label} build ({ended.err!r})", 0, ended.code)
        results.append(json.loads(ended.out))
    inspected, verified = results
    inspected.pop(LOAD_TIME_FIELD)
    return inspected, verified


async def expect_same_store_reports(trial: Trial, folder: Path, writer: Build, reader: Build) -> str:
    """Check that the commands of both builds agree on a folder and find it undamaged.

    Return the counts in words.
    """
    by_writer, by_reader = [await inspect_and_verify(trial, build, folder) for build in (writer, reader)]
    expect(f"store inspect by the {reader.label} build", by_writer[0], by_reader[0])
    expect(f"store verify by the {reader.label} build", by_writer[1], by_reader[1])
    inspected, verified = by_reader
    expect("parts", len(STORED_KEYS), inspected["parts"])
    expect("a checkpoint was used", True, inspected["checkpoint"] > 0)
    expect("records were read after the checkpoint", True, inspected["records_read"] > 0)
    expect("damaged records", 0, verified["bad"])
    expect("notes", [], verified["notes"] + inspected["notes"])
    records, checkpoint = inspected["records_read"], inspected["checkpoint"]
    return f"{len(STORED_KEYS)} parts, {records} of them after checkpoint {checkpoint}"


async def expect_served_from_disk(
    trial: Trial, environment: StandInEnvironment, reader: Build, folder: Path
) -> str:
    """Check that a gateway serves all objects from a folder that another build has written.

    Return the counts in words.
    """
    gateway = Gateway(reader, 0, folder / "reader")
    config = environment.config(environment.bus)
    await gateway.start(trial.processes, config, store_file(folder / "store"))
    await gateway.wait_for_figure("store.disk.parts", len(STORED_KEYS))
    requests_before = environment.request_count
    await environment.request(gateway, STORED_KEYS)
    figures = await gateway.figures()
    expect("hits on disk", len(STORED_KEYS), figures["store.hits.disk"])
    expect("damaged records", 0, figures["store.disk.torn"])
    expect("requests to caches and origin", 0, environment.request_count - requests_before)
    expect("exit code", 0, await gateway.terminate())
    return f"{len(STORED_KEYS)} hits on disk, no request to a server"


async def check_store_is_readable(trial: Trial) -> None:
    """Check that each build reads the other's store folder, by its commands and as a gateway."""
    for writer, reader in trial.directions():
        environment, folder = StandInEnvironment(STORE_SEED), trial.new_folder("store")
        name = f"A1 store folder, {writer.label} to {reader.label}"
        await environment.start()
        async with trial.report.check(f"{name}, commands") as details:
            await write_store(trial, environment, writer, folder)
            details.append(await expect_same_store_reports(trial, folder / "store", writer, reader))
        async with trial.report.check(f"{name}, killed, then served") as details:
            details.append(await expect_served_from_disk(trial, environment, reader, folder))
        async with trial.report.check(f"{name}, ended in order, then served back") as details:
            details.append(await expect_served_from_disk(trial, environment, writer, folder))


async def disable_cache(trial: Trial, environment: StandInEnvironment, writer: Build, folder: Path) -> None:
    """Disable one cache by an operator's call at a gateway, and end the gateway."""
    gateway = Gateway(writer, 0, folder)
    await gateway.start(trial.processes, environment.config(environment.bus), "")
    (answer,) = await gateway.call(f"disable-server {DISABLED_CACHE}")
    expect("answer to disable-server", "+OK", answer[:3])
    expect("exit code", 0, await gateway.terminate())


async def expect_cache_held_out(
    trial: Trial, environment: StandInEnvironment, reader: Build, folder: Path
) -> str:
    """Check that a gateway sends no request to the disabled cache, and can enable it again.

    Return the counts in words.
    """
    gateway = Gateway(reader, 0, folder)
    await gateway.start(trial.processes, environment.config(environment.bus), "")
    expect("caches left out", 1, (await gateway.figures())["station_caches_excluded"])
    await environment.request(gateway, HOLD_OUT_KEYS)
    expect("requests to the cache that was disabled", 0, environment.caches[1].pulls)
    expect("requests to the other cache", True, environment.caches[0].pulls >= len(HOLD_OUT_KEYS))
    (answer,) = await gateway.call(f"enable-server {DISABLED_CACHE}")
    expect("answer to enable-server", "+OK", answer[:3])
    expect("caches left out", 0, (await gateway.figures())["station_caches_excluded"])
    expect("exit code", 0, await gateway.terminate())
    return f"{len(HOLD_OUT_KEYS)} requests, none to the cache that was disabled"


async def check_disabled_cache_stays_disabled(trial: Trial) -> None:
    """Check that each build reads the other's hold-out file."""
    for writer, reader in trial.directions():
        async with trial.report.check(f"A2 hold-out file, {writer.label} to {reader.label}") as details:
            environment, folder = StandInEnvironment(HOLD_OUT_SEED), trial.new_folder("held-out")
            await environment.start()
            await disable_cache(trial, environment, writer, folder)
            details.append(await expect_cache_held_out(trial, environment, reader, folder))
