"""Conversion of operators' configurations between YAML, plain data and records."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Mapping
from typing import Any

from jayyoke.core import registry
from jayyoke.core.config import (
    ClassKind,
    ClassSpec,
    Configuration,
    ServiceSpec,
    SettlementMethod,
    TeamSpec,
)
from jayyoke.core.error import InvalidDocument
from jayyoke.core.protocol import find_protocol
from jayyoke.parser.document import Document, Node
from jayyoke.parser.section import NAME_FORM, Section, is_name
from jayyoke.parser.unit import format_duration

MAX_SERVICES = 1000
MAX_CLASSES = 1000
MAX_TEAMS = 20_000
MAX_DOMAINS = 1000
MAX_DURATION_S = 30 * 86400.0

_NO_WEIGHT = "no weight: the fleet shares work out by itself to meet the targets of the classes"
_NO_UPSTREAM = "no upstream: the platform's instance list names the upstreams of a service"
_NO_ADDRESS = "no address: the platform's instance list tells where upstreams are"
FORBIDDEN = {
    "weight": _NO_WEIGHT,
    "weights": _NO_WEIGHT,
    "upstream": _NO_UPSTREAM,
    "upstreams": _NO_UPSTREAM,
    "address": _NO_ADDRESS,
    "addresses": _NO_ADDRESS,
    "host": _NO_ADDRESS,
    "port": _NO_ADDRESS,
    "url": _NO_ADDRESS,
    "domains_out": "no domain states: use `jayyoke domain out NAME` and `jayyoke domain back NAME`",
}
_KINDS_BY_KEY = {
    "first_token_within": (ClassKind.CHAT,),
    "between_tokens_within": (ClassKind.CHAT,),
    "model": (ClassKind.CHAT,),
    "stale_for": (ClassKind.LOOKUP,),
    "keep": (ClassKind.ONCE, ClassKind.LATE, ClassKind.TAG),
}


def parse_configuration(text: str, file: str) -> Configuration:
    """Return the configuration of a YAML text; raise InvalidDocument with all findings."""
    document = Document(file)
    root = document.parse(text)
    return _read_configuration(document, root, 0, with_domains=False)


def parse_document(plain: Any, file: str = "request") -> Configuration:
    """Return the configuration of an operator's decoded JSON document; raise InvalidDocument."""
    document = Document(file)
    return _read_configuration(document, document.wrap(plain), 0, with_domains=False)


def build_configuration(plain: Any, version: int, file: str = "") -> Configuration:
    """Return the configuration of plain data from format_configuration; raise InvalidDocument."""
    document = Document(file or f"configuration {version}", ignores_unknown=True)
    return _read_configuration(document, document.wrap(plain), version, with_domains=True)


def build_entries(plain: Any, known: Configuration, file: str) -> Configuration:
    """Return a configuration of only the given entries; raise InvalidDocument.

    The entries may refer to services and classes of `known`.
    """
    document = Document(file, ignores_unknown=True)
    return _read_configuration(document, document.wrap(plain), 0, with_domains=True, known=known)


