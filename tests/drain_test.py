"""Tests the graceful shutdown of a real daemon while a stream runs."""

from __future__ import annotations

import asyncio
import signal

from standin.deployment import DEPLOYMENTS
from standin.fleet import TEAM_KEYS, run_fleet

TOKENS = 400
SIGNAL_INTERVAL_S = 0.002


class TestDrain:
    def test_running_stream_is_finished_before_exit(self):
        """Guards against a shutdown that cuts off a stream, stays ready or exits with an error."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                instance = fleet.instances[0]
                messages = [{"role": "user", "content": "long"}]
                body = {"model": "draft", "messages": messages, "stream": True}
                headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
                url = f"{instance.url}/v1/chat/completions"
                body["max_tokens"] = TOKENS
                async with fleet.http.post(url, json=body, headers=headers) as answer:
                    received = await answer.content.readany()
                    instance.send_signal(signal.SIGTERM)
                    assert await wait_until_unready(fleet, instance)
                    assert instance.child.poll() is None
                    received += await answer.content.read()
                assert received.count(b'"content"') == TOKENS
                assert received.endswith(b"data: [DONE]\n\n")
                assert await instance.wait() == 0

        asyncio.run(run())

    def test_signals_that_come_again_do_not_end_it(self):
        """Guards against a stop that ends by a signal, once the event loop handles none."""

        async def run() -> int | None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                instance = fleet.instances[0]
                while instance.child.poll() is None:
                    instance.send_signal(signal.SIGTERM)
                    await asyncio.sleep(SIGNAL_INTERVAL_S)
                return await instance.wait()

        assert asyncio.run(run()) == 0


async def wait_until_unready(fleet, instance) -> bool:
    """Return True once /readyz answers 503; raise ClientError if the instance has stopped."""
    while True:
        async with fleet.http.get(f"{instance.operator_url}/readyz") as answer:
            if answer.status == 503:
                return True
        await asyncio.sleep(0.02)
