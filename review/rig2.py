"""Processes and stand-ins that the scripts of this review share.

The instances are started with the command of the deploy file. The store is the project's stand-in;
workers and clients are written here, on plain sockets, so that a case sees each byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standin.port import find_free_ports
from standin.rowstore import RowStoreServer

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-the-first-team"
TEAM = "first"
ZONES = ("zone-a", "zone-b", "zone-c")
BORN_MS = 1_760_000_000_000
GRACE_S = 8.0
WINDOW_BYTES = 64 << 10
DRAIN_S = 2.0
CONTACT_S = 3.0
CONVERGE_S = 2.0
START_TIMEOUT_S = 30.0
HELD, BROKEN, UNABLE = 0, 1, 2
# The bounds of the small deployments.
BOUNDS = """
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
convergeMs = 2000
downgradeMs = 250
skewMaxMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 52
canaryShare = 0.1
canaryExtra = 50
rollbackMs = 5000
warmupExcess = 1.5
warmupExtra = 5
evacuateMs = 5000
recoveryS = 12
eventDelayMs = 120
reuseWindowS = 10
capFactor = 2
"""


class CaseUnable(Exception):
    """Reports that a case could not run as it is meant."""


class Record:
    """Writes what was sent, answered and run to the case's record, with seconds from its start."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def note(self, what: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self.began_s:8.3f}  {what}\n")

    def close(self) -> None:
        """Finish the record."""
        self._file.close()


@dataclass(slots=True)
class Request:
    """Holds a request as a worker read its head."""

    line: str
    headers: dict[str, str]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.headers.get("request-id", "")

    @property
    def body_bytes(self) -> int:
        """Return the length of the body."""
        return int(self.headers.get("content-length", "0"))

    def format_head(self, status: str = "200 OK", **headers: str) -> bytes:
        """Return the head of an answer that bears the worker's signature."""
        lines = [f"HTTP/1.1 {status}", f"Request-Id: {self.id}", "Worker-Signature: 3e1b.07"]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


Script = Callable[["Worker", Request], Awaitable[bool]]


