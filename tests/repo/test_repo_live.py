"""The second front in a real process: hostile requests, releases under way, ranges, pip itself."""

import asyncio
import base64
import hashlib
import io
import json
import os
import random
import shutil
import subprocess
import sys
import zipfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from click.testing import CliRunner
from hostile import CORPUS, GOOD

from hitchtiller.cli.main import main
from standins import releases
from standins.repo import RepoTruth, ScriptedRepository, get, page
from standins.rig import Rig

FILE = "/simple/files/demo-1.1-py3-none-any.whl"
INDEX = "/simple/simple/demo/"


def played(
    script: Callable[[Rig, ScriptedRepository], Awaitable[None]], store: bool = False, **more: float
) -> None:
    """Run a script on a gateway with a repository that has published one release."""

    async def run() -> None:
        rig, truth = Rig(5, 3), RepoTruth()
        rig.truth = truth
        for server in (*rig.caches, rig.parent, rig.origin):
            server.truth = truth
        if store:
            rig.disk()
        rig.repositories(**more)
        shop = ScriptedRepository(truth, random.Random(1))
        await shop.publish()
        await rig.start()
        try:
            await rig.launch()
            await script(rig, shop)
        finally:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)

    asyncio.run(run())


async def told(rig: Rig) -> None:
    """Wait until a purge that was published has been told, and caches have dropped what is older."""
    await asyncio.sleep(0.8)


def test_an_index_and_its_files_are_served_whole_with_tags_that_hold() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        index = await get(rig.http, INDEX)
        assert index.status == 200 and index.body == page(shop.files)
        again = await get(rig.http, INDEX, {"If-None-Match": index.headers["etag"]})
        assert again.status == 304 and not again.body
        for name, data in shop.files.items():
            got = await get(rig.http, f"/simple/files/{name}")
            assert (got.status, got.whole, got.body) == (200, True, data)
            assert got.headers["etag"].startswith(f'"{hashlib.sha256(data).hexdigest()}.')
            head = await get(rig.http, f"/simple/files/{name}", method="HEAD")
            assert head.status == 200 and int(head.headers["content-length"]) == len(data) and not head.body
        assert (await get(rig.http, "/simple/files/none-1.0.tar.gz")).status == 404
        assert (await get(rig.http, "/simple/simple/none/")).status == 404

    played(script)


def test_ranges_give_the_same_bytes_as_slicing_the_file() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        data, rng = shop.files["demo-1.1-py3-none-any.whl"], random.Random(3)
        for number in range(60):
            first = rng.randrange(len(data))
            last = min(len(data) - 1, first + rng.choice((0, 1, 5_000, 240_000, 500_000)))
            header = rng.choice((f"bytes={first}-{last}", f"bytes={first}-", f"bytes=-{len(data) - first}"))
            got = await get(rig.http, FILE, {"Range": header})
            expected = (
                data[first : last + 1] if not header.endswith("-") and "=-" not in header else data[first:]
            )
            assert (got.status, got.body) == (206, expected), (number, header)
        several = await get(rig.http, FILE, {"Range": "bytes=10-19,239990-240009"})
        assert several.status == 206 and data[10:20] in several.body and data[239_990:240_010] in several.body
        assert several.headers["content-type"].startswith("multipart/byteranges")
        beyond = await get(rig.http, FILE, {"Range": f"bytes={len(data)}-"})
        assert beyond.status == 416 and beyond.headers["content-range"] == f"bytes */{len(data)}"
        stale = await get(rig.http, FILE, {"Range": "bytes=5-", "If-Range": '"other"'})
        assert stale.status == 200 and stale.body == data

    played(script)


