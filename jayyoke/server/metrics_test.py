"""Tests of the exposition of counters and latencies."""

from __future__ import annotations

import pytest

from jayyoke.core.config import ClassKind, ClassSpec
from jayyoke.ops.metrics import Metrics
from jayyoke.server.metrics import format_metrics

LOOKUP = ClassSpec("check", ClassKind.LOOKUP, "desk", 1.0)


class TestMetrics:
    def test_exposition_holds_counters_and_quantiles(self):
        """Guards against recorded values that are missing from the exposition."""
        metrics = Metrics()
        for index in range(100):
            metrics.observe_first_token(LOOKUP, 0.5 if index < 90 else 2.0)
        text = format_metrics(metrics).decode()
        assert 'jayyoke_latency_seconds_count{class_name="check",name="first_token"} 100' in text
        assert 'target="first_token"} 10.0' in text
        quantile = 'class_name="check",name="first_token",quantile="0.95"} '
        assert float(text.partition(quantile)[2].split()[0]) == pytest.approx(2.0, rel=0.02)
