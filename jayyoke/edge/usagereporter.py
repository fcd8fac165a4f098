"""Reports the usage of all teams while this process holds the duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from jayyoke.core.error import Conflict, DutyCallFailed, StoreUnavailable
from jayyoke.duties.report import (
    FixedReport,
    ReportPlanner,
    build_report_key,
    decode_counts,
    encode_counts,
)
from jayyoke.duties.truetime import TrueTime
from jayyoke.edge.countcollector import CountCollector
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.log import log_event
from jayyoke.platform.dutyservice import DutyClient

PERIOD_S = 0.25
RETRY_S = 0.5
# Each collection asks all followers.
COLLECT_RETRY_S = 0.8
# The service may refuse a report for a reason that passes, such as a restart.
MAX_REFUSALS = 3


class UsageReporter:
    """Fixes the counts of each window in the store, and sends them until they are accepted."""

    def __init__(
        self,
        planner: ReportPlanner,
        holder: DutyHolder,
        collector: CountCollector,
        client: DutyClient,
        true_time: TrueTime,
        now_s: Callable[[], float],
    ):
        self._planner = planner
        self._holder = holder
        self._collector = collector
        self._client = client
        self._true_time = true_time
        self._now_s = now_s
        self._retry_send_s = float("-inf")
        self._refusals: dict[int, int] = {}
        self.accepted = 0
        self.refused = 0

    async def run(self) -> None:
        """Report while this process holds the duties, until cancelled."""
        await asyncio.gather(self._repeat(self._fix_next), self._repeat(self._send_next))

    async def _repeat(self, step: Callable) -> None:
        while True:
            wait_s = PERIOD_S
            if self._holder.active:
                try:
                    await step()
                except (Conflict, StoreUnavailable) as error:
                    log_event("usage-report", state="not-fixed", reason=str(error))
                    wait_s = RETRY_S
            await asyncio.sleep(wait_s)

    def _read_unix_s(self) -> float:
        return self._true_time.read_s(self._now_s())

    async def _fix_next(self) -> None:
        """Collect the counts of the next window that has ended, and write its row."""
        now_s = self._now_s()
        unix_s = self._true_time.find_fleet_s(now_s)
        if unix_s is not None:
            self._true_time.record_told(unix_s, now_s)
        window = self._planner.find_due(self._read_unix_s())
        if window is None:
            return
        collected = await self._collector.collect(window)
        if not collected.complete and self._planner.may_wait(window, self._read_unix_s()):
            await asyncio.sleep(COLLECT_RETRY_S)
            return
        key = build_report_key(window)
        try:
            await self._holder.write_row(key, encode_counts(collected.counts), 0)
        except Conflict:
            # Another holder, or an earlier attempt of this one, has fixed the counts.
            await self._read_fixed(window)
            return
        self._planner.record_fixed(window, collected.counts)
        log_event(
            "usage-report",
            state="fixed",
            window=window,
            teams=len(collected.counts),
            requests=sum(collected.counts.values()),
            missing=collected.missing,
            pending=collected.pending,
        )
        removable = self._planner.list_removable(window)
        if removable:
            await self._holder.remove_rows([build_report_key(old) for old in removable])

    async def _read_fixed(self, window: int) -> None:
        row = await self._holder.read_row(build_report_key(window))
        if row is None:
            return
        try:
            counts = decode_counts(row.value)
        except ValueError as error:
            raise StoreUnavailable(f"the row of window {window} is unusable: {error}") from error
        self._planner.record_fixed(window, counts)
        log_event("usage-report", state="read", window=window, teams=len(counts))

    async def _send_next(self) -> None:
        """Send the oldest report that the service has not accepted."""
        now_s = self._now_s()
        report = self._planner.find_unsent(self._read_unix_s())
        if report is None or now_s < self._retry_send_s:
            return
        try:
            status = await self._holder.call(
                lambda fence: self._client.report_usage(fence, report.window, report.counts)
            )
        except DutyCallFailed as error:
            self._retry_send_s = now_s + RETRY_S
            self._planner.record_attempt(report.window)
            log_event("usage-report", state="not-answered", window=report.window, reason=str(error))
            return
        if status is None:
            return
        self._record_status(report, status)

    def _record_status(self, report: FixedReport, status: int) -> None:
        accepted = 200 <= status < 300
        passing = status == 429 or status >= 500
        refusals = self._refusals.get(report.window, 0) + (not accepted and not passing)
        self._refusals = {report.window: refusals}
        if not accepted and (passing or refusals < MAX_REFUSALS):
            self._retry_send_s = self._now_s() + RETRY_S
            self._planner.record_attempt(report.window)
            log_event("usage-report", state="repeat", window=report.window, status=status)
            return
        self._planner.record_sent(report.window)
        self.accepted += accepted
        self.refused += not accepted
        log_event(
            "usage-report",
            state="accepted" if accepted else "refused",
            window=report.window,
            teams=len(report.counts),
            requests=sum(report.counts.values()),
            status=status,
        )
