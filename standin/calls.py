"""Callers of a running fleet: chats of several turns, plain calls and a record of every call."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
import time
from dataclasses import dataclass, field

import aiohttp

from standin.enginemodel import flatten_prompt, generate_token
from standin.fleet import TEAM_KEYS, Fleet, Process
from standin.prefixcache import BLOCK_TOKENS, split_tokens

CALL_TIMEOUT_S = 60.0
READINESS_POLL_S = 0.2
FIRST_MESSAGE_WORDS = 250
NEXT_MESSAGE_WORDS = 30
ANSWER_TOKENS = 40
MAX_TURNS = 6
PAUSE_RANGE_S = (0.1, 0.4)


@dataclass(frozen=True, slots=True)
class ClassNames:
    """Holds the names of a deployment's classes by kind."""

    chat: str
    lookup: str
    once: tuple[str, ...]
    tag: str
    late: str


CLASS_NAMES = {
    "ballenticket": ClassNames(
        "draft", "weight-check", ("stamp",), "consignment-tag", "depot-reply"
    ),
    "tapir-ridge": ClassNames(
        "briefing", "availability", ("deposit", "seat-hold"), "sighting", "lodge-reply"
    ),
}


@dataclass(slots=True)
class Call:
    """Records one call.

    `complete` tells whether the answer is complete and belongs to this call; `connection_error`
    describes the error of a call that ended without an answer.
    """

    kind: str
    request_id: str
    instance: str
    started_s: float
    took_s: float = 0.0
    status: int = 0
    run_state: str = ""
    code: str = ""
    complete: bool = False
    connection_error: str = ""
    body: bytes = b""
    location: str = ""
    cached_tokens: int = 0
    reusable_tokens: int = 0

    @property
    def refused(self) -> bool:
        """Tell whether the fleet refused the call with a problem document."""
        return bool(self.run_state) and not self.connection_error


@dataclass(slots=True)
class Chat:
    """Holds the messages of a chat and the number of its tokens that an engine may have cached."""

    key: str
    generator: random.Random
    messages: list[dict[str, str]] = field(default_factory=list)
    cacheable_tokens: int = 0
    turns: int = 0

    def add_question(self) -> None:
        """Add the user's next message."""
        count = NEXT_MESSAGE_WORDS if self.messages else FIRST_MESSAGE_WORDS
        words = [f"w{self.generator.randrange(10_000)}" for _ in range(count)]
        self.messages.append({"role": "user", "content": " ".join([self.key, *words])})

    def add_answer(self, text: str) -> None:
        """Add the engine's answer."""
        self.messages.append({"role": "assistant", "content": text})
        self.cacheable_tokens = len(split_tokens(flatten_prompt(self.messages)))
        self.turns += 1


