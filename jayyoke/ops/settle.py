"""Execution of once-only requests and settlement of outcomes that became unknown."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, replace
from typing import Any, Protocol

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.config import SettlementMethod
from jayyoke.core.error import (
    ConnectFailed,
    Effect,
    Refusal,
    RunState,
    StoreUnavailable,
    UpstreamError,
)
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.claim import (
    ClaimLost,
    Claims,
    ClaimState,
    FoundClaim,
    HeldClaim,
    claim_key,
    fingerprint,
    new_token,
    upstream_key,
)
from jayyoke.ops.forward import Answer

FIRST_POLL_S = 0.05
MAX_POLL_S = 0.5
FIRST_SETTLE_S = 1.0
MAX_SETTLE_S = 30.0
SETTLE_ATTEMPTS = 40  # About 17 minutes; a later repeat of the request settles it itself.
MARK_ATTEMPTS = 8  # About 2 minutes, longer than a write may be delayed.
MAX_KEY_LENGTH = 255
MIN_SEND_S = 0.05
MAX_UPSTREAMS = 4


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds an answer and whether it was recorded by an earlier request."""

    answer: Answer
    replayed: bool


class OnceUpstream(Protocol):
    """Reaches the service of a once-only class."""

    async def place(self, request: CallerRequest, exclude: tuple[str, ...]) -> Upstream:
        """Return an upstream; raise Refusal if there is none."""
        ...

    async def send(self, upstream: Upstream, request: CallerRequest, timeout_s: float) -> Answer:
        """Send the request once; raise ConnectFailed only if no byte was sent."""
        ...

    async def lookup(self, request: CallerRequest, timeout_s: float) -> Answer | None:
        """Return the answer that the service recorded for a key; raise UpstreamError."""
        ...


