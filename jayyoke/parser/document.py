"""Parser of YAML and plain data into values with line numbers, bounded in size and depth."""

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

# libyaml parses a document of 3,900 teams in well under a second; the Python parser is the
# fallback where libyaml is missing.
_LOADER = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
_SCALARS = frozenset(f"tag:yaml.org,2002:{name}" for name in ("null", "bool", "int", "float"))
_TAGS = _SCALARS | {None, "!", *(f"tag:yaml.org,2002:{name}" for name in ("str", "map", "seq"))}


# Replaces a value that already has a finding, so that it is reported only once.
UNREADABLE = object()


@dataclass(frozen=True, slots=True)
class Node:
    """Holds a parsed value and its line, counted from 1, or 0 for data without lines."""

    line: int
    value: Any


class Document:
    """Parses one document and collects its findings.

    `ignores_unknown` is set for data of other instances, whose revision may have more keys.
    """

    __slots__ = ("_value_count", "file", "findings", "ignores_unknown")

    def __init__(self, file: str, ignores_unknown: bool = False):
        self.file = file
        self.ignores_unknown = ignores_unknown
        self.findings: list[Finding] = []
        self._value_count = 0

    def parse(self, text: str) -> Node:
        """Return the root node of a YAML text; errors become findings."""
        if len(text.encode("utf-8", "replace")) > MAX_DOCUMENT_BYTES:
            self.add_finding(
                1, "", f"{len(text)} characters", f"at most {MAX_DOCUMENT_BYTES} bytes"
            )
            return Node(1, UNREADABLE)
        try:
            return self._parse_root(yaml.parse(text, Loader=_LOADER))
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            self.add_finding(mark.line + 1 if mark else 1, "", error.problem, "valid YAML")
        except (yaml.YAMLError, UnicodeError, _LimitExceeded) as error:
            if not isinstance(error, _LimitExceeded):
                self.add_finding(1, "", type(error).__name__, "valid YAML in UTF-8")
        return Node(1, UNREADABLE)

    def wrap(self, plain: Any) -> Node:
        """Return plain data, such as decoded JSON, as a node without lines."""
        try:
            return self._wrap(plain, "", 0)
        except _LimitExceeded:
            return Node(0, UNREADABLE)

    def add_finding(self, line: int, key: str, given: object, expected: str) -> None:
        """Record a finding; findings after the first MAX_FINDINGS are dropped."""
        if len(self.findings) < MAX_FINDINGS:
            self.findings.append(Finding(self.file, line, key, shorten(given), expected))

    def reject(self, node: Node, key: str, expected: str) -> None:
        """Record a finding about an unexpected value, unless the value has one already."""
        if node.value is not UNREADABLE:
            self.add_finding(node.line, key, describe(node.value), expected)

    def _parse_root(self, events: Iterator[yaml.Event]) -> Node:
        for event in events:
            if isinstance(event, (yaml.StreamStartEvent, yaml.DocumentStartEvent)):
                continue
            if isinstance(event, yaml.StreamEndEvent):
                self.add_finding(1, "", "an empty document", "a mapping")
                return Node(1, UNREADABLE)
            root = self._parse_value(event, events, "", 0)
            break
        next(events)
        extra = next(events)
        if not isinstance(extra, yaml.StreamEndEvent):
            self.add_finding(extra.start_mark.line + 1, "", "a second document", "one document")
        return root

    def _parse_value(
        self, event: yaml.Event, events: Iterator[yaml.Event], key: str, depth: int
    ) -> Node:
        line = event.start_mark.line + 1
        self._check_limits(line, key, depth)
        if getattr(event, "tag", None) not in _TAGS:
            self.add_finding(line, key, f"tag {event.tag}", "a value without a tag")
        match event:
            case yaml.MappingStartEvent():
                return Node(line, self._parse_mapping(events, key, depth))
            case yaml.SequenceStartEvent():
                return Node(line, self._parse_sequence(events, key, depth))
            case yaml.AliasEvent():
                self.add_finding(
                    line, key, f"alias *{event.anchor}", "a value without YAML aliases"
                )
                return Node(line, UNREADABLE)
        return Node(line, self._parse_scalar(event))

    def _parse_mapping(
        self, events: Iterator[yaml.Event], path: str, depth: int
    ) -> dict[str, Node]:
        entries: dict[str, Node] = {}
        while not isinstance(event := next(events), yaml.MappingEndEvent):
            line = event.start_mark.line + 1
            name = self._parse_value(event, events, path, depth + 1).value
            name = name if isinstance(name, str) else str(getattr(event, "value", "?"))
            key = join(path, name)
            value = self._parse_value(next(events), events, key, depth + 1)
            if not isinstance(event, yaml.ScalarEvent):
                self.add_finding(line, path, "a key that is not a text", "a text as key")
                continue
            if name in entries:
                self.add_finding(
                    line, key, f"again (first in line {entries[name].line})", "each key once"
                )
                continue
            entries[name] = replace(value, line=line)
        return entries

    def _parse_sequence(self, events: Iterator[yaml.Event], path: str, depth: int) -> list[Node]:
        items: list[Node] = []
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

    def _wrap(self, plain: Any, key: str, depth: int) -> Node:
        self._check_limits(0, key, depth)
        if isinstance(plain, dict):
            entries = {}
            for name, value in plain.items():
                entries[str(name)] = self._wrap(value, join(key, str(name)), depth + 1)
            return Node(0, entries)
        if isinstance(plain, (list, tuple)):
            items = [self._wrap(item, f"{key}[]", depth + 1) for item in plain]
            return Node(0, items)
        return Node(0, plain)

    def _check_limits(self, line: int, key: str, depth: int) -> None:
        self._value_count += 1
        if depth > MAX_DEPTH:
            self.add_finding(line, key, "deeper nesting", f"at most {MAX_DEPTH} levels")
            raise _LimitExceeded
        if self._value_count > MAX_VALUES:
            self.add_finding(line, key, "more values", f"at most {MAX_VALUES} values")
            raise _LimitExceeded


class _LimitExceeded(Exception):
    """Aborts the parsing of a document that exceeds MAX_DEPTH or MAX_VALUES."""


_RESOLVER = yaml.SafeLoader("")


def join(path: str, name: str) -> str:
    """Return the path of a name below a path, such as `services.desk`."""
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
