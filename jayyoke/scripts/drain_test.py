"""Tests of the steps between SIGTERM and the end of an entry instance."""

from __future__ import annotations

import asyncio

import pytest

from jayyoke.ops.stopwindow import StopWindow
from jayyoke.scripts.drain import drain
from jayyoke.utils.boottime import read_boot_time_s


class _Listener:
    """Has no connections, or a request that never ends."""

    def __init__(self, busy: int):
        self.draining = False
        self.busy = busy
        self.settled = busy == 0
        self.unsent_bytes = 0
        self.ended_s = 0.0

    def stop(self) -> None:
        """Accept no more connections."""

    def close_idle(self) -> None:
        """Close connections that carry no request."""

    async def end_calls(self) -> None:
        """Note when the requests are ended."""
        self.ended_s = read_boot_time_s()


class TestDrain:
    """Tests the end of a drain."""

    def test_nothing_begins_once_it_has_ended(self):
        """Guards against a request that is passed on after the last one was awaited."""
        window = StopWindow()
        asyncio.run(drain(_Listener(busy=0), window, 0.4))
        now_s = read_boot_time_s()
        assert not window.may_begin(now_s, False, now_s)

    @pytest.mark.parametrize("grace_s", [0.6, 1.2, 6.0])
    def test_requests_are_ended_in_the_last_sixth_of_the_grace(self, grace_s):
        """Guards against answers that are cut sooner than the users allow, in a short grace."""
        listener = _Listener(busy=1)
        began_s = read_boot_time_s()
        asyncio.run(drain(listener, StopWindow(), grace_s))
        assert listener.ended_s - began_s >= grace_s * 5 / 6
