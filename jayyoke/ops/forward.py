"""Calls of upstreams over HTTP."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from absl import logging
from yarl import URL

from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed, UpstreamError
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.deadline import DEADLINE_HEADER, format_deadline
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import RequestLimits, build_own_limits
from jayyoke.platform.message import decode_notice
from jayyoke.utils.connector import BoundedConnector
from jayyoke.utils.heldbytes import HeldBytes
from jayyoke.utils.partedpayload import build_payload
from jayyoke.utils.sockets import build_socket_factory

CONNECT_TIMEOUT_S = 1.0
# Engines send keep-alive comments every 0.5 s; a stream without three of them counts as silent.
SILENCE_TIMEOUT_S = 1.5
# A working engine sends its response head before its first keep-alive comment.
HEAD_TIMEOUT_S = 0.75
# Idle connections are kept for 15 s, so those opened before a silence are closed after that time.
NO_REUSE_S = 15.0
MAX_NO_REUSE_ENTRIES = 1024
MAX_URLS = 4096
CANCEL_TIMEOUT_S = 1.0
MAX_CANCEL_TASKS = 256
MAX_ANSWER_BYTES = 16 << 20
# Of all plain answers that are being read together, and of each one beyond that.
MAX_HELD_ANSWER_BYTES = 64 << 20
MAX_CROWDED_ANSWER_BYTES = 256 << 10
# Of the incomplete events of all streams together.
MAX_HELD_EVENT_BYTES = 32 << 20
EVENT_STREAM = "text/event-stream"
_held_answers = HeldBytes(MAX_HELD_ANSWER_BYTES)


class EngineBusy(UpstreamError):
    """Reports that an engine refused a request because it has no capacity."""


class EngineRejected(UpstreamError):
    """Reports that an engine rejected the request itself as invalid."""

    def __init__(self, detail: str, status: int):
        super().__init__(detail)
        self.status = status


class UpstreamLimited(ConnectFailed, EngineBusy):
    """Reports that the limit of an upstream leaves no room for a request, which was not sent."""


# A status that asks for a retry does not tell the request's outcome.
_RETRYABLE_STATUSES = frozenset({408, 425, 429})


@dataclass(frozen=True, slots=True)
class Answer:
    """Holds the whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes

    @property
    def final(self) -> bool:
        """Tell whether the service has accepted or rejected the request for good."""
        return self.status < 500 and self.status not in _RETRYABLE_STATUSES


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Describes to observers how an attempt at an upstream ended.

    `seconds` is the time to the first token.
    """

    upstream: Upstream
    route: str
    incarnation: str
    version: str
    answered: bool
    slow: bool
    seconds: float


class EngineStreams:
    """Opens streams of engines over pooled connections, or over one that is used only once."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock | None = None,
        source: str = "",
        notices: UpstreamNotices | None = None,
        request_limits: RequestLimits | None = None,
    ):
        self.observers: list[Callable[[AttemptOutcome], None]] = []
        self.unreachable_observers: list[Callable[[Upstream], None]] = []
        self._http = http
        self._source = source
        self._clock = clock or SystemClock()
        self.held_events = HeldBytes(MAX_HELD_EVENT_BYTES)
        self._notices = notices or UpstreamNotices(self._clock.now_s)
        self._request_limits = request_limits or build_own_limits(self._clock.now_s)
        self._fresh: aiohttp.ClientSession | None = None
        self._no_reuse_until_s: dict[str, float] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self._url_cache: dict[str, URL] = {}
        # Whoever reads the stream decides how long it may be silent.
        self._timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)

    async def open(
        self, upstream: Upstream, request: CallerRequest, delivered: int, fresh: bool
    ) -> aiohttp.ClientResponse:
        """Return an engine's answer stream, to be closed by the caller; raise UpstreamError."""
        now_s = self._clock.now_s()
        headers = {
            "X-Request-Id": request.request_id,
            "X-Priority": str(request.class_spec.priority),
            DEADLINE_HEADER: format_deadline(request, now_s),
            "Content-Type": "application/json",
        }
        if delivered:
            headers["X-Resume-From"] = str(delivered)
        session = self._choose_session(upstream, fresh, now_s)
        limited = _take_slot(self._request_limits, upstream)
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                answer = await session.post(
                    self._get_url(upstream),
                    data=build_payload(request.body),
                    headers=headers,
                    timeout=self._timeout,
                    # A redirect would send the request a second time.
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            if limited:
                self._request_limits.give_back(upstream.name)
            raise ConnectFailed(f"{upstream.name}: {error}") from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise AnswerBroken(f"{upstream.name}: {type(error).__name__}") from error
        record_notice(self._notices, self._request_limits, upstream, request, answer)
        _check_head(answer, upstream, request)
        return answer

    def is_withdrawn(self, upstream: Upstream) -> bool:
        """Tell whether an engine has said that it wants no request now."""
        return self._notices.is_withdrawn(upstream.name)

    def stop_reusing_connections(self, upstream: Upstream) -> None:
        """Use only new connections to an upstream until its idle connections are closed."""
        if len(self._no_reuse_until_s) >= MAX_NO_REUSE_ENTRIES:
            self._no_reuse_until_s.clear()
        self._no_reuse_until_s[upstream.address] = self._clock.now_s() + NO_REUSE_S

    def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Ask an engine in the background to stop a request; best effort."""
        if len(self._cancel_tasks) >= MAX_CANCEL_TASKS:
            return
        task = asyncio.get_running_loop().create_task(self._cancel(upstream, request_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    def report(self, outcome: AttemptOutcome) -> None:
        """Notify observers how an attempt ended."""
        for observe in self.observers:
            observe(outcome)

    def report_unreachable(self, upstream: Upstream) -> None:
        """Notify observers that an engine fails on new connections too."""
        for observe in self.unreachable_observers:
            observe(upstream)

    async def close(self) -> None:
        """Wait for cancellations in progress and close the connections."""
        await asyncio.gather(*self._cancel_tasks, return_exceptions=True)
        if self._fresh is not None:
            await self._fresh.close()

    def _get_url(self, upstream: Upstream) -> URL:
        url = self._url_cache.get(upstream.address)
        if url is None:
            if len(self._url_cache) >= MAX_URLS:
                self._url_cache.clear()
            url = self._url_cache[upstream.address] = URL(f"{upstream.url}/v1/chat/completions")
        return url

    def _choose_session(
        self, upstream: Upstream, fresh: bool, now_s: float
    ) -> aiohttp.ClientSession:
        if not fresh and self._no_reuse_until_s:
            until_s = self._no_reuse_until_s.get(upstream.address, 0.0)
            fresh = now_s < until_s
            if until_s and not fresh:
                del self._no_reuse_until_s[upstream.address]
        if not fresh:
            return self._http
        if self._fresh is None:
            factory = build_socket_factory(self._source)
            connector = BoundedConnector(limit=0, force_close=True, socket_factory=factory)
            self._fresh = aiohttp.ClientSession(
                connector=connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
            )
        return self._fresh

    async def _cancel(self, upstream: Upstream, request_id: str) -> None:
        headers = {"X-Request-Id": request_id}
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        session = self._choose_session(upstream, True, self._clock.now_s())
        url = f"{upstream.url}/cancel"
        body = {"request_id": request_id}
        try:
            async with session.post(url, json=body, headers=headers, timeout=timeout):
                pass
        except (TimeoutError, aiohttp.ClientError):
            return


def _check_head(answer: aiohttp.ClientResponse, upstream: Upstream, request: CallerRequest) -> None:
    echoed_id = answer.headers.get("X-Request-Id")
    status = answer.status
    matches = echoed_id == request.request_id
    if status == 200 and matches and answer.content_type == EVENT_STREAM:
        return
    answer.close()
    if echoed_id is not None and not matches:
        # The refusal of another request does not apply to this one.
        raise AnswerMismatched(f"{upstream.name} answered for request {echoed_id!r:.140}")
    if status in (429, 503):
        raise EngineBusy(f"{upstream.name} answered with {status}")
    if 400 <= status < 500:
        raise EngineRejected(f"the engine answered with {status}", status)
    if status != 200:
        raise AnswerBroken(f"{upstream.name} answered with {status}")
    if matches:
        raise AnswerBroken(f"{upstream.name} answered with {answer.content_type:.100}")
    raise AnswerMismatched(f"{upstream.name} answered for no request")


def _take_slot(request_limits: RequestLimits, upstream: Upstream) -> bool:
    """Tell whether a request that is sent now uses a slot; raise UpstreamLimited without one."""
    if not request_limits.take(upstream.name):
        raise UpstreamLimited(f"{upstream.name} takes no more requests now")
    return request_limits.find_limit(upstream.name) is not None


def record_notice(
    notices: UpstreamNotices,
    request_limits: RequestLimits,
    upstream: Upstream,
    request: CallerRequest,
    answer: aiohttp.ClientResponse,
) -> None:
    """Record what an answer says of its upstream, unless it answers another request."""
    echoed_id = answer.headers.get("X-Request-Id")
    if echoed_id not in (None, request.request_id):
        return
    notice = decode_notice(answer.status, answer.raw_headers, time.time())
    if notices.record(upstream.name, notice):
        logging.info("upstream %s: %s", upstream.name, notice)
    limit_per_s = notice.limit_per_s
    # An answer of a proxy lacks the header too, which does not end the limit.
    own = echoed_id is not None and answer.status != 421
    if (own or limit_per_s is not None) and request_limits.record(upstream.name, limit_per_s):
        logging.info("upstream %s takes %s requests/s", upstream.name, limit_per_s)


async def call_plain(
    http: aiohttp.ClientSession,
    upstream: Upstream,
    request: CallerRequest,
    timeout_s: float,
    notices: UpstreamNotices,
    request_limits: RequestLimits,
) -> Answer:
    """Return the answer of a plain service.

    Raise an UpstreamError, whose class tells whether the request may have run.
    """
    if notices.is_withdrawn(upstream.name):
        # Another call's answer has said so since this one was placed.
        raise ConnectFailed(f"{upstream.name} wants no request now")
    url = f"{upstream.url}/{request.path}"
    if request.query:
        url = f"{url}?{request.query}"
    headers = {"X-Request-Id": request.request_id, "Content-Type": request.content_type}
    headers[DEADLINE_HEADER] = str(int(timeout_s * 1000))
    headers["X-Priority"] = str(request.class_spec.priority)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    limited = _take_slot(request_limits, upstream)
    try:
        # Following a redirect would repeat a request that may not be repeatable.
        async with http.request(
            request.method,
            url,
            data=build_payload(request.body),
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            record_notice(notices, request_limits, upstream, request, response)
            return await _read_answer(response, upstream, request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        if limited:
            request_limits.give_back(upstream.name)
        raise ConnectFailed(f"{upstream.name}: {error}") from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise AnswerBroken(f"{upstream.name}: {type(error).__name__}") from error


async def _read_answer(
    response: aiohttp.ClientResponse, upstream: Upstream, request: CallerRequest
) -> Answer:
    echoed_id = response.headers.get("X-Request-Id")
    if echoed_id != request.request_id:
        response.close()
        raise AnswerMismatched(f"{upstream.name} answered for request {echoed_id!r:.140}")
    chunks = []
    size = 0
    try:
        async for chunk in response.content.iter_any():
            size += len(chunk)
            _held_answers.change(len(chunk))
            limit = MAX_CROWDED_ANSWER_BYTES if _held_answers.exceeded else MAX_ANSWER_BYTES
            if size > limit:
                response.close()
                raise AnswerBroken(f"{upstream.name}: the answer exceeds {limit} bytes")
            chunks.append(chunk)
        return Answer(response.status, response.content_type, b"".join(chunks))
    finally:
        _held_answers.change(-size)
