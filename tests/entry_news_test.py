"""Tests of how an entry instance gets configurations, upstreams and changes through others."""

from __future__ import annotations

import asyncio
import json

import pytest

from jayyoke.core.entrysettings import Bounds
from jayyoke.edge.feedtimes import find_feed_times
from standin.entryconfig import build_config, build_route
from standin.entryupstream import answer_whole
from standin.rowstore import Fault
from tests.entryrig import Rig, open_rig, run_rig, wait_ready, wait_until

# Those of the rig's instances.
FEED_TIMES = find_feed_times(Bounds().converge_s)


class TestConfiguration:
    def test_removed_key_is_refused(self):
        """Guards against a key that still works after a new configuration has removed it."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/safe/x"))[0] == 200
            rig.store.put("op", "config", build_config(4, tenants=[]))
            await wait_until(lambda: entry.instance.view.config.version == 4)
            assert (await entry.call("/safe/x"))[0] == 401

        run_rig(test)

    def test_older_version_never_replaces_a_newer_one(self):
        """Guards against an instance that returns to an older configuration."""

        async def test(rig: Rig) -> None:
            rig.store.put("op", "config", build_config(7))
            entry = await rig.add_entry()
            await wait_until(lambda: entry.instance.view.config is not None)
            rig.store.put("op", "config", build_config(5, tenants=[]))
            revision = rig.store.revision
            await wait_until(lambda: entry.instance.view.tables["op"].revision >= revision)
            assert entry.instance.view.config.version == 7

        run_rig(test)

    @pytest.mark.parametrize("fault", list(Fault))
    def test_changes_come_from_peers_while_the_store_fails_for_an_instance(self, fault):
        """Guards against an instance that misses changes which its peers have."""

        async def test(rig: Rig) -> None:
            entry = await rig.add_entry("entry-1")
            other = await rig.add_entry("entry-2")
            await wait_until(lambda: entry.instance.view.config and other.instance.view.config)
            await wait_until(lambda: entry.instance.list_peers())
            rig.store.faulty_callers = {"entry-1"}
            rig.store.fault = fault
            rig.store.put("op", "config", build_config(2, tenants=[]))
            await wait_until(lambda: entry.instance.view.config.version == 2)

        run_rig(test)

    def test_large_configuration_crosses_a_narrow_link_packed_and_once(self):
        """Guards against an instance that reads a large configuration from the store itself."""

        async def test(rig: Rig) -> None:
            entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
            rosters = [entry.instance.roster for entry in entries]
            await wait_until(lambda: sum(not found.is_follower() for found in rosters) == 1)
            relayed_entry = next(
                entry for entry in entries if not entry.instance.roster.is_follower()
            )
            await wait_until(lambda: relayed_entry.instance.peers.relayed)
            # Its own feeds, from before others relayed to it, have ended by then.
            await asyncio.sleep(2 * FEED_TIMES.wait_s)
            routes = [build_route(f"r{number}", "safe") for number in range(1200)]
            config = build_config(2, routes=routes)
            size = len(json.dumps(config)) * 4 / 3
            rig.store.link_bytes_per_s = size / (2 * FEED_TIMES.relayed_stale_s)
            caller = relayed_entry.instance.settings.instance
            rig.store.slow_callers = {caller}
            rig.store.put("op", "config", config)
            await wait_until(lambda: relayed_entry.instance.view.config.version == 2, 15.0)
            await asyncio.sleep(FEED_TIMES.relayed_stale_s)
            assert rig.store.slow_bytes_by_caller[(caller, "op")] < 0.1 * size

        run_rig(test)

    def test_age_of_a_configuration_counts_from_the_start_of_its_transfer(self):
        """Guards against a view that counts as new although its transfer took long."""

        async def test(rig: Rig) -> None:
            entry = await rig.add_entry()
            view = entry.instance.view
            await wait_until(lambda: view.config is not None)
            config = build_config(2, routes=[build_route(f"r{n}", "safe") for n in range(1200)])
            transfer_s = 1.0
            rig.store.link_bytes_per_s = len(json.dumps(config)) * 4 / 3 / transfer_s
            ages_s = []
            view.changes.subscribe(
                lambda table: ages_s.append(view.config_age_s) if table == "op" else None
            )
            rig.store.put("op", "config", config)
            await wait_until(lambda: view.config.version == 2, 15.0)
            assert ages_s[0] >= 0.8 * transfer_s

        run_rig(test)

    def test_instance_starts_from_a_seed_while_the_store_is_down(self):
        """Guards against an instance that cannot start during an outage of the store."""

        async def test(rig: Rig) -> None:
            other = await rig.add_entry("entry-2")
            await wait_until(lambda: other.instance.view.config is not None)
            rig.store.fault = Fault.RESET
            seed = other.instance.settings.peer_address
            entry = await rig.add_entry("entry-1", seeds=(seed,))
            await wait_until(lambda: entry.instance.view.config is not None)

        run_rig(test)

    def test_table_is_read_again_when_its_history_is_gone(self):
        """Guards against a feed that misses the changes made while the store reported none."""

        async def test(rig: Rig) -> None:
            entry = await rig.add_entry()
            await wait_until(lambda: entry.instance.view.config is not None)
            rig.store.feeds_stalled = True
            rig.store.put("op", "config", build_config(2))
            rig.store.feeds_stalled = False
            rig.store.forget_history()
            await wait_until(lambda: entry.instance.view.config.version == 2)

        run_rig(test)

    def test_request_without_a_configuration_gets_503(self):
        """Guards against a 404 from an instance that has no configuration yet."""

        async def main() -> None:
            async with open_rig() as rig:
                entry = await rig.add_entry()
                status, _, headers = await entry.call("/safe/x")
                assert status == 503
                assert "Retry-After" in headers

        asyncio.run(main())


class TestUpstreams:
    def test_leaving_upstream_gets_no_request(self):
        """Guards against requests to an upstream whose row says that it is draining."""

        async def test(rig: Rig) -> None:
            leaving = await rig.add_upstream("u1", answer_whole)
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            rig.store.put("servers", "u1", leaving.describe("desk", state="draining"))
            await wait_until(lambda: len(entry.instance.view.by_service["desk"]) == 1)
            for number in range(6):
                await entry.call("/safe/x", request_id=f"r{number}")
            assert not leaving.received

        run_rig(test)

    def test_evacuated_domain_gets_no_request(self):
        """Guards against requests to a failure domain that is taken out."""

        async def test(rig: Rig) -> None:
            out = await rig.add_upstream("u1", answer_whole, az="zone-b")
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            rig.store.put("op", "evacuate/zone-b", {})
            await wait_until(lambda: "zone-b" in entry.instance.view.evacuated)
            for number in range(6):
                await entry.call("/safe/x", request_id=f"r{number}")
            assert not out.received

        run_rig(test)

    def test_service_without_an_allowed_upstream_is_refused_at_once(self):
        """Guards against callers that wait although only a change in the store can help them.

        In incident inc-e578 of tapir-ridge, the only upstream was in a domain that was taken out,
        and 900 requests waited for half of their objective before they were refused.
        """

        async def test(rig: Rig) -> None:
            out = await rig.add_upstream("u1", answer_whole, az="zone-b")
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            rig.store.put("op", "evacuate/zone-b", {})
            await wait_until(lambda: "zone-b" in entry.instance.view.evacuated)
            status, body, headers = await entry.call("/unsafe/x")
            assert (status, body) == (503, b"no-upstream")
            # A Retry-After near the most that the caller can wait gives the domain time to return.
            assert float(headers["Retry-After"]) > 0.9 * 2.4 / 3
            assert not out.received

        run_rig(test)

    @pytest.mark.parametrize(
        "body", [b"\xff\x00", {"state": "ready"}, [], {"state": "odd", "backend": "desk"}]
    )
    def test_unusable_row_does_not_hide_other_upstreams(self, body):
        """Guards against a malformed row of another program that hides the other rows."""

        async def test(rig: Rig) -> None:
            rig.store.put("servers", "bad", body)
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_until(lambda: "u1" in entry.instance.view.upstreams)
            assert "bad" not in entry.instance.view.upstreams
            assert (await entry.call("/safe/x"))[0] == 200

        run_rig(test)


class TestFollowers:
    def test_others_get_changes_through_followers(self):
        """Guards against a fleet in which every instance keeps a feed of the store.

        Of three instances in a domain, two follow the store and relay its changes to the third.
        """

        async def test(rig: Rig) -> None:
            entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
            for entry in entries:
                await wait_until(lambda entry=entry: entry.instance.view.config is not None)
                await wait_until(lambda entry=entry: len(entry.instance.roster.list_alive()) == 3)
            others = [e for e in entries if not e.instance.roster.is_follower()]
            assert len(others) == 1
            # The store fails for the third instance, which needs only its followers.
            name = others[0].instance.settings.instance
            rig.store.faulty_callers = {name}
            rig.store.fault = Fault.BUSY
            rig.store.put("op", "config", build_config(2))
            await wait_until(lambda: others[0].instance.view.config.version == 2)

        run_rig(test)

    def test_others_read_the_store_when_followers_are_unreachable(self):
        """Guards against an instance that misses changes when it cannot reach its followers."""

        async def test(rig: Rig) -> None:
            entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
            for entry in entries:
                await wait_until(lambda entry=entry: len(entry.instance.roster.list_alive()) == 3)
            other = next(e for e in entries if not e.instance.roster.is_follower())
            peers = other.instance.peers
            await wait_until(lambda: peers.relayed)
            for entry in entries:
                if entry is not other:
                    await entry.peer_listener.close()
            rig.store.put("op", "config", build_config(2))
            await wait_until(lambda: other.instance.view.config.version == 2)
            await wait_until(lambda: not peers.relayed)
            # On grown ballenticket trouble-1, an instance read the store once, waited until its
            # view was old again, and relayed a configuration that was over 3 s old.
            rig.store.put("op", "config", build_config(3))
            await wait_until(lambda: other.instance.view.config.version == 3)
            assert not peers.relayed

        run_rig(test)

    def test_view_of_a_follower_that_lost_the_store_is_not_used(self):
        """Guards against an old view that a follower relays as current."""

        async def test(rig: Rig) -> None:
            entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
            for entry in entries:
                await wait_until(lambda entry=entry: len(entry.instance.roster.list_alive()) == 3)
            other = next(e for e in entries if not e.instance.roster.is_follower())
            await wait_until(lambda: other.instance.peers.relayed)
            rig.store.faulty_callers = {
                e.instance.settings.instance for e in entries if e is not other
            }
            rig.store.fault = Fault.SILENT
            await wait_until(lambda: not other.instance.peers.relayed)
            rig.store.put("op", "config", build_config(2))
            await wait_until(lambda: other.instance.view.config.version == 2)

        run_rig(test)

    def test_large_configuration_reaches_every_instance(self):
        """Guards against a large change that followers leave out, so that others never get it."""

        async def test(rig: Rig) -> None:
            entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
            for entry in entries:
                await wait_until(lambda entry=entry: len(entry.instance.roster.list_alive()) == 3)
            routes = [
                {
                    "name": f"r{number}",
                    "host": f"h{number}.example",
                    "prefix": "/x/",
                    "type": "safe",
                    "backend": "desk",
                }
                for number in range(1400)
            ]
            rig.store.put("op", "config", build_config(2, routes=routes))
            for entry in entries:
                await wait_until(lambda entry=entry: entry.instance.view.config.version == 2)

        run_rig(test)
