"""Tests of detecting unreachable failure domains."""

from __future__ import annotations

from jayyoke.edge.domain import MAX_BACKOFF_S, DomainTracker

DOMAIN = "zone-b"


class TestDomainTracker:
    def test_one_failed_upstream_makes_no_domain_suspected(self):
        tracker = DomainTracker()
        assert not tracker.record_failure(DOMAIN, "u1", 0.0)
        assert not tracker.record_failure(DOMAIN, "u1", 1.0)
        assert not tracker.in_backoff(DOMAIN, 1.0)

    def test_two_failed_upstreams_start_a_backoff(self):
        tracker = DomainTracker()
        tracker.record_failure(DOMAIN, "u1", 0.0)
        assert tracker.record_failure(DOMAIN, "u2", 0.1)
        assert tracker.in_backoff(DOMAIN, 0.2)
        assert not tracker.in_backoff("zone-a", 0.2)

    def test_answer_between_two_failures_prevents_a_suspicion(self):
        tracker = DomainTracker()
        tracker.record_failure(DOMAIN, "u1", 0.0)
        tracker.record_reached(DOMAIN)
        assert not tracker.record_failure(DOMAIN, "u2", 0.1)

    def test_one_request_at_a_time_probes_a_suspected_domain(self):
        """Guards against many requests that lose a timeout together after each backoff."""
        tracker = DomainTracker()
        tracker.record_failure(DOMAIN, "u1", 0.0)
        tracker.record_failure(DOMAIN, "u2", 0.0)
        later_s = MAX_BACKOFF_S + 0.1
        assert not tracker.in_backoff(DOMAIN, later_s)
        tracker.record_probe(DOMAIN, later_s)
        assert tracker.in_backoff(DOMAIN, later_s)

    def test_answer_ends_a_suspicion(self):
        tracker = DomainTracker()
        tracker.record_failure(DOMAIN, "u1", 0.0)
        tracker.record_failure(DOMAIN, "u2", 0.0)
        assert tracker.record_reached(DOMAIN)
        assert not tracker.in_backoff(DOMAIN, 0.1)
