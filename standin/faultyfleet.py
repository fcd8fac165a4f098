"""A deployment of real processes connected through fault-injecting proxies.

Each instance has its own loopback address 127.20.<domain>.<n>, by which the proxy tells who
connects. Proxies are named `peer.<domain>.<instance>`, `engine.<domain>.<name>`,
`plain.<domain>.<name>`, `platform.table`, `platform.objects` and `platform.list`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import asdict, dataclass
from typing import Any

import aiohttp
import yaml

from standin.deployment import Deployment
from standin.fleet import (
    OPERATOR_KEY,
    TEAM_KEYS,
    Fleet,
    Process,
    run_fleet,
)
from standin.port import find_free_address
from standin.proxy import Rules

WAIT_TIMEOUT_S = 30.0
PARTITIONED = Rules(silence=True)
CLEAR = Rules()


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Holds an answer: status, header Jayyoke-Run, parsed body, seconds taken, text of a chat."""

    status: int
    run_state: str
    body: Any
    took_s: float
    text: str = ""


class FaultyFleet:
    """Sets faults between the processes of a fleet and calls its instances."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.http = fleet.http
        self.control_url = fleet.proxies[0].url
        self._source_addresses = {p.name: p.address.rpartition(":")[0] for p in fleet.instances}

    def find_process(self, name: str) -> Process:
        """Return the process with a name."""
        return next(process for process in self.fleet.processes if process.name == name)

    def list_instances(self, domain: str) -> list[Process]:
        """Return the instances of a domain."""
        return [process for process in self.fleet.instances if process.domain == domain]

    def find_source_prefix(self, domain: str) -> str:
        """Return the prefix of the addresses from which a domain's instances connect."""
        return source_prefix(self.fleet, domain)

    def find_source(self, instance: Process) -> str:
        """Return the address from which an instance connects."""
        return self._source_addresses[instance.name]

    async def set_rules(self, rules: Rules, prefix: str = "", source: str = "") -> None:
        """Set rules by prefixes of proxy name and source address; raise RuntimeError."""
        body = {"prefix": prefix, "source": source, "rules": asdict(rules)}
        async with self.http.post(f"{self.control_url}/rules", json=body) as answer:
            if answer.status != 200 or not (await answer.json())["proxies"]:
                raise RuntimeError(f"no proxy has a name that starts with {prefix!r}")

    async def clear(self) -> None:
        """Remove all rules of all proxies."""
        async with self.http.post(f"{self.control_url}/clear") as answer:
            answer.raise_for_status()

    async def partition_domain(
        self, one: str, others: list[str], rules: Rules = PARTITIONED
    ) -> None:
        """Partition a domain's instances and upstreams from those of other domains."""
        for other in others:
            for here, there in ((one, other), (other, one)):
                for kind in ("peer", "engine", "plain"):
                    with contextlib.suppress(RuntimeError):
                        await self.set_rules(
                            rules, f"{kind}.{there}.", self.find_source_prefix(here)
                        )

    async def partition_platform(self, source: str = "", rules: Rules = PARTITIONED) -> None:
        """Partition instances with a source prefix from table, object store and list."""
        await self.set_rules(rules, "platform.", source)

    async def set_faults(self, process: Process, **faults: Any) -> None:
        """Set faults of a stand-in."""
        async with self.http.post(f"{process.url}/fault", json=faults) as answer:
            answer.raise_for_status()

    async def update_entries(self, *entries: dict[str, Any]) -> None:
        """Add or update entries of the platform's list by name."""
        url = f"{self.fleet.listing.url}/entries"
        async with self.http.post(url, json=list(entries)) as answer:
            answer.raise_for_status()

    async def send_chat(self, instance: Process, chat_key: str, tokens: int = 8) -> CallerAnswer:
        """Stream a chat and return its text; status 0 marks an incomplete answer."""
        body = {
            "model": self._find_class("chat"),
            "messages": [{"role": "user", "content": f"question of {chat_key}"}],
            "prompt_cache_key": chat_key,
            "max_tokens": tokens,
            "stream": True,
        }
        return await self._call("POST", f"{instance.url}/v1/chat/completions", body, {})

    async def send_work(
        self, instance: Process, kind: str, path: str, key: str = ""
    ) -> CallerAnswer:
        """Call the deployment's plain class of a kind."""
        url = f"{instance.url}/v1/work/{self._find_class(kind)}/{path}"
        headers = {"Idempotency-Key": key} if key else {}
        return await self._call("POST", url, {"key": key}, headers)

    async def call_operators(
        self, instance: Process, method: str, path: str, body: Any = None
    ) -> CallerAnswer:
        """Call the operators' interface of an instance."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return await self._call(method, f"{instance.operator_url}{path}", body, headers)

    async def read_versions(self) -> dict[str, int]:
        """Return the configuration version of each instance that answers; -1 while not ready."""
        found = {}
        for instance in self.fleet.instances:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.http.get(f"{instance.operator_url}/readyz") as answer:
                    body = await answer.json()
                    found[instance.name] = body["configuration"] if body["ready"] else -1
        return found

    async def count_received(self, domain: str, upstreams: list[Process] | None = None) -> int:
        """Return how many requests a domain's upstreams, or the given ones, received."""
        upstreams = upstreams or [*self.fleet.engines, *self.fleet.plain_upstreams]
        chosen = [upstream for upstream in upstreams if upstream.domain == domain]
        return sum([(await self._stats(upstream))["received"] for upstream in chosen])

    async def find_last_received(self, domain: str) -> float:
        """Return when a domain's upstreams last received a request, by the loop's clock."""
        last_s = 0.0
        for upstream in (*self.fleet.engines, *self.fleet.plain_upstreams):
            if upstream.domain != domain:
                continue
            idle_s = (await self._stats(upstream))["idle_s"]
            last_s = max(last_s, asyncio.get_running_loop().time() - idle_s)
        return last_s

    async def _stats(self, upstream: Process) -> dict[str, Any]:
        async with self.http.get(f"{upstream.url}/stats") as answer:
            return await answer.json()

    async def count_runs(self) -> dict[str, int]:
        """Return how often the plain service ran each idempotency key of callers."""
        async with self.http.get(f"{self.fleet.plain_upstreams[0].url}/runs") as answer:
            found = await answer.json()
        # Instances send TEAM:CLASS:KEY.
        return {key.rpartition(":")[2]: count for key, count in found.items()}

    async def wait_until_converged(self, timeout_s: float = WAIT_TIMEOUT_S) -> float:
        """Return the seconds until the fleet is converged; raise RuntimeError after the timeout.

        A converged fleet has every instance ready, in contact with every other one, and at the
        same confirmed configuration version.
        """

        async def is_converged() -> bool:
            versions = await self.read_versions()
            if len(versions) < len(self.fleet.instances) or len(set(versions.values())) > 1:
                return False
            if min(versions.values()) < 1:
                return False
            for instance in self.fleet.instances:
                body = (await self.call_operators(instance, "GET", "/v1/status")).body
                if len(body["instances"]) < len(versions) or body["unconfirmed"]:
                    return False
            return True

        try:
            return await wait_until(is_converged, timeout_s)
        except TimeoutError:
            first = self.fleet.instances[0]
            status = await self.call_operators(first, "GET", "/v1/status")
            found = f"{await self.read_versions()}, status at {first.name}: {status.body}"
            raise RuntimeError(f"the fleet did not converge: {found}") from None

    async def restart(self, process: Process) -> None:
        """Kill a process and start it again at the same addresses."""
        process.send_signal(signal.SIGKILL)
        await process.wait()
        process.start()

    def _find_class(self, kind: str) -> str:
        return _CLASS_NAMES[self.fleet.deployment.name][kind]

    async def _call(
        self, method: str, url: str, body: Any, headers: dict[str, str]
    ) -> CallerAnswer:
        headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"} | headers
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        timeout = aiohttp.ClientTimeout(total=WAIT_TIMEOUT_S)
        try:
            async with self.http.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as answer:
                raw = await answer.read()
                run_state = answer.headers.get("Jayyoke-Run", "")
                status = answer.status
                is_stream = answer.content_type == "text/event-stream"
        except (aiohttp.ClientError, TimeoutError):
            return CallerAnswer(0, "unknown", None, loop.time() - started_s)
        took_s = loop.time() - started_s
        if not is_stream:
            return CallerAnswer(status, run_state, _parse_json(raw), took_s)
        complete = raw.rstrip().endswith(b"data: [DONE]")
        return CallerAnswer(
            status if complete else 0, run_state, None, took_s, _join_chat_text(raw)
        )


