"""Tests the memory and the descriptors of the system's processes before abusive clients."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import tempfile
from asyncio.subprocess import DEVNULL
from pathlib import Path

import aiohttp
import pytest

from standin.abusiveclients import Crowd, Form, build_forms
from standin.deployment import Deployment
from standin.entryconfig import HOST, KEY, build_config, build_route, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import answer_whole
from standin.fleet import TEAM_KEYS, run_fleet
from standin.port import find_free_ports
from standin.processmemory import count_descriptors, lower_descriptors, read_peak_bytes
from tests.entry_memory_test import wait_until_serving
from tests.entryrig import open_rig

pytestmark = pytest.mark.crowd

CLIENTS = 120
BYTES_EACH = 1 << 20
# How much a process may grow before a crowd.
GROWTH_BYTES = 32 << 20
HEADER_BYTES = 4096
CROWD_LIMIT_S = 5.0
DESCRIPTORS = 160
# Connections, upstreams and what a process opens for itself.
IDLE_CLIENTS = 220
LIMITS = {
    "maxHeaderBytes": HEADER_BYTES,
    "maxBodyBytes": 65536,
    "headerTimeoutMs": 20_000,
    "idleTimeoutMs": 20_000,
}
ROUTES = [build_route("sound", "unsafe", timeoutMs=20_000, backend="sound")]
SERVICES = [{"name": "sound", "maxConns": 400}]
FLEET = Deployment(
    "ballenticket", "ch-central", ("luzern-a",), "jayyoke-pool", 1, "ticket-desk", 1, 1
)
HEAD_FIELDS = (
    f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 20000\r\nRequest-Id: a\r\n"
)
ENTRY_FORMS = build_forms(
    f"GET /sound/x HTTP/1.1\r\n{HEAD_FIELDS}", f"POST /sound/x HTTP/1.1\r\n{HEAD_FIELDS}"
)


def build_plain_forms(path: str) -> dict[str, Form]:
    """Return the forms for a port that knows no teams."""
    fields = "Host: h\r\n"
    return build_forms(f"GET {path} HTTP/1.1\r\n{fields}", f"POST {path} HTTP/1.1\r\n{fields}")


@contextlib.contextmanager
def hold_machine():
    """Run one such test at a time on this machine, since each keeps it busy."""
    path = Path(tempfile.gettempdir()) / "jayyoke-abusive-clients.lock"
    with path.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.asynccontextmanager
async def open_entry(tmp_path: Path, descriptors: int | None = None):
    """Yield a process of an entry instance, an HTTP client and its ports."""
    config = build_config(routes=ROUTES, backends=SERVICES, limits=LIMITS)
    async with open_rig(config) as rig:
        await rig.add_upstream("u1", answer_whole, "sound", slots=400)
        ports = find_free_ports(4)
        settings = tmp_path / "boot.toml"
        text = format_settings("entry-1", "zone-a", rig.store.address, ports, [], 6.0)
        settings.write_text(text, encoding="utf-8")
        with lower_descriptors(descriptors):
            process = await start_entry(settings, ports[3], stdout=DEVNULL, stderr=DEVNULL)
        try:
            timeout = aiohttp.ClientTimeout(30)
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
                await wait_until_serving(http, ports[0])
                yield process, http, ports
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


async def call_sound(http: aiohttp.ClientSession, port: int) -> tuple[int, bytes]:
    """Send one ordinary request; return its status, and its body if it is no success."""
    headers = {
        "Host": HOST,
        "Request-Id": "after",
        "Deadline-Ms": "20000",
        "Authorization": f"Bearer {KEY}",
    }
    url = f"http://127.0.0.1:{port}/sound/x"
    async with http.post(url, data=b"x", headers=headers) as answer:
        body = await answer.read()
        return answer.status, b"" if answer.status == 200 else body


async def check_entry(tmp_path: Path, form: Form, port_index: int) -> None:
    """Send a crowd to one port of an entry instance and check the process and one request."""
    async with open_entry(tmp_path) as (process, http, ports):
        before_bytes = read_peak_bytes(process.pid)
        crowd = Crowd(ports[port_index], form, CLIENTS, BYTES_EACH)
        try:
            await crowd.send(CROWD_LIMIT_S)
            found = await call_sound(http, ports[0])
            grown_bytes = read_peak_bytes(process.pid) - before_bytes
            print(f"grown by {grown_bytes / 2**20:.1f} MB, {crowd.sent_bytes >> 20} MB sent")
        finally:
            await crowd.close()
        assert process.returncode is None
        assert found == (200, b"")
        assert grown_bytes < GROWTH_BYTES


class TestEntryMemory:
    """Tests crowds of clients before the ports of an entry instance."""

    @pytest.mark.parametrize("name", ENTRY_FORMS)
    def test_callers_port(self, name, tmp_path):
        """Guards against memory that grows with what each caller sends outside of the limits."""
        with hold_machine():
            asyncio.run(check_entry(tmp_path, ENTRY_FORMS[name], 0))

    @pytest.mark.parametrize("name", ["heads-over-the-limit", "trailers", "pipelined-large-heads"])
    @pytest.mark.parametrize("port", ["readiness", "peer", "metrics"])
    def test_other_ports(self, name, port, tmp_path):
        """Guards against ports beside the callers' that keep what any client sends."""
        index = ["callers", "readiness", "peer", "metrics"].index(port)
        path = {"readiness": "/ready", "peer": "/relay", "metrics": "/metrics"}[port]
        with hold_machine():
            asyncio.run(check_entry(tmp_path, build_plain_forms(path)[name], index))