class Callers:
    """Sends calls through instances that are ready and records every one."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.classes = CLASS_NAMES[fleet.deployment.name]
        self.calls: list[Call] = []
        self.surge_size = 0
        self.stopping = False
        self._random = random.Random(seed)
        self._seed = seed
        self._count = 0
        self._ready_instances = list(fleet.instances)

    async def follow_readiness(self) -> None:
        """Keep the list of ready instances current, as the platform's load balancer does."""
        while True:
            states = await asyncio.gather(*map(self.is_ready, self.fleet.instances))
            self._ready_instances = [
                instance
                for instance, ready in zip(self.fleet.instances, states, strict=True)
                if ready
            ]
            await asyncio.sleep(READINESS_POLL_S)

    async def is_ready(self, instance: Process) -> bool:
        """Tell whether an instance reports that it is ready."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self.fleet.http.get(
                f"{instance.operator_url}/readyz", timeout=timeout
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def pick_instance(self) -> Process:
        """Return a random ready instance, or any if none is ready."""
        return self._random.choice(self._ready_instances or self.fleet.instances)

    def new_id(self, kind: str) -> str:
        """Return a unique request id."""
        self._count += 1
        return f"{kind}-{self._seed}-{self._count}"

    def new_chat(self) -> Chat:
        """Return a chat without messages."""
        key = self.new_id("chat")
        return Chat(key, random.Random(key))

    async def run_chats(self, team: int, surge_rank: int = 0) -> None:
        """Hold one chat after another, with pauses, until the callers stop.

        A caller with a surge rank of 1 or more calls only while `surge_size` is at least its rank.
        """
        pauses = random.Random(self.new_id("pauses"))
        chat = self.new_chat()
        while not self.stopping:
            if surge_rank > self.surge_size:
                await asyncio.sleep(0.1)
                continue
            call = await self.send_chat(chat, team)
            if not call.complete or chat.turns >= MAX_TURNS:
                chat = self.new_chat()
            await asyncio.sleep(pauses.uniform(*PAUSE_RANGE_S))

    async def send_chat(self, chat: Chat, team: int = 0, instance: Process | None = None) -> Call:
        """Send a chat's next turn and compare the answer with the tokens that engines generate."""
        instance = instance or self.pick_instance()
        chat.add_question()
        call = self._record_call("chat", instance)
        call.reusable_tokens = chat.cacheable_tokens // BLOCK_TOKENS * BLOCK_TOKENS
        body = {
            "model": self.classes.chat,
            "messages": chat.messages,
            "max_tokens": ANSWER_TOKENS,
            "prompt_cache_key": chat.key,
        }
        headers = {"X-Request-Id": call.request_id}
        await self._send(
            call, instance, "chat/completions", json.dumps(body).encode(), headers, team
        )
        if call.status != 200:
            return call
        prompt = flatten_prompt(chat.messages)
        expected = "".join(generate_token(prompt, place) for place in range(ANSWER_TOKENS))
        document = json.loads(call.body)
        call.body = b""
        call.complete = document["choices"][0]["message"]["content"] == expected
        details = document["usage"].get("prompt_tokens_details") or {}
        call.cached_tokens = int(details.get("cached_tokens", 0))
        chat.add_answer(expected)
        return call

    async def send_work(
        self,
        kind: str,
        name: str,
        key: str = "",
        instance: Process | None = None,
        body: bytes = b"",
        team: int = 0,
    ) -> Call:
        """Send a plain call and check that the answer repeats the body of this call."""
        instance = instance or self.pick_instance()
        call = self._record_call(kind, instance)
        body = body or call.request_id.encode()
        headers = {"X-Request-Id": call.request_id}
        if key:
            headers["Idempotency-Key"] = key
        await self._send(call, instance, f"work/{name}/demo", body, headers, team)
        if call.status == 200:
            call.complete = json.loads(call.body)["echo"].encode() == body
        elif call.status == 202:
            call.complete = json.loads(call.body)["id"] == call.request_id
        return call

    async def fetch_reply(self, location: str, instance: Process) -> tuple[int, bytes]:
        """Return the status and body of a late reply."""
        headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
        async with self.fleet.http.get(f"{instance.url}{location}", headers=headers) as answer:
            return answer.status, await answer.read()

    def _record_call(self, kind: str, instance: Process) -> Call:
        call = Call(kind, self.new_id(kind), instance.name, time.monotonic())
        self.calls.append(call)
        return call

    async def _send(
        self, call: Call, instance: Process, path: str, body: bytes, headers: dict, team: int
    ) -> None:
        headers = headers | {"Authorization": f"Bearer {TEAM_KEYS[team]}"}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            # POST, because aiohttp repeats a PUT by itself after a dropped connection.
            async with self.fleet.http.post(
                f"{instance.url}/v1/{path}", data=body, headers=headers, timeout=timeout
            ) as answer:
                call.body = await answer.read()
                call.status = answer.status
                call.run_state = answer.headers.get("Jayyoke-Run", "")
                call.location = answer.headers.get("Location", "")
                if call.status >= 400:
                    call.code = json.loads(call.body).get("code", "")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            call.connection_error = repr(error)
        call.took_s = time.monotonic() - call.started_s


def find_team(configuration: dict, team: int = 0) -> str:
    """Return the name of the team that a demo key belongs to; raise LookupError."""
    digest = hashlib.sha256(TEAM_KEYS[team].encode()).hexdigest()
    for name, spec in configuration["teams"].items():
        if spec["key_sha256"] == digest:
            return name
    raise LookupError("no team has the demo key")
