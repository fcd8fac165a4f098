"""Configuration changes: deltas by section and name, their encoding and application."""

from __future__ import annotations

import json
import uuid
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from jayyoke.core.config import Configuration
from jayyoke.core.error import InvalidDocument, JayyokeError
from jayyoke.parser.configuration import build_entries, format_document
from jayyoke.utils.jsontext import parse_json

MAX_BODY_BYTES = 2 << 20
MAX_DECOMPRESSED_BYTES = 16 << 20
# Sections that an operator's document declares; the others record single actions.
DECLARED_SECTIONS = ("services", "classes", "teams")
# These sections hold names only; the value says who acted or why and stays in the log.
NAME_SECTIONS = ("domains_out", "halts", "drains")
SECTIONS = DECLARED_SECTIONS + NAME_SECTIONS

EntryKey = tuple[str, str]


class InvalidChange(JayyokeError):
    """Reports a change or snapshot that cannot be decoded or applied."""


@dataclass(frozen=True, slots=True)
class Delta:
    """Sets or deletes entries by section and name; value None deletes.

    The random id tells equal deltas apart.
    """

    entries: Mapping[EntryKey, Any]
    id: str = field(default_factory=lambda: uuid.uuid4().hex)


def encode_delta(delta: Delta) -> bytes:
    """Return the body of a change row; raise InvalidChange if it is too large."""
    sections: dict[str, dict[str, Any]] = {}
    for (section, name), value in delta.entries.items():
        sections.setdefault(section, {})[name] = value
    body = _pack({"id": delta.id, "sections": sections})
    if len(body) > MAX_BODY_BYTES:
        raise InvalidChange(f"change of {len(body)} bytes exceeds {MAX_BODY_BYTES}")
    return body


def decode_delta(body: bytes) -> Delta:
    """Return the delta of a change row; raise InvalidChange."""
    plain = _unpack(body)
    entries = {}
    try:
        for section, values in plain["sections"].items():
            if section not in SECTIONS:
                # A newer revision wrote it; this instance reads it after its upgrade.
                continue
            for name, value in values.items():
                entries[(section, name)] = value
        return Delta(entries, str(plain["id"]))
    except (KeyError, AttributeError, TypeError) as error:
        raise InvalidChange(f"change is malformed: {error!r}") from error


def diff_configurations(old: Configuration, new: Configuration) -> dict[EntryKey, Any]:
    """Return the declared entries and domain states that turn one configuration into another."""
    entries: dict[EntryKey, Any] = {}
    for section in DECLARED_SECTIONS:
        before, after = getattr(old, section), getattr(new, section)
        changed = {name: spec for name, spec in after.items() if before.get(name) != spec}
        plain = format_document(replace(Configuration(), **{section: changed}))[section]
        for name, value in plain.items():
            entries[(section, name)] = value
        for name in before:
            if name not in after:
                entries[(section, name)] = None
    for name in old.domains_out ^ new.domains_out:
        entries[("domains_out", name)] = "operator" if name in new.domains_out else None
    return entries


def apply_delta(old: Configuration, delta: Delta, version: int) -> Configuration:
    """Return the configuration after a delta; raise InvalidChange."""
    plain: dict[str, dict[str, Any]] = {}
    name_changes: dict[str, dict[str, bool]] = {}
    deleted: dict[str, list[str]] = {}
    for (section, name), value in delta.entries.items():
        if section in NAME_SECTIONS:
            name_changes.setdefault(section, {})[name] = value is not None
        elif value is None:
            deleted.setdefault(section, []).append(name)
        else:
            plain.setdefault(section, {})[name] = value
    try:
        built = build_entries(plain, old, f"change {version}")
    except InvalidDocument as error:
        raise InvalidChange(f"change {version} cannot be applied: {error}") from error
    values: dict[str, Any] = {"version": version}
    for section in {*plain, *deleted}:
        values[section] = _merge(getattr(old, section), getattr(built, section), deleted, section)
    if "teams" in values:
        values["team_by_key"] = _reindex_teams(old, built, deleted.get("teams", ()))
    for section, changes in name_changes.items():
        added = {name for name, present in changes.items() if present}
        values[section] = (getattr(old, section) - changes.keys()) | added
    return replace(old, **values)


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the full state as one body."""
    sections = format_document(configuration)
    for section in NAME_SECTIONS:
        sections[section] = sorted(getattr(configuration, section))
    return _pack({"version": configuration.version, "sections": sections})


def decode_snapshot(body: bytes) -> Configuration:
    """Return the configuration of a snapshot; raise InvalidChange."""
    plain = _unpack(body)
    try:
        sections = plain["sections"]
        entries: dict[EntryKey, Any] = {}
        for section in DECLARED_SECTIONS:
            entries.update({(section, name): value for name, value in sections[section].items()})
        for section in NAME_SECTIONS:
            entries.update({(section, name): "snapshot" for name in sections[section]})
        return apply_delta(Configuration(), Delta(entries), int(plain["version"]))
    except (KeyError, AttributeError, TypeError, ValueError) as error:
        raise InvalidChange(f"snapshot is malformed: {error!r}") from error


def find_dangling(configuration: Configuration, delta: Delta) -> list[EntryKey]:
    """Return the entries that refer to missing ones.

    They are classes whose service does not exist and teams that name a class deleted by the delta.
    """
    found = []
    for name, spec in configuration.classes.items():
        if spec.service not in configuration.services:
            found.append(("classes", name))
    deleted_names = {name for (section, name), value in delta.entries.items() if value is None}
    deleted_names -= configuration.classes.keys()
    if not any(section == "classes" and name in deleted_names for section, name in delta.entries):
        return found
    for name, team in configuration.teams.items():
        if not deleted_names.isdisjoint(team.classes):
            found.append(("teams", name))
    return found


def _merge(
    old: Mapping[str, Any], built: Mapping[str, Any], deleted: dict[str, list[str]], section: str
) -> dict[str, Any]:
    merged = dict(old)
    merged.update(built)
    for name in deleted.get(section, ()):
        merged.pop(name, None)
    return merged


def _reindex_teams(old: Configuration, built: Configuration, deleted: Any) -> dict[str, Any]:
    index = dict(old.team_by_key)
    for name in (*built.teams, *deleted):
        team = old.teams.get(name)
        if team is not None and index.get(team.key_sha256) == team:
            del index[team.key_sha256]
    for team in built.teams.values():
        index[team.key_sha256] = team
    return index


def _pack(plain: dict[str, Any]) -> bytes:
    return zlib.compress(json.dumps(plain, separators=(",", ":")).encode())


def _unpack(body: bytes) -> dict[str, Any]:
    if len(body) > MAX_BODY_BYTES:
        raise InvalidChange(f"body of {len(body)} bytes exceeds {MAX_BODY_BYTES}")
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
        plain = parse_json(text)
    except (zlib.error, ValueError) as error:
        raise InvalidChange(f"body cannot be decoded: {type(error).__name__}") from error
    if decompressor.unconsumed_tail or not isinstance(plain, dict):
        raise InvalidChange("body is too large or not a mapping")
    return plain
