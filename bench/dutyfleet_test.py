"""Tests of the duties in virtual time, under many failures in a row."""

from __future__ import annotations

import os

import pytest

from bench.dutyfleet import BOUNDS, DutyFleet
from jayyoke.edge import log


@pytest.fixture(autouse=True)
def quiet_log():
    """Keep the log lines of some hundred tenures out of the report of a failed test."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    log.start_log(descriptor)
    yield
    log.start_log(log.STANDARD_OUTPUT)
    os.close(descriptor)


def list_windows(fleet: DutyFleet) -> list[int]:
    """Return the windows of all reports that arrived."""
    return [call.body["windowId"] for call in fleet.calls if call.subject == "usage"]


class TestCalm:
    def test_one_holder_reports_every_window_once(self):
        """Guards against repeated reports, changes of the holder, and costs of the store."""
        fleet = DutyFleet(1)
        fleet.run(300.0)
        windows = list_windows(fleet)
        assert len(windows) == len(set(windows))
        assert len(windows) >= 300.0 / BOUNDS.report_window_s - 3
        assert {call.owner for call in fleet.calls} == {fleet.calls[0].owner}
        assert fleet.store.calls / 300.0 < 2.5


class TestFaults:
    @pytest.mark.parametrize("seed", range(8))
    @pytest.mark.parametrize("fault_period_s", [1.0, 4.0])
    def test_rules_hold_under_all_faults_in_a_row(self, seed, fault_period_s):
        """Guards against two reports of a window, two holders at a time, and old tokens."""
        fleet = DutyFleet(seed)
        fleet.run(300.0, fault_period_s)
        assert fleet.find_violations() == []
        assert list_windows(fleet)

    @pytest.mark.parametrize("fault", ["_kill", "_freeze_for_a_while", "_cut_both", "_release"])
    def test_another_instance_goes_on(self, fault):
        """Guards against duties that nobody takes care of after a fault of their holder."""
        fleet = DutyFleet(5)

        def break_holder() -> None:
            holder = fleet.find_holder()
            assert holder is not None
            getattr(fleet, fault)(holder)

        for second in range(20, 200, 30):
            fleet.loop.call_later(second, break_holder)
        fleet.run(240.0)
        assert fleet.find_violations() == []
        assert len(set(list_windows(fleet))) >= 240.0 / BOUNDS.report_window_s - 3

    def test_store_that_returns_twice_in_a_row(self):
        """Guards against windows of an older era that are reported with other counts."""
        fleet = DutyFleet(7)
        for second in (40, 43, 90, 91):
            fleet.loop.call_later(second, fleet.store.restore, 8.0)
        fleet.run(150.0)
        assert fleet.find_violations() == []
        assert len(set(list_windows(fleet))) >= 20
