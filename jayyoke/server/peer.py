"""Connections with other instances: the listener, a dialled link per peer and heartbeats."""

from __future__ import annotations

import asyncio
import random
import resource
import socket
from collections.abc import Iterator

from absl import logging
from reactivex import Observable

from jayyoke.core.clock import Clock
from jayyoke.core.error import HandshakeCut, PeerProtocolError, PeerUnavailable
from jayyoke.core.member import Member, MemberChange
from jayyoke.core.peering import Handler, Message
from jayyoke.ops.digest import Digests, strip_loads
from jayyoke.ops.membership import HEARTBEAT_INTERVAL_S, Membership
from jayyoke.utils.task import cancel_tasks
from jayyoke.wire.gen.constants import REVISION
from jayyoke.wire.gen.ttypes import Failure, Hello, Welcome
from jayyoke.wire.peerconnection import HANDSHAKE_TIMEOUT_S, Connection, Traffic, accept, dial

# Longer than two acknowledgement intervals, and short enough to reconnect before a peer is declared
# dead.
LINK_SILENCE_LIMIT_S = 4.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
# A peer that accepts connections is alive, so it is redialled soon: even a link that keeps breaking
# must carry a change within the 9 s in which the change has to be in force.
REACHABLE_BACKOFF_S = 0.2
MAX_ACCEPTED = 1024
# The rest is for callers, upstreams and the platform.
ACCEPTED_DESCRIPTOR_SHARE = 1 / 8
# Handshakes in progress; each takes a few round trips.
MAX_HANDSHAKES = 128
# Bytes that are read ahead of the handshake, and that the system keeps of a connection.
READ_AHEAD_BYTES = 16 << 10
RECEIVE_BYTES = 32 << 10
# No request uses this id, so a heartbeat's acknowledgement only shows that the link works.
_HEARTBEAT_CORRELATION = (1 << 30) + 1
_HEARTBEATS_PER_ACKNOWLEDGEMENT = 2


