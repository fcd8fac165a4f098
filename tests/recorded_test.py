"""Tests of once-only claims, tags, late replies and stale lookups over a table in memory."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from bench.memory import MemoryObjects, MemoryTable, VirtualLoop
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, SettlementMethod, TeamSpec
from jayyoke.core.error import Conflict, ConnectFailed, Effect, Refusal, RunState, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.claim import (
    CLAIM_LEASE_S,
    ClaimLost,
    Claims,
    ClaimState,
    claim_key,
    decode_claim,
)
from jayyoke.ops.forward import Answer
from jayyoke.ops.limits import Limits
from jayyoke.ops.outbox import OWNER_LEASE_S, Outbox, OutboxEntry, build_entry, decode_entry
from jayyoke.ops.placement import Placement
from jayyoke.ops.reply import Replies, decode_reply
from jayyoke.ops.requestdrain import RequestDrain
from jayyoke.ops.settle import OnceRunner
from jayyoke.ops.stale import MAX_ENTRIES, StaleCache
from jayyoke.platform.table import Put
from jayyoke.plugins import lookup
from jayyoke.plugins.tag import handle_tag
from jayyoke.wire.local import LocalHub


def build_request(kind: ClassKind, durable: bool = False, team: str = "team") -> CallerRequest:
    spec = ClassSpec("c", kind, "s", 5.0, max_repeats=2, stale_for_s=60.0)
    service = ServiceSpec("s", "plain", SettlementMethod.DEDUPLICATES, stores_durably=durable)
    return CallerRequest("r", TeamSpec(team, ""), spec, service, 0, 5.0, idempotency_key="k")


def run(coroutine) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


class _ThrottledService:
    """Answers every call with 429 and counts the calls."""

    def __init__(self):
        self.calls = 0

    async def place(self, request, exclude):
        return Upstream("desk-0", "desk", "a", "")

    async def send(self, upstream, request, timeout_s):
        self.calls += 1
        return Answer(429, "text/plain", b"later")

    async def lookup(self, request, timeout_s):
        return None


class TestThrottledAnswers:
    def test_throttled_call_is_not_recorded_as_the_answer_of_its_key(self):
        """Guards against a key that answers 429 from then on, and a false not-run."""

        async def work() -> None:
            table = MemoryTable(random.Random(1))
            clock = ManualClock()
            claims = Claims(table, MemoryObjects(), table.commit, clock, "a")
            service = _ThrottledService()
            runner = OnceRunner(claims, service, clock)
            request = build_request(ClassKind.ONCE)
            request = replace(
                request, service=replace(request.service, settle=SettlementMethod.NONE)
            )
            with pytest.raises(Refusal) as refused:
                await runner.run(request)
            assert refused.value.run_state is RunState.UNKNOWN
            found = await claims.find(claim_key(request))
            assert found.claim.state is ClaimState.UNKNOWN
            assert service.calls == 1

        run(work())


class TestClaims:
    def test_pause_past_the_lease_needs_a_new_fencing_token(self):
        """Guards against a paused holder that sends after another took its claim over."""

        async def work() -> None:
            clock = ManualClock()
            table = MemoryTable(random.Random(1))
            claims = Claims(table, MemoryObjects(), table.commit, clock, "a")
            request = build_request(ClassKind.ONCE)
            held = await claims.acquire(request, "t1")
            clock.advance(CLAIM_LEASE_S + 1)
            held = await claims.validate(held)
            assert held.claim.fence == 2
            await claims.take_over(await claims.find(held.key), request)
            assert await claims.validate(held) is held
            clock.advance(CLAIM_LEASE_S + 1)
            with pytest.raises(ClaimLost):
                await claims.validate(held)

        run(work())

    def test_delayed_write_of_an_earlier_holder_conflicts_with_a_later_claim(self):
        """Guards against a release that deletes the row, so that its version is counted anew."""

        async def work() -> None:
            table = MemoryTable(random.Random(1))
            claims = Claims(table, MemoryObjects(), table.commit, ManualClock(), "a")
            request = build_request(ClassKind.ONCE)
            first = await claims.acquire(request, "t1")
            delayed = Put(first.key, b"released again", first.version)
            assert await claims.set_state(first.key, "t1", ClaimState.RELEASED)
            assert (await claims.acquire(request, "t2")).claim.token == "t2"
            with pytest.raises(Conflict):
                await table.commit([delayed])

        run(work())

    def test_holder_that_lost_its_claim_sends_nothing(self):
        """Guards against a runner that sends after a pause without validating its claim."""

        async def work() -> None:
            clock = ManualClock()
            table = MemoryTable(random.Random(1))
            other = Claims(table, MemoryObjects(), table.commit, clock, "b")
            request = build_request(ClassKind.ONCE)

            async def commit_and_pause(puts) -> None:
                await table.commit(puts)
                if len(table.rows) == 1 and clock.now_s() == 0:
                    clock.advance(CLAIM_LEASE_S + 1)
                    await other.take_over(await other.find(puts[0].key), request)

            claims = Claims(table, MemoryObjects(), commit_and_pause, clock, "a")
            service = FakeService(200)
            request = replace(request, deadline_s=60.0)
            with pytest.raises(Refusal, match="claim-lost") as caught:
                await OnceRunner(claims, service, clock).run(request)
            assert (caught.value.run_state, service.sent) == (RunState.NOT_RUN, 0)

        run(work())

    @pytest.mark.parametrize("decode", [decode_claim, decode_entry, decode_reply])
    @pytest.mark.parametrize("value", [b"", b"[]", b'{"body": "?"}', b'{"body": ""}', b"\xff"])
    def test_malformed_rows_raise_store_unavailable(self, decode, value):
        """Guards against a crash on a row that another program damaged."""
        with pytest.raises(StoreUnavailable):
            decode(value)


class FailingOutbox:
    def __init__(self, effect: Effect):
        self.effect = effect

    async def add(self, entry: OutboxEntry) -> None:
        raise StoreUnavailable("down", self.effect)


class FakeService:
    def __init__(self, result):
        self.result = result
        self.sent = 0

    async def place(self, request, exclude) -> Upstream:
        if exclude:
            raise Refusal(503, "no-upstream", "", RunState.NOT_RUN)
        return Upstream("u", "s", "d", "")

    async def send(self, upstream, request, timeout_s) -> Answer:
        self.sent += 1
        if isinstance(self.result, Exception):
            raise self.result
        return Answer(self.result, "text/plain", b"")


class TestTagWithoutTable:
    @pytest.mark.parametrize(
        ("durable", "effect", "result", "expected"),
        [
            (False, Effect.NONE, 200, RunState.NOT_RUN),
            (False, Effect.UNKNOWN, 200, RunState.UNKNOWN),
            (True, Effect.NONE, 200, None),
            (True, Effect.NONE, ConnectFailed("refused"), RunState.NOT_RUN),
            (True, Effect.NONE, 500, RunState.UNKNOWN),
        ],
    )
    def test_tag_is_acknowledged_only_if_a_service_stored_it(
        self, durable, effect, result, expected
    ):
        """Guards against lost tags and wrong refusals during an outage of the table."""

        async def work() -> None:
            service = FakeService(result)
            parts = SimpleNamespace(outbox=FailingOutbox(effect), service=service)
            node = SimpleNamespace(durable_work=parts, clock=ManualClock(), drain=RequestDrain())
            request = build_request(ClassKind.TAG, durable)
            if expected is None:
                assert (await handle_tag(node, request, None)).status == 202
                return
            with pytest.raises(Refusal) as caught:
                await handle_tag(node, request, None)
            assert caught.value.run_state is expected
            assert service.sent == (1 if durable else 0)

        run(work())


class TestOutbox:
    def test_failed_renewal_after_the_commit_is_unknown(self):
        """Guards against a tag refused as not run although its row is in the table."""

        async def work() -> None:
            clock = ManualClock()
            table = MemoryTable(random.Random(1))

            async def commit(puts) -> None:
                await table.commit(puts)
                if puts[0].key.startswith("outbox/"):
                    clock.advance(OWNER_LEASE_S)
                    table.down = True

            peers = LocalHub().join(Member("a", "d", 1, ""))
            outbox = Outbox(table, commit, FakeService(200), None, peers, clock)
            entry = build_entry(build_request(ClassKind.TAG))
            with pytest.raises(StoreUnavailable) as caught:
                await outbox.add(entry)
            assert outbox.row_key(entry) in table.rows
            assert caught.value.effect is Effect.UNKNOWN

        run(work())

    def test_sweep_reads_no_more_in_a_larger_fleet_and_finds_lost_domains(self):
        """Guards against sweeps that read all owners, or miss rows of a domain that is gone."""

        async def work() -> None:
            read = []
            for domains in (14, 28):
                clock = ManualClock()
                table = MemoryTable(random.Random(1))
                peers = LocalHub().join(Member("a", "d0", 1, ""))
                outbox = Outbox(table, table.commit, FakeService(200), None, peers, clock)
                for owner in range(30 * domains):
                    table.rows[f"owner/d{owner % domains}/i{owner}.1"] = (b"", 1)
                await outbox.sweep()
                read.append((table.scans, table.rows_read))
                lost = f"owner/d9/i{30 * domains - domains + 9}.1"
                for _ in range(20):
                    clock.advance(3.0)
                    for key, (value, version) in table.rows.items():
                        table.rows[key] = (value, version + (key != lost))
                    await outbox.sweep()
                assert lost not in table.rows
                assert len(table.rows) == 30 * domains - 1
            assert read[0] == read[1] == (2, 130)

        run(work())

    def test_rows_of_an_adopter_that_dies_are_adopted_again(self):
        """Guards against an adoption that removes the owner's row before the calls ran."""

        async def work() -> None:
            clock, hub = ManualClock(), LocalHub()
            table = MemoryTable(random.Random(1))

            def build(name: str, result) -> Outbox:
                peers = hub.join(Member(name, "d", 1, ""))
                return Outbox(table, table.commit, FakeService(result), None, peers, clock)

            await build("a", 200).add(build_entry(build_request(ClassKind.TAG)))
            hub.leave("a")
            for name, result in (("b", ConnectFailed("refused")), ("c", 200)):
                adopter = build(name, result)
                for _ in range(3):
                    await adopter.sweep()
                    clock.advance(OWNER_LEASE_S)
                await adopter.drain(0.1)
                assert adopter._service.sent, f"{name} adopted nothing"
                for task in adopter._delivering.values():
                    task.cancel()
                hub.leave(name)
            assert not [key for key in table.rows if key.startswith("outbox/")]

        run(work())


