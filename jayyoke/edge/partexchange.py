"""Tells other instances what is known of suspected parts of prompts, and asks what they know.

Each news goes to a few instances chosen at random, which pass it on (epidemic broadcast). An
instance that hears news all the time, as after the crash of several engines, passes it on twice a
second, and in a large fleet mostly within its failure domain: 76 instances sent 12,000 messages in
2 s, two thirds of them to other domains, when each news of such a crash went to five at once. Only
a part that becomes quarantined does not wait. Without suspected parts nothing is sent.

While there are some, each instance asks a random other one from time to time, so that one that was
cut off or has started again learns them too; the store need not be reachable for that.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Iterable

import aiohttp
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import Effect, PeerProtocolError, PeerUnavailable, StoreUnavailable
from jayyoke.edge.log import log_event
from jayyoke.edge.quarantinelog import log_quarantined
from jayyoke.ops.endobserver import MAX_LOGGED_PARTS
from jayyoke.ops.partmessage import (
    MAX_ADDED,
    MAX_TOLD,
    build_part_message,
    read_part_message,
    split_evidence,
    take_batch,
)
from jayyoke.ops.partrecord import PartEvidence
from jayyoke.ops.quarantine import Quarantine
from jayyoke.platform.body import read_body
from jayyoke.utils.task import cancel_tasks
from jayyoke.wire.gen import ttypes

EVIDENCE_PATH = "/evidence"
CALL_TIMEOUT_S = 0.6
# With five, a message reaches 99 in 100 instances whatever their number; the rest ask.
FANOUT = 5
# With more instances, news goes to these numbers of the own domain and of all others.
MIN_LARGE_FLEET = 16
NEAR_FANOUT = 3
FAR_FANOUT = 1
# One question in this many goes to another domain, which may know what the own one does not.
FAR_ASKS = 4
# The ends and answers of this time go into one message. It grows while there is news.
BATCH_S = 0.03
BATCH_FACTOR = 4.0
MAX_BATCH_S = 0.5
QUIET_S = 1.0
# How often an instance asks another one while an end is recent, and while a part is quarantined.
RECENT_PERIOD_S = 1.0
QUARANTINE_PERIOD_S = 5.0
RECENT_S = 30.0
# A process that stood still for so long asks what it has missed.
STALL_S = 1.0
PEERS_AT_START = 2
# A message holds about a hundred parts, and hundreds may be quarantined.
START_PAUSE_S = 0.1
MAX_START_ASKS = 60
MAX_MESSAGE_BYTES = 16 << 10

Send = Callable[[str, bytes], Awaitable[bytes]]


class PartClient:
    """Sends evidence to another instance and returns its answer."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def send(self, peer: str, message: bytes) -> bytes:
        """Return a peer's answer; raise PeerUnavailable."""
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._http.post(
                f"http://{peer}{EVIDENCE_PATH}", data=message, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise PeerUnavailable(f"{peer} answered {response.status}")
                return await read_body(response, MAX_MESSAGE_BYTES, Effect.NONE)
        except (TimeoutError, aiohttp.ClientError, StoreUnavailable) as error:
            raise PeerUnavailable(f"{peer}: {type(error).__name__}") from error


class PartExchange:
    """Exchanges evidence about parts with other instances."""

    def __init__(
        self,
        quarantine: Quarantine,
        send: Send,
        list_peers: Callable[[], list[str]],
        now_s: Callable[[], float],
        source: random.Random,
        list_near: Callable[[], list[str]] = list,
    ):
        self._quarantine = quarantine
        self._send = send
        self._list_peers = list_peers
        self._list_near = list_near
        self._batch_s = BATCH_S
        self._told_s = -math.inf
        self._now_s = now_s
        self._source = source
        self._news: dict[str, None] = {}
        self._changed = asyncio.Event()
        # Set by a part that is quarantined here for the first time; such news does not wait.
        self._urgent = asyncio.Event()
        self._known_quarantined: set[str] = set()
        self._sending: set[asyncio.Task[bool]] = set()
        quarantine.changes.subscribe(self._add_news)

    async def run(self) -> None:
        """Tell news and ask for what was missed, until cancelled."""
        starting = asyncio.create_task(self._ask_at_start())
        try:
            asked_s = self._now_s()
            while True:
                began_s = self._now_s()
                await self._wait_for_news(RECENT_PERIOD_S)
                now_s = self._now_s()
                self._quarantine.forget_old()
                stalled = now_s - began_s > RECENT_PERIOD_S + STALL_S
                if stalled or now_s - asked_s >= self._find_period_s(now_s):
                    asked_s = now_s
                    self._ask(1)
                if self._changed.is_set():
                    await self._collect_news(self._find_batch_s(self._now_s()))
                    self._told_s = self._now_s()
                    self._tell_news()
        finally:
            await cancel_tasks({starting, *self._sending})

    def answer(self, message: bytes) -> bytes:
        """Merge a peer's evidence and return what the peer lacks; raise PeerProtocolError."""
        told, news = decode_message(message, self._now_s())
        self._merge(told, "peer")
        added = 0 if news else MAX_ADDED if told else MAX_TOLD
        unknown = self._quarantine.list_unknown_to(told, MAX_TOLD, added)
        return encode_evidence(take_batch(unknown), self._now_s())

    async def _ask_at_start(self) -> None:
        """Ask until one instance has answered and has nothing more, unless no other is known."""
        for _ in range(MAX_START_ASKS):
            known = self._quarantine.suspected
            peers = self._choose_peers(PEERS_AT_START)
            answered = await asyncio.gather(*(self._exchange(peer, []) for peer in peers))
            if not peers or (any(answered) and self._quarantine.suspected == known):
                return
            pause_s = START_PAUSE_S if any(answered) else RECENT_PERIOD_S
            await asyncio.sleep(pause_s * self._source.uniform(0.8, 1.2))

    async def _wait_for_news(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s * self._source.uniform(0.8, 1.2)):
                await self._changed.wait()
        except TimeoutError:
            return

    def _find_period_s(self, now_s: float) -> float:
        if now_s - self._quarantine.last_end_s < RECENT_S:
            return RECENT_PERIOD_S
        return QUARANTINE_PERIOD_S if self._quarantine.list_quarantined() else math.inf

    def _find_batch_s(self, now_s: float) -> float:
        """Return how long to collect news before it is told, longer if some was told lately."""
        if now_s - self._told_s > QUIET_S:
            self._batch_s = BATCH_S
        else:
            self._batch_s = min(MAX_BATCH_S, BATCH_FACTOR * self._batch_s)
        return self._batch_s

    async def _collect_news(self, batch_s: float) -> None:
        await asyncio.sleep(BATCH_S)
        try:
            async with asyncio.timeout(batch_s - BATCH_S):
                await self._urgent.wait()
        except TimeoutError:
            return

    def _add_news(self, key: str) -> None:
        self._news[key] = None
        self._changed.set()
        if not self._quarantine.is_quarantined(key):
            self._known_quarantined.discard(key)
        elif key not in self._known_quarantined:
            self._known_quarantined.add(key)
            self._urgent.set()

    def _tell_news(self) -> None:
        news, self._news = list(self._news), {}
        self._changed.clear()
        self._urgent.clear()
        evidence = [self._quarantine.describe(key) for key in news]
        for batch in split_evidence(evidence):
            for peer in self._choose_receivers():
                self._start_exchange(peer, batch, news=True)

    def _ask(self, count: int) -> None:
        evidence = take_batch(self._quarantine.list_evidence(MAX_ADDED))
        near = self._list_near()
        if len(near) < NEAR_FANOUT or self._source.randrange(FAR_ASKS) == 0:
            near = self._list_peers()
        for peer in self._source.sample(near, min(count, len(near))):
            self._start_exchange(peer, evidence)

    def _choose_peers(self, count: int) -> list[str]:
        peers = self._list_peers()
        return self._source.sample(peers, min(count, len(peers)))

    def _choose_receivers(self) -> list[str]:
        """Return the instances that news is sent to."""
        peers = self._list_peers()
        near = self._list_near()
        if len(peers) < MIN_LARGE_FLEET or len(near) < NEAR_FANOUT:
            return self._choose_peers(FANOUT)
        chosen = set(near)
        far = [found for found in peers if found not in chosen]
        return self._source.sample(near, NEAR_FANOUT) + self._source.sample(
            far, min(FAR_FANOUT, len(far))
        )

    def _start_exchange(self, peer: str, evidence: list[PartEvidence], news: bool = False) -> None:
        task = asyncio.create_task(self._exchange(peer, evidence, news))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _exchange(self, peer: str, evidence: list[PartEvidence], news: bool = False) -> bool:
        """Tell a peer evidence and merge its answer; return False if it gave none."""
        message = encode_evidence(evidence, self._now_s(), news)
        try:
            answer = decode_evidence(await self._send(peer, message), self._now_s())
        except (PeerUnavailable, PeerProtocolError) as error:
            log_event("peer-away", peer=peer, reason=str(error))
            return False
        self._merge(answer, peer)
        return True

    def _merge(self, evidence: Iterable[PartEvidence], source: str) -> None:
        quarantined = self._quarantine.merge(evidence)
        for key in quarantined[:MAX_LOGGED_PARTS]:
            log_quarantined(self._quarantine, key, source=source)


def encode_evidence(evidence: Iterable[PartEvidence], now_s: float, news: bool = False) -> bytes:
    """Return the bytes of a message with evidence."""
    return serialize(build_part_message(evidence, now_s, news))


def decode_evidence(message: bytes, now_s: float) -> list[PartEvidence]:
    """Return a peer's evidence; raise PeerProtocolError if it is unreadable."""
    return decode_message(message, now_s)[0]


def decode_message(message: bytes, now_s: float) -> tuple[list[PartEvidence], bool]:
    """Return a peer's evidence, and whether it is news; raise PeerProtocolError."""
    try:
        found = deserialize(ttypes.PartEvidence(), message)
        return read_part_message(found, now_s), bool(found.news)
    except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise PeerProtocolError(f"unreadable evidence: {error!r}") from error
