"""Tests the shares of a machine's memory."""

from __future__ import annotations

import pytest

from jayyoke.inputlimits.memoryplan import (
    CONNECTION_BYTES,
    MAX_BODY_BYTES,
    MAX_INPUT_BYTES,
    MAX_SMALL_BODY_BYTES,
    PROCESS_BYTES,
    REQUEST_BYTES,
    plan_memory,
)

MEGABYTE = 1_000_000


class TestMemoryPlan:
    """Tests what each use may take."""

    @pytest.mark.parametrize("megabytes", [90, 128, 200, 300, 552, 4000])
    def test_shares_fit_into_the_memory(self, megabytes):
        """Guards against shares whose sum takes a process over the memory of its machine."""
        plan = plan_memory(megabytes * MEGABYTE)
        used = PROCESS_BYTES + plan.body_bytes + plan.small_body_bytes + plan.input_bytes
        # Incomplete events have as much as answers that are not whole.
        used += 2 * plan.answer_bytes
        connections = min(plan.connections, 6144)
        used += connections * CONNECTION_BYTES + min(plan.requests, connections) * REQUEST_BYTES
        assert used < megabytes * MEGABYTE

    def test_default_machine_has_the_full_shares(self):
        """Guards against callers of large bodies who are refused on an ordinary machine."""
        plan = plan_memory()
        assert plan.body_bytes == MAX_BODY_BYTES
        assert plan.small_body_bytes == MAX_SMALL_BODY_BYTES
        assert plan.input_bytes == MAX_INPUT_BYTES

    def test_smallest_machine_serves(self):
        """Guards against a machine that refuses every request."""
        plan = plan_memory(1)
        assert plan.requests > 50 and plan.connections > 100
        assert plan.small_body_bytes > 1 << 20
