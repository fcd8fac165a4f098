"""Orders the upstreams that a request may be sent to.

Designed for prompts of about 11,000 tokens of which nine tenths are shared by a session. An engine
that has the shared parts in its prefix cache needs about 10 ms for such a prompt, another one
85 ms. So rendezvous hashing gives each session a home engine, the same on all instances, and its
requests go elsewhere only while the home is above the load limit. Plain services use the upstream
with the least work. A home that is slow for a moment is left where that gains time; its sessions
then go to the next engines of their rankings, which differ, so that none gets them all.

Engines above the load limit are left out and not only put last: otherwise the last usable engine
would get all requests. Requests wait for a free slot or are refused instead.

If few of a service's engines may be used, for instance while half of them have a version on trial,
their mean load is near the bound. Estimates are too coarse to tell the engines apart there, and
instances with the same reports would choose the same engine. Each instance then spreads its own
requests evenly, which keeps the sum over all instances even without messages. An instance with few
requests has nothing to spread.
"""

from __future__ import annotations

import itertools
import math
import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import rank_weighted
from jayyoke.pace.figure import SLOW, Figure
from jayyoke.pace.latency import LastAnswer, estimate_latency_s
from jayyoke.pace.leave import find_move_cost_s, should_leave
from jayyoke.platform.message import PromptPart
from jayyoke.zones.preference import IDLE_PER_SLOT, Zones

# An engine above this fraction of the users' bound on load over the mean, plus the slack, gets no
# more requests. It is below their bound, whose slack is 3, since estimates are some seconds old.
LOAD_FRACTION = 0.85
LOAD_SLACK = 2.5
# Slack of the users' bound, which includes the request to be placed.
BOUND_SLACK = 3.0
# The bound is near if it lies within this many standard deviations of a Poisson count at the mean.
# With a load factor of 2 it is not while all engines may be used: (m + 3) / sqrt(m + 1) > 2.8.
NEAR_DEVIATIONS = 2.7
# An instance with fewer own requests per engine sends sessions to their homes.
MIN_OWN_REQUESTS = 0.3
# Requests with few shared tokens leave a loaded home at a lower load, since they lose least.
SMALL_LOAD_FRACTION = 0.575
SMALL_LOAD_SLACK = 1.0
SMALL_PROMPT_TOKENS = 3000
# A new engine becomes the home of sessions gradually, so that its first requests do not all have
# prompts that it has to fetch. Longer ramps leave it idle while others exceed the load bound.
INITIAL_HOME_WEIGHT = 0.3
HOME_RAMP_S = 20.0
# Engines that started together, as after a power failure, have full weight from the start.
SAME_AGE_S = 15.0
# How many upstreams of a large plain service are compared for one request.
SAMPLE_SIZE = 4
# Over how many engines the requests of a session are spread that find their home full. Each of
# them computes the prompt anew.
SPREAD_CHOICES = 8
# How many of them tell what is usual.
USUAL_SAMPLE_SIZE = 32
_NO_ZONES = Zones()


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describes an upstream that a request may go to.

    `load` is the estimated number of requests of all instances, `own` that of this instance.
    `slots` is how many requests it runs at once, or 0 if unknown. `suspended` is set after recent
    failures, `unreachable` while requests should avoid its whole domain. `age_s` is the time since
    its start, `load_age_s` that since its last load report, or None without one. `slowness` is
    how many times longer work takes there now than at the others, by `figure` if that is known.
    """

    upstream: Upstream
    load: float
    own: int
    slots: int
    latency_s: float
    suspended: bool = False
    unreachable: bool = False
    age_s: float = HOME_RAMP_S
    load_age_s: float | None = None
    slowness: float = 1.0
    figure: Figure | None = None
    last_answer: LastAnswer | None = None


class SpreadOrder(Protocol):
    """Orders engines for requests that do not go to their home."""

    @property
    def useful(self) -> bool:
        """Tell whether requests that find their home full should be spread."""
        ...

    def is_starting(self, candidates: Sequence[Candidate]) -> bool:
        """Tell whether short prompts should not go home, since loads are not known yet."""
        ...

    def order(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates in the order to try."""
        ...


@dataclass(frozen=True, slots=True)
class Choice:
    """Holds the candidates in the order to try; engines beyond the users' load bound are left out.

    Engines with `limit` or more requests come last, the least loaded first. `limit` is None if
    loads did not decide. `suspended` counts the suspended and unreachable candidates.
    """

    order: tuple[Candidate, ...]
    reason: str
    limit: float | None = None
    suspended: int = 0

    @property
    def avoids_slow(self) -> bool:
        """Tell whether the first upstream was passed over since it is slow for a moment."""
        return ",slow" in self.reason