class TcpPeers:
    """Implements the Peers interface over TCP; the membership tells which instances are live."""

    def __init__(
        self,
        membership: Membership,
        key: bytes,
        clock: Clock,
        listen_address: str = "",
        source: str = "",
    ):
        self.traffic = Traffic()
        self.address = membership.me.peer_address
        self.membership = membership
        self._key = key
        self._listen_address = listen_address or membership.me.peer_address
        self._source = source
        self._clock = clock
        self._handlers: dict[type, Handler] = {}
        self._dialled: dict[str, Connection] = {}
        self._accepted: dict[str, Connection] = {}
        self._link_tasks: dict[str, asyncio.Task[None]] = {}
        self._self_message_tasks: set[asyncio.Task[None]] = set()
        self._serving_tasks: set[asyncio.Task[None]] = set()
        # Connections whose handshake is not complete, the one that began first in front.
        self._handshakes: dict[asyncio.Task[None], asyncio.WriteTransport] = {}
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self._max_accepted = min(MAX_ACCEPTED, max(1, int(descriptors * ACCEPTED_DESCRIPTOR_SHARE)))
        self._server: asyncio.Server | None = None
        self.digests = Digests(self)
        self.digests.add_handler(membership.on_digest)

    @property
    def me(self) -> Member:
        """Return this instance."""
        return self.membership.me

    @property
    def changes(self) -> Observable[MemberChange]:
        """Return the stream of membership changes."""
        return self.membership.changes

    def members(self) -> tuple[Member, ...]:
        """Return the live members of the placement group by name, self included."""
        return self.membership.members()

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains of which at least one instance is live, the own one included."""
        return self.membership.reachable_domains()

    def connected_members(self, domain: str) -> tuple[Member, ...]:
        """Return the live instances of a domain to which a connection is open."""
        found = []
        for member in self.membership.reachable_peers():
            if member.domain == domain and self._find_connection(member.name) is not None:
                found.append(member)
        return tuple(found)

    async def ask(self, instance: str, message: Message, timeout_s: float) -> Message:
        """Return a peer's answer; raise PeerUnavailable after `timeout_s` seconds at the latest."""
        if instance == self.me.name:
            return await self._ask_self(message, timeout_s)
        connection = self._find_connection(instance)
        if connection is None:
            raise PeerUnavailable(f"no connection with {instance}", sent=False)
        return await connection.ask(message, timeout_s)

    def tell(self, instance: str, message: Message) -> None:
        """Send a message without waiting for delivery or an answer."""
        if instance == self.me.name:
            task = asyncio.ensure_future(self._dispatch(self.me, message))
            self._self_message_tasks.add(task)
            task.add_done_callback(self._self_message_tasks.discard)
            return
        connection = self._find_connection(instance)
        if connection is None:
            self.traffic.dropped += 1
            return
        connection.send(message)

    def broadcast(self, message: Message) -> None:
        """Send to every connected peer: the placement group and the links to other domains."""
        for connection in self._connections():
            connection.send(message)

    def serve(self, message_type: type, handler: Handler) -> None:
        """Let a handler answer every message of one type, also those of this instance itself."""
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Listen for peers; raise OSError."""
        host, _, port = self._listen_address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve_peer, host, int(port), limit=READ_AHEAD_BYTES
        )
        for listening in self._server.sockets:
            # Connections inherit it; the system doubles the value.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES // 2)

    async def run(self) -> None:
        """Maintain the links and send heartbeats until cancelled."""
        try:
            while True:
                self.tick()
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        finally:
            await self.stop()

    def tick(self) -> None:
        """Check peers and connections for silence, adjust the links and send one heartbeat."""
        self.membership.check()
        self._close_silent()
        self._adjust_links()
        digest = self.digests.build()
        short_digest = strip_loads(digest)
        group_names = {member.name for member in self.members()}
        acknowledged = digest.sequence % _HEARTBEATS_PER_ACKNOWLEDGEMENT == 0
        for connection in self._connections():
            heartbeat = digest if connection.member.name in group_names else short_digest
            connection.send(heartbeat, _HEARTBEAT_CORRELATION if acknowledged else 0)

    def announce_leaving(self) -> None:
        """Tell every peer that this instance drains."""
        self.digests.leaving = True
        self.broadcast(self.digests.build())

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        await cancel_tasks(self._link_tasks.values())
        for connection in (*self._dialled.values(), *self._accepted.values()):
            connection.close()
        if self._serving_tasks:
            await asyncio.wait(self._serving_tasks, timeout=HANDSHAKE_TIMEOUT_S)

    async def _ask_self(self, message: Message, timeout_s: float) -> Message:
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._dispatch(self.me, message)
        except TimeoutError:
            detail = f"{self.me.name} did not answer itself within {timeout_s} s"
            raise PeerUnavailable(detail) from None
        if isinstance(answer, Failure):
            raise PeerUnavailable(f"{self.me.name}: {answer.code}: {answer.detail}")
        return answer

    async def _dispatch(self, sender: Member, message: Message) -> Message | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return Failure("no-handler", f"{type(message).__name__} is not served")
        return await handler(sender, message)

    def _find_connection(self, instance: str) -> Connection | None:
        for connections in (self._dialled, self._accepted):
            connection = connections.get(instance)
            if connection is not None and not connection.closed:
                return connection
        return None

    def _connections(self) -> Iterator[Connection]:
        """Yield one open connection per peer, the dialled one if there is one."""
        for name in sorted({*self._dialled, *self._accepted}):
            connection = self._find_connection(name)
            if connection is not None:
                yield connection

    def _close_silent(self) -> None:
        now_s = self._clock.now_s()
        for name, connection in (*self._dialled.items(), *self._accepted.items()):
            if not connection.closed and now_s - connection.last_received_s > LINK_SILENCE_LIMIT_S:
                logging.warning("connection with %s closed: silent", name)
                connection.close()

    def _adjust_links(self) -> None:
        addresses = self.membership.link_addresses()
        for address in list(self._link_tasks):
            if address not in addresses:
                self._link_tasks.pop(address).cancel()
        for address in addresses:
            if address not in self._link_tasks:
                self._link_tasks[address] = asyncio.create_task(self._maintain_link(address))

    async def _maintain_link(self, address: str) -> None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            try:
                connection = await dial(
                    address,
                    self._key,
                    self._build_hello(),
                    self._clock,
                    self.traffic,
                    self._source,
                )
                if connection.member.name == self.me.name:
                    connection.close()
                    await asyncio.sleep(MAX_BACKOFF_S)
                    continue
                backoff_s = FIRST_BACKOFF_S
                await self._run_connection(connection, self._dialled)
            except HandshakeCut as error:
                logging.warning("connection to %s closed: %s", address, error)
                backoff_s = min(backoff_s, REACHABLE_BACKOFF_S)
            except PeerProtocolError as error:
                logging.warning("connection to %s closed: %s", address, error)
            except (TimeoutError, OSError) as error:
                logging.debug("%s cannot be reached: %r", address, error)
            await asyncio.sleep(backoff_s * random.uniform(0.5, 1.0))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _serve_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        opened = len(self._accepted) + len(self._handshakes)
        if opened >= self._max_accepted or len(self._handshakes) >= MAX_HANDSHAKES:
            logging.warning("connection refused: %d connections are open", opened)
            if not self._handshakes:
                writer.close()
                return
            oldest = next(iter(self._handshakes))
            self._handshakes.pop(oldest).abort()
        self._serving_tasks.add(task)
        task.add_done_callback(self._serving_tasks.discard)
        self._handshakes[task] = writer.transport
        try:
            connection = await accept(
                reader, writer, self._key, self._build_welcome(), self._clock, self.traffic
            )
        except (PeerProtocolError, TimeoutError, OSError) as error:
            address = writer.get_extra_info("peername")
            logging.warning("connection from %s closed: %s", address, error or "handshake timeout")
            return
        finally:
            self._handshakes.pop(task, None)
        await self._run_connection(connection, self._accepted)

    async def _run_connection(
        self, connection: Connection, connections: dict[str, Connection]
    ) -> None:
        name = connection.member.name
        try:
            if not self.membership.record_contact(connection.member):
                logging.warning("connection with %s closed: earlier incarnation", name)
                return
            previous = connections.get(name)
            connections[name] = connection
            if previous is not None:
                previous.close()
            # A link that breaks often may not last until the next heartbeat, so a new configuration
            # version is announced at once.
            connection.send(self.digests.build())
            await connection.run(self._dispatch)
        finally:
            connection.close()
            if connections.get(name) is connection:
                del connections[name]

    def _build_hello(self) -> Hello:
        me = self.me
        return Hello(
            instance=me.name,
            domain=me.domain,
            incarnation=me.incarnation,
            revision=REVISION,
            peer_address=me.peer_address,
            operator_address=me.operator_address,
            region=me.region,
        )

    def _build_welcome(self) -> Welcome:
        me = self.me
        return Welcome(
            instance=me.name,
            domain=me.domain,
            incarnation=me.incarnation,
            revision=REVISION,
            peer_address=me.peer_address,
            operator_address=me.operator_address,
            region=me.region,
        )
