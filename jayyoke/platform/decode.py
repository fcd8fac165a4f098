"""Decodes the store's rows, written by operators, upstreams and instances, into records.

A row may come from any writer and be malformed. Its decoder then raises InvalidRow with a finding;
the other rows stay in use.
"""

from __future__ import annotations

import json
from typing import Any

from jayyoke.core.error import JayyokeError
from jayyoke.core.finding import Finding
from jayyoke.core.route import (
    CallerLimits,
    MoveOrder,
    MoveState,
    MoveStatus,
    Route,
    RouteKind,
    RoutingConfig,
    ScaleLimits,
    ServiceProfile,
    ServiceShare,
    TeamAccess,
)
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.platform.address import is_address
from jayyoke.utils.jsontext import parse_json, parse_unique_json

# An entry of an upstream has a few hundred bytes; rows of moves are as small.
MAX_ENTRY_BYTES = 64 << 10
# Larger integers have no exact float; times in ms and revisions are far below.
MAX_NUMBER = 2**53
MAX_NAME_CHARACTERS = 200
_ROUTE_KINDS = {kind.value: kind for kind in RouteKind}
_UPSTREAM_STATES = {"ready": UpstreamState.LIVE, "draining": UpstreamState.LEAVING}


class InvalidRow(JayyokeError):
    """Reports a row that cannot be decoded; `finding` names the field."""

    def __init__(self, finding: Finding):
        super().__init__(str(finding))
        self.finding = finding


class _Fields:
    """Reads typed fields of one row and raises InvalidRow for the first that is unusable."""

    __slots__ = ("_object", "_path", "_row")

    def __init__(self, row: str, path: str, value: Any):
        if not isinstance(value, dict):
            raise InvalidRow(Finding(row, 0, path, type(value).__name__, "an object"))
        self._row = row
        self._path = path
        self._object = value

    def _build_error(self, name: str, expected: str) -> InvalidRow:
        given = _describe_value(self._object.get(name))
        return InvalidRow(Finding(self._row, 0, f"{self._path}{name}", given, expected))

    def text(self, name: str, fallback: str | None = None) -> str:
        value = self._object.get(name, fallback)
        if not isinstance(value, str) or not _is_encodable(value):
            raise self._build_error(name, "a text")
        return value

    def name(self, name: str, fallback: str | None = None) -> str:
        """Return a short text without control characters, empty only if that is the fallback."""
        value = self.text(name, fallback)
        usable = len(value) <= MAX_NAME_CHARACTERS and value.isprintable()
        if not usable or (not value and fallback is None):
            raise self._build_error(name, f"1 to {MAX_NAME_CHARACTERS} printable characters")
        return value

    def number(self, name: str, fallback: float | None = None) -> float:
        value = self._object.get(name, fallback)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._build_error(name, "a number")
        # Compared before any conversion, which fails for large integers; false for NaN.
        if not 0 <= value <= MAX_NUMBER:
            raise self._build_error(name, f"a number from 0 to {MAX_NUMBER}")
        return float(value)

    def whole(self, name: str, fallback: int | None = None) -> int:
        value = self.number(name, fallback)
        if not value.is_integer():
            raise self._build_error(name, "a whole number")
        return int(value)

    def flag(self, name: str) -> bool:
        return self._object.get(name) is True

    def items(self, name: str) -> list[Any]:
        value = self._object.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            raise self._build_error(name, "a list")
        return value

    def texts(self, name: str) -> list[str]:
        values = self.items(name)
        if not all(isinstance(value, str) and _is_encodable(value) for value in values):
            raise self._build_error(name, "a list of texts")
        return values

    def has(self, name: str) -> bool:
        return self._object.get(name) is not None

    def nested(self, name: str) -> _Fields:
        return _Fields(self._row, f"{self._path}{name}.", self._object.get(name) or {})


