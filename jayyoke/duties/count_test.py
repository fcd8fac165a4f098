"""Tests of counting, of merging counts, and of the true time."""

from __future__ import annotations

import random

from jayyoke.duties.countmerge import CountBook, add_counts, assign_sources, build_source_id
from jayyoke.duties.truetime import MIN_FOLLOWERS, TrueTime
from jayyoke.duties.usagecount import SETTLE_S, UsageCounter

WINDOW_S = 5.0


class TestCounter:
    def test_requests_count_in_the_window_in_which_they_began(self):
        """Guards against counts by the time at which the answer came."""
        counter = UsageCounter(WINDOW_S)
        counter.add("yard", 504.9)
        counter.add("yard", 505.0)
        assert [(t.window, t.by_team) for t in counter.list_changes(0)] == [
            (100, {"yard": 1}),
            (101, {"yard": 1}),
        ]

    def test_changes_are_totals(self):
        """Guards against counts that a lost or repeated message makes wrong."""
        counter = UsageCounter(WINDOW_S)
        counter.add("yard", 501.0)
        serial = counter.serial
        counter.add("yard", 502.0)
        counter.add("dock", 502.0)
        assert counter.list_changes(serial)[0].by_team == {"yard": 2, "dock": 1}
        assert counter.list_changes(counter.serial) == []

    def test_window_is_complete_only_after_late_counts(self):
        """Guards against a report without the requests of the window's last moment."""
        counter = UsageCounter(WINDOW_S)
        assert counter.find_complete(505.0 + SETTLE_S / 2) == 99
        assert counter.find_complete(505.0 + SETTLE_S + 0.01) == 100

    def test_memory_is_bounded(self):
        """Guards against counts that grow without end."""
        counter = UsageCounter(WINDOW_S)
        for second in range(0, 3600, 5):
            counter.add("yard", float(second))
        assert len(counter.list_changes(0)) == counter.kept


class TestBook:
    def test_each_request_counts_once_whichever_follower_has_the_newest_state(self):
        """Guards against counts that are added from two followers, or lost with one of them."""
        source = random.Random(3)
        truth: dict[str, int] = {}
        books = [CountBook(24), CountBook(24)]
        for number in range(20):
            counter = UsageCounter(WINDOW_S)
            for _ in range(source.randrange(200)):
                counter.add(f"team-{source.randrange(9)}", 501.0)
                if source.random() < 0.05:
                    book = source.choice(books)
                    book.merge(f"i{number}", "d", 99, counter.list_changes(0), 1.0)
            newest = source.choice(books)
            newest.merge(f"i{number}", "d", 100, counter.list_changes(0), 1.0)
            for totals in counter.list_changes(0):
                add_counts(truth, totals.by_team)
        assert _add_up(books) == truth

    def test_other_domains_and_windows_do_not_count(self):
        """Guards against sources that two domains report."""
        book = CountBook(24)
        counter = UsageCounter(WINDOW_S)
        counter.add("yard", 501.0)
        book.merge("i", "d", 100, counter.list_changes(0), 1.0)
        assert book.summarize(100, "e", 1.0).totals == {}
        assert book.summarize(101, "d", 1.0).totals == {}
        assert book.summarize(100, "d", 1.0).totals == {build_source_id("i"): 1}

    def test_only_sources_that_were_heard_lately_are_waited_for(self):
        """Guards against reports that are late because an instance has gone."""
        book = CountBook(24)
        book.merge("gone", "d", 99, [], 1.0)
        book.merge("here", "d", 99, [], 9.0)
        book.merge("done", "d", 100, [], 9.0)
        assert book.summarize(100, "d", 10.0).pending == 1


class TestTrueTime:
    def test_clocks_that_jumped_do_not_count(self):
        """Guards against windows that begin seconds too early on one machine."""
        time = TrueTime(unix_s=1007.0, now_s=0.0)
        for number in range(6):
            time.record(f"i{number}", 1001.0 + number / 1000, 1.0)
        time.record("jumped", 990.0, 1.0)
        assert abs(time.read_s(1.0) - 1001.0) < 0.01

    def test_fleet_time_needs_several_followers(self):
        """Guards against one follower with a wrong clock that decides for all."""
        time = TrueTime(1000.0, 0.0)
        for number in range(MIN_FOLLOWERS):
            assert time.find_fleet_s(1.0) is None
            time.record_follower(f"f{number}", 1002.0, 1.0)
        assert time.find_fleet_s(2.0) == 1003.0

    def test_told_time_counts_until_it_is_old(self):
        """Guards against an instance that keeps the time of a holder that has gone."""
        time = TrueTime(1000.0, 0.0)
        time.record_told(1005.0, 1.0)
        assert time.read_s(2.0) == 1006.0
        assert time.read_s(100.0) == 1100.0


def _add_up(books: list[CountBook]) -> dict[str, int]:
    """Return the counts as the holder collects them."""
    summaries = [book.summarize(100, "d", 1.0).totals for book in books]
    found: dict[str, int] = {}
    for book, sources in zip(books, assign_sources(summaries), strict=True):
        add_counts(found, book.add_up(100, "d", sources))
    return found
