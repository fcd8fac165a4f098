"""Puts the parts of the duties together for one instance."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import aiohttp

from jayyoke.core.entrysettings import DutyService, EntrySettings
from jayyoke.duties.lease import LeaseRow
from jayyoke.duties.report import ReportPlanner, find_barred
from jayyoke.duties.truetime import TrueTime
from jayyoke.duties.usagecount import UsageCounter
from jayyoke.edge.countcollector import CountCollector
from jayyoke.edge.countexchange import CountExchange
from jayyoke.edge.countmessage import (
    COUNT_COPY_PATH,
    COUNT_QUERY_PATH,
    COUNTS_PATH,
    LOADS_PATH,
    CountClient,
)
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.loadsummary import LoadSummary
from jayyoke.edge.placement import Placer
from jayyoke.edge.roster import Roster
from jayyoke.edge.scaler import Scaler
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.usagerecorder import UsageRecorder
from jayyoke.edge.usagereporter import UsageReporter
from jayyoke.edge.view import FleetView
from jayyoke.ops.metrics import Metrics
from jayyoke.platform.dutyservice import DutyClient
from jayyoke.platform.rowstore import RowStore

INCARNATION_BYTES = 8
# The store answers in 4 ms; a stop has no time for one that does not.
RELEASE_S = 0.3


class DutyHost(Protocol):
    """Describes what the duties use of their instance."""

    settings: EntrySettings
    store: RowStore
    era: StoreEra
    roster: Roster
    metrics: Metrics
    placement: Placer
    view: FleetView


class DutyUnit:
    """Holds what an instance needs to take part in the duties."""

    def __init__(
        self,
        host: DutyHost,
        service: DutyService,
        http: aiohttp.ClientSession,
        now_s: Callable[[], float],
        random_source: random.Random,
    ):
        settings = host.settings
        bounds = settings.bounds
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._service = service
        self._now_s = now_s
        self._window_s = bounds.report_window_s
        self.true_time = TrueTime(time.time(), now_s())
        self.counter = UsageCounter(bounds.report_window_s)
        self.usage = UsageRecorder(self.counter, self.true_time, now_s)
        self.planner = ReportPlanner(bounds.report_window_s, bounds.usage_delay_s)
        counts = CountClient(http)
        self.exchange = CountExchange(
            settings.instance,
            settings.domain,
            f"{settings.instance}@{incarnation}",
            self.counter,
            self.true_time,
            counts,
            host.roster,
            now_s,
            random_source,
        )
        self.holder = DutyHolder(
            settings.instance,
            incarnation,
            service,
            bounds,
            host.store,
            host.era,
            host.roster,
            now_s,
            self._find_barred,
            self._begin,
            lambda: self.planner.reported,
        )
        collector = CountCollector(
            settings.instance, self.exchange, counts, host.roster, self.true_time, now_s
        )
        client = DutyClient(service.address)
        self.reporter = UsageReporter(
            self.planner, self.holder, collector, client, self.true_time, now_s
        )
        self.summary = LoadSummary(host.placement.candidates, host.view, now_s)
        self.scaler = Scaler(
            settings.instance,
            self.holder,
            client,
            counts,
            host.roster,
            self.summary,
            host.view,
            now_s,
        )
        self._add_metrics(host.metrics)

    def list_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background work of the duties that the deployment wants."""
        if not (self._service.metering or self._service.scaling):
            return []
        found = [self.holder.run()]
        if self._service.metering:
            found += [self.exchange.run(), self.exchange.run_copy(), self.reporter.run()]
        if self._service.scaling:
            found.append(self.scaler.run())
        return found

    def list_answers(self) -> dict[str, Callable[[bytes], bytes]]:
        """Return what answers other instances, by path."""
        return {
            COUNTS_PATH: self.exchange.answer_report,
            COUNT_COPY_PATH: self.exchange.answer_copy,
            COUNT_QUERY_PATH: self.exchange.answer_query,
            LOADS_PATH: self.summary.answer,
        }

    async def release(self) -> None:
        """Give the lease back if this instance has it, within RELEASE_S."""
        try:
            async with asyncio.timeout(RELEASE_S):
                await self.holder.release()
        except TimeoutError:
            # The lease runs out instead.
            pass

    def _find_barred(self, era_since_s: float) -> int:
        return find_barred(self.true_time.read_s(era_since_s), self._window_s)

    def _begin(self, lease: LeaseRow) -> None:
        unix_s = self.true_time.read_s(self._now_s())
        self.planner.begin(lease.reported, lease.barred, unix_s)

    def _add_metrics(self, metrics: Metrics) -> None:
        gauges = (
            ("jayyoke_duty_held", "Duties held.", lambda: float(self.holder.active)),
            ("jayyoke_duty_changes", "Leases taken.", lambda: self.holder.changes),
            ("jayyoke_duty_calls", "Answered calls as the holder.", lambda: self.holder.calls),
            ("jayyoke_usage_counted", "Requests counted.", lambda: self.counter.counted),
            ("jayyoke_usage_accepted", "Accepted reports.", lambda: self.reporter.accepted),
            ("jayyoke_usage_refused", "Refused reports.", lambda: self.reporter.refused),
            ("jayyoke_usage_skipped", "Windows without a report.", lambda: self.planner.skipped),
            ("jayyoke_scale_orders", "Accepted orders.", lambda: self.scaler.sent),
            ("jayyoke_count_reports", "Messages of counts.", lambda: self.exchange.reports),
        )
        for name, help_text, read in gauges:
            metrics.add_gauge(name, help_text, read)


def build_duty_unit(
    host: DutyHost,
    http: aiohttp.ClientSession,
    now_s: Callable[[], float],
    random_source: random.Random,
) -> DutyUnit | None:
    """Return the duties of an instance, or None if its settings name no service for them."""
    service = host.settings.duty_service
    if service is None:
        return None
    return DutyUnit(host, service, http, now_s, random_source)
