"""Callers of a running fleet: chats that return, plain calls, and a record of every call."""

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
READY_POLL_S = 0.2
WORDS = 250
ADDED_WORDS = 30
ANSWER_TOKENS = 24
TURNS = 6
PAUSE_S = (0.1, 0.4)


@dataclass(frozen=True, slots=True)
class Classes:
    """Names the classes of a deployment by kind."""

    chat: str
    lookup: str
    once: tuple[str, ...]
    tag: str
    late: str


CLASSES = {
    "ballenticket": Classes("draft", "weight-check", ("stamp",), "consignment-tag", "depot-reply"),
    "tapir-ridge": Classes(
        "briefing", "availability", ("deposit", "seat-hold"), "sighting", "lodge-reply"
    ),
}


@dataclass(slots=True)
class Call:
    """Records one call; `whole` tells whether the answer is the right and complete one."""

    kind: str
    request_id: str
    instance: str
    started_s: float
    took_s: float = 0.0
    status: int = 0
    run: str = ""
    code: str = ""
    whole: bool = False
    broken: str = ""
    body: bytes = b""
    location: str = ""
    cached: int = 0
    reusable: int = 0

    @property
    def refused(self) -> bool:
        """Tell whether the fleet refused the call with a problem document."""
        return bool(self.run) and not self.broken


@dataclass(slots=True)
class Chat:
    """Holds the messages of a chat that returns, and the tokens that its engine has seen."""

    key: str
    words: random.Random
    messages: list[dict[str, str]] = field(default_factory=list)
    seen_tokens: int = 0
    turns: int = 0

    def ask(self) -> None:
        """Add the user's next message."""
        count = ADDED_WORDS if self.messages else WORDS
        words = [f"w{self.words.randrange(10_000)}" for _ in range(count)]
        self.messages.append({"role": "user", "content": " ".join([self.key, *words])})

    def answer(self, text: str) -> None:
        """Add the engine's answer."""
        self.messages.append({"role": "assistant", "content": text})
        self.seen_tokens = len(split_tokens(flatten_prompt(self.messages)))
        self.turns += 1


class Callers:
    """Sends calls through instances that are ready and records every one."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.classes = CLASSES[fleet.deployment.name]
        self.calls: list[Call] = []
        self.surging = 0
        self.stopping = False
        self._random = random.Random(seed)
        self._seed = seed
        self._count = 0
        self._ready = list(fleet.instances)

    async def follow_readiness(self) -> None:
        """Send no call to an instance that is not ready, as the platform's balancer does."""
        while True:
            states = await asyncio.gather(*map(self.is_ready, self.fleet.instances))
            self._ready = [
                instance
                for instance, ready in zip(self.fleet.instances, states, strict=True)
                if ready
            ]
            await asyncio.sleep(READY_POLL_S)

    async def is_ready(self, instance: Process) -> bool:
        """Tell whether an instance says that it is ready."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        try:
            async with self.fleet.http.get(
                f"{instance.operator_url}/readyz", timeout=timeout
            ) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    def pick(self) -> Process:
        """Return a ready instance."""
        return self._random.choice(self._ready or self.fleet.instances)

    def new_id(self, kind: str) -> str:
        """Return a request id that no other call has."""
        self._count += 1
        return f"{kind}-{self._seed}-{self._count}"

    def new_chat(self) -> Chat:
        """Return a chat without messages."""
        key = self.new_id("chat")
        return Chat(key, random.Random(key))

    async def return_chats(self, team: int, rank: int = 0) -> None:
        """Hold one chat after another, with pauses; rank 1 and up call in a surge of that size."""
        pauses = random.Random(self.new_id("pauses"))
        chat = self.new_chat()
        while not self.stopping:
            if rank > self.surging:
                await asyncio.sleep(0.1)
                continue
            call = await self.send_chat(chat, team)
            if not call.whole or chat.turns >= TURNS:
                chat = self.new_chat()
            await asyncio.sleep(pauses.uniform(*PAUSE_S))

    async def send_chat(self, chat: Chat, team: int = 0, instance: Process | None = None) -> Call:
        """Send a chat's next turn and compare the answer with what engines generate."""
        instance = instance or self.pick()
        chat.ask()
        call = self._open("chat", instance)
        call.reusable = chat.seen_tokens // BLOCK_TOKENS * BLOCK_TOKENS
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
        call.whole = document["choices"][0]["message"]["content"] == expected
        details = document["usage"].get("prompt_tokens_details") or {}
        call.cached = int(details.get("cached_tokens", 0))
        chat.answer(expected)
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
        """Send a plain call and check that the answer echoes this call's own body."""
        instance = instance or self.pick()
        call = self._open(kind, instance)
        body = body or call.request_id.encode()
        headers = {"X-Request-Id": call.request_id}
        if key:
            headers["Idempotency-Key"] = key
        await self._send(call, instance, f"work/{name}/demo", body, headers, team)
        if call.status == 200:
            call.whole = json.loads(call.body)["echo"].encode() == body
        elif call.status == 202:
            call.whole = json.loads(call.body)["id"] == call.request_id
        return call

    async def fetch(self, location: str, instance: Process) -> tuple[int, bytes]:
        """Return status and body of a late reply."""
        headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
        async with self.fleet.http.get(f"{instance.url}{location}", headers=headers) as answer:
            return answer.status, await answer.read()

    def _open(self, kind: str, instance: Process) -> Call:
        call = Call(kind, self.new_id(kind), instance.name, time.monotonic())
        self.calls.append(call)
        return call

    async def _send(
        self, call: Call, instance: Process, path: str, body: bytes, headers: dict, team: int
    ) -> None:
        headers = headers | {"Authorization": f"Bearer {TEAM_KEYS[team]}"}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            # With PUT, aiohttp would repeat the call by itself after a dropped connection.
            async with self.fleet.http.post(
                f"{instance.url}/v1/{path}", data=body, headers=headers, timeout=timeout
            ) as answer:
                call.body = await answer.read()
                call.status = answer.status
                call.run = answer.headers.get("Jayyoke-Run", "")
                call.location = answer.headers.get("Location", "")
                if call.status >= 400:
                    call.code = json.loads(call.body).get("code", "")
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            call.broken = repr(error)
        call.took_s = time.monotonic() - call.started_s


def find_team(configuration: dict, team: int = 0) -> str:
    """Return the name of the team that a demo key belongs to."""
    digest = hashlib.sha256(TEAM_KEYS[team].encode()).hexdigest()
    for name, spec in configuration["teams"].items():
        if spec["key_sha256"] == digest:
            return name
    raise LookupError("no team has the demo key")
