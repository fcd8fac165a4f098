"""Chooses the upstream of a request.

Load it answers: prompts of about 11,000 tokens of which nine tenths are shared by a session. An
engine that has read the shared parts needs about 10 ms for such a prompt, another one 85 ms. So
each session has a home among the engines by rendezvous hashing, which all instances agree on, and
leaves it only while the home carries more than its part. Plain services take the upstream with the
least work.

The load limit leaves engines out and does not only put them last: with one engine left, whatever
the reason, that engine would get everything. Requests wait for room or are refused instead.

Where few of a service's engines may be used, as while half of them have a version on trial, their
usual load is near the bound. No estimate is good enough to tell them apart there, and instances
that heard the same would act alike. Each instance then spreads its own requests evenly, which
keeps their sum even without a message. An instance with few requests has nothing to spread.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import rank_weighted
from jayyoke.platform.message import PromptPart

# An engine beyond this part of the users' bound on load over the mean, and the slack, gets no more.
# Their bound allows 3 more; estimates are some seconds old.
LOAD_PART = 0.85
LOAD_SLACK = 2.5
# The users' bound itself, which counts the request that is to be placed.
BOUND_SLACK = 3.0
# The bound is near if it lies within this many standard deviations of a Poisson count at the mean.
# With a factor of 2, it never is while all engines may be used: (m + 3) / sqrt(m + 1) > 2.8.
NEAR_DEVIATIONS = 2.7
# An instance with fewer requests of its own for each engine leaves sessions at their homes.
LEAST_OWN_REQUESTS = 0.3
# Requests with few shared tokens leave a loaded home first, since they lose least by it.
SMALL_LOAD_PART = 0.575
SMALL_LOAD_SLACK = 1.0
SMALL_PROMPT_TOKENS = 3000
# A new engine draws homes over some seconds, so that its first requests do not all come with
# prompts that it has to fetch. Longer ramps leave it idle while others exceed the load bound.
FIRST_HOME_WEIGHT = 0.3
HOME_RAMP_S = 20.0
# Engines that started together, as after a loss of power, share the homes from the start.
SAME_AGE_S = 15.0
# How many upstreams of a large plain service are compared for one request.
COMPARED = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describes an upstream that a request may go to.

    `load` is the estimate over all instances, `own` the requests of this instance. `places` is how
    many requests it runs at once, or 0 if that is not known. `suspended` tells that it failed
    lately, `unreachable` that its whole domain seems to be. `age_s` is the time since its start,
    `load_age_s` that since the load was reported, or None if it never was.
    """

    upstream: Upstream
    load: float
    own: int
    places: int
    latency_s: float
    suspended: bool = False
    unreachable: bool = False
    age_s: float = HOME_RAMP_S
    load_age_s: float | None = None


@dataclass(frozen=True, slots=True)
class Choice:
    """Orders the candidates to try; engines beyond the users' bound on load are left out.

    Engines of `limit` or more requests come last, the least loaded first. `limit` is None if loads
    did not decide. `suspended` counts the candidates in doubt.
    """

    order: tuple[Candidate, ...]
    reason: str
    limit: float | None = None
    suspended: int = 0


def find_home_key(parts: Sequence[PromptPart]) -> str:
    """Return the part that requests of one session share: the last but the request's own."""
    if len(parts) < 2:
        return ""
    return parts[-2].id


def count_shared_tokens(parts: Sequence[PromptPart]) -> int:
    """Return the tokens of a prompt that other requests have too."""
    return sum(part.tokens for part in parts[:-1])


