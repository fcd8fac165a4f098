"""Findings about a document: what is wrong, and where."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """Names a place in a document, the value given there and the value expected."""

    file: str
    line: int
    key: str
    given: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f"{self.key}: " if self.key else ""
        return f"{place}: {key}given {self.given}, expected {self.expected}"
