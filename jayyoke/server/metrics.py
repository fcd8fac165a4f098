"""Metrics in the text exposition format at /metrics of the operator address."""

from __future__ import annotations

from collections.abc import Iterator

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.core import Metric

from jayyoke.ops.metrics import Metrics

PERCENTILES = (50.0, 95.0, 99.0)


class LatencyCollector:
    """Exposes the latency histograms as summaries with quantiles, in seconds."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield one summary of all latencies."""
        summary = Metric("jayyoke_latency_seconds", "Latency by class.", "summary")
        for (name, class_name), histogram in sorted(self._metrics.read_latencies().items()):
            labels = {"name": name, "class_name": class_name}
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                quantile = labels | {"quantile": f"{percentile / 100:g}"}
                summary.add_sample("jayyoke_latency_seconds", quantile, value)
            count = histogram.get_total_count()
            summary.add_sample("jayyoke_latency_seconds_count", labels, count)
            total = histogram.get_mean_value() / 1e6 * count
            summary.add_sample("jayyoke_latency_seconds_sum", labels, total)
        yield summary


def format_metrics(metrics: Metrics) -> bytes:
    """Return the exposition of all metrics."""
    latencies = CollectorRegistry()
    latencies.register(LatencyCollector(metrics))
    return generate_latest(metrics.registry) + generate_latest(latencies)


def add_metrics_route(app: web.Application, metrics: Metrics) -> None:
    """Serve GET /metrics."""

    async def show(http_request: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=format_metrics(metrics), headers=headers)

    app.router.add_get("/metrics", show)
