"""Builds records from decoded rows of other revisions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import fields
from typing import Any, TypeVar

T = TypeVar("T")


def build_record(record: type[T], plain: Mapping[str, Any]) -> T:
    """Return a data class with the known fields of a mapping; raise TypeError if one is missing.

    Unknown fields are ignored: a newer revision may have written them.
    """
    known = {found.name for found in fields(record)}  # type: ignore[arg-type]
    return record(**{name: value for name, value in plain.items() if name in known})
