"""Client of the operators' interface that moves on to the next instance."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from jayyoke.core.error import JayyokeError

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 16 << 20
MAX_EVENT_LINE_BYTES = 64 << 10
_SILENT = (TimeoutError, aiohttp.ClientError, OSError, ValueError)


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

    Every request of the interface is safe to repeat, so a lost answer is followed by the same
    request at the next instance.
    """

    def __init__(self, http: aiohttp.ClientSession, instances: Sequence[str], key: str):
        self._http = http
        self._instances = tuple(_normalise(url) for url in instances)
        self._headers = {"Authorization": f"Bearer {key}"}

    async def request(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> Any:
        """Return the JSON of the answer; raise Refused or NoInstanceAnswered."""
        silent: list[str] = []
        refused: Refused | None = None
        for url in self._instances:
            try:
                return await self._request_one(url, method, path, body, headers or {})
            except Refused as error:
                refused = error
                # Another instance may still reach the table.
                if error.status != 503:
                    raise
            except _SILENT as error:
                silent.append(f"{url}: {str(error) or type(error).__name__}")
        if refused is not None:
            raise refused
        raise NoInstanceAnswered("no instance answered\n" + "\n".join(silent))

    async def gather(self, path: str) -> list[Any]:
        """Return the answers of all instances that answer; raise Refused or NoInstanceAnswered."""
        asked = (self._request_one(url, "GET", path, None, {}) for url in self._instances)
        answers = await asyncio.gather(*asked, return_exceptions=True)
        found = [answer for answer in answers if not isinstance(answer, BaseException)]
        if found:
            return found
        for answer in answers:
            if isinstance(answer, Refused) or not isinstance(answer, _SILENT):
                raise answer
        raise NoInstanceAnswered("no instance answered")

    async def watch(self) -> AsyncIterator[Event]:
        """Yield events of the first instance that answers until it closes the stream."""
        silent: list[str] = []
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
            except _SILENT as error:
                silent.append(f"{url}: {str(error) or type(error).__name__}")
        raise NoInstanceAnswered("no instance answered\n" + "\n".join(silent))

    async def _request_one(
        self, url: str, method: str, path: str, body: Any, headers: dict[str, str]
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S)
        async with self._http.request(
            method, url + path, json=body, headers=self._headers | headers, timeout=timeout
        ) as answer:
            if answer.status != 200:
                raise Refused(answer.status, await _read_problem(answer))
            return json.loads(await _read(answer))


def _normalise(url: str) -> str:
    url = url.strip().rstrip("/")
    return url if "://" in url else f"http://{url}"


async def _read(answer: aiohttp.ClientResponse) -> bytes:
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
        problem = json.loads(await _read(answer))
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
            yield Event(name, json.loads(line[len("data: ") :]))
