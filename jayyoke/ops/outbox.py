"""Acknowledged late and tag requests, kept as rows of the table until they are delivered.

The rows are `outbox/{owner}/{request_id}.{token}`. The owner is one run of an instance. It renews
the row `owner/{domain}/{owner}`; a live instance adopts the rows of an owner that died or stopped
renewing.
"""

from __future__ import annotations

import asyncio
import base64
import json
import uuid
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from urllib.parse import quote

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, TeamSpec
from jayyoke.core.error import Conflict, Effect, Refusal, RunState, StoreUnavailable, UpstreamError
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.peering import Peers
from jayyoke.core.request import CallerRequest
from jayyoke.ops.forward import Answer
from jayyoke.ops.rendezvous import rank
from jayyoke.ops.reply import Replies
from jayyoke.ops.settle import OnceUpstream
from jayyoke.platform.table import Put, Row, Table
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.record import build_record

RENEW_INTERVAL_S = 3.0
OWNER_LEASE_S = 9.0  # Three renewals; a longer pause repeats a delivery but never loses one.
SWEEP_INTERVAL_S = 3.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 30.0
ADD_ATTEMPTS = 3
TAG_TIMEOUT_S = 5.0
LATE_TIMEOUT_S = 120.0  # A service that takes longer than this would be called again.
MAX_BODY_BYTES = 256 << 10  # Rows stay small enough for several in one batch.
PAGE_ROWS = 100
OWNER_PREFIX = "owner/"
MAX_DELIVERING = 1000

Commit = Callable[[Sequence[Put]], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class OutboxEntry:
    """Holds the value of an outbox row: a call to deliver until the service answers."""

    kind: str
    request_id: str
    token: str
    team: str
    class_name: str
    service: str
    within_s: float
    method: str
    path: str
    query: str
    content_type: str
    body: bytes
    key: str

    @property
    def timeout_s(self) -> float:
        """Return how long one attempt may take."""
        minimum_s = LATE_TIMEOUT_S if self.kind == ClassKind.LATE.value else TAG_TIMEOUT_S
        return max(self.within_s, minimum_s)

    @property
    def request(self) -> CallerRequest:
        """Return the call to send; it carries the same idempotency key each time."""
        spec = ClassSpec(self.class_name, ClassKind(self.kind), self.service, self.within_s)
        return CallerRequest(
            request_id=self.request_id,
            team=TeamSpec(self.team, ""),
            class_spec=spec,
            service=ServiceSpec(self.service, "plain"),
            arrival_s=0.0,
            deadline_s=0.0,
            method=self.method,
            path=self.path,
            query=self.query,
            content_type=self.content_type,
            body=self.body,
            idempotency_key=self.key,
        )


def build_entry(request: CallerRequest) -> OutboxEntry:
    """Return the outbox entry of a request; raise Refusal if its body is too large."""
    if len(request.body) > MAX_BODY_BYTES:
        detail = f"the body exceeds {MAX_BODY_BYTES} bytes"
        raise Refusal(413, "body-too-large", detail, RunState.NOT_RUN)
    token = uuid.uuid4().hex
    key = request.idempotency_key or token
    parts = (request.team.name, request.class_spec.name, key)
    return OutboxEntry(
        kind=request.class_spec.kind.value,
        request_id=request.request_id,
        token=token,
        team=request.team.name,
        class_name=request.class_spec.name,
        service=request.service.name,
        within_s=request.class_spec.within_s,
        method=request.method,
        path=request.path,
        query=request.query,
        content_type=request.content_type,
        body=request.body,
        key=":".join(quote(part, safe="") for part in parts),
    )


def encode_entry(entry: OutboxEntry) -> bytes:
    """Return the stored form of an entry."""
    plain = {name: getattr(entry, name) for name in OutboxEntry.__dataclass_fields__}
    plain["body"] = base64.b64encode(entry.body).decode()
    return json.dumps(plain).encode()


def decode_entry(value: bytes) -> OutboxEntry:
    """Return an entry from its stored form; raise StoreUnavailable if it is malformed."""
    try:
        plain = parse_json(value)
        plain["body"] = base64.b64decode(plain["body"], validate=True)
        return build_record(OutboxEntry, plain)
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"outbox row is malformed: {error!r}") from error


def owner_label(member: Member) -> str:
    """Return the name of one run of an instance in row keys."""
    return f"{quote(member.name, safe='')}.{member.incarnation}"


def owner_prefix(domain: str) -> str:
    """Return the prefix of the keys of a domain's owners."""
    return f"{OWNER_PREFIX}{quote(domain, safe='')}/"


