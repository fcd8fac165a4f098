"""Tests of a call that several upstreams may answer."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from jayyoke.edge.outcome import CANCELLED
from jayyoke.edge.takeover import Takeover


class _Sender:
    """Records the sends that are ended."""

    def __init__(self) -> None:
        self.finished: list[object] = []

    def finish(self, call: object, send: object, outcome: object, progress: object) -> None:
        """Record the end of a send."""
        assert outcome is CANCELLED
        self.finished.append(send)


class _LateTakeover(Takeover):
    """Has another upstream's send at the moment at which the first one goes on."""

    async def _open_beside(self, call, caller, progress, reading):
        reading.set_result(b"more")
        return "other send"


class TestFirstUpstreamGoesOn:
    """Tests a first upstream that goes on while another one's answer is being taken."""

    def test_other_send_is_ended(self):
        """Guards against places that stay taken: a later replacement would hide this one."""

        async def main() -> None:
            sender = _Sender()
            takeover = _LateTakeover(None, sender, None, lambda: 0.0, None)
            progress = SimpleNamespace(replacement=None, runs=0)
            reading = asyncio.get_running_loop().create_future()
            assert await takeover._read_or_replace(None, None, progress, reading) == b"more"
            assert (sender.finished, progress.replacement) == (["other send"], None)
            assert progress.runs == 1

        asyncio.run(main())
