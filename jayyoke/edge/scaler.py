"""Orders upstreams by the load of each domain while this process holds the duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

from jayyoke.core.error import Conflict, DutyCallFailed, StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.duties.scaling import (
    DomainLoad,
    ScalePlanner,
    Subject,
    decode_orders,
    encode_orders,
)
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.load import Loads
from jayyoke.edge.log import log_event
from jayyoke.edge.placement import Placer
from jayyoke.edge.view import FleetView
from jayyoke.platform.dutyservice import DutyClient

PERIOD_S = 1.0
ORDERS_KEY = "scale"
# Instances hear of an engine's load several times a second; an older one says nothing of now.
FRESH_S = 3.0
# The view knows the upstreams of all domains by then.
SETTLE_S = 5.0


class Scaler:
    """Observes the loads of services with limits, and sends the orders that are due."""

    def __init__(
        self,
        holder: DutyHolder,
        client: DutyClient,
        placement: Placer,
        view: FleetView,
        now_s: Callable[[], float],
    ):
        self._planner = ScalePlanner()
        self._holder = holder
        self._client = client
        self._placement = placement
        self._view = view
        self._now_s = now_s
        # The tenure whose orders were read from the store, and since when it is held.
        self._tenure: object = None
        self._since_s = 0.0
        self.sent = 0

    async def run(self) -> None:
        """Order upstreams while this process holds the duties, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            if not self._holder.active:
                continue
            try:
                await self._step()
            except (Conflict, StoreUnavailable) as error:
                log_event("scale-order", state="not-stored", reason=str(error))

    async def _step(self) -> None:
        tenure = self._holder.tenure
        now_s = self._now_s()
        if self._tenure != tenure:
            await self._read_orders()
            self._tenure, self._since_s = tenure, now_s
        config = self._view.config
        if config is None or now_s - self._since_s < SETTLE_S:
            return
        orders: dict[Subject, tuple[int, DomainLoad]] = {}
        for service in config.services.values():
            limits = service.scale_limits
            if limits is None:
                continue
            for domain, load in self._find_loads(service.name).items():
                subject = Subject(service.name, domain)
                self._planner.observe(subject, load, limits, now_s)
                number = self._planner.find_order(subject, limits, now_s)
                if number is not None:
                    orders[subject] = (number, load)
        if orders:
            await self._send(orders)

    async def _read_orders(self) -> None:
        row = await self._holder.read_row(ORDERS_KEY)
        if row is None:
            row = await self._holder.read_former_row(ORDERS_KEY)
        orders: dict[Subject, int] = {}
        if row is not None:
            try:
                orders = decode_orders(row.value)
            except ValueError as error:
                log_event("scale-order", state="row-unusable", reason=str(error))
        self._planner.begin(orders)

    def _find_loads(self, service: str) -> dict[str, DomainLoad]:
        """Return the loads of a service by domain."""
        now_s = self._now_s()
        loads = self._placement.estimate_loads(service, now_s)
        by_domain: dict[str, list[Upstream]] = {}
        for found in self._view.by_service.get(service, ()):
            if found.state is UpstreamState.LIVE:
                by_domain.setdefault(found.domain, []).append(found)
        evacuated = self._view.evacuated
        suspected = any(self._placement.is_suspected(domain) for domain in by_domain)
        disturbed = bool(evacuated) or suspected
        for subject in self._planner.ordered:
            if subject.service == service:
                by_domain.setdefault(subject.domain, [])
        return {
            domain: self._find_load(upstreams, loads, disturbed)
            for domain, upstreams in by_domain.items()
        }

    def _find_load(
        self, upstreams: Iterable[Upstream], loads: Loads, disturbed: bool
    ) -> DomainLoad:
        now_s = self._now_s()
        live = slots = fresh = 0
        requests = 0.0
        for found in upstreams:
            live += 1
            slots += found.slots
            requests += loads.find(found.incarnation)
            age_s = self._placement.tracker.get(found.incarnation).find_load_age_s(now_s)
            fresh += age_s is not None and age_s < FRESH_S
        return DomainLoad(live, slots, requests, fresh / live if live else 0.0, disturbed)

    async def _send(self, orders: Mapping[Subject, tuple[int, DomainLoad]]) -> None:
        """Store the numbers and order them."""
        known = self._planner.ordered
        ordered = known | {subject: number for subject, (number, _) in orders.items()}
        if ordered != known:
            await self._holder.write_row(ORDERS_KEY, encode_orders(ordered), None)
        await asyncio.gather(*(self._order(found, *order) for found, order in orders.items()))

    async def _order(self, subject: Subject, number: int, load: DomainLoad) -> None:
        """Order a number; it is ordered again until the service has accepted it."""
        before = self._planner.ordered.get(subject)
        try:
            status = await self._holder.call(
                lambda fence: self._client.order_upstreams(
                    fence, subject.service, subject.domain, number
                )
            )
        except DutyCallFailed as error:
            self._planner.record_sent(subject, number, self._now_s(), False)
            log_event(
                "scale-order",
                state="not-answered",
                service=subject.service,
                domain=subject.domain,
                desired=number,
                reason=str(error),
            )
            return
        if status is None:
            self._planner.record_sent(subject, number, self._now_s(), False)
            return
        accepted = 200 <= status < 300
        # A call that is refused for good is not made again.
        self._planner.record_sent(subject, number, self._now_s(), accepted or 400 <= status < 429)
        self.sent += accepted
        log_event(
            "scale-order",
            state="accepted" if accepted else "refused",
            service=subject.service,
            domain=subject.domain,
            desired=number,
            before=before,
            live=load.live,
            requests=round(load.requests, 1),
            slots=load.slots,
            status=status,
        )
