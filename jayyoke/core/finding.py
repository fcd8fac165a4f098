"""Findings: errors in a document, with their positions."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """Describes one error: its position in a document, the given value and what was expected."""

    file: str
    line: int
    key: str
    given: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f"{self.key}: " if self.key else ""
        return f"{place}: {key}given {self.given}, expected {self.expected}"
