"""Tests of the repositories in a real gateway process: hostile requests, new releases, ranges and pip."""

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


def run_script(
    script: Callable[[Rig, ScriptedRepository], Awaitable[None]], store: bool = False, **more: float
) -> None:
    """Run a script against a gateway with a repository that has published one release."""

    async def run() -> None:
        rig, truth = Rig(5, 3), RepoTruth()
        rig.truth = truth
        for server in (*rig.caches, rig.parent, rig.origin):
            server.truth = truth
        if store:
            rig.disk()
        rig.repositories(**more)
        repository = ScriptedRepository(truth, random.Random(1))
        await repository.publish()
        await rig.start()
        try:
            await rig.launch()
            await script(rig, repository)
        finally:
            await rig.kill()
            shutil.rmtree(rig.folder, ignore_errors=True)

    asyncio.run(run())


async def wait_for_purge(rig: Rig) -> None:
    """Wait until a published purge has reached the gateway and the caches have dropped older copies."""
    await asyncio.sleep(0.8)


def test_an_index_and_its_files_are_served_completely_with_matching_tags() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        index = await get(rig.http, INDEX)
        assert index.status == 200 and index.body == page(repository.files)
        again = await get(rig.http, INDEX, {"If-None-Match": index.headers["etag"]})
        assert again.status == 304 and not again.body
        for name, data in repository.files.items():
            got = await get(rig.http, f"/simple/files/{name}")
            assert (got.status, got.whole, got.body) == (200, True, data)
            assert got.headers["etag"].startswith(f'"{hashlib.sha256(data).hexdigest()}.')
            head = await get(rig.http, f"/simple/files/{name}", method="HEAD")
            assert head.status == 200 and int(head.headers["content-length"]) == len(data) and not head.body
        assert (await get(rig.http, "/simple/files/none-1.0.tar.gz")).status == 404
        assert (await get(rig.http, "/simple/simple/none/")).status == 404

    run_script(script)


def test_ranges_give_the_same_bytes_as_slicing_the_file() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        data, rng = repository.files["demo-1.1-py3-none-any.whl"], random.Random(3)
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
        out_of_range = await get(rig.http, FILE, {"Range": f"bytes={len(data)}-"})
        assert out_of_range.status == 416 and out_of_range.headers["content-range"] == f"bytes */{len(data)}"
        stale = await get(rig.http, FILE, {"Range": "bytes=5-", "If-Range": '"other"'})
        assert stale.status == 200 and stale.body == data

    run_script(script)


def test_an_interrupted_download_resumes_and_starts_again_after_a_new_release() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        part = await get(rig.http, FILE, cut=300_000)
        tag, old = part.headers["etag"], repository.files["demo-1.1-py3-none-any.whl"]
        range_headers = {"Range": f"bytes={len(part.body)}-", "If-Range": tag}
        rest = await get(rig.http, FILE, range_headers)
        assert rest.status == 206 and part.body + rest.body == old
        await repository.publish()
        await wait_for_purge(rig)
        assert (await get(rig.http, INDEX)).body == page(repository.files)
        restarted = await get(rig.http, FILE, range_headers)
        assert (
            restarted.status == 200 and restarted.body == repository.files["demo-1.1-py3-none-any.whl"] != old
        )

    run_script(script)


def test_a_download_resumes_with_a_range_after_a_gateway_restart() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        part = await get(rig.http, FILE, cut=300_000)
        await rig.kill()
        await rig.launch()
        range_headers = {"Range": f"bytes={len(part.body)}-", "If-Range": part.headers["etag"]}
        rest = await get(rig.http, FILE, range_headers)
        assert rest.status == 206 and part.body + rest.body == repository.files["demo-1.1-py3-none-any.whl"]

    run_script(script, store=True)


def test_an_index_is_withheld_until_its_files_exist() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        truth = repository.truth
        await get(rig.http, INDEX)
        files = repository.files | {"demo-3.0.tar.gz": b"new" * 100}
        truth.publish("simple/demo/", page(files), 0.0)
        await wait_for_purge(rig)
        await asyncio.sleep(1.0)
        held = await get(rig.http, INDEX)
        assert (
            held.status == 503 and "retry-after" in held.headers
        ), "the previous index is purged and files of the new one are missing"
        truth.publish("files/demo-3.0.tar.gz", files["demo-3.0.tar.gz"], 0.0)
        await wait_for_purge(rig)
        assert (await get(rig.http, INDEX)).body == page(files)

    run_script(script)


def test_a_client_with_an_older_index_never_gets_a_newer_file_under_its_old_name() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        assert (await get(rig.http, INDEX, source="127.0.0.5")).status == 200
        await repository.publish()
        await wait_for_purge(rig)
        assert (await get(rig.http, INDEX, source="127.0.0.6")).status == 200
        old = await get(rig.http, FILE, source="127.0.0.5")
        assert old.status in (404, 503) or not old.whole
        new = await get(rig.http, FILE, source="127.0.0.6")
        assert new.status == 200 and new.body == repository.files["demo-1.1-py3-none-any.whl"]

    run_script(script)


def test_a_file_with_wrong_bytes_is_never_delivered_completely() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        wrong = bytes(700_000)
        repository.truth.publish("files/demo-1.1-py3-none-any.whl", wrong, 0.0)
        await wait_for_purge(rig)
        await get(rig.http, INDEX)
        got = await get(rig.http, FILE)
        assert not (got.status == 200 and got.whole) and len(got.body) < len(wrong)
        assert await rig.logged("code=broken-wrong-digest")

    run_script(script)


