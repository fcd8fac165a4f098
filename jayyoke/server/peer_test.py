"""Tests of connections with other instances, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable

import pytest

from jayyoke.core.clock import ManualClock, SystemClock
from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.core.member import Member, MemberState
from jayyoke.ops.membership import Membership
from jayyoke.server.peer import TcpPeers
from jayyoke.wire.frame import MAX_FRAME_BYTES, FrameCodec, derive_key
from jayyoke.wire.gen.ttypes import ChangeNotice, Changes, Digest, Hello, PullChanges
from jayyoke.wire.peerconnection import Traffic, dial

KEY = b"k" * 32
TIMEOUT_S = 20.0


def build_peers(name: str, *seeds: TcpPeers, key: bytes = KEY, incarnation: int = 1) -> TcpPeers:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{probe.getsockname()[1]}"
    clock = SystemClock()
    member = Member(name, "a", incarnation, address)
    membership = Membership(member, clock, [seed.address for seed in seeds])
    return TcpPeers(membership, key, clock)


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


async def answer_changes(sender: Member, message: PullChanges) -> Changes:
    return Changes(latest=message.after)


def run_with_server(check) -> None:
    """Run a check against one listening instance, then check that it still serves."""

    async def run() -> None:
        server = build_peers("server")
        server.serve(PullChanges, answer_changes)
        await server.start()
        try:
            await check(server)
            hello = Hello("client", "a", 1, 1, "127.0.0.1:1")
            connection = await dial(server.address, KEY, hello, SystemClock(), Traffic())
            reading = asyncio.create_task(connection.run(answer_changes))
            answer = await connection.ask(PullChanges(after=7), TIMEOUT_S)
            assert answer.latest == 7
            connection.close()
            await reading
        finally:
            await server.stop()

    asyncio.run(run())


async def send_raw(server: TcpPeers, data: bytes) -> bytes:
    """Return what the server sends before it closes the connection."""
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(TIMEOUT_S):
        received = await reader.read()
    writer.close()
    return received


class CapturedWarnings:
    def __init__(self, monkeypatch):
        self.lines: list[str] = []
        target = "jayyoke.server.peer.logging.warning"
        monkeypatch.setattr(target, lambda line, *args: self.lines.append(line % args))


class TestBadInput:
    @pytest.mark.parametrize(
        ("data", "reason"),
        [
            (b"GET / HTTP/1.1\r\nHost: instance\r\n\r\n" * 4, "frame length"),
            (bytes(16) + struct.pack(">I", MAX_FRAME_BYTES + 1), "frame length"),
            (bytes(16) + struct.pack(">I", 3) + b"abc", "frame length"),
            (bytes(16) + struct.pack(">I", 40) + bytes(40), "authentication failed"),
        ],
        ids=["garbage", "oversized", "undersized", "unauthenticated"],
    )
    def test_connection_is_closed_with_one_log_line(self, data, reason, monkeypatch):
        """Guards against a process that fails on malformed input or logs many lines about it."""
        warnings = CapturedWarnings(monkeypatch)

        async def check(server: TcpPeers) -> None:
            # The server's raw nonce is all that an unauthenticated sender learns.
            assert len(await send_raw(server, data)) == 16
            assert len(warnings.lines) == 1
            assert reason in warnings.lines[0]

        run_with_server(check)

    def test_wrong_key_never_becomes_member(self, monkeypatch):
        """Guards against instances of another fleet that join this one."""
        warnings = CapturedWarnings(monkeypatch)

        async def check(server: TcpPeers) -> None:
            hello = Hello("stranger", "a", 1, 1, "127.0.0.1:1")
            with pytest.raises(PeerProtocolError):
                await dial(server.address, b"x" * 32, hello, SystemClock(), Traffic())
            assert [member.name for member in server.members()] == ["server"]
            assert len(warnings.lines) == 1

        run_with_server(check)

    def test_old_revision_is_refused(self, monkeypatch):
        """Guards against accepting messages of an older protocol revision."""
        warnings = CapturedWarnings(monkeypatch)

        async def check(server: TcpPeers) -> None:
            hello = Hello("old", "a", 1, 0, "127.0.0.1:1")
            with pytest.raises(PeerProtocolError):
                await dial(server.address, KEY, hello, SystemClock(), Traffic())
            assert warnings.lines[0].endswith("revision 0 is older than 1")

        run_with_server(check)

    def test_malformed_message_closes_its_connection(self, monkeypatch):
        """Guards against decoder errors that escape from an authenticated connection."""
        lines: list[str] = []
        target = "jayyoke.wire.peerconnection.logging.warning"
        monkeypatch.setattr(target, lambda line, *args: lines.append(line % args))

        async def check(server: TcpPeers) -> None:
            hello = Hello("client", "a", 1, 1, "127.0.0.1:1")
            connection = await dial(server.address, KEY, hello, SystemClock(), Traffic())
            monkeypatch.setattr("jayyoke.wire.frame.encode", lambda message: b"\x18\xff\xff\xff")
            connection.send(Digest())
            monkeypatch.undo()
            monkeypatch.setattr(target, lambda line, *args: lines.append(line % args))
            await connection.run(answer_changes)
            assert connection.closed
            assert len(lines) == 1 and "Digest is malformed" in lines[0]

        run_with_server(check)


class TestSilentConnections:
    """Tests connections that never complete their handshake."""

    def test_they_do_not_keep_peers_out(self):
        """Guards against a crowd without the key that takes all connections of peers."""

        async def check(server: TcpPeers) -> None:
            server._max_accepted = 3
            host, _, port = server.address.rpartition(":")
            for _ in range(10):
                opened.append(await asyncio.open_connection(host, int(port)))
            await wait_until(lambda: len(server._handshakes) == 3)

        opened: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        run_with_server(check)


class TestFrameCodec:
    def test_replayed_reflected_and_reordered_frames_are_rejected(self):
        """Guards against an attacker on the network path who repeats or returns valid frames."""
        key = derive_key(KEY, b"a" * 16, b"b" * 16)
        sender = FrameCodec(key, 1)
        frames = [sender.encode_frame(ChangeNotice(version))[4:] for version in (1, 2)]
        receiver = FrameCodec(key, 1)
        assert receiver.decode_frame(frames[0]).message.version == 1
        with pytest.raises(PeerProtocolError):
            receiver.decode_frame(frames[0])
        with pytest.raises(PeerProtocolError):
            FrameCodec(key, 1).decode_frame(frames[1])
        with pytest.raises(PeerProtocolError):
            FrameCodec(key, 2).decode_frame(frames[0])
        with pytest.raises(PeerProtocolError):
            FrameCodec(derive_key(KEY, b"a" * 16, b"c" * 16), 1).decode_frame(frames[0])


class TestPeers:
    def test_restart_and_silent_link_are_replaced(self):
        """Guards against a peer that stays unreachable after a restart or a silent connection."""

        async def run() -> None:
            one = build_peers("one")
            two = build_peers("two", one)
            seen: list[tuple[int, MemberState]] = []
            one.changes.subscribe(
                lambda change: seen.append((change.member.incarnation, change.state))
            )
            one.serve(PullChanges, answer_changes)
            running = []
            for peers in (one, two):
                await peers.start()
                running.append(asyncio.create_task(peers.run()))
            await wait_until(lambda: len(one.members()) == 2 and len(two.members()) == 2)
            assert (await two.ask("one", PullChanges(after=3), TIMEOUT_S)).latest == 3
            assert (await one.ask("one", PullChanges(after=4), TIMEOUT_S)).latest == 4
            with pytest.raises(PeerUnavailable):
                await one.ask("two", PullChanges(after=3), TIMEOUT_S)
            await wait_until(lambda: "one" in two._dialled)
            stale = two._dialled["one"]
            stale.last_received_s -= 100.0
            two.tick()
            assert stale.closed
            await wait_until(lambda: two._dialled.get("one") not in (None, stale))
            assert (await two.ask("one", PullChanges(after=5), TIMEOUT_S)).latest == 5
            running[1].cancel()
            await asyncio.gather(running[1], return_exceptions=True)
            restarted = build_peers("two", one, incarnation=2)
            await restarted.start()
            running[1] = asyncio.create_task(restarted.run())
            await wait_until(lambda: (2, MemberState.LIVE) in seen)
            assert seen[-2:] == [(1, MemberState.DEAD), (2, MemberState.LIVE)]
            restarted.announce_leaving()
            await wait_until(lambda: seen[-1] == (2, MemberState.LEFT))
            one.tick()
            assert one.traffic.received["Digest"] > 0 < one.traffic.sent["Digest"]
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)

        asyncio.run(run())


class FakeConnection:
    """Records what is sent to one member."""

    closed = False

    def __init__(self, member: Member):
        self.member = member
        self.last_received_s = SystemClock().now_s()
        self.sent: list[Digest] = []

    def send(self, message: Digest, correlation: int = 0) -> None:
        self.sent.append(message)


class TestHeartbeat:
    def test_loads_stay_within_the_placement_group(self):
        """Guards against control traffic that grows with the number of domains."""

        async def run() -> None:
            peers = build_peers("me")
            for index in range(40):
                member = Member(f"i{index:02d}", "ab"[index % 2], 1, "")
                peers.membership.record_contact(member)
                peers._dialled[member.name] = FakeConnection(member)

            def fill(digest: Digest) -> None:
                digest.changes = [0, 1, 70]
                digest.halts = ["move v2"]

            peers.digests.add_fields(fill)
            peers.tick()
            peers.digests.send_fields(fill)
            for link in peers._dialled.values():
                in_group = link.member.domain == "a"
                assert [digest.changes is not None for digest in link.sent] == [in_group] * (
                    1 + in_group
                )
                assert link.sent[0].halts == ["move v2"]
                assert link.sent[0].sequence == 1

        asyncio.run(run())


class TestMembership:
    def test_silence_makes_suspect_then_dead(self):
        """Guards against a silent instance that keeps its roles as owner and steward."""
        clock = ManualClock()
        membership = Membership(Member("me", "a", 1, "1:1"), clock)
        other = Member("other", "b", 5, "1:2")
        membership.record_contact(other)
        states = []
        for _ in range(5):
            clock.advance(1.0)
            membership.check()
            states.append(membership.state("other"))
        live, suspect, dead = MemberState.LIVE, MemberState.SUSPECT, MemberState.DEAD
        assert states == [live, live, suspect, suspect, dead]
        assert membership.reachable_domains() == {"a"}
        assert membership.record_contact(other) and membership.state("other") is live
        clock.advance(60.0)
        membership.check()
        assert membership.state("other") is live, (
            "a paused instance must read its queued messages first"
        )

    def test_earlier_incarnation_is_ignored(self):
        """Guards against an old connection that hides that its instance has restarted."""
        membership = Membership(Member("me", "a", 1, "1:1"), ManualClock())
        states = []
        membership.changes.subscribe(lambda change: states.append(change.member.incarnation))
        assert membership.record_contact(Member("other", "b", 6, "1:3"))
        assert not membership.record_contact(Member("other", "b", 5, "1:2"))
        assert states == [6] and membership.reachable_peers()[0].incarnation == 6

    def test_large_region_groups_by_domain_with_two_links_elsewhere(self):
        """Guards against links and member lists that grow with the number of instances."""
        membership = Membership(Member("a-00", "a", 1, "1:1"), ManualClock())
        for domain in "abc":
            for index in range(20):
                name = f"{domain}-{index:02}"
                membership.record_contact(Member(name, domain, 1, f"{domain}:{index}"))
        assert {member.domain for member in membership.members()} == {"a"}
        assert len(membership.members()) == 20
        targets = membership.link_addresses()
        assert [sum(t.startswith(d) for t in targets) for d in "abc"] == [19, 2, 2]
