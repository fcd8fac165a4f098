"""Tests the settings of the allocator."""

from __future__ import annotations

import subprocess
import sys

from jayyoke.utils.allocator import KEPT_BYTES

# Frees 40 MB of large blocks, between which small ones stay, and prints by how much memory grew.
SCRIPT = """
from jayyoke.utils.allocator import return_large_blocks
def read_resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096
return_large_blocks()
before_bytes = read_resident_bytes()
blocks = [bytearray(b"x" * (8 << 20))]
blocks.clear()
kept = []
for _ in range(40):
    blocks.append(bytearray(b"x" * (1 << 20)))
    kept.append(b"x" * 5000)
blocks.clear()
print(read_resident_bytes() - before_bytes)
"""
SMALL_BLOCKS_BYTES = 40 * 5000


class TestReturnLargeBlocks:
    """Tests the memory of a process after large blocks were freed."""

    def test_freed_blocks_are_returned(self):
        """Guards against a heap that grows with each crowd of large bodies."""
        command = [sys.executable, "-c", SCRIPT]
        found = subprocess.run(command, capture_output=True, check=True, text=True)
        assert int(found.stdout) < 2 * KEPT_BYTES + SMALL_BLOCKS_BYTES
