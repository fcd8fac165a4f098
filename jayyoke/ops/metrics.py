"""Counters, gauges and latency histograms of one instance."""

from __future__ import annotations

from collections.abc import Callable

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, Gauge

from jayyoke.core.config import ClassSpec

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
# Recording in a histogram costs 2.5 us. Values are therefore counted, rounded to the histogram's
# own precision of under 1%, and recorded when the histograms are read.
SIGNIFICANT_BITS = 8
# Bounds the memory: a histogram takes about 30 KB, and classes come from the configuration.
MAX_HISTOGRAMS = 128


class Metrics:
    """Holds the metrics of one instance; every label has a bounded set of values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._latencies: dict[tuple[str, str], HdrHistogram] = {}
        self._counts: dict[tuple[str, str], dict[int, int]] = {}
        self._labelled: dict[tuple[int, tuple[str, ...]], Counter] = {}
        registry = self.registry
        self.requests = Counter(
            "jayyoke_requests",
            "Callers' requests by outcome.",
            ["class_name", "outcome"],
            registry=registry,
        )
        self.refusals = Counter(
            "jayyoke_refusals", "Refusals by stable code.", ["code", "run"], registry=registry
        )
        self.refused_clients = Counter(
            "jayyoke_clients_refused",
            "Connections refused or closed for their input, by reason.",
            ["reason"],
            registry=registry,
        )
        self.tokens = Counter(
            "jayyoke_tokens_delivered",
            "Tokens sent to callers.",
            ["class_name"],
            registry=registry,
        )
        self.resumptions = Counter(
            "jayyoke_resumptions",
            "Streams resumed, by the fault that broke them.",
            ["fault"],
            registry=registry,
        )
        self.hedges = Counter(
            "jayyoke_hedges",
            "Hedges sent, by whether they answered first.",
            ["route", "outcome"],
            registry=registry,
        )
        self.hedges_refused = Counter(
            "jayyoke_hedges_refused",
            "Late requests that were not hedged, by reason.",
            ["route", "reason"],
            registry=registry,
        )
        self.missed_targets = Counter(
            "jayyoke_targets_missed",
            "Events later than the class's target.",
            ["class_name", "target"],
            registry=registry,
        )

    def add_gauge(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Expose a number that a function returns when the metrics are read."""
        Gauge(name, help_text, registry=self.registry).set_function(read)

    def count(self, counter: Counter, *labels: str, amount: float = 1.0) -> None:
        """Add to a counter; the counter of each set of labels is looked up once."""
        key = (id(counter), labels)
        labelled = self._labelled.get(key)
        if labelled is None:
            labelled = self._labelled[key] = counter.labels(*labels)
        labelled.inc(amount)

    def observe(self, name: str, class_name: str, seconds: float) -> None:
        """Record a latency of a class under a name such as first_token."""
        counts = self._counts.get((name, class_name))
        if counts is None:
            if len(self._counts) >= MAX_HISTOGRAMS:
                return
            counts = self._counts[(name, class_name)] = {}
        value_us = min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        shift = max(0, value_us.bit_length() - SIGNIFICANT_BITS)
        value_us = value_us >> shift << shift
        counts[value_us] = counts.get(value_us, 0) + 1

    def read_latencies(self) -> dict[tuple[str, str], HdrHistogram]:
        """Return the histograms with everything observed until now."""
        for key, counts in self._counts.items():
            histogram = self._latencies.get(key)
            if histogram is None:
                histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
                self._latencies[key] = histogram
            for value_us, count in counts.items():
                histogram.record_value(value_us, count)
            counts.clear()
        return self._latencies

    def observe_first_token(self, spec: ClassSpec, seconds: float) -> None:
        """Record the time to the first token and whether it met the class's target."""
        self.observe("first_token", spec.name, seconds)
        if seconds > spec.first_token_within_s:
            self.count(self.missed_targets, spec.name, "first_token")

    def observe_stream(self, spec: ClassSpec, tokens: int, late: int, mean_gap_s: float) -> None:
        """Record a stream: its tokens, the late ones among them and the mean gap."""
        self.count(self.tokens, spec.name, amount=tokens)
        if late:
            self.count(self.missed_targets, spec.name, "between_tokens", amount=late)
        if tokens > 1:
            self.observe("between_tokens", spec.name, mean_gap_s)
