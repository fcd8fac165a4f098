"""Fault-injecting TCP proxy between real processes; POST /rules sets its faults."""

from __future__ import annotations

import argparse
import asyncio
import random
from dataclasses import dataclass, fields

from aiohttp import web

CHUNK_BYTES = 65536
REORDER_DELAY_S = 0.05


@dataclass(slots=True)
class Rules:
    """Holds the faults of one forwarded port.

    `truncate_after_bytes` closes a connection after that many bytes of an answer. `reorder` delays
    every second chunk across connections, so that answers overtake each other. `silence` keeps
    connections open and drops all bytes; `silence_old_only` does so only on connections made before
    it was last set, and `silence_answers` drops only what the target sends. A connection that lost
    bytes stays silent until it closes, since TCP never delivers what follows a gap. `break_share`
    closes a connection with this probability at each chunk, which is how TCP shows a lost message.
    """

    refuse: bool = False
    delay_s: float = 0.0
    jitter_s: float = 0.0
    silence: bool = False
    silence_old_only: bool = False
    silence_answers: bool = False
    truncate_after_bytes: int = -1
    reorder: bool = False
    drop_connections: bool = False
    break_share: float = 0.0


class Proxy:
    """Forwards one listening port to a target and applies its rules to every connection."""

    def __init__(self, target: str, seed: int = 1):
        self.target = target
        self.generation = 0
        self._rules: dict[str, Rules] = {"": Rules()}
        self._random = random.Random(seed)
        self._writers: dict[asyncio.StreamWriter, str] = {}
        self._chunk_count = 0

    async def serve(self, address: str) -> asyncio.Server:
        """Listen on HOST:PORT."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._handle_connection, host, int(port))

    def set_rules(self, rules: Rules, source: str = "") -> None:
        """Set the rules of connections from addresses with this prefix."""
        self._rules[source] = rules
        if rules.silence_old_only:
            self.generation += 1
        if rules.drop_connections or rules.refuse:
            self.drop_connections(source)

    def drop_connections(self, source: str = "") -> None:
        """Close the open connections whose source begins so."""
        for writer, source_address in list(self._writers.items()):
            if source_address.startswith(source):
                writer.close()

    def clear(self) -> None:
        """Remove all rules; connections that lost bytes stay silent."""
        self._rules = {"": Rules()}

    def find_rules(self, source_address: str) -> Rules:
        """Return the rules of the longest source prefix that matches an address."""
        longest = ""
        for source in self._rules:
            if source_address.startswith(source) and len(source) > len(longest):
                longest = source
        return self._rules[longest]

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        generation = self.generation
        source_address = writer.get_extra_info("peername")[0]
        if self.find_rules(source_address).refuse:
            writer.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers[writer] = source_address
        self._writers[target_writer] = source_address
        try:
            silenced = asyncio.Event()
            await asyncio.gather(
                self._forward(
                    reader, target_writer, source_address, generation, silenced, from_target=False
                ),
                self._forward(
                    target_reader, writer, source_address, generation, silenced, from_target=True
                ),
            )
        finally:
            self._writers.pop(writer, None)
            self._writers.pop(target_writer, None)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source_address: str,
        generation: int,
        silenced: asyncio.Event,
        from_target: bool,
    ) -> None:
        forwarded_bytes = 0
        answers_silenced = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                rules = self.find_rules(source_address)
                await self._delay(rules)
                if rules.silence or (rules.silence_old_only and generation < self.generation):
                    silenced.set()
                answers_silenced = answers_silenced or (from_target and rules.silence_answers)
                if answers_silenced or silenced.is_set():
                    continue
                if self._random.random() < rules.break_share:
                    break
                limit = rules.truncate_after_bytes
                if from_target and 0 <= limit < forwarded_bytes + len(chunk):
                    writer.write(chunk[: max(0, limit - forwarded_bytes)])
                    break
                forwarded_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _delay(self, rules: Rules) -> None:
        delay_s = rules.delay_s + self._random.random() * rules.jitter_s
        self._chunk_count += 1
        if rules.reorder and self._chunk_count % 2:
            delay_s += REORDER_DELAY_S
        if delay_s:
            await asyncio.sleep(delay_s)


def build_control(proxies: dict[str, Proxy]) -> web.Application:
    """Return the HTTP application that sets rules by prefixes of proxy name and source address."""

    async def set_rules(request: web.Request) -> web.Response:
        body = await request.json()
        known = {field.name for field in fields(Rules)}
        rules = {key: value for key, value in body.get("rules", {}).items() if key in known}
        count = 0
        for name, proxy in proxies.items():
            if not name.startswith(body.get("prefix", "")):
                continue
            proxy.set_rules(Rules(**rules), body.get("source", ""))
            count += 1
        return web.json_response({"proxies": count})

    async def clear(request: web.Request) -> web.Response:
        for proxy in proxies.values():
            proxy.clear()
        return web.json_response({"proxies": len(proxies)})

    app = web.Application()
    app.router.add_post("/rules", set_rules)
    app.router.add_post("/clear", clear)
    return app


async def run_proxies(control_address: str, links: list[str], seed: int) -> None:
    """Forward every link NAME=LISTEN=TARGET and serve the control port until SIGTERM."""
    from standin.serve import serve_application

    proxies: dict[str, Proxy] = {}
    servers = []
    for link in links:
        name, listen, target = link.split("=")
        proxies[name] = Proxy(target, seed)
        servers.append(await proxies[name].serve(listen))
    await serve_application(build_control(proxies), control_address)
    for server in servers:
        server.close()


def main() -> None:
    """Run the proxy process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address", help="control address")
    parser.add_argument("links", nargs="*", help="NAME=LISTEN=TARGET")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    asyncio.run(run_proxies(options.address, options.links, options.seed))


if __name__ == "__main__":
    main()
