"""The tiers in real processes among stand-ins: kills, orderly restarts, upgrades, and the command line."""

import asyncio
import json
import shutil
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from click.testing import CliRunner

from hitchtiller.cli.main import main
from hitchtiller.front.leave import ACCEPT_GRACE_MS
from hitchtiller.limits import memory_tier_mb
from hitchtiller.store import recover
from hitchtiller.store.files import OsFiles
from standins import kills
from standins.parties import HEARTBEAT_MS
from standins.rig import MAX_PURGE_LAG_MS, REPLAY_MS, ROOT, Rig
from standins.truth import now_ms

LONG_REPLAY_MS = 60_000.0  # longer than any start takes


def play_script(script: Callable[[Rig], Awaitable[None]], replay_ms: float = REPLAY_MS, **disk: float) -> Rig:
    """Run a script on a rig with both tiers, and check that clients saw nothing wrong."""

    async def run() -> Rig:
        rig = Rig(5)
        rig.replay_ms = replay_ms
        rig.disk(**disk)
        await rig.start()
        try:
            await rig.launch()
            await script(rig)
        finally:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)
        return rig

    rig = asyncio.run(run())
    assert not rig.verdicts.wrong
    return rig


async def ask_all(rig: Rig, keys: range) -> None:
    terminal = await rig.terminal()
    for key in keys:
        got = await terminal.read("files", key)
        assert got and got.code == 0
    terminal.close()


def test_a_gateway_killed_at_random_moments_serves_nothing_torn_or_old() -> None:
    """Eight kills with fixed seeds; `python -m standins.kills` runs hundreds."""

    async def lanes() -> list[dict[str, object]]:
        return list(await asyncio.gather(*(kills.play(seed, 2) for seed in (100, 300, 400, 500))))

    results = asyncio.run(lanes())
    assert [result["wrong"] for result in results] == [[]] * 4
    assert sum(int(str(result["served"])) for result in results) > 100


def test_the_kill_test_notices_a_gateway_that_ignores_purges() -> None:
    """The same rig with a bus that does not send a purge which the truth contains."""

    async def script() -> list[str]:
        rig = Rig(5)
        rig.disk()
        await rig.start()
        try:
            await rig.launch()
            await rig.logged("store open")
            await ask_all(rig, range(1, 6))
            rig.truth.purge(3, -1, now_ms())
            rig.bus.told += 1  # the purge is never sent
            await asyncio.sleep(1.2)
            await ask_all(rig, range(1, 6))
        finally:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)
        return rig.verdicts.wrong

    (wrong,) = asyncio.run(script())
    assert wrong.startswith("old: 3/0")


def test_after_an_orderly_restart_hits_come_from_disk_and_no_cache_is_asked() -> None:
    async def script(rig: Rig) -> None:
        await rig.logged("store open")
        for _ in range(2):
            await ask_all(rig, range(1, 40))
        terminated_ms = now_ms()
        assert await rig.terminate() == 0
        # The bus is followed until the process ends, so that a start within the replay time finds no gap.
        saved = recover.load(OsFiles(rig.folder / "store")).saved_proof
        assert saved.followed_ms >= terminated_ms + ACCEPT_GRACE_MS - HEARTBEAT_MS - MAX_PURGE_LAG_MS
        pulls = sum(server.pulls for server in rig.caches)
        await rig.launch()
        line = await rig.logged("store open")
        assert "checkpoint 0" not in line and " 0 records read" in line
        await ask_all(rig, range(1, 40))
        figures = await rig.figures()
        assert figures["store.era"] == saved.epoch, "the restart was taken for a gap"
        assert figures["store.hits.disk"] == 39 and sum(server.pulls for server in rig.caches) == pulls

    play_script(script, replay_ms=LONG_REPLAY_MS)


def test_after_a_long_absence_copies_are_confirmed_and_purged_ones_are_not_served() -> None:
    async def script(rig: Rig) -> None:
        await rig.logged("store open")
        for _ in range(2):
            await ask_all(rig, range(1, 21))
        await rig.terminate()
        for key in (3, 4):
            rig.truth.purge(key, -1, now_ms())
        await asyncio.sleep(REPLAY_MS / 1000.0 + 1.2)
        await rig.launch()
        await rig.logged("store open")
        kept = sum(server.kept for server in rig.caches)
        await ask_all(rig, range(1, 21))
        figures = await rig.figures()
        assert figures["store.confirmed"] == 18 == sum(server.kept for server in rig.caches) - kept
        assert figures["store.refuted"] == 2 and figures["store.hits.disk"] == 0

    play_script(script)


def test_a_new_version_takes_the_folder_over_when_the_old_one_releases_it() -> None:
    async def script(rig: Rig) -> None:
        await rig.logged("store open")
        for _ in range(2):
            await ask_all(rig, range(1, 31))
        old, log = rig.process, rig.lines
        await rig.launch()
        assert old
        await rig.logged("store open")
        # the old process has a pipe of its own, so its line may be read later
        async with asyncio.timeout(10.0):
            while not (left := [line for line in log if "store left" in line]):
                await asyncio.sleep(0.01)
        assert "store left: 30 parts" in left[0]
        await ask_all(rig, range(1, 31))
        assert (await rig.figures())["store.hits.disk"] == 30
        assert await asyncio.wait_for(old.wait(), 10.0) == 0

    play_script(script)


