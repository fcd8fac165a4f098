"""Tests the memory of an entry instance's process before faulty upstreams."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import pytest

from standin.entryconfig import HOST, KEY, build_config, build_route, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import (
    ReceivedRequest,
    Script,
    answer_whole,
    format_chunk,
    format_event,
    format_stream_head,
)
from standin.port import find_free_ports
from tests.entryrig import Rig, open_rig

# The memory of the smallest machine that the users describe.
MACHINE_BYTES = 300 << 20
CALLS = 120
SOUND_CALLS = 20
HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: sig\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n"
OTHER = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\n" + b"Link: <a>\r\n" * 20 + b"\r\n"
UNFINISHED = b"data: " + b"x" * 900_000


def begin(head: str) -> Callable[[ReceivedRequest], bytes]:
    """Return a function that formats the beginning of an answer."""
    return lambda request: head.format(id=request.id).encode()


def begin_unfinished(request: ReceivedRequest) -> bytes:
    """Return a stream whose second event does not end."""
    return format_stream_head(request) + format_chunk(format_event(1) + UNFINISHED)


# What an upstream sends first, and what it then repeats without end, if anything.
FAULTS: dict[str, tuple[Callable[[ReceivedRequest], bytes], bytes]] = {
    "answers-of-others": (begin(""), OTHER * 1000),
    "answers-after-the-own": (begin(HEAD + "Content-Length: 2\r\n\r\nok"), OTHER * 1000),
    "interim-answers": (begin(""), HINTS * 500),
    "head": (begin(HEAD), b"X-Y: " + b"z" * 1000 + b"\r\n"),
    "body": (begin(HEAD + "\r\n"), b"x" * (64 << 10)),
    "chunks-of-one-byte": (begin(CHUNKED), b"1\r\nx\r\n" * 10_000),
    "trailers": (begin(CHUNKED + "1\r\nx\r\n0\r\n"), b"X-Y: z\r\n" * 8000),
    "comments": (format_stream_head, format_chunk(b": alive\n\n" * 8000)),
    "unfinished-events": (begin_unfinished, b""),
}


def send_endlessly(build_start: Callable[[ReceivedRequest], bytes], block: bytes) -> Script:
    """Return a script that sends until its connection is closed, or stalls without a block."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(build_start(request))
        while block:
            writer.write(block)
            await writer.drain()
        await asyncio.sleep(30.0)

    return script


def read_peak_bytes(process: asyncio.subprocess.Process) -> int:
    """Return the largest memory that a process has used."""
    status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) << 10


async def call(http: aiohttp.ClientSession, url: str, request_id: str) -> tuple[int | None, bytes]:
    """Return the status of an answer, None if it was cut, and its body if it is no success."""
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "6000",
        "Authorization": f"Bearer {KEY}",
    }
    try:
        async with http.post(url, data=b"x", headers=headers) as answer:
            if answer.status != 200:
                return answer.status, await answer.read()
            async for _ in answer.content.iter_any():
                pass
            return answer.status, b""
    except aiohttp.ClientError:
        return None, b""


@asynccontextmanager
async def open_process(tmp_path: Path, rig: Rig):
    """Yield a process that serves, an HTTP client and the port for callers."""
    ports = find_free_ports(4)
    settings = tmp_path / "boot.toml"
    text = format_settings("entry-1", "zone-a", rig.store.address, ports, [], 6.0)
    settings.write_text(text, encoding="utf-8")
    process = await start_entry(settings, ports[3], stdout=asyncio.subprocess.DEVNULL)
    try:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
            await wait_until_serving(http, ports[0])
            yield process, http, ports[0]
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


class TestFaultyUpstream:
    """Tests upstreams that send without end to many requests at once."""

    @pytest.mark.parametrize("name", FAULTS)
    def test_process_lives_and_serves_others(self, name, tmp_path):
        """Guards against a process that keeps what faulty upstreams send and runs out of memory."""
        routes = [
            build_route("faulty", "unsafe", timeoutMs=6000),
            build_route("stream", "stream", timeoutMs=6000),
            build_route("sound", "unsafe", timeoutMs=6000, backend="sound"),
        ]
        services = [{"name": "desk", "maxConns": 400}, {"name": "sound", "maxConns": 400}]
        path = "stream" if name in ("comments", "unfinished-events") else "faulty"

        async def main() -> None:
            async with open_rig(build_config(routes=routes, backends=services)) as rig:
                await rig.add_upstream("u1", send_endlessly(*FAULTS[name]), slots=400)
                await rig.add_upstream("u2", answer_whole, "sound", slots=400)
                async with open_process(tmp_path, rig) as (process, http, port):
                    base = f"http://127.0.0.1:{port}"
                    faulty = [call(http, f"{base}/{path}/x", f"f{n}") for n in range(CALLS)]
                    sound = [call(http, f"{base}/sound/x", f"s{n}") for n in range(SOUND_CALLS)]
                    found = await asyncio.gather(*faulty, *sound)
                    assert found[CALLS:] == [(200, b"")] * SOUND_CALLS
                    assert process.returncode is None
                    assert read_peak_bytes(process) < MACHINE_BYTES

        asyncio.run(main())


async def wait_until_serving(http: aiohttp.ClientSession, port: int) -> None:
    """Wait until an instance answers for the sound service."""
    async with asyncio.timeout(20):
        number = 0
        while True:
            number += 1
            try:
                url = f"http://127.0.0.1:{port}/sound/x"
                if (await call(http, url, f"w{number}"))[0] == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
