"""Tests of the quarantine of parts on which engines end."""

from __future__ import annotations

import pytest

from jayyoke.ops.partkeys import MAX_KEY_CHARACTERS, MAX_PARTS_PER_REQUEST, build_part_keys
from jayyoke.ops.partrecord import (
    HOLDS_S,
    KNOWN_PART_LIMIT,
    MAX_ENDS_PER_PART,
    NEW_PART_LIMIT,
    SAME_CAUSE_S,
    SAME_END_S,
    EngineEnd,
    PartEvidence,
)
from jayyoke.ops.quarantine import (
    KEPT_S,
    MAX_SUSPECTED,
    SUSPECT_WRITING_S,
    TRIAL_WAIT_S,
    UNPROVEN_KEPT_S,
    Quarantine,
    is_suspect,
)

APART_S = 2 * SAME_CAUSE_S


class Clock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def read(self) -> float:
        return self.now_s


class Case:
    """Holds a quarantine and its clock."""

    def __init__(self, instance: str = "i1", instances: tuple[str, ...] = ()):
        self.clock = Clock()
        self.quarantine = Quarantine(self.clock.read, instance, lambda: instances)
        self._engines = 0

    def end(self, *keys: str, engine: str = "") -> list[str]:
        """Let an engine end under suspects with these parts, apart from the end before."""
        self.clock.now_s += APART_S
        self._engines += 1
        end = EngineEnd(engine or f"e{self._engines}", self.clock.now_s)
        return self.quarantine.record_end(keys, end)

    def quarantine_part(self, key: str = "p") -> None:
        """Let as many engines end as it takes."""
        for _ in range(NEW_PART_LIMIT):
            self.end(key)
        assert key in self.quarantine.list_quarantined()


class TestPartKeys:
    """Tests the names of parts."""

    def test_services_are_judged_apart(self):
        """Guards against a part that is refused where another service answers on it."""
        assert build_part_keys("pool", ["a"]) != build_part_keys("desk", ["a"])

    def test_long_ids_have_bounded_keys(self):
        """Guards against callers whose ids fill the memory."""
        long_keys = build_part_keys("pool", ["a" * 4000, "a" * 4001])
        assert len(set(long_keys)) == 2
        assert all(len(key) <= MAX_KEY_CHARACTERS for key in long_keys)

    def test_parts_of_a_request_are_bounded(self):
        """Guards against a request whose parts fill the memory of an instance."""
        parts = [str(number) for number in range(3 * MAX_PARTS_PER_REQUEST)]
        keys = build_part_keys("pool", parts)
        assert len(keys) <= MAX_PARTS_PER_REQUEST
        case = Case()
        case.end(*keys)
        assert case.quarantine.suspected <= MAX_SUSPECTED

    @pytest.mark.parametrize("count", [1, 64, 65, 256, 257, 4000])
    def test_no_part_of_a_long_prompt_is_left_out(self, count):
        """Guards against a deadly part that is in no evidence because of its place."""
        parts = [str(number) for number in range(count)]
        assert build_part_keys("pool", parts) == tuple(f"pool/{part}" for part in parts)


class TestSuspects:
    """Tests which cut requests may have ended their engine."""

    @pytest.mark.parametrize(
        ("writing_s", "suspect"),
        [(None, True), (0.0, True), (0.01, True), (SUSPECT_WRITING_S, False), (4.0, False)],
    )
    def test_request_that_is_being_answered_is_no_suspect(self, writing_s, suspect):
        """Guards against parts of long answers that every end accuses."""
        assert is_suspect(writing_s) is suspect


