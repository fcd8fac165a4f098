"""Reads the memory and the open descriptors of processes that a test started."""

from __future__ import annotations

import contextlib
import re
import resource
from collections.abc import Iterator
from pathlib import Path


def read_peak_bytes(pid: int) -> int:
    """Return the largest memory that a process has used."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) << 10


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


@contextlib.contextmanager
def lower_descriptors(limit: int | None) -> Iterator[None]:
    """Let processes that are started meanwhile have at most this many descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit or soft, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
