"""Tests of how an instance notices that a failure domain is out of reach."""

from __future__ import annotations

from jayyoke.edge.domain import MAX_HOLD_S, DomainTracks

DOMAIN = "zone-b"


class TestDomainTracks:
    def test_one_lost_upstream_puts_no_domain_in_doubt(self):
        tracks = DomainTracks()
        assert not tracks.record_lost(DOMAIN, "u1", 0.0)
        assert not tracks.record_lost(DOMAIN, "u1", 1.0)
        assert not tracks.is_held(DOMAIN, 1.0)

    def test_two_lost_upstreams_hold_requests_back(self):
        tracks = DomainTracks()
        tracks.record_lost(DOMAIN, "u1", 0.0)
        assert tracks.record_lost(DOMAIN, "u2", 0.1)
        assert tracks.is_held(DOMAIN, 0.2)
        assert not tracks.is_held("zone-a", 0.2)

    def test_an_answer_between_keeps_the_domain(self):
        tracks = DomainTracks()
        tracks.record_lost(DOMAIN, "u1", 0.0)
        tracks.record_reached(DOMAIN)
        assert not tracks.record_lost(DOMAIN, "u2", 0.1)

    def test_one_request_at_a_time_tests_a_domain_in_doubt(self):
        """Guards against many requests that lose a timeout together after each hold."""
        tracks = DomainTracks()
        tracks.record_lost(DOMAIN, "u1", 0.0)
        tracks.record_lost(DOMAIN, "u2", 0.0)
        later_s = MAX_HOLD_S + 0.1
        assert not tracks.is_held(DOMAIN, later_s)
        tracks.note_test(DOMAIN, later_s)
        assert tracks.is_held(DOMAIN, later_s)

    def test_an_answer_ends_the_doubt(self):
        tracks = DomainTracks()
        tracks.record_lost(DOMAIN, "u1", 0.0)
        tracks.record_lost(DOMAIN, "u2", 0.0)
        assert tracks.record_reached(DOMAIN)
        assert not tracks.is_held(DOMAIN, 0.1)
