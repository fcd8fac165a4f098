"""Fuzz model of the configuration: every instance applies accepted changes, in order, for good."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from bench.controlfleet import NAMES, FleetMachine
from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.ops.change import InvalidChange, decode_delta
from jayyoke.ops.changelog_test import team
from jayyoke.ops.changerows import change_key


class ControlMachine(FleetMachine):
    """Compares every instance with the accepted deltas, applied in order to a dictionary."""

    def __init__(self) -> None:
        super().__init__()
        self.accepted: dict[int, dict] = {}

    @rule(name=st.sampled_from(NAMES), entry=st.sampled_from("pqrs"), key=st.integers(1, 9))
    def append(self, name: str, entry: str, key: int) -> None:
        """Append a change; if it is reported as accepted, it must stay in the log."""
        self.loop.run_until_complete(self._append(name, entry, key))

    @rule(name=st.sampled_from(NAMES), count=st.integers(2, 8))
    def append_many(self, name: str, count: int) -> None:
        """Append several changes, so that peers that were cut off need a snapshot."""
        for index in range(count):
            self.append(name, "pqrs"[index % 4], 10 + index)

    @rule(names=st.permutations(NAMES), count=st.integers(2, 4), same=st.booleans())
    def append_together(self, names: list[str], count: int, same: bool) -> None:
        """Let operators append through several instances at once."""
        self.loop.run_until_complete(self._append_together(names[:count], same))

    async def _append_together(self, names: list[str], same: bool) -> None:
        calls = []
        for index, name in enumerate(names):
            calls.append(self._append(name, "p" if same else "pqrs"[index], 20 + index))
        await asyncio.gather(*calls)

    async def _append(self, name: str, entry: str, key: int) -> None:
        change_log = self.fleet.instances[name].change_log
        try:
            version = await change_log.append(team(entry, key), change_log.configuration.version)
        except Conflict:
            return
        except InvalidChange:
            held = change_log.configuration.team_by_key[f"{key:064x}"]
            assert held.name != entry, "a change without a duplicate key was refused"
            return
        except StoreUnavailable as error:
            table = self.fleet.tables[name]
            assert error.effect is not Effect.NONE or not table.reachable, (
                "no effect was reported for a reachable table"
            )
            return
        row = self.fleet.table.rows[change_key(version)]
        assert version not in self.accepted, "two changes were accepted as one version"
        assert decode_delta(row.value).entries == team(entry, key)
        self.accepted[version] = team(entry, key)

    @invariant()
    def check_versions(self) -> None:
        """Check that each instance holds a prefix of the log and its versions only increase."""
        if not hasattr(self, "fleet"):
            return
        states: list[dict] = [{}]
        for row in self.log_rows():
            state = dict(states[-1])
            for (_, name), value in decode_delta(row.value).entries.items():
                state[name] = value["key_sha256"]
            states.append(state)
        for version, entries in self.accepted.items():
            body = self.fleet.table.rows[change_key(version)].value
            assert decode_delta(body).entries == entries, f"accepted change {version} was replaced"
        for instance in self.fleet.instances.values():
            assert instance.versions == sorted(set(instance.versions)), instance.versions
            held = instance.change_log.configuration
            key_by_team = {name: spec.key_sha256 for name, spec in held.teams.items()}
            assert key_by_team == states[held.version], (
                f"version {held.version} differs from the log"
            )
            assert held.team_by_key == {spec.key_sha256: spec for spec in held.teams.values()}
            if instance.change_log.ready and not instance.change_log.confirmed:
                assert held.version > 0, "an instance without a configuration is ready"