class Worker:
    """Serves requests by a script, which returns whether the connection is kept."""

    def __init__(self, name: str, service: str, zone: str, record: Record, script: Script):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        self.address = ""
        self._script = script
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        # The users' links have small windows; nothing is read far ahead of the script.
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        listening.bind(("127.0.0.1", port))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=16 << 10)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def describe(self, state: str = "ready", slots: int = 64, **changes: object) -> dict:
        """Return the worker's entry in the list."""
        entry: dict[str, object] = {
            "backend": self.service,
            "address": self.address,
            "az": self.zone,
            "version": "v1",
            "slots": slots,
            "state": state,
            "warmupLeftMs": 0,
            "seqno": 1,
            "born": BORN_MS,
        }
        return entry | changes

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Stop listening and reset all connections, as the end of the process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            opened = writer.get_extra_info("socket")
            if opened is not None and opened.fileno() >= 0:
                linger = struct.pack("ii", 1, 0)
                opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {}
                for line in head[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                request = Request(head[0], headers, reader, writer)
                if headers.get("expect-worker") not in (None, self.name):
                    answer = request.format_head("421 Misdirected Request", Content_Length="0")
                    writer.write(answer)
                    break
                if not await self._script(self, request):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()


class InstanceProcess:
    """Holds a process of the system, its settings and its addresses."""

    def __init__(self, name: str, zone: str, folder: Path):
        self.name = name
        self.zone = zone
        self.caller_port, self.ready_port, self.peer_port, self.metrics_port = find_free_ports(4)
        self.settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file in the platform's format."""
        zones = "\n".join(f'{zone} = "region"' for zone in ZONES)
        text = f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge","ctrl"]
ip = "127.0.0.1"
az = "{self.zone}"
region = "region"
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
ingress = "vip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
http = "127.0.0.1:{self.caller_port}"
readiness = "127.0.0.1:{self.ready_port}"
admin = "127.0.0.1:{self.peer_port}"
[limits]
cpus = 2
ramMb = 300
maxFds = 4100
bandwidthMbps = 1000.0
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
partWritesS = 200
rowBytes = 65536
crossPart = false
historyS = 20
{BOUNDS}"""
        self.settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        words = shlex.split(role["run"])
        # Several processes share this machine, so each gets a port of its own.
        words[words.index("--metrics-port") + 1] = str(self.metrics_port)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= role.get("env", {})
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["JAYYOKE_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready; raise CaseUnable."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseUnable(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def end(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


@dataclass(slots=True)
class Answer:
    """Holds what a client got: the status, the headers, the body, and whether it is complete."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


class Client:
    """Keeps one connection to an instance."""

    def __init__(self, instance: InstanceProcess):
        self.instance = instance
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "POST",
        deadline_ms: int = 8000,
        body: bytes = b"",
        key: str = KEY,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Answer:
        """Send a request and read the answer, over the kept connection if it is open."""
        answer = Answer()
        try:
            if self._writer is None or self._writer.is_closing():
                self._reader, self._writer = await asyncio.open_connection(
                    "127.0.0.1", self.instance.caller_port
                )
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {request_id}"]
            lines += [f"Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await self._writer.drain()
            answer.sent_s = time.monotonic()
            async with asyncio.timeout(deadline_ms / 1000 + 2.0):
                await self._read(answer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
            answer.error = f"{type(error).__name__}: {error}"[:120]
            self.close()
        answer.ended_s = time.monotonic()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def _read(self, answer: Answer) -> None:
        assert self._reader is not None
        reader = self._reader
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.strip().lower()] = value.strip()
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        elif "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := _parse_size(await reader.readline()):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        answer.complete = True


def _parse_size(line: bytes) -> int:
    """Return the size of a chunk; raise ConnectionError at the end of the connection."""
    if not line.endswith(b"\n"):
        raise ConnectionError("the connection ended within the answer")
    return int(line.split(b";")[0], 16)


class Fleet:
    """Holds the store, the workers and the instances of one case."""

    def __init__(self, folder: Path, record: Record, instances: int = 3):
        self.record = record
        self.store = RowStoreServer()
        self.workers: list[Worker] = []
        self.instances = [
            InstanceProcess(f"edge-{number}", ZONES[number % len(ZONES)], folder)
            for number in range(instances)
        ]

    async def start(self, config: dict[str, object]) -> None:
        """Start the store and the instances, and wait until all are ready and in touch."""
        await self.store.start()
        self.store.put("op", "config", config)
        for worker in self.workers:
            await worker.start()
            self.store.put("servers", worker.name, worker.describe())
        seeds = [f"127.0.0.1:{found.peer_port}" for found in self.instances]
        for instance in self.instances:
            instance.write_settings(self.store.address, seeds)
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(CONTACT_S + 1.0)

    async def close(self) -> None:
        """End everything that was started."""
        for instance in self.instances:
            await instance.end()
        for worker in self.workers:
            await worker.close()
        await self.store.close()


def build_route(name: str, kind: str, service: str, **fields: object) -> dict[str, object]:
    """Return a route with the path prefix /NAME/."""
    route: dict[str, object] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 8000,
        "sloMs": 800,
        "prio": 1,
        "backend": service,
        "public": False,
        "itlTargetMs": 300,
        "attempts": 1,
    }
    return route | fields


def build_config(version: int, routes: list[dict], services: list[str], **changes: object) -> dict:
    """Return a configuration with the limits of the small deployments."""
    config: dict[str, object] = {
        "version": version,
        "routes": routes,
        "backends": [
            {"name": name, "healthPath": "/healthz", "maxConns": 360} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "prio": 1}],
    }
    return config | changes


def format_event(number: int) -> bytes:
    """Return one chunk with one whole event."""
    event = b"id: %d\ndata: piece %d\n\n" % (number, number)
    return b"%x\r\n%s\r\n" % (len(event), event)


def run_case(
    folder: str, case: Callable[[Fleet, bool], Awaitable[bool]], instances: int = 3
) -> None:
    """Run a case and exit as the review asks: 1 if the rule was broken, 0 if it held, else 2.

    `case` gets whether the disruption is wanted, and returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def main() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            fleet = Fleet(Path(temporary), record, instances)
            try:
                async with asyncio.timeout(110.0):
                    broken = await case(fleet, trouble)
            except Exception as error:
                # The interpreter would exit with 1, which stands for a broken rule.
                record.note(f"the case could not run: {error!r}")
                return UNABLE
            finally:
                await fleet.close()
        record.note("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD

    code = asyncio.run(main())
    record.close()
    sys.exit(code)