def test_a_file_that_broke_off_goes_on_and_after_a_new_release_begins_anew() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        part = await get(rig.http, FILE, cut=300_000)
        tag, old = part.headers["etag"], shop.files["demo-1.1-py3-none-any.whl"]
        ask = {"Range": f"bytes={len(part.body)}-", "If-Range": tag}
        rest = await get(rig.http, FILE, ask)
        assert rest.status == 206 and part.body + rest.body == old
        await shop.publish()
        await told(rig)
        assert (await get(rig.http, INDEX)).body == page(shop.files)
        anew = await get(rig.http, FILE, ask)
        assert anew.status == 200 and anew.body == shop.files["demo-1.1-py3-none-any.whl"] != old

    played(script)


def test_after_a_restart_a_client_that_comes_back_with_a_range_goes_on() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        part = await get(rig.http, FILE, cut=300_000)
        await rig.kill()
        await rig.launch()
        ask = {"Range": f"bytes={len(part.body)}-", "If-Range": part.headers["etag"]}
        rest = await get(rig.http, FILE, ask)
        assert rest.status == 206 and part.body + rest.body == shop.files["demo-1.1-py3-none-any.whl"]

    played(script, store=True)


def test_an_index_before_its_files_is_held_back_until_they_are_there() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        truth = shop.truth
        await get(rig.http, INDEX)
        files = shop.files | {"demo-3.0.tar.gz": b"new" * 100}
        truth.publish("simple/demo/", page(files), 0.0)
        await told(rig)
        await asyncio.sleep(1.0)
        held = await get(rig.http, INDEX)
        assert (
            held.status == 503 and "retry-after" in held.headers
        ), "the old one was purged, the new is not whole"
        truth.publish("files/demo-3.0.tar.gz", files["demo-3.0.tar.gz"], 0.0)
        await told(rig)
        assert (await get(rig.http, INDEX)).body == page(files)

    played(script)


def test_a_client_with_an_older_index_never_gets_a_newer_file_under_its_old_name() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        assert (await get(rig.http, INDEX, source="127.0.0.5")).status == 200
        await shop.publish()
        await told(rig)
        assert (await get(rig.http, INDEX, source="127.0.0.6")).status == 200
        old = await get(rig.http, FILE, source="127.0.0.5")
        assert old.status in (404, 503) or not old.whole
        new = await get(rig.http, FILE, source="127.0.0.6")
        assert new.status == 200 and new.body == shop.files["demo-1.1-py3-none-any.whl"]

    played(script)


def test_a_file_whose_bytes_are_wrong_never_ends_well() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        wrong = bytes(700_000)
        shop.truth.publish("files/demo-1.1-py3-none-any.whl", wrong, 0.0)
        await told(rig)
        await get(rig.http, INDEX)
        got = await get(rig.http, FILE)
        assert not (got.status == 200 and got.whole) and len(got.body) < len(wrong)
        assert await rig.logged("code=broken-wrong-digest")

    played(script)


def test_each_hostile_request_gets_its_answer_and_harms_nobody() -> None:
    assert len(CORPUS) >= 150

    async def raw(port: int, data: bytes) -> int:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(data)
            writer.write_eof()
            head = await asyncio.wait_for(reader.readline(), 8.0)
            return int(head.split()[1]) if head.startswith(b"HTTP/1.1 ") else 0
        except ConnectionError:
            return 0
        finally:
            writer.close()

    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        odd = []
        for data, statuses in CORPUS:
            status = await raw(rig.http, data)
            if status not in statuses:
                odd.append((status, statuses, data[:90]))
        assert not odd, odd
        assert await raw(rig.http, GOOD) == 200
        assert (await rig.figures())["repo.connections"] <= 1
        assert not any("Traceback" in line for line in rig.lines)

    played(script, header_s=1)


