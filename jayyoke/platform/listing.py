"""Client of the platform's list of live and leaving instances and workers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import aiohttp

from jayyoke.core.error import StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """Names an instance of the fleet as the platform lists it."""

    name: str
    domain: str
    peer_address: str
    leaving: bool = False
    region: str = ""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Holds one answer of the list, which may lag behind reality."""

    instances: tuple[ListedInstance, ...]
    upstreams: tuple[Upstream, ...]


class Listing:
    """Reads the list over HTTP."""

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, http: aiohttp.ClientSession, url: str, timeout_s: float = 1.0):
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self) -> Snapshot:
        """Return the current list; raise StoreUnavailable."""
        try:
            async with self._http.get(f"{self._url}/v1/instances", timeout=self._timeout) as answer:
                if answer.status != 200:
                    raise StoreUnavailable(f"instance list answered with {answer.status}")
                body = await answer.json(content_type=None)
            return _parse_snapshot(body)
        except (TimeoutError, aiohttp.ClientError, ValueError, KeyError, TypeError) as error:
            raise StoreUnavailable(f"instance list did not answer usefully: {error!r}") from error


def _parse_snapshot(body: Any) -> Snapshot:
    instances = []
    upstreams = []
    for entry in body["instances"]:
        leaving = entry["state"] == "leaving"
        if entry["kind"] == "router":
            region = entry.get("region", "")
            instances.append(
                ListedInstance(entry["name"], entry["domain"], entry["address"], leaving, region)
            )
            continue
        state = UpstreamState.LEAVING if leaving else UpstreamState.LIVE
        upstreams.append(
            Upstream(entry["name"], entry["service"], entry["domain"], entry["address"], state)
        )
    return Snapshot(tuple(instances), tuple(upstreams))
