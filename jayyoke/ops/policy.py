"""Interface of policy plug-ins."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Holds what a policy needs to order the engines for one request.

    `utilisation` returns the share of its bound or limit that an engine uses; at 1 or more it is
    full. `cached_on` is the engine known to cache `cached_tokens` of the chat, or empty.
    `sequence_number` is the number of the decision, for policies that take engines in rotation.
    """

    key: str
    engines: Sequence[str]
    utilisation: Callable[[str], float]
    random: random.Random
    sequence_number: int
    cached_on: str = ""
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """Orders engines to try.

    `asks_owner` means that a chat's owner decides, `admission` that the steward reserves the work.
    """

    order: Callable[[PlacementQuery], Iterable[str]]
    asks_owner: bool = False
    admission: bool = False
