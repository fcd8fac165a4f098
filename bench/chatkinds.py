"""Kinds of chats, disturbances and engines of the load simulation."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from bench.spells import SpeedPlan
from jayyoke.platform.message import PromptPart

FIRST_TOKEN_S = 0.055
PREFILL_TOKENS_PER_S = 140_000.0
INITIAL_ENGINE_AGE_S = 1000.0


@dataclass(frozen=True, slots=True)
class ChatKind:
    """Describes a kind of chats: requests per second, prompt tokens, seconds after the first token.

    `sessions` is how many chats of the kind exist at a time.
    """

    name: str
    rate: float
    shared_tokens: int
    own_tokens: int
    answer_s: float
    sessions: int


# As in the users' smaller deployments in a busy hour.
USUAL_KINDS = (
    ChatKind("long", 9.0, 10_500, 1300, 0.85, 20),
    ChatKind("middle", 33.8, 700, 130, 0.63, 172),
    ChatKind("short", 24.4, 2040, 360, 0.05, 124),
)


@dataclass(frozen=True, slots=True)
class HotSession:
    """Makes a share of a kind's requests belong to one session for some time."""

    kind: str
    share: float
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Removes the first engines for some time; they return cold."""

    engines: int
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class Canary:
    """Runs a new version on the last engines, with a share of the requests."""

    engines: int
    share: float


@dataclass(slots=True)
class Engine:
    """Counts an engine's requests: all of them, and those after their first token."""

    name: str
    requests: int = 0
    streaming: int = 0
    prefill_until_s: float = 0.0
    cached_parts: set[str] = field(default_factory=set)
    up: bool = True
    started_s: float = -INITIAL_ENGINE_AGE_S
    plan: SpeedPlan = field(default_factory=lambda: SpeedPlan(random.Random(0), None))
    first_token_s: float = FIRST_TOKEN_S
    tokens_per_s: float = PREFILL_TOKENS_PER_S

    def start_request(self, parts: Sequence[PromptPart], now_s: float) -> float:
        """Add a request; return the time of its first token."""
        tokens = 0
        for part in parts:
            if part.id not in self.cached_parts:
                tokens += part.tokens
                self.cached_parts.add(part.id)
        self.requests += 1
        begins_s = max(now_s, self.prefill_until_s)
        self.prefill_until_s = self.plan.find_end_s(begins_s, tokens / self.tokens_per_s)
        return self.plan.find_end_s(self.prefill_until_s, self.first_token_s)
