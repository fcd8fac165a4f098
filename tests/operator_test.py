"""Tests of the operators' HTTP interface."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import replace

import aiohttp
import pytest
import yaml

from jayyoke.core.config import Configuration
from jayyoke.core.move import MovePhase
from jayyoke.ops.change import Delta, diff_configurations, encode_delta
from jayyoke.ops.digest import Digests
from jayyoke.ops.domain import Domains
from jayyoke.parser.configuration import parse_document
from jayyoke.platform.table import Row
from standin.fleet import load_example
from tests.operator_fleet import KEY, FakeMoves, OperatorFleet

DOCUMENT = load_example("ballenticket")
EMPTY = {"services": {}, "classes": {}, "teams": {}}


@pytest.fixture
def fleet() -> Iterator[OperatorFleet]:
    with OperatorFleet(("luzern-a", "luzern-b")) as running:
        yield running


def send(fleet: OperatorFleet, method: str, path: str, index: int = 0, **options) -> tuple:
    headers = {"Authorization": f"Bearer {KEY}"} | options.pop("headers", {})

    async def send_request() -> tuple:
        async with (
            aiohttp.ClientSession() as http,
            http.request(method, fleet.urls[index] + path, headers=headers, **options) as answer,
        ):
            return answer.status, json.loads(await answer.read())

    return fleet.run_coroutine(send_request())


def apply_document(
    fleet: OperatorFleet, document: object = DOCUMENT, index: int = 0, **options
) -> tuple:
    return send(fleet, "PUT", "/v1/configuration", index, json=document, **options)


class TestKey:
    @pytest.mark.parametrize("value", ["", "Bearer", "Bearer wrong", f"Basic {KEY}", KEY])
    def test_every_route_needs_the_key(self, fleet, value):
        """Guards against an operator route that anyone can call."""
        routes = [("GET", "/v1/configuration"), ("POST", "/v1/domains/luzern-a/out")]
        routes += [("GET", "/v1/watch"), ("GET", "/v1/moves"), ("PUT", "/v1/configuration")]
        for method, path in routes:
            status, body = send(fleet, method, path, headers={"Authorization": value})
            assert (status, body["code"]) == (401, "wrong-operator-key")
        assert fleet.table.rows == {}

    def test_health_and_readiness_need_no_key_and_differ(self, fleet):
        """Guards against a health check that fails while an instance waits for the platform."""
        assert send(fleet, "GET", "/healthz", headers={"Authorization": ""})[0] == 200
        assert send(fleet, "GET", "/readyz", headers={"Authorization": ""})[0] == 503
        fleet.refresh(0)
        assert send(fleet, "GET", "/readyz", headers={"Authorization": ""})[0] == 200


class TestConfiguration:
    def test_same_document_makes_no_new_version(self, fleet):
        """Guards against accepting a repeat, sent after a lost answer, as a second change."""
        first = apply_document(fleet)[1]
        assert (first["version"], first["changed"]) == (1, True)
        assert len(first["changes"]["teams"]["added"]) == 10
        repeated = apply_document(fleet, index=1, headers={"If-Match": '"0"'})
        assert repeated == (200, {"version": 1, "changed": False, "changes": {}})
        shown = send(fleet, "GET", "/v1/configuration")[1]
        assert apply_document(fleet, shown["document"])[1]["changed"] is False

    def test_same_document_accepted_during_the_request_is_no_conflict(self, fleet):
        """Guards against refusing a repeat when the first request takes effect in between."""

        async def accept_first() -> None:
            entries = diff_configurations(Configuration(), parse_document(DOCUMENT))
            key = "change/000000000001"
            fleet.table.rows[key] = Row(key, encode_delta(Delta(entries)), 1)

        fleet.table.before_commit = accept_first
        assert apply_document(fleet) == (200, {"version": 1, "changed": False, "changes": {}})

    def test_document_keeps_domain_states(self, fleet):
        """Guards against a new document that puts a domain that is out back into service."""
        apply_document(fleet)
        send(fleet, "POST", "/v1/domains/zug-c/out")
        changed = yaml.safe_load(yaml.safe_dump(DOCUMENT))
        del changed["classes"]["depot-reply"]
        changed["teams"]["office-altdorf"]["classes"] = ["draft"]
        status, body = apply_document(fleet, changed)
        assert status == 200
        assert body["changes"] == {
            "classes": {"removed": ["depot-reply"]},
            "teams": {"changed": ["office-altdorf"]},
        }
        assert send(fleet, "GET", "/v1/configuration")[1]["domains_out"] == ["zug-c"]

    def test_instance_that_lags_accepts_a_change(self, fleet):
        """Guards against a refusal because the called instance has not read the last change."""
        apply_document(fleet)
        assert apply_document(fleet, EMPTY, index=1)[1]["version"] == 2

    def test_wrong_base_version_is_refused(self, fleet):
        """Guards against an operator who overwrites a change that he has not seen."""
        apply_document(fleet)
        status, body = apply_document(fleet, EMPTY, headers={"If-Match": '"7"'})
        assert (status, body["code"], body["version"]) == (409, "configuration-changed", 1)

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"{", 400),
            (b"[" * 100_000, 400),
            (b"[]", 422),
            (b"{}", 422),
            (b'{"domains_out": ["zug-c"]}', 422),
            (b'{"services": {"a": {"protocol": "engine", "weight": 3}}}', 422),
            (b" " * (5 << 20), 413),
        ],
    )
    def test_bad_body_is_refused_and_changes_nothing(self, fleet, body, status):
        """Guards against a document that is applied in part or that crashes the server."""
        actual_status, problem = send(fleet, "PUT", "/v1/configuration", data=body)
        assert (actual_status, problem["status"]) == (status, status)
        assert fleet.table.rows == {}

    def test_change_without_the_table_is_refused(self, fleet):
        """Guards against reporting a change as accepted that was not recorded."""
        apply_document(fleet)
        fleet.table.down = True
        status, body = apply_document(fleet, EMPTY)
        assert (status, body["effect"]) == (503, "none")
        assert apply_document(fleet)[1] == {"version": 1, "changed": False, "changes": {}}


class TestDomains:
    def test_out_and_back_are_idempotent(self, fleet):
        """Guards against a repeated command that makes a second change."""
        apply_document(fleet)
        versions = []
        for action in ("out", "out", "back", "back"):
            versions.append(send(fleet, "POST", f"/v1/domains/zug-c/{action}")[1]["version"])
        assert versions == [2, 2, 3, 3]

    def test_unknown_domain_is_refused_unless_forced(self, fleet):
        """Guards against a misspelt domain that leaves the broken one in service."""
        status, body = send(fleet, "POST", "/v1/domains/zug-d/out")
        assert (status, body["known"]) == (404, ["luzern-a", "luzern-b"])
        assert send(fleet, "POST", "/v1/domains/zug-d/out?force=true")[0] == 200

    def test_out_is_retried_after_another_change(self, fleet):
        """Guards against a domain that stays in service because of a concurrent change."""

        async def change_first() -> None:
            change_log = fleet.nodes[1].change_log
            other = replace(change_log.configuration, domains_out=frozenset({"luzern-b"}))
            await change_log.append_configuration(other)

        fleet.table.before_commit = change_first
        body = send(fleet, "POST", "/v1/domains/luzern-a/out")[1]
        assert body["version"] == 2

    def test_out_without_the_table_drains_and_back_ends_the_drain(self, fleet):
        """Guards against a domain that cannot be taken out while the platform is down."""
        node = fleet.nodes[0]
        node.domains = Domains(node.change_log, node.peers, Digests(node.peers), node.clock)
        fleet.table.down = True
        status, body = send(fleet, "POST", "/v1/domains/luzern-a/out")
        assert (status, body["version"], body["changed"]) == (200, 0, True)
        assert node.domains.domains_out() == {"luzern-a"}
        listed = send(fleet, "GET", "/v1/domains")[1]["domains"]
        assert {"domain": "luzern-a", "state": "out"} in listed
        assert send(fleet, "POST", "/v1/domains/luzern-a/back")[0] == 200
        assert node.domains.domains_out() == frozenset()


class TestMoveStop:
    def test_stop_halts_the_version_without_the_table(self, fleet):
        """Guards against an operator who cannot stop a bad version during an outage."""
        apply_document(fleet)
        node = fleet.nodes[0]
        node.moves = FakeMoves()
        body = {"service": "jayyoke-pool", "version": "v2", "deadline": 60}
        move = send(fleet, "POST", "/v1/moves", json=body)[1]
        fleet.table.down = True
        assert send(fleet, "POST", f"/v1/moves/{move['id']}/stop")[0] == 200
        assert node.halts.is_halted(move["id"], "v2")
        assert send(fleet, "POST", "/v1/moves/none/stop")[0] == 404


class TestStatus:
    def test_status_names_instances_without_the_version(self, fleet):
        """Guards against a version reported in force while an instance still lags."""
        apply_document(fleet)
        body = send(fleet, "GET", "/v1/status")[1]
        assert (body["version"], body["unconfirmed"]) == (1, ["luzern-b"])
        fleet.refresh(1)
        body = send(fleet, "GET", "/v1/status")[1]
        assert body["unconfirmed"] == []
        assert [item["incarnation"] for item in body["instances"]] == [7, 7]

    def test_silent_instance_counts_as_unconfirmed(self, fleet):
        """Guards against a version reported in force although a live instance did not answer."""
        fleet.hub.peers["luzern-b"].handlers = {}
        body = send(fleet, "GET", "/v1/status")[1]
        assert body["unconfirmed"] == ["luzern-b"]

    def test_listed_instance_out_of_reach_counts_as_unconfirmed(self, fleet):
        """Guards against a version reported in force while a cut-off instance serves another."""
        fleet.hub.partition("luzern-a", "luzern-b")
        assert send(fleet, "GET", "/v1/status")[1]["unconfirmed"] == ["luzern-b"]
        fleet.listing.down = True
        assert send(fleet, "GET", "/v1/status")[1]["unconfirmed"] == []


class TestMoves:
    BODY = {"service": "jayyoke-pool", "version": "v2", "deadline": "10m"}

    def test_instance_without_moves_answers_501(self, fleet):
        """Guards against accepting a move that nothing executes."""
        for method, path in (("GET", "/v1/moves"), ("POST", "/v1/moves"), ("GET", "/v1/moves/a")):
            assert send(fleet, method, path)[0] == 501

    def test_repeated_start_finds_the_move(self, fleet):
        """Guards against a second move after a lost answer, also when the first has ended."""
        apply_document(fleet)
        moves = fleet.nodes[0].moves = FakeMoves()
        first = send(fleet, "POST", "/v1/moves", json=self.BODY)[1]
        assert first["id"] == send(fleet, "POST", "/v1/moves", json=self.BODY)[1]["id"]
        other = send(fleet, "POST", "/v1/moves", json=self.BODY | {"version": "v3"})
        assert (other[0], other[1]["code"]) == (409, "move-active")
        moves.moves = (replace(moves.moves[0], phase=MovePhase.ROLLED_BACK),)
        ended = send(fleet, "POST", "/v1/moves", json=self.BODY)[1]
        assert (ended["id"], ended["state"]) == (first["id"], "taken-back")
        again = send(fleet, "POST", "/v1/moves", json=self.BODY | {"again": True})[1]
        assert send(fleet, "GET", f"/v1/moves/{again['id']}")[1]["state"] == "running"
        assert send(fleet, "GET", "/v1/moves/none")[0] == 404

    @pytest.mark.parametrize(
        "change",
        [{"service": "ticket-desk"}, {"service": []}, {"version": "a b"}, {"deadline": "0s"}],
    )
    def test_bad_move_is_refused(self, fleet, change):
        """Guards against a move of a plain service or without a usable deadline."""
        apply_document(fleet)
        fleet.nodes[0].moves = FakeMoves()
        assert send(fleet, "POST", "/v1/moves", json=self.BODY | change)[0] == 422
        assert send(fleet, "POST", "/v1/moves", json=[])[0] == 422
        assert fleet.nodes[0].moves.moves == ()


class TestWatch:
    def test_watch_sends_members_versions_and_domain_states(self, fleet):
        """Guards against a watch that misses versions, domain states or members."""

        async def read_events(count: int) -> list[tuple[str, dict]]:
            headers = {"Authorization": f"Bearer {KEY}"}
            found = []
            async with (
                aiohttp.ClientSession() as http,
                http.get(fleet.urls[0] + "/v1/watch", headers=headers) as answer,
            ):
                async for line in answer.content:
                    if line.startswith(b"event: "):
                        name = line[7:].decode().strip()
                    if line.startswith(b"data: "):
                        found.append((name, json.loads(line[6:])))
                    if len(found) == 3 and line == b"\n":
                        change_log = fleet.nodes[0].change_log
                        out = frozenset({"zug-c"})
                        await change_log.append_configuration(
                            replace(change_log.configuration, domains_out=out)
                        )
                        fleet.hub.partition("luzern-a", "luzern-b")
                    if len(found) == count:
                        return found
            return found

        events = fleet.run_coroutine(read_events(6))
        assert [name for name, _ in events[:3]] == ["member", "member", "configuration"]
        assert events[3] == ("configuration", {"version": 1})
        assert events[4] == ("domain", {"domain": "zug-c", "state": "out"})
        assert (events[5][0], events[5][1]["state"]) == ("member", "dead")
