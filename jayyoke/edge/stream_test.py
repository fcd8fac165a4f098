"""Tests of splitting streams into events."""

from __future__ import annotations

import pytest

from jayyoke.core.error import AnswerBroken
from jayyoke.edge.stream import EventRelay

BIG = 1 << 70


def event(event_id: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % event_id


class TestEventRelay:
    def test_resumption_goes_on_after_the_newest_id_as_the_upstream_wrote_it(self):
        """Guards against an id that the next upstream does not find among its own."""
        relay = EventRelay(None)
        assert relay.feed(b"id: 0007\ndata: x\n\n")
        assert relay.last_id == b"0007"

    @pytest.mark.parametrize("first", [1, BIG])
    def test_events_that_were_passed_on_are_dropped(self, first):
        """Guards against an event that comes twice, with ids of any size."""
        relay = EventRelay(None)
        assert relay.feed(event(first) + event(first + 1))
        relay.restart()
        found = relay.feed(event(first) + event(first + 1) + event(first + 2))
        assert found == event(first + 2)

    def test_later_id_makes_a_stream_resumable_again(self):
        """Guards against a stream that is cut because of one event without an id."""
        relay = EventRelay(None)
        relay.feed(b"data: x\n\n")
        assert not relay.resumable
        relay.feed(event(2))
        assert relay.resumable

    def test_comments_leave_a_stream_resumable(self):
        relay = EventRelay(None)
        assert relay.feed(b": alive\n\n") == b": alive\n\n"
        assert relay.resumable
        assert not relay.count

    def test_events_without_ids_count_as_progress(self):
        """Guards against a stream that is taken for stalled while such events come."""
        relay = EventRelay(None)
        relay.feed(b"data: x\n\ndata: y\n\n")
        assert relay.count == 2

    def test_event_without_an_id_in_a_resumed_stream_is_refused(self):
        relay = EventRelay(None)
        relay.feed(event(1))
        relay.restart()
        with pytest.raises(AnswerBroken):
            relay.feed(b"data: x\n\n")
