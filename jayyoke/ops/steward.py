"""Steward of an engine: the only instance that admits work to it."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.clock import Clock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.peering import Peers
from jayyoke.core.upstream import UpstreamState
from jayyoke.ops.account import Account, Reservation
from jayyoke.ops.loadbound import (
    WORK_HEADROOM_SHARE,
    MeanLoad,
    admits,
    compute_admission_multiple,
    compute_bound,
)
from jayyoke.ops.loads import Load, Loads
from jayyoke.ops.slowstart import Ramp
from jayyoke.ops.stewardship import Directory, Stewardship
from jayyoke.wire.gen.ttypes import Granted, Holdings, Observed, Release, Reserve

TAKE_OVER_GRACE_S = 3.0  # Peers detect a dead member at most 2 s apart; 1 s is for messages.
DEAD_ENTRY_S = 5.0
IDLE_CONFIRMATION_AGE_S = 0.25
RESTART_EXPECTED_S = 5.0  # Two probe intervals; a probe notices a load that takes longer.
NEAR_FULL_SHARE = 0.9
# A notice goes to every member, so its interval grows with their number to bound the traffic.
NOTICE_INTERVAL_PER_MEMBER_S = 0.025
# A full digest repeats every load each 10 s. An older load is ignored, since the engine may have
# left and come back cold.
MAX_LOAD_AGE_S = 15.0


class Steward:
    """Admits work to the engines that this instance is the steward of."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        loads: Loads,
        directory: Directory,
        domains_out: Callable[[], frozenset[str]],
    ):
        self._domains_out = domains_out
        self._known_domains_out = domains_out()
        self._clock = clock
        self._peers = peers
        self._loads = loads
        self._directory = directory
        self._stewardship = Stewardship(peers, directory)
        self._accounts: dict[str, Account] = {}
        self._dead_since_s: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._last_notice_s = -1e9
        self._notices: Subject[str] = Subject()
        self._probes: Subject[str] = Subject()
        peers.serve(Reserve, self._serve_reserve)
        peers.serve(Release, self._serve_release)
        peers.serve(Holdings, self._serve_holdings)
        peers.serve(Observed, self._serve_observed)
        peers.changes.subscribe(self._on_member_change)

    @property
    def notices(self) -> Observable[str]:
        """Return an observable of engines whose load is to be sent at once.

        These are engines that come near their load bound or limit, or have room again.
        """
        return self._notices

    @property
    def probes(self) -> Observable[str]:
        """Return an observable of engines that are to be probed at once."""
        return self._probes

    def owns(self, engine: str) -> bool:
        """Tell whether this instance is the steward of an engine."""
        return self._stewardship.find_steward(engine) == self._peers.me.name

    def skips_grace_period(self) -> bool:
        """Tell whether none of this steward's engines is in the grace period of a take-over."""
        now_s = self._clock.now_s()
        for engine, account in self._accounts.items():
            service = self._find_service(engine)
            if service is None or not self.owns(engine):
                continue
            if self._in_take_over_grace(account, service, now_s):
                return False
        return True

    def list_loads(self) -> dict[str, Load]:
        """Return the loads of this steward's engines, and record them in this instance's loads."""
        now_s = self._clock.now_s()
        loads = {}
        for engine, account in self._accounts.items():
            upstream = self._directory.find(engine)
            service = self._find_service(engine)
            if upstream is None or service is None or not self.owns(engine):
                continue
            limit = self._work_limit(account, service, now_s)
            incarnation = account.incarnation
            requests, work = account.requests, account.work_tokens
            loads[engine] = Load(requests, work, limit, upstream.state, incarnation, now_s)
            self._loads.put(engine, loads[engine])
        return loads

    def reserve(self, message: Reserve) -> Granted:
        """Admit or refuse work; a repeated request id is granted and counted once."""
        engine = message.upstream
        service = self._find_service(engine)
        if service is None:
            return Granted(False, "unknown-upstream", 0, 0, 0)
        if not self.owns(engine):
            return Granted(False, "not-steward", 0, 0, 0)
        self.check_domains()
        account = self._open_account(engine)
        now_s = self._clock.now_s()
        reason = ""
        mean = self._mean_load(service)
        if not account.holds(message.entry, message.request_id):
            reason = (
                ""
                if message.forced
                else self._find_refusal_reason(account, service, message, mean, now_s)
            )
            if not reason:
                reservation = Reservation(max(message.work_tokens, 0), now_s)
                account.add(message.entry, message.request_id, reservation)
        limit = self._work_limit(account, service, now_s)
        self._send_notice(account, engine, service, mean, limit, now_s)
        load = Load(
            account.requests,
            account.work_tokens,
            limit,
            UpstreamState.LIVE,
            account.incarnation,
            now_s,
        )
        self._loads.put(engine, load)
        return Granted(not reason, reason, account.work_tokens, limit, account.requests)

    def release(self, entry: str, message: Release) -> None:
        """Remove reservations of an entry."""
        account = self._accounts.get(message.upstream)
        if account is None:
            return
        for request_id in message.request_ids:
            account.remove(entry, request_id)
        service = self._find_service(message.upstream)
        if account.announced_near_full and service is not None:
            now_s = self._clock.now_s()
            limit = self._work_limit(account, service, now_s)
            mean = self._mean_load(service)
            self._send_notice(account, message.upstream, service, mean, limit, now_s)

    def accept_holdings(self, entry: str, message: Holdings) -> None:
        """Replace an entry's reservations by those that it reports."""
        if self._find_service(message.upstream) is None or not self.owns(message.upstream):
            return
        held = {holding.request_id: max(holding.work_tokens, 0) for holding in message.holdings}
        self._open_account(message.upstream).replace(entry, held, self._clock.now_s())

    def confirm(self, engine: str, incarnation: int, warm: bool = False) -> bool:
        """Record the incarnation seen in a probe, answer or event; return True if it is new."""
        if not self.owns(engine) or self._find_service(engine) is None:
            return False
        account = self._open_account(engine)
        now_s = self._clock.now_s()
        account.confirmed_s = now_s
        account.unconfirmed = False
        changed = account.incarnation != incarnation and incarnation != 0
        known = account.incarnation != 0
        if changed:
            account.incarnation = incarnation
        if changed and known:
            account.ramp = Ramp(now_s)
            account.restart_expected_until_s = now_s
        elif changed and warm and not account.has_predecessor:
            account.ramp = Ramp()
        return changed and known

    def restart_slow_start(self, engine: str) -> None:
        """Restart the slow start of an engine that came back, alone or with its domain."""
        if self.owns(engine) and self._find_service(engine) is not None:
            self._open_account(engine).ramp = Ramp(self._clock.now_s())

    def require_confirmation(self, engine: str) -> None:
        """Apply an engine's cold limit until a probe confirms its incarnation."""
        if not self.owns(engine) or self._find_service(engine) is None:
            return
        self._open_account(engine).unconfirmed = True
        self._probes.on_next(engine)

    def expect_restart(self, engine: str) -> None:
        """Apply the cold limit of an engine that was ordered to load a version until it restarts.

        A short load can begin and end between two probes. Without this limit, an engine that had
        just become cold received the work of a warm one.
        """
        if self.owns(engine) and self._find_service(engine) is not None:
            self._open_account(engine).restart_expected_until_s = (
                self._clock.now_s() + RESTART_EXPECTED_S
            )

    def sweep(self) -> None:
        """Remove expired accounts and reservations; call about once a second."""
        now_s = self._clock.now_s()
        expired_entries = [
            entry
            for entry, since_s in self._dead_since_s.items()
            if now_s - since_s >= DEAD_ENTRY_S
        ]
        for entry in expired_entries:
            del self._dead_since_s[entry]
        for engine, account in list(self._accounts.items()):
            if not self.owns(engine) or self._directory.find(engine) is None:
                del self._accounts[engine]
                continue
            for entry in expired_entries:
                account.drop_entry(entry)
            if now_s - account.opened_s >= TAKE_OVER_GRACE_S:
                account.inherited_requests = account.inherited_tokens = 0
            account.drop_expired(now_s)

    def check_domains(self) -> None:
        """Restart the slow start of engines whose domain is no longer out."""
        domains_out = self._domains_out()
        if domains_out == self._known_domains_out:
            return
        returned = self._known_domains_out - domains_out
        self._known_domains_out = domains_out
        for engine in self._accounts:
            upstream = self._directory.find(engine)
            if upstream is not None and upstream.domain in returned:
                self.restart_slow_start(engine)

    def open_accounts(self, engines: Iterable[str]) -> None:
        """Open accounts for those of the engines whose steward is this instance."""
        for engine in engines:
            if self.owns(engine) and self._find_service(engine) is not None:
                self._open_account(engine)

    def _find_refusal_reason(
        self, account: Account, service: ServiceSpec, message: Reserve, mean: MeanLoad, now_s: float
    ) -> str:
        added = message.work_tokens
        if account.full or added < 0:
            return "limit"
        upstream = self._directory.find(message.upstream)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            return "not-live"
        if upstream.domain in self._known_domains_out:
            return "domain-out"
        if self._in_take_over_grace(account, service, now_s):
            return "take-over"
        if account.requests == 0 and now_s - account.confirmed_s > IDLE_CONFIRMATION_AGE_S:
            # The restart of an idle engine breaks no stream, so only a probe can notice it.
            account.unconfirmed = True
            self._probes.on_next(message.upstream)
        limit = self._work_limit(account, service, now_s)
        idle_and_warm = account.requests == 0 and limit >= service.full_work_tokens
        if account.work_tokens + added > limit and not idle_and_warm:
            return "slow-start" if limit < service.full_work_tokens else "limit"
        if message.mean_requests > mean.requests:
            work = max(mean.work_tokens, message.mean_work_tokens)
            mean = MeanLoad(mean.engines, message.mean_requests, work)
        multiple = compute_admission_multiple(service.load_bound)
        work_multiple = compute_admission_multiple(service.load_bound, WORK_HEADROOM_SHARE)
        requests, work = account.requests, account.work_tokens
        if not admits(requests, work, added, mean, multiple, work_multiple):
            return "bound"
        return ""

    def _in_take_over_grace(self, account: Account, service: ServiceSpec, now_s: float) -> bool:
        if now_s - account.opened_s >= TAKE_OVER_GRACE_S:
            return False
        if account.has_predecessor:
            return account.ramp.is_warming(service, now_s)
        members = {member.name for member in self._peers.members()} - {self._peers.me.name}
        return not members <= self._loads.reporting_members

    def _work_limit(self, account: Account, service: ServiceSpec, now_s: float) -> int:
        limit = account.ramp.limit_tokens(service, now_s)
        if account.unconfirmed or now_s < account.restart_expected_until_s:
            return min(limit, service.cold_work_tokens)
        return limit

    def _send_notice(
        self,
        account: Account,
        engine: str,
        service: ServiceSpec,
        mean: MeanLoad,
        limit: int,
        now_s: float,
    ) -> None:
        bound = compute_bound(compute_admission_multiple(service.load_bound), mean.requests)
        near = (
            account.requests >= NEAR_FULL_SHARE * bound
            or account.work_tokens >= NEAR_FULL_SHARE * limit
        )
        interval_s = NOTICE_INTERVAL_PER_MEMBER_S * len(self._peers.members())
        # Owners skip an engine that they believe is full, so a notice also reports that it has room
        # again; without it, an engine stayed idle until the next digest, for up to 1 s.
        changed = near or account.announced_near_full
        if changed and now_s - self._last_notice_s >= interval_s:
            self._last_notice_s = now_s
            account.announced_near_full = near
            self._notices.on_next(engine)

    def _mean_load(self, service: ServiceSpec) -> MeanLoad:
        engines = (upstream.name for upstream in self._directory.candidates(service.name))
        return self._loads.mean(service.name, engines)

    def _find_service(self, engine: str) -> ServiceSpec | None:
        upstream = self._directory.find(engine)
        return None if upstream is None else self._directory.find_service(upstream.service)

    def _open_account(self, engine: str) -> Account:
        account = self._accounts.get(engine)
        if account is not None:
            return account
        now_s = self._clock.now_s()
        service = self._find_service(engine)
        assert service is not None
        known = self._loads.find(engine)
        stale = known is None or now_s - known.seen_s > MAX_LOAD_AGE_S
        if known is None or stale or known.limit_tokens <= 0:
            account = Account(now_s, Ramp(now_s), unconfirmed=True)
        else:
            ramp = Ramp.resume(service, known.limit_tokens, now_s)
            account = Account(
                now_s, ramp, known.incarnation, unconfirmed=True, has_predecessor=True
            )
            account.inherited_requests = known.requests
            account.inherited_tokens = known.work_tokens
        self._accounts[engine] = account
        self._probes.on_next(engine)
        return account

    def _on_member_change(self, change: MemberChange) -> None:
        member = change.member
        if change.state is not MemberState.LIVE:
            self._dead_since_s.setdefault(member.name, self._clock.now_s())
            return
        self._dead_since_s.pop(member.name, None)
        before = self._incarnations.get(member.name)
        self._incarnations[member.name] = member.incarnation
        if before is None or before == member.incarnation:
            return
        for account in self._accounts.values():
            account.drop_entry(member.name)

    async def _serve_reserve(self, sender: Member, message: Reserve) -> Granted:
        return self.reserve(message)

    async def _serve_release(self, sender: Member, message: Release) -> None:
        message.entry = message.entry or sender.name
        if not self._forward(sender, message):
            self.release(message.entry, message)

    async def _serve_holdings(self, sender: Member, message: Holdings) -> None:
        message.entry = message.entry or sender.name
        if not self._forward(sender, message):
            self.accept_holdings(message.entry, message)

    async def _serve_observed(self, sender: Member, message: Observed) -> None:
        if self._forward(sender, message):
            return
        if message.failed:
            self.require_confirmation(message.upstream)
        if message.incarnation != 0:
            self.confirm(message.upstream, message.incarnation)

    def _forward(self, sender: Member, message: Release | Holdings | Observed) -> bool:
        """Forward a message of another group to the engine's steward; return True if forwarded."""
        steward = self._stewardship.find_steward(message.upstream)
        members = self._peers.members()
        if steward == self._peers.me.name or sender in members:
            return False
        if steward not in (member.name for member in members):
            return False
        self._peers.tell(steward, message)
        return True
