"""Typed reading of one mapping of a document; whatever is wrong becomes a finding."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Mapping, Sequence

from jayyoke.parser.document import Document, Place, join
from jayyoke.parser.unit import format_duration, parse_count, parse_duration

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SHA256 = re.compile(r"[0-9a-f]{64}")
NAME_FORM = "a name of at most 63 letters, digits, '.', '_' and '-'"


class Section:
    """Reads the keys of one mapping and reports the keys that nothing asked for."""

    __slots__ = ("_asked", "_entries", "_readable", "document", "line", "path")

    def __init__(self, document: Document, place: Place, path: str):
        self.document = document
        self.path = path
        self.line = place.line
        self._asked: list[str] = []
        self._entries: dict[str, Place] = {}
        self._readable = isinstance(place.value, dict)
        if isinstance(place.value, dict):
            self._entries = place.value
        else:
            document.reject(place, path, "a mapping")

    def has(self, key: str) -> bool:
        """Tell whether the mapping holds a key, whatever its value."""
        return key in self._entries

    def take(self, key: str, expected: str = "") -> Place | None:
        """Return the place of a key; a missing key is a finding if `expected` is given."""
        self._asked.append(key)
        place = self._entries.get(key)
        if place is None and expected and self._readable:
            self.document.add(self.line, join(self.path, key), "nothing", expected)
        return place

    def reject(self, key: str, expected: str) -> None:
        """Record a finding about the value of a key."""
        place = self._entries.get(key, Place(self.line, None))
        self.document.reject(place, join(self.path, key), expected)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text; it must be present unless there is a default."""
        place = self.take(key, "a text" if default is None else "")
        if place is None:
            return default or ""
        if isinstance(place.value, str) and place.value:
            return place.value
        self.reject(key, "a text")
        return default or ""

    def name(self, key: str) -> str:
        """Return the name of something else in the document."""
        place = self.take(key, NAME_FORM)
        if place is None:
            return ""
        if is_name(place.value):
            return place.value
        self.reject(key, NAME_FORM)
        return ""

    def choice(self, key: str, choices: Sequence[str], default: str | None = None) -> str:
        """Return one of the given texts."""
        expected = "one of " + ", ".join(choices)
        place = self.take(key, expected if default is None else "")
        if place is None:
            return default or ""
        if isinstance(place.value, str) and place.value in choices:
            return place.value
        self.reject(key, expected)
        return default or ""

    def flag(self, key: str, default: bool) -> bool:
        """Return true or false."""
        place = self.take(key)
        if place is None:
            return default
        if isinstance(place.value, bool):
            return place.value
        self.reject(key, "true or false")
        return default

    def duration(self, key: str, default: float | None, low: float, high: float) -> float:
        """Return seconds; `low` and `high` are included."""
        bounds = f"from {format_duration(low)} to {format_duration(high)}"
        expected = f"a duration {bounds}, such as 300ms, 1s, 10m or 1h"
        place = self.take(key, expected if default is None else "")
        if place is None:
            return default or 0.0
        seconds = parse_duration(place.value)
        if seconds is not None and low <= seconds <= high:
            return seconds
        self.reject(key, expected)
        return default or 0.0

    def count(self, key: str, default: int, low: int, high: int) -> int:
        """Return a whole number, given as such or with a unit such as `16k`."""
        place = self.take(key)
        if place is None:
            return default
        number = parse_count(place.value)
        if number is not None and low <= number <= high:
            return number
        self.reject(key, f"a whole number from {low} to {high}, such as {default}")
        return default

    def number(self, key: str, default: float, low: float, high: float) -> float:
        """Return a number; `low` and `high` are included."""
        place = self.take(key)
        if place is None:
            return default
        value = place.value
        usable = isinstance(value, (int, float)) and not isinstance(value, bool)
        if usable and math.isfinite(value) and low <= value <= high:
            return float(value)
        self.reject(key, f"a number from {low:g} to {high:g}")
        return default

    def digest(self, key: str) -> str:
        """Return a SHA-256 in hexadecimal digits."""
        expected = "the SHA-256 of the key, 64 lower-case hexadecimal digits"
        place = self.take(key, expected)
        if place is None:
            return ""
        if isinstance(place.value, str) and _SHA256.fullmatch(place.value):
            return place.value
        # Whatever stands here may be the key itself, so the finding does not repeat it.
        self.document.add(place.line, join(self.path, key), "something else", expected)
        return ""

    def items(self, key: str, expected: str, limit: int) -> list[Place]:
        """Return the items of an optional list."""
        place = self.take(key)
        if place is None:
            return []
        if isinstance(place.value, list) and len(place.value) <= limit:
            return place.value
        self.reject(key, f"a list of at most {limit} {expected}")
        return []

    def section(self, key: str, expected: str = "") -> Section:
        """Return the mapping below a key, which is optional unless `expected` is given."""
        place = self.take(key, expected)
        place = Place(self.line, {}) if place is None else place
        return Section(self.document, place, join(self.path, key))

    def entries(self, limit: int) -> list[tuple[str, Place]]:
        """Return all keys as names that the operator chose, with their places."""
        found = []
        for name, place in self._entries.items():
            self._asked.append(name)
            if not is_name(name):
                self.document.add(place.line, join(self.path, name), name, NAME_FORM)
                continue
            found.append((name, place))
        if len(found) > limit:
            self.document.add(self.line, self.path, f"{len(found)} entries", f"at most {limit}")
            return []
        return found

    def finish(self, forbidden: Mapping[str, str] | None = None) -> None:
        """Report keys that nothing asked for, with the reason for those that are forbidden."""
        forbidden = forbidden or {}
        for key, place in self._entries.items():
            if key in self._asked:
                continue
            path = join(self.path, key)
            if key.lower() in forbidden:
                self.document.reject(place, path, forbidden[key.lower()])
                continue
            # The value is not shown, since it may be a secret below a misspelt key.
            expected = self._suggest(key, forbidden)
            self.document.add(place.line, path, "an unknown key", expected)

    def _suggest(self, key: str, forbidden: Mapping[str, str]) -> str:
        names = sorted({*self._asked, *forbidden})
        close = difflib.get_close_matches(key[:100].lower(), names, n=1, cutoff=0.6)
        if close and close[0] not in self._asked:
            return forbidden[close[0]]
        if close:
            return f"a known key; did you mean {close[0]}?"
        return "one of " + ", ".join(sorted(set(self._asked)))


def is_name(value: object) -> bool:
    """Tell whether a value may be the name of a service, class, team, domain or instance."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None