def test_logs_as_json_have_bound_fields() -> None:
    async def script(rig: Rig) -> None:
        await rig.kill()
        rig.hcl += 'log {\n  form = "json"\n}\n'
        await rig.launch(wait_ready=False)
        await rig.expect('"text":"ready"')
        terminal = await rig.terminal()
        terminal.close()
        line = json.loads(await rig.expect('"side":"client"'))
        assert line["node"] == "n0" and line["code"] == "eof" and line["level"] == "INFO"

    play_script(script)


def test_the_platforms_gateway_does_not_import_the_store() -> None:
    """Two versions have to fit into 32 MB together."""
    code = (
        "import sys, hitchtiller.__main__\n"
        "new = {'click', 'rich', 'msgspec', 'hcl2', 'lark', 'xxhash', 'google_crc32c', 'numpy'}\n"
        "print([m for m in sys.modules if m in new or m.startswith(('hitchtiller.store', 'hitchtiller.cli',"
        " 'hitchtiller.operator', 'standins'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout.strip() == "[]"


def test_serve_refuses_a_bad_file_and_a_share_for_an_unknown_class(tmp_path: Path) -> None:
    file = tmp_path / "gateway.hcl"
    env = {"BALANCER_CONFIG": str(ROOT / "examples" / "config.json")}
    for text, message in (
        ("stor { }", "did you mean 'store'?"),
        ('store {\n share "nope" { }\n}', "'nope', which is no"),
    ):
        file.write_text(text)
        command = [sys.executable, "-m", "hitchtiller.cli", "serve", "--file", str(file)]
        done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT, env=env)
        assert done.returncode == 2 and message in done.stderr


def test_the_demo_serves_and_shows_how_each_request_was_answered() -> None:
    done = CliRunner().invoke(main, ["demo", "--json"])
    assert done.exit_code == 0, done.output
    rows = json.loads(done.output)["requests"]
    assert rows[0]["way"].startswith("station cache") and rows[4]["way"] == "memory"
    assert rows[6]["way"].startswith("station cache"), "the object was purged"


def test_the_store_tools_show_verify_compact_and_export(tmp_path: Path) -> None:
    folder, run = tmp_path / "store", CliRunner()
    folder.mkdir()
    assert run.invoke(main, ["store", "inspect", str(folder)]).exit_code == 2
    args = ["store", "bench", str(folder), "--parts", "300", "--kb", "4", "--seconds", "0.05", "--json"]
    measured = json.loads(run.invoke(main, args).output)
    assert measured["parts"] == 300 and measured["scanned_with_checkpoint"] == 0
    assert run.invoke(main, args).exit_code == 2, "the folder is no longer empty"
    shown = json.loads(run.invoke(main, ["store", "inspect", str(folder), "--json"]).output)
    assert shown["parts"] == 300 and shown["segments"] == 1
    assert run.invoke(main, ["store", "verify", str(folder)]).exit_code == 0
    target = tmp_path / "out"
    name = f"{7:016x}"
    assert run.invoke(main, ["store", "export", str(folder), str(target), "--object", name]).exit_code == 0
    assert (target / f"{name}-0").stat().st_size == 4000
    assert run.invoke(main, ["store", "export", str(folder), str(target), "--object", "zz"]).exit_code == 2
    done = json.loads(run.invoke(main, ["store", "compact", str(folder), "--json"]).output)
    assert done["parts"] == 300 and done["state"] == "well"
    segment = next(folder.glob("segment-*"))
    data = bytearray(segment.read_bytes())
    data[2000] ^= 1
    segment.write_bytes(data)
    bad = run.invoke(main, ["store", "verify", str(folder), "--json"])
    assert bad.exit_code == 1 and json.loads(bad.output)["bad"] == 1


def test_the_platforms_gateway_has_the_memory_tier_if_its_limit_leaves_room() -> None:
    assert memory_tier_mb(80) == 8.0 and memory_tier_mb(2048) == 16.0

    async def script(rig: Rig) -> None:
        await rig.kill()
        rig.hcl, rig.command = "", [sys.executable, "-m", "hitchtiller", "--memory-tier"]
        rig.memory_mb = 32
        await rig.launch()
        assert not any("memory tier" in line for line in rig.lines)
        await rig.kill()
        rig.memory_mb = 512
        await rig.launch()
        assert any("memory tier of 16.0 MB" in line for line in rig.lines)
        await asyncio.sleep(0.4)  # until the gateway has caught up with the bus
        for _ in range(2):
            await ask_all(rig, range(1, 11))
        figures = await rig.figures()
        assert figures["store.hits.memory"] == 10 and "store.disk.puts" in figures

    play_script(script)


def test_the_platforms_gateway_refuses_unknown_options() -> None:
    command = [sys.executable, "-m", "hitchtiller", "--memory"]
    done = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 2 and "there is --memory-tier" in done.stderr
