"""Tests that an interrupted demo ends every process that it started."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

import pytest

TIMEOUT_S = 120.0


def list_children(pid: int) -> list[int]:
    text = Path(f"/proc/{pid}/task/{pid}/children").read_text(encoding="ascii")
    return [int(child) for child in text.split()]


def is_running(pid: int) -> bool:
    return Path(f"/proc/{pid}").exists()


def restore_interrupt() -> None:
    """Give SIGINT its default, since shells let the children of a background job ignore it."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


class TestInterrupt:
    @pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
    def test_interrupted_demo_leaves_no_process(self, number):
        """Guards against instances and stand-ins that outlive an interrupted demo."""
        command = [sys.executable, "-m", "standin.demo"]
        with subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            preexec_fn=restore_interrupt,
        ) as demo:
            for line in demo.stdout:
                if b"instances are ready" in line:
                    break
            children = list_children(demo.pid)
            assert len(children) >= 18
            demo.send_signal(number)
            output = demo.communicate(timeout=TIMEOUT_S)[0]
        assert demo.returncode == 130, output
        assert b"logs: " in output
        assert [child for child in children if is_running(child)] == []
