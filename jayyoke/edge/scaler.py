"""Orders upstreams by the load of each domain while this process holds the duties."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from jayyoke.core.error import Conflict, DutyCallFailed, PeerUnavailable, StoreUnavailable
from jayyoke.duties.scaling import (
    DomainLoad,
    ScalePlanner,
    Subject,
    choose_load,
    decode_orders,
    encode_orders,
)
from jayyoke.edge.countmessage import CountClient
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.loadsummary import LoadSummary, decode_loads
from jayyoke.edge.log import log_event
from jayyoke.edge.roster import Roster
from jayyoke.edge.view import FleetView
from jayyoke.platform.dutyservice import DutyClient
from jayyoke.wire.gen import ttypes

# A follower of each domain is asked in this time, and more seldom with more than seven domains.
PERIOD_S = 1.0
PERIOD_S_PER_DOMAIN = 0.14
ORDERS_KEY = "scale"
# The view knows the upstreams of all domains by then.
SETTLE_S = 5.0


class Scaler:
    """Observes the loads of services with limits, and sends the orders that are due."""

    def __init__(
        self,
        name: str,
        holder: DutyHolder,
        client: DutyClient,
        peers: CountClient,
        roster: Roster,
        summary: LoadSummary,
        view: FleetView,
        now_s: Callable[[], float],
    ):
        self._name = name
        self._planner = ScalePlanner()
        self._holder = holder
        self._client = client
        self._peers = peers
        self._roster = roster
        self._summary = summary
        self._view = view
        self._now_s = now_s
        # The tenure whose orders were read from the store, and since when it is held.
        self._tenure: object = None
        self._since_s = 0.0
        self._turn = 0
        self.sent = 0

    async def run(self) -> None:
        """Order upstreams while this process holds the duties, until cancelled."""
        while True:
            domains = len(self._summary.list_domains()) if self._holder.active else 0
            await asyncio.sleep(max(PERIOD_S, PERIOD_S_PER_DOMAIN * domains))
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
        loads = await self._collect()
        now_s = self._now_s()
        orders: dict[Subject, tuple[int, DomainLoad]] = {}
        for subject, load in loads.items():
            service = config.services.get(subject.service)
            if service is None or service.scale_limits is None:
                continue
            self._planner.observe(subject, load, service.scale_limits, now_s)
            number = self._planner.find_order(subject, service.scale_limits, now_s)
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

    async def _collect(self) -> dict[Subject, DomainLoad]:
        """Return the loads of all services with limits in all domains."""
        self._turn += 1
        own = self._summary.summarize()
        found = await asyncio.gather(*(self._collect_domain(*known) for known in own.items()))
        loads = {}
        for domain, by_service in zip(own, found, strict=True):
            for service, load in by_service.items():
                loads[Subject(service, domain)] = load
        return loads

    async def _collect_domain(
        self, domain: str, own: dict[str, DomainLoad]
    ) -> dict[str, DomainLoad]:
        """Return a domain's loads by service, as this process or a follower knows them."""
        members = self._roster.list_followers().get(domain, ())
        others = [found for found in members if found.name != self._name]
        if not others or len(others) < len(members):
            # This process follows for the domain itself.
            return own
        follower = others[self._turn % len(others)]
        try:
            answer = await self._peers.ask_loads(follower.address, ttypes.LoadQuery(domain))
        except PeerUnavailable:
            return own
        heard = decode_loads(answer)
        return {service: choose_load(load, heard.get(service)) for service, load in own.items()}

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
        fields = {"service": subject.service, "domain": subject.domain, "desired": number}
        try:
            status = await self._holder.call(
                lambda fence: self._client.order_upstreams(
                    fence, subject.service, subject.domain, number
                )
            )
        except DutyCallFailed as error:
            self._planner.record_sent(subject, number, self._now_s(), False)
            log_event("scale-order", state="not-answered", **fields, reason=str(error))
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
            **fields,
            before=before,
            live=load.live,
            requests=round(load.requests, 1),
            slots=load.slots,
            status=status,
        )
