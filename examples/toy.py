"""A minimal environment to try hitchtiller in: the servers and the event bus of config.json, and a client.

Start the servers and the bus with `python examples/toy.py serve` and the gateway with `make run`, then
request an object with `python examples/toy.py ask files 2a` (a class and a hexadecimal object id).
"""

import asyncio
import secrets
import sys
import time

from hitchtiller.codec import frames, resp

SERVER_PORTS = (7101, 7102, 7103)  # the cache, the parent, the origin
BUS_PORT, GATEWAY_PORT = 7110, 7100


async def cache(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer every PULL with a short body that names the object and the part."""
    commands = resp.RespReader()
    while data := await reader.read(65_536):
        for command, job_name, *rest in commands.feed(data):
            if command == b"PULL":
                fields = resp.read_fields(rest[0])
                since_ms = int(time.time() * 1000)
                body = f"object {fields['name']} part {fields['piece']}".encode()
                writer.write(
                    resp.write_command(job_name, b"DONE", f"rev=toy,since={since_ms}".encode(), body)
                )
    writer.close()


async def bus(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Send an empty frame each second, which says that there is no new event."""
    last_event = await reader.readexactly(8)
    while not writer.is_closing():
        writer.write((9).to_bytes(4, "big") + last_event + b"\0")
        await asyncio.sleep(1.0)


async def serve() -> None:
    """Serve at the ports that config.json gives, until interrupted."""
    servers = [await asyncio.start_server(cache, "127.0.0.1", port) for port in SERVER_PORTS]
    servers.append(await asyncio.start_server(bus, "127.0.0.1", BUS_PORT))
    await asyncio.gather(*(server.serve_forever() for server in servers))


async def ask(class_name: str, object_id: str) -> None:
    """Request one object from the gateway and print the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", GATEWAY_PORT)
    fields = {"c": class_name, "i": secrets.token_hex(8), "d": "2000", "m": "10"}
    payload = frames.write_fields(fields | {"o": f"{int(object_id, 16):016x}", "k": secrets.token_hex(16)})
    writer.write(frames.head(frames.REQUEST, 1, len(payload)) + payload)
    frame_reader = frames.FrameReader()
    while data := await reader.read(65_536):
        for frame in frame_reader.feed(data):
            answer_fields, body_start = frames.read_fields(frame.payload, 1)
            print(f"code {frame.payload[0]} {answer_fields} {frame.payload[body_start:]!r}")
            writer.close()
            return


if __name__ == "__main__":
    asyncio.run(serve() if sys.argv[1:] == ["serve"] else ask(*sys.argv[2:4]))
