"""Typed access to one mapping of a document; errors become findings."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Mapping, Sequence

from jayyoke.parser.document import Document, Node, join
from jayyoke.parser.unit import format_duration, parse_count, parse_duration

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
NAME_FORM = "a name of at most 63 letters, digits, '.', '_' and '-'"


class Section:
    """Reads typed values from one mapping and reports unknown keys.

    Unusable values become findings; their readers then return the default or an empty value.
    """

    __slots__ = ("_entries", "_read_keys", "_readable", "document", "line", "path")

    def __init__(self, document: Document, node: Node, path: str):
        self.document = document
        self.path = path
        self.line = node.line
        self._read_keys: list[str] = []
        self._entries: dict[str, Node] = {}
        self._readable = isinstance(node.value, dict)
        if isinstance(node.value, dict):
            self._entries = node.value
        else:
            document.reject(node, path, "a mapping")

    def has(self, key: str) -> bool:
        """Tell whether the mapping has a key, whatever its value."""
        return key in self._entries

    def get(self, key: str, expected: str = "") -> Node | None:
        """Return a key's value, or None; a missing key is a finding if `expected` is given."""
        self._read_keys.append(key)
        node = self._entries.get(key)
        if node is None and expected and self._readable:
            self.document.add_finding(self.line, join(self.path, key), "nothing", expected)
        return node

    def reject(self, key: str, expected: str) -> None:
        """Record a finding about the value of a key."""
        node = self._entries.get(key, Node(self.line, None))
        self.document.reject(node, join(self.path, key), expected)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text, which is required unless there is a default."""
        node = self.get(key, "a text" if default is None else "")
        if node is None:
            return default or ""
        if isinstance(node.value, str) and node.value:
            return node.value
        self.reject(key, "a text")
        return default or ""

    def name(self, key: str) -> str:
        """Return a required name, as `is_name` defines it."""
        node = self.get(key, NAME_FORM)
        if node is None:
            return ""
        if is_name(node.value):
            return node.value
        self.reject(key, NAME_FORM)
        return ""

    def choice(self, key: str, choices: Sequence[str], default: str | None = None) -> str:
        """Return one of the given texts, which is required unless there is a default."""
        expected = "one of " + ", ".join(choices)
        node = self.get(key, expected if default is None else "")
        if node is None:
            return default or ""
        if isinstance(node.value, str) and node.value in choices:
            return node.value
        self.reject(key, expected)
        return default or ""

    def flag(self, key: str, default: bool) -> bool:
        """Return true or false."""
        node = self.get(key)
        if node is None:
            return default
        if isinstance(node.value, bool):
            return node.value
        self.reject(key, "true or false")
        return default

    def duration(self, key: str, default: float | None, low: float, high: float) -> float:
        """Return a duration in seconds, from `low` to `high` inclusive."""
        bounds = f"from {format_duration(low)} to {format_duration(high)}"
        expected = f"a duration {bounds}, such as 300ms, 1s, 10m or 1h"
        node = self.get(key, expected if default is None else "")
        if node is None:
            return default or 0.0
        seconds = parse_duration(node.value)
        if seconds is not None and low <= seconds <= high:
            return seconds
        self.reject(key, expected)
        return default or 0.0

    def count(self, key: str, default: int, low: int, high: int) -> int:
        """Return a whole number, written as such or with a unit such as `16k`."""
        node = self.get(key)
        if node is None:
            return default
        number = parse_count(node.value)
        if number is not None and low <= number <= high:
            return number
        self.reject(key, f"a whole number from {low} to {high}, such as {default}")
        return default

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Return a number from `low` to `high` inclusive."""
        node = self.get(key)
        if node is None:
            return default
        value = node.value
        usable = isinstance(value, (int, float)) and not isinstance(value, bool)
        if usable and math.isfinite(value) and low <= value <= high:
            return float(value)
        self.reject(key, f"a number from {low:g} to {high:g}")
        return default

    def digest(self, key: str) -> str:
        """Return a required SHA-256 in hexadecimal digits."""
        expected = "the SHA-256 of the key, 64 lower-case hexadecimal digits"
        node = self.get(key, expected)
        if node is None:
            return ""
        if isinstance(node.value, str) and _SHA256.fullmatch(node.value):
            return node.value
        # The value may be the secret key itself, so the finding does not show it.
        self.document.add_finding(node.line, join(self.path, key), "something else", expected)
        return ""

    def items(self, key: str, expected: str, limit: int) -> list[Node]:
        """Return the items of an optional list."""
        node = self.get(key)
        if node is None:
            return []
        if isinstance(node.value, list) and len(node.value) <= limit:
            return node.value
        self.reject(key, f"a list of at most {limit} {expected}")
        return []

    def section(self, key: str, expected: str = "") -> Section:
        """Return the mapping below a key, which is optional unless `expected` is given."""
        node = self.get(key, expected)
        node = Node(self.line, {}) if node is None else node
        return Section(self.document, node, join(self.path, key))

    def entries(self, limit: int) -> list[tuple[str, Node]]:
        """Return the names that the operator chose as keys, with their values."""
        found = []
        for name, node in self._entries.items():
            self._read_keys.append(name)
            if not is_name(name):
                self.document.add_finding(node.line, join(self.path, name), name, NAME_FORM)
                continue
            found.append((name, node))
        if len(found) > limit:
            self.document.add_finding(
                self.line, self.path, f"{len(found)} entries", f"at most {limit}"
            )
            return []
        return found

    def reject_unknown_keys(self, forbidden: Mapping[str, str] | None = None) -> None:
        """Report the keys that were not read, with the reason for those that are forbidden."""
        if self.document.ignores_unknown:
            return
        forbidden = forbidden or {}
        for key, node in self._entries.items():
            if key in self._read_keys:
                continue
            path = join(self.path, key)
            if key.lower() in forbidden:
                self.document.reject(node, path, forbidden[key.lower()])
                continue
            # The value is not shown, since it may be a secret below a misspelt key.
            expected = self._suggest(key, forbidden)
            self.document.add_finding(node.line, path, "an unknown key", expected)

    def _suggest(self, key: str, forbidden: Mapping[str, str]) -> str:
        names = sorted({*self._read_keys, *forbidden})
        close = difflib.get_close_matches(key[:100].lower(), names, n=1, cutoff=0.6)
        if close and close[0] not in self._read_keys:
            return forbidden[close[0]]
        if close:
            return f"a known key; did you mean {close[0]}?"
        return "one of " + ", ".join(sorted(set(self._read_keys)))


def is_name(value: object) -> bool:
    """Tell whether a value may be the name of a service, class, team, domain or instance."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None
