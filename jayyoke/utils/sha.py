"""SHA-256 as hexadecimal text."""

from __future__ import annotations

import hashlib


def hash_text(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode("utf-8", "surrogateescape")).hexdigest()
