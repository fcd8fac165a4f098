"""Measures the memory of an entry process before a large crowd of one form.

Run `python -m standin.abusivecrowd FORM ...` by hand; it sends to loopback only.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import tempfile
from asyncio.subprocess import DEVNULL
from pathlib import Path
from typing import Annotated

import aiohttp
import typer

from standin.abusiveclients import Crowd, Form, build_forms
from standin.entryconfig import HOST, KEY, build_config, build_route, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import EntryUpstream, answer_whole
from standin.port import find_free_ports
from standin.processmemory import count_descriptors, lower_descriptors, read_peak_bytes
from standin.rowstore import RowStoreServer

FIELDS = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 20000\r\nRequest-Id: a\r\n"
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 << 20,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
# The crowd ends when the process has used this much.
MAX_PEAK_BYTES = 1 << 30
POLL_S = 0.1
START_TIMEOUT_S = 20.0


def list_forms() -> dict[str, Form]:
    """Return the forms of the crowd, and connections that send nothing."""
    forms = build_forms(f"GET /sound/x HTTP/1.1\r\n{FIELDS}", f"POST /sound/x HTTP/1.1\r\n{FIELDS}")
    return {"silent": Form(b"", b"", 1.0)} | forms


async def call(http: aiohttp.ClientSession, port: int) -> int | str:
    """Return the status of one ordinary request, or why it got no answer."""
    headers = {
        "Host": HOST,
        "Request-Id": "ordinary",
        "Deadline-Ms": "10000",
        "Authorization": f"Bearer {KEY}",
    }
    try:
        url = f"http://127.0.0.1:{port}/sound/x"
        async with http.post(url, data=b"x", headers=headers) as answer:
            await answer.read()
            return answer.status
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return repr(error)


async def wait_until_serving(http: aiohttp.ClientSession, port: int) -> None:
    """Wait until the process answers; raise TimeoutError."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while await call(http, port) != 200:
            await asyncio.sleep(POLL_S)


async def measure(
    name: str, clients: int, bytes_each: int, limit_s: float, descriptors: int
) -> str:
    """Return one line about a crowd before a new process."""
    config = build_config(
        routes=[build_route("sound", "unsafe", timeoutMs=10_000, backend="sound")],
        backends=[{"name": "sound", "maxConns": 400}],
        limits=LIMITS,
    )
    store = RowStoreServer()
    await store.start()
    store.put("op", "config", config)
    upstream = EntryUpstream("u1", answer_whole)
    await upstream.start()
    store.put("servers", "u1", upstream.describe("sound", slots=400))
    ports = find_free_ports(4)
    with tempfile.TemporaryDirectory(prefix="jayyoke-") as folder:
        settings = Path(folder) / "boot.toml"
        text = format_settings("entry-1", "zone-a", store.address, ports, [], 6.0)
        settings.write_text(text, encoding="utf-8")
        with lower_descriptors(descriptors):
            process = await start_entry(settings, ports[3], stdout=DEVNULL, stderr=DEVNULL)
        try:
            timeout = aiohttp.ClientTimeout(20)
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
                await wait_until_serving(http, ports[0])
                return await _run_crowd(name, clients, bytes_each, limit_s, process, ports[0], http)
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await upstream.close()
            await store.close()


def send_crowd(name: str, port: int, clients: int, bytes_each: int, limit_s: float, sent) -> None:
    """Send a crowd from this process, and keep its connections for the rest of `limit_s`."""

    async def run() -> None:
        crowd = Crowd(port, list_forms()[name], clients, bytes_each)
        async with asyncio.TaskGroup() as group:
            group.create_task(crowd.send(limit_s))
            group.create_task(asyncio.sleep(limit_s))
        sent.value = crowd.sent_bytes
        await crowd.close()

    asyncio.run(run())


async def _run_crowd(
    name: str,
    clients: int,
    bytes_each: int,
    limit_s: float,
    process: asyncio.subprocess.Process,
    port: int,
    http: aiohttp.ClientSession,
) -> str:
    before_bytes = read_peak_bytes(process.pid)
    # Ordinary requests come from a process of their own, as those of other callers do.
    context = multiprocessing.get_context("spawn")
    sent = context.Value("q", 0)
    arguments = (name, port, clients, bytes_each, limit_s, sent)
    crowd = context.Process(target=send_crowd, args=arguments, daemon=True)
    crowd.start()
    found: list[int | str] = []
    descriptors = 0
    try:
        while crowd.is_alive() and process.returncode is None:
            found.append(await call(http, port))
            descriptors = max(descriptors, count_descriptors(process.pid))
            if read_peak_bytes(process.pid) > MAX_PEAK_BYTES:
                break
            await asyncio.sleep(POLL_S)
        peak_bytes = read_peak_bytes(process.pid)
    finally:
        crowd.kill()
        crowd.join()
    after = await call(http, port)
    failed = [answer for answer in found if answer != 200]
    return (
        f"{name}: from {before_bytes >> 20} to {peak_bytes >> 20} MB, {descriptors} descriptors, "
        f"{sent.value >> 20} MB sent; {found.count(200)} of {len(found)} requests answered "
        f"meanwhile, {after} afterwards; others: {failed[:3]}"
    )


def main(
    names: Annotated[list[str], typer.Argument(help="Forms; 'all' for every one.")],
    clients: Annotated[int, typer.Option(help="Connections.")] = 4000,
    bytes_each: Annotated[int, typer.Option(help="Bytes that each sends at most.")] = 1 << 20,
    limit_s: Annotated[float, typer.Option(help="Seconds of one crowd.")] = 10.0,
    descriptors: Annotated[int, typer.Option(help="Descriptors of the process.")] = 4100,
) -> None:
    """Print the peak memory of an entry process before each form."""
    for name in list(list_forms()) if names == ["all"] else names:
        print(asyncio.run(measure(name, clients, bytes_each, limit_s, descriptors)), flush=True)


if __name__ == "__main__":
    typer.run(main)
