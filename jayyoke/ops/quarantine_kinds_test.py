"""Tests of the quarantine with prompts of thousands of parts, and with whole requests."""

from __future__ import annotations

from jayyoke.ops.partkeys import (
    MAX_KEY_CHARACTERS,
    build_part_keys,
    build_request_key,
    is_request_key,
)
from jayyoke.ops.partrecord import KNOWN_PART_LIMIT, NEW_PART_LIMIT
from jayyoke.ops.quarantine import MAX_KNOWN_TOLD
from jayyoke.ops.quarantine_test import Case


class TestLongPrompts:
    """Tests prompts with thousands of parts."""

    SOUND = tuple(f"part-{number}" for number in range(4000))

    def test_deadly_part_among_sound_ones_is_found(self):
        """Guards against a part that is not told from thousands of others."""
        case = Case()
        case.quarantine.record_good(self.SOUND)
        for _ in range(2):
            case.end(*self.SOUND[:2000], "deadly", *self.SOUND[2000:])
            case.quarantine.record_good(self.SOUND)
        assert case.quarantine.list_quarantined() == ["deadly"]
        assert case.quarantine.find_wait_s(self.SOUND) is None
        assert case.quarantine.find_wait_s([*self.SOUND, "deadly"]) is not None

    def test_request_with_half_of_a_large_group_is_sent(self):
        """Guards against parts of a first request that are all refused with the deadly one."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end(*self.SOUND)
        assert case.quarantine.find_wait_s(self.SOUND) is not None
        assert case.quarantine.find_wait_s(self.SOUND[:2000]) is None

    def test_few_parts_with_answers_are_told(self):
        """Guards against instances that are busy with telling each other of sound parts."""
        case = Case()
        told: list[str] = []
        case.quarantine.changes.subscribe(told.append)
        case.quarantine.record_good(self.SOUND)
        case.end("deadly", *self.SOUND)
        assert told[0] == "deadly"
        assert len(told) == 1 + MAX_KNOWN_TOLD
        assert len(case.quarantine.list_evidence(8000)) == 1 + MAX_KNOWN_TOLD
        case.quarantine.record_good(self.SOUND)
        assert len(told) == 1 + 2 * MAX_KNOWN_TOLD

    def test_part_with_answers_is_told_once_it_is_quarantined(self):
        """Guards against a part that only one instance keeps from engines."""
        case = Case()
        case.quarantine.record_good(self.SOUND)
        for _ in range(KNOWN_PART_LIMIT):
            case.end(*self.SOUND)
        assert len(case.quarantine.list_evidence(8000)) == len(self.SOUND)

    def test_all_quarantined_parts_are_told_in_turn(self):
        """Guards against an instance that never learns of the later parts of a long prompt."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end(*self.SOUND[:1000])
        told: set[str] = set()
        for _ in range(10):
            told |= {found.key for found in case.quarantine.list_evidence(100)}
        assert told == set(self.SOUND[:1000])

    def test_quarantined_part_is_told_before_newer_suspects(self):
        """Guards against a deadly part that other ends hide from an instance that asks."""
        case = Case()
        case.quarantine_part("deadly")
        for _ in range(3):
            case.end(*self.SOUND[:500], engine="e")
        assert case.quarantine.list_evidence(10)[0].key == "deadly"


class TestRequests:
    """Tests requests that end engines though all their parts are sound."""

    REQUEST = build_request_key("pool", "last")

    def test_request_is_told_from_parts(self):
        """Guards against a part and a request of one name, and against long ids."""
        (part,) = build_part_keys("pool", ["last"])
        assert part != self.REQUEST
        assert is_request_key(self.REQUEST)
        assert not is_request_key(part)
        long_request = build_request_key("pool", "x" * 5000)
        assert is_request_key(long_request)
        assert len(long_request) <= MAX_KEY_CHARACTERS

    def test_request_is_held_while_its_parts_are_answered(self):
        """Guards against ends that answers to other requests of the session make forgotten."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end("caller", "session", self.REQUEST)
            case.quarantine.record_good(["caller", "session"])
        assert case.quarantine.list_quarantined() == [self.REQUEST]
        assert case.quarantine.find_wait_s(["caller", "session"]) is None
        assert case.quarantine.find_wait_s(["caller", self.REQUEST]) is not None

    def test_request_does_not_make_a_part_look_like_one_of_several(self):
        """Guards against one more end by a request that is sent to tell them apart."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end("deadly", self.REQUEST)
        other = build_request_key("pool", "other")
        assert case.quarantine.find_wait_s(["deadly", other]) is not None

    def test_answers_to_requests_take_no_memory(self):
        """Guards against parts that are forgotten for requests that never come again."""
        case = Case()
        case.quarantine.record_good([build_request_key("pool", str(n)) for n in range(100)])
        assert case.quarantine.describe(build_request_key("pool", "0")).good_s is None

    def test_end_is_told_once_the_call_is_over(self):
        """Guards against a crash of which all instances tell each other of every cut request."""
        case = Case()
        told: list[str] = []
        case.quarantine.changes.subscribe(told.append)
        case.end(self.REQUEST)
        assert not told
        assert not case.quarantine.list_evidence(10)
        case.quarantine.tell_requests(["caller", self.REQUEST])
        assert told == [self.REQUEST]
        assert [found.key for found in case.quarantine.list_evidence(10)] == [self.REQUEST]

    def test_end_before_an_answer_is_never_told(self):
        case = Case()
        told: list[str] = []
        case.quarantine.changes.subscribe(told.append)
        case.end(self.REQUEST)
        case.quarantine.record_good([self.REQUEST])
        case.quarantine.tell_requests([self.REQUEST])
        assert not told

    def test_quarantined_request_is_told_at_once(self):
        case = Case()
        told: list[str] = []
        case.quarantine.changes.subscribe(told.append)
        case.quarantine_part(self.REQUEST)
        assert told == [self.REQUEST]
