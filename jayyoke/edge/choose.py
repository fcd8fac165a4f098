"""Chooses the upstream of a request.

Load it answers: prompts of about 11,000 tokens of which nine tenths are shared by a session. An
engine that has read the shared parts needs about 10 ms for such a prompt, another one 85 ms. So
each session has a home among the engines by rendezvous hashing, which all instances agree on, and
leaves it only while the home carries more than its part. Plain services take the upstream with
the least work.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.message import PromptPart

# An engine beyond this multiple of the mean gets no more while another is below it. The users
# bound it at 2; estimates are up to a second old.
LOAD_FACTOR = 1.5
LOAD_SLACK = 2.0
# How many upstreams of a large plain service are compared for one request.
COMPARED = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describes an upstream that a request may go to.

    `load` is the estimate over all instances, `own` the requests of this instance. `places` is how
    many requests it runs at once, or 0 if that is not known.
    """

    upstream: Upstream
    load: float
    own: int
    places: int
    latency_s: float
    suspended: bool = False


@dataclass(frozen=True, slots=True)
class Choice:
    """Orders the candidates to try; `reason` goes to the log."""

    order: tuple[Candidate, ...]
    reason: str


def find_home_key(parts: Sequence[PromptPart]) -> str:
    """Return the part that requests of one session share: the last but the request's own."""
    if len(parts) < 2:
        return ""
    return parts[-2].id


def choose_upstreams(
    candidates: Sequence[Candidate], home_key: str, engine: bool, source: random.Random
) -> Choice:
    """Return the candidates in the order in which they should be tried."""
    usable = [found for found in candidates if not found.suspended]
    reason = "home" if home_key else "least-work"
    if not usable:
        # Better an upstream in doubt than a refusal.
        usable = list(candidates)
        reason += ",all-suspended"
    if home_key and engine:
        return Choice(_order_by_home(usable, home_key), reason)
    sample = usable if len(usable) <= COMPARED else source.sample(usable, COMPARED)
    work = sorted(sample, key=lambda found: (_estimate_wait(found, engine), source.random()))
    return Choice(tuple(work), reason)


def _order_by_home(candidates: Sequence[Candidate], key: str) -> tuple[Candidate, ...]:
    by_name = {found.upstream.incarnation: found for found in candidates}
    mean = sum(found.load for found in candidates) / len(candidates)
    limit = LOAD_FACTOR * mean + LOAD_SLACK
    ranked = [by_name[name] for name in rank(key, by_name)]
    within = [found for found in ranked if found.load < limit]
    beyond = sorted((f for f in ranked if f.load >= limit), key=lambda found: found.load)
    return tuple(within + beyond)


def _estimate_wait(candidate: Candidate, engine: bool) -> float:
    """Return a measure of the wait: work ahead at the upstream's speed."""
    work = candidate.load if engine else float(candidate.own)
    return (work + 1.0) * max(candidate.latency_s, 0.001)


def has_place(candidate: Candidate) -> bool:
    """Tell whether an upstream runs another request at once, as far as is known."""
    if candidate.places <= 0:
        return True
    return max(candidate.load, float(candidate.own)) < candidate.places
