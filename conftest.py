"""Passes over the tests that KNOWN-RED.txt lists, and prints them after the run."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the test ids of KNOWN-RED.txt; an entry's first line holds its id."""
    if not KNOWN_RED.exists():
        return []
    found = []
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if "::" in line and not line.startswith((" ", "#")):
            found.append(line.split()[0])
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Leave out exactly the listed tests."""
    listed = set(read_known_red())
    kept, passed_over = [], []
    for item in items:
        (passed_over if item.nodeid in listed else kept).append(item)
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = kept


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the tests passed over."""
    for name in read_known_red():
        terminalreporter.write_line(f"passed over (KNOWN-RED.txt): {name}")
