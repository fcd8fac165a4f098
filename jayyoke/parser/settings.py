"""Settings of one instance, read from YAML when the daemon starts."""

from __future__ import annotations

import hashlib
import ipaddress
from dataclasses import dataclass
from urllib.parse import urlsplit

from jayyoke.core.error import InvalidDocument
from jayyoke.core.machine import DEFAULT_MEMORY_BYTES
from jayyoke.parser.document import Document
from jayyoke.parser.section import Section

MAX_SEEDS = 1000
MIN_STOP_GRACE_S = 1.0
MAX_STOP_GRACE_S = 3600.0
DEFAULT_STOP_GRACE_S = 70.0
# A process needs more than half of it without any client.
MIN_MEMORY_BYTES = 100_000_000
MAX_MEMORY_BYTES = 10**12
LOG_LEVELS = ("debug", "info", "warning", "error")
_ADDRESS_FORM = "IP number and port, such as 10.0.0.7:8080"
_URL_FORM = "a URL such as http://10.0.0.5:7000"


@dataclass(frozen=True, slots=True)
class Settings:
    """Holds the settings that an instance needs before it can reach the platform."""

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
    # Source address of outgoing connections; by default the host of caller_address.
    source_address: str = ""
    # Address to listen on for peers, where it differs from the advertised peer_address.
    peer_listen_address: str = ""
    # Time between SIGTERM and the kill of the process.
    stop_grace_s: float = DEFAULT_STOP_GRACE_S
    # Memory that the process may use.
    memory_bytes: int = DEFAULT_MEMORY_BYTES

    @property
    def source(self) -> str:
        """Return the source IP address of outgoing connections."""
        return self.source_address or _find_host(self.caller_address)

    @property
    def peer_listener(self) -> str:
        """Return the address to listen on for peers."""
        return self.peer_listen_address or self.peer_address


def parse_settings(text: str, file: str) -> Settings:
    """Return the settings of a YAML text; raise InvalidDocument with all findings."""
    document = Document(file)
    section = Section(document, document.parse(text), "")
    settings = Settings(
        instance=section.name("instance"),
        region=section.name("region"),
        domain=section.name("domain"),
        caller_address=_read_address(section, "caller_address"),
        operator_address=_read_address(section, "operator_address"),
        peer_address=_read_address(section, "peer_address"),
        table_url=_read_url(section, "table_url"),
        objects_url=_read_url(section, "objects_url"),
        listing_url=_read_url(section, "listing_url"),
        weights_url=_read_url(section, "weights_url"),
        peer_key=_read_key(section, "peer_key"),
        operator_key_sha256=section.digest("operator_key_sha256"),
        seeds=_read_seeds(section),
        policy=section.text("policy", "owner"),
        log_level=section.choice("log_level", LOG_LEVELS, "info"),
        source_address=_read_source(section),
        peer_listen_address=_read_listener(section),
        stop_grace_s=section.duration(
            "stop_grace", DEFAULT_STOP_GRACE_S, MIN_STOP_GRACE_S, MAX_STOP_GRACE_S
        ),
        memory_bytes=section.count(
            "memory_bytes", DEFAULT_MEMORY_BYTES, MIN_MEMORY_BYTES, MAX_MEMORY_BYTES
        ),
    )
    _check_distinct(section, settings)
    section.reject_unknown_keys()
    if document.findings:
        raise InvalidDocument(document.findings)
    return settings


def _read_address(section: Section, key: str) -> str:
    node = section.get(key, _ADDRESS_FORM)
    if node is None:
        return ""
    if _is_address(node.value):
        return node.value
    section.reject(key, _ADDRESS_FORM)
    return ""


def _read_source(section: Section) -> str:
    value = section.text("source_address", "")
    if not value or _is_ip_address(value):
        return value
    section.reject("source_address", "IP number, such as 10.0.0.7")
    return ""


def _read_listener(section: Section) -> str:
    value = section.text("peer_listen_address", "")
    if not value or _is_address(value):
        return value
    section.reject("peer_listen_address", _ADDRESS_FORM)
    return ""


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _find_host(address: str) -> str:
    return address.rpartition(":")[0].removeprefix("[").removesuffix("]")


def _is_address(value: object) -> bool:
    if not isinstance(value, str) or not _is_ip_address(_find_host(value)):
        return False
    port = value.rpartition(":")[2]
    return port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) < 65536


def _read_url(section: Section, key: str) -> str:
    node = section.get(key, _URL_FORM)
    if node is None:
        return ""
    if _is_url(node.value):
        return node.value.rstrip("/")
    section.reject(key, _URL_FORM)
    return ""


def _is_url(value: object) -> bool:
    if not isinstance(value, str):
        return False
    try:
        parts = urlsplit(value)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _read_key(section: Section, key: str) -> bytes:
    expected = "the secret text that all instances share"
    node = section.get(key, expected)
    if node is None:
        return b""
    if not isinstance(node.value, str) or not node.value:
        # The value is not shown, since it may be a secret.
        section.document.add_finding(node.line, key, "something else", expected)
        return b""
    return hashlib.sha256(node.value.encode("utf-8", "surrogatepass")).digest()


def _read_seeds(section: Section) -> tuple[str, ...]:
    seeds = []
    for node in section.items("seeds", "peer addresses", MAX_SEEDS):
        if _is_address(node.value):
            seeds.append(node.value)
            continue
        section.document.reject(node, "seeds", _ADDRESS_FORM)
    return tuple(seeds)


def _check_distinct(section: Section, settings: Settings) -> None:
    used: dict[str, str] = {}
    for key in ("caller_address", "operator_address", "peer_address", "peer_listen_address"):
        address = getattr(settings, key)
        if address and address in used:
            section.reject(key, f"an address of its own; {used[address]} has the same")
        used.setdefault(address, key)
