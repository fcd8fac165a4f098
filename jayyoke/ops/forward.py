"""Calls of upstreams over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from yarl import URL

from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed, UpstreamError
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.deadline import HEADER, format_deadline
from jayyoke.utils.source import build_socket_factory

CONNECT_TIMEOUT_S = 1.0
# Engines send keep-alive comments every 0.5 s; three missed ones mean that the stream is silent.
SILENCE_TIMEOUT_S = 1.5
# An engine that still answers sends its response head before its first keep-alive comment.
PROBE_TIMEOUT_S = 0.75
# Idle connections live for 15 s; those opened before a silence are all gone after that time.
SUSPECT_S = 15.0
MAX_SUSPECTS = 1024
MAX_URLS = 4096
CANCEL_TIMEOUT_S = 1.0
MAX_CANCELS = 256
MAX_ANSWER_BYTES = 16 << 20
EVENT_STREAM = "text/event-stream"


class EngineBusy(UpstreamError):
    """Reports that an engine refused a request for want of capacity."""


class EngineRejected(UpstreamError):
    """Reports that an engine found fault with the request itself."""

    def __init__(self, detail: str, status: int):
        super().__init__(detail)
        self.status = status


# Answers that ask for another try say nothing about the request's outcome.
_TRY_AGAIN = frozenset({408, 425, 429})


@dataclass(frozen=True, slots=True)
class Answer:
    """Holds the whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes

    @property
    def final(self) -> bool:
        """Tell whether the service has decided on the request, for or against it."""
        return self.status < 500 and self.status not in _TRY_AGAIN


@dataclass(frozen=True, slots=True)
class Outcome:
    """Tells observers how an attempt at an upstream ended; `seconds` is to the first token."""

    upstream: Upstream
    route: str
    incarnation: str
    version: str
    answered: bool
    slow: bool
    seconds: float


class Engines:
    """Opens streams of engines; keeps one pool of connections and one that never reuses any."""

    def __init__(self, http: aiohttp.ClientSession, clock: Clock | None = None, source: str = ""):
        self.observers: list[Callable[[Outcome], None]] = []
        self.loss_observers: list[Callable[[Upstream], None]] = []
        self._http = http
        self._source = source
        self._clock = clock or SystemClock()
        self._fresh: aiohttp.ClientSession | None = None
        self._suspects: dict[str, float] = {}
        self._cancels: set[asyncio.Task[None]] = set()
        self._urls: dict[str, URL] = {}
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
        )

    async def open(
        self, upstream: Upstream, request: CallerRequest, delivered: int, fresh: bool
    ) -> aiohttp.ClientResponse:
        """Return an engine's running answer, to be closed by the caller; raise UpstreamError."""
        now_s = self._clock.now_s()
        headers = {
            "X-Request-Id": request.request_id,
            "X-Priority": str(request.spec.priority),
            HEADER: format_deadline(request, now_s),
            "Content-Type": "application/json",
        }
        if delivered:
            headers["X-Resume-From"] = str(delivered)
        session = self._choose_session(upstream, fresh, now_s)
        try:
            answer = await session.post(
                self._find_url(upstream),
                data=request.body,
                headers=headers,
                timeout=self._timeout,
                # A redirect would send the request a second time.
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise ConnectFailed(f"{upstream.name}: {error}") from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise AnswerBroken(f"{upstream.name}: {type(error).__name__}") from error
        _check_head(answer, upstream, request)
        return answer

    def suspect(self, upstream: Upstream) -> None:
        """Use only new connections to an upstream until its idle ones are gone."""
        if len(self._suspects) >= MAX_SUSPECTS:
            self._suspects.clear()
        self._suspects[upstream.address] = self._clock.now_s() + SUSPECT_S

    def cancel(self, upstream: Upstream, request_id: str) -> None:
        """Tell an engine in the background to stop a request; best effort."""
        if len(self._cancels) >= MAX_CANCELS:
            return
        task = asyncio.get_running_loop().create_task(self._cancel(upstream, request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    def report(self, outcome: Outcome) -> None:
        """Tell every observer how an attempt ended."""
        for observe in self.observers:
            observe(outcome)

    def report_loss(self, upstream: Upstream) -> None:
        """Tell every observer that an engine does not answer even new connections."""
        for observe in self.loss_observers:
            observe(upstream)

    async def close(self) -> None:
        """Wait for cancellations on their way and close the connections."""
        await asyncio.gather(*self._cancels, return_exceptions=True)
        if self._fresh is not None:
            await self._fresh.close()

    def _find_url(self, upstream: Upstream) -> URL:
        url = self._urls.get(upstream.address)
        if url is None:
            if len(self._urls) >= MAX_URLS:
                self._urls.clear()
            url = self._urls[upstream.address] = URL(f"{upstream.url}/v1/chat/completions")
        return url

    def _choose_session(
        self, upstream: Upstream, fresh: bool, now_s: float
    ) -> aiohttp.ClientSession:
        if not fresh and self._suspects:
            until_s = self._suspects.get(upstream.address, 0.0)
            fresh = now_s < until_s
            if until_s and not fresh:
                del self._suspects[upstream.address]
        if not fresh:
            return self._http
        if self._fresh is None:
            factory = build_socket_factory(self._source)
            connector = aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=factory)
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
    echoed = answer.headers.get("X-Request-Id")
    status = answer.status
    own = echoed == request.request_id
    if status == 200 and own and answer.content_type == EVENT_STREAM:
        return
    answer.close()
    if echoed is not None and not own:
        # A refusal of another request says nothing about this one.
        raise AnswerMismatched(f"{upstream.name} answered for request {echoed!r:.140}")
    if status in (429, 503):
        raise EngineBusy(f"{upstream.name} answered with {status}")
    if 400 <= status < 500:
        raise EngineRejected(f"the engine answered with {status}", status)
    if status != 200:
        raise AnswerBroken(f"{upstream.name} answered with {status}")
    if own:
        raise AnswerBroken(f"{upstream.name} answered with {answer.content_type:.100}")
    raise AnswerMismatched(f"{upstream.name} answered for no request")


async def call_plain(
    http: aiohttp.ClientSession, upstream: Upstream, request: CallerRequest, timeout_s: float
) -> Answer:
    """Return the answer of a plain service; raise an UpstreamError that tells what is known."""
    url = f"{upstream.url}/{request.path}"
    if request.query:
        url = f"{url}?{request.query}"
    headers = {"X-Request-Id": request.request_id, "Content-Type": request.content_type}
    headers[HEADER] = str(int(timeout_s * 1000))
    headers["X-Priority"] = str(request.spec.priority)
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    try:
        # A followed redirect would send a request that must not be repeated a second time.
        async with http.request(
            request.method,
            url,
            data=request.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            return await _read_answer(response, upstream, request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise ConnectFailed(f"{upstream.name}: {error}") from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise AnswerBroken(f"{upstream.name}: {type(error).__name__}") from error


async def _read_answer(
    response: aiohttp.ClientResponse, upstream: Upstream, request: CallerRequest
) -> Answer:
    echoed = response.headers.get("X-Request-Id")
    if echoed != request.request_id:
        response.close()
        raise AnswerMismatched(f"{upstream.name} answered for request {echoed!r:.140}")
    parts = []
    size = 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            response.close()
            raise AnswerBroken(f"{upstream.name}: the answer exceeds {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return Answer(response.status, response.content_type, b"".join(parts))
