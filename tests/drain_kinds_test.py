"""Tests of what each kind of class answers to requests that are in progress when a drain ends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace

import pytest
from aiohttp import web

from jayyoke.core import code
from jayyoke.core.clock import SystemClock
from jayyoke.core.config import ClassKind
from jayyoke.core.error import Refusal, RunState
from jayyoke.ops.forward import Answer
from jayyoke.ops.limits import Limits
from jayyoke.ops.requestdrain import RequestDrain
from jayyoke.ops.stale import StaleCache
from jayyoke.plugins.late import handle_late
from jayyoke.plugins.lookup import handle_lookup
from jayyoke.plugins.once import handle_once
from jayyoke.plugins.tag import handle_tag
from tests.recorded_test import build_request

Handle = Callable[..., Awaitable[web.StreamResponse]]


async def hang(*arguments, **options):
    """Never return."""
    await asyncio.Event().wait()


class FakeOutbox:
    """Records what is added; calls of the service never end."""

    def __init__(self, add=None):
        self.added: list[str] = []
        self.add = add or self._add
        self.call = hang

    async def _add(self, entry, puts=()) -> None:
        self.added.append(entry.request_id)

    def row_key(self, entry) -> str:
        return entry.request_id

    def deliver(self, key, entry, call=None) -> None:
        call.cancel()


def build_node(**parts) -> SimpleNamespace:
    clock = SystemClock()
    return SimpleNamespace(
        clock=clock,
        drain=RequestDrain(),
        limits=Limits(clock),
        placer=SimpleNamespace(place=hang),
        durable_work=SimpleNamespace(stale=StaleCache(clock), **parts),
    )


async def handle_until_end(
    handle: Handle, kind: ClassKind, node: SimpleNamespace
) -> web.StreamResponse:
    """Begin a request with much time, end the drain, and return the answer."""
    request = replace(build_request(kind), deadline_s=node.clock.now_s() + 60.0)
    answer = asyncio.create_task(handle(node, request, None))
    await asyncio.sleep(0.02)
    node.drain.end()
    async with asyncio.timeout(5.0):
        return await answer


class TestEndOfDrain:
    def test_late_call_is_recorded_for_another_instance(self):
        """Guards against a call whose caller hears nothing and whose answer is lost."""

        async def run() -> None:
            replies = SimpleNamespace(build_pending_put=lambda *_: None)
            node = build_node(outbox=FakeOutbox(), replies=replies)
            answer = await handle_until_end(handle_late, ClassKind.LATE, node)
            assert answer.status == 202
            assert node.durable_work.outbox.added == ["r"]

        asyncio.run(run())

    def test_lookup_falls_back_on_an_earlier_answer(self):
        """Guards against a refusal although an earlier answer will do."""

        async def run() -> None:
            node = build_node()
            earlier = Answer(200, "text/plain", b"earlier")
            node.durable_work.stale.store(build_request(ClassKind.LOOKUP), earlier)
            answer = await handle_until_end(handle_lookup, ClassKind.LOOKUP, node)
            assert (answer.status, answer.headers["Jayyoke-Stale"]) == (200, "true")

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("handle", "kind", "expected"),
        [
            (handle_lookup, ClassKind.LOOKUP, code.NO_ANSWER),
            (handle_once, ClassKind.ONCE, code.OUTCOME_UNKNOWN),
            (handle_tag, ClassKind.TAG, code.TAG_NOT_DURABLE),
        ],
    )
    def test_others_are_told_that_the_outcome_is_unknown(self, handle, kind, expected):
        """Guards against a cut connection, and against 'not run' of what may run."""

        async def run() -> None:
            node = build_node(once=SimpleNamespace(run=hang), outbox=FakeOutbox(add=hang))
            with pytest.raises(Refusal) as caught:
                await handle_until_end(handle, kind, node)
            assert (caught.value.code, caught.value.run_state) == (expected, RunState.UNKNOWN)

        asyncio.run(run())
