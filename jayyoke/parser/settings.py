"""Settings of one instance, read from YAML when the daemon starts."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import Any

from jayyoke.core.error import InvalidDocument
from jayyoke.parser.document import Document, Place


@dataclass(frozen=True, slots=True)
class Settings:
    """Holds what an instance must know before it can reach the platform."""

    instance: str
    region: str
    domain: str
    caller_address: str
    operator_address: str
    peer_address: str
    table_url: str
    objects_url: str
    listing_url: str
    weights_url: str
    peer_key: bytes
    operator_key_sha256: str
    seeds: tuple[str, ...] = ()
    policy: str = "owner"
    log_level: str = "info"


_REQUIRED = (
    "instance",
    "region",
    "domain",
    "caller_address",
    "operator_address",
    "peer_address",
    "table_url",
    "objects_url",
    "listing_url",
    "weights_url",
    "peer_key",
    "operator_key_sha256",
)


def parse_settings(text: str, file: str) -> Settings:
    """Return the settings of a YAML text; raise InvalidDocument with all findings."""
    document = Document(file)
    root = document.parse(text)
    values: dict[str, Any] = {}
    for key in _REQUIRED:
        place = root.value.get(key)
        if place is None:
            document.add(root.line, key, "nothing", "a value")
            continue
        values[key] = str(place.value)
    if document.findings:
        raise InvalidDocument(document.findings)
    values["peer_key"] = hashlib.sha256(values["peer_key"].encode()).digest()
    seeds = root.value.get("seeds", Place(1, []))
    values["seeds"] = tuple(str(seed.value) for seed in seeds.value)
    for key in ("policy", "log_level"):
        if key in root.value:
            values[key] = str(root.value[key].value)
    return Settings(**values)