class TestQuarantine:
    """Tests when a part is quarantined."""

    def test_new_part_is_quarantined_after_two_ends(self):
        """Guards against a third engine that ends under one request and its repeat."""
        case = Case()
        assert case.end("p") == []
        assert case.quarantine.find_wait_s(["p"]) is None
        assert case.end("p") == ["p"]
        assert case.quarantine.find_wait_s(["other", "p"]) == pytest.approx(HOLDS_S[0])

    def test_parts_that_were_answered_meanwhile_are_free(self):
        """Guards against hot parts that are in each end and refused with the one at fault."""
        case = Case()
        for _ in range(5):
            case.end("hot", "p")
            case.quarantine.record_good(["hot"])
        assert case.quarantine.list_quarantined() == ["p"]

    def test_part_that_was_answered_before_needs_more_ends(self):
        """Guards against a quiet session that is refused since it shared two ends."""
        case = Case()
        case.quarantine.record_good(["session"])
        for _ in range(KNOWN_PART_LIMIT - 1):
            case.end("session")
        assert case.quarantine.find_wait_s(["session"]) is None
        assert case.end("session") == ["session"]

    def test_ends_at_one_moment_count_once(self):
        """Guards against parts that are quarantined by the loss of a rack."""
        case = Case()
        case.clock.now_s += 1
        for engine in ("e1", "e2", "e3", "e4", "e5"):
            assert case.quarantine.record_end(["p"], EngineEnd(engine, case.clock.now_s)) == []
        assert case.quarantine.find_wait_s(["p"]) is None

    def test_one_end_that_two_instances_saw_counts_once(self):
        """Guards against an end that counts as often as there are instances."""
        case = Case()
        case.end("p", engine="e1")
        end = EngineEnd("e1", case.clock.now_s + APART_S)
        assert case.quarantine.merge([PartEvidence("p", (end,))]) == []
        assert case.quarantine.find_wait_s(["p"]) is None

    def test_message_that_was_read_late_adds_no_end(self):
        """Guards against one end that counts twice after a peer has stood still."""
        case = Case()
        case.end("p", engine="e1")
        late = EngineEnd("e1", case.clock.now_s + 5)
        assert case.quarantine.merge([PartEvidence("p", (late,))]) == []
        assert len(case.quarantine.describe("p").ends) == 1

    def test_later_end_of_an_engine_without_an_incarnation_counts_again(self):
        """Guards against an engine that ends for ever since its name is known already."""
        case = Case()
        case.end("p", engine="e1")
        case.clock.now_s += SAME_END_S
        assert case.end("p", engine="e1") == ["p"]

    def test_two_parts_are_judged_apart(self):
        """Guards against a second part that hides behind the first."""
        case = Case()
        case.quarantine_part("p")
        assert case.end("q") == []
        assert case.end("q") == ["q"]
        assert set(case.quarantine.list_quarantined()) == {"p", "q"}