def test_slow_headers_idle_connections_and_crowds_are_ended_with_their_code() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        slow, writer = await asyncio.open_connection("127.0.0.1", rig.http)
        writer.write(b"GET / HT")
        idle = [await asyncio.open_connection("127.0.0.1", rig.http) for _ in range(3)]
        crowd = await asyncio.open_connection("127.0.0.1", rig.http)
        assert await asyncio.wait_for(crowd[0].read(), 5.0) == b""
        await rig.logged("code=too-many-of-one-address")
        assert (await get(rig.http, INDEX, source="127.0.0.9")).status == 200
        await rig.logged("code=half-header")
        await rig.logged("code=idle")
        for _, each in (*idle, crowd, (slow, writer)):
            each.close()

    played(script, header_s=0.3, idle_s=0.5, each_address=4)


def test_a_client_that_reads_slowly_is_given_up_and_holds_little() -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        big = bytes(20_000_000)
        shop.truth.publish("files/demo-4.0.tar.gz", big, 0.0)
        shop.truth.publish("simple/demo/", page(shop.files | {"demo-4.0.tar.gz": big}), 0.0)
        await told(rig)
        assert (await get(rig.http, INDEX)).status == 200
        _, writer = await asyncio.open_connection("127.0.0.1", rig.http, limit=1024)
        writer.write(b"GET /simple/files/demo-4.0.tar.gz HTTP/1.1\r\nHost: x\r\n\r\n")
        await rig.logged("end repo 127.0.0.1 code=slow")
        assert (await rig.figures())["repo.parts"] < 60
        writer.close()

    played(script, slow_s=0.5)


def test_every_client_ends_with_a_consistent_set_while_releases_come_and_go() -> None:
    result = asyncio.run(releases.play(3, clients=24, releases=5, caches=6, gateways=2, seconds=5.0))
    assert not result["wrong"] and result["sets"] == 24


def wheel_of(name: str, version: str, text: str, pad: int) -> bytes:
    """Make a wheel that pip takes."""
    out, info = io.BytesIO(), f"{name}-{version}.dist-info"
    files = {
        f"{name}.py": text.encode(),
        f"{name}_data.bin": random.Random(pad).randbytes(pad),
        f"{info}/METADATA": f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n".encode(),
        f"{info}/WHEEL": b"Wheel-Version: 1.0\nGenerator: t\nRoot-Is-Purelib: true\nTag: py3-none-any\n",
    }
    rows = []
    for path, data in files.items():
        digest = base64.urlsafe_b64encode(hashlib.sha256(data).digest()).rstrip(b"=").decode()
        rows.append(f"{path},sha256={digest},{len(data)}")
    files[f"{info}/RECORD"] = "\n".join([*rows, f"{info}/RECORD,,"]).encode()
    with zipfile.ZipFile(out, "w", zipfile.ZIP_STORED) as archive:
        for path, data in files.items():
            archive.writestr(zipfile.ZipInfo(path), data)
    return out.getvalue()


async def cutting(port: int, after: int) -> tuple[int, list[int]]:
    """Listen, pass on to a port, and cut the first connection that has carried so many bytes."""
    cuts: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        behind, beyond = await asyncio.open_connection("127.0.0.1", port)

        async def up() -> None:
            while data := await reader.read(65_536):
                beyond.write(data)
            beyond.close()

        task, carried = asyncio.create_task(up()), 0
        while data := await behind.read(16_384):
            carried += len(data)
            writer.write(data)
            if carried >= after and not cuts:
                cuts.append(carried)
                break
        writer.close()
        beyond.close()
        task.cancel()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1]), cuts


