"""Tests the memory of `jayyoked` on a small machine before crowds of clients.

The bound is the memory that the settings name, with the bytes that the system has received and the
process has not read.
"""

from __future__ import annotations

import asyncio
import signal
import zlib
from dataclasses import dataclass

import aiohttp
import pytest
import yaml

from standin.abusiveclients import BLOCK_BYTES, Crowd, Form
from standin.fleet import TEAM_KEYS, Fleet, run_fleet
from standin.processmemory import watch_memory
from tests.abusive_clients_test import FLEET, hold_machine

pytestmark = pytest.mark.crowd

MACHINE_BYTES = 100_000_000
CLIENTS = 300
BODY_BYTES = 4_000_000
CROWD_LIMIT_S = 5.0
FIELDS = f"Host: h\r\nAuthorization: Bearer {TEAM_KEYS[0]}\r\n"
LOOKUP = f"POST /v1/work/weight-check/x HTTP/1.1\r\n{FIELDS}".encode()
CHAT = f"POST /v1/chat/completions HTTP/1.1\r\n{FIELDS}".encode()
LENGTH = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
BLOCK = b"b" * BLOCK_BYTES
# One block of it inflates to 16 MB.
PACKED = zlib.compress(bytes(64 << 20), 9)
PACKED_CHUNK = b"%x\r\n%s\r\n" % (len(PACKED), PACKED)
PACKED_FIELDS = b"Content-Encoding: deflate\r\nTransfer-Encoding: chunked\r\n\r\n"
# A chat whose message does not end within the block.
MESSAGE = b'{"model": "draft", "max_tokens": 8, "messages": [{"role": "user", "content": "'


@dataclass(frozen=True, slots=True)
class Case:
    """Holds a crowd, and whether its upstreams are stopped meanwhile."""

    form: Form
    bytes_each: int
    port: str = "callers"
    stopped: bool = True


CASES = {
    "bodies-that-no-upstream-reads": Case(Form(LOOKUP + LENGTH, BLOCK), BODY_BYTES),
    "chats-that-do-not-end": Case(
        Form(CHAT + LENGTH + MESSAGE, BLOCK), BODY_BYTES - 2 * BLOCK_BYTES, stopped=False
    ),
    "compressed-bodies": Case(
        Form(LOOKUP + PACKED_FIELDS, PACKED_CHUNK), len(PACKED_CHUNK), stopped=False
    ),
    "compressed-bodies-that-begin": Case(
        Form(LOOKUP + PACKED_FIELDS + b"10\r\n" + PACKED[:8], b"", 1.0), 1, stopped=False
    ),
    "compressed-bodies-to-operators": Case(
        Form(b"GET /metrics HTTP/1.1\r\nHost: h\r\n" + PACKED_FIELDS, PACKED_CHUNK),
        len(PACKED_CHUNK),
        "operators",
        stopped=False,
    ),
    "metrics-that-nobody-reads": Case(
        Form(b"", b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n" * 20, reading=False),
        100_000,
        "operators",
        stopped=False,
    ),
    "bytes-before-the-handshake": Case(Form(b"", BLOCK), BODY_BYTES, "peers", stopped=False),
}


def set_memory(fleet: Fleet) -> None:
    """Write the memory of the small machine into the settings."""
    for instance in fleet.instances:
        path = fleet.folder / f"{instance.name}.yaml"
        settings = yaml.safe_load(path.read_text(encoding="utf-8"))
        settings["memory_bytes"] = MACHINE_BYTES
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")


async def list_models(fleet: Fleet) -> int:
    """Return the status of one ordinary request."""
    headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
    timeout = aiohttp.ClientTimeout(30)
    url = f"{fleet.instances[0].url}/v1/models"
    async with fleet.http.get(url, headers=headers, timeout=timeout) as answer:
        return answer.status


class TestSmallMachine:
    """Tests crowds that fill the memory only together."""

    @pytest.mark.parametrize("name", CASES)
    def test_process_stays_within_its_memory(self, name):
        """Guards against copies and buffers that no limit counts."""
        case = CASES[name]

        async def main() -> None:
            async with run_fleet(FLEET, prepare=set_memory) as fleet:
                instance = fleet.instances[0]
                addresses = {
                    "callers": instance.address,
                    "operators": instance.operator_address,
                    "peers": instance.peer_address,
                }
                port = int(addresses[case.port].rpartition(":")[2])
                crowd = Crowd(port, case.form, CLIENTS, case.bytes_each)
                async with watch_memory(instance.child.pid) as watch:
                    try:
                        if case.stopped:
                            for upstream in fleet.plain_upstreams:
                                upstream.send_signal(signal.SIGSTOP)
                        await crowd.send(CROWD_LIMIT_S)
                        status = await list_models(fleet)
                        print(f"{watch}; {crowd.sent_bytes >> 20} MiB sent")
                    finally:
                        await crowd.close()
                    assert instance.child.poll() is None
                    assert status == 200
                    assert watch.peak_bytes < MACHINE_BYTES

        with hold_machine():
            asyncio.run(main())
