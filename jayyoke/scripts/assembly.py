"""Builds and connects the parts of an instance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import aiohttp

from jayyoke.core import registry
from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.member import Member
from jayyoke.core.move import OutcomeCounts
from jayyoke.core.protocol import find_protocol
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.chatparts import ChatParts
from jayyoke.ops.decisionlog import count_dropped_lines
from jayyoke.ops.dispatch import Dispatch
from jayyoke.ops.domain import Domains
from jayyoke.ops.durablework import build_durable_work
from jayyoke.ops.forward import AttemptOutcome
from jayyoke.ops.halt import Halts
from jayyoke.ops.health import Health
from jayyoke.ops.loads import Loads
from jayyoke.ops.membership import HEARTBEAT_INTERVAL_S, Membership
from jayyoke.ops.moves import Moves
from jayyoke.ops.node import Node
from jayyoke.ops.probe import Prober, hash_incarnation
from jayyoke.ops.replay import Replay
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.ops.shadow import Shadows
from jayyoke.parser.settings import Settings
from jayyoke.platform.listing import Listing
from jayyoke.platform.table import Table
from jayyoke.server.peer import TcpPeers
from jayyoke.wire.gen.ttypes import Digest

LOADS_INTERVAL_PER_MEMBER_S = 0.034


def build_node(
    settings: Settings, http: aiohttp.ClientSession, http_single: aiohttp.ClientSession
) -> Node:
    """Return the parts of an instance, not yet running; plug-ins must be loaded.

    `http_single` uses each connection once.
    """
    clock = SystemClock()
    table = Table(http, settings.table_url)
    listing = Listing(http, settings.listing_url)
    peers = _build_peers(settings, clock)
    change_log = ChangeLog(table, peers, peers.digests, clock)
    domains = Domains(change_log, peers, peers.digests, clock)
    halts = Halts(change_log, peers, peers.digests, clock)
    loads = Loads(clock)
    request_limits = RequestLimits(
        settings.instance, peers.membership.list_known, time.time, clock.now_s
    )
    health = Health(
        listing,
        clock,
        loads,
        lambda name: change_log.configuration.services.get(name),
        peers,
        request_limits,
    )
    policy = registry.find_plugin("policy", settings.policy)()
    dispatch = Dispatch(
        clock,
        peers,
        loads,
        health,
        policy,
        domains.domains_out,
        notices=health.notices,
        request_limits=request_limits,
    )
    prober = Prober(
        http, clock, health, dispatch.steward, CacheFollower(peers, Replay(peers, clock))
    )
    durable_work = build_durable_work(settings, table, http_single, dispatch.placer, peers, clock)
    node = Node(
        settings=settings,
        clock=clock,
        http=http,
        table=table,
        listing=listing,
        change_log=change_log,
        health=health,
        placer=dispatch.placer,
        peers=peers,
        dispatch=dispatch,
        prober=prober,
        durable_work=durable_work,
        domains=domains,
        halts=halts,
        chat_parts=ChatParts(table, peers, clock),
    )
    node.moves = _build_moves(node, peers)
    node.moves.on_order = dispatch.steward.expect_restart
    node.shadows = Shadows(node.engine_streams, node.placer, node.moves.observe)
    node.limits.capacity = dispatch.capacity_tokens
    dispatch.owner.select = node.moves.select
    _connect_digests(node, peers)
    _connect_outcomes(node)
    _connect_metrics(node, peers)
    return node


async def send_loads(node: Node, peers: TcpPeers) -> None:
    """Send changed loads more often than heartbeats in small groups, until cancelled.

    With few engines, a mean load that was 1 s old let one engine carry 1.33 times the mean in the
    demo. A group of 30 has no bandwidth left for more messages, and its mean changes slowly.
    """
    while True:
        interval_s = LOADS_INTERVAL_PER_MEMBER_S * len(peers.members())
        await asyncio.sleep(min(interval_s, HEARTBEAT_INTERVAL_S))
        if interval_s < HEARTBEAT_INTERVAL_S:
            peers.digests.send_fields(node.dispatch.fill_loads)


def list_coroutines(node: Node) -> list[Coroutine[Any, Any, None]]:
    """Return the coroutines that run as long as the instance."""
    return [
        node.peers.run(),
        node.peers.membership.follow_listing(node.listing),
        node.change_log.run(),
        node.domains.run(),
        node.halts.run(),
        node.health.run(),
        node.dispatch.run(),
        node.prober.run(),
        node.durable_work.outbox.run(),
        node.moves.run(),
        node.chat_parts.run(),
        send_loads(node, node.peers),
    ]


def _build_peers(settings: Settings, clock: Clock) -> TcpPeers:
    me = Member(
        settings.instance,
        settings.domain,
        time.time_ns(),
        settings.peer_address,
        settings.operator_address,
        settings.region,
    )
    return TcpPeers(
        Membership(me, clock, settings.seeds),
        settings.peer_key,
        clock,
        settings.peer_listener,
        settings.source,
    )


def _build_moves(node: Node, peers: TcpPeers) -> Moves:
    def checks_fencing(service: str) -> bool:
        spec = node.change_log.configuration.services.get(service)
        return spec is not None and spec.checks_fencing

    return Moves(
        peers,
        node.table,
        node.http,
        node.clock,
        node.halts,
        list_engines=node.health.list_upstreams,
        find_version=node.health.versions.find,
        checks_fencing=checks_fencing,
    )


def _connect_outcomes(node: Node) -> None:
    """Pass outcomes to moves and versions, and lost engines and new incarnations to placement."""

    def observe(outcome: AttemptOutcome) -> None:
        counts = OutcomeCounts(1, int(not outcome.answered), int(outcome.answered and outcome.slow))
        node.moves.observe(outcome.upstream, outcome.version, outcome.route, counts)
        if not node.health.versions.find(outcome.upstream.name):
            # A stream that began before a version move names the old version when it ends.
            node.health.versions.learn(outcome.upstream.name, outcome.version)
        incarnation = hash_incarnation(outcome.incarnation)
        if incarnation:
            node.placer.report_engine(outcome.upstream.name, incarnation)

    node.engine_streams.observers.append(observe)
    node.engine_streams.unreachable_observers.append(
        lambda upstream: node.placer.report_engine(upstream.name, failed=True)
    )


def _connect_metrics(node: Node, peers: TcpPeers) -> None:
    add_gauge = node.metrics.add_gauge
    add_gauge("jayyoke_requests_running", "Requests in progress.", lambda: node.drain.running)
    add_gauge(
        "jayyoke_configuration_version",
        "Configuration version in force at this instance.",
        lambda: node.change_log.configuration.version,
    )
    add_gauge("jayyoke_members", "Live members of the group.", lambda: len(peers.members()))
    add_gauge(
        "jayyoke_quarantined_parts",
        "Messages of chats kept from engines.",
        lambda: len(node.chat_parts.quarantine.list_quarantined()),
    )
    add_gauge(
        "jayyoke_limited_upstreams",
        "Upstreams that have named a limit of requests.",
        lambda: node.placer.request_limits.limited,
    )
    add_gauge("jayyoke_peer_sent_bytes", "Bytes sent to peers.", peers.traffic.sent.total)
    add_gauge(
        "jayyoke_decision_lines_dropped", "Decision lines over the rate limit.", count_dropped_lines
    )


def _connect_digests(node: Node, peers: TcpPeers) -> None:
    """Let placement and the limits fill and read heartbeats."""

    def list_services() -> list[str]:
        services = node.change_log.configuration.services.values()
        return [spec.name for spec in services if find_protocol(spec.protocol).reports_load]

    node.dispatch.home_domains.list_services = list_services

    def fill_teams(digest: Digest) -> None:
        digest.teams = node.limits.build_team_loads() or None

    def accept_teams(sender: Member, digest: Digest) -> None:
        if digest.teams is not None:
            node.limits.accept_team_loads(sender.name, digest.teams)

    def send_notice(engine: str) -> None:
        peers.digests.send_fields(lambda digest: node.dispatch.fill_loads(digest, engine))

    peers.digests.add_fields(node.dispatch.fill_loads)
    peers.digests.add_fields(fill_teams)
    peers.digests.add_fields(node.dispatch.home_domains.fill_digest)
    peers.digests.add_handler(node.dispatch.accept_loads)
    peers.digests.add_handler(accept_teams)
    peers.digests.add_handler(node.dispatch.home_domains.accept_digest)
    node.dispatch.notices.subscribe(send_notice)
