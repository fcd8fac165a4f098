"""Slow start: an engine's work limit grows with the time since the engine became cold."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.config import ServiceSpec


@dataclass(frozen=True, slots=True)
class Ramp:
    """Holds when an engine became cold, in monotonic seconds; None means that it is warm."""

    started_s: float | None = None

    def limit_tokens(self, service: ServiceSpec, now_s: float) -> int:
        """Return the engine's current work limit in tokens."""
        if not self.is_warming(service, now_s):
            return service.full_work_tokens
        assert self.started_s is not None
        share = max(0.0, now_s - self.started_s) / service.warm_up_s
        span = service.full_work_tokens - service.cold_work_tokens
        return service.cold_work_tokens + int(span * share)

    def is_warming(self, service: ServiceSpec, now_s: float) -> bool:
        """Tell whether the limit is still below the full limit."""
        return self.started_s is not None and now_s - self.started_s < service.warm_up_s

    @classmethod
    def resume(cls, service: ServiceSpec, limit_tokens: int, now_s: float) -> Ramp:
        """Return the ramp of an engine that the previous steward limited to `limit_tokens`."""
        if limit_tokens >= service.full_work_tokens:
            return cls()
        span = max(service.full_work_tokens - service.cold_work_tokens, 1)
        share = max(0, limit_tokens - service.cold_work_tokens) / span
        return cls(now_s - share * service.warm_up_s)
