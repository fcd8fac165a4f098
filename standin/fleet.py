"""Starts a deployment as real processes on loopback, for the demo and tests."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path

import aiohttp
import yaml

from standin.deployment import Deployment
from standin.port import find_free_address

OPERATOR_KEY = "demo-operator"
TEAM_KEYS = ("demo-key-1", "demo-key-2")
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


@dataclass(slots=True)
class Process:
    """Holds one child process and the addresses it serves on."""

    name: str
    domain: str
    command: list[str]
    log: Path
    address: str
    operator_address: str = ""
    peer_address: str = ""
    child: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Return the URL that callers use."""
        return f"http://{self.address}"

    @property
    def operator_url(self) -> str:
        """Return the URL that operators use."""
        return f"http://{self.operator_address}"

    def start(self) -> None:
        """Start the process; its output goes to its log file."""
        with self.log.open("ab") as output:
            # In a session of its own the child gets no Ctrl-C; the parent ends it in order.
            self.child = subprocess.Popen(
                self.command, stdout=output, stderr=output, start_new_session=True
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.child is not None and self.child.poll() is None:
            os.kill(self.child.pid, signal_number)

    async def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Return the exit code, or None if the process never started or outlives the timeout."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while self.child is not None and self.child.poll() is None:
            if asyncio.get_running_loop().time() > deadline_s:
                return None
            await asyncio.sleep(0.02)
        return None if self.child is None else self.child.returncode


@dataclass(slots=True)
class Fleet:
    """Holds every process of a running deployment."""

    deployment: Deployment
    folder: Path
    http: aiohttp.ClientSession
    table: Process
    objects: Process
    weights: Process
    listing: Process
    engines: list[Process] = field(default_factory=list)
    plain_upstreams: list[Process] = field(default_factory=list)
    instances: list[Process] = field(default_factory=list)
    proxies: list[Process] = field(default_factory=list)

    @property
    def processes(self) -> list[Process]:
        """Return all processes, instances first."""
        platform = [self.listing, self.weights, self.objects, self.table]
        return [*self.instances, *self.engines, *self.plain_upstreams, *platform, *self.proxies]

    async def apply_configuration(self, configuration: dict) -> int:
        """Apply a configuration and return its version; raise RuntimeError if it is refused."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{self.instances[0].operator_url}/v1/configuration"
        async with self.http.put(url, json=configuration, headers=headers) as answer:
            body = await answer.json()
            if answer.status != 200:
                raise RuntimeError(f"configuration was refused: {body}")
            return body["version"]

    async def wait_for_version(self, version: int, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every instance is ready and has at least this configuration version."""
        async with asyncio.timeout(timeout_s):
            for instance in self.instances:
                while await self._read_version(instance) < version:
                    await asyncio.sleep(0.05)

    async def _read_version(self, instance: Process) -> int:
        try:
            async with self.http.get(f"{instance.operator_url}/readyz") as answer:
                body = await answer.json()
                return body["configuration"] if body["ready"] else -1
        except aiohttp.ClientError:
            return -1


def load_example(name: str) -> dict:
    """Return the example configuration of a deployment as plain data."""
    return yaml.safe_load((EXAMPLES / f"{name}.yaml").read_text(encoding="utf-8"))


@contextlib.asynccontextmanager
async def run_fleet(
    deployment: Deployment,
    apply_example: bool = True,
    configuration: dict | None = None,
    folder: Path | None = None,
    prepare: Callable[[Fleet], None] | None = None,
) -> AsyncIterator[Fleet]:
    """Start a deployment, wait until it serves, and end all its processes on exit.

    The example configuration is applied unless another one is given. Logs and settings are in
    `folder`, which is kept, or in a temporary one. `prepare` may change settings, entries and
    addresses before any process starts.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            name = stack.enter_context(tempfile.TemporaryDirectory(prefix="jayyoke-"))
            folder = Path(name)
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
            fleet = _build_fleet(deployment, folder, http)
            if prepare is not None:
                prepare(fleet)
            try:
                await _start(fleet)
                if apply_example or configuration is not None:
                    await fleet.apply_configuration(configuration or load_example(deployment.name))
                    await fleet.wait_for_version(1)
                yield fleet
            finally:
                try:
                    await _stop(fleet)
                finally:
                    # A second Ctrl-C interrupts the orderly stop; no process may outlive it.
                    _kill(fleet)


def _kill(fleet: Fleet) -> None:
    for process in fleet.processes:
        process.send_signal(signal.SIGKILL)
        if process.child is not None:
            process.child.wait()


async def _start(fleet: Fleet) -> None:
    for process in reversed(fleet.processes):
        process.start()
    async with asyncio.timeout(START_TIMEOUT_S):
        for process in reversed(fleet.processes):
            await _wait_for_port(process)


async def _wait_for_port(process: Process) -> None:
    host, _, port = (process.operator_address or process.address).rpartition(":")
    while True:
        if process.child is not None and process.child.poll() is not None:
            raise RuntimeError(f"{process.name} ended: {process.log.read_text()[-2000:]}")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            writer.close()
            return
        except OSError:
            await asyncio.sleep(0.05)


async def _stop(fleet: Fleet) -> None:
    for process in fleet.processes:
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
    for process in fleet.processes:
        if await process.wait(5.0) is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()


def _build_fleet(deployment: Deployment, folder: Path, http: aiohttp.ClientSession) -> Fleet:
    def build_standin(name: str, module: str, *arguments: str, domain: str = "") -> Process:
        address = find_free_address()
        command = [sys.executable, "-m", f"standin.{module}", address, *arguments]
        return Process(name, domain, command, folder / f"{name}.log", address)

    entries = folder / "entries.json"
    table = build_standin("table", "table")
    objects = build_standin("objects", "objects")
    weights = build_standin("weights", "weights")
    listing = build_standin("listing", "listing", str(entries))
    fleet = Fleet(deployment, folder, http, table, objects, weights, listing)
    for index in range(deployment.engine_count):
        name = f"{deployment.engine_service}-{index}"
        domain = deployment.domains[index % len(deployment.domains)]
        arguments = ["--name", name, *deployment.engine_arguments]
        fleet.engines.append(build_standin(name, "engine", *arguments, domain=domain))
    for index in range(deployment.plain_upstream_count):
        name = f"{deployment.plain_service}-{index}"
        domain = deployment.domains[index % len(deployment.domains)]
        arguments = ["--name", name]
        if fleet.plain_upstreams:
            arguments += ["--book", fleet.plain_upstreams[0].url]
        if deployment.plain_upstreams_deduplicate:
            arguments.append("--deduplicates")
        fleet.plain_upstreams.append(build_standin(name, "plain", *arguments, domain=domain))
    for domain in deployment.domains:
        for index in range(deployment.instances_per_domain):
            fleet.instances.append(_build_instance(fleet, f"{domain}-{index}", domain))
    _write_settings(fleet)
    entries.write_text(json.dumps(_format_entries(fleet)), encoding="utf-8")
    return fleet


def _build_instance(fleet: Fleet, name: str, domain: str) -> Process:
    path = fleet.folder / f"{name}.yaml"
    command = [sys.executable, "-m", "jayyoke.scripts.daemon", "--settings", str(path)]
    return Process(
        name,
        domain,
        command,
        fleet.folder / f"{name}.log",
        address=find_free_address(),
        operator_address=find_free_address(),
        peer_address=find_free_address(),
    )


def _write_settings(fleet: Fleet) -> None:
    for instance in fleet.instances:
        settings = {
            "instance": instance.name,
            "region": fleet.deployment.region,
            "domain": instance.domain,
            "caller_address": instance.address,
            "operator_address": instance.operator_address,
            "peer_address": instance.peer_address,
            "table_url": fleet.table.url,
            "objects_url": fleet.objects.url,
            "listing_url": fleet.listing.url,
            "weights_url": fleet.weights.url,
            "peer_key": "demo-peer-key",
            "operator_key_sha256": sha256(OPERATOR_KEY.encode()).hexdigest(),
            "seeds": [peer.peer_address for peer in fleet.instances if peer is not instance],
        }
        path = fleet.folder / f"{instance.name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")


def _format_entries(fleet: Fleet) -> list[dict]:
    entries = []
    groups = (
        (fleet.engines, fleet.deployment.engine_service, "worker"),
        (fleet.plain_upstreams, fleet.deployment.plain_service, "worker"),
        (fleet.instances, "", "router"),
    )
    for processes, service, kind in groups:
        for process in processes:
            entry = {"name": process.name, "kind": kind, "service": service, "state": "live"}
            entry["domain"] = process.domain
            entry["address"] = process.peer_address or process.address
            entries.append(entry)
    return entries
