"""A caller's request after authentication and parsing."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from jayyoke.core.config import ClassSpec, ServiceSpec, TeamSpec


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Holds one request; times are monotonic seconds, sizes are in tokens."""

    request_id: str
    team: TeamSpec
    class_spec: ClassSpec
    service: ServiceSpec
    arrival_s: float
    deadline_s: float
    method: str = "POST"
    path: str = ""
    query: str = ""
    content_type: str = "application/json"
    body: bytes = b""
    chat: str = ""
    idempotency_key: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    headers: Mapping[str, str] = field(default_factory=dict)
    stream: bool = False
    include_usage: bool = False

    @property
    def work_tokens(self) -> int:
        """Return the tokens that the request occupies on an engine: prompt plus output."""
        return self.prompt_tokens + self.output_tokens
