"""Data types and helper functions of the stand-in engine."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from standin.fault import Faults


@dataclass(slots=True)
class EngineFaults(Faults):
    """Holds the faults of an engine; the stream faults affect the next `count` answers."""

    wrong_id: int = 0
    truncate_after: int = -1
    silent_after: int = -1
    count: int = 0
    fail: bool = False
    slow_factor: float = 1.0
    event_lag_s: float = 0.2
    event_gap: int = 0
    load_lag_s: float = 1.0
    bad_versions: dict[str, dict[str, Any]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Event:
    """Reports that a chat's prefix was stored or evicted."""

    sequence: int
    at_s: float
    kind: str
    chat: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """Holds how much work an engine can take, in tokens, from a cold start to the full capacity."""

    cold_work_tokens: int = 2000
    full_work_tokens: int = 16000
    warm_up_s: float = 30.0

    def find_limit(self, age_s: float) -> float:
        """Return the tokens of work that an engine of this age can take."""
        if age_s >= self.warm_up_s:
            return self.full_work_tokens
        gained = (self.full_work_tokens - self.cold_work_tokens) * age_s / self.warm_up_s
        return self.cold_work_tokens + gained


def generate_token(prompt: str, position: int) -> str:
    """Return the token at a position; it depends only on the prompt and the position."""
    digest = hashlib.sha256(f"{prompt}|{position}".encode()).hexdigest()
    return f" {digest[:4]}"


def flatten_prompt(messages: list[dict[str, Any]]) -> str:
    """Return the messages as one text."""
    return "\n".join(f"{message.get('role')} {message.get('content')}" for message in messages)


def format_chunk(
    response: web.StreamResponse, body: dict[str, Any], delta: dict[str, str], finish: str | None
) -> dict[str, Any]:
    """Return one chunk of a streamed chat completion."""
    return {
        "id": response.headers["X-Request-Id"],
        "object": "chat.completion.chunk",
        "created": 0,
        "model": body.get("model", ""),
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    }


async def write_event(response: web.StreamResponse, event: dict[str, Any]) -> None:
    """Send one server-sent event."""
    await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
