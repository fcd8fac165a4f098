"""Tests of health: list, probes, digests and outages together."""

from __future__ import annotations

import asyncio

import pytest

from jayyoke.core.clock import ManualClock
from jayyoke.core.error import StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.health import AVOID_S, Health
from jayyoke.ops.loads import Load, Loads
from jayyoke.platform.listing import Snapshot


class _Listing:
    def __init__(self):
        self.upstreams = (Upstream("e1", "pool", "a", "e1"), Upstream("e2", "pool", "a", "e2"))
        self.down = False

    async def read(self):
        if self.down:
            raise StoreUnavailable("down")
        return Snapshot((), self.upstreams)


def _build():
    clock, listing = ManualClock(10.0), _Listing()
    loads = Loads(clock)
    health = Health(listing, clock, loads, lambda name: None)
    asyncio.run(health.refresh())
    return clock, listing, loads, health


def _names(health):
    return [upstream.name for upstream in health.candidates("pool")]


class TestHealth:
    def test_leaving_in_a_digest_takes_effect_without_the_list(self):
        """Guards against new work on a leaving engine where the list cannot be read (P8)."""
        _, listing, loads, health = _build()
        listing.down = True
        loads.put("e1", Load(state=UpstreamState.LEAVING))
        with pytest.raises(StoreUnavailable):
            asyncio.run(health.refresh())
        assert _names(health) == ["e2"]

    def test_own_probe_outweighs_an_old_digest(self):
        """Guards against a digest of an earlier steward that hides what the probe found."""
        _, _, loads, health = _build()
        loads.put("e1", Load(state=UpstreamState.DOWN))
        health.record_probe("e1", UpstreamState.LIVE)
        assert _names(health) == ["e1", "e2"]

    def test_failed_connection_is_avoided_for_a_while(self):
        """Guards against retries on an engine that just refused a connection."""
        clock, _, _, health = _build()
        health.avoid("e1")
        assert _names(health) == ["e2"]
        clock.advance(AVOID_S)
        assert _names(health) == ["e1", "e2"]