def find_home_key(parts: Sequence[PromptPart]) -> str:
    """Return the id of the last part that requests of a session share, or an empty string.

    The last part of a prompt belongs to the request alone.
    """
    if len(parts) < 2:
        return ""
    return parts[-2].id


def count_shared_tokens(parts: Sequence[PromptPart]) -> int:
    """Return how many tokens of a prompt other requests may have too."""
    return sum(part.tokens for part in parts[:-1])


def list_shared_parts(parts: Sequence[PromptPart]) -> list[str]:
    """Return the ids of the parts of a prompt that other requests may have too."""
    return [part.id for part in parts[:-1]]


def choose_upstreams(
    candidates: Sequence[Candidate],
    home_key: str,
    shared_tokens: int,
    engine: bool,
    source: random.Random,
    load_factor: float,
    mean_load: float,
    repeatable: bool,
    zones: Zones = _NO_ZONES,
    spread: SpreadOrder | None = None,
    fetches: bool = False,
) -> Choice:
    """Return the candidates in the order in which they should be tried.

    `load_factor` is the users' bound on an engine's load over the mean of its service, `mean_load`
    that mean over all live engines, also those that the request may not use. A request that is not
    `repeatable` goes to a suspended engine only if no other is left. `spread` orders engines for
    requests with few shared tokens that do not go to their home: all of them when traffic begins,
    later only those whose home is full. `fetches` is set if engines fetch prompts from others.
    `zones` decides whether the candidates of a failure domain come first.
    """
    reason = "home" if home_key else "least-work"
    usable = [found for found in candidates if not (found.suspended or found.unreachable)]
    suspended = len(candidates) - len(usable)
    fallback = [found for found in candidates if found.suspended and not found.unreachable]
    if not usable:
        # Trying a suspended upstream is better than refusing the request.
        usable, fallback = list(candidates), []
        reason += ",all-suspended"
    if not engine:
        return Choice(_order_plain(usable, source, zones), reason, None, suspended)
    short = shared_tokens < SMALL_PROMPT_TOKENS
    home_domain = zones.find_home_domain(home_key, short, usable) if home_key else ""
    near = _is_bound_near(usable, load_factor, mean_load)
    reachable = usable
    margin, slack = (1.0, BOUND_SLACK - 1.0) if near else (LOAD_FRACTION, LOAD_SLACK)
    limit = margin * load_factor * mean_load + slack
    usable = [found for found in usable if found.load < limit]
    if not usable and repeatable:
        usable = reachable = [found for found in fallback if found.load < limit]
        reason += ",rest-loaded"
    own = sum(found.own for found in usable)
    if near and own >= MIN_OWN_REQUESTS * len(usable):
        return Choice(_order_by_own(usable, home_key), reason + ",even", limit, suspended)
    if not home_key:
        return Choice(_order_by_wait(usable, engine, source), reason, limit, suspended)
    ranked = rank_homes(home_key, reachable)
    if home_domain:
        ranked.sort(key=lambda found: found.upstream.domain != home_domain)
    order = [found for found in ranked if found.load < limit]
    if short:
        limit = SMALL_LOAD_FRACTION * load_factor * mean_load + SMALL_LOAD_SLACK
    within = [found for found in order if found.load < limit]
    beyond = sorted((f for f in order if f.load >= limit), key=lambda found: found.load)
    away = short and bool(ranked) and ranked[0].load >= limit
    slow = _find_slow(within, ranked, find_move_cost_s(shared_tokens, fetches))
    if slow:
        names = {found.upstream.incarnation for found in slow}
        if within[0].upstream.incarnation in names:
            reason += ",slow"
        within = [found for found in within if found.upstream.incarnation not in names]
    starting = short and spread is not None and spread.is_starting(candidates)
    if within and spread is not None and spread.useful and (away or starting):
        # Without the slow engines, whose neighbours would get their requests too.
        count = len(within) if starting else SPREAD_CHOICES
        within = spread.order(within[:count]) + within[count:]
        reason += ",spread"
    return Choice((*within, *slow, *beyond), reason, limit, suspended)


def _find_slow(
    within: Sequence[Candidate], ranked: Sequence[Candidate], move_cost_s: float
) -> list[Candidate]:
    """Return the engines that a session's request should avoid since they are slow for a moment.

    Only the home has the prompt; an engine that started lately has not.
    """
    if all(found.slowness < SLOW for found in within):
        return []
    work_s = statistics.median(found.latency_s for found in within)
    slow = []
    for found in within:
        cached = found is ranked[0] and found.age_s >= HOME_RAMP_S
        if should_leave(found.slowness, work_s, move_cost_s if cached else 0.0):
            slow.append(found)
    slow.sort(key=lambda found: found.slowness)
    return slow


