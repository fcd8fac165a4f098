"""Detects slow answers: a late start, or long gaps between the events of a stream."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.utils.ewma import Ewma

# An answer this many times slower than the old version's mean counts as slow.
SLOW_FACTOR = 3.0
SLOW_SLACK_S = 0.01
# The new version must first compute prompts that the old one has in its cache.
CACHED_PROMPT_SLACK_S = 0.05
# Lower than for first events, since the gaps of a stream average out.
SLOW_GAP_FACTOR = 2.5
# Gaps after which a running stream can be judged.
MIN_GAPS = 4
LATENCY_WEIGHT = 0.05


class StreamTiming:
    """Measures the time between the events of one stream."""

    __slots__ = ("_began_s", "_ended_s", "_gaps")

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._ended_s = 0.0
        self._gaps = 0

    @property
    def has_enough_events(self) -> bool:
        """Tell whether enough events have come to judge the stream."""
        return self._gaps >= MIN_GAPS

    @property
    def gap_s(self) -> float | None:
        """Return the mean time between two events in seconds, or None before the second one."""
        if self._began_s is None or not self._gaps:
            return None
        return (self._ended_s - self._began_s) / self._gaps

    def record(self, events: int, now_s: float) -> None:
        """Record events that came together."""
        if self._began_s is None:
            self._began_s = now_s
            return
        self._gaps += events
        self._ended_s = now_s


@dataclass(frozen=True, slots=True)
class AnswerTimes:
    """Holds the times of an answer in seconds, or None where they were not measured.

    `cached_prompt` is set if the answer is faster where its prompt is in the cache.
    """

    latency_s: float | None
    gap_s: float | None
    cached_prompt: bool


@dataclass(slots=True)
class MeanTimes:
    """Holds the mean times of the old version's answers on one route."""

    latency: Ewma = field(default_factory=lambda: Ewma(LATENCY_WEIGHT))
    gap: Ewma = field(default_factory=lambda: Ewma(LATENCY_WEIGHT))

    def add(self, times: AnswerTimes) -> None:
        """Include an answer."""
        if times.latency_s is not None:
            self.latency.add(times.latency_s)
        if times.gap_s is not None:
            self.gap.add(times.gap_s)

    def is_exceeded(self, times: AnswerTimes) -> bool:
        """Tell whether an answer took much longer than the mean; False without a mean."""
        usual_s = self.latency.value
        if usual_s is not None and times.latency_s is not None:
            slack_s = CACHED_PROMPT_SLACK_S if times.cached_prompt else SLOW_SLACK_S
            if times.latency_s > SLOW_FACTOR * usual_s + slack_s:
                return True
        usual_s = self.gap.value
        if usual_s is None or times.gap_s is None:
            return False
        return times.gap_s > SLOW_GAP_FACTOR * usual_s
