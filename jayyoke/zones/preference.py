"""Decides which failure domain a request should stay in or go to.

Designed for deployments where bytes between domains cost money. The text of a prompt of 10,000
tokens has about 40 KB, its cached form 1.6 to 3.3 GB, and computing it takes 75 to 160 ms. So a
request may cross domains, but a cached prompt hardly ever should.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping, Sequence
from typing import TypeVar

from jayyoke.core.entrysettings import HomeScope, ZoneSettings
from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import choose_weighted, score
from jayyoke.zones.load import Described, DomainLoad, find_leaving_share, sum_by_domain

# Requests to a plain service with fewer requests per slot don't wait for one another.
IDLE_PER_SLOT = 0.5
# How many upstreams of other domains are compared with a sample of the own domain's.
FOREIGN_SAMPLE_SIZE = 2
_HASH_RANGE = float(1 << 64)

Candidate = TypeVar("Candidate", bound=Described)


class Zones:
    """Applies a deployment's settings to the requests of an instance in one domain."""

    __slots__ = ("_domain", "_settings", "crossed", "kept")

    def __init__(self, domain: str = "", settings: ZoneSettings | None = None):
        self._domain = domain
        self._settings = settings or ZoneSettings()
        # Requests that were placed in the own domain, and in others.
        self.kept = 0
        self.crossed = 0

    @property
    def plain(self) -> bool:
        """Tell whether requests to plain services prefer the own domain."""
        return self._settings.plain and bool(self._domain)

    def count(self, chosen: Upstream) -> bool:
        """Count a placed request; tell whether it leaves the own domain."""
        crosses = chosen.domain != self._domain
        if crosses:
            self.crossed += 1
        else:
            self.kept += 1
        return crosses

    def find_scope(self, short: bool) -> HomeScope:
        """Return among which engines sessions with short or with long prompts have their home."""
        if not self._domain:
            return HomeScope.ALL
        return self._settings.short_homes if short else self._settings.long_homes

    def find_home_domain(self, key: str, short: bool, usable: Sequence[Described]) -> str:
        """Return the domain whose engines come first for a session, or "" if all are alike."""
        match self.find_scope(short):
            case HomeScope.SESSION:
                return _choose_domain(key, sum_by_domain(usable))
            case HomeScope.OWN:
                loads = sum_by_domain(usable)
                # All instances of a domain give away the same sessions, as far as they agree on
                # the share, so that few engines get a copy of a prompt.
                if (score(key, self._domain) + 0.5) / _HASH_RANGE >= find_leaving_share(
                    loads, self._domain
                ):
                    return self._domain
                loads.pop(self._domain, None)
                return _choose_domain(key, loads)
        return ""

    def sample(
        self, usable: Sequence[Candidate], size: int, source: random.Random, min_per_slot: float
    ) -> tuple[list[Candidate], str]:
        """Return upstreams to compare for a request without a home, and the domain to prefer."""
        loads = sum_by_domain(usable)
        leaving = source.random() < find_leaving_share(loads, self._domain, min_per_slot)
        own = [found for found in usable if found.upstream.domain == self._domain]
        foreign = [found for found in usable if found.upstream.domain != self._domain]
        if leaving and foreign:
            return _draw(foreign, size, source), ""
        few = min(size, FOREIGN_SAMPLE_SIZE) if own else size
        return _draw(own, size, source) + _draw(foreign, few, source), self._domain

    def find_crossing_cost_s(self, preferred: str, upstream: Upstream) -> float:
        """Return the wait that a request accepts rather than go to an upstream's domain."""
        if not preferred or upstream.domain == preferred:
            return 0.0
        return self._settings.crossing_cost_s

    def list_sources(
        self, chosen: Upstream, sources: Iterable[Upstream], prompt_bytes: float
    ) -> list[dict[str, Upstream]]:
        """Return the engines to fetch a cached prompt from, by incarnation, in groups to try.

        Those of the chosen engine's domain come first if sessions have a home in each domain.
        """
        found = {engine.incarnation: engine for engine in sources}
        if not self._domain:
            return [found]
        near = {name: engine for name, engine in found.items() if engine.domain == chosen.domain}
        if prompt_bytes > self._settings.fetch_max_bytes:
            return [near]
        if self._settings.long_homes is HomeScope.OWN:
            return [near, found]
        return [found]


def _choose_domain(key: str, loads: Mapping[str, DomainLoad]) -> str:
    """Return a domain by rendezvous hashing, in proportion to its upstreams."""
    return choose_weighted(key, {name: load.upstreams for name, load in loads.items()}) or ""


def _draw(found: list[Candidate], size: int, source: random.Random) -> list[Candidate]:
    return found if len(found) <= size else source.sample(found, size)