def _describe_value(value: Any) -> str:
    """Return the start of a value; a deeply nested one cannot be formatted as a whole."""
    match value:
        case dict() | list():
            return type(value).__name__
        case str():
            return ascii(value[:80])
        case _:
            return repr(value)[:80]


def _is_encodable(text: str) -> bool:
    """Tell whether a text has no lone surrogates, which JSON can express and UTF-8 cannot."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_fields(row: str, value: bytes) -> _Fields:
    """Return the fields of an entry; raise InvalidRow."""
    try:
        return _Fields(row, "", parse_unique_json(value, MAX_ENTRY_BYTES))
    except ValueError as error:
        raise _build_unreadable(row, value, error) from error


def _build_unreadable(row: str, value: bytes, error: ValueError) -> InvalidRow:
    return InvalidRow(Finding(row, 0, "", f"{len(value)} bytes", f"JSON: {error}"))


def decode_config(value: bytes) -> RoutingConfig:
    """Return the configuration; raise InvalidRow."""
    try:
        fields = _Fields("op/config", "", parse_json(value))
    except ValueError as error:
        raise _build_unreadable("op/config", value, error) from error
    routes = []
    for item in fields.items("routes"):
        routes.append(_decode_route(_Fields("op/config", "routes.", item)))
    services = {}
    for item in fields.items("backends"):
        service = _decode_service(_Fields("op/config", "backends.", item))
        services[service.name] = service
    limits = fields.nested("limits")
    default = CallerLimits()
    teams = None
    if fields.has("tenants"):
        teams = tuple(
            _decode_team(_Fields("op/config", "tenants.", item)) for item in fields.items("tenants")
        )
    return RoutingConfig(
        version=int(fields.number("version")),
        routes=tuple(routes),
        services=services,
        limits=CallerLimits(
            header_bytes=int(limits.number("maxHeaderBytes", default.header_bytes)),
            body_bytes=int(limits.number("maxBodyBytes", default.body_bytes)),
            header_timeout_s=limits.number("headerTimeoutMs", default.header_timeout_s * 1000)
            / 1000,
            idle_timeout_s=limits.number("idleTimeoutMs", default.idle_timeout_s * 1000) / 1000,
        ),
        teams=teams,
    )


def _decode_route(fields: _Fields) -> Route:
    kind = _ROUTE_KINDS.get(fields.text("type"))
    if kind is None:
        raise InvalidRow(Finding("op/config", 0, "routes.type", fields.text("type"), "a kind"))
    shares = []
    for item in fields.items("split"):
        share_fields = _Fields("op/config", "routes.split.", item)
        shares.append(
            ServiceShare(share_fields.text("backend"), share_fields.number("weight", 1.0))
        )
    if not shares:
        shares.append(ServiceShare(fields.text("backend"), 1.0))
    timeout_s = fields.number("timeoutMs", 30_000.0) / 1000
    return Route(
        name=fields.text("name"),
        host=fields.text("host").lower(),
        prefix=fields.text("prefix"),
        kind=kind,
        shares=tuple(shares),
        timeout_s=timeout_s,
        objective_s=fields.number("sloMs", timeout_s * 1000) / 1000,
        max_event_gap_s=fields.number("itlTargetMs", 300.0) / 1000,
        rank=int(fields.number("prio", 0)),
        attempts=max(1, int(fields.number("attempts", 1))),
        public=fields.flag("public"),
        prefix_affinity=fields.flag("affinity"),
        resumable=fields.flag("resumable"),
        regions=frozenset(str(item) for item in fields.items("allowedRegions")),
    )


def _decode_service(fields: _Fields) -> ServiceProfile:
    engine = fields.nested("runtime")
    return ServiceProfile(
        name=fields.text("name"),
        health_path=fields.text("healthPath", ""),
        max_connections=int(fields.number("maxConns", 0)),
        warm_up_s=fields.number("warmupS", 0.0),
        warm_up_rate=fields.number("warmupPerS", 0.0),
        slots=int(engine.number("slots", 0)),
        cache_tokens=int(engine.number("kvCapacity", 0)),
        token_bytes=engine.number("kvTokenBytes", 0.0),
        scale_limits=_decode_scale_limits(fields) if fields.has("autoscale") else None,
    )


def _decode_scale_limits(fields: _Fields) -> ScaleLimits | None:
    """Return the limits of a service's upstreams, or None if they are unusable.

    Unusable limits cost the orders, while an unusable configuration would cost every route.
    """
    try:
        limits = fields.nested("autoscale")
        least, most = limits.whole("min"), limits.whole("max")
        startup_s = limits.number("startupS", 8.0)
    except InvalidRow:
        return None
    return ScaleLimits(least, most, startup_s) if 0 < least <= most else None


def _decode_team(fields: _Fields) -> TeamAccess:
    return TeamAccess(
        name=fields.text("name"),
        keys=frozenset(str(key) for key in fields.items("apiKeys")),
        rank=int(fields.number("prio")) if fields.has("prio") else None,
    )


def decode_upstream(name: str, value: bytes) -> Upstream:
    """Return an upstream from the entry that it wrote; raise InvalidRow.

    Service, domain, address and state are required; the other fields have defaults.
    """
    row = f"servers/{name}"
    if not name.isascii() or not name.isprintable() or not 0 < len(name) <= MAX_NAME_CHARACTERS:
        # The name is sent in a header.
        raise InvalidRow(Finding(ascii(row[:100]), 0, "", ascii(name[:80]), "a printable name"))
    fields = _parse_fields(row, value)
    state = _UPSTREAM_STATES.get(fields.text("state"))
    if state is None:
        raise InvalidRow(Finding(row, 0, "state", fields.text("state"), "ready or draining"))
    address = fields.text("address")
    if not is_address(address):
        raise InvalidRow(Finding(row, 0, "address", ascii(address[:80]), "IP:PORT"))
    started_ms = fields.whole("born", 0)
    return Upstream(
        name=name,
        service=fields.name("backend"),
        domain=fields.name("az"),
        address=address,
        state=state,
        incarnation=f"{name}@{started_ms}",
        version=fields.name("version", ""),
        slots=fields.whole("slots", 0),
        warm_up_left_s=fields.number("warmupLeftMs", 0.0) / 1000,
        started_ms=started_ms,
    )


def decode_move_order(value: bytes, service: str, revision: int) -> MoveOrder:
    """Return the order to move a service to another version; raise InvalidRow."""
    fields = _parse_fields(f"op/rollout/{service}", value)
    return MoveOrder(
        service=fields.text("backend", service),
        version=fields.name("to"),
        duration_s=fields.number("durationS", 10.0),
        revision=revision,
    )


def decode_move_status(value: bytes, service: str) -> MoveStatus:
    """Return the progress of a move, as an instance wrote it; raise InvalidRow."""
    row = f"status/rollout/{service}"
    fields = _parse_fields(row, value)
    try:
        state = MoveState(fields.text("state"))
    except ValueError as error:
        raise InvalidRow(Finding(row, 0, "state", fields.text("state"), "a state")) from error
    return MoveStatus(
        service=service,
        version=fields.text("to"),
        state=state,
        order=int(fields.number("order", 0)),
        started_ms=int(fields.number("startedMs", 0)),
        reason=fields.text("reason", ""),
        share=min(1.0, fields.number("share", 0.0)),
        set_aside=tuple(fields.texts("setAside")),
    )


def encode_move_status(status: MoveStatus) -> bytes:
    """Return the value of a move's status row, which operators read."""
    body: dict[str, object] = {
        "state": status.state.value,
        "to": status.version,
        "order": status.order,
        "startedMs": status.started_ms,
        "reason": status.reason,
        "share": round(status.share, 4),
    }
    if status.set_aside:
        body["setAside"] = list(status.set_aside)
    return json.dumps(body).encode()
