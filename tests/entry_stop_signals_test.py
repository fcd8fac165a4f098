"""Tests of signals that reach the process of an entry instance while it stops."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from standin.entryprocess import signal_entry
from standin.entryupstream import answer_whole
from tests.stoppingentry import open_stopping

INTERVAL_S = 0.001


class TestSignalsAtTheEnd:
    """Tests signals that arrive when the process has logged its end."""

    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_process_ends_as_if_there_were_none(self, number: signal.Signals, tmp_path: Path):
        """Guards against a stop that ends by a signal, once the event loop handles none."""

        async def main() -> int | None:
            async with open_stopping(tmp_path, answer_whole) as entry:
                entry.stop()
                await entry.wait_for_event("stopped")
                while entry.process.returncode is None:
                    signal_entry(entry.process, number)
                    await asyncio.sleep(INTERVAL_S)
                return entry.process.returncode

        assert asyncio.run(main()) == 0