class Outbox:
    """Records calls, delivers them at least once and adopts those of dead owners."""

    def __init__(
        self,
        table: Table,
        commit: Commit,
        service: OnceUpstream,
        replies: Replies,
        peers: Peers,
        clock: Clock,
    ):
        self._table = table
        self._commit = commit
        self._service = service
        self._replies = replies
        self._peers = peers
        self._clock = clock
        self._label = owner_label(peers.me)
        self._owner_key = owner_prefix(peers.me.domain) + self._label
        self._renewed_s: float | None = None
        self._delivering: dict[str, asyncio.Task[None]] = {}
        self._lease_versions: dict[str, tuple[int, float]] = {}
        self._dead: set[str] = set()
        self._scan_cursor = OWNER_PREFIX

    def row_key(self, entry: OutboxEntry) -> str:
        """Return the key of an entry's row under this owner.

        The token makes the key unique, so that a delayed delete never hits a later row.
        """
        return f"outbox/{self._label}/{quote(entry.request_id, safe='')}.{entry.token}"

    async def add(self, entry: OutboxEntry, extra: Sequence[Put] = ()) -> None:
        """Make an entry durable; raise Conflict, or StoreUnavailable with its effect.

        The caller then calls `deliver`. If the effect is unknown, the sweep delivers the row.
        """
        put = Put(self.row_key(entry), encode_entry(entry), 0)
        effect = Effect.NONE
        for _ in range(ADD_ATTEMPTS):
            committed = False
            try:
                await self._renew_if_due()
                await self._commit([put, *extra])
                committed = True
            except Conflict:
                if effect is Effect.NONE:
                    raise
            except StoreUnavailable as error:
                if error.effect is Effect.NONE:
                    raise StoreUnavailable(str(error), effect) from error
                effect = Effect.UNKNOWN
            if committed:
                return await self._renew_after_commit()
            try:
                row = await self._table.get(put.key)
            except StoreUnavailable as error:
                raise StoreUnavailable(str(error), Effect.UNKNOWN) from error
            if row is not None and row.value == put.value:
                return await self._renew_after_commit()
        raise StoreUnavailable("the outbox row was not confirmed", effect)

    def deliver(
        self, key: str, entry: OutboxEntry, call: asyncio.Task[Answer] | None = None
    ) -> None:
        """Deliver a durable entry in the background until the service answers."""
        if key in self._delivering or len(self._delivering) >= MAX_DELIVERING:
            return  # The sweep finds the row again.
        task = asyncio.create_task(self._deliver(key, entry, call))
        self._delivering[key] = task
        task.add_done_callback(lambda _: self._delivering.pop(key, None))

    async def call(self, entry: OutboxEntry) -> Answer:
        """Return the service's answer, repeating the call until there is one."""
        delay_s = FIRST_RETRY_S
        request = entry.request
        tried: tuple[str, ...] = ()
        while True:
            try:
                upstream = await self._service.place(request, tried)
                answer = await self._service.send(upstream, request, entry.timeout_s)
                if answer.final:
                    return answer
                detail = f"{upstream.name} answered {answer.status}"
            except UpstreamError as error:
                detail = str(error)
                tried = (*tried, upstream.name)
            except Refusal as refusal:
                detail = str(refusal)
                tried = ()
            logging.info("call %s is repeated: %s", entry.request_id, detail)
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_S, delay_s * 2)

    async def run(self) -> None:
        """Renew the own lease and sweep for rows without a live owner, until cancelled."""
        subscription = self._peers.changes.subscribe(self._note_change)
        swept_s = self._clock.now_s()
        try:
            while True:
                await asyncio.sleep(min(RENEW_INTERVAL_S, SWEEP_INTERVAL_S))
                try:
                    if self._renewed_s is not None:
                        await self._renew()
                    if self._clock.now_s() - swept_s >= SWEEP_INTERVAL_S:
                        swept_s = self._clock.now_s()
                        await self.sweep()
                except (StoreUnavailable, Conflict) as error:
                    logging.warning("outbox sweep failed: %s", error)
        finally:
            subscription.dispose()

    async def sweep(self) -> None:
        """Deliver own rows that no task delivers, and adopt rows of dead owners.

        The domain's sweeper reads its own domain's owners and one page of all owners, so that what
        it reads does not grow with the fleet. Successive sweeps read successive pages, and so find
        the owners of domains that have no sweeper left.
        """
        if self._renewed_s is not None:
            await self._deliver_rows(self._label)
        me = self._peers.me
        neighbours = [peer.name for peer in self._peers.members() if peer.domain == me.domain]
        if rank(f"sweep|{me.domain}", neighbours)[0] != me.name:
            return
        live = {owner_label(member) for member in self._peers.members()}
        prefix = owner_prefix(me.domain)
        after = prefix
        while after:
            after = await self._sweep_page(prefix, after, live)
        self._scan_cursor = (
            await self._sweep_page(OWNER_PREFIX, self._scan_cursor, live) or OWNER_PREFIX
        )

    async def _sweep_page(self, prefix: str, after: str, live: set[str]) -> str:
        """Adopt rows of dead owners on one page; return its last key, or "" after the last page."""
        rows = await self._table.scan(prefix, after, PAGE_ROWS)
        for row in rows:
            label = row.key.rpartition("/")[2]
            if label in live:
                continue
            expired = self._lease_expired(row)
            if expired or label in self._dead:
                await self._adopt(label, row, expired)
        return rows[-1].key if len(rows) == PAGE_ROWS else ""

    async def drain(self, timeout_s: float) -> None:
        """Wait for deliveries in progress, at most `timeout_s` seconds."""
        if self._delivering:
            await asyncio.wait(list(self._delivering.values()), timeout=timeout_s)

    async def _deliver(
        self, key: str, entry: OutboxEntry, call: asyncio.Task[Answer] | None
    ) -> None:
        answer = await (call or self.call(entry))
        delay_s = FIRST_RETRY_S
        while True:
            try:
                puts = [Put(key, None)]
                if entry.kind == ClassKind.LATE.value:
                    reply = await self._replies.build_answered_put(
                        entry.request_id, entry.token, answer
                    )
                    if reply is not None:
                        puts.append(reply)
                await self._commit(puts)
                return
            except (StoreUnavailable, Conflict) as error:
                logging.info("result of %s is not recorded yet: %s", key, error)
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_S, delay_s * 2)

    async def _renew_if_due(self) -> None:
        now_s = self._clock.now_s()
        if self._renewed_s is None or now_s - self._renewed_s > OWNER_LEASE_S / 2:
            await self._renew()

    async def _renew_after_commit(self) -> None:
        """Renew a lease that may have expired before the row was in the table.

        An adopter may have found no row by then. If the renewal fails, the row stays in the table,
        so the effect is unknown.
        """
        try:
            await self._renew_if_due()
        except StoreUnavailable as error:
            raise StoreUnavailable(str(error), Effect.UNKNOWN) from error

    async def _renew(self) -> None:
        started_s = self._clock.now_s()
        value = json.dumps({"instance": self._peers.me.name, "token": uuid.uuid4().hex})
        await self._commit([Put(self._owner_key, value.encode())])
        self._renewed_s = started_s

    def _lease_expired(self, row: Row) -> bool:
        """Tell whether the owner's row has not changed for a lease, by this instance's clock."""
        now_s = self._clock.now_s()
        version, since_s = self._lease_versions.get(row.key, (0, now_s))
        if version != row.version:
            self._lease_versions[row.key] = (row.version, now_s)
            return False
        return now_s - since_s > OWNER_LEASE_S

    async def _adopt(self, label: str, row: Row, expired: bool) -> None:
        """Take over a dead owner's rows; one adopter wins the conditional write.

        The owner's row is deleted only after a whole lease: until then a paused owner may add rows.
        """
        rows = await self._table.scan(f"outbox/{label}/", f"outbox/{label}/", 1)
        if not rows and not expired:
            return
        value = json.dumps({"instance": self._peers.me.name, "adopted": True}).encode()
        try:
            await self._commit([Put(row.key, value if rows else None, row.version)])
        except Conflict:
            return
        self._dead.discard(label)
        self._lease_versions.pop(row.key, None)
        if rows:
            logging.info("outbox of %s is adopted", label)
            await self._deliver_rows(label)

    def _note_change(self, change: MemberChange) -> None:
        if change.state is MemberState.DEAD:
            self._dead.add(owner_label(change.member))

    async def _deliver_rows(self, label: str) -> bool:
        """Start the delivery of every row of an owner and tell whether there were any."""
        found = False
        after = f"outbox/{label}/"
        while True:
            rows = await self._table.scan(f"outbox/{label}/", after, PAGE_ROWS)
            for row in rows:
                found = True
                try:
                    self.deliver(row.key, decode_entry(row.value))
                except StoreUnavailable as error:
                    logging.error("outbox row %s is kept: %s", row.key, error)
            if len(rows) < PAGE_ROWS:
                return found
            after = rows[-1].key
