"""Configurations and settings files for entry instances on loopback."""

from __future__ import annotations

import json
from collections.abc import Sequence

HOST = "calls.example"
KEY = "key-of-the-yard"


def build_config(version: int = 1, **changes: object) -> dict[str, object]:
    """Return a configuration with one route of each kind, all to the service `desk`."""
    config: dict[str, object] = {
        "version": version,
        "routes": build_routes(),
        "backends": [{"name": "desk", "healthPath": "/healthz", "maxConns": 96}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 500,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "yard", "apiKeys": [KEY], "prio": 1}],
    }
    return config | changes


def build_routes() -> list[dict[str, object]]:
    """Return one route of each kind."""
    return [
        build_route("safe", "safe", attempts=2),
        build_route("unsafe", "unsafe", attempts=1),
        build_route("stream", "stream", attempts=1, affinity=True),
        build_route("resume", "stream", attempts=2, affinity=True, resumable=True),
    ]


def build_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route to the service `desk` with the path prefix /NAME/."""
    route: dict[str, object] = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 3000,
        "sloMs": 400,
        "prio": 1,
        "backend": "desk",
        "public": False,
        "itlTargetMs": 300,
    }
    return route | fields


def format_settings(
    name: str, domain: str, store: str, ports: Sequence[int], seeds: Sequence[str], grace_s: float
) -> str:
    """Return a settings file; the ports are for callers, readiness and other instances."""
    return f"""
nodeName = "{name}"
az = "{domain}"
region = "region"
seeds = {json.dumps(list(seeds))}
[listen]
http = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
admin = "127.0.0.1:{ports[2]}"
[platform]
address = "{store}"
[bounds]
graceS = {grace_s}
"""
