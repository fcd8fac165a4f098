"""Views of instances without a network, for tests of a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import json
import random
from types import SimpleNamespace

from thrift.TSerialization import deserialize, serialize

from jayyoke.admission.exchange import DemandExchange
from jayyoke.core.error import StoreUnavailable
from jayyoke.core.route import MoveState, MoveStatus
from jayyoke.edge.follow import PeerFollower
from jayyoke.edge.limitexchange import LimitExchange
from jayyoke.edge.loadexchange import LoadExchange
from jayyoke.edge.relay import RelayServer
from jayyoke.edge.relaymessage import decode_peer_answer, encode_fetch_request
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.view import FleetView
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.platform.decode import encode_move_status
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes

ORDER = {"backend": "desk", "to": "v2", "durationS": 10.0}


def build_upstream(key: str, version: int, state: str = "ready", born: int = 1) -> Row:
    """Return an upstream's entry."""
    body = {"backend": "p", "address": "10.0.0.1:80", "az": "a", "state": state, "born": born}
    return build_row(key, version, body)


def build_row(key: str, version: int, body: object) -> Row:
    """Return a row of a JSON value."""
    return Row(key, json.dumps(body).encode(), version)


def build_config(version: int, revision: int) -> Row:
    """Return a configuration without routes."""
    return build_row("config", revision, {"version": version, "routes": [], "backends": []})


def build_status(state: MoveState, order: int, row_version: int, version: str = "v2") -> Row:
    """Return a move's status."""
    status = MoveStatus("desk", version, state, order, 0)
    return Row("rollout/desk", encode_move_status(status), row_version)


class Peer:
    """Holds an instance's view, and asks other instances without a network."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.view = FleetView(lambda: self.now_s)
        self.era = StoreEra()
        self.loads = LoadExchange(lambda: self.now_s, lambda load: None)
        self.limits = LimitExchange(RequestLimits("i", lambda: ["i"], self.read_s, self.read_s))
        self.server = RelayServer(self.view, self.loads, self.limits, self.era)
        self.asked: list[ttypes.FetchedTables] = []
        self.target: Peer | None = None
        self.previous_release = False
        self.follower = PeerFollower(
            self.view,
            self,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            SimpleNamespace(build_row=lambda: Row("asker", b"{}", 0)),  # type: ignore[arg-type]
            list,
            random.Random(1),
            1e6,
            self.loads,
            self.limits,
            DemandExchange("i", "a", {}, self.read_s),
            self.era,
        )

    def read_s(self) -> float:
        """Return the time."""
        return self.now_s

    async def follow(self, table: str, revision: int, wait_s: float):
        """Refuse a feed of the store."""
        raise StoreUnavailable("the store is not there")

    async def fetch(self, peer, known, wait_s, loads, limits, eras, sent, own, member, demands):
        """Ask the target as RelayClient does."""
        if self.target.previous_release:
            eras = sent = own = None
        request = encode_fetch_request(known, 0.0, loads, self.now_s, limits, eras, sent, own)
        body = await self.target.server.answer(request)
        answer = deserialize(ttypes.FetchedTables(), body)
        if self.target.previous_release:
            for table in answer.tables:
                table.era = table.base = table.kept = table.kept_digest = None
        self.asked.append(answer)
        return decode_peer_answer(peer, serialize(answer), self.now_s)

    def ask(self, target: Peer) -> None:
        """Merge the target's answer."""
        self.target = target
        assert asyncio.run(self.follower._ask("peer", 0.4))

    def read(self, table: str, rows: list[Row], revision: int, era: int, whole: bool = True):
        """Merge rows as if the store had sent them."""
        self.era.update(era)
        self.view.merge(
            table,
            rows,
            (),
            revision,
            whole=whole,
            confirmed_s=self.now_s,
            source="store",
            era=era,
        )

    def remove(self, table: str, key: str, revision: int, era: int) -> None:
        """Remove a row as if the store had told of it."""
        self.view.merge(
            table,
            (),
            [Row(key, b"", revision)],
            revision,
            whole=False,
            confirmed_s=self.now_s,
            source="store",
            era=era,
        )

    def list_live(self) -> list[str]:
        """Return the names of upstreams that may get requests."""
        return [found.name for found in self.view.by_service.get("p", ())]
