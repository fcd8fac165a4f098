"""Starts real processes of entry instances on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import IO

ROOT = Path(__file__).resolve().parent.parent


async def start_entry(
    settings: Path,
    metrics_port: int,
    *,
    stdout: int | IO[bytes],
    stderr: int | IO[bytes] | None = None,
    python_options: tuple[str, ...] = (),
) -> asyncio.subprocess.Process:
    """Start an entry instance with a settings file; raise OSError."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *python_options,
        "-m",
        "jayyoke.scripts.start",
        "--metrics-port",
        str(metrics_port),
        cwd=ROOT,
        env=os.environ | {"JAYYOKE_SETTINGS": str(settings)},
        stdout=stdout,
        stderr=stderr,
    )


def signal_entry(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal to a process that may have ended.

    Popen.send_signal may reap the process, and asyncio then reports exit code 255.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)
