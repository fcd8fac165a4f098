"""Tests of refusals of unreadable, unknown and oversized requests, and of the list of models."""

from __future__ import annotations

import asyncio
import json
import re
from pathlib import Path

import openai
import pytest

from jayyoke.core import code
from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine
from tests.answers_test import EXPECTED, PROMPT, connect, send_chat, wait_until_idle

GOOD = {"model": "draft", "messages": PROMPT, "max_tokens": 8}
DOCUMENT = Path(__file__).resolve().parent.parent / "docs" / "refusals.md"

CASES = [
    ("no key", {"headers": {"Authorization": ""}}, 401, code.UNKNOWN_TEAM),
    ("wrong key", {"headers": {"Authorization": "Bearer nobody"}}, 401, code.UNKNOWN_TEAM),
    ("other scheme", {"headers": {"Authorization": f"Basic {KEY}"}}, 401, code.UNKNOWN_TEAM),
    ("huge key", {"headers": {"Authorization": "Bearer " + "k" * 600}}, 401, code.UNKNOWN_TEAM),
    ("not JSON", {"data": b"{"}, 400, code.MALFORMED_REQUEST),
    ("not UTF-8", {"data": b"\xff\xfe{}\xff"}, 400, code.MALFORMED_REQUEST),
    ("deep JSON", {"data": b"[" * 200_000}, 400, code.MALFORMED_REQUEST),
    ("a list", {"data": b"[]"}, 400, code.MALFORMED_REQUEST),
    ("no model", {"body": {"model": None}}, 400, code.FIELD_INVALID),
    ("model type", {"body": {"model": ["draft"]}}, 400, code.FIELD_INVALID),
    ("no messages", {"body": {"messages": []}}, 400, code.FIELD_INVALID),
    ("message type", {"body": {"messages": ["hello"]}}, 400, code.FIELD_INVALID),
    ("many messages", {"body": {"messages": PROMPT * 5000}}, 400, code.FIELD_INVALID),
    ("token type", {"body": {"max_tokens": "8"}}, 400, code.FIELD_INVALID),
    ("token bool", {"body": {"max_tokens": True}}, 400, code.FIELD_INVALID),
    ("token sign", {"body": {"max_tokens": -1}}, 400, code.FIELD_INVALID),
    ("stream type", {"body": {"stream": "yes"}}, 400, code.FIELD_INVALID),
    ("options type", {"body": {"stream_options": 1}}, 400, code.FIELD_INVALID),
    ("many answers", {"body": {"n": 2}}, 400, code.FIELD_INVALID),
    ("chat type", {"body": {"prompt_cache_key": 5}}, 400, code.FIELD_INVALID),
    ("chat length", {"headers": {"X-Chat-Id": "c" * 600}}, 400, code.FIELD_INVALID),
    ("class", {"body": {"model": "nothing"}}, 404, code.UNKNOWN_CLASS),
    ("class kind", {"body": {"model": "check"}}, 404, code.UNKNOWN_CLASS),
    ("class right", {"body": {"model": "secret"}}, 403, code.CLASS_NOT_ALLOWED),
    ("id length", {"headers": {"X-Request-Id": "i" * 129}}, 400, code.REQUEST_ID_INVALID),
    ("id empty", {"headers": {"X-Request-Id": ""}}, 400, code.REQUEST_ID_INVALID),
    ("id character", {"headers": {"X-Request-Id": "a b"}}, 400, code.REQUEST_ID_INVALID),
    ("key length", {"headers": {"Idempotency-Key": "k" * 256}}, 400, code.IDEMPOTENCY_KEY_INVALID),
    ("key space", {"headers": {"Idempotency-Key": "a b"}}, 400, code.IDEMPOTENCY_KEY_INVALID),
    ("deadline", {"headers": {"X-Deadline-Ms": "soon"}}, 400, code.HEADER_INVALID),
    ("deadline past", {"headers": {"X-Deadline-Ms": "0"}}, 504, code.DEADLINE_TOO_SHORT),
    ("header size", {"headers": {"X-Large": "x" * 20_000}}, 400, code.HEADER_INVALID),
    ("body size", {"data": b"x" * (5 << 20)}, 413, code.BODY_TOO_LARGE),
    ("path", {"path": "/v2/nothing"}, 404, code.UNKNOWN_PATH),
    ("method", {"method": "GET"}, 405, code.METHOD_NOT_ALLOWED),
    ("plain class", {"path": "/v1/work/nothing"}, 404, code.UNKNOWN_CLASS),
    ("chat as plain", {"path": "/v1/work/draft/x"}, 404, code.UNKNOWN_CLASS),
]


