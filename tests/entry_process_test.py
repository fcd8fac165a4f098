"""Tests of the process of an entry instance: start, reload, drain and stop by signals."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import aiohttp

from standin.entryconfig import HOST, KEY, build_config, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import ReceivedRequest, answer_whole
from standin.port import find_free_ports
from tests.entryrig import open_rig


def write_settings(path: Path, store: str, ports: list[int], seeds: list[str]) -> None:
    text = format_settings("entry-1", "zone-a", store, ports, seeds, grace_s=6.0)
    path.write_text(text, encoding="utf-8")


async def wait_for_event(process: asyncio.subprocess.Process, name: str) -> dict:
    """Read the process's log up to the next event of this name and return it."""
    assert process.stdout is not None
    async with asyncio.timeout(20):
        while True:
            line = await process.stdout.readline()
            assert line, f"the process ended before {name}"
            event = json.loads(line)
            if event["event"] == name:
                return event


class TestProcess:
    def test_starts_reloads_drains_and_stops(self, tmp_path):
        """Guards against a shutdown that cuts off a request, and settings read only once."""

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.5)
            await answer_whole(request, writer)

        async def main() -> None:
            async with open_rig(build_config()) as rig, aiohttp.ClientSession() as http:
                await rig.add_upstream("u1", slow)
                ports = find_free_ports(4)
                path = tmp_path / "boot.toml"
                write_settings(path, rig.store.address, ports, [])
                process = await start_entry(path, ports[3], stdout=asyncio.subprocess.PIPE)
                try:
                    await wait_for_event(process, "upstream")
                    async with http.get(f"http://127.0.0.1:{ports[1]}/-/readyz") as ready:
                        assert ready.status == 200
                    write_settings(path, rig.store.address, ports, ["127.0.0.1:9"])
                    event = await wait_for_event(process, "reload")
                    assert (event["signalled"], event["seeds"]) == (False, ["127.0.0.1:9"])
                    process.send_signal(signal.SIGHUP)
                    event = await wait_for_event(process, "reload")
                    assert (event["signalled"], event["needs_restart"]) == (True, [])
                    headers = {
                        "Host": HOST,
                        "Request-Id": "r1",
                        "Authorization": f"Bearer {KEY}",
                    }
                    url = f"http://127.0.0.1:{ports[0]}/unsafe/x"
                    call = asyncio.create_task(http.post(url, headers=headers, data=b"x"))
                    await wait_for_event(process, "placed")
                    process.send_signal(signal.SIGTERM)
                    await wait_for_event(process, "draining")
                    async with http.get(f"http://127.0.0.1:{ports[1]}/-/readyz") as ready:
                        assert ready.status == 503
                    async with http.get(f"http://127.0.0.1:{ports[3]}/metrics") as metrics:
                        assert "jayyoke_config_age_seconds" in await metrics.text()
                    async with await call as answer:
                        assert answer.status == 200
                        assert await answer.read() == b"done r1"
                    event = await wait_for_event(process, "answered")
                    assert 0 < event["first_ms"] <= event["took_ms"]
                    await wait_for_event(process, "stopped")
                    assert await process.wait() == 0
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        asyncio.run(main())

    def test_sighup_during_the_start_does_not_end_the_process(self, tmp_path):
        """Guards against a reload that kills an instance while it starts.

        Seen in the soak, seed 325: SIGHUP arrived before the process had installed its handlers.
        """

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                ports = find_free_ports(4)
                path = tmp_path / "boot.toml"
                write_settings(path, rig.store.address, ports, [])
                process = await start_entry(
                    path,
                    ports[3],
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE,
                    python_options=("-X", "importtime"),
                )
                try:
                    # Wait until the process is within its slow imports.
                    assert process.stderr is not None
                    async with asyncio.timeout(20):
                        while b"aiohttp" not in await process.stderr.readline():
                            assert process.returncode is None
                    process.send_signal(signal.SIGHUP)
                    drained = asyncio.create_task(process.stderr.read())
                    await wait_for_event(process, "started")
                    process.send_signal(signal.SIGTERM)
                    await wait_for_event(process, "stopped")
                    assert await process.wait() == 0
                    await drained
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()

        asyncio.run(main())

    def test_unusable_settings_end_the_process_with_a_reason(self, tmp_path):
        """Guards against an instance that ends without naming its unusable settings file."""

        async def main() -> None:
            process = await start_entry(
                tmp_path / "none.toml", find_free_ports(1)[0], stdout=asyncio.subprocess.PIPE
            )
            event = await wait_for_event(process, "settings-unusable")
            assert "none.toml" in event["error"]
            assert await process.wait() == 2

        asyncio.run(main())
