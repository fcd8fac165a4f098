"""Deselects the tests that KNOWN-RED.txt lists, and prints them after the run."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED_PATH = Path(__file__).parent / "KNOWN-RED.txt"


def read_known_red() -> list[str]:
    """Return the test ids of KNOWN-RED.txt; an entry's first line holds its id."""
    if not KNOWN_RED_PATH.exists():
        return []
    test_ids = []
    for line in KNOWN_RED_PATH.read_text(encoding="utf-8").splitlines():
        if "::" in line and not line.startswith((" ", "#")):
            test_ids.append(line.split()[0])
    return test_ids


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect exactly the listed tests."""
    listed = set(read_known_red())
    selected, deselected = [], []
    for item in items:
        (deselected if item.nodeid in listed else selected).append(item)
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = selected


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the ids of the listed tests."""
    for test_id in read_known_red():
        terminalreporter.write_line(f"passed over (KNOWN-RED.txt): {test_id}")
