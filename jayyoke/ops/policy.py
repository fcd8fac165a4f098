"""What a policy plug-in is asked and what it declares."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Question:
    """Asks for the order in which engines are to be tried.

    `utilisation` returns the share of the bound or limit that an engine has in use; 1 and more is
    full. `remembered` is the engine that holds `cached_tokens` of the chat, if one is known.
    """

    key: str
    engines: Sequence[str]
    utilisation: Callable[[str], float]
    random: random.Random
    turn: int
    remembered: str = ""
    cached_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Policy:
    """Orders engines; `asks_owner` and `admission` tell which round trips the policy needs."""

    order: Callable[[Question], Sequence[str]]
    asks_owner: bool = False
    admission: bool = False
