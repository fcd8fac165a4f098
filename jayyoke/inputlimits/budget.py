"""Memory and descriptors for the input of all clients together.

It addresses crowds of clients that keep no limits: each of them holds little, all of them more
than the machine has.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from enum import IntEnum

# Estimated memory. On the smallest machine of 200 MB a process needs about 55 MB, its connections
# 40 MB, and the bodies of requests may hold 80 MiB.
MAX_INPUT_BYTES = 16 << 20
# What is closed at once leaves room, so that the next choice is not due with the next byte.
LOW_WATER_SHARE = 7 / 8
# Connections that are closed at once when there is no room for another one.
CLOSED_SHARE = 1 / 32
# A request that takes less memory is never refused for the memory of others.
SMALL_HEAD_BYTES = 16 << 10
# A choice that found nothing to close is not repeated for this long.
CHOICE_INTERVAL_S = 0.05
# A client that reads takes what a connection holds of its answer in less time.
STALLED_S = 1.0
# Descriptors that are left for upstreams, the store, peers and the process itself.
MIN_RESERVED_DESCRIPTORS = 64
RESERVED_SHARE = 1 / 4
# The descriptors of the largest machine described.
MAX_CONNECTIONS = 8192


class Phase(IntEnum):
    """What a client's connection waits for, in the order in which connections are closed."""

    HEAD = 0
    IDLE = 1
    BODY = 2
    ANSWER = 3


class Client:
    """Holds what is known of one connection.

    `kept_bytes` of `held_bytes` belong to a request that is whole and must not be given up.
    `stalled_since_s` is set while the client does not read its answer.
    """

    __slots__ = ("held_bytes", "kept_bytes", "phase", "since_s", "stalled_since_s")

    def __init__(self, now_s: float):
        self.stalled_since_s: float | None = None
        self.phase = Phase.HEAD
        self.since_s = now_s
        self.held_bytes = 0
        self.kept_bytes = 0

    @property
    def spare_bytes(self) -> int:
        """Return how many bytes are freed without the loss of a request that is whole."""
        return self.held_bytes - self.kept_bytes

    def enter(self, phase: Phase, now_s: float) -> None:
        """Record what the connection waits for; `now_s` counts if that has changed."""
        if phase is not self.phase:
            self.phase = phase
            self.since_s = now_s


class InputBudget:
    """Decides which connections are closed for want of memory or descriptors."""

    __slots__ = ("_limit_bytes", "_next_choice_s", "_total_bytes", "connection_limit")

    def __init__(self, connection_limit: int, limit_bytes: int = MAX_INPUT_BYTES):
        self.connection_limit = connection_limit
        self._limit_bytes = limit_bytes
        self._total_bytes = 0
        self._next_choice_s = 0.0

    @property
    def total_bytes(self) -> int:
        """Return how many bytes all clients hold."""
        return self._total_bytes

    @property
    def short(self) -> bool:
        """Tell whether clients hold more than they may."""
        return self._total_bytes > self._limit_bytes

    def hold(self, client: Client, held_bytes: int, kept_bytes: int) -> None:
        """Record how much a client holds."""
        self._total_bytes += held_bytes - client.held_bytes
        client.held_bytes = held_bytes
        client.kept_bytes = kept_bytes

    def may_choose(self, now_s: float) -> bool:
        """Tell whether connections are to be chosen now to free memory."""
        return self.short and now_s >= self._next_choice_s

    def choose_largest(self, clients: Iterable[Client], now_s: float) -> list[Client]:
        """Return the clients to close, those that hold most first, until the rest has room."""
        excess_bytes = self._total_bytes - int(self._limit_bytes * LOW_WATER_SHARE)
        chosen: list[Client] = []
        if not self.short:
            return chosen
        heap = [
            (-client.spare_bytes, client.since_s, number, client)
            for number, client in enumerate(clients)
            if client.spare_bytes > 0
        ]
        heapq.heapify(heap)
        while heap and excess_bytes > 0:
            client = heapq.heappop(heap)[-1]
            chosen.append(client)
            excess_bytes -= client.held_bytes
        if excess_bytes > 0:
            self._next_choice_s = now_s + CHOICE_INTERVAL_S
        return chosen

    def choose_longest(self, clients: Collection[Client]) -> list[Client]:
        """Return the clients to close for a new connection; none if there is room or no choice.

        Those that have sent no whole head for longest come first, then idle ones, then those whose
        body is not whole. A request that is whole keeps its connection.
        """
        if len(clients) < self.connection_limit:
            return []
        waiting = [client for client in clients if client.phase is not Phase.ANSWER]
        count = max(1, int(self.connection_limit * CLOSED_SHARE))
        return heapq.nsmallest(count, waiting, key=lambda client: (client.phase, client.since_s))

    def choose_stalled(self, clients: Iterable[Client], now_s: float) -> Client | None:
        """Return the client to close for another request: one that does not read its answer."""
        longest: Client | None = None
        for client in clients:
            if client.stalled_since_s is None or now_s - client.stalled_since_s < STALLED_S:
                continue
            if longest is None or client.stalled_since_s < longest.stalled_since_s:
                longest = client
        return longest


def derive_connection_limit(descriptor_limit: int) -> int:
    """Return how many clients' connections a process with this limit of descriptors takes."""
    reserved = max(MIN_RESERVED_DESCRIPTORS, int(descriptor_limit * RESERVED_SHARE))
    return max(1, min(descriptor_limit - reserved, MAX_CONNECTIONS))
