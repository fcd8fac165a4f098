"""Parses JSON of other writers; whatever is wrong with it raises ValueError."""

from __future__ import annotations

import json
import re
from typing import Any

# Strings are matched whole, so that brackets and commas in them are skipped.
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)


def parse_json(text: bytes | str, max_bytes: int | None = None) -> Any:
    """Return the value of a JSON text; raise ValueError.

    `json.loads` raises RecursionError for deeply nested texts, which is no ValueError.
    """
    if max_bytes is not None and len(text) > max_bytes:
        raise ValueError(f"{len(text)} bytes exceed {max_bytes}")
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError("too deeply nested") from None


def parse_unique_json(text: bytes | str, max_bytes: int) -> Any:
    """Return the value of a JSON text; raise ValueError also if an object has a name twice."""
    if len(text) > max_bytes:
        raise ValueError(f"{len(text)} bytes exceed {max_bytes}")
    try:
        return json.loads(text, object_pairs_hook=_build_object)
    except RecursionError:
        raise ValueError("too deeply nested") from None


def split_items(text: bytes, name: str) -> list[bytes]:
    """Return the texts of the items of the list that the outermost object has under a name.

    The items are not parsed, so one that is malformed does not affect the others as long as its
    brackets and quotes match. The list is empty if there is none of that name.
    """
    start = re.search(rb'"%s"\s*:\s*\[' % re.escape(name.encode()), text)
    if start is None:
        return []
    items = []
    depth = 0
    item_start = start.end()
    for token in _TOKEN.finditer(text, start.end()):
        match token.group():
            case b"[" | b"{":
                depth += 1
            case b"," if depth == 0:
                items.append(text[item_start : token.start()].strip())
                item_start = token.end()
            case b"]" | b"}" if depth == 0:
                items.append(text[item_start : token.start()].strip())
                break
            case b"]" | b"}":
                depth -= 1
    return [item for item in items if item]


def _build_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError("a name occurs twice in an object")
    return found
