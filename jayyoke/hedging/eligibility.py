"""Which requests may be hedged, at both front doors.

Load addressed: services of which a few answers are much slower than the others.
"""

from __future__ import annotations

from jayyoke.core.config import ClassKind, ClassSpec
from jayyoke.core.route import Route, RouteKind


def may_hedge_class(spec: ClassSpec) -> bool:
    """Tell whether requests of a class of `jayyoked` may be hedged."""
    return spec.kind is ClassKind.LOOKUP and spec.max_repeats >= 1


def may_hedge_route(route: Route, events: int) -> bool:
    """Tell whether a call of an entry's route may be hedged after so many events of its stream."""
    if not route.repeatable or route.attempts < 2:
        return False
    return route.kind is not RouteKind.STREAM or events == 0
