"""Messages of the duties between instances, on the peer listener: counts and loads."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping, Sequence

import aiohttp
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import Effect, PeerProtocolError, PeerUnavailable, StoreUnavailable
from jayyoke.duties.usagecount import TeamTotals
from jayyoke.platform.body import read_body
from jayyoke.wire.gen import ttypes

COUNTS_PATH = "/counts"
COUNT_COPY_PATH = "/count-copy"
COUNT_QUERY_PATH = "/count-query"
LOADS_PATH = "/loads"
CALL_TIMEOUT_S = 0.6
# All windows of an instance with 3,900 teams, after a follower has started again.
MAX_COUNTS_BYTES = 512 << 10
MAX_UNPACKED_BYTES = 1 << 20
# Names of teams compress to half; shorter messages to more than the header's size.
LARGE_MESSAGE_BYTES = 256
COMPRESSION_LEVEL = 6
# Headers that receivers need not read; they would be two thirds of a message.
_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class CountClient:
    """Sends messages of the duties to other instances."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def report(self, peer: str, report: ttypes.CountReport) -> ttypes.CountReceipt:
        """Send counts to a follower; raise PeerUnavailable."""
        body = await self._send(peer, COUNTS_PATH, serialize(report))
        return read_message(ttypes.CountReceipt(), body, PeerUnavailable)

    async def copy(self, peer: str, copied: ttypes.CountCopy) -> ttypes.CountReceipt:
        """Send the counts of a domain to a follower of the next one; raise PeerUnavailable."""
        body = await self._send(peer, COUNT_COPY_PATH, serialize(copied))
        return read_message(ttypes.CountReceipt(), body, PeerUnavailable)

    async def query(self, peer: str, query: ttypes.CountQuery) -> ttypes.CountAnswer:
        """Ask a follower for the counts of its domain; raise PeerUnavailable."""
        body = await self._send(peer, COUNT_QUERY_PATH, serialize(query))
        return read_message(ttypes.CountAnswer(), body, PeerUnavailable)

    async def ask_loads(self, peer: str, query: ttypes.LoadQuery) -> ttypes.DomainLoads:
        """Ask a follower for the loads of its domain; raise PeerUnavailable."""
        body = await self._send(peer, LOADS_PATH, serialize(query))
        return read_message(ttypes.DomainLoads(), body, PeerUnavailable)

    async def _send(self, peer: str, path: str, message: bytes) -> bytes:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        headers = {}
        if len(message) > LARGE_MESSAGE_BYTES:
            message = zlib.compress(message, COMPRESSION_LEVEL)
            headers = {"Content-Encoding": "deflate"}
        try:
            async with self._http.post(
                f"http://{peer}{path}",
                data=message,
                headers=headers,
                timeout=timeout,
                skip_auto_headers=_SKIPPED_HEADERS,
            ) as response:
                if response.status != 200:
                    raise PeerUnavailable(f"{peer} answered {response.status}")
                return await read_body(response, MAX_COUNTS_BYTES, Effect.NONE)
        except (TimeoutError, aiohttp.ClientError, StoreUnavailable) as error:
            raise PeerUnavailable(f"{peer}: {type(error).__name__}") from error


def read_message(empty, body: bytes, failure: type[PeerUnavailable] | type[PeerProtocolError]):
    """Return a message of the type of `empty`; raise the failure if it cannot be read."""
    try:
        return deserialize(empty, body)
    except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise failure(f"unreadable message: {error!r}") from error


def encode_totals(windows: Iterable[TeamTotals]) -> list[ttypes.WindowCounts]:
    """Return the totals of windows as a message holds them."""
    return [
        ttypes.WindowCounts(found.window, list(found.by_team), list(found.by_team.values()))
        for found in windows
    ]


def decode_totals(windows: Sequence[ttypes.WindowCounts] | None) -> list[TeamTotals]:
    """Return the totals of a message; raise PeerProtocolError."""
    found = []
    for received in windows or ():
        teams, counts = received.teams or [], received.counts or []
        if len(teams) != len(counts) or received.window is None or min(counts, default=0) < 0:
            raise PeerProtocolError("teams and counts do not belong together")
        found.append(TeamTotals(received.window, dict(zip(teams, counts, strict=True))))
    return found


def pack_counts(window: int, counts: Mapping[str, int]) -> bytes:
    """Return counts in a compressed form; sorted names compress to a third."""
    totals = TeamTotals(window, dict(sorted(counts.items())))
    return zlib.compress(serialize(encode_totals([totals])[0]), COMPRESSION_LEVEL)


def unpack_counts(packed: bytes | None) -> dict[str, int]:
    """Return counts from their compressed form; raise PeerUnavailable."""
    unpacking = zlib.decompressobj()
    try:
        raw = unpacking.decompress(packed or b"", MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise PeerUnavailable(f"unreadable counts: {error}") from error
    if not unpacking.eof:
        raise PeerUnavailable("the counts are cut or too large")
    received = read_message(ttypes.WindowCounts(), raw, PeerUnavailable)
    try:
        return decode_totals([received])[0].by_team
    except PeerProtocolError as error:
        raise PeerUnavailable(str(error)) from error
