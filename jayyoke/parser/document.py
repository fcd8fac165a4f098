"""YAML documents whose values keep their place, and readers that collect findings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import yaml

from jayyoke.core.finding import Finding


@dataclass(frozen=True, slots=True)
class Place:
    """Holds a parsed value with its line, counted from 1."""

    line: int
    value: Any


class Document:
    """Reads mappings of a YAML document and collects what is wrong with them."""

    __slots__ = ("file", "findings")

    def __init__(self, file: str):
        self.file = file
        self.findings: list[Finding] = []

    def parse(self, text: str) -> Place:
        """Return the root value; a syntax error becomes a finding and an empty mapping."""
        try:
            node = yaml.compose(text, Loader=yaml.SafeLoader)
        except yaml.MarkedYAMLError as error:
            line = error.problem_mark.line + 1 if error.problem_mark else 1
            self.add(line, "", str(error.problem), "valid YAML")
            return Place(line, {})
        if node is None:
            self.add(1, "", "an empty document", "a mapping")
            return Place(1, {})
        return _convert(node)

    def add(self, line: int, key: str, given: object, expected: str) -> None:
        """Record one finding."""
        self.findings.append(Finding(self.file, line, key, str(given), expected))


def _convert(node: yaml.Node) -> Place:
    line = node.start_mark.line + 1
    if isinstance(node, yaml.MappingNode):
        return Place(line, {str(key.value): _convert(value) for key, value in node.value})
    if isinstance(node, yaml.SequenceNode):
        return Place(line, [_convert(item) for item in node.value])
    return Place(line, yaml.SafeLoader("").construct_object(node))