def test_each_hostile_request_gets_an_allowed_status_and_does_no_harm() -> None:
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

    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        await get(rig.http, INDEX)
        unexpected = []
        for data, statuses in CORPUS:
            status = await raw(rig.http, data)
            if status not in statuses:
                unexpected.append((status, statuses, data[:90]))
        assert not unexpected, unexpected
        assert await raw(rig.http, GOOD) == 200
        assert (await rig.figures())["repo.connections"] <= 1
        assert not any("Traceback" in line for line in rig.lines)

    run_script(script, header_s=1)


def test_slow_idle_and_excess_connections_are_closed_with_their_reason_code() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
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

    run_script(script, header_s=0.3, idle_s=0.5, each_address=4)


def test_a_client_that_reads_too_slowly_is_disconnected_and_fetches_few_parts() -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        big = bytes(20_000_000)
        repository.truth.publish("files/demo-4.0.tar.gz", big, 0.0)
        repository.truth.publish("simple/demo/", page(repository.files | {"demo-4.0.tar.gz": big}), 0.0)
        await wait_for_purge(rig)
        assert (await get(rig.http, INDEX)).status == 200
        _, writer = await asyncio.open_connection("127.0.0.1", rig.http, limit=1024)
        writer.write(b"GET /simple/files/demo-4.0.tar.gz HTTP/1.1\r\nHost: x\r\n\r\n")
        await rig.logged("end repo 127.0.0.1 code=slow")
        assert (await rig.figures())["repo.parts"] < 60
        writer.close()

    run_script(script, slow_s=0.5)


def test_every_client_ends_with_a_consistent_set_while_releases_come_and_go() -> None:
    result = asyncio.run(releases.play(3, clients=24, releases=5, caches=6, gateways=2, seconds=5.0))
    assert not result["wrong"] and result["sets"] == 24


def make_wheel(name: str, version: str, text: str, pad: int) -> bytes:
    """Return the bytes of a wheel that pip accepts."""
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


async def start_cutting_proxy(port: int, after: int) -> tuple[int, list[int]]:
    """Start a proxy to `port` that cuts the first connection once it has forwarded `after` bytes.

    Returns the proxy's port and a list that holds the bytes forwarded at the cut, once it has happened.
    """
    cuts: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gateway_reader, gateway_writer = await asyncio.open_connection("127.0.0.1", port)

        async def forward_requests() -> None:
            while data := await reader.read(65_536):
                gateway_writer.write(data)
            gateway_writer.close()

        task, forwarded_bytes = asyncio.create_task(forward_requests()), 0
        while data := await gateway_reader.read(16_384):
            forwarded_bytes += len(data)
            writer.write(data)
            if forwarded_bytes >= after and not cuts:
                cuts.append(forwarded_bytes)
                break
        writer.close()
        gateway_writer.close()
        task.cancel()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return int(server.sockets[0].getsockname()[1]), cuts


@pytest.mark.parametrize("has_new_release, is_cut", [(False, False), (True, False), (False, True)])
def test_pip_downloads_despite_new_releases_and_cut_connections(
    tmp_path: Path, has_new_release: bool, is_cut: bool
) -> None:
    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        def release(number: int) -> None:
            files = {
                f"alpha-1.{n}-py3-none-any.whl": make_wheel("alpha", f"1.{n}", f"r={number}", 900_000)
                for n in range(1, number + 1)
            }
            for name, data in files.items():
                repository.truth.publish(f"files/{name}", data, 50.0)
            repository.truth.publish("simple/alpha/", page(files), 50.0)
            repository.files = files

        release(1)
        port, cuts = await start_cutting_proxy(rig.http, 300_000) if is_cut else (rig.http, [1])
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
            if has_new_release and attempt == 0:
                await asyncio.sleep(0.35)
                release(2)
            if await asyncio.wait_for(process.wait(), 60.0) == 0:
                break
        assert cuts, "a connection was cut in the large file"
        (file,) = tmp_path.iterdir()
        digest = hashlib.sha256(file.read_bytes()).hexdigest()
        texts = repository.truth.texts.values()
        assert digest in {hashlib.sha256(data).hexdigest() for text in texts for _, data in text if data}
        assert any("repo" in line for line in rig.lines)

    run_script(script)


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

    async def script(rig: Rig, repository: ScriptedRepository) -> None:
        target = tmp_path / "out"
        url = f"http://127.0.0.1:{rig.http}/simple/"
        partial_file = target / "files" / "demo-1.1-py3-none-any.whl.part"
        partial_file.parent.mkdir(parents=True)
        whole = repository.files["demo-1.1-py3-none-any.whl"]
        got = await get(rig.http, INDEX)
        head = await get(rig.http, FILE, method="HEAD")
        partial_file.write_bytes(whole[:400_000])
        partial_file.with_name("demo-1.1-py3-none-any.whl.tag").write_text(head.headers["etag"])
        command = [sys.executable, "-m", "hitchtiller.cli", "repo", "pull", url, str(target), *args]
        pull = await asyncio.create_subprocess_exec(*command, stdout=subprocess.PIPE)
        out, _ = await asyncio.wait_for(pull.communicate(), 60.0)
        assert got.status == 200 and pull.returncode == 0 and json.loads(out)["fetched"] == 3
        for name, data in repository.files.items():
            assert (target / "files" / name).read_bytes() == data
        assert not list(target.rglob("*.part")) and not list(target.rglob("*.tag"))

    run_script(script)