_CLASS_NAMES = {
    "ballenticket": {"chat": "draft", "lookup": "weight-check", "once": "stamp"},
    "tapir-ridge": {"chat": "briefing", "lookup": "availability", "once": "deposit"},
}


@contextlib.asynccontextmanager
async def run_faulty_fleet(deployment: Deployment, seed: int = 1) -> AsyncIterator[FaultyFleet]:
    """Start a deployment behind proxies, wait until it serves, and end it on exit."""
    async with run_fleet(deployment, prepare=lambda fleet: _insert_proxies(fleet, seed)) as fleet:
        yield FaultyFleet(fleet)


class FleetSession:
    """Keeps one fleet and its event loop for the tests of a module."""

    def __init__(self, deployment: Deployment, seed: int = 1):
        self._runner = asyncio.Runner()
        self._context = run_faulty_fleet(deployment, seed)

    def __enter__(self) -> FleetSession:
        self.fleet = self._runner.run(self._context.__aenter__())
        return self

    def __exit__(self, *_: object) -> None:
        self._runner.run(self._context.__aexit__(None, None, None))
        self._runner.close()

    def run(self, test: Callable[[FaultyFleet], Coroutine[Any, Any, None]]) -> None:
        """Run a test, remove all proxy rules and wait until the fleet is converged."""

        async def run() -> None:
            try:
                await test(self.fleet)
            finally:
                await self.fleet.clear()
                await self.fleet.wait_until_converged()

        self._runner.run(run())


