"""Tests of the soak's checks: each broken promise is found."""

from __future__ import annotations

import pytest

from soak.caller import KINDS, SECOND_KEY, STREAM_KINDS
from soak.check import check_record
from soak.record import Disturbance, KeyChange, Leaving, Record, Run, Sent, Stop
from soak.upstream import EVENT_COUNT, build_body
from standin.entryconfig import KEY
from standin.entryupstream import format_event

STREAM = b"".join(format_event(number) for number in range(EVENT_COUNT))


def build_sent(kind: str, number: int = 0, **changes: object) -> Sent:
    name = f"{kind}-{number}"
    body = STREAM if kind in STREAM_KINDS else build_body(name, "u0")
    fields = {
        "id": name,
        "kind": kind,
        "instance": 0,
        "lifetime": 1,
        "key": KEY,
        "sent_s": 100.0,
        "deadline_s": 101.5,
        "ended_s": 100.2,
        "status": 200,
        "body": body,
        "complete": True,
    }
    return Sent(**(fields | changes))


def build_run(sent: Sent, **changes: object) -> Run:
    fields = {
        "id": sent.id,
        "upstream": "u0",
        "at_s": sent.sent_s + 0.1,
        "line": f"POST /{sent.kind}/x HTTP/1.1",
        "body": sent.id.encode(),
        "team": "second" if sent.key == SECOND_KEY else "yard",
        "credentials": "",
        "expected": "u0",
        "ran": True,
    }
    return Run(**(fields | changes))


def build_record() -> Record:
    """Return the record of a run that breaks no promise."""
    record = Record(clean_from_s=99.0)
    for kind in KINDS:
        sent = build_sent(kind)
        record.sent.append(sent)
        record.runs.append(build_run(sent))
    return record


def find_broken_promises(record: Record) -> set[str]:
    return {finding.promise for finding in check_record(record, timed=True)}


class TestCheckRecord:
    def test_good_run_has_no_findings(self):
        assert check_record(build_record(), timed=True) == []

    @pytest.mark.parametrize(
        "body",
        [STREAM[:-5], STREAM + STREAM, format_event(1) + format_event(0), b""],
        ids=["torn", "doubled", "swapped", "empty"],
    )
    def test_broken_stream_that_looks_whole(self, body):
        record = build_record()
        record.sent[KINDS.index("stream")].body = body
        assert find_broken_promises(record) == {"whole answers"}

    def test_answer_of_another_request(self):
        record = build_record()
        record.sent[0].body = build_body("other", "u0")
        assert find_broken_promises(record) == {"whole answers"}

    def test_second_run_of_an_unsafe_request(self):
        record = build_record()
        record.runs.append(build_run(record.sent[KINDS.index("unsafe")], upstream="u1"))
        record.runs[-1] = build_run(
            record.sent[KINDS.index("unsafe")], upstream="u1", expected="u1"
        )
        assert find_broken_promises(record) == {"runs once"}

    def test_refused_request_that_ran(self):
        record = build_record()
        sent = build_sent("safe", 1, status=503, body=b"", sent_s=90.0)
        record.sent.append(sent)
        record.runs.append(build_run(sent))
        assert find_broken_promises(record) == {"not run is true"}

    @pytest.mark.parametrize(
        "changes",
        [
            {"id": "nobody"},
            {"body": b"changed"},
            {"credentials": "Bearer x"},
            {"team": "other"},
            {"expected": "u1"},
        ],
    )
    def test_request_that_differs_from_the_one_sent(self, changes):
        record = build_record()
        record.runs.append(build_run(record.sent[0], **changes))
        assert find_broken_promises(record) == {"nothing unasked"}

    def test_instance_that_does_not_recover(self):
        record = build_record()
        record.sent.append(build_sent("safe", 1, status=503, body=b"", complete=True))
        assert find_broken_promises(record) == {"recovers"}

    def test_late_answer(self):
        record = build_record()
        record.sent[0].ended_s = 103.0
        assert find_broken_promises(record) == {"answers in time"}
        record.disturbances.append(Disturbance(0, 100.0, 100.1, "Pause"))
        assert find_broken_promises(record) == set()

    def test_removed_key_that_is_served(self):
        record = build_record()
        record.key_changes.append(KeyChange(90.0, present=False))
        sent = build_sent("safe", 1, key=SECOND_KEY)
        record.sent.append(sent)
        record.runs.append(build_run(sent))
        assert find_broken_promises(record) == {"configuration in force"}

    def test_new_key_that_is_refused(self):
        record = build_record()
        record.key_changes.append(KeyChange(90.0, present=True))
        record.sent.append(build_sent("safe", 1, key=SECOND_KEY, status=401, body=b""))
        assert find_broken_promises(record) == {"configuration in force"}

    def test_request_to_a_drained_upstream(self):
        record = build_record()
        record.leavings.append(Leaving("u0", 90.0))
        assert find_broken_promises(record) == {"drains"}

    def test_stop_that_cuts_an_answer(self):
        record = build_record()
        record.stops.append(Stop(0, 1, 100.1, 101.0, 0))
        record.sent.append(build_sent("safe", 1, sent_s=100.05, complete=False, status=0))
        assert find_broken_promises(record) == {"stops", "recovers"}

    def test_stop_that_takes_too_long(self):
        record = build_record()
        record.stops.append(Stop(0, 1, 110.0, 119.0, -9))
        assert find_broken_promises(record) == {"stops"}

    def test_process_that_ends_by_itself(self):
        record = build_record()
        record.deaths.append("entry-0 ended with 1")
        assert find_broken_promises(record) == {"processes live"}