def format_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return plain data that build_configuration accepts, domain states included."""
    plain = format_document(configuration)
    plain["domains_out"] = sorted(configuration.domains_out)
    return plain


def format_document(configuration: Configuration) -> dict[str, Any]:
    """Return the document that an operator can apply again, without domain states."""
    services = {spec.name: _format_service(spec) for spec in configuration.services.values()}
    classes = {spec.name: _format_class(spec) for spec in configuration.classes.values()}
    teams = {}
    for team in configuration.teams.values():
        teams[team.name] = {"key_sha256": team.key_sha256, "classes": list(team.classes)}
    return {"services": services, "classes": classes, "teams": teams}


def _read_configuration(
    document: Document,
    root: Node,
    version: int,
    with_domains: bool,
    known: Configuration | None = None,
) -> Configuration:
    section = Section(document, root, "")
    # An operator's document that lacks a section would remove all its entries, mostly by mistake.
    required = "" if with_domains else "a mapping, {} if it shall be empty"
    services: ChainMap[str, ServiceSpec] = ChainMap({}, *([known.services] if known else []))
    for name, node in section.section("services", required).entries(MAX_SERVICES):
        services[name] = _read_service(Section(document, node, f"services.{name}"), name)
    classes: ChainMap[str, ClassSpec] = ChainMap({}, *([known.classes] if known else []))
    for name, node in section.section("classes", required).entries(MAX_CLASSES):
        classes[name] = _read_class(Section(document, node, f"classes.{name}"), name, services)
    teams: dict[str, TeamSpec] = {}
    team_by_digest: dict[str, str] = {}
    for name, node in section.section("teams", required).entries(MAX_TEAMS):
        team = _read_team(Section(document, node, f"teams.{name}"), name, classes, team_by_digest)
        teams[name] = team
    domains_out = _read_domains(section) if with_domains else frozenset()
    section.reject_unknown_keys(FORBIDDEN)
    if document.findings:
        raise InvalidDocument(document.findings)
    return Configuration(version, services.maps[0], classes.maps[0], teams, domains_out)


def _read_service(section: Section, name: str) -> ServiceSpec:
    defaults = ServiceSpec(name, "")
    protocol = section.choice("protocol", registry.list_plugins("protocol"))
    settle = section.choice(
        "settle", [item.value for item in SettlementMethod], SettlementMethod.NONE.value
    )
    checks_fencing = section.flag("checks_fencing", False)
    stores_durably = section.flag("stores_durably", False)
    bound = section.number("load_bound", defaults.load_bound, 1.0, 10.0)
    workers = section.section("workers")
    cold = workers.count("cold_tokens", defaults.cold_work_tokens, 1, 10**9)
    full = workers.count("full_tokens", max(defaults.full_work_tokens, cold), 1, 10**9)
    warm_up_s = workers.duration("warm_up", defaults.warm_up_s, 0.0, 86400.0)
    if cold > full:
        workers.reject("cold_tokens", f"at most full_tokens, {full}")
    workers.reject_unknown_keys(FORBIDDEN)
    section.reject_unknown_keys(FORBIDDEN)
    return ServiceSpec(
        name=name,
        protocol=protocol,
        settle=SettlementMethod(settle),
        checks_fencing=checks_fencing,
        stores_durably=stores_durably,
        load_bound=bound,
        cold_work_tokens=cold,
        full_work_tokens=full,
        warm_up_s=warm_up_s,
    )


def _read_class(section: Section, name: str, services: Mapping[str, ServiceSpec]) -> ClassSpec:
    defaults = ClassSpec(name, ClassKind.CHAT, "", 0.0)
    kind_name = section.choice("kind", [item.value for item in ClassKind])
    kind = ClassKind(kind_name) if kind_name else ClassKind.CHAT
    service = section.name("service")
    within_s = section.duration("within", None, 0.001, MAX_DURATION_S)
    first_token_s = min(defaults.first_token_within_s, within_s or MAX_DURATION_S)
    spec = ClassSpec(
        name=name,
        kind=kind,
        service=service,
        within_s=within_s,
        first_token_within_s=section.duration(
            "first_token_within", first_token_s, 0.001, MAX_DURATION_S
        ),
        between_tokens_within_s=section.duration(
            "between_tokens_within", defaults.between_tokens_within_s, 0.001, 3600.0
        ),
        target_share=section.number("sure", defaults.target_share, 0.5, 0.99999),
        max_repeats=section.count("repeat", 0, 0, 10),
        stale_for_s=section.duration("stale_for", 0.0, 0.0, MAX_DURATION_S),
        keep_s=section.duration("keep", defaults.keep_s, 1.0, MAX_DURATION_S),
        priority=section.count("priority", defaults.priority, 0, 9),
        model=section.text("model", ""),
    )
    section.reject_unknown_keys(FORBIDDEN)
    if kind_name:
        _check_class(section, spec, services)
    return spec


def _supports(protocol: str, kind: ClassKind) -> bool:
    return kind in find_protocol(protocol).class_kinds


def _check_class(section: Section, spec: ClassSpec, services: Mapping[str, ServiceSpec]) -> None:
    if spec.service and spec.service not in services:
        section.reject("service", "a service that exists: " + _format_names(services))
    elif spec.service:
        protocol = services[spec.service].protocol
        if protocol and not _supports(protocol, spec.kind):
            fitting = [
                name for name in registry.list_plugins("protocol") if _supports(name, spec.kind)
            ]
            expected = f"a service of protocol {' or '.join(fitting)} for kind {spec.kind.value}"
            section.reject("service", expected)
    for key, kinds in _KINDS_BY_KEY.items():
        if section.has(key) and spec.kind not in kinds:
            names = " and ".join(kind.value for kind in kinds)
            section.reject(key, f"no such key for kind {spec.kind.value}; it belongs to {names}")
    if spec.kind is ClassKind.ONCE and spec.max_repeats:
        section.reject("repeat", "0: a once-only request is never sent a second time")
    if spec.kind is ClassKind.CHAT and spec.first_token_within_s > spec.within_s > 0:
        section.reject("first_token_within", f"at most within, {spec.within_s:g}s")


def _read_team(
    section: Section, name: str, classes: Mapping[str, ClassSpec], team_by_digest: dict[str, str]
) -> TeamSpec:
    digest = section.digest("key_sha256")
    if digest and digest in team_by_digest:
        expected = f"a key of its own; team {team_by_digest[digest]!r} has the same"
        section.document.add_finding(
            section.line, f"{section.path}.key_sha256", "a key in use", expected
        )
    team_by_digest.setdefault(digest, name)
    allowed = []
    for node in section.items("classes", "classes", MAX_CLASSES):
        if isinstance(node.value, str) and node.value in classes:
            allowed.append(node.value)
            continue
        path = f"{section.path}.classes"
        expected = "a class that exists: " + _format_names(classes)
        section.document.reject(node, path, expected)
    section.reject_unknown_keys(FORBIDDEN)
    return TeamSpec(name, digest, tuple(allowed))


def _read_domains(section: Section) -> frozenset[str]:
    names = set()
    for node in section.items("domains_out", "domains", MAX_DOMAINS):
        if is_name(node.value):
            names.add(node.value)
            continue
        section.document.reject(node, "domains_out", NAME_FORM)
    return frozenset(names)


def _format_service(spec: ServiceSpec) -> dict[str, Any]:
    return {
        "protocol": spec.protocol,
        "settle": spec.settle.value,
        "checks_fencing": spec.checks_fencing,
        "stores_durably": spec.stores_durably,
        "load_bound": spec.load_bound,
        "workers": {
            "cold_tokens": spec.cold_work_tokens,
            "full_tokens": spec.full_work_tokens,
            "warm_up": format_duration(spec.warm_up_s),
        },
    }


def _format_class(spec: ClassSpec) -> dict[str, Any]:
    plain: dict[str, Any] = {
        "kind": spec.kind.value,
        "service": spec.service,
        "within": format_duration(spec.within_s),
        "first_token_within": format_duration(spec.first_token_within_s),
        "between_tokens_within": format_duration(spec.between_tokens_within_s),
        "sure": spec.target_share,
        "repeat": spec.max_repeats,
        "stale_for": format_duration(spec.stale_for_s),
        "keep": format_duration(spec.keep_s),
        "priority": spec.priority,
        "model": spec.model,
    }
    for key, kinds in _KINDS_BY_KEY.items():
        if spec.kind not in kinds or plain[key] == "":
            del plain[key]
    return plain


def _format_names(names: Mapping[str, Any]) -> str:
    shown = sorted(names)[:10]
    more = ", ..." if len(names) > len(shown) else ""
    return ", ".join(shown) + more if shown else "none is declared"
