"""The guard of a process against clients without limits, with its metrics and log."""

from __future__ import annotations

from collections.abc import Callable

from jayyoke.inputlimits.memoryplan import MemoryPlan
from jayyoke.inputlimits.refusals import Reason
from jayyoke.ops.metrics import Metrics
from jayyoke.server.inputguard import InputGuard, build_guard


def build_reporting_guard(
    metrics: Metrics, log: Callable[[str, int], None], plan: MemoryPlan
) -> InputGuard:
    """Return the guard of a process; `log` gets a reason and how many connections it closed."""

    def report(reason: Reason, log_count: int) -> None:
        metrics.count(metrics.refused_clients, reason.value)
        if log_count:
            log(reason.value, log_count)

    guard = build_guard(report, plan)
    metrics.add_gauge(
        "jayyoke_client_connections", "Clients' connections.", lambda: guard.connections
    )
    metrics.add_gauge(
        "jayyoke_client_input_bytes",
        "Estimated memory of clients' input and unread answers.",
        lambda: guard.budget.total_bytes,
    )
    return guard
