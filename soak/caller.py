"""Callers of the soak: each keeps one connection to an instance open until the process is gone."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from soak.record import Record, Sent
from standin.entryconfig import HOST, KEY

KINDS = ("safe", "unsafe", "stream", "resume")
SECOND_KEY = "key-of-the-second"
SECOND_KEY_SHARE = 0.2
DEADLINE_S = 1.5
# A caller waits this long for an answer that is late.
PATIENCE_S = 3.0
LEAVING_SHARE = 0.04
LEAVES_AFTER_S = 0.06
PAUSE_S = 0.06
AWAY_PAUSE_S = 0.1


class SoakCaller:
    """Sends one request after the other to one instance."""

    def __init__(self, name: str, instance: int, url: str, record: Record, source: random.Random):
        self._name = name
        self._instance = instance
        self._url = url
        self._record = record
        self._source = source
        self._count = 0
        self.lifetime = 0
        self.stopping = False

    async def run(self) -> None:
        """Call until told to stop; the last call is finished."""
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as http:
            while not self.stopping:
                sent = self._draw()
                self._record.sent.append(sent)
                leaving = self._source.random() < LEAVING_SHARE
                call = asyncio.create_task(self._call(http, sent))
                try:
                    async with asyncio.timeout(LEAVES_AFTER_S if leaving else PATIENCE_S):
                        await call
                except TimeoutError:
                    sent.left = leaving
                    sent.error = "the caller left" if leaving else "no answer"
                sent.ended_s = time.monotonic()
                away = sent.status == 0 and not sent.left
                await asyncio.sleep(AWAY_PAUSE_S if away else self._source.uniform(0, PAUSE_S))

    def _draw(self) -> Sent:
        self._count += 1
        now_s = time.monotonic()
        second = self._source.random() < SECOND_KEY_SHARE
        return Sent(
            id=f"{self._name}-{self._count}",
            kind=self._source.choice(KINDS),
            instance=self._instance,
            lifetime=self.lifetime,
            key=SECOND_KEY if second else KEY,
            sent_s=now_s,
            deadline_s=now_s + DEADLINE_S,
        )

    async def _call(self, http: aiohttp.ClientSession, sent: Sent) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": sent.id,
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
            "Authorization": f"Bearer {sent.key}",
        }
        url = f"{self._url}/{sent.kind}/x"
        try:
            # POST is never repeated by aiohttp.
            async with http.post(url, headers=headers, data=sent.id.encode()) as response:
                sent.status = response.status
                async for chunk in response.content.iter_any():
                    sent.body += chunk
                sent.complete = True
        except aiohttp.ClientError as error:
            sent.error = f"{type(error).__name__}: {error}"
