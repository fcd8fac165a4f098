"""Tests pipelined requests to a daemon that stops."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from standin.deployment import DEPLOYMENTS
from standin.fleet import TEAM_KEYS, run_fleet
from tests.drain_test import wait_until_unready


class TestPipelinedRequest:
    """Tests a request that arrives together with the one before it."""

    @pytest.mark.parametrize("stream", [False, True])
    def test_it_is_answered_too(self, stream):
        """Guards against a request that is read and closed with its connection, unanswered."""

        async def run() -> bytes:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                instance = fleet.instances[0]
                instance.send_signal(signal.SIGTERM)
                assert await wait_until_unready(fleet, instance)
                messages = [{"role": "user", "content": "short"}]
                body = {"model": "draft", "messages": messages, "stream": stream, "max_tokens": 4}
                data = json.dumps(body).encode()
                host, _, port = instance.url.removeprefix("http://").rpartition(":")
                head = (
                    f"POST /v1/chat/completions HTTP/1.1\r\nHost: {host}\r\n"
                    f"Authorization: Bearer {TEAM_KEYS[0]}\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(2 * (head.encode() + data))
                received = await reader.read()
                writer.close()
                assert await instance.wait() == 0
                return received

        assert asyncio.run(run()).count(b"HTTP/1.1 200 OK") == 2
