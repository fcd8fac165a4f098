"""Sums the load of a service's upstreams by failure domain, and tells what a domain gives away.

Designed for waves of demand that move between domains every 11 to 15 s, and for many instances that
decide alike by figures up to 0.6 s old. A domain gives away a share of its requests that grows with
its load, and not all of them at once, so that instances with the same figures don't overload
another domain together.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from jayyoke.core.upstream import Upstream

# A domain keeps its requests until it has this much more load than the others have per slot, and
# one request per upstream beyond that.
TOLERANCE = 0.15
SLACK_REQUESTS = 1.0
# With a larger gain, the share that leaves oscillates if figures are 0.6 s old.
GAIN = 1.5
# A domain of which fewer slots are left than this fraction of the others' mean gives requests away
# before its load shows it: its demand did not fall with its capacity.
MIN_CAPACITY_FRACTION = 0.5


class Described(Protocol):
    """What the decisions need to know of an upstream."""

    @property
    def upstream(self) -> Upstream:
        """Return its record."""

    @property
    def load(self) -> float:
        """Return its estimated requests of all instances."""

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once."""


@dataclass(slots=True)
class DomainLoad:
    """Holds the sums over the usable upstreams of a domain."""

    upstreams: int = 0
    slots: float = 0.0
    requests: float = 0.0

    @property
    def per_slot(self) -> float:
        """Return the requests per slot."""
        return self.requests / max(1.0, self.slots)


def sum_by_domain(candidates: Iterable[Described]) -> dict[str, DomainLoad]:
    """Return the load of each domain that has usable upstreams."""
    found: dict[str, DomainLoad] = {}
    for candidate in candidates:
        domain = found.get(candidate.upstream.domain)
        if domain is None:
            domain = found[candidate.upstream.domain] = DomainLoad()
        domain.upstreams += 1
        domain.slots += candidate.slots
        domain.requests += candidate.load
    return found


def find_leaving_share(
    loads: Mapping[str, DomainLoad], domain: str, min_per_slot: float = 0.0
) -> float:
    """Return the share of a domain's requests that go to other domains, from 0 to 1.

    None leave while the domain has fewer than `min_per_slot` requests per slot, since they would
    not wait there.
    """
    own = loads.get(domain)
    if own is None:
        return 1.0
    others = [load for name, load in loads.items() if name != domain]
    if not others:
        return 0.0
    slots = sum(load.slots for load in others)
    capacity = own.slots / max(1.0, MIN_CAPACITY_FRACTION * slots / len(others))
    lost = max(0.0, 1.0 - capacity)
    elsewhere = sum(load.requests for load in others) / max(1.0, slots)
    slack = SLACK_REQUESTS * own.upstreams / max(1.0, own.slots)
    kept = max(min_per_slot, (1.0 + TOLERANCE) * elsewhere + slack)
    if own.per_slot <= kept:
        return lost
    return min(1.0, max(lost, GAIN * (1.0 - kept / own.per_slot)))
