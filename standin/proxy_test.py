"""Tests of the fault-injecting proxy."""

from __future__ import annotations

import asyncio

from standin.port import find_free_address
from standin.proxy import Proxy, Rules


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while chunk := await reader.read(1024):
        writer.write(chunk)
    writer.close()


async def exchange(address: str, payload: bytes, timeout_s: float = 0.3) -> bytes:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(payload)
    try:
        return await asyncio.wait_for(reader.read(1024), timeout_s)
    except TimeoutError:
        return b"silence"
    finally:
        writer.close()


class TestRules:
    def test_rules_apply_to_matching_sources_only(self):
        """Guards against a partition that affects the wrong sources."""

        async def run() -> None:
            target, listen = find_free_address(), find_free_address()
            host, _, port = target.rpartition(":")
            server = await asyncio.start_server(echo, host, int(port))
            proxy = Proxy(target)
            front = await proxy.serve(listen)
            assert await exchange(listen, b"one", 5.0) == b"one"
            proxy.set_rules(Rules(silence=True), "10.")
            assert await exchange(listen, b"two", 5.0) == b"two"
            proxy.set_rules(Rules(silence=True), "127.0.")
            assert await exchange(listen, b"three") == b"silence"
            proxy.set_rules(Rules(truncate_after_bytes=2), "127.0.")
            assert await exchange(listen, b"four", 5.0) == b"fo"
            front.close()
            server.close()

        asyncio.run(run())
