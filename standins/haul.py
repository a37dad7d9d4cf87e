"""Measures the throughput of the repository front: a large file, many small files, and slow readers.

    python -m standins.haul --mb 500 --files 10000 --slow 200

For comparison, the same parts are also requested directly from a stand-in cache, by the protocol of the back
ends.
"""

import asyncio
import random
import shutil
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from hitchtiller.codec import resp
from hitchtiller.repo.fetch import MAX_PART_BYTES
from hitchtiller.repo.paths import object_key
from standins.repo import RepoTruth, get, page
from standins.rig import Rig


async def fetch_from_cache(port: int, key: int, parts: int, open_requests: int) -> int:
    """Request the parts of a file from a cache on one connection; return the number of received bytes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
    answers, received, asked = resp.RespReader(), 0, 0

    def ask() -> None:
        nonlocal asked
        fields = f"lane=files,name={key:016x},piece={asked},ttl=5000".encode()
        writer.write(resp.write_command(b"PULL", b"%016x" % asked, fields, b""))
        asked += 1

    for _ in range(min(open_requests, parts)):
        ask()
    done = 0
    while done < parts:
        for items in answers.feed(await reader.read(1 << 20)):
            done += 1
            received += len(items[3])
            if asked < parts:
                ask()
    writer.close()
    return received


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * 4096


async def measure(mb: int, files: int, slow: int, seed: int) -> dict[str, Any]:
    """Measure all three cases."""
    rig, truth = Rig(seed, 1), RepoTruth()
    rig.truth = truth
    for server in (*rig.caches, rig.parent, rig.origin):
        server.truth = truth
    rig.repositories(connections=max(600, slow + 50), each_address=max(64, slow + 50))
    big = random.Random(seed).randbytes(1_000_000) * mb
    small = {f"s{n}-1.0.tar.gz": random.Random(n).randbytes(20_000) for n in range(files)}
    truth.publish("files/big-1.0.tar.gz", big)
    truth.publish("simple/big/", page({"big-1.0.tar.gz": big}))
    for name, data in small.items():
        truth.publish(f"files/{name}", data)
        truth.publish(f"simple/{name.split('-')[0]}/", page({name: data}))
    await rig.start()
    found: dict[str, Any] = {}
    try:
        await rig.launch()
        assert rig.process
        begun = time.monotonic()
        got = await get(rig.http, "/simple/files/big-1.0.tar.gz")
        took = time.monotonic() - begun
        assert got.status == 200 and got.whole and len(got.body) == len(big)
        found["large_mb_per_s"] = round(mb / took, 1)
        begun = time.monotonic()
        received = await fetch_from_cache(
            rig.caches[0].port, object_key("r", "files/big-1.0.tar.gz"), -(-len(big) // MAX_PART_BYTES), 8
        )
        found["large_cache_alone_mb_per_s"] = round(received / 1e6 / (time.monotonic() - begun), 1)
        names = iter(small)
        wrong = 0

        async def fetch() -> None:
            nonlocal wrong
            for name in names:
                got = await get(rig.http, f"/simple/files/{name}")
                wrong += got.body != small[name]

        begun = time.monotonic()
        await asyncio.gather(*(fetch() for _ in range(32)))
        found["small_per_s"] = round(files / (time.monotonic() - begun))
        found["small_wrong"] = wrong
        begun = time.monotonic()
        for name in list(small)[: min(files, 2000)]:
            await fetch_from_cache(rig.caches[0].port, object_key("r", f"files/{name}"), 1, 1)
        found["small_cache_alone_per_s"] = round(min(files, 2000) / (time.monotonic() - begun))
        before = resident_bytes(rig.process.pid)
        readers = []
        for _ in range(slow):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.http, limit=4096)
            writer.write(b"GET /simple/files/big-1.0.tar.gz HTTP/1.1\r\nHost: x\r\n\r\n")
            readers.append((reader, writer))
        peak = before
        for _ in range(40):
            await asyncio.sleep(0.1)
            for reader, _ in readers:
                await reader.read(100)
            peak = max(peak, resident_bytes(rig.process.pid))
        figures = await rig.figures()
        found |= {
            "slow_readers": slow,
            "mb_before": round(before / 1e6, 1),
            "mb_with_slow_readers": round(peak / 1e6, 1),
            "kb_a_slow_reader": round((peak - before) / 1e3 / max(1, slow)),
            "parts_open": figures["repo.parts_open"],
        }
        for _, writer in readers:
            writer.close()
    finally:
        await rig.kill()
        shutil.rmtree(rig.folder, ignore_errors=True)
    return found


@click.command()
@click.option("--mb", default=500, show_default=True, type=click.IntRange(1, 2000))
@click.option("--files", default=10_000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--slow", default=200, show_default=True, type=click.IntRange(0, 2000))
@click.option("--seed", default=1, show_default=True)
def main(mb: int, files: int, slow: int, seed: int) -> None:
    """Measure the throughput of the repository front."""
    click.echo(msgspec.json.format(msgspec.json.encode(asyncio.run(measure(mb, files, slow, seed)))).decode())


if __name__ == "__main__":
    main()
