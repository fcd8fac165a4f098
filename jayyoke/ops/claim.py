"""Claims of once-only requests: rows `once/{team}/{class}/{key}` of the table.

A row is never deleted while its key may be used: the versions of a new row would start at 1 again,
and a delayed conditional write of an earlier holder could match the row of a later one.
"""

from __future__ import annotations

import base64
import enum
import hashlib
import json
import secrets
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, replace
from urllib.parse import quote

from jayyoke.core.clock import Clock
from jayyoke.core.error import Conflict, Effect, JayyokeError, StoreUnavailable
from jayyoke.core.request import CallerRequest
from jayyoke.ops.forward import Answer
from jayyoke.platform.objects import Objects
from jayyoke.platform.table import Put, Row, Table
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.record import build_record

CLAIM_LEASE_S = 5.0
MAX_INLINE_BYTES = 16 << 10  # Larger answers would crowd out the other puts of a batch.
CLAIM_ATTEMPTS = 4

Commit = Callable[[Sequence[Put]], Awaitable[None]]


class ClaimState(enum.Enum):
    """State of a claim; the values are stored."""

    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    ANSWERED = "answered"
    RELEASED = "released"


@dataclass(frozen=True, slots=True)
class Claim:
    """Holds the value of a claim row; since_ms is wall-clock time and only a hint."""

    token: str
    fingerprint: str
    request_id: str
    holder: str
    state: ClaimState = ClaimState.CLAIMED
    fence: int = 1
    since_ms: int = 0
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_key: str = ""


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """Holds a claim of this instance; write_started_s is when its last write began."""

    key: str
    claim: Claim
    version: int
    write_started_s: float


@dataclass(frozen=True, slots=True)
class FoundClaim:
    """Holds a claim that another request wrote."""

    key: str
    claim: Claim
    version: int


class ClaimLost(JayyokeError):
    """Reports that another holder changed a claim before this one used it."""


def new_token() -> str:
    """Return a random claim token."""
    return secrets.token_hex(16)


def claim_key(request: CallerRequest) -> str:
    """Return the table key of a request's claim."""
    parts = (request.team.name, request.class_spec.name, request.idempotency_key)
    return "once/" + "/".join(quote(part, safe="") for part in parts)


def upstream_key(request: CallerRequest) -> str:
    """Return the idempotency key for the service, distinct between teams and classes."""
    parts = (request.team.name, request.class_spec.name, request.idempotency_key)
    return ":".join(quote(part, safe="") for part in parts)


def fingerprint(request: CallerRequest) -> str:
    """Return a digest of what must be the same in all requests with one key."""
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.query):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(request.body)
    return digest.hexdigest()


def encode_claim(claim: Claim) -> bytes:
    """Return the stored form of a claim."""
    plain = {name: getattr(claim, name) for name in Claim.__dataclass_fields__}
    plain["state"] = claim.state.value
    plain["body"] = base64.b64encode(claim.body).decode()
    return json.dumps(plain).encode()


def decode_claim(value: bytes) -> Claim:
    """Return a claim from its stored form; raise StoreUnavailable if it is malformed."""
    try:
        plain = parse_json(value)
        plain["state"] = ClaimState(plain["state"])
        plain["body"] = base64.b64decode(plain["body"], validate=True)
        return build_record(Claim, plain)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise StoreUnavailable(f"claim row is malformed: {error!r}") from error


