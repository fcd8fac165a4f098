"""Keys of the quarantine: parts of prompts by service, and requests as a whole."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

# Any part may be the cause, so none that fits into a request's header is left out.
MAX_PARTS_PER_REQUEST = 8192
MAX_KEY_CHARACTERS = 96
# Between the service and the id of a request; a part has one slash there.
REQUEST_MARK = "//"


def build_part_keys(service: str, shared: Sequence[str]) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt that other requests to a service may have too.

    Ids come from callers, so long ones are hashed.
    """
    keys = []
    for part in shared[-MAX_PARTS_PER_REQUEST:]:
        keys.append(_build_key(f"{service}/{part}", "sha256/"))
    return tuple(keys)


def build_request_key(service: str, last_part: str) -> str:
    """Return the key of a request itself, which the last part of its prompt identifies."""
    return _build_key(f"{service}{REQUEST_MARK}{last_part}", f"sha256{REQUEST_MARK}")


def is_request_key(key: str) -> bool:
    """Tell whether a key is that of a request and not of a part."""
    return REQUEST_MARK in key


def _build_key(text: str, hashed_prefix: str) -> str:
    if len(text) <= MAX_KEY_CHARACTERS:
        return text
    return hashed_prefix + hashlib.sha256(text.encode("utf-8", "replace")).hexdigest()
