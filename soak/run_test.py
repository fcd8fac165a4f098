"""A short seeded soak without the checks that need a clock, since a busy machine fails those."""

from __future__ import annotations

import asyncio

import pytest

from soak.plan import Size
from soak.run import run_seed

# Seeds 1 and 2 draw kills, pauses, cuts of store and upstreams, and changes of configuration.
SEEDS = (1, 2)
FAULTS_S = 4.0


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_promises_hold(self, seed, tmp_path):
        """Guards against answers, executions and recoveries that break a promise under faults."""
        size = Size(instances=2, upstreams=3)
        findings = asyncio.run(run_seed(seed, tmp_path, size, FAULTS_S, timed=False))
        assert findings == []
