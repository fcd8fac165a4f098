"""Runs entry instances as real processes on loopback for the cases in this folder.

Needs the result of the build command in deploy/system.toml (`target/deps`) and nothing else.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import random
import signal
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standin.entryupstream import EntryUpstream
from standin.rowstore import RowStoreServer

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "calls.example"
KEY = "n2ctnfzs989anu6wsjnb"
TEAM = "hule930"
DOMAINS = ("zone-a", "zone-b", "zone-c")
START_TIMEOUT_S = 30.0
# The whole script must end within 120 s.
SCRIPT_TIMEOUT_S = 110.0

SETTINGS = """\
nodeName = "{name}"
role = "entry"
machineClass = "edge"
serves = ["edge","ctrl"]
ip = "{ip}"
az = "{domain}"
region = "region"
portRange = [7340,7355]
seeds = []
bootstrap = true
discovery = "platform"
ingress = "vip"
heartbeatMs = 1200
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listen]
http = "{ip}:8227"
readiness = "{ip}:8220"
admin = "{ip}:8229"
[limits]
cpuQuota = 0.537
cpus = 2
ramMb = 300
maxFds = 4100
bandwidthMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 8
lossSlackMs = 200
convergeMs = 2000
downgradeMs = 250
skewMaxMs = 5000
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
capFactor = 2
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 5.0
"""


class CannotRun(Exception):
    """Reports that a case could not be played."""


class Record:
    """Collects what was sent, answered and run, and writes it to record.txt."""

    def __init__(self, folder: Path):
        self._path = folder / "record.txt"
        self._lines: list[str] = []
        self._began_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        self._lines.append(f"{time.monotonic() - self._began_s:8.3f} {text}")

    def write(self) -> None:
        """Write all lines."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


@dataclass(slots=True)
class Answer:
    """Holds what a client got; `complete` is set if the answer ended as HTTP requires."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


class Instance:
    """Holds one entry instance, started with the command of the deploy file."""

    def __init__(self, name: str, domain: str, ip: str, store: str, folder: Path):
        self.name = name
        self.ip = ip
        self.process: asyncio.subprocess.Process | None = None
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        text = SETTINGS.format(name=name, domain=domain, ip=ip, store=store)
        self._settings.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process and wait until it is ready; raise CannotRun."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = role["roles"]["entry"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= role["env"]
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["JAYYOKE_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                while self.process.returncode is None:
                    if await self._is_ready():
                        return
                    await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not get ready: {self.read_log()[-2000:]}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await reader.readline()).startswith(b"HTTP/1.1 200")
        finally:
            writer.close()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Rig:
    """Holds the store, the workers and the instances of a case."""

    def __init__(self, record: Record, folder: Path):
        self.record = record
        self.store = RowStoreServer()
        self.workers: list[EntryUpstream] = []
        self.instances: list[Instance] = []
        self._folder = folder
        # Each instance has an address of its own, as machines do.
        self._network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"

    def put_config(self, config: dict[str, object]) -> None:
        """Write the operator's configuration."""
        revision = self.store.put("op", "config", config)
        self.record.add(f"operator: config version {config['version']}, revision {revision}")

    async def add_worker(self, worker: EntryUpstream, service: str, **row_fields: object) -> None:
        """Start a worker and write its entry."""
        await worker.start()
        self.workers.append(worker)
        entry = worker.describe(service, **row_fields)
        entry["born"] = time.time_ns() // 1_000_000
        self.store.put("servers", worker.name, entry)
        self.record.add(f"worker: {worker.name} of {service} listed: {row_fields}")

    async def add_instances(self, count: int) -> None:
        """Start instances in turn over the domains and wait until they are ready."""
        for number in range(1, count + 1):
            domain = DOMAINS[(number - 1) % len(DOMAINS)]
            ip = f"{self._network}.{number}"
            instance = Instance(f"entry-{number}", domain, ip, self.store.address, self._folder)
            self.instances.append(instance)
        await asyncio.gather(*(instance.start() for instance in self.instances))
        self.record.add(f"{count} instances are ready")

    async def close(self) -> None:
        """End everything that this rig has started."""
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
        "sloMs": 600,
        "prio": 1,
        "backend": service,
        "attempts": 1,
        "public": False,
        "affinity": False,
        "resumable": False,
        "itlTargetMs": 300,
    }
    return route | fields


def build_config(
    version: int, routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Return a configuration with the limits of the small deployments."""
    return {
        "version": version,
        "routes": routes,
        "backends": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "prio": 1}],
    }


def build_service(name: str, engine_slots: int = 0) -> dict[str, object]:
    """Return a service; one with `engine_slots` has model workers."""
    service: dict[str, object] = {
        "name": name,
        "healthPath": "/healthz",
        "maxConns": 360,
        "warmupS": 0.0,
        "warmupPerS": 0.0,
    }
    if engine_slots:
        service["runtime"] = {
            "slots": engine_slots,
            "kvCapacity": 444000,
            "kvTokenBytes": 131072,
        }
    return service


class Client:
    """Sends one request at a time to an instance over a kept connection."""

    def __init__(self, rig: Rig, instance: int = 0):
        self._ip = rig.instances[instance].ip
        self._record = rig.record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self,
        request_id: str,
        path: str,
        body: bytes = b"x",
        deadline_ms: int = 8000,
        **headers: str,
    ) -> Answer:
        """Send a request and return the answer as far as it came."""
        answer = Answer()
        self._record.add(f"client: sends {request_id}, {len(body)} bytes of body")
        lines = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
        try:
            if self._writer is None or self._writer.is_closing():
                self._reader, self._writer = await asyncio.open_connection(self._ip, 8227)
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                await self._read_answer(answer)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            answer.error = repr(error)
        self._record.add(
            f"client: {request_id} {answer.status} complete={answer.complete}"
            f" {len(answer.body)} bytes {answer.error}"
        )
        if not answer.complete or answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _read_answer(self, answer: Answer) -> None:
        reader = self._reader
        assert reader is not None
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split()[1])
        for line in head[1:]:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if answer.headers.get("transfer-encoding") != "chunked":
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.complete = True
            return
        while True:
            size = int((await reader.readline()).strip() or b"", 16)
            data = (await reader.readexactly(size + 2))[:size]
            if not size:
                answer.complete = True
                return
            answer.body += data

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def has_trouble() -> bool:
    """Tell whether the disruption of the case is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Rig], Awaitable[bool]]) -> None:
    """Play a case, which returns whether the rule held, and exit with its result."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    # Writes of stand-ins to connections that the instance has closed.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def play() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # Ends what the case has started also if the case itself is ended.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as scratch:
            rig = Rig(record, Path(scratch))
            await rig.store.start()
            try:
                async with asyncio.timeout(SCRIPT_TIMEOUT_S):
                    return await case(rig)
            except Exception:
                for instance in rig.instances:
                    record.add(f"{instance.name} logged:\n{instance.read_log()[-3000:]}")
                raise
            finally:
                await rig.close()

    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        record.write()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record.add(f"the rule {'held' if held else 'was broken'}")
    record.write()
    sys.exit(HELD if held else BROKEN)