class Claims:
    """Puts, validates, answers and releases claims."""

    def __init__(
        self,
        table: Table,
        objects: Objects,
        commit: Commit,
        clock: Clock,
        holder: str,
        wall_s: Callable[[], float] = time.time,
    ):
        self._wall_s = wall_s
        self._table = table
        self._objects = objects
        self._commit = commit
        self._clock = clock
        self._holder = holder

    async def acquire(self, request: CallerRequest, token: str) -> HeldClaim | FoundClaim:
        """Write a claim with the caller's token unless there is one; raise StoreUnavailable.

        If the effect of the error is unknown, the row may exist or appear later although no
        request holds the claim.
        """
        key = claim_key(request)
        claim = self._new_claim(request, token)
        expect = 0
        effect = Effect.NONE
        for _ in range(CLAIM_ATTEMPTS):
            started_s = self._clock.now_s()
            try:
                await self._commit([Put(key, encode_claim(claim), expect)])
                return HeldClaim(key, claim, expect + 1, started_s)
            except Conflict:
                pass
            except StoreUnavailable as error:
                if error.effect is Effect.NONE:
                    raise StoreUnavailable(str(error), effect) from error
                effect = Effect.UNKNOWN
            found = await self._find_after_write(key, effect)
            if found is None:
                continue
            if found.claim.token == token:
                return HeldClaim(key, found.claim, found.version, started_s)
            if found.claim.state is not ClaimState.RELEASED:
                return found
            expect = found.version
        raise StoreUnavailable(f"claim could not be written in {CLAIM_ATTEMPTS} attempts", effect)

    async def _find_after_write(self, key: str, effect: Effect) -> FoundClaim | None:
        try:
            return await self.find(key)
        except StoreUnavailable as error:
            raise StoreUnavailable(str(error), effect) from error

    async def find(self, key: str) -> FoundClaim | None:
        """Return the claim of a key, or None; raise StoreUnavailable."""
        row = await self._table.get(key)
        return None if row is None else FoundClaim(key, decode_claim(row.value), row.version)

    def expired(self, claim: Claim) -> bool:
        """Tell whether the lease has run out, by the wall clocks of holder and reader."""
        return self._wall_ms() - claim.since_ms > CLAIM_LEASE_S * 1000

    async def validate(self, held: HeldClaim) -> HeldClaim:
        """Return the claim with a lease in force; raise ClaimLost or StoreUnavailable.

        The caller sends right after this returns, without waiting for anything else.
        """
        while self._clock.now_s() - held.write_started_s > CLAIM_LEASE_S:
            renewed = replace(held.claim, fence=held.claim.fence + 1, since_ms=self._wall_ms())
            held = await self._replace(held, renewed)
        return held

    async def take_over(self, found: FoundClaim, request: CallerRequest) -> HeldClaim:
        """Take over a claim whose outcome is unknown; only for services that deduplicate.

        Raises ClaimLost or StoreUnavailable.
        """
        claim = self._new_claim(request, new_token())
        claim = replace(claim, fence=found.claim.fence + 1)
        before = HeldClaim(found.key, found.claim, found.version, self._clock.now_s())
        return await self._replace(before, claim)

    async def answer(self, held: HeldClaim | FoundClaim, answer: Answer) -> None:
        """Record the answer; raise ClaimLost if the row changed, or StoreUnavailable."""
        claim = replace(
            held.claim,
            state=ClaimState.ANSWERED,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
        )
        if len(answer.body) > MAX_INLINE_BYTES:
            name = f"once/{held.claim.token}-{held.claim.fence}"
            await self._objects.put(name, answer.body)
            claim = replace(claim, body=b"", object_key=name)
        await self._replace(self._as_held(held), claim)

    async def set_state(self, key: str, token: str, state: ClaimState) -> bool:
        """Record that a claim is released or its outcome unknown; raise StoreUnavailable.

        Returns False if the row changed meanwhile or the table has no such claim, which may still
        appear after a lost answer.
        """
        found = await self.find(key)
        if found is None:
            return False
        if found.claim.token != token or found.claim.state is not ClaimState.CLAIMED:
            return True
        try:
            await self._replace(self._as_held(found), replace(found.claim, state=state))
        except ClaimLost:
            return False
        return True

    async def read_answer(self, claim: Claim) -> Answer:
        """Return a recorded answer; raise StoreUnavailable."""
        body: bytes | None = claim.body
        if claim.object_key:
            body = await self._objects.get(claim.object_key)
        if body is None:
            raise StoreUnavailable(f"object {claim.object_key!r} is missing")
        return Answer(claim.status, claim.content_type, body)

    def _as_held(self, held: HeldClaim | FoundClaim) -> HeldClaim:
        if isinstance(held, HeldClaim):
            return held
        return HeldClaim(held.key, held.claim, held.version, self._clock.now_s())

    def _new_claim(self, request: CallerRequest, token: str) -> Claim:
        return Claim(
            token=token,
            fingerprint=fingerprint(request),
            request_id=request.request_id,
            holder=self._holder,
            since_ms=self._wall_ms(),
        )

    async def _replace(self, held: HeldClaim, claim: Claim) -> HeldClaim:
        """Replace the version held; read the row back if the effect of the write is unknown."""
        started_s = self._clock.now_s()
        value = encode_claim(claim)
        try:
            await self._commit([Put(held.key, value, held.version)])
            return HeldClaim(held.key, claim, held.version + 1, started_s)
        except Conflict:
            pass
        except StoreUnavailable as error:
            if error.effect is Effect.NONE:
                raise
        row: Row | None = await self._table.get(held.key)
        if row is not None and row.value == value:
            return HeldClaim(held.key, claim, row.version, started_s)
        if row is not None and row.version == held.version:
            raise StoreUnavailable(f"write of {held.key!r} has no effect yet", Effect.UNKNOWN)
        raise ClaimLost(f"claim {held.key!r} was changed by another holder")

    def _wall_ms(self) -> int:
        return int(self._wall_s() * 1000)
