"""Fuzz model of answers: the relay against engines that cut, stall, truncate or mix up streams."""

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
from jayyoke.ops.quarantine import Quarantine
from jayyoke.ops.requestdrain import RequestDrain
from jayyoke.ops.streamrelay import StreamRelay

ENGINES = ("e0", "e1", "e2")
WITHIN_S = 20.0
SERVICE = ServiceSpec("pool", "engine")
SPEC = ClassSpec("draft", ClassKind.CHAT, "pool", WITHIN_S)
TEAM = TeamSpec("team", "")
# Tokens whose texts resemble the events that the relay looks for.
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
    """Describes one connection: its fault, and after how many tokens the fault occurs."""

    fault: str
    after_tokens: int = 0
    seed: int = 0


def build_token(request_id: str, position: int) -> str:
    """Return the token at a position of the answer to a request."""
    return f"{request_id} {position} {TEXTS[position % len(TEXTS)]}|"


class FakeBody:
    """Replaces the body of an aiohttp response: chunks, then an end, an error or silence."""

    def __init__(self, chunks: list[bytes], ending: str):
        self._chunks = chunks
        self._end = ending

    def at_eof(self) -> bool:
        """Tell whether the body was read to its regular end."""
        return not self._chunks and self._end == "end"

    async def readany(self) -> bytes:
        """Return the next chunk; after the last one, end or fail as the script says."""
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


class LivingEngines:
    """Replaces the observer of ends: no engine of the model ends."""

    async def observe(self, upstream: Upstream, request_id: str, keys: tuple[str, ...]) -> bool:
        """Return that the engine still runs."""
        return False


@dataclass(slots=True)
class FakeResponse:
    """Replaces an aiohttp response."""

    status: int
    headers: dict[str, str]
    content: FakeBody
    content_type: str = "text/event-stream"
    closed: bool = False

    @property
    def raw_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers as bytes."""
        return tuple((name.encode(), value.encode()) for name, value in self.headers.items())

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


@dataclass(slots=True)
class ScriptedSession:
    """Answers each call by the next script; without scripts it answers completely."""

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
        answered_id = "other" if script.fault == "crossed" else request_id
        position = int(headers.get("X-Resume-From", "0"))
        body = build_body(answered_id, position, self.totals[request_id], script)
        content_type = "text/plain" if script.fault == "text" else "text/event-stream"
        return FakeResponse(status, head, body, content_type)


def build_body(request_id: str, position: int, total: int, script: Script) -> FakeBody:
    """Return the body of an answer from a position on, with the fault of a script."""
    rng = random.Random(script.seed)
    events = [_format({"role": "assistant", "content": ""}, rng)]
    fault = script.fault if script.fault in BODY_FAULTS else "none"
    last_position = total if fault == "none" else min(total, position + script.after_tokens)
    for at in range(position, last_position):
        if rng.random() < 0.2:
            events.append(b": keep-alive\n\n")
        events.append(_format({"content": build_token(request_id, at)}, rng))
    finish = _format({}, rng, "stop")
    usage = b'data: {"choices": [], "usage": {"prompt_tokens": 3, "completion_tokens": 1}}\n\n'
    closing_events = [finish, usage, b"data: [DONE]\n\n"]
    ending = "abort" if "abort" in fault else "silent" if "silent" in fault else "end"
    if fault.startswith("half"):
        event = _format({"content": build_token(request_id, last_position)}, rng)
        events.append(event[: rng.randrange(1, len(event) - 2)])
    elif fault.startswith("error"):
        events.append(b'data: {"error": {"message": "out of memory"}}\n\n')
        # An answer with an error event is not complete, whatever follows it.
        events.extend(closing_events if "finish" in fault else [])
    elif fault.startswith("done"):
        events.append(closing_events[2])
    elif fault.startswith("finish"):
        # The finish event follows all tokens and ends the answer, whatever comes after it.
        for at in range(last_position, total):
            events.append(_format({"content": build_token(request_id, at)}, rng))
        events.append(finish)
        if "more" in fault:
            events.extend([_format({"content": "stray"}, rng), finish, *closing_events])
    elif fault == "none":
        events.extend(closing_events)
    return FakeBody(_split_randomly(b"".join(events), rng), ending)


def _format(delta: dict, rng: random.Random, finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    separators = rng.choice(((",", ":"), (", ", ": ")))
    ending = rng.choice((b"\n\n", b"\n\n", b"\r\n\r\n"))
    return (
        b"data: "
        + json.dumps(EVENT | {"choices": [choice]}, separators=separators).encode()
        + ending
    )


def _split_randomly(data: bytes, rng: random.Random) -> list[bytes]:
    longest = rng.choice((7, 60, 400, 5000))
    chunks = []
    while data:
        size = rng.randint(1, longest)
        chunks.append(data[:size])
        data = data[size:]
    return chunks


class FakePlacer:
    """Places every request on the first engine that is not excluded."""

    def __init__(self) -> None:
        self.active = 0
        self._upstreams = [Upstream(name, "pool", "a", name) for name in ENGINES]

    async def place(self, request: CallerRequest, exclude: tuple[str, ...] = ()) -> Placement:
        """Return a placement; raise Refusal."""
        for upstream in self._upstreams:
            if upstream.name not in exclude:
                self.active += 1
                return Placement(upstream, "static", tuple(exclude))
        raise refuse(503, NO_UPSTREAM, "no engine is left", 1.0)

    def release(self, request: CallerRequest, placement: Placement) -> None:
        """Count the end of a placement."""
        self.active -= 1


class AnswersMachine(RuleBasedStateMachine):
    """Compares the tokens that callers receive with those of their own requests."""

    @initialize()
    def start(self) -> None:
        """Set up the parts that a relay uses, in virtual time."""
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
        self.placer = FakePlacer()
        self.node = SimpleNamespace(
            drain=RequestDrain(),
            placer=self.placer,
            engine_streams=streams,
            metrics=Metrics(),
            limits=Limits(self.loop),
            clock=self.loop,
            moves=None,
            shadows=None,
            chat_parts=SimpleNamespace(
                quarantine=Quarantine(self.loop.now_s), observer=LivingEngines()
            ),
        )

    @rule(
        scripts=st.lists(st.builds(Script, FAULTS, st.integers(0, 6), SEEDS), max_size=5),
        total=st.integers(1, 8),
        count=st.integers(1, 3),
        requests=st.sampled_from((0, 20, 60)),
    )
    def ask(self, scripts: list[Script], total: int, count: int, requests: int) -> None:
        """Let `count` callers ask at once for `total` tokens each; connections follow the scripts.

        `requests` other requests fill the retry budget, which otherwise soon ends resumptions.
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
        assert self.placer.active == 0, "a placement was not released"

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
            completed = False
        else:
            completed = True
            received.append(relay.last_events)
        assert self.loop.time() <= now_s + WITHIN_S + 1.0, f"{request_id} ran past its deadline"
        check_answer(request_id, total, b"".join(received), completed)

    def teardown(self) -> None:
        """Close the loop."""
        if hasattr(self, "loop"):
            self.loop.close()


def check_answer(request_id: str, total: int, data: bytes, completed: bool) -> None:
    """Check that a caller got its own tokens in order, and all of them if the answer completed."""
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
    expected = [build_token(request_id, at) for at in range(total)]
    assert texts == expected[: len(texts)], f"{request_id}: got {texts}"
    if completed:
        assert len(texts) == total, f"{request_id}: ended after {len(texts)} of {total} tokens"
        assert finishes == 1, f"{request_id}: ended without a finish event"