@pytest.mark.parametrize("swap, cut", [(False, False), (True, False), (False, True)])
def test_pip_itself_downloads_through_swaps_and_cuts(tmp_path: Path, swap: bool, cut: bool) -> None:
    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        def release(number: int) -> None:
            files = {
                f"alpha-1.{n}-py3-none-any.whl": wheel_of("alpha", f"1.{n}", f"r={number}", 900_000)
                for n in range(1, number + 1)
            }
            for name, data in files.items():
                shop.truth.publish(f"files/{name}", data, 50.0)
            shop.truth.publish("simple/alpha/", page(files), 50.0)
            shop.files = files

        release(1)
        port, cuts = await cutting(rig.http, 300_000) if cut else (rig.http, [1])
        env = {k: v for k, v in os.environ.items() if not k.startswith("PIP_")} | {
            "PIP_CONFIG_FILE": os.devnull
        }
        command = [
            sys.executable, "-m", "pip", "download", "--no-deps", "--no-cache-dir", "--retries", "8",
            "--disable-pip-version-check", "--index-url", f"http://127.0.0.1:{port}/simple/simple/",
            "--dest", str(tmp_path), "alpha",
        ]  # fmt: skip
        for attempt in range(6):
            process = await asyncio.create_subprocess_exec(*command, env=env, stdout=subprocess.DEVNULL)
            if swap and attempt == 0:
                await asyncio.sleep(0.35)
                release(2)
            if await asyncio.wait_for(process.wait(), 60.0) == 0:
                break
        assert cuts, "a connection was cut in the large file"
        (file,) = tmp_path.iterdir()
        digest = hashlib.sha256(file.read_bytes()).hexdigest()
        texts = shop.truth.texts.values()
        assert digest in {hashlib.sha256(data).hexdigest() for text in texts for _, data in text if data}
        assert any("repo" in line for line in rig.lines)

    played(script)


def test_check_plan_and_pull_work_on_a_folder_and_through_a_gateway(tmp_path: Path) -> None:
    files = {"a-1.0.tar.gz": b"a" * 300_000, "b-1.0.tar.gz": b"b" * 10}
    (tmp_path / "repo" / "simple" / "demo").mkdir(parents=True)
    (tmp_path / "repo" / "files").mkdir()
    (tmp_path / "repo" / "simple" / "demo" / "index.html").write_bytes(page(files))
    for name, data in files.items():
        (tmp_path / "repo" / "files" / name).write_bytes(data)
    run, place = CliRunner(), str(tmp_path / "repo")
    args = ["--index", "simple/demo/", "--json"]
    good = run.invoke(main, ["repo", "check", place, *args])
    assert good.exit_code == 0 and json.loads(good.output)["bytes"] == 300_010
    plan = json.loads(run.invoke(main, ["repo", "mirror-plan", place, "--mb-per-s", "0.1", *args]).output)
    assert plan["parts"] == 3 and plan["seconds_a_station"] == 3.0
    (tmp_path / "repo" / "files" / "b-1.0.tar.gz").write_bytes(b"other")
    (tmp_path / "repo" / "files" / "a-1.0.tar.gz").unlink()
    bad = run.invoke(main, ["repo", "check", place, *args])
    assert bad.exit_code == 1 and len(json.loads(bad.output)["faults"]) == 2
    assert run.invoke(main, ["repo", "check", str(tmp_path / "none"), *args]).exit_code == 2
    assert run.invoke(main, ["repo", "check", place, "--index", "simple/none/"]).exit_code == 2

    async def script(rig: Rig, shop: ScriptedRepository) -> None:
        target = tmp_path / "out"
        url = f"http://127.0.0.1:{rig.http}/simple/"
        half = target / "files" / "demo-1.1-py3-none-any.whl.part"
        half.parent.mkdir(parents=True)
        whole = shop.files["demo-1.1-py3-none-any.whl"]
        got = await get(rig.http, INDEX)
        head = await get(rig.http, FILE, method="HEAD")
        half.write_bytes(whole[:400_000])
        half.with_name("demo-1.1-py3-none-any.whl.tag").write_text(head.headers["etag"])
        command = [sys.executable, "-m", "hitchtiller.cli", "repo", "pull", url, str(target), *args]
        pull = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
        out, _ = await asyncio.wait_for(pull.communicate(), 60.0)
        assert got.status == 200 and pull.returncode == 0 and json.loads(out)["fetched"] == 3
        for name, data in shop.files.items():
            assert (target / "files" / name).read_bytes() == data
        assert not list(target.rglob("*.part")) and not list(target.rglob("*.tag"))

    played(script)
