"""Tests that a fleet of jayyoked keeps to the limits that upstreams name."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from standin.deployment import DEPLOYMENTS
from standin.fleet import TEAM_KEYS, Fleet, Process, run_fleet
from standin.observe import read_arrivals

LIMIT_PER_S = 3.0
# The rule: from 3 s after the limit was named first, at most this many in any 4 s.
FROM_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
RUN_S = 12.0
PAUSE_S = 0.1
HEADERS = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}

Answer = tuple[int, str]


async def call_plain(fleet: Fleet, instance: Process, number: int) -> Answer:
    """Send a lookup; return status and Retry-After."""
    url = f"{instance.url}/v1/work/weight-check/bale-{number}"
    async with fleet.http.get(url, headers=HEADERS) as answer:
        await answer.read()
        return answer.status, answer.headers.get("Retry-After", "")


async def call_chat(fleet: Fleet, instance: Process, number: int) -> Answer:
    """Send a chat of its own; return status and Retry-After."""
    messages = [{"role": "user", "content": f"chat {number}"}]
    body = {"model": "draft", "messages": messages, "stream": True, "max_tokens": 3}
    url = f"{instance.url}/v1/chat/completions"
    async with fleet.http.post(url, json=body, headers=HEADERS) as answer:
        await answer.read()
        return answer.status, answer.headers.get("Retry-After", "")


class TestFleet:
    """Plays callers of six instances that send far more than the upstreams take together."""

    @pytest.mark.parametrize("kind", ["plain", "chat"])
    def test_upstreams_get_what_they_take(self, kind):
        """Guards against instances that each keep to the limit, or to none."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                call = call_plain if kind == "plain" else call_chat
                upstreams = fleet.plain_upstreams if kind == "plain" else fleet.engines
                for upstream in upstreams:
                    fault = {"limit_per_s": LIMIT_PER_S}
                    async with fleet.http.post(f"{upstream.url}/fault", json=fault) as answer:
                        assert answer.status == 200
                answers = await play(fleet, call)
                for upstream in upstreams:
                    arrivals = [item.at_s for item in await read_arrivals(fleet, upstream)]
                    assert count_most(arrivals) <= ALLOWED
                statuses = Counter(status for status, _ in answers)
                assert set(statuses) == {200, 503}
                # Half of what the upstreams take, so that a fleet which refuses all would fail.
                assert statuses[200] >= 0.5 * RUN_S * LIMIT_PER_S * len(upstreams)
                assert all(wait for status, wait in answers if status == 503)

        asyncio.run(run())


async def play(
    fleet: Fleet, call: Callable[[Fleet, Process, int], Awaitable[Answer]]
) -> list[Answer]:
    """Let each instance have a few callers for some seconds; return all answers."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + RUN_S
    answers: list[Answer] = []

    async def send(instance: Process, first: int) -> None:
        number = first
        while loop.time() < end_s:
            number += 1
            answers.append(await call(fleet, instance, number))
            await asyncio.sleep(PAUSE_S)

    async with asyncio.TaskGroup() as group:
        for index, instance in enumerate(fleet.instances * 3):
            group.create_task(send(instance, 10_000 * index))
    return answers


def count_most(arrivals: list[float]) -> int:
    """Return how many arrivals some window has, from a while after the first one on."""
    late = [at_s for at_s in arrivals if at_s >= arrivals[0] + FROM_S]
    most = 0
    for at_s in late:
        most = max(most, sum(at_s <= other_s < at_s + WINDOW_S for other_s in late))
    return most
