"""YAML and plain documents whose values keep their place, within bounds of size and depth."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

import yaml

from jayyoke.core.finding import Finding

MAX_DOCUMENT_BYTES = 4 << 20
MAX_DEPTH = 8
MAX_VALUES = 200_000
MAX_FINDINGS = 200
MAX_SHOWN_CHARACTERS = 60

# libyaml parses a document of 3,900 teams in well under a second; the pure parser is the fallback.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SCALARS = frozenset(f"tag:yaml.org,2002:{name}" for name in ("null", "bool", "int", "float"))
_TAGS = _SCALARS | {None, "!", *(f"tag:yaml.org,2002:{name}" for name in ("str", "map", "seq"))}


# Stands for a value that already has a finding, so that readers report it only once.
UNREADABLE = object()


@dataclass(frozen=True, slots=True)
class Place:
    """Holds a parsed value with its line, counted from 1; 0 means that there is no text."""

    line: int
    value: Any


class Document:
    """Parses one document and collects what is wrong with it."""

    __slots__ = ("_values", "file", "findings")

    def __init__(self, file: str):
        self.file = file
        self.findings: list[Finding] = []
        self._values = 0

    def parse(self, text: str) -> Place:
        """Return the root value; whatever cannot be read becomes a finding."""
        if len(text.encode("utf-8", "replace")) > MAX_DOCUMENT_BYTES:
            self.add(1, "", f"{len(text)} characters", f"at most {MAX_DOCUMENT_BYTES} bytes")
            return Place(1, UNREADABLE)
        try:
            return self._parse_root(yaml.parse(text, Loader=_LOADER))
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            self.add(mark.line + 1 if mark else 1, "", error.problem, "valid YAML")
        except (yaml.YAMLError, UnicodeError, _Bounded) as error:
            if not isinstance(error, _Bounded):
                self.add(1, "", type(error).__name__, "valid YAML in UTF-8")
        return Place(1, UNREADABLE)

    def wrap(self, plain: Any) -> Place:
        """Return plain data, for example parsed JSON, as places without lines."""
        try:
            return self._wrap(plain, "", 0)
        except _Bounded:
            return Place(0, UNREADABLE)

    def add(self, line: int, key: str, given: object, expected: str) -> None:
        """Record one finding; findings beyond the bound are dropped."""
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(self.file, line, key, shorten(given), expected))

    def reject(self, place: Place, key: str, expected: str) -> None:
        """Record a finding about a value that is not what was expected."""
        if place.value is not UNREADABLE:
            self.add(place.line, key, describe(place.value), expected)

    def _parse_root(self, events: Iterator[yaml.Event]) -> Place:
        for event in events:
            if isinstance(event, (yaml.StreamStartEvent, yaml.DocumentStartEvent)):
                continue
            if isinstance(event, yaml.StreamEndEvent):
                self.add(1, "", "an empty document", "a mapping")
                return Place(1, UNREADABLE)
            root = self._parse_value(event, events, "", 0)
            break
        next(events)
        extra = next(events)
        if not isinstance(extra, yaml.StreamEndEvent):
            self.add(extra.start_mark.line + 1, "", "a second document", "one document")
        return root

    def _parse_value(
        self, event: yaml.Event, events: Iterator[yaml.Event], key: str, depth: int
    ) -> Place:
        line = event.start_mark.line + 1
        self._count(line, key, depth)
        if getattr(event, "tag", None) not in _TAGS:
            self.add(line, key, f"tag {event.tag}", "a value without a tag")
        match event:
            case yaml.MappingStartEvent():
                return Place(line, self._parse_mapping(events, key, depth))
            case yaml.SequenceStartEvent():
                return Place(line, self._parse_sequence(events, key, depth))
            case yaml.AliasEvent():
                self.add(line, key, f"alias *{event.anchor}", "a value without YAML aliases")
                return Place(line, UNREADABLE)
        return Place(line, self._parse_scalar(event))

    def _parse_mapping(
        self, events: Iterator[yaml.Event], path: str, depth: int
    ) -> dict[str, Place]:
        entries: dict[str, Place] = {}
        while not isinstance(event := next(events), yaml.MappingEndEvent):
            line = event.start_mark.line + 1
            name = self._parse_value(event, events, path, depth + 1).value
            name = name if isinstance(name, str) else str(getattr(event, "value", "?"))
            key = join(path, name)
            value = self._parse_value(next(events), events, key, depth + 1)
            if not isinstance(event, yaml.ScalarEvent):
                self.add(line, path, "a key that is not a text", "a text as key")
                continue
            if name in entries:
                self.add(line, key, f"again (first in line {entries[name].line})", "each key once")
                continue
            entries[name] = replace(value, line=line)
        return entries

    def _parse_sequence(self, events: Iterator[yaml.Event], path: str, depth: int) -> list[Place]:
        items: list[Place] = []
        while not isinstance(event := next(events), yaml.SequenceEndEvent):
            items.append(self._parse_value(event, events, f"{path}[{len(items)}]", depth + 1))
        return items

    def _parse_scalar(self, event: yaml.ScalarEvent) -> Any:
        if event.tag not in _TAGS:
            return UNREADABLE
        tag = event.tag
        if tag is None or tag == "!":
            tag = _RESOLVER.resolve(yaml.ScalarNode, event.value, event.implicit)
        if tag not in _SCALARS:
            return event.value
        try:
            return _RESOLVER.construct_object(yaml.ScalarNode(tag, event.value), deep=True)
        except (ValueError, KeyError, IndexError, yaml.YAMLError):
            return event.value

    def _wrap(self, plain: Any, key: str, depth: int) -> Place:
        self._count(0, key, depth)
        if isinstance(plain, dict):
            entries = {}
            for name, value in plain.items():
                entries[str(name)] = self._wrap(value, join(key, str(name)), depth + 1)
            return Place(0, entries)
        if isinstance(plain, (list, tuple)):
            items = [self._wrap(item, f"{key}[]", depth + 1) for item in plain]
            return Place(0, items)
        return Place(0, plain)

    def _count(self, line: int, key: str, depth: int) -> None:
        self._values += 1
        if depth > MAX_DEPTH:
            self.add(line, key, "deeper nesting", f"at most {MAX_DEPTH} levels")
            raise _Bounded
        if self._values > MAX_VALUES:
            self.add(line, key, "more values", f"at most {MAX_VALUES} values")
            raise _Bounded


class _Bounded(Exception):
    """Ends the reading of a document that exceeds a bound."""


_RESOLVER = yaml.SafeLoader("")


def join(path: str, name: str) -> str:
    """Return the key of a name below a path."""
    return f"{path}.{name}" if path else name


def shorten(value: object) -> str:
    """Return a value as one line of bounded length."""
    text = str(value).replace("\n", " ")
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[: MAX_SHOWN_CHARACTERS - 3]}..."


def describe(value: object) -> str:
    """Return a value as findings show it."""
    if value is None:
        return "nothing"
    if isinstance(value, dict):
        return "a mapping"
    if isinstance(value, list):
        return "a list"
    if isinstance(value, bool):
        return str(value).lower()
    return repr(value) if isinstance(value, str) else str(value)
