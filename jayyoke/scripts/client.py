"""Client of the operators' interface with failover from one instance to the next."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from jayyoke.core.error import JayyokeError
from jayyoke.utils.jsontext import parse_json

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 16 << 20
MAX_EVENT_LINE_BYTES = 64 << 10
_NO_ANSWER = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


class NoInstanceAnswered(JayyokeError):
    """Reports that none of the given instances answered."""


class Refused(JayyokeError):
    """Reports that an instance refused a request; `problem` is its problem document."""

    def __init__(self, status: int, problem: dict[str, Any]):
        super().__init__(str(problem.get("detail") or f"the instance answered with {status}"))
        self.status = status
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Event:
    """Holds one event of a watch."""

    name: str
    data: Any


class Client:
    """Sends each request to the first instance that answers.

    Every request of the interface is safe to repeat, so after a lost answer the same request goes
    to the next instance.
    """

    def __init__(self, http: aiohttp.ClientSession, instances: Sequence[str], key: str):
        self._http = http
        self._instances = tuple(_normalise_url(url) for url in instances)
        self._headers = {"Authorization": f"Bearer {key}"}

    async def request(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Return the JSON of the answer; raise Refused or NoInstanceAnswered."""
        failures: list[str] = []
        refused: Refused | None = None
        effect_unknown = False
        for url in self._instances:
            try:
                return await self._request_one(url, method, path, body, headers or {})
            except Refused as error:
                refused = error
                # Another instance may still reach the table.
                if error.status != 503:
                    raise
                effect_unknown = effect_unknown or error.problem.get("effect") == "unknown"
            except _NO_ANSWER as error:
                failures.append(f"{url}: {str(error) or type(error).__name__}")
                effect_unknown = effect_unknown or not isinstance(
                    error, aiohttp.ClientConnectorError
                )
        if refused is None:
            raise NoInstanceAnswered("no instance answered\n" + "\n".join(failures))
        if effect_unknown and method != "GET":
            # The last refusal does not tell whether one of the earlier requests took effect.
            detail = "the change may have been made and can be repeated safely"
            raise Refused(503, refused.problem | {"effect": "unknown", "detail": detail})
        raise refused

    async def gather(self, path: str) -> list[Any]:
        """Return the answers of all instances that answer; raise Refused or NoInstanceAnswered."""
        requests = (self._request_one(url, "GET", path, None, {}) for url in self._instances)
        answers = await asyncio.gather(*requests, return_exceptions=True)
        found = [answer for answer in answers if not isinstance(answer, BaseException)]
        if found:
            return found
        for answer in answers:
            if isinstance(answer, Refused) or not isinstance(answer, _NO_ANSWER):
                raise answer
        raise NoInstanceAnswered("no instance answered")

    async def watch(self) -> AsyncIterator[Event]:
        """Yield events of the first instance that answers until it closes the stream."""
        failures: list[str] = []
        timeout = aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S, sock_read=30.0)
        for url in self._instances:
            try:
                async with self._http.get(
                    f"{url}/v1/watch", headers=self._headers, timeout=timeout
                ) as answer:
                    if answer.status != 200:
                        raise Refused(answer.status, await _read_problem(answer))
                    async for event in _read_events(answer):
                        yield event
                return
            except _NO_ANSWER as error:
                failures.append(f"{url}: {str(error) or type(error).__name__}")
        raise NoInstanceAnswered("no instance answered\n" + "\n".join(failures))

    async def _request_one(
        self, url: str, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with self._http.request(
            method, url + path, json=body, headers=self._headers | headers, timeout=timeout
        ) as answer:
            if answer.status != 200:
                raise Refused(answer.status, await _read_problem(answer))
            return parse_json(await _read_body(answer))


def _normalise_url(url: str) -> str:
    url = url.strip().rstrip("/")
    return url if "://" in url else f"http://{url}"


async def _read_body(answer: aiohttp.ClientResponse) -> bytes:
    parts = []
    size = 0
    async for part in answer.content.iter_any():
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            raise ValueError(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
        parts.append(part)
    return b"".join(parts)


async def _read_problem(answer: aiohttp.ClientResponse) -> dict[str, Any]:
    try:
        problem = parse_json(await _read_body(answer))
    except ValueError:
        return {}
    return problem if isinstance(problem, dict) else {}


async def _read_events(answer: aiohttp.ClientResponse) -> AsyncIterator[Event]:
    name = ""
    async for raw in answer.content:
        line = raw.decode("utf-8", "replace").rstrip("\n")
        if len(line) > MAX_EVENT_LINE_BYTES:
            raise ValueError("the instance sent an event that is too long")
        if line.startswith("event: "):
            name = line[len("event: ") :]
        if line.startswith("data: "):
            yield Event(name, parse_json(line[len("data: ") :]))