async def wait_until(condition: Callable[[], Any], timeout_s: float = WAIT_TIMEOUT_S) -> float:
    """Return the seconds until an async condition held; raise TimeoutError."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)
    return loop.time() - started_s


def source_prefix(fleet: Fleet, domain: str) -> str:
    """Return the prefix of the addresses from which a domain's instances connect."""
    return f"127.20.{fleet.deployment.domains.index(domain) + 1}."


def _insert_proxies(fleet: Fleet, seed: int) -> None:
    links: list[str] = []

    def add_proxy(name: str, target: str) -> str:
        listen = find_free_address()
        links.append(f"{name}={listen}={target}")
        return listen

    entries = {entry["name"]: entry for entry in _read_entries(fleet)}
    for kind, processes in (("engine", fleet.engines), ("plain", fleet.plain_upstreams)):
        for process in processes:
            name = f"{kind}.{process.domain}.{process.name}"
            entries[process.name]["address"] = add_proxy(name, process.address)
    urls = {
        "table_url": f"http://{add_proxy('platform.table', fleet.table.address)}",
        "objects_url": f"http://{add_proxy('platform.objects', fleet.objects.address)}",
        "listing_url": f"http://{add_proxy('platform.list', fleet.listing.address)}",
    }
    listeners = {}
    for instance in fleet.instances:
        host = f"{source_prefix(fleet, instance.domain)}{len(listeners) + 1}"
        instance.address = _replace_host(instance.address, host)
        instance.operator_address = _replace_host(instance.operator_address, host)
        listener = listeners[instance.name] = _replace_host(instance.peer_address, host)
        name = f"peer.{instance.domain}.{instance.name}"
        instance.peer_address = add_proxy(name, listener)
        entries[instance.name]["address"] = instance.peer_address
    for instance in fleet.instances:
        _rewrite_settings(fleet, instance, urls | {"peer_listen_address": listeners[instance.name]})
    (fleet.folder / "entries.json").write_text(json.dumps([*entries.values()]), encoding="utf-8")
    address = find_free_address()
    command = [sys.executable, "-m", "standin.proxy", address, *links, "--seed", str(seed)]
    fleet.proxies.append(Process("proxy", "", command, fleet.folder / "proxy.log", address))


def _rewrite_settings(fleet: Fleet, instance: Process, changes: dict[str, str]) -> None:
    path = fleet.folder / f"{instance.name}.yaml"
    settings = yaml.safe_load(path.read_text(encoding="utf-8")) | changes
    settings["caller_address"] = instance.address
    settings["operator_address"] = instance.operator_address
    settings["peer_address"] = instance.peer_address
    settings["seeds"] = [peer.peer_address for peer in fleet.instances if peer is not instance]
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")


def _read_entries(fleet: Fleet) -> list[dict[str, Any]]:
    return json.loads((fleet.folder / "entries.json").read_text(encoding="utf-8"))


def _replace_host(address: str, host: str) -> str:
    return f"{host}:{address.rpartition(':')[2]}"


def _parse_json(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return None


def _join_chat_text(raw: bytes) -> str:
    parts = []
    for line in raw.splitlines():
        if not line.startswith(b"data: {"):
            continue
        for choice in json.loads(line[6:]).get("choices", ()):
            parts.append(choice["delta"].get("content") or "")
    return "".join(parts)
