"""Tests of docs/CAPACITY.md."""

from __future__ import annotations

import pytest

from bench import capacity
from bench._fit import fit


class TestPage:
    def test_table_follows_from_the_recorded_slopes(self):
        """Guards against a page that differs from slopes.json or from the product's constants."""
        _, between, _ = capacity.split_page(capacity.PAGE.read_text(encoding="utf-8"))
        assert between == capacity.build_tables(capacity.read_slopes())

    def test_every_slope_has_four_sizes(self):
        """Guards against a figure that rests on too few sizes."""
        for slope in capacity.read_slopes().values():
            assert len(set(slope.sizes)) >= 4, slope.name

    def test_table_service_suffices_under_the_assumptions(self):
        """Guards against a new periodic read or write that exceeds the platform's rates."""
        assert sum(line.value for line in capacity.list_reads()) <= capacity.TABLE_READS_PER_S
        assert sum(line.value for line in capacity.list_writes()) <= capacity.TABLE_WRITES_PER_S


class TestFit:
    def test_fit_reports_the_line_and_the_residual(self):
        """Guards against a fit that hides how far the values lie from the line."""
        exact = fit("f", "B", "n", [(1, 5), (2, 7), (3, 9), (4, 11)])
        assert (exact.intercept, exact.slope, exact.residual) == pytest.approx((3.0, 2.0, 0.0))
        assert fit("f", "B", "n", [(1, 0), (2, 0), (3, 0), (4, 8)]).residual == pytest.approx(0.4)
