"""Fuzz model of failure domains: `out` reaches everyone connected, `back` is not undone."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import rule

from bench.controlfleet import NAMES, FleetMachine
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.ops.change import decode_delta
from jayyoke.ops.changelog_test import DOMAINS, LossyPeers

# A round without loss counts as much as several with loss: the bounds are 3 and 12 heartbeats.
# Twelve heartbeats of which 0.3 are lost are all lost with a probability of 5e-7.
SPREAD_WEIGHT = 12
WEIGHT_WITHOUT_LOSS = 4


@dataclass(slots=True)
class Answered:
    """Records an answered `out` or `back`, and who must know of it by now."""

    domain: str
    out: bool
    logged: bool
    knowers: set[str]
    weights: dict[str, int] = field(default_factory=dict)


class DomainsMachine(FleetMachine):
    """Compares the domains out at each instance with the operators' answered commands."""

    def __init__(self) -> None:
        super().__init__()
        self.answered: list[Answered] = []

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS))
    def take_out(self, name: str, domain: str) -> None:
        """Let an operator take a domain out at an instance."""
        # An `out` without an answer may take effect at any later time.
        self._drop(domain, out=False)
        try:
            work = self.fleet.instances[name].domains.take_out(domain)
            version = self.loop.run_until_complete(work)
        except Conflict:
            return
        self.answered.append(Answered(domain, True, version is not None, {name}))

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS))
    def bring_back(self, name: str, domain: str) -> None:
        """Let an operator bring a domain back at an instance."""
        # A `back` without an answer may take effect; the state is open until the next answer.
        self._drop(domain, out=True)
        complete = not self._has_unknown_drain(name, domain)
        try:
            work = self.fleet.instances[name].domains.bring_back(domain)
            version = self.loop.run_until_complete(work)
        except (Conflict, StoreUnavailable):
            self._drop(domain, out=False)
            return
        # A drain that was unknown where `back` was accepted survives it, as is documented.
        if complete and (version is not None or not self._is_out_in_log(domain)):
            self.answered.append(Answered(domain, False, version is not None, {name}))

    @rule(name=st.sampled_from(NAMES), domain=st.sampled_from(DOMAINS), seconds=st.integers(0, 6))
    def out_and_back_in_outage(self, name: str, domain: str, seconds: int) -> None:
        """Take a domain out and bring it back while the platform is down."""
        self.fleet.table.down = True
        self.take_out(name, domain)
        self.tick(seconds)
        self.bring_back(name, domain)
        self.tick(4)
        self.fleet.table.down = False

    def _drop(self, domain: str, out: bool) -> None:
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
        for row in self.rows():
            for (section, name), value in decode_delta(row.value).entries.items():
                if (section, name) == ("domains_out", domain):
                    out = value is not None
        return out

    def _component(self, starts: set[str]) -> set[str]:
        found = set(starts)
        open_ = list(starts)
        while open_:
            one = open_.pop()
            for other in NAMES:
                if other not in found and self.fleet.hub.connects(one, other):
                    found.add(other)
                    open_.append(other)
        return found

    def after_tick(self) -> None:
        """Check every answered command at the instances that must know it by now."""
        gained = WEIGHT_WITHOUT_LOSS if LossyPeers.loss == 0.0 else 1
        for command in list(self.answered):
            reached = self._component(command.knowers)
            for name in NAMES:
                if name not in reached:
                    command.weights.pop(name, None)
                    continue
                command.weights[name] = command.weights.get(name, 0) + gained
                if command.weights[name] >= SPREAD_WEIGHT:
                    command.knowers.add(name)
            if self._is_open(command):
                self.answered.remove(command)
                continue
            self._check(command)

    def _is_open(self, command: Answered) -> bool:
        """Tell whether nobody knows a command any more, or the log may hold its opposite."""
        if not command.knowers:
            return True
        if command.out or command.logged or len(command.knowers) == len(NAMES):
            return False
        # An instance that the withdrawal has not reached may write the drain to the log.
        return any(view.reachable for view in self.fleet.tables.values())

    def _check(self, command: Answered) -> None:
        for name in command.knowers:
            out = command.domain in self.fleet.instances[name].domains.domains_out()
            assert out == command.out, f"{name}: {command} does not hold"

    def after_restart(self, name: str) -> None:
        """Forget what the instance knew."""
        for command in self.answered:
            command.knowers.discard(name)
            command.weights.pop(name, None)