class OnceRunner:
    """Runs each key at most once, and finds out unknown outcomes if the service allows it."""

    def __init__(self, claims: Claims, upstream: OnceUpstream, clock: Clock):
        self._claims = claims
        self._upstream = upstream
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, request: CallerRequest) -> Outcome:
        """Return the answer; raise Refusal. The work goes on if the caller disconnects."""
        if not request.idempotency_key:
            detail = "a once-only class needs the header Idempotency-Key"
            raise Refusal(400, "idempotency-key-missing", detail, RunState.NOT_RUN)
        if len(request.idempotency_key) > MAX_KEY_LENGTH:
            detail = f"the idempotency key exceeds {MAX_KEY_LENGTH} characters"
            raise Refusal(400, "idempotency-key-invalid", detail, RunState.NOT_RUN)
        return await asyncio.shield(self._spawn(self._run(request)))

    async def drain(self, timeout_s: float) -> None:
        """Wait for the work in progress, at most `timeout_s` seconds."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout_s)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # Retrieves the exception of a task whose caller disconnected.
        task.add_done_callback(lambda done: done.cancelled() or done.exception())
        return task

    async def _run(self, request: CallerRequest) -> Outcome:
        upstream = await self._upstream.place(request, ())
        token = new_token()
        try:
            claim = await self._claims.acquire(request, token)
        except StoreUnavailable as error:
            if error.effect is Effect.UNKNOWN:
                self._spawn(self._mark(claim_key(request), token, ClaimState.RELEASED))
            detail = f"the claim could not be recorded: {error}"
            raise Refusal(503, "store-unavailable", detail, RunState.NOT_RUN, 1.0) from error
        if isinstance(claim, HeldClaim):
            return await self._execute(claim, request, upstream)
        return await self._wait_for_other(claim, request)

    async def _execute(
        self, held: HeldClaim, request: CallerRequest, upstream: Upstream
    ) -> Outcome:
        tried: tuple[str, ...] = ()
        while True:
            try:
                held = await self._claims.validate(held)
            except (ClaimLost, StoreUnavailable) as error:
                raise self._give_up(held, "claim-lost", str(error)) from error
            left_s = request.deadline_s - self._clock.now_s()
            if left_s < MIN_SEND_S:
                raise self._give_up(held, "deadline-exceeded", "no time was left to send")
            scoped = replace(request, idempotency_key=upstream_key(request))
            try:
                answer = await self._upstream.send(upstream, scoped, left_s)
            except ConnectFailed as error:
                tried = (*tried, upstream.name)
                if len(tried) == MAX_UPSTREAMS:
                    raise self._give_up(held, "upstream-unreachable", str(error)) from error
                try:
                    upstream = await self._upstream.place(request, tried)
                except Refusal as refusal:
                    return_s = refusal.retry_after_s
                    raise self._give_up(held, refusal.code, refusal.detail, return_s) from error
                continue
            except UpstreamError as error:
                return await self._resolve(held, request, str(error))
            if not answer.final:
                return await self._resolve(held, request, f"service answered {answer.status}")
            await self._record(held, answer)
            return Outcome(answer, False)

    def _give_up(
        self, held: HeldClaim, code: str, detail: str, retry_after_s: float | None = 1.0
    ) -> Refusal:
        """Release the claim and return the refusal of a request of which no byte was sent."""
        self._spawn(self._mark(held.key, held.claim.token, ClaimState.RELEASED))
        return Refusal(503, code, detail, RunState.NOT_RUN, retry_after_s)

    async def _record(self, held: HeldClaim | FoundClaim, answer: Answer) -> None:
        try:
            await self._claims.answer(held, answer)
        except ClaimLost:
            pass
        except StoreUnavailable:
            self._spawn(self._retry_record(held, answer))

    async def _retry_record(self, held: HeldClaim | FoundClaim, answer: Answer) -> None:
        for delay_s in _backoff():
            await asyncio.sleep(delay_s)
            try:
                return await self._claims.answer(held, answer)
            except ClaimLost:
                return None
            except StoreUnavailable as error:
                logging.warning("answer of %s is not recorded yet: %s", held.key, error)
        return None

    async def _mark(self, key: str, token: str, state: ClaimState) -> None:
        """Set a claim's state until the table confirms it; a delayed claim may appear meanwhile."""
        for delay_s in _backoff(MARK_ATTEMPTS):
            try:
                if await self._claims.set_state(key, token, state):
                    return
            except StoreUnavailable as error:
                logging.warning("claim %s is not %s yet: %s", key, state.value, error)
            await asyncio.sleep(delay_s)

    async def _resolve(self, held: HeldClaim, request: CallerRequest, reason: str) -> Outcome:
        """Record that the outcome is unknown, then settle it within the deadline if possible."""
        await self._mark_or_retry(held)
        if request.service.settle is SettlementMethod.NONE:
            raise _unknown(reason)
        self._spawn(self._settle_later(request))
        while (left_s := request.deadline_s - self._clock.now_s()) > MIN_SEND_S:
            await asyncio.sleep(min(FIRST_POLL_S, left_s))
            outcome = await self._settle(request, request.deadline_s)
            if outcome is not None:
                return Outcome(outcome.answer, False)
            await asyncio.sleep(min(MAX_POLL_S, left_s))
        raise _unknown(reason)

    async def _mark_or_retry(self, held: HeldClaim) -> None:
        try:
            await self._claims.set_state(held.key, held.claim.token, ClaimState.UNKNOWN)
        except StoreUnavailable:
            self._spawn(self._mark(held.key, held.claim.token, ClaimState.UNKNOWN))

    async def _wait_for_other(self, found: FoundClaim, request: CallerRequest) -> Outcome:
        """Wait for the answer of another request with the same key."""
        if found.claim.fingerprint != fingerprint(request):
            detail = "the idempotency key was used for another request"
            raise Refusal(422, "idempotency-key-reused", detail, RunState.NOT_RUN)
        poll_s = FIRST_POLL_S
        while True:
            if found.claim.state is ClaimState.RELEASED:
                return await self._run(request)
            outcome = await self._settle(request, request.deadline_s, found)
            if outcome is not None:
                return outcome
            never_settles = request.service.settle is SettlementMethod.NONE
            if found.claim.state is ClaimState.UNKNOWN and never_settles:
                raise _unknown("the outcome of the earlier request is unknown")
            if self._clock.now_s() + poll_s >= request.deadline_s:
                detail = "another request with this idempotency key has no answer yet"
                raise Refusal(409, "in-progress", detail, RunState.UNKNOWN, 1.0)
            await asyncio.sleep(poll_s)
            poll_s = min(MAX_POLL_S, poll_s * 1.5)
            try:
                found = await self._claims.find(found.key) or found
            except StoreUnavailable:
                continue

    async def _settle_later(self, request: CallerRequest) -> None:
        for delay_s in _backoff():
            await asyncio.sleep(delay_s)
            deadline_s = self._clock.now_s() + request.class_spec.within_s
            if await self._settle(request, deadline_s) is not None:
                return

    async def _settle(
        self, request: CallerRequest, deadline_s: float, found: FoundClaim | None = None
    ) -> Outcome | None:
        """Return the answer of a key if it is recorded or can be found out now."""
        try:
            found = found or await self._claims.find(claim_key(request))
            if found is None or found.claim.state is ClaimState.RELEASED:
                return None
            if found.claim.state is ClaimState.ANSWERED:
                return Outcome(await self._claims.read_answer(found.claim), True)
            if found.claim.state is ClaimState.CLAIMED and not self._claims.expired(found.claim):
                return None
            scoped = replace(request, idempotency_key=upstream_key(request))
            left_s = deadline_s - self._clock.now_s()
            if left_s < MIN_SEND_S or request.service.settle is SettlementMethod.NONE:
                return None
            if request.service.settle is SettlementMethod.LOOKUP:
                return await self._settle_by_lookup(found, scoped, left_s)
            return await self._settle_by_repeat(found, request, scoped, left_s)
        except (StoreUnavailable, ClaimLost, UpstreamError, Refusal) as error:
            logging.info("%s is not settled yet: %s", claim_key(request), error)
            return None

    async def _settle_by_lookup(
        self, found: FoundClaim, scoped: CallerRequest, left_s: float
    ) -> Outcome | None:
        # "Not found" proves nothing: a paused holder may still send.
        answer = await self._upstream.lookup(scoped, left_s)
        if answer is None or not answer.final:
            return None
        await self._record(found, answer)
        return Outcome(answer, True)

    async def _settle_by_repeat(
        self, found: FoundClaim, request: CallerRequest, scoped: CallerRequest, left_s: float
    ) -> Outcome | None:
        upstream = await self._upstream.place(request, ())
        held = await self._claims.take_over(found, request)
        held = await self._claims.validate(held)
        try:
            answer = await self._upstream.send(upstream, scoped, left_s)
        except UpstreamError:
            await self._mark_or_retry(held)
            raise
        if not answer.final:
            await self._mark_or_retry(held)
            return None
        await self._record(held, answer)
        return Outcome(answer, True)


def _unknown(reason: str) -> Refusal:
    return Refusal(502, "outcome-unknown", reason, RunState.UNKNOWN)


def _backoff(attempts: int = SETTLE_ATTEMPTS) -> list[float]:
    delays = []
    delay_s = FIRST_SETTLE_S
    for _ in range(attempts):
        delays.append(delay_s)
        delay_s = min(MAX_SETTLE_S, delay_s * 2)
    return delays
