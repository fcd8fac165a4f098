"""Request path: one daemon on one core compared with a minimal aiohttp relay to the same engine.

Both run as child processes pinned to the same core, and are measured in turn with the same load
over loopback. The engine sends all tokens of a request at once, so that it is never the limit.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path

import aiohttp
import yaml

from bench.result import Result

MEASURE_NAME = "request path"
TOKENS = 32
CONCURRENCY = 32
ROUNDS = 8
LOAD_S = 0.8
SEQUENTIAL_REQUESTS = 200
START_TIMEOUT_S = 10.0
KEY = "bench-key"
BODY = json.dumps(
    {
        "model": "draft",
        "messages": [{"role": "user", "content": "weigh the bales " * 16}],
        "max_tokens": TOKENS,
        "stream": True,
    }
).encode()


@dataclass(frozen=True, slots=True)
class Load:
    """Holds the request rates of one round."""

    requests_per_s: float
    requests_per_core_s: float


def measure(seed: int) -> list[Result]:
    """Return the rates of daemon and relay and the time that they add to the first token."""
    with (
        tempfile.TemporaryDirectory(prefix="jayyoke-bench-") as folder,
        _run_processes(Path(folder)) as urls,
    ):
        loads: dict[str, list[Load]] = {"relay": [], "jayyoke": []}
        pids = {name: int((Path(folder) / f"{name}.pid").read_text()) for name in loads}
        first_ms = asyncio.run(_measure_first_tokens(urls))
        for _ in range(ROUNDS):
            for policy, rounds in loads.items():
                rounds.append(asyncio.run(_measure_load(urls[policy], pids[policy])))
    return _summarise(loads, first_ms, seed)


def _summarise(loads: dict[str, list[Load]], first_ms: dict[str, float], seed: int) -> list[Result]:
    rows = []
    rates: dict[str, float] = {}
    for policy, rounds in loads.items():
        rate = rates[policy] = statistics.median(load.requests_per_s for load in rounds)
        rows.append(Result(MEASURE_NAME, "requests per second", policy, rate, "1/s", None, seed))
        rows.append(
            Result(MEASURE_NAME, "tokens per second", policy, rate * TOKENS, "1/s", None, seed)
        )
        added_ms = first_ms[policy] - first_ms["engine"]
        target = 2.0 if policy == "jayyoke" else None
        case = "added to first token, median"
        rows.append(Result(MEASURE_NAME, case, policy, added_ms, "ms", target, seed))
    for case, field, target in (
        ("request rate over the relay's", "requests_per_s", 0.7),
        ("requests per core-second, same", "requests_per_core_s", None),
    ):
        # The rounds alternate, so both rounds of a pair saw about the same load of the machine.
        pairs = zip(loads["jayyoke"], loads["relay"], strict=True)
        ratios = [getattr(daemon, field) / getattr(relay, field) for daemon, relay in pairs]
        ratio = statistics.median(ratios)
        rows.append(
            Result(MEASURE_NAME, case, "jayyoke", ratio, "share", target, seed, at_most=False)
        )
    return rows


async def _measure_load(url: str, pid: int) -> Load:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        await _send_request(http, url)
        before_s = _read_processor_s(pid)
        end_s = time.monotonic() + LOAD_S
        counts = await asyncio.gather(
            *(_send_requests_until(http, url, end_s) for _ in range(CONCURRENCY))
        )
        used_s = _read_processor_s(pid) - before_s
    return Load(sum(counts) / LOAD_S, sum(counts) / used_s)


def _read_processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def _measure_first_tokens(urls: dict[str, str]) -> dict[str, float]:
    """Measure all of them in turn, so that a busy moment of the machine affects them equally."""
    times: dict[str, list[float]] = {"engine": [], "relay": [], "jayyoke": []}
    async with aiohttp.ClientSession() as http:
        for _ in range(SEQUENTIAL_REQUESTS):
            for name, seconds in times.items():
                seconds.append(await _send_request(http, urls[name]))
    return {name: statistics.median(seconds) * 1000 for name, seconds in times.items()}


async def _send_requests_until(http: aiohttp.ClientSession, url: str, end_s: float) -> int:
    count = 0
    while time.monotonic() < end_s:
        await _send_request(http, url)
        count += 1
    return count


async def _send_request(http: aiohttp.ClientSession, url: str) -> float:
    """Return the seconds to the first byte of the body; raise RuntimeError on a short answer."""
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    started_s = time.monotonic()
    first_s = 0.0
    last_chunk = b""
    url = f"{url}/v1/chat/completions"
    async with http.post(url, data=BODY, headers=headers) as answer:
        async for chunk in answer.content.iter_any():
            first_s = first_s or time.monotonic() - started_s
            last_chunk = chunk
    if answer.status != 200 or not last_chunk.endswith(b"[DONE]\n\n"):
        raise RuntimeError(f"{url} answered with {answer.status}: {last_chunk[-200:]!r}")
    return first_s


@contextlib.contextmanager
def _run_processes(folder: Path) -> Iterator[dict[str, str]]:
    from standin.port import find_free_address

    names = ("table", "listing", "engine", "relay", "jayyoke", "operator", "peer")
    addresses = {name: find_free_address() for name in names}
    urls = {name: f"http://{address}" for name, address in addresses.items()}
    settings = _write_files(folder, addresses, urls)
    commands = {
        "table": ["standin.table", addresses["table"]],
        "listing": ["standin.listing", addresses["listing"], str(folder / "entries.json")],
        "engine": ["bench._engine", addresses["engine"], str(TOKENS)],
        "relay": ["bench._relay", addresses["relay"], urls["engine"]],
        "jayyoke": ["jayyoke.scripts.daemon", "--settings", str(settings)],
    }
    children = []
    cores = sorted(os.sched_getaffinity(0))
    try:
        for name, command in commands.items():
            child = _start(command, folder / f"{name}.log")
            children.append(child)
            (folder / f"{name}.pid").write_text(str(child.pid))
            # Relay and daemon share a core; one is idle while the other is measured.
            core = cores[-1] if name in ("relay", "jayyoke") else cores[-2]
            os.sched_setaffinity(child.pid, {core})
        asyncio.run(_configure(urls))
        yield urls
    finally:
        for child in children:
            child.send_signal(signal.SIGTERM)
        for child in children:
            try:
                child.wait(10)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


def _start(command: list[str], log: Path) -> subprocess.Popen[bytes]:
    with log.open("ab") as output:
        return subprocess.Popen([sys.executable, "-m", *command], stdout=output, stderr=output)


def _write_files(folder: Path, addresses: dict[str, str], urls: dict[str, str]) -> Path:
    entry = {"name": "e", "kind": "worker", "service": "pool", "state": "live", "domain": "a"}
    entries = [entry | {"address": addresses["engine"]}]
    (folder / "entries.json").write_text(json.dumps(entries), encoding="utf-8")
    settings = {
        "instance": "bench",
        "region": "bench",
        "domain": "a",
        "caller_address": addresses["jayyoke"],
        "operator_address": addresses["operator"],
        "peer_address": addresses["peer"],
        "table_url": urls["table"],
        "objects_url": urls["table"],
        "listing_url": urls["listing"],
        "weights_url": urls["table"],
        "peer_key": "bench",
        "operator_key_sha256": sha256(KEY.encode()).hexdigest(),
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    return path


async def _configure(urls: dict[str, str]) -> None:
    """Apply the configuration and wait until every process serves."""
    pool = {
        "protocol": "engine",
        "load_bound": 10.0,
        "workers": {"cold_tokens": 10**8, "full_tokens": 10**8},
    }
    configuration = {
        "services": {"pool": pool},
        "classes": {"draft": {"kind": "chat", "service": "pool", "within": "30s"}},
        "teams": {"bench": {"key_sha256": sha256(KEY.encode()).hexdigest()}},
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession() as http, asyncio.timeout(START_TIMEOUT_S):
        for name in ("engine", "relay"):
            await _retry(lambda name=name: _send_request(http, urls[name]))
        url = f"{urls['operator']}/v1/configuration"

        async def apply() -> None:
            async with http.put(url, json=configuration, headers=headers) as answer:
                if answer.status != 200:
                    raise RuntimeError(await answer.text())

        await _retry(apply)
        await _retry(lambda: _send_request(http, urls["jayyoke"]))


async def _retry(action) -> None:
    failure: Exception | None = None
    try:
        while True:
            try:
                await action()
                return
            except (aiohttp.ClientError, RuntimeError) as error:
                failure = error
                await asyncio.sleep(0.1)
    except asyncio.CancelledError:
        print(f"not ready: {failure}", flush=True)
        raise
