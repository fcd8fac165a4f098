"""Reads the memory and the open descriptors of processes that a test started."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import resource
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

SAMPLE_INTERVAL_S = 0.05
# Columns of /proc/net/tcp and a state in it.
LOCAL, STATE, QUEUES, INODE = 1, 3, 4, 9
LISTENING = "0A"


def read_peak_bytes(pid: int) -> int:
    """Return the largest memory that a process has used."""
    return _read_status_bytes(pid, "VmHWM")


def read_resident_bytes(pid: int) -> int:
    """Return the memory that a process uses now."""
    return _read_status_bytes(pid, "VmRSS")


def count_unread_bytes(pid: int) -> int:
    """Return how many bytes the system holds that a process has not read from its sockets."""
    inodes = _list_socket_inodes(pid)
    with Path("/proc/net/tcp").open(encoding="utf-8") as table:
        next(table)
        rows = [line.split() for line in table]
    listening = {row[LOCAL] for row in rows if row[STATE] == LISTENING and row[INODE] in inodes}
    size = 0
    for row in rows:
        # Connections that wait to be accepted belong to no process yet.
        if row[STATE] != LISTENING and (row[INODE] in inodes or row[LOCAL] in listening):
            size += int(row[QUEUES].partition(":")[2], 16)
    return size


def _read_status_bytes(pid: int, name: str) -> int:
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    found = re.search(rf"{name}:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) << 10


def _list_socket_inodes(pid: int) -> set[str]:
    inodes = set()
    for path in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            target = os.readlink(path)
            if target.startswith("socket:["):
                inodes.add(target[len("socket:[") : -1])
    return inodes


class MemoryWatch:
    """Records the most memory that a process uses, its sockets' unread bytes included."""

    def __init__(self, pid: int):
        self._pid = pid
        self._sampled_bytes = 0
        self._unread_bytes = 0

    @property
    def sampled_bytes(self) -> int:
        """Return the most of all samples, which a process that has ended leaves behind."""
        return self._sampled_bytes

    @property
    def peak_bytes(self) -> int:
        """Return the peak so far."""
        return max(self._sampled_bytes, read_peak_bytes(self._pid))

    def __str__(self) -> str:
        return (
            f"peak {read_peak_bytes(self._pid) / 1e6:.1f} MB, {self._sampled_bytes / 1e6:.1f} MB "
            f"with unread bytes; at most {self._unread_bytes / 1e6:.1f} MB unread"
        )

    async def run(self) -> None:
        """Sample until the process has ended."""
        with contextlib.suppress(OSError, AssertionError):
            while True:
                unread_bytes = count_unread_bytes(self._pid)
                self._unread_bytes = max(self._unread_bytes, unread_bytes)
                total_bytes = read_resident_bytes(self._pid) + unread_bytes
                self._sampled_bytes = max(self._sampled_bytes, total_bytes)
                await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def watch_memory(pid: int) -> AsyncIterator[MemoryWatch]:
    """Yield a watch that samples a process meanwhile."""
    watch = MemoryWatch(pid)
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


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