class TestReplies:
    def test_unknown_foreign_and_expired_replies_are_refused(self):
        """Guards against replies shown to another team or after they expired."""

        async def work() -> None:
            table = MemoryTable(random.Random(1))
            now = [0.0]
            replies = Replies(table, MemoryObjects(), lambda: now[0])
            entry = build_entry(build_request(ClassKind.LATE))
            await table.commit([replies.build_pending_put("r", "team", entry.token, 10)])
            assert await replies.fetch("r", "team") is None
            answer = Answer(200, "text/plain", b"late" * 9000)
            await table.commit([await replies.build_answered_put("r", entry.token, answer)])
            assert await replies.build_answered_put("r", entry.token, answer) is None
            assert await replies.fetch("r", "team") == answer
            for request_id, team, at_s, status in (
                ("x", "team", 0, 404),
                ("r", "other", 0, 403),
                ("r", "team", 11, 410),
            ):
                now[0] = at_s
                with pytest.raises(Refusal) as caught:
                    await replies.fetch(request_id, team)
                assert caught.value.status == status

        run(work())


class TestLookup:
    def test_stale_answer_replaces_a_refusal(self, monkeypatch):
        """Guards against a refusal although a stale answer exists, and another team's answer."""

        async def work() -> None:
            clock = ManualClock()
            stale = StaleCache(clock)
            durable_work = SimpleNamespace(stale=stale)
            node = SimpleNamespace(clock=clock, durable_work=durable_work, drain=RequestDrain())
            request = build_request(ClassKind.LOOKUP)
            stale.store(request, Answer(200, "text/plain", b"bale"))

            async def refuse(node, request):
                raise Refusal(504, "no-answer", "", RunState.UNKNOWN)

            monkeypatch.setattr(lookup, "_call_repeatedly", refuse)
            clock.advance(30)
            answer = await lookup.handle_lookup(node, request, None)
            assert (answer.headers["Jayyoke-Stale"], answer.headers["Age"]) == ("true", "30")
            with pytest.raises(Refusal):
                other = build_request(ClassKind.LOOKUP, team="other")
                await lookup.handle_lookup(node, other, None)
            clock.advance(31)
            with pytest.raises(Refusal):
                await lookup.handle_lookup(node, request, None)

        run(work())

    @pytest.mark.parametrize(("others", "expected"), [(True, (b"u2", 0.2)), (False, (b"u1", 1.0))])
    def test_late_first_attempt_is_hedged_on_another_upstream(self, monkeypatch, others, expected):
        """Guards against a slow upstream that delays lookups, and a hedge that fails them."""

        async def work() -> None:
            loop = asyncio.get_running_loop()
            placed_upstreams: list[str] = []

            async def place(request, exclude):
                remaining = [name for name in ("u1", "u2")[: 1 + others] if name not in exclude]
                if not remaining:
                    raise Refusal(503, "no-upstream", "", RunState.NOT_RUN)
                placed_upstreams.append(remaining[0])
                return Placement(Upstream(remaining[0], "s", "d", ""), "static", ())

            async def call(http, upstream, request, timeout_s, notices, request_limits):
                await asyncio.sleep(1.0 if upstream.name == "u1" else 0.1)
                return Answer(200, "text/plain", upstream.name.encode())

            monkeypatch.setattr(lookup, "call_plain", call)
            placer = SimpleNamespace(place=place, notices=None, request_limits=None)
            placer.release = lambda _, placed: placed_upstreams.remove(placed.upstream.name)
            limits = Limits(loop)
            request = replace(build_request(ClassKind.LOOKUP), deadline_s=loop.now_s() + 5.0)
            for _ in range(100):
                limits.hedges.observe(request.class_spec, 0.1)
            node = SimpleNamespace(clock=loop, placer=placer, limits=limits, http=None)
            began_s = loop.now_s()
            answer = await lookup._call_repeatedly(node, request)
            seconds = round(loop.now_s() - began_s, 1)
            assert ((answer.body, seconds), placed_upstreams) == (expected, [])
            assert limits.retries.spent == 1

        run(work())

    def test_cache_is_bounded(self):
        """Guards against a cache that grows with the number of different lookups."""
        stale = StaleCache(ManualClock())
        for index in range(MAX_ENTRIES + 10):
            request = build_request(ClassKind.LOOKUP, team=str(index))
            stale.store(request, Answer(200, "text/plain", json.dumps(index).encode()))
        assert stale.find(build_request(ClassKind.LOOKUP, team="0")) is None
        assert stale.find(build_request(ClassKind.LOOKUP, team="100")) is not None