class TestEntryDescriptors:
    """Tests crowds that open more connections than a process may have."""

    def test_requests_are_answered_beside_silent_connections(self, tmp_path):
        """Guards against connections of clients that leave no descriptor for upstreams."""

        async def main() -> None:
            async with open_entry(tmp_path, DESCRIPTORS) as (process, http, ports):
                crowd = Crowd(ports[0], Form(b"GET /x HTTP/1.1\r\nX", b"x", 0.1), IDLE_CLIENTS, 8)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    opened = count_descriptors(process.pid)
                    print(f"{opened} descriptors")
                    found = await call_sound(http, ports[0])
                finally:
                    await crowd.close()
                assert process.returncode is None
                assert opened < DESCRIPTORS - 16
                assert found == (200, b"")

        with hold_machine():
            asyncio.run(main())


class TestDaemonMemory:
    """Tests crowds of clients before the ports of `jayyoked`."""

    @pytest.mark.parametrize("name", ["heads-over-the-limit", "trailers", "pipelined-large-heads"])
    @pytest.mark.parametrize("port", ["callers", "operators", "peers"])
    def test_process_lives_and_answers(self, name, port):
        """Guards against memory that grows with what each client sends to the daemon."""

        async def main() -> None:
            async with run_fleet(FLEET) as fleet:
                instance = fleet.instances[0]
                addresses = {
                    "callers": instance.address,
                    "operators": instance.operator_address,
                    "peers": instance.peer_address,
                }
                before_bytes = read_peak_bytes(instance.child.pid)
                form = build_plain_forms("/v1/work/weight-check")[name]
                number = int(addresses[port].rpartition(":")[2])
                crowd = Crowd(number, form, CLIENTS, BYTES_EACH)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
                    url = f"{instance.url}/v1/models"
                    timeout = aiohttp.ClientTimeout(30)
                    async with fleet.http.get(url, headers=headers, timeout=timeout) as answer:
                        status = answer.status
                    grown_bytes = read_peak_bytes(instance.child.pid) - before_bytes
                    print(
                        f"grown by {grown_bytes / 2**20:.1f} MB, {crowd.sent_bytes >> 20} MB sent"
                    )
                finally:
                    await crowd.close()
                assert instance.child.poll() is None
                assert status == 200
                assert grown_bytes < GROWTH_BYTES

        with hold_machine():
            asyncio.run(main())

    @pytest.mark.parametrize("port", ["callers", "operators", "peers"])
    def test_silent_connections_leave_descriptors(self, port):
        """Guards against connections of clients that leave no descriptor to the daemon."""

        async def main() -> None:
            async with contextlib.AsyncExitStack() as stack:
                with lower_descriptors(DESCRIPTORS):
                    fleet = await stack.enter_async_context(run_fleet(FLEET))
                instance = fleet.instances[0]
                addresses = {
                    "callers": instance.address,
                    "operators": instance.operator_address,
                    "peers": instance.peer_address,
                }
                number = int(addresses[port].rpartition(":")[2])
                form = Form(b"GET /x HTTP/1.1\r\nX", b"x", 0.1)
                crowd = Crowd(number, form, IDLE_CLIENTS, 8)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    opened = count_descriptors(instance.child.pid)
                    print(f"{opened} descriptors")
                    headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
                    url = f"{instance.url}/v1/models"
                    timeout = aiohttp.ClientTimeout(30)
                    async with fleet.http.get(url, headers=headers, timeout=timeout) as answer:
                        status = answer.status
                finally:
                    await crowd.close()
                assert instance.child.poll() is None
                assert opened < DESCRIPTORS - 16
                assert status == 200

        with hold_machine():
            asyncio.run(main())
