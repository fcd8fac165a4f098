"""Tests of the client of the platform's list."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp.test_utils import TestServer

from jayyoke.core.clock import ManualClock
from jayyoke.platform.listing import Listing
from standin.listing import ListingServer


def build_entries(count: int) -> list[dict[str, str]]:
    entry = {"kind": "worker", "service": "s", "state": "live", "domain": "d", "address": "a"}
    return [entry | {"name": f"w{number}"} for number in range(count)]


class TestListing:
    def test_long_list_is_read_less_often_and_never_later_than_two_seconds(self):
        """Guards against list reads that take too much processor time, and against stale lists."""

        async def run() -> None:
            for count, fresh_after_s in ((20, 0.1), (4010, 2.0), (20_000, 2.0)):
                listing_server = ListingServer(build_entries(count))
                clock = ManualClock(10.0)
                async with (
                    TestServer(listing_server.build()) as server,
                    aiohttp.ClientSession() as http,
                ):
                    listing = Listing(http, str(server.make_url("")).rstrip("/"), 30.0, clock)
                    first = await listing.read()
                    listing_server.entries["w0"]["state"] = "leaving"
                    assert await listing.read() is first
                    clock.advance(fresh_after_s)
                    changed = await listing.read()
                    assert changed != first
                    clock.advance(fresh_after_s)
                    assert await listing.read() is changed

        asyncio.run(run())
