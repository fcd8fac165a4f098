"""Retry budget, hedging, deadlines, team loads and decision lines."""

from __future__ import annotations

import asyncio
import json

import pytest
from absl import logging

from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, TeamSpec
from jayyoke.core.error import AnswerBroken, Refusal, RunState
from jayyoke.core.request import CallerRequest
from jayyoke.hedging.delay import MIN_SAMPLES
from jayyoke.ops.deadline import parse_deadline
from jayyoke.ops.decisionlog import DecisionLog
from jayyoke.ops.hedge import HedgeDelays, call_hedged
from jayyoke.ops.limits import Limits
from jayyoke.ops.retrybudget import RetryBudget

LOOKUP = ClassSpec("check", ClassKind.LOOKUP, "desk", 1.0, max_repeats=1)
ONCE = ClassSpec("stamp", ClassKind.ONCE, "desk", 1.0, max_repeats=1)
SECRET = "the-secret-body"


def build_request(team: str = "yard") -> CallerRequest:
    service = ServiceSpec("desk", "plain")
    spec = TeamSpec(team, "hash-of-the-key")
    return CallerRequest("r-1", spec, LOOKUP, service, 0.0, 1e9, body=SECRET.encode())


class TestRetryBudget:
    def test_retries_stay_a_tenth_of_the_requests(self):
        """Guards against retries that multiply the load of an outage."""
        budget = RetryBudget()
        spent = 0
        for _ in range(1000):
            budget.add_request()
            spent += budget.spend() + budget.spend()
        assert 100 <= spent <= 110
        assert budget.refused == 2000 - spent


class TestHedging:
    def test_only_repeatable_classes_hedge_and_only_after_the_percentile_is_known(self):
        """Guards against a second run of once-only work and hedges at an arbitrary delay."""
        delays = HedgeDelays()
        for _ in range(MIN_SAMPLES - 1):
            delays.observe(LOOKUP, 0.05)
            delays.observe(ONCE, 0.05)
        assert delays.find_s(LOOKUP) is None
        delays.observe(LOOKUP, 0.05)
        delays.observe(ONCE, 0.05)
        assert delays.find_s(LOOKUP) == pytest.approx(0.05, rel=0.02)
        assert delays.find_s(ONCE) is None

    @pytest.mark.parametrize(("reserve", "expected"), [(1.0, "second"), (0.0, "first")])
    def test_second_attempt_needs_the_budget_and_cancels_the_loser(self, reserve, expected):
        """Guards against hedges outside the retry budget and attempts that are never ended."""

        async def run() -> None:
            ended = []
            release = asyncio.Event()

            async def first() -> str:
                try:
                    await release.wait()
                    return "first"
                finally:
                    ended.append("first")

            async def second() -> str:
                return "second"

            if reserve == 0.0:
                asyncio.get_running_loop().call_later(0.05, release.set)
            seen = await call_hedged(first, second, 0.01, RetryBudget(reserve=reserve))
            assert (seen, ended) == (expected, ["first"])

        asyncio.run(run())

    def test_failure_of_both_is_the_first_failure(self):
        """Guards against an error that hides what happened to the first attempt."""

        async def run() -> None:
            async def first() -> str:
                await asyncio.sleep(0.03)
                raise AnswerBroken("first")

            async def second() -> str:
                raise AnswerBroken("second")

            with pytest.raises(AnswerBroken, match="first"):
                await call_hedged(first, second, 0.0, RetryBudget())

        asyncio.run(run())


class TestDeadline:
    @pytest.mark.parametrize("text", ["", "-1", "1.5", "1e3", "\u0663", "9" * 10, "0"])
    def test_unreadable_deadline_is_refused(self, text):
        """Guards against a deadline that is ignored or read as another number."""
        with pytest.raises(Refusal):
            parse_deadline(text, 5.0)

    def test_deadline_never_exceeds_the_class(self):
        """Guards against callers that use capacity for longer than the operator allows."""
        assert parse_deadline("250", 5.0) == 0.25
        assert parse_deadline("999999", 5.0) == 5.0


class TestTeamLoads:
    def test_digest_names_few_teams_and_a_peer_takes_them_over(self):
        """Guards against digests that grow with the number of teams and mix shares of services."""

        async def run() -> None:
            one, two = Limits(), Limits()
            for index in range(40):
                await one.admit(build_request(f"team-{index}"))
            await two.admit(build_request("team-0"))
            loads = one.build_team_loads()
            assert len(loads) == 8
            two.accept_team_loads("one", loads)
            name = loads[0].team.partition("/")[2]
            assert two.queues["desk"].get_team_weight(name) < 1
            assert two.queues["desk"].get_team_weight("other") == 1

        asyncio.run(run())


class TestDecisionLog:
    def test_lines_are_limited_counted_and_without_secrets(self, caplog):
        """Guards against log floods, silent loss of lines, and bodies or keys in the log."""
        logging.set_verbosity(logging.INFO)
        log = DecisionLog(lines_per_s=0.0, burst=2.0)
        with caplog.at_level("INFO", logger="absl"):
            for _ in range(5):
                log.write(build_request(), "engine-1", "remembered", ["engine-2"])
            log._bucket._tokens = 1.0
            log.write(build_request(), "engine-1", "remembered")
        lines = [json.loads(record.getMessage()) for record in caplog.records]
        assert len(lines) == 3
        assert lines[-1]["dropped_lines"] == 3
        assert lines[0]["passed_over"] == ["engine-2"]
        assert SECRET not in caplog.text
        assert "hash-of-the-key" not in caplog.text

    def test_refusal_has_its_cause_and_counts_to_the_limit(self, caplog):
        """Guards against failed requests whose id occurs in no log line."""
        logging.set_verbosity(logging.INFO)
        log = DecisionLog(lines_per_s=0.0, burst=1.0)
        refusal = Refusal(502, "answer-broken", "e1: silent", RunState.UNKNOWN)
        with caplog.at_level("INFO", logger="absl"):
            log.write_refusal("r-1", refusal)
            log.write_refusal("r-2", refusal)
        lines = [json.loads(record.getMessage()) for record in caplog.records]
        assert [(line["request_id"], line["reason"]) for line in lines] == [("r-1", "e1: silent")]
        assert log.dropped == 1

    def test_lines_on_failures_survive_many_placements(self, caplog):
        """Guards against an overload whose ordinary lines leave none for the requests it fails."""
        logging.set_verbosity(logging.INFO)
        log = DecisionLog(lines_per_s=0.0, burst=2.0)
        refusal = Refusal(502, "answer-broken", "e1: silent", RunState.UNKNOWN)
        with caplog.at_level("INFO", logger="absl"):
            for _ in range(5):
                log.write(build_request(), "engine-1", "remembered")
            log.write_refusal("r-1", refusal)
            log.write_end("caller-left", "r-2", "call")
        lines = [json.loads(record.getMessage()) for record in caplog.records]
        assert [line["request_id"] for line in lines[-2:]] == ["r-1", "r-2"]