async def send_request(router: Router, changes: dict):
    headers = {"Authorization": f"Bearer {KEY}", **changes.get("headers", {})}
    data = changes.get("data") or json.dumps(GOOD | changes.get("body", {})).encode()
    url = router.url + changes.get("path", "/v1/chat/completions")
    method = changes.get("method", "POST")
    async with router.http.request(method, url, data=data, headers=headers) as answer:
        return answer.status, answer.headers, await answer.json(content_type=None)


class TestRefusal:
    def test_every_unreadable_request_gets_its_code(self):
        """Guards against a plain error page, a wrong code, and dispatching a refused request."""

        async def run() -> list:
            engine = ScriptedEngine("one")
            wrong = []
            async with run_router(engine) as router:
                for name, changes, status, expected in CASES:
                    actual_status, headers, body = await send_request(router, changes)
                    run_state = headers.get("Jayyoke-Run")
                    answered = (actual_status, body["code"], body["error"]["code"], run_state)
                    if answered != (status, expected, expected, "not-run"):
                        wrong.append((name, answered))
                    assert headers["Content-Type"].startswith("application/problem+json")
                    assert headers["X-Request-Id"] == body["request_id"]
                assert await send_chat(router) == EXPECTED
            assert len(engine.ports) == 1
            return wrong

        assert asyncio.run(run()) == []

    def test_slow_body_times_out(self):
        """Guards against a caller that occupies a connection with an unfinished body."""

        async def run() -> None:
            async with run_router(ScriptedEngine("one"), body_timeout_s=0.2) as router:
                reader, writer = await asyncio.open_connection("127.0.0.1", router.port)
                head = (
                    f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}"
                )
                writer.write(f"{head}\r\nContent-Length: 100\r\n\r\n{{".encode())
                async with asyncio.timeout(20):
                    seen = await reader.readuntil(b"\r\n\r\n")
                assert seen.startswith(b"HTTP/1.1 408")
                assert b"Jayyoke-Run: not-run" in seen
                writer.close()

        asyncio.run(run())

    def test_id_in_progress_is_refused_with_run_unknown(self):
        """Guards against `not-run` for an id that another connection is running."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 wait rest stop")
            async with run_router(engine) as router:
                headers = {"X-Request-Id": "same"}
                first = asyncio.create_task(send_chat(router, extra_headers=headers))
                await engine.called.wait()
                status, actual_headers, body = await send_request(router, {"headers": headers})
                assert (status, body["code"]) == (409, code.REQUEST_ID_IN_USE)
                assert actual_headers["Jayyoke-Run"] == "unknown"
                engine.continue_event.set()
                assert await first == EXPECTED

        asyncio.run(run())

    def test_engine_that_rejects_a_request_passes_its_status_on(self):
        """Guards against retries of a request that no engine will accept."""

        async def run() -> None:
            engine = ScriptedEngine("one", "status:422")
            async with run_router(engine) as router:
                status, headers, body = await send_request(router, {})
                assert (status, body["code"]) == (422, code.UPSTREAM_REJECTED)
                assert headers["Jayyoke-Run"] == "unknown"
                await wait_until_idle(router)
            assert len(engine.ports) == 1

        asyncio.run(run())

    def test_every_code_is_documented(self):
        """Guards against a code that callers cannot look up."""
        codes = {value for name, value in vars(code).items() if name.isupper()}
        documented = set(re.findall(r"^\| `([a-z-]+)`", DOCUMENT.read_text(), re.MULTILINE))
        assert codes == documented


class TestModels:
    def test_list_holds_the_chat_classes_of_the_team(self):
        """Guards against classes of other kinds or other teams in the list."""

        async def run() -> None:
            async with run_router(ScriptedEngine("one")) as router:
                listed = await connect(router).models.list()
                assert [model.id for model in listed.data] == ["draft"]
                listed = await connect(router, "other-key").models.list()
                assert [model.id for model in listed.data] == ["draft", "secret"]
                assert (await connect(router).models.retrieve("draft")).id == "draft"
                with pytest.raises(openai.PermissionDeniedError):
                    await connect(router).models.retrieve("secret")
                with pytest.raises(openai.AuthenticationError):
                    await connect(router, "wrong").models.list()

        asyncio.run(run())
