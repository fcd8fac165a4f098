"""The configuration that operators declare, from YAML to records and to and from JSON."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Any

from jayyoke.core.config import (
    ClassKind,
    ClassSpec,
    Configuration,
    ServiceSpec,
    Settle,
    TeamSpec,
)
from jayyoke.core.error import InvalidDocument
from jayyoke.parser.document import Document


def parse_configuration(text: str, file: str) -> Configuration:
    """Return the configuration of a YAML text; raise InvalidDocument with all findings."""
    document = Document(file)
    root = document.parse(text)
    plain = _strip(root)
    if document.findings:
        raise InvalidDocument(document.findings)
    return build_configuration(plain, 0)


def build_configuration(plain: dict[str, Any], version: int) -> Configuration:
    """Return the records of a plain mapping that was checked before."""
    services = {}
    for name, value in plain.get("services", {}).items():
        value = dict(value, settle=Settle(value.get("settle", "none")))
        services[name] = ServiceSpec(name=name, **value)
    classes = {}
    for name, value in plain.get("classes", {}).items():
        value = dict(value, kind=ClassKind(value["kind"]))
        classes[name] = ClassSpec(name=name, **value)
    teams = {}
    for name, value in plain.get("teams", {}).items():
        teams[name] = TeamSpec(name, value["key_sha256"], tuple(value.get("classes", ())))
    out = frozenset(plain.get("domains_out", ()))
    return Configuration(version, services, classes, teams, out)


def format_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return a plain mapping that build_configuration accepts."""
    plain: dict[str, Any] = {"services": {}, "classes": {}, "teams": {}}
    for name, service in configuration.services.items():
        plain["services"][name] = asdict(service) | {"settle": service.settle.value}
        del plain["services"][name]["name"]
    for name, spec in configuration.classes.items():
        plain["classes"][name] = asdict(spec) | {"kind": spec.kind.value}
        del plain["classes"][name]["name"]
    for name, team in configuration.teams.items():
        plain["teams"][name] = {"key_sha256": team.key_sha256, "classes": list(team.classes)}
    plain["domains_out"] = sorted(configuration.domains_out)
    return json.loads(json.dumps(plain))


def _strip(place: Any) -> Any:
    if isinstance(place.value, dict):
        return {key: _strip(value) for key, value in place.value.items()}
    if isinstance(place.value, list):
        return [_strip(value) for value in place.value]
    return place.value
