"""Policy plug-ins as baselines with which the entry instances' own placement is compared."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence

from jayyoke.core import kernel
from jayyoke.edge.choose import Candidate, Choice
from jayyoke.ops.policy import Question

OWN_POLICY = "home"

Ordering = Callable[[Sequence[Candidate], str, random.Random], Choice]


def find_order(name: str) -> Ordering | None:
    """Return a function that orders candidates by a policy plug-in, or None for the own policy.

    Raise UnknownPlugin if no module registers the name.
    """
    if name == OWN_POLICY:
        return None
    policy = kernel.find("policy", name)()
    turns = itertools.count()

    def order(candidates: Sequence[Candidate], key: str, source: random.Random) -> Choice:
        by_name = {found.upstream.incarnation: found for found in candidates}
        question = Question(
            key=key,
            engines=sorted(by_name),
            utilisation=lambda engine: by_name[engine].load / max(1, by_name[engine].slots),
            random=source,
            turn=next(turns),
        )
        return Choice(tuple(by_name[engine] for engine in policy.order(question)), name)

    return order
