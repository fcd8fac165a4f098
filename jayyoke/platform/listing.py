"""Client of the platform's list of live and leaving instances and upstreams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import aiohttp
from absl import logging

from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.error import Effect, StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.platform.body import read_body
from jayyoke.utils.jsontext import parse_json, split_items

# Reading 4,010 entries takes about 24 ms of processor time and 577 KB. At the resulting interval of
# 2 s, list reads take about half of the processor time that an instance has for control (0.024 of
# a core).
INTERVAL_PER_ENTRY_S = 0.0005
MAX_INTERVAL_S = 2.0
MAX_LIST_BYTES = 16 << 20
# An entry has about 150 bytes.
MAX_ENTRY_BYTES = 64 << 10
MAX_TEXT_CHARACTERS = 255
_STATES = {"live": UpstreamState.LIVE, "leaving": UpstreamState.LEAVING}


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Holds an instance's entry in the platform's list."""

    name: str
    domain: str
    peer_address: str
    leaving: bool = False
    region: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds one answer of the list, which may be out of date."""

    instances: tuple[ListedInstance, ...]
    upstreams: tuple[Upstream, ...]


class Listing:
    """Reads the list over HTTP, less often the longer it is; all parts of an instance share it."""

    __slots__ = ("_body", "_clock", "_http", "_read_s", "_snapshot", "_timeout", "_url")

    def __init__(
        self,
        http: aiohttp.ClientSession,
        url: str,
        timeout_s: float = 1.0,
        clock: Clock | None = None,
    ):
        self._clock = clock or SystemClock()
        self._body = b""
        self._snapshot: Snapshot | None = None
        self._read_s = 0.0
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self) -> Snapshot:
        """Return the list, at most MAX_INTERVAL_S (2 s) old; raise StoreUnavailable.

        The same snapshot object is returned until the list changes.
        """
        started_s = self._clock.now_s()
        if self._snapshot is not None and started_s - self._read_s < compute_interval_s(
            self._snapshot
        ):
            return self._snapshot
        try:
            async with self._http.get(f"{self._url}/v1/instances", timeout=self._timeout) as answer:
                if answer.status != 200:
                    raise StoreUnavailable(f"instance list answered with {answer.status}")
                body = await read_body(answer, MAX_LIST_BYTES, Effect.NONE)
            if self._snapshot is None or body != self._body:
                self._snapshot = parse_snapshot(body)
                self._body = body
            self._read_s = started_s
            return self._snapshot
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise StoreUnavailable(f"instance list could not be read: {error!r}") from error


def compute_interval_s(snapshot: Snapshot) -> float:
    """Return the shortest time between two reads of a list of this length, in seconds."""
    entries = len(snapshot.instances) + len(snapshot.upstreams)
    return min(entries * INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S)


def parse_snapshot(body: bytes) -> Snapshot:
    """Return the snapshot of a list; raise ValueError if it is no list.

    Any writer may have left an entry, so one that is unusable costs that entry alone.
    """
    instances = []
    upstreams = []
    for item in _parse_items(body):
        try:
            entry = parse_json(item, MAX_ENTRY_BYTES) if isinstance(item, bytes) else item
            found = _parse_entry(entry)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            logging.warning("entry of the instance list is unusable: %.200s", repr(error))
            continue
        if isinstance(found, ListedInstance):
            instances.append(found)
        else:
            upstreams.append(found)
    return Snapshot(tuple(instances), tuple(upstreams))


def _parse_items(body: bytes) -> list[Any]:
    """Return the entries, or their texts if one of them makes the list unreadable as a whole."""
    try:
        document = parse_json(body)
    except ValueError:
        items = split_items(body, "instances")
        if not items:
            raise
        return list(items)
    if not isinstance(document, dict) or not isinstance(document.get("instances"), list):
        raise ValueError("no list of instances")
    return document["instances"]


def _parse_entry(entry: Any) -> ListedInstance | Upstream:
    """Return the record of an entry; raise ValueError, KeyError, TypeError or AttributeError."""
    state = _STATES[entry["state"]]
    name, domain, address = (_read_text(entry, field) for field in ("name", "domain", "address"))
    match entry["kind"]:
        case "router":
            leaving = state is UpstreamState.LEAVING
            region = str(entry.get("region", ""))
            return ListedInstance(name, domain, address, leaving, region)
        case "worker":
            return Upstream(name, _read_text(entry, "service"), domain, address, state)
        case kind:
            raise ValueError(f"kind {kind!r:.80} is neither router nor worker")


def _read_text(entry: dict[str, Any], field: str) -> str:
    value = entry[field]
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_CHARACTERS:
        raise ValueError(f"{field} is no text of 1 to {MAX_TEXT_CHARACTERS} characters")
    if not value.isprintable():
        raise ValueError(f"{field} has control characters")
    return value
