"""Tests of what the log tells of requests that end without a whole answer."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest
from absl import logging

from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine
from tests.answers_test import wait_until_idle

MESSAGES = [{"role": "user", "content": "weigh the bales"}]


def post_chat(router: Router, request_id: str, **fields: object):
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": request_id}
    body = {"model": "draft", "messages": MESSAGES, "stream": True, "max_tokens": 8, **fields}
    return router.http.post(f"{router.url}/v1/chat/completions", json=body, headers=headers)


def read_events(caplog, request_id: str) -> list[dict]:
    """Return the log lines of a request after its placement."""
    lines = []
    for record in caplog.records:
        text = record.getMessage()
        if request_id not in text or not text.startswith("{"):
            continue
        line = json.loads(text)
        if line["event"] != "placement":
            lines.append(line)
    return lines


class TestEndedRequests:
    def test_stream_that_is_cut_is_logged_with_its_reason(self, caplog):
        """Guards against streams that end with an error event and leave no trace in the log."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 wait")
            async with run_router(engine, within_s=0.4) as router:
                async with post_chat(router, "cut-1") as answer:
                    with pytest.raises(aiohttp.ClientPayloadError):
                        await answer.read()
                await wait_until_idle(router)

        logging.set_verbosity(logging.INFO)
        with caplog.at_level("INFO", logger="absl"):
            asyncio.run(run())
        lines = read_events(caplog, "cut-1")
        assert [line["event"] for line in lines] == ["stream-cut"]
        assert (lines[0]["code"], lines[0]["run"]) == ("no-answer", "unknown")

    def test_caller_that_leaves_is_logged_with_the_stage(self, caplog):
        """Guards against requests of which only a counter tells that their callers left."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 wait")
            async with run_router(engine) as router:
                async with post_chat(router, "left-1") as answer:
                    await answer.content.readany()
                await wait_until_idle(router)

        logging.set_verbosity(logging.INFO)
        with caplog.at_level("INFO", logger="absl"):
            asyncio.run(run())
        lines = read_events(caplog, "left-1")
        assert lines == [{"event": "caller-left", "request_id": "left-1", "stage": "call"}]
