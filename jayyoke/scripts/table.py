"""Plain text tables and lines that the tool prints."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any


def format_table(titles: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows below their titles in columns of equal width."""
    cells = [[str(cell) for cell in row] for row in (titles, *rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(titles))]
    lines = []
    for row in cells:
        padded = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append("  ".join(padded).rstrip())
    return "\n".join(lines)


def format_status(body: dict[str, Any]) -> str:
    """Return the instances of a status, and those that have not confirmed the version."""
    rows = []
    for item in body["instances"]:
        incarnation = "?" if item["incarnation"] is None else item["incarnation"]
        if not item["answers"]:
            rows.append((item["instance"], item["domain"], incarnation, "?", "?", "silent"))
            continue
        age_s = item["confirmed_age_s"]
        age = "never" if age_s is None else f"{age_s:.1f} s ago"
        ready = "ready" if item["ready"] else "not ready"
        version = item["configuration"]
        rows.append((item["instance"], item["domain"], incarnation, version, age, ready))
    titles = ("instance", "domain", "incarnation", "version", "confirmed", "state")
    return format_table(titles, rows) + "\n" + format_in_force(body["version"], body["unconfirmed"])


def format_in_force(version: int, unconfirmed: Sequence[str] | None) -> str:
    """Return a line that tells whether a version is in force, and where it is not."""
    if unconfirmed is None:
        return f"version {version}: no instance answered, so it is not known where it is in force"
    if not unconfirmed:
        return f"version {version} is in force at all live instances"
    return f"version {version} is not confirmed by: {', '.join(unconfirmed)}"


def format_changes(body: dict[str, Any]) -> str:
    """Return the changes that a request made, one line for each kind."""
    if not body["changed"]:
        return f"nothing changed; version {body['version']} is in force"
    lines = [f"accepted as version {body['version']}"]
    for part, kinds in body["changes"].items():
        for kind, names in kinds.items():
            lines.append(f"  {part} {kind}: {', '.join(names)}")
    return "\n".join(lines)
