"""Real processes of entry instances that are stopped while raw callers use their connections."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standin.entryconfig import HOST, KEY, build_config, build_route, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import EntryUpstream, Script
from standin.port import find_free_ports
from tests.entryrig import open_rig

GRACE_S = 4.0
# A call that takes longer is an error of the test.
CALL_TIMEOUT_S = 20.0


@dataclass(slots=True)
class RawAnswer:
    """Holds the bytes of one answer; `status` is 0 if there is none."""

    received: bytes

    @property
    def status(self) -> int:
        """Return the status, or 0 without a whole head."""
        head, separator, _ = self.received.partition(b"\r\n\r\n")
        return int(head.split(b" ")[1]) if separator else 0

    @property
    def whole(self) -> bool:
        """Tell whether the answer is complete by its length or its last chunk."""
        head, separator, body = self.received.partition(b"\r\n\r\n")
        if not separator:
            return False
        for line in head.lower().split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name == b"content-length":
                return len(body) == int(value)
        return body.endswith(b"0\r\n\r\n")


@dataclass(slots=True)
class StoppingEntry:
    """Holds a running process, its callers' port, its upstream and its log."""

    process: asyncio.subprocess.Process
    port: int
    upstream: EntryUpstream
    log: list[dict[str, object]] = field(default_factory=list)

    def stop(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    async def wait(self) -> None:
        """Wait until the process has ended by itself."""
        async with asyncio.timeout(GRACE_S + 10):
            assert await self.process.wait() == 0

    def list_events(self, event: str) -> list[dict[str, object]]:
        """Return the lines of one event."""
        return [line for line in self.log if line["event"] == event]

    async def wait_for_event(self, event: str) -> None:
        """Wait until the log has a line of an event."""
        async with asyncio.timeout(CALL_TIMEOUT_S):
            while not self.list_events(event):
                await asyncio.sleep(0.005)

    def is_passed_on(self, request_id: str) -> bool:
        """Tell whether the upstream has received a request."""
        return any(request.id == request_id for request in self.upstream.received)

    async def call(
        self,
        request_id: str,
        *,
        path: str = "/stream/x",
        deadline_ms: int = int(GRACE_S * 1000),
        body: bytes = b"the body",
        body_after: asyncio.Event | None = None,
        chunked: bool = False,
    ) -> RawAnswer:
        """Send a request, whose last byte waits for an event if one is given."""
        async with asyncio.timeout(CALL_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
            writer.write(format_head(path, request_id, deadline_ms, framing))
            data = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
            writer.write(data[:-1])
            if body_after is not None:
                await body_after.wait()
            writer.write(data[-1:])
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
            writer.close()
            return RawAnswer(received)


def format_head(path: str, request_id: str, deadline_ms: int, framing: str) -> bytes:
    """Return the head of a request whose connection is closed after the answer."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        "Connection: close",
        framing,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@asynccontextmanager
async def open_stopping(
    tmp_path: Path, script: Script, slots: int = 64, objective_ms: int = 400
) -> AsyncIterator[StoppingEntry]:
    """Yield a process that serves one upstream."""
    routes = [
        build_route(name, kind, attempts=1, timeoutMs=8000, sloMs=objective_ms, affinity=affinity)
        for name, kind, affinity in (("stream", "stream", True), ("safe", "safe", False))
    ]
    async with open_rig(build_config(routes=routes)) as rig:
        upstream = await rig.add_upstream("u1", script, slots=slots)
        ports = find_free_ports(4)
        path = tmp_path / "boot.toml"
        settings = format_settings("entry-1", "zone-a", rig.store.address, ports, [], GRACE_S)
        path.write_text(settings, encoding="utf-8")
        process = await start_entry(path, ports[3], stdout=asyncio.subprocess.PIPE)
        entry = StoppingEntry(process, ports[0], upstream)
        log = asyncio.create_task(_read_log(entry))
        try:
            await entry.wait_for_event("upstream")
            yield entry
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
            await log


async def _read_log(entry: StoppingEntry) -> None:
    assert entry.process.stdout is not None
    async for line in entry.process.stdout:
        entry.log.append(json.loads(line))
