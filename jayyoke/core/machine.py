"""What is assumed of a machine that the settings do not describe."""

from __future__ import annotations

DEFAULT_MEMORY_BYTES = 300_000_000
