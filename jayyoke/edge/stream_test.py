"""Tests of splitting streams into events."""

from __future__ import annotations

import pytest

from jayyoke.core.error import AnswerBroken
from jayyoke.edge.stream import MAX_BYTES_WITHOUT_EVENT, MAX_CROWDED_EVENT_BYTES, EventRelay
from jayyoke.utils.heldbytes import HeldBytes

BIG = 1 << 70


def event(event_id: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % event_id


class TestEventRelay:
    def test_resumption_goes_on_after_the_newest_id_as_the_upstream_wrote_it(self):
        """Guards against an id that the next upstream does not find among its own."""
        relay = EventRelay(None, HeldBytes(1 << 20))
        assert relay.feed(b"id: 0007\ndata: x\n\n")
        assert relay.last_id == b"0007"

    @pytest.mark.parametrize("first", [1, BIG])
    def test_events_that_were_passed_on_are_dropped(self, first):
        """Guards against an event that comes twice, with ids of any size."""
        relay = EventRelay(None, HeldBytes(1 << 20))
        assert relay.feed(event(first) + event(first + 1))
        relay.restart()
        found = relay.feed(event(first) + event(first + 1) + event(first + 2))
        assert found == event(first + 2)

    def test_later_id_makes_a_stream_resumable_again(self):
        """Guards against a stream that is cut because of one event without an id."""
        relay = EventRelay(None, HeldBytes(1 << 20))
        relay.feed(b"data: x\n\n")
        assert not relay.resumable
        relay.feed(event(2))
        assert relay.resumable

    def test_comments_leave_a_stream_resumable(self):
        relay = EventRelay(None, HeldBytes(1 << 20))
        assert relay.feed(b": alive\n\n") == b": alive\n\n"
        assert relay.resumable
        assert not relay.count

    def test_events_without_ids_count_as_progress(self):
        """Guards against a stream that is taken for stalled while such events come."""
        relay = EventRelay(None, HeldBytes(1 << 20))
        relay.feed(b"data: x\n\ndata: y\n\n")
        assert relay.count == 2

    def test_event_without_an_id_in_a_resumed_stream_is_refused(self):
        relay = EventRelay(None, HeldBytes(1 << 20))
        relay.feed(event(1))
        relay.restart()
        with pytest.raises(AnswerBroken):
            relay.feed(b"data: x\n\n")

    @pytest.mark.parametrize("block", [b": alive\n\n", b"id: 1\ndata: again\n\n"])
    def test_bytes_without_a_new_event_are_bounded(self, block):
        """Guards against a stream that keeps its instance busy without end."""
        relay = EventRelay(None, HeldBytes(1 << 20))
        relay.feed(event(1))
        sent = 0
        with pytest.raises(AnswerBroken):
            while sent <= 2 * MAX_BYTES_WITHOUT_EVENT:
                relay.feed(block * 1000)
                sent += len(block) * 1000
        assert sent <= MAX_BYTES_WITHOUT_EVENT

    def test_incomplete_events_of_all_streams_are_bounded_together(self):
        """Guards against many streams that each hold an event of allowed size."""
        held = HeldBytes(1 << 20)
        relays = [EventRelay(None, held) for _ in range(40)]
        broken = 0
        for relay in relays:
            try:
                for _ in range(10):
                    relay.feed(b"x" * (64 << 10))
            except AnswerBroken:
                broken += 1
                relay.close()
        assert 0 < broken < len(relays)
        assert held.total <= (1 << 20) + (64 << 10)
        for relay in relays:
            relay.close()
        assert not held.total

    def test_small_events_pass_while_others_hold_too_much(self):
        """Guards against sound streams that are broken for what others hold."""
        held = HeldBytes(0)
        held.change(1)
        relay = EventRelay(None, held)
        assert relay.feed(b"id: 1\ndata: " + b"x" * (MAX_CROWDED_EVENT_BYTES - 100)) == b""
        assert relay.feed(b"\n\n")
