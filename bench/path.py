"""Request path: one daemon on one core beside a bare aiohttp relay, in front of one engine.

Both run as child processes, pinned to the same core one after the other, and get the same load
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

TOKENS = 32
CONCURRENCY = 32
ROUNDS = 3
LOAD_S = 2.5
PAUSED_REQUESTS = 300
START_TIMEOUT_S = 15.0
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
    """Holds the figures of one run; the first token's median is in milliseconds."""

    requests_per_s: float
    tokens_per_s: float
    first_token_ms: float


def measure(seed: int) -> list[Result]:
    """Return rates and the added time to the first token of daemon and relay."""
    with tempfile.TemporaryDirectory(prefix="jayyoke-bench-") as name, _run(Path(name)) as urls:
        loads: dict[str, list[Load]] = {"relay": [], "jayyoke": []}
        direct_ms = asyncio.run(_measure_first_token(urls["engine"]))
        for _ in range(ROUNDS):
            for policy, rounds in loads.items():
                rounds.append(asyncio.run(_measure_load(urls[policy])))
    return _summarise(loads, direct_ms, seed)


def _summarise(loads: dict[str, list[Load]], direct_ms: float, seed: int) -> list[Result]:
    rows = []
    medians: dict[str, Load] = {}
    for policy, rounds in loads.items():
        load = medians[policy] = Load(
            statistics.median(one.requests_per_s for one in rounds),
            statistics.median(one.tokens_per_s for one in rounds),
            statistics.median(one.first_token_ms for one in rounds),
        )
        for name, value, unit in (
            ("requests per second", load.requests_per_s, "1/s"),
            ("tokens per second", load.tokens_per_s, "1/s"),
        ):
            rows.append(Result("request path", name, policy, value, unit, None, seed))
        added_ms = load.first_token_ms - direct_ms
        target = 2.0 if policy == "jayyoke" else None
        case = "added to first token, median"
        rows.append(Result("request path", case, policy, added_ms, "ms", target, seed))
    for name, field in (("request rate", "requests_per_s"), ("token rate", "tokens_per_s")):
        share = getattr(medians["jayyoke"], field) / getattr(medians["relay"], field)
        case = f"{name} over the relay's"
        target = 0.7 if field == "requests_per_s" else None
        rows.append(
            Result("request path", case, "jayyoke", share, "share", target, seed, at_most=False)
        )
    return rows


async def _measure_load(url: str) -> Load:
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        await _ask(http, url)
        end_s = time.monotonic() + LOAD_S
        counts = await asyncio.gather(*(_ask_until(http, url, end_s) for _ in range(CONCURRENCY)))
        requests = sum(counts)
        first_ms = await _first_token(http, url)
    return Load(requests / LOAD_S, requests * TOKENS / LOAD_S, first_ms)


async def _measure_first_token(url: str) -> float:
    async with aiohttp.ClientSession() as http:
        return await _first_token(http, url)


async def _first_token(http: aiohttp.ClientSession, url: str) -> float:
    times = []
    for _ in range(PAUSED_REQUESTS):
        times.append(await _ask(http, url))
    return statistics.median(times) * 1000


async def _ask_until(http: aiohttp.ClientSession, url: str, end_s: float) -> int:
    count = 0
    while time.monotonic() < end_s:
        await _ask(http, url)
        count += 1
    return count


async def _ask(http: aiohttp.ClientSession, url: str) -> float:
    """Return the seconds to the first byte of the body; raise RuntimeError on a short answer."""
    headers = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}
    began_s = time.monotonic()
    first_s = 0.0
    tail = b""
    url = f"{url}/v1/chat/completions"
    async with http.post(url, data=BODY, headers=headers) as answer:
        async for part in answer.content.iter_any():
            first_s = first_s or time.monotonic() - began_s
            tail = part
    if answer.status != 200 or not tail.endswith(b"[DONE]\n\n"):
        raise RuntimeError(f"{url} answered with {answer.status}: {tail[-200:]!r}")
    return first_s


@contextlib.contextmanager
def _run(folder: Path) -> Iterator[dict[str, str]]:
    from standin.fleet import find_free_address

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
            # Relay and daemon share a core, one idle while the other is measured.
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
    """Apply the configuration and wait until everything serves."""
    pool = {
        "protocol": "engine",
        "cold_work_tokens": 10**8,
        "full_work_tokens": 10**8,
        "bound_multiple": 100.0,
    }
    configuration = {
        "services": {"pool": pool},
        "classes": {"draft": {"kind": "chat", "service": "pool", "within_s": 30}},
        "teams": {"bench": {"key_sha256": sha256(KEY.encode()).hexdigest()}},
    }
    headers = {"Authorization": f"Bearer {KEY}"}
    async with aiohttp.ClientSession() as http, asyncio.timeout(START_TIMEOUT_S):
        for name in ("engine", "relay"):
            await _retry(lambda name=name: _ask(http, urls[name]))
        url = f"{urls['operator']}/v1/configuration"

        async def apply() -> None:
            async with http.put(url, json=configuration, headers=headers) as answer:
                if answer.status != 200:
                    raise RuntimeError(await answer.text())

        await _retry(apply)
        await _retry(lambda: _ask(http, urls["jayyoke"]))


async def _retry(action) -> None:
    while True:
        try:
            await action()
            return
        except (aiohttp.ClientError, RuntimeError):
            await asyncio.sleep(0.1)
