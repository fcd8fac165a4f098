"""Plays random returns of the store to instances, and checks what may never come back."""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field

import pytest

from jayyoke.eras.fact import RESTORE_S
from jayyoke.platform.table import Row
from tests.eraviews import Peer, build_config, build_row, build_upstream

SEEDS = range(60)
STEPS = 120
UPSTREAMS = ("u1", "u2", "u3")
DOMAINS = ("a", "b")


@dataclass(slots=True)
class Model:
    """Plays the store: rows by table and key, and all changes of the present history."""

    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    history: list[tuple[str, Row, bool]] = field(default_factory=list)
    revision: int = 0
    era: int = 1

    def write(self, table: str, row: Row | None, key: str) -> None:
        """Write or remove a row."""
        self.revision += 1
        found = Row(key, row.value if row else b"", self.revision)
        if row is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = found
        self.history.append((table, found, row is not None))

    def go_back(self, count: int) -> list[tuple[str, str]]:
        """Lose the newest changes; return their rows."""
        lost = self.history[len(self.history) - count :]
        kept = self.history[: len(self.history) - count]
        self.history, self.rows = [], {}
        self.revision -= count
        self.era += 1
        for table, row, present in kept:
            if present:
                self.rows[(table, row.key)] = row
            else:
                self.rows.pop((table, row.key), None)
            self.history.append((table, row, present))
        return [(table, row.key) for table, row, _ in lost]


class Play:
    """Holds a store, instances, and what operators and upstreams mean to have written."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.model = Model()
        self.peers = [Peer() for _ in range(3)]
        self.version = 1
        self.meant: dict[tuple[str, str], Row | None] = {}
        self.lost: set[tuple[str, str]] = set()
        self.write("op", "config", build_config(1, 0))
        for name in UPSTREAMS:
            self.write("servers", name, build_upstream(name, 0))
        for peer in self.peers:
            self.read(peer, "op", True)
            self.read(peer, "servers", True)

    def write(self, table: str, key: str, row: Row | None) -> None:
        self.meant[(table, key)] = row
        self.lost.discard((table, key))
        self.model.write(table, row, key)

    def read(self, peer: Peer, table: str, whole: bool) -> None:
        """Let an instance read the table, or the changes since its revision."""
        copy = peer.view.tables[table]
        model = self.model
        peer.era.update(model.era)
        if whole or copy.era != model.era or copy.revision > model.revision:
            rows = [row for (name, _), row in model.rows.items() if name == table]
            peer.read(table, rows, model.revision, model.era)
            self.settle_doubt(peer)
            return
        newest = {
            row.key: (row, present)
            for name, row, present in model.history
            if name == table and row.version > copy.revision
        }
        peer.view.merge(
            table,
            [row for row, present in newest.values() if present],
            [row for row, present in newest.values() if not present],
            model.revision,
            whole=False,
            confirmed_s=peer.now_s,
            source="store",
            era=model.era,
        )

    def settle_doubt(self, peer: Peer) -> None:
        """Tell an instance of removals, if it asks for them."""
        since = peer.view.tables["op"].find_doubt()
        if since is None or peer.view.tables["op"].era != self.model.era:
            return
        removed = []
        for table, row, present in self.model.history:
            if table == "op" and not present and row.version > since:
                removed.append(row)
        peer.view.settle_doubt("op", removed, self.model.era, "store")

    def ask(self, asker: Peer, asked: Peer) -> None:
        """Let an instance ask another one, and then the store if it has to."""
        asker.ask(asked)
        self.settle_doubt(asker)

    def step(self) -> None:
        """Do something at random."""
        rng = self.rng
        match rng.randrange(12):
            case 0 | 1 | 2 | 3:
                self.read(rng.choice(self.peers), rng.choice(("op", "servers")), rng.random() < 0.2)
            case 4 | 5:
                asker, asked = rng.sample(self.peers, 2)
                self.ask(asker, asked)
            case 6:
                name = rng.choice(UPSTREAMS)
                state = rng.choice(("ready", "draining", None))
                row = None if state is None else build_upstream(name, 0, state, born=1)
                self.write("servers", name, row)
            case 7:
                self.version += 1
                self.write("op", "config", build_config(self.version, 0))
            case 8 | 9:
                key = f"evacuate/{rng.choice(DOMAINS)}"
                self.write("op", key, build_row(key, 0, {}) if rng.random() < 0.5 else None)
            case 10:
                for peer in self.peers:
                    peer.now_s += 0.5
            case 11 if rng.random() < 0.5:
                count = rng.randrange(min(6, len(self.model.history)))
                self.lost.update(self.model.go_back(count))
            case _:
                self.write_again()

    def write_again(self) -> None:
        for table, key in sorted(self.lost):
            self.write(table, key, self.meant[(table, key)])

    def settle(self) -> None:
        """Write everything again and let all instances hear of it."""
        self.write_again()
        for name in UPSTREAMS:
            # Live upstreams renew their entries.
            self.write("servers", name, self.meant[("servers", name)])
        for _ in range(int(2 * RESTORE_S) + 4):
            for peer in self.peers:
                peer.now_s += 1.0
                for table in ("op", "servers"):
                    self.read(peer, table, False)
        for asker in self.peers:
            for asked in self.peers:
                if asker is not asked:
                    self.ask(asker, asked)


def find_states(peer: Peer) -> tuple[int, list[str]]:
    return peer.view.config.version, peer.list_live()


class TestRandomReturns:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_configuration_never_goes_back_and_all_agree_in_the_end(self, seed):
        """Guards against rows that come back, stay too long, or differ between instances."""
        play = Play(seed)
        versions = [1] * len(play.peers)
        for _ in range(STEPS):
            play.step()
            found = [peer.view.config.version for peer in play.peers]
            assert all(new >= old for new, old in zip(found, versions, strict=True))
            versions = found
        play.settle()
        meant_live = []
        for name in UPSTREAMS:
            row = play.meant[("servers", name)]
            if row is not None and json.loads(row.value)["state"] == "ready":
                meant_live.append(name)
        evacuated = {d for d in DOMAINS if play.meant.get(("op", f"evacuate/{d}")) is not None}
        for peer in play.peers:
            assert find_states(peer) == (play.version, meant_live)
            assert peer.view.evacuated == evacuated
