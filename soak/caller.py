"""Callers of the soak: each keeps one connection to an instance open while its process runs."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from soak.record import Record, Sent
from standin.entryconfig import HOST, KEY

KINDS = ("safe", "unsafe", "stream", "resume")
STREAM_KINDS = ("stream", "resume", "long")
SECOND_KEY = "key-of-the-second"
SECOND_KEY_SHARE = 0.2
DEADLINE_S = 1.5
# Longer than the deadline, so that late answers are recorded too.
ANSWER_TIMEOUT_S = 3.0
SESSIONS = 6
DEADLY_PART = "dead"
DISCONNECT_SHARE = 0.04
DISCONNECT_AFTER_S = 0.06
MAX_PAUSE_S = 0.06
RETRY_PAUSE_S = 0.1


def build_prompt(sent: Sent, number: int) -> str:
    """Return the parts of a prompt: one of all, one of a session, and one of the request."""
    session = number % SESSIONS
    deadly = f"{DEADLY_PART}:60," if sent.deadly else ""
    return f"c0ffee:400,5e55{session}:800,{deadly}{sent.id.encode().hex()}:40"


class SoakCaller:
    """Sends one request after the other to one instance."""

    def __init__(self, name: str, instance: int, url: str, record: Record, rng: random.Random):
        self._name = name
        self._instance = instance
        self._url = url
        self._record = record
        self._rng = rng
        self._count = 0
        self.lifetime = 0
        self.stopping = False
        # The share of streams that have the deadly part in their prompts.
        self.deadly_share = 0.0

    async def run(self) -> None:
        """Send requests until `stopping` is set; finish the last one."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as http:
            while not self.stopping:
                sent = self._draw_request()
                self._record.sent.append(sent)
                disconnects = self._rng.random() < DISCONNECT_SHARE
                call = asyncio.create_task(self._call(http, sent))
                try:
                    async with asyncio.timeout(
                        DISCONNECT_AFTER_S if disconnects else ANSWER_TIMEOUT_S
                    ):
                        await call
                except TimeoutError:
                    sent.left = disconnects
                    sent.error = "the caller left" if disconnects else "no answer"
                sent.ended_s = time.monotonic()
                no_answer = sent.status == 0 and not sent.left
                await asyncio.sleep(
                    RETRY_PAUSE_S if no_answer else self._rng.uniform(0, MAX_PAUSE_S)
                )

    def _draw_request(self) -> Sent:
        self._count += 1
        now_s = time.monotonic()
        use_second_key = self._rng.random() < SECOND_KEY_SHARE
        kind = self._rng.choice(KINDS)
        deadly = self.deadly_share > 0.0 and self._rng.random() < self.deadly_share
        return Sent(
            id=f"{self._name}-{self._count}",
            kind=kind,
            deadly=deadly and kind in ("stream", "resume"),
            instance=self._instance,
            lifetime=self.lifetime,
            key=SECOND_KEY if use_second_key else KEY,
            sent_s=now_s,
            deadline_s=now_s + DEADLINE_S,
        )

    async def _call(self, http: aiohttp.ClientSession, sent: Sent) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": sent.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {sent.key}",
            "Prefix-Hash": build_prompt(sent, self._count),
        }
        url = f"{self._url}/{sent.kind}/x"
        try:
            # aiohttp never repeats a POST.
            async with http.post(url, headers=headers, data=sent.id.encode()) as response:
                sent.status = response.status
                async for chunk in response.content.iter_any():
                    sent.body += chunk
                sent.complete = True
        except aiohttp.ClientError as error:
            sent.error = f"{type(error).__name__}: {error}"