class TestLosses:
    """Tests the check of requests that were passed on around a stop."""

    def list_promises(self, run_ended_s: float = 1e9, **changes: object) -> set[str]:
        """Return the broken promises after a stop from 100.0 to 105.6 s that cuts one stream."""
        fields = {
            "sent_s": 102.0,
            "whole_s": 102.5,
            "deadline_s": 110.0,
            "ended_s": 105.5,
            "complete": False,
            "body": b"",
        }
        sent = build_sent("long", **(fields | changes))
        record = build_record()
        record.clean_until_s = 100.0
        record.sent = [sent]
        record.runs = [build_run(sent, ended_s=run_ended_s)]
        record.stops.append(Stop(0, 1, 100.0, 105.6, 0))
        return {finding.promise for finding in check_record(record, timed=True)} - {"recovers"}

    def test_request_whose_body_ended_late_is_found(self):
        """Guards against a soak that does not see streams that begin too late to end."""
        assert self.list_promises(whole_s=103.1) == {"loses nothing"}

    def test_answer_that_the_upstream_had_ended_is_found(self):
        """Guards against a soak that excuses answers that are still in buffers."""
        assert self.list_promises(run_ended_s=104.9) == {"loses nothing"}

    def test_cut_before_the_last_sixth_is_found(self):
        """Guards against a soak that excuses every cut of a stop."""
        assert self.list_promises(ended_s=104.9) == {"loses nothing"}

    def test_what_the_rule_allows_is_no_finding(self):
        """Guards against a check that is stricter than the users' rule."""
        assert self.list_promises() == set()
        assert self.list_promises(whole_s=103.1, deadline_s=105.5) == set()
        assert self.list_promises(whole_s=103.1, complete=True, body=STREAM) == set()


class TestDeadlyPart:
    """Tests the check of requests with the part that ends upstreams."""

    def build_record(self, ends: int, late: int) -> Record:
        """Return a record with some ends at 100 s and deadly requests that arrive at 104 s."""
        record = build_record()
        record.ends_s = [100.0] * ends
        for number in range(late):
            sent = build_sent("resume", 10 + number, sent_s=104.0, deadly=True, status=502)
            record.sent.append(sent)
            record.runs.append(build_run(sent))
        return record

    def list_promises(self, record: Record) -> set[str]:
        """Return the broken promises that concern the part."""
        found = {finding.promise for finding in check_record(record, timed=True)}
        return found & {"deadly part"}

    def test_too_many_requests_after_the_fifth_end_are_found(self):
        """Guards against a soak that does not see a part that goes on ending upstreams."""
        assert self.list_promises(self.build_record(5, 4)) == {"deadly part"}

    def test_three_requests_and_fewer_ends_are_allowed(self):
        """Guards against a check that is stricter than the users' rule."""
        assert self.list_promises(self.build_record(5, 3)) == set()
        assert self.list_promises(self.build_record(4, 10)) == set()

    def test_instance_that_was_disturbed_is_excused(self):
        """Guards against findings at instances that could not learn of the ends."""
        record = self.build_record(5, 4)
        record.disturbances.append(Disturbance(0, 101.0, 103.0, "pause"))
        assert self.list_promises(record) == set()
