"""Finds an engine from which the chosen one can fetch the cached part of a prompt.

Designed for sessions of 10,000 shared tokens that move to another engine. Fetching a prompt costs a
tenth of computing it again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence

from jayyoke.core.upstream import Upstream
from jayyoke.edge.choose import (
    Candidate,
    count_shared_tokens,
    find_former_home,
    find_home_key,
    rank_homes,
)
from jayyoke.edge.promptmemory import PromptMemory
from jayyoke.platform.message import PromptPart
from jayyoke.zones.preference import Zones


class PromptLocator:
    """Tells which engines have a prompt: by own placements, or else by rendezvous hashing."""

    __slots__ = ("_describe", "_memory")

    def __init__(self, describe: Callable[[Upstream, float], Candidate]):
        self._describe = describe
        self._memory = PromptMemory()

    def record(self, parts: Sequence[PromptPart], chosen: Upstream, now_s: float) -> None:
        """Record that an engine gets a prompt, without the part that only this request has."""
        self._memory.record([part.id for part in parts[:-1]], chosen.incarnation, now_s)

    def find_address(
        self,
        parts: Sequence[PromptPart],
        key: str,
        chosen: Upstream,
        sources: Mapping[str, Upstream],
        now_s: float,
    ) -> str:
        """Return the address of an engine that has more of the prompt than the chosen one.

        `key` is the id of the part that determines the session's home; `sources` are the engines
        that can be fetched from, by incarnation. Return an empty string if there is none.
        """
        for part in (key, *(part.id for part in reversed(parts[:-2]))):
            holders = self._memory.find(part, now_s)
            if part == key and not holders:
                described = [self._describe(found, now_s) for found in sources.values()]
                holders = _guess_holders(key, described, chosen)
            if chosen.incarnation in holders:
                continue
            for name in holders:
                if name in sources:
                    return sources[name].address
        return ""

    def find_source(
        self,
        parts: Sequence[PromptPart],
        chosen: Upstream,
        token_bytes: float,
        sources: Iterable[Upstream],
        zones: Zones,
        now_s: float,
    ) -> str:
        """Return the address of the engine to fetch the prompt from, or an empty string.

        `token_bytes` is the size of a cached token, `sources` are the engines to fetch from.
        """
        prompt_bytes = count_shared_tokens(parts) * token_bytes
        for group in zones.list_sources(chosen, sources, prompt_bytes):
            address = self.find_address(parts, find_home_key(parts), chosen, group, now_s)
            if address:
                return address
        return ""


def _guess_holders(key: str, described: Sequence[Candidate], chosen: Upstream) -> list[str]:
    """Return the engines to which other instances most likely sent a session's prompt."""
    home = next(iter(rank_homes(key, described)), None)
    if home is not None and home.upstream != chosen:
        return [home.upstream.incarnation]
    former = find_former_home(key, described, chosen.incarnation)
    return [former.incarnation] if former is not None else []
