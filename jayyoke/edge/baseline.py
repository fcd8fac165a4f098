"""Policy plug-ins as baselines with which the entry instances' own placement is compared."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence

from jayyoke.core import registry
from jayyoke.edge.choose import Candidate, Choice
from jayyoke.ops.policy import PlacementQuery

HOME_POLICY = "home"

Ordering = Callable[[Sequence[Candidate], str, random.Random], Choice]


def find_ordering(name: str) -> Ordering | None:
    """Return a function that orders candidates by a policy plug-in, or None for the own policy.

    Raise UnknownPlugin if no module registers the name.
    """
    if name == HOME_POLICY:
        return None
    policy = registry.find_plugin("policy", name)()
    numbers = itertools.count()

    def order(candidates: Sequence[Candidate], key: str, source: random.Random) -> Choice:
        by_name = {found.upstream.incarnation: found for found in candidates}
        query = PlacementQuery(
            key=key,
            engines=sorted(by_name),
            utilisation=lambda engine: by_name[engine].load / max(1, by_name[engine].slots),
            random=source,
            sequence_number=next(numbers),
        )
        return Choice(tuple(by_name[engine] for engine in policy.order(query)), name)

    return order
