"""Tests of decoding the rows of operators and upstreams."""

from __future__ import annotations

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jayyoke.core.route import MoveState, MoveStatus, RouteKind, ScaleLimits
from jayyoke.core.upstream import UpstreamState
from jayyoke.platform.decode import (
    InvalidRow,
    decode_config,
    decode_move_order,
    decode_move_status,
    decode_upstream,
    encode_move_status,
)

ENTRY = {
    "backend": "pool",
    "address": "10.0.0.1:80",
    "az": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "warmupLeftMs": 1500,
    "seqno": 4,
    "born": 1_700_000_000_000,
}
ROUTE = {
    "name": "r",
    "host": "Calls.Example",
    "prefix": "/a/",
    "type": "stream",
    "timeoutMs": 8000,
    "sloMs": 600,
    "prio": 0,
    "split": [{"backend": "x", "weight": 90}, {"backend": "y", "weight": 10}],
    "attempts": 2,
    "affinity": True,
    "resumable": True,
    "itlTargetMs": 300,
    "allowedRegions": ["here"],
}
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*ENTRY, *ROUTE, "routes", "version"]), inner, max_size=5)
    ),
    max_leaves=12,
)


class TestScaleLimits:
    def test_limits_are_decoded(self):
        """Guards against orders with the limits of another service or in other units."""
        limits = {"min": 13, "max": 30, "startupS": 8.0}
        services = [{"name": "x", "autoscale": limits}, {"name": "y"}]
        config = decode_config(json.dumps({"version": 1, "backends": services}).encode())
        assert config.services["x"].scale_limits == ScaleLimits(13, 30, 8.0)
        assert config.services["y"].scale_limits is None

    @pytest.mark.parametrize(
        "limits", [7, {}, {"min": 5}, {"min": 5, "max": 4}, {"min": "a", "max": 9}, {"min": 0}]
    )
    def test_unusable_limits_cost_the_orders_only(self, limits):
        """Guards against a configuration that is rejected since a new field is malformed."""
        services = [{"name": "x", "autoscale": limits}]
        config = decode_config(json.dumps({"version": 1, "backends": services}).encode())
        assert config.services["x"].scale_limits is None


class TestConfig:
    def test_route_is_translated_to_seconds_and_own_terms(self):
        config = decode_config(json.dumps({"version": 3, "routes": [ROUTE]}).encode())
        route = config.routes[0]
        assert route.kind is RouteKind.STREAM
        assert (route.timeout_s, route.objective_s, route.max_event_gap_s) == (8.0, 0.6, 0.3)
        assert [share.service for share in route.shares] == ["x", "y"]
        assert route.host == "calls.example"
        assert route.repeatable
        assert route.regions == {"here"}
        assert config.teams is None

    @given(_JSON)
    def test_any_json_is_decoded_or_reported(self, body):
        """Guards against a row of any writer that crashes the process."""
        value = json.dumps(body).encode()
        for decode in (
            decode_config,
            lambda raw: decode_upstream("u", raw),
            lambda raw: decode_move_order(raw, "s", 1),
            lambda raw: decode_move_status(raw, "s"),
        ):
            try:
                decode(value)
            except InvalidRow as error:
                assert error.finding.expected


class TestUpstream:
    def test_entry(self):
        found = decode_upstream("i-1", json.dumps(ENTRY).encode())
        assert found.state is UpstreamState.LIVE
        assert (found.slots, found.warm_up_left_s) == (64, 1.5)

    def test_restarted_upstream_is_another_incarnation(self):
        """Guards against attributing an earlier process's state to a new one of the same name."""
        first = decode_upstream("i-1", json.dumps(ENTRY).encode())
        restarted = decode_upstream("i-1", json.dumps(ENTRY | {"born": 1_700_000_009_000}).encode())
        assert first.incarnation != restarted.incarnation

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("state", "resting"),
            ("state", None),
            ("address", "10.0.0.1"),
            ("address", "10.0.0.1:99999"),
            ("address", 7),
            ("backend", None),
            ("slots", "many"),
            ("warmupLeftMs", -5),
        ],
    )
    def test_unusable_entry_names_its_field(self, field, value):
        with pytest.raises(InvalidRow) as caught:
            decode_upstream("i-1", json.dumps(ENTRY | {field: value}).encode())
        assert field in caught.value.finding.key


class TestMoveStatus:
    def test_round_trip(self):
        status = MoveStatus("s", "v2", MoveState.ROLLED_BACK, 9, 120, "failed")
        assert decode_move_status(encode_move_status(status), "s") == status