class TestGroup:
    """Tests parts that were in the same ends."""

    def test_request_with_half_of_the_parts_is_sent_one_at_a_time(self):
        """Guards against a class that is refused since its first request was deadly."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end("class", "session", "p")
        quarantine = case.quarantine
        assert quarantine.find_wait_s(["class", "other session", "p"]) is not None
        assert quarantine.find_wait_s(["class", "session"]) is not None
        assert quarantine.find_wait_s(["class", "other session"]) is None
        quarantine.begin(["class"])
        assert quarantine.find_wait_s(["class", "other session"]) == TRIAL_WAIT_S
        quarantine.finish(["class"])
        quarantine.record_good(["class"])
        assert set(quarantine.list_quarantined()) == {"session", "p"}
        assert quarantine.find_wait_s(["class"]) is None

    def test_end_of_a_trial_tells_the_part_from_the_others(self):
        """Guards against a deadly part that is tried again and again beside a sound one."""
        case = Case()
        for _ in range(NEW_PART_LIMIT):
            case.end("session", "p")
        assert case.quarantine.find_wait_s(["p"]) is None
        case.end("p")
        assert case.quarantine.find_wait_s(["p"]) == pytest.approx(HOLDS_S[1])
        assert case.quarantine.find_wait_s(["p", "another session"]) is not None

    @pytest.mark.parametrize("size", [2, 3, 8, 20])
    def test_few_ends_find_the_part_among_many(self, size):
        """Guards against one end for each sound part of a new prompt."""
        case = Case()
        parts = [f"p{number}" for number in range(size)]
        for _ in range(NEW_PART_LIMIT):
            case.end(*parts)
        ends = 0
        for start in range(size):
            # Requests with one part each come in the order that is worst, the deadly one last.
            if case.quarantine.find_wait_s([parts[start]]) is not None:
                continue
            if start == size - 1:
                case.end(parts[start])
                ends += 1
                continue
            case.quarantine.record_good([parts[start]])
        assert ends <= 1
        assert case.quarantine.list_quarantined() == [parts[-1]]


class TestTrial:
    """Tests how a part is found sound again."""

    def test_hold_grows_with_each_end(self):
        """Guards against trials that end engine after engine."""
        case = Case()
        case.quarantine_part()
        for hold_s in HOLDS_S:
            assert case.quarantine.find_wait_s(["p"]) == pytest.approx(hold_s)
            case.clock.now_s += hold_s
            assert case.quarantine.find_wait_s(["p"]) is None
            case.end("p")
        assert case.quarantine.find_wait_s(["p"]) == pytest.approx(HOLDS_S[-1])

    def test_five_ends_leave_less_than_one_trial_an_hour(self):
        """Guards against more than three requests after the fifth end."""
        case = Case()
        for _ in range(5):
            case.end("p")
        sent = 0
        for _ in range(3600):
            case.clock.now_s += 1
            sent += case.quarantine.find_wait_s(["p"]) is None
        assert sent <= 1

    def test_one_trial_at_a_time(self):
        """Guards against several engines that end under trials sent together."""
        case = Case()
        case.quarantine_part()
        case.clock.now_s += HOLDS_S[0]
        case.quarantine.begin(["p"])
        assert case.quarantine.find_wait_s(["p"]) is not None
        case.quarantine.finish(["p"])
        assert case.quarantine.find_wait_s(["p"]) is None

    def test_answer_clears_the_part(self):
        """Guards against a part that stays refused after it was mended."""
        case = Case()
        case.quarantine_part()
        assert case.quarantine.record_good(["p"]) == ["p"]
        assert case.quarantine.find_wait_s(["p"]) is None
        assert case.quarantine.suspected == 0

    def test_instances_take_turns(self):
        """Guards against a trial by each instance of a fleet at the same moment."""
        names = tuple(f"i{number}" for number in range(20))
        cases = [Case(name, names) for name in names]
        for case in cases:
            case.quarantine_part()
            case.clock.now_s += HOLDS_S[0]
        assert sum(case.quarantine.find_wait_s(["p"]) is None for case in cases) == 1
        for case in cases:
            case.clock.now_s += HOLDS_S[0]
        assert sum(case.quarantine.find_wait_s(["p"]) is None for case in cases) == len(cases)


class TestMerge:
    """Tests evidence from other instances."""

    def test_ends_seen_by_two_instances_add_up(self):
        """Guards against instances that each need all the ends themselves."""
        one, two = Case(), Case()
        one.end("p", engine="e1")
        two.clock.now_s += 1
        two.end("p", engine="e2")
        assert two.quarantine.merge(one.quarantine.list_evidence(10)) == ["p"]

    def test_answer_elsewhere_clears_the_part(self):
        """Guards against a part that is refused where its session does not come."""
        case = Case()
        case.quarantine_part()
        case.clock.now_s += 1
        case.quarantine.merge([PartEvidence("p", (), case.clock.now_s)])
        assert case.quarantine.suspected == 0

    def test_earlier_answer_elsewhere_raises_the_limit(self):
        """Guards against a session that is new to this instance only."""
        case = Case()
        case.quarantine_part()
        case.quarantine.merge([PartEvidence("p", (), case.clock.now_s - 20)])
        assert case.quarantine.find_wait_s(["p"]) is None
        assert case.quarantine.suspected == 1

    def test_order_of_messages_does_not_matter(self):
        """Guards against instances that disagree for good."""
        messages = [
            PartEvidence("p", (EngineEnd("e1", 990.0),), None),
            PartEvidence("p", (), 991.0),
            PartEvidence("p", (EngineEnd("e2", 992.0), EngineEnd("e3", 993.0)), None),
        ]
        found = []
        for order in (messages, messages[::-1], messages[1:] + messages[:1]):
            case = Case()
            for message in order:
                case.quarantine.merge([message])
            known = case.quarantine.describe("p")
            found.append((sorted(end.engine for end in known.ends), known.good_s))
        assert found == [(["e2", "e3"], 991.0)] * 3

    def test_answer_holds_what_the_other_lacks(self):
        """Guards against an instance that was cut off and is told nothing."""
        case = Case()
        case.quarantine_part()
        case.quarantine.record_good(["good"])
        told = [PartEvidence("good", (EngineEnd("e9", case.clock.now_s - 5),))]
        unknown = {found.key: found for found in case.quarantine.list_unknown_to(told, 10, 10)}
        assert unknown["good"].good_s == case.clock.now_s
        assert len(unknown["p"].ends) == NEW_PART_LIMIT
        assert case.quarantine.list_unknown_to(unknown.values(), 10, 10) == []


class TestBounds:
    """Tests what callers can fill."""

    def test_invented_parts_do_not_displace_a_proven_one(self):
        """Guards against a caller that frees a part by sending others."""
        case = Case()
        case.quarantine_part()
        for number in range(2 * MAX_SUSPECTED):
            case.end(f"invented{number}")
        assert case.quarantine.suspected <= MAX_SUSPECTED
        assert case.quarantine.list_quarantined() == ["p"]

    def test_ends_of_a_part_are_bounded(self):
        """Guards against evidence that grows with each end."""
        case = Case()
        for _ in range(50):
            case.end("p")
        assert len(case.quarantine.describe("p").ends) == MAX_ENDS_PER_PART
        assert case.quarantine.find_wait_s(["p"]) == pytest.approx(HOLDS_S[-1])

    def test_parts_are_forgotten(self):
        """Guards against parts that are kept for ever."""
        case = Case()
        case.end("once")
        case.quarantine_part()
        case.clock.now_s += UNPROVEN_KEPT_S + 1
        case.quarantine.forget_old()
        assert case.quarantine.suspected == 1
        case.clock.now_s += KEPT_S
        case.quarantine.forget_old()
        assert case.quarantine.suspected == 0
