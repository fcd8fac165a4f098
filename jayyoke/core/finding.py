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
        return f"{self.file}:{self.line}: {self.key}: given {self.given}, expected {self.expected}"