def _is_bound_near(usable: Sequence[Candidate], load_factor: float, mean_load: float) -> bool:
    """Tell whether the mean load of the usable engines is near the users' bound."""
    mean = max(mean_load, sum(found.load for found in usable) / max(1, len(usable)))
    room = load_factor * mean_load + BOUND_SLACK - mean
    return room < NEAR_DEVIATIONS * math.sqrt(mean + 1.0)


def _order_by_own(candidates: Sequence[Candidate], key: str) -> tuple[Candidate, ...]:
    """Return the candidates by own requests, the fewest first; homes decide among equals."""
    return tuple(sorted(rank_homes(key, candidates), key=lambda found: found.own))


def _order_by_wait(
    candidates: Sequence[Candidate], engine: bool, source: random.Random
) -> tuple[Candidate, ...]:
    """Return some of the candidates, those with the shortest wait first."""
    sample = (
        candidates if len(candidates) <= SAMPLE_SIZE else source.sample(candidates, SAMPLE_SIZE)
    )
    usual_s = 0.0 if engine else _find_usual_latency_s(candidates)
    return tuple(
        sorted(sample, key=lambda found: (_estimate_wait(found, usual_s, engine), source.random()))
    )


def _find_usual_latency_s(candidates: Sequence[Candidate]) -> float:
    """Return the median answer time of the upstreams that have answered, or 0 if none has."""
    answered = (found for found in candidates if found.last_answer is not None)
    known_s = [found.latency_s for found in itertools.islice(answered, USUAL_SAMPLE_SIZE)]
    return statistics.median(known_s) if known_s else 0.0


def _order_plain(
    candidates: Sequence[Candidate], source: random.Random, zones: Zones
) -> tuple[Candidate, ...]:
    """Return some upstreams of a plain service, those with the shortest wait first."""
    if not zones.plain:
        return _order_by_wait(candidates, False, source)
    sample, preferred = zones.sample(candidates, SAMPLE_SIZE, source, IDLE_PER_SLOT)
    usual_s = _find_usual_latency_s(candidates)

    def find_cost_s(found: Candidate) -> float:
        crossing_s = zones.find_crossing_cost_s(preferred, found.upstream)
        return _estimate_wait(found, usual_s, False) + crossing_s

    return tuple(sorted(sample, key=lambda found: (find_cost_s(found), source.random())))


def rank_homes(key: str, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the engines by their rendezvous rank for a session; the first is its home."""
    by_name = {found.upstream.incarnation: found for found in candidates}
    oldest_s = max((found.age_s for found in candidates), default=0.0)
    weights = {name: _weigh_home(found.age_s, oldest_s) for name, found in by_name.items()}
    return [by_name[name] for name in rank_weighted(key, weights)]


def find_former_home(key: str, candidates: Sequence[Candidate], chosen: str) -> Upstream | None:
    """Return the engine that was a session's home before the chosen one started.

    With rendezvous hashing this is the next one in the ranking. Return None if the chosen engine
    is not a new one.
    """
    oldest_s = max((found.age_s for found in candidates), default=0.0)
    for found in candidates:
        if found.upstream.incarnation == chosen and oldest_s - found.age_s < SAME_AGE_S:
            return None
    for found in rank_homes(key, candidates):
        if found.upstream.incarnation != chosen:
            return found.upstream
    return None


def _weigh_home(age_s: float, oldest_s: float) -> float:
    """Return a weight that grows with an engine's age by wall clock, the same on all instances."""
    if oldest_s - age_s < SAME_AGE_S:
        return 1.0
    return min(1.0, max(INITIAL_HOME_WEIGHT, age_s / HOME_RAMP_S))


def _estimate_wait(candidate: Candidate, usual_s: float, engine: bool) -> float:
    """Return a measure of the wait: requests ahead times the upstream's latency now."""
    work = candidate.load if engine else float(candidate.own)
    last = candidate.last_answer
    if engine or last is None:
        return (work + 1.0) * max(candidate.latency_s, 0.001) * candidate.slowness
    latency_s = estimate_latency_s(candidate.latency_s, last, usual_s, candidate.slowness)
    return (work + 1.0) * max(latency_s, 0.001)


def has_free_slot(candidate: Candidate) -> bool:
    """Tell whether an upstream has a free slot, as far as is known."""
    if candidate.slots <= 0:
        return True
    return max(candidate.load, float(candidate.own)) < candidate.slots
