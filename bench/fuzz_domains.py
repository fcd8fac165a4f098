"""Fuzz model of failure domains: `out` reaches every connected instance, `back` lasts."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import rule

from bench.controlfleet import NAMES, FleetMachine
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.ops.change import decode_delta
from jayyoke.ops.changelog_test import DOMAINS, LossyPeers

# A command must reach a connected instance within 12 heartbeats, or within 3 while none is lost: a
# heartbeat without loss counts as four. Twelve heartbeats, each lost with a probability of 0.3, are
# all lost with one of 5e-7.
SPREAD_WEIGHT = 12
WEIGHT_WITHOUT_LOSS = 4


@dataclass(slots=True)
class AnsweredCommand:
    """Records an answered `out` or `back` and the instances that must know of it by now."""

    domain: str
    out: bool
    logged: bool
    informed: set[str]
    weights: dict[str, int] = field(default_factory=dict)


class DomainsMachine(FleetMachine):
    """Compares the domains out at each instance with the operators' answered commands."""

    def __init__(self) -> None:
        super().__init__()
        self.answered: list[AnsweredCommand] = []

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS))
    def take_out(self, name: str, domain: str) -> None:
        """Let an operator take a domain out at an instance."""
        # An `out` without an answer may take effect at any later time.
        self._forget(domain, out=False)
        try:
            work = self.fleet.instances[name].domains.take_out(domain)
            version = self.loop.run_until_complete(work)
        except Conflict:
            return
        self.answered.append(AnsweredCommand(domain, True, version is not None, {name}))

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS))
    def bring_back(self, name: str, domain: str) -> None:
        """Let an operator bring a domain back at an instance."""
        # A `back` without an answer may take effect; the state is open until the next answer.
        self._forget(domain, out=True)
        knows_all_drains = not self._has_unknown_drain(name, domain)
        try:
            work = self.fleet.instances[name].domains.bring_back(domain)
            version = self.loop.run_until_complete(work)
        except (Conflict, StoreUnavailable):
            self._forget(domain, out=False)
            return
        # A drain unknown to the instance that accepted `back` stays in effect, as documented.
        if knows_all_drains and (version is not None or not self._is_out_in_log(domain)):
            self.answered.append(AnsweredCommand(domain, False, version is not None, {name}))

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS), seconds=st.integers(0, 6))
    def out_and_back_in_outage(self, name: str, domain: str, seconds: int) -> None:
        """Take a domain out and bring it back while the platform is down."""
        self.fleet.table.down = True
        self.take_out(name, domain)
        self.tick(seconds)
        self.bring_back(name, domain)
        self.tick(4)
        self.fleet.table.down = False

    def _forget(self, domain: str, out: bool) -> None:
        self.answered = [a for a in self.answered if (a.domain, a.out) != (domain, out)]

    def _has_unknown_drain(self, name: str, domain: str) -> bool:
        domains = self.fleet.instances[name].domains
        known = domains._interim.keys() | domains._change_log.configuration.drains
        for instance in self.fleet.instances.values():
            for key, drain in instance.domains._interim.items():
                if drain.domain == domain and drain.out and key not in known:
                    return True
        return False

    def _is_out_in_log(self, domain: str) -> bool:
        out = False
        for row in self.log_rows():
            for (section, name), value in decode_delta(row.value).entries.items():
                if (section, name) == ("domains_out", domain):
                    out = value is not None
        return out

    def _list_connected(self, origins: set[str]) -> set[str]:
        connected = set(origins)
        unvisited = list(origins)
        while unvisited:
            one = unvisited.pop()
            for other in NAMES:
                if other not in connected and self.fleet.hub.connects(one, other):
                    connected.add(other)
                    unvisited.append(other)
        return connected

    def after_tick(self) -> None:
        """Check every answered command at the instances that must know it by now."""
        weight = WEIGHT_WITHOUT_LOSS if LossyPeers.loss == 0.0 else 1
        for command in list(self.answered):
            reached = self._list_connected(command.informed)
            for name in NAMES:
                if name not in reached:
                    command.weights.pop(name, None)
                    continue
                command.weights[name] = command.weights.get(name, 0) + weight
                if command.weights[name] >= SPREAD_WEIGHT:
                    command.informed.add(name)
            if self._is_undetermined(command):
                self.answered.remove(command)
                continue
            self._check(command)

    def _is_undetermined(self, command: AnsweredCommand) -> bool:
        """Tell whether no instance knows a command any more, or the log may hold its opposite."""
        if not command.informed:
            return True
        if command.out or command.logged or len(command.informed) == len(NAMES):
            return False
        # An instance that `back` has not reached may still write the drain to the log.
        return any(access.reachable for access in self.fleet.tables.values())

    def _check(self, command: AnsweredCommand) -> None:
        for name in command.informed:
            out = command.domain in self.fleet.instances[name].domains.domains_out()
            assert out == command.out, f"{name}: {command} does not hold"

    def after_restart(self, name: str) -> None:
        """Remove the instance from those that know of commands."""
        for command in self.answered:
            command.informed.discard(name)
            command.weights.pop(name, None)
