"""Fuzz model of answers: the relay against engines that cut, cross, truncate or stop streams."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from types import SimpleNamespace

import aiohttp
from absl import logging
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bench.memory import VirtualLoop
from jayyoke.core.code import NO_UPSTREAM, refuse
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, TeamSpec
from jayyoke.core.error import Refusal, UpstreamError
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.forward import SILENCE_TIMEOUT_S, EngineStreams
from jayyoke.ops.limits import Limits
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.placement import Placement
from jayyoke.ops.streamrelay import StreamRelay

ENGINES = ("e0", "e1", "e2")
WITHIN_S = 20.0
SERVICE = ServiceSpec("pool", "engine")
SPEC = ClassSpec("draft", ClassKind.CHAT, "pool", WITHIN_S)
TEAM = TeamSpec("team", "")
# Texts that imitate the events which the relay looks for.
TEXTS = ('"finish_reason":"stop"', "data: [DONE]\n\n", 'data: {"error": 1}', "weight", "\r\n\r\n")
HEAD_FAULTS = ("refused", "crossed", "no id", "text", "status 503", "status 500", "mute")
BODY_FAULTS = (
    "abort",
    "end",
    "half abort",
    "half end",
    "silent",
    "error",
    "error finish",
    "done",
    "done abort",
    "finish abort",
    "finish end",
    "finish silent",
    "finish more",
    "none",
)
FAULTS = st.sampled_from(BODY_FAULTS + HEAD_FAULTS)
SEEDS = st.integers(0, 2**16)
EVENT = {"id": "c", "object": "chat.completion.chunk", "created": 0, "model": "m"}


@dataclass(slots=True)
class Script:
    """Describes one connection: its fault, and after how many tokens the fault strikes."""

    fault: str
    after: int = 0
    seed: int = 0


def text_of(request_id: str, position: int) -> str:
    """Return the token at a position of the answer to a request."""
    return f"{request_id} {position} {TEXTS[position % len(TEXTS)]}|"


class Stream:
    """Stands for the body of an answer: chunks, then an end, a cut or silence."""

    def __init__(self, chunks: list[bytes], end: str):
        self._chunks = chunks
        self._end = end

    def at_eof(self) -> bool:
        """Tell whether the regular end was read."""
        return not self._chunks and self._end == "end"

    async def readany(self) -> bytes:
        """Return the next chunk, or fail as the script says."""
        await asyncio.sleep(0.002)
        if self._chunks:
            return self._chunks.pop(0)
        match self._end:
            case "end":
                return b""
            case "silent":
                await asyncio.sleep(SILENCE_TIMEOUT_S)
                raise aiohttp.SocketTimeoutError("silent")
            case _:
                raise aiohttp.ClientPayloadError("cut")


@dataclass(slots=True)
class Response:
    """Stands for an answer of aiohttp."""

    status: int
    headers: dict[str, str]
    content: Stream
    content_type: str = "text/event-stream"
    closed: bool = False

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


@dataclass(slots=True)
class ScriptedSession:
    """Answers each call by the next script, then completely."""

    scripts: list[Script] = field(default_factory=list)
    totals: dict[str, int] = field(default_factory=dict)

    async def post(self, url, data=None, headers=None, timeout=None, allow_redirects=True):
        """Return an answer to a completion request."""
        await asyncio.sleep(0.002)
        request_id = headers["X-Request-Id"]
        script = self.scripts.pop(0) if self.scripts else Script("none")
        match script.fault:
            case "refused":
                raise aiohttp.ConnectionTimeoutError("refused")
            case "mute":
                await asyncio.sleep(SILENCE_TIMEOUT_S)
                raise aiohttp.SocketTimeoutError("no head")
        head = {"X-Request-Id": "other" if script.fault == "crossed" else request_id}
        if script.fault == "no id":
            head = {}
        status = int(script.fault[7:]) if script.fault.startswith("status") else 200
        answered = "other" if script.fault == "crossed" else request_id
        position = int(headers.get("X-Resume-From", "0"))
        body = build_body(answered, position, self.totals[request_id], script)
        content_type = "text/plain" if script.fault == "text" else "text/event-stream"
        return Response(status, head, body, content_type)


def build_body(request_id: str, position: int, total: int, script: Script) -> Stream:
    """Return the body that a connection's script makes of an answer from a position on."""
    rng = random.Random(script.seed)
    parts = [_format({"role": "assistant", "content": ""}, rng)]
    fault = script.fault if script.fault in BODY_FAULTS else "none"
    last = total if fault == "none" else min(total, position + script.after)
    for at in range(position, last):
        if rng.random() < 0.2:
            parts.append(b": keep-alive\n\n")
        parts.append(_format({"content": text_of(request_id, at)}, rng))
    finish = _format({}, rng, "stop")
    usage = b'data: {"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": 1}}\n\n'
    whole = [finish, usage, b"data: [DONE]\n\n"]
    end = "abort" if "abort" in fault else "silent" if "silent" in fault else "end"
    if fault.startswith("half"):
        event = _format({"content": text_of(request_id, last)}, rng)
        parts.append(event[: rng.randrange(1, len(event) - 2)])
    elif fault.startswith("error"):
        parts.append(b'data: {"error": {"message": "out of memory"}}\n\n')
        # What follows an error event belongs to no whole answer.
        parts.extend(whole if "finish" in fault else [])
    elif fault.startswith("done"):
        parts.append(whole[2])
    elif fault.startswith("finish"):
        # The finish event ends an answer that has all its tokens, whatever follows it.
        for at in range(last, total):
            parts.append(_format({"content": text_of(request_id, at)}, rng))
        parts.append(finish)
        if "more" in fault:
            parts.extend([_format({"content": "stray"}, rng), finish, *whole])
    elif fault == "none":
        parts.extend(whole)
    return Stream(_cut(b"".join(parts), rng), end)