def choose_upstreams(
    candidates: Sequence[Candidate],
    home_key: str,
    shared_tokens: int,
    engine: bool,
    source: random.Random,
    load_factor: float,
    mean_load: float,
    repeatable: bool,
) -> Choice:
    """Return the candidates in the order in which they should be tried.

    `load_factor` is the users' bound on an engine's load over the mean of its service, `mean_load`
    that mean over all live engines, also those that the request may not use. A request that is not
    `repeatable` is not risked at an engine in doubt while others live.
    """
    reason = "home" if home_key else "least-work"
    usable = [found for found in candidates if not (found.suspended or found.unreachable)]
    suspended = len(candidates) - len(usable)
    doubted = [found for found in candidates if found.suspended and not found.unreachable]
    if not usable:
        # Better an upstream in doubt than a refusal.
        usable, doubted = list(candidates), []
        reason += ",all-suspended"
    if not engine:
        return Choice(_order_by_wait(usable, engine, source), reason, None, suspended)
    near = _is_bound_near(usable, load_factor, mean_load)
    margin, slack = (1.0, BOUND_SLACK - 1.0) if near else (LOAD_PART, LOAD_SLACK)
    limit = margin * load_factor * mean_load + slack
    usable = [found for found in usable if found.load < limit]
    if not usable and repeatable:
        usable = [found for found in doubted if found.load < limit]
        reason += ",rest-loaded"
    own = sum(found.own for found in usable)
    if near and own >= LEAST_OWN_REQUESTS * len(usable):
        return Choice(_order_by_own(usable, home_key), reason + ",even", limit, suspended)
    if not home_key:
        return Choice(_order_by_wait(usable, engine, source), reason, limit, suspended)
    if shared_tokens < SMALL_PROMPT_TOKENS:
        limit = SMALL_LOAD_PART * load_factor * mean_load + SMALL_LOAD_SLACK
    return Choice(_order_by_home(usable, home_key, limit), reason, limit, suspended)


def _is_bound_near(usable: Sequence[Candidate], load_factor: float, mean_load: float) -> bool:
    """Tell whether the engines that can be used have their usual load near the users' bound."""
    usual = max(mean_load, sum(found.load for found in usable) / max(1, len(usable)))
    room = load_factor * mean_load + BOUND_SLACK - usual
    return room < NEAR_DEVIATIONS * math.sqrt(usual + 1.0)


def _order_by_own(candidates: Sequence[Candidate], key: str) -> tuple[Candidate, ...]:
    """Return those with the fewest requests of this instance first, homes before others."""
    return tuple(sorted(rank_homes(key, candidates), key=lambda found: found.own))


def _order_by_wait(
    candidates: Sequence[Candidate], engine: bool, source: random.Random
) -> tuple[Candidate, ...]:
    """Return some of the candidates, those with the shortest wait first."""
    sample = candidates if len(candidates) <= COMPARED else source.sample(candidates, COMPARED)
    return tuple(sorted(sample, key=lambda found: (_estimate_wait(found, engine), source.random())))


def _order_by_home(
    candidates: Sequence[Candidate], key: str, limit: float
) -> tuple[Candidate, ...]:
    ranked = rank_homes(key, candidates)
    within = [found for found in ranked if found.load < limit]
    beyond = sorted((f for f in ranked if f.load >= limit), key=lambda found: found.load)
    return tuple(within + beyond)


def rank_homes(key: str, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the engines in the order in which they are the home of a session."""
    by_name = {found.upstream.incarnation: found for found in candidates}
    oldest_s = max((found.age_s for found in candidates), default=0.0)
    weights = {name: _weigh_home(found.age_s, oldest_s) for name, found in by_name.items()}
    return [by_name[name] for name in rank_weighted(key, weights)]


def find_former_home(key: str, candidates: Sequence[Candidate], chosen: str) -> Upstream | None:
    """Return the engine that was a session's home before a new one came.

    With rendezvous hashing this is the next one in the order. None is returned if the chosen
    engine is none of the new ones.
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
    """Return a weight that grows with an engine's age by the time of day, which all agree on."""
    if oldest_s - age_s < SAME_AGE_S:
        return 1.0
    return min(1.0, max(FIRST_HOME_WEIGHT, age_s / HOME_RAMP_S))


def _estimate_wait(candidate: Candidate, engine: bool) -> float:
    """Return a measure of the wait: work ahead at the upstream's speed."""
    work = candidate.load if engine else float(candidate.own)
    return (work + 1.0) * max(candidate.latency_s, 0.001)


def has_place(candidate: Candidate) -> bool:
    """Tell whether an upstream runs another request at once, as far as is known."""
    if candidate.places <= 0:
        return True
    return max(candidate.load, float(candidate.own)) < candidate.places
