"""Pool of idle connections to upstreams, by incarnation."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from jayyoke.core.error import ConnectFailed, ConnectTimedOut
from jayyoke.core.upstream import Upstream
from jayyoke.edge.connection import UpstreamConnection
from jayyoke.utils.stalltimeout import StallTolerantTimeout

# A connection opens in 1 to 5 ms; the system repeats a lost SYN after 1 s.
CONNECT_TIMEOUT_S = 0.4
# Upstreams that state no idle time may close idle connections after a few seconds.
DEFAULT_KEEP_ALIVE_S = 2.0
# The upstream begins to count its idle time earlier than this side does.
KEEP_ALIVE_FRACTION = 0.6
# A request that must not run twice is lost if the upstream closes the connection at that moment.
KEEP_ALIVE_FRACTION_ONCE = 0.3
MAX_IDLE = 16


class ConnectionPool:
    """Opens, keeps and closes connections by upstream."""

    def __init__(self) -> None:
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0
        self.reused = 0

    async def acquire(self, upstream: Upstream, once: bool, now_s: float) -> UpstreamConnection:
        """Return an idle or new connection; raise ConnectFailed."""
        kept = self._idle.get(upstream.incarnation, [])
        share = KEEP_ALIVE_FRACTION_ONCE if once else KEEP_ALIVE_FRACTION
        while kept:
            connection = kept.pop()
            limit_s = DEFAULT_KEEP_ALIVE_S
            if connection.keep_alive_s is not None:
                limit_s = connection.keep_alive_s
            if connection.reusable and now_s - connection.idle_since_s < limit_s * share:
                self.reused += 1
                return connection
            connection.abort()
        return await self._open(upstream.address)

    def release(self, upstream: Upstream, connection: UpstreamConnection, now_s: float) -> None:
        """Keep a connection after a complete answer, or close it."""
        connection.mark_idle(now_s)
        kept = self._idle.setdefault(upstream.incarnation, [])
        if not connection.reusable or len(kept) >= MAX_IDLE:
            connection.abort()
            return
        kept.append(connection)

    def retain(self, incarnations: Iterable[str]) -> None:
        """Close the idle connections of all other incarnations."""
        for gone in set(self._idle) - set(incarnations):
            for connection in self._idle.pop(gone):
                connection.abort()

    def drop(self, upstream: Upstream) -> None:
        """Close the idle connections of an upstream, which may be dead after one was lost."""
        for connection in self._idle.pop(upstream.incarnation, ()):
            connection.abort()

    def close(self) -> None:
        """Close every idle connection."""
        self.retain(())

    async def _open(self, address: str) -> UpstreamConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with StallTolerantTimeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop), host, int(port)
                )
        except TimeoutError as error:
            raise ConnectTimedOut(f"{address} accepts no connection in time") from error
        except OSError as error:
            raise ConnectFailed(f"{address} cannot be reached: {error!r}") from error
        self.opened += 1
        return connection
