"""Tests of how an entry instance finds out that an engine has ended."""

from __future__ import annotations

import asyncio

from jayyoke.core.upstream import Upstream
from jayyoke.ops.endobserver import EndObserver, ObservedEnd
from jayyoke.ops.quarantine import Quarantine
from jayyoke.utils.boottime import read_boot_time_s
from standin.port import find_free_ports


def build_upstream(port: int) -> Upstream:
    """Return an upstream on loopback."""
    return Upstream("e1", "pool", "zone-a", f"127.0.0.1:{port}", incarnation="e1@1")


class Case:
    """Holds an observer, its quarantine and the ends that it reported."""

    def __init__(self) -> None:
        self.quarantine = Quarantine(read_boot_time_s)
        self.reported: list[ObservedEnd] = []
        self.observer = EndObserver(self.quarantine, read_boot_time_s, self.reported.append)


class TestEndObserver:
    """Tests the check after a broken answer."""

    def test_closed_port_is_an_end(self):
        """Guards against an end that nobody counts."""

        async def test() -> None:
            case = Case()
            (port,) = find_free_ports(1)
            assert await case.observer.observe(build_upstream(port), "r1", ("p",))
            assert [end.keys for end in case.reported] == [("p",)]
            assert [end.engine for end in case.quarantine.describe("p").ends] == ["e1@1"]

        asyncio.run(test())

    def test_engine_that_accepts_connections_has_not_ended(self):
        """Guards against parts that are accused by broken connections."""

        async def test() -> None:
            case = Case()
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            assert not await case.observer.observe(build_upstream(port), "r1", ("p",))
            assert case.quarantine.suspected == 0
            server.close()

        asyncio.run(test())

    def test_requests_cut_together_share_a_check(self):
        """Guards against a connection for each of the requests that an end cuts."""

        async def test() -> None:
            case = Case()
            connections = []
            server = await asyncio.start_server(
                lambda reader, writer: connections.append(writer), "127.0.0.1", 0
            )
            upstream = build_upstream(server.sockets[0].getsockname()[1])
            calls = [case.observer.observe(upstream, f"r{n}", (f"p{n}",)) for n in range(20)]
            assert await asyncio.gather(*calls) == [False] * 20
            assert len(connections) == 1
            connections[0].close()
            server.close()

        asyncio.run(test())

    def test_parts_of_each_suspect_are_recorded(self):
        """Guards against suspects that are lost since another one was checked first."""

        async def test() -> None:
            case = Case()
            (port,) = find_free_ports(1)
            upstream = build_upstream(port)
            early = [case.observer.observe(upstream, f"r{n}", (f"p{n}",)) for n in range(3)]
            await asyncio.gather(*early)
            assert await case.observer.observe(upstream, "late", ("late",))
            assert case.quarantine.suspected == 4

        asyncio.run(test())

    def test_caller_that_leaves_meanwhile_loses_no_evidence(self):
        """Guards against a part whose callers give up as the engine ends."""

        async def test() -> None:
            case = Case()
            (port,) = find_free_ports(1)
            call = asyncio.create_task(case.observer.observe(build_upstream(port), "r1", ("p",)))
            await asyncio.sleep(0)
            call.cancel()
            async with asyncio.timeout(5):
                while case.quarantine.suspected == 0:
                    await asyncio.sleep(0.01)

        asyncio.run(test())
