"""Steward of an engine: the sole authority on the work that is admitted to it."""

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
from jayyoke.ops.bound import WORK_SHARE, Mean, admits, compute_bound, tighten
from jayyoke.ops.loads import Load, Loads
from jayyoke.ops.slowstart import Ramp
from jayyoke.ops.stewardship import Directory, Stewardship
from jayyoke.wire.gen.ttypes import Granted, Holdings, Observed, Release, Reserve

TAKE_OVER_S = 3.0  # Peers detect a dead member at most 2 s apart; 1 s is left for messages.
DEAD_ENTRY_S = 5.0
CONFIRM_S = 0.25
RESTART_EXPECTED_S = 5.0  # Two probe intervals: a longer load is seen as such by a probe.
NEAR_SHARE = 0.9
# Notices go to every member; a rate that falls with their number bounds the traffic of a node.
NOTICE_INTERVAL_PER_MEMBER_S = 0.025
# Digests repeat every load each 10 s; an older one says nothing of an engine that came back.
KNOWN_AGE_S = 15.0


class Steward:
    """Admits work to the engines that this instance is the steward of."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        loads: Loads,
        directory: Directory,
        out: Callable[[], frozenset[str]],
    ):
        self._out = out
        self._seen_out = out()
        self._clock = clock
        self._peers = peers
        self._loads = loads
        self._directory = directory
        self._stewardship = Stewardship(peers, directory)
        self._accounts: dict[str, Account] = {}
        self._dead: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._noticed_s = -1e9
        self._notices: Subject[str] = Subject()
        self._probes: Subject[str] = Subject()
        peers.serve(Reserve, self._serve_reserve)
        peers.serve(Release, self._serve_release)
        peers.serve(Holdings, self._serve_holdings)
        peers.serve(Observed, self._serve_observed)
        peers.changes.subscribe(self._on_change)

    @property
    def notices(self) -> Observable[str]:
        """Return engines near the bound, whose load is to be sent at once."""
        return self._notices

    @property
    def probes(self) -> Observable[str]:
        """Return engines that are to be probed at once."""
        return self._probes

    def owns(self, engine: str) -> bool:
        """Tell whether this instance is the steward of an engine."""
        return self._stewardship.find(engine) == self._peers.me.name

    def grants_all(self) -> bool:
        """Tell whether no engine of this steward waits for the grace period after a take-over."""
        now_s = self._clock.now_s()
        for engine, account in self._accounts.items():
            service = self._find_service(engine)
            if service is None or not self.owns(engine):
                continue
            if self._in_grace(account, service, now_s):
                return False
        return True

    def list_loads(self) -> dict[str, Load]:
        """Return the loads of this steward's engines, for the digest and the own view."""
        now_s = self._clock.now_s()
        loads = {}
        for engine, account in self._accounts.items():
            upstream = self._directory.find(engine)
            service = self._find_service(engine)
            if upstream is None or service is None or not self.owns(engine):
                continue
            limit = self._limit(account, service, now_s)
            incarnation = account.incarnation
            requests, work = account.requests, account.work_tokens
            loads[engine] = Load(requests, work, limit, upstream.state, incarnation, now_s)
            self._loads.put(engine, loads[engine])
        return loads

    def reserve(self, message: Reserve) -> Granted:
        """Admit or refuse work; repeating a request id neither counts twice nor is refused."""
        engine = message.upstream
        service = self._find_service(engine)
        if service is None:
            return Granted(False, "unknown-upstream", 0, 0, 0)
        if not self.owns(engine):
            return Granted(False, "not-steward", 0, 0, 0)
        self.check_domains()
        account = self._open(engine)
        now_s = self._clock.now_s()
        reason = ""
        mean = self._mean(service)
        if not account.holds(message.entry, message.request_id):
            reason = "" if message.forced else self._refuse(account, service, message, mean, now_s)
            if not reason:
                reservation = Reservation(max(message.work_tokens, 0), now_s)
                account.add(message.entry, message.request_id, reservation)
        limit = self._limit(account, service, now_s)
        self._notice(account, engine, service, mean, limit, now_s)
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
        """End reservations of an entry."""
        account = self._accounts.get(message.upstream)
        if account is None:
            return
        for request_id in message.request_ids:
            account.remove(entry, request_id)
        service = self._find_service(message.upstream)
        if account.noticed and service is not None:
            now_s = self._clock.now_s()
            limit = self._limit(account, service, now_s)
            mean = self._mean(service)
            self._notice(account, message.upstream, service, mean, limit, now_s)

    def accept_holdings(self, entry: str, message: Holdings) -> None:
        """Replace an entry's reservations by what it says it holds."""
        if self._find_service(message.upstream) is None or not self.owns(message.upstream):
            return
        held = {holding.request_id: max(holding.work_tokens, 0) for holding in message.holdings}
        self._open(message.upstream).replace(entry, held, self._clock.now_s())

    def confirm(self, engine: str, incarnation: int, warm: bool = False) -> bool:
        """Record the incarnation seen in a probe, answer or event; return True if it is new."""
        if not self.owns(engine) or self._find_service(engine) is None:
            return False
        account = self._open(engine)
        now_s = self._clock.now_s()
        account.confirmed_s = now_s
        account.unconfirmed = False
        changed = account.incarnation != incarnation and incarnation != 0
        known = account.incarnation != 0
        if changed:
            account.incarnation = incarnation
        if changed and known:
            account.ramp = Ramp(now_s)
            account.restart_due_s = now_s
        elif changed and warm and not account.predecessor:
            account.ramp = Ramp()
        return changed and known

    def chill(self, engine: str) -> None:
        """Restart an engine's slow start: it returns from DOWN, or its domain returns."""
        if self.owns(engine) and self._find_service(engine) is not None:
            self._open(engine).ramp = Ramp(self._clock.now_s())

    def suspect(self, engine: str) -> None:
        """Limit an engine to cold work until a probe confirms its incarnation."""
        if not self.owns(engine) or self._find_service(engine) is None:
            return
        self._open(engine).unconfirmed = True
        self._probes.on_next(engine)

    def expect_restart(self, engine: str) -> None:
        """Limit an engine that was ordered to load a version to cold work until it has.

        A short load can begin and end between two probes, after which a full load met an engine
        that had just turned cold.
        """
        if self.owns(engine) and self._find_service(engine) is not None:
            self._open(engine).restart_due_s = self._clock.now_s() + RESTART_EXPECTED_S

    def sweep(self) -> None:
        """Drop what is too old; call about once a second."""
        now_s = self._clock.now_s()
        gone = [entry for entry, since in self._dead.items() if now_s - since >= DEAD_ENTRY_S]
        for entry in gone:
            del self._dead[entry]
        for engine, account in list(self._accounts.items()):
            if not self.owns(engine) or self._directory.find(engine) is None:
                del self._accounts[engine]
                continue
            for entry in gone:
                account.drop_entry(entry)
            if now_s - account.taken_s >= TAKE_OVER_S:
                account.inherited_requests = account.inherited_tokens = 0
            account.drop_old(now_s)

    def check_domains(self) -> None:
        """Restart the slow start of engines whose domain was brought back."""
        out = self._out()
        if out == self._seen_out:
            return
        returned = self._seen_out - out
        self._seen_out = out
        for engine in self._accounts:
            upstream = self._directory.find(engine)
            if upstream is not None and upstream.domain in returned:
                self.chill(engine)

    def take_over(self, engines: Iterable[str]) -> None:
        """Open the accounts of engines that this instance became the steward of."""
        for engine in engines:
            if self.owns(engine) and self._find_service(engine) is not None:
                self._open(engine)

    def _refuse(
        self, account: Account, service: ServiceSpec, message: Reserve, mean: Mean, now_s: float
    ) -> str:
        added = message.work_tokens
        if account.full or added < 0:
            return "limit"
        upstream = self._directory.find(message.upstream)
        if upstream is None or upstream.state is not UpstreamState.LIVE:
            return "not-live"
        if upstream.domain in self._seen_out:
            return "domain-out"
        if self._in_grace(account, service, now_s):
            return "take-over"
        if account.requests == 0 and now_s - account.confirmed_s > CONFIRM_S:
            # An idle engine can restart unseen, since no stream breaks.
            account.unconfirmed = True
            self._probes.on_next(message.upstream)
        limit = self._limit(account, service, now_s)
        idle_and_warm = account.requests == 0 and limit >= service.full_work_tokens
        if account.work_tokens + added > limit and not idle_and_warm:
            return "slow-start" if limit < service.full_work_tokens else "limit"
        if message.mean_requests > mean.requests:
            work = max(mean.work_tokens, message.mean_work_tokens)
            mean = Mean(mean.engines, message.mean_requests, work)
        multiple = tighten(service.bound_multiple)
        work_multiple = tighten(service.bound_multiple, WORK_SHARE)
        requests, work = account.requests, account.work_tokens
        if not admits(requests, work, added, mean, multiple, work_multiple):
            return "bound"
        return ""

    def _in_grace(self, account: Account, service: ServiceSpec, now_s: float) -> bool:
        if now_s - account.taken_s >= TAKE_OVER_S:
            return False
        if account.predecessor:
            return account.ramp.warming(service, now_s)
        members = {member.name for member in self._peers.members()} - {self._peers.me.name}
        return not members <= self._loads.heard

    def _limit(self, account: Account, service: ServiceSpec, now_s: float) -> int:
        limit = account.ramp.limit_tokens(service, now_s)
        if account.unconfirmed or now_s < account.restart_due_s:
            return min(limit, service.cold_work_tokens)
        return limit

    def _notice(
        self,
        account: Account,
        engine: str,
        service: ServiceSpec,
        mean: Mean,
        limit: int,
        now_s: float,
    ) -> None:
        bound = compute_bound(tighten(service.bound_multiple), mean.requests)
        near = account.requests >= NEAR_SHARE * bound or account.work_tokens >= NEAR_SHARE * limit
        interval_s = NOTICE_INTERVAL_PER_MEMBER_S * len(self._peers.members())
        # Owners pass over an engine that they think is full, so they must also hear that it has
        # room again; without that, one stood idle until the next digest, for up to 1 s.
        changed = near or account.noticed
        if changed and now_s - self._noticed_s >= interval_s:
            self._noticed_s = now_s
            account.noticed = near
            self._notices.on_next(engine)

    def _mean(self, service: ServiceSpec) -> Mean:
        engines = (upstream.name for upstream in self._directory.candidates(service.name))
        return self._loads.mean(service.name, engines)

    def _find_service(self, engine: str) -> ServiceSpec | None:
        upstream = self._directory.find(engine)
        return None if upstream is None else self._directory.service(upstream.service)

    def _open(self, engine: str) -> Account:
        account = self._accounts.get(engine)
        if account is not None:
            return account
        now_s = self._clock.now_s()
        service = self._find_service(engine)
        assert service is not None
        known = self._loads.find(engine)
        stale = known is None or now_s - known.seen_s > KNOWN_AGE_S
        if known is None or stale or known.limit_tokens <= 0:
            account = Account(now_s, Ramp(now_s), unconfirmed=True)
        else:
            ramp = Ramp.resume(service, known.limit_tokens, now_s)
            account = Account(now_s, ramp, known.incarnation, unconfirmed=True, predecessor=True)
            account.inherited_requests = known.requests
            account.inherited_tokens = known.work_tokens
        self._accounts[engine] = account
        self._probes.on_next(engine)
        return account

    def _on_change(self, change: MemberChange) -> None:
        member = change.member
        if change.state is not MemberState.LIVE:
            self._dead.setdefault(member.name, self._clock.now_s())
            return
        self._dead.pop(member.name, None)
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
        if not self._pass_on(sender, message):
            self.release(message.entry, message)

    async def _serve_holdings(self, sender: Member, message: Holdings) -> None:
        message.entry = message.entry or sender.name
        if not self._pass_on(sender, message):
            self.accept_holdings(message.entry, message)

    async def _serve_observed(self, sender: Member, message: Observed) -> None:
        if self._pass_on(sender, message):
            return
        if message.failed:
            self.suspect(message.upstream)
        if message.incarnation != 0:
            self.confirm(message.upstream, message.incarnation)

    def _pass_on(self, sender: Member, message: Release | Holdings | Observed) -> bool:
        """Pass a message of another group on to the engine's steward; return True if it was."""
        steward = self._stewardship.find(message.upstream)
        members = self._peers.members()
        if steward == self._peers.me.name or sender in members:
            return False
        if steward not in (member.name for member in members):
            return False
        self._peers.tell(steward, message)
        return True