def _format(delta: dict, rng: random.Random, finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    separators = rng.choice(((",", ":"), (", ", ": ")))
    end = rng.choice((b"\n\n", b"\n\n", b"\r\n\r\n"))
    return (
        b"data: " + json.dumps(EVENT | {"choices": [choice]}, separators=separators).encode() + end
    )


def _cut(data: bytes, rng: random.Random) -> list[bytes]:
    most = rng.choice((7, 60, 400, 5000))
    chunks = []
    while data:
        size = rng.randint(1, most)
        chunks.append(data[:size])
        data = data[size:]
    return chunks


class Placer:
    """Places on the first engine that is not excluded."""

    def __init__(self) -> None:
        self.held = 0
        self._upstreams = [Upstream(name, "pool", "a", name) for name in ENGINES]

    async def place(self, request: CallerRequest, exclude: tuple[str, ...] = ()) -> Placement:
        """Return a placement; raise Refusal."""
        for upstream in self._upstreams:
            if upstream.name not in exclude:
                self.held += 1
                return Placement(upstream, "static", tuple(exclude))
        raise refuse(503, NO_UPSTREAM, "no engine is left", 1.0)

    def release(self, request: CallerRequest, placement: Placement) -> None:
        """Count the end of a placement."""
        self.held -= 1


class AnswersMachine(RuleBasedStateMachine):
    """Compares what callers get with the tokens of their own request."""

    @initialize()
    def start(self) -> None:
        """Start a relay's surroundings in virtual time."""
        logging.set_verbosity(logging.FATAL)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.session = ScriptedSession()
        self.loop.run_until_complete(self._build())
        self.sent = 0

    async def _build(self) -> None:
        streams = EngineStreams(self.session, self.loop)
        streams._fresh = self.session
        streams.cancel = lambda upstream, request_id: None
        self.placer = Placer()
        self.node = SimpleNamespace(
            placer=self.placer,
            engine_streams=streams,
            metrics=Metrics(),
            limits=Limits(self.loop),
            clock=self.loop,
            moves=None,
            shadows=None,
        )

    @rule(
        scripts=st.lists(st.builds(Script, FAULTS, st.integers(0, 6), SEEDS), max_size=5),
        total=st.integers(1, 8),
        count=st.integers(1, 3),
        requests=st.sampled_from((0, 20, 60)),
    )
    def ask(self, scripts: list[Script], total: int, count: int, requests: int) -> None:
        """Let callers ask at once, each for so many tokens; connections follow the scripts.

        Other requests fill the retry budget, which otherwise ends the resumptions soon.
        """
        self.session.scripts = list(scripts)
        for _ in range(requests):
            self.node.limits.retries.add_request()
        calls = []
        for _ in range(count):
            self.sent += 1
            self.session.totals[f"r{self.sent}"] = total
            calls.append(self._call(f"r{self.sent}", total))
        self.loop.run_until_complete(self._gather(calls))
        assert self.placer.held == 0, "a placement was not released"

    async def _gather(self, calls) -> None:
        await asyncio.gather(*calls)

    async def _call(self, request_id: str, total: int) -> None:
        now_s = self.loop.time()
        request = CallerRequest(request_id, TEAM, SPEC, SERVICE, now_s, now_s + WITHIN_S)
        received: list[bytes] = []

        async def send(frames: bytes) -> None:
            received.append(frames)

        relay = StreamRelay(self.node, request, send)
        try:
            await relay.run()
        except (Refusal, UpstreamError):
            ended = False
        else:
            ended = True
            received.append(relay.last_events)
        assert self.loop.time() <= now_s + WITHIN_S + 1.0, f"{request_id} outlived its deadline"
        check_answer(request_id, total, b"".join(received), ended)

    def teardown(self) -> None:
        """Close the loop."""
        if hasattr(self, "loop"):
            self.loop.close()


def check_answer(request_id: str, total: int, data: bytes, ended: bool) -> None:
    """Check that a caller got its own tokens in order, and all of them before a normal end."""
    assert not data or data.endswith(b"\n\n"), f"{request_id}: an event was cut"
    texts = []
    finishes = 0
    for frame in data.split(b"\n\n"):
        if not frame.startswith(b"data:"):
            continue
        choice = json.loads(frame[5:])["choices"][0]
        assert not finishes, f"{request_id}: an event follows the end"
        if choice["delta"].get("content"):
            texts.append(choice["delta"]["content"])
        finishes += choice["finish_reason"] is not None
    wanted = [text_of(request_id, at) for at in range(total)]
    assert texts == wanted[: len(texts)], f"{request_id}: got {texts}"
    if ended:
        assert len(texts) == total, f"{request_id}: ended after {len(texts)} of {total} tokens"
        assert finishes == 1, f"{request_id}: ended without a finish event"
