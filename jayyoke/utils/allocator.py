"""Settings of the C library's allocator."""

from __future__ import annotations

import ctypes

# Of mallopt(3) in glibc.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# The library's first value; setting it keeps the library from raising it.
LARGE_BLOCK_BYTES = 128 << 10
# Free memory at the end of the heap that is kept.
KEPT_BYTES = 1 << 20


def return_large_blocks() -> None:
    """Make the C library return each large block to the system once it is freed.

    Otherwise the first large block that is freed raises the size from which it does so, and later
    ones fragment the heap. Other C libraries than glibc are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return
    mallopt(_M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
    mallopt(_M_TRIM_THRESHOLD, KEPT_BYTES)
