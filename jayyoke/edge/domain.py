"""Tells which failure domains are out of reach of this instance.

Load it answers: a domain of 36 engines that is cut off while 77 instances serve seven requests a
second each. Learning of each engine by itself takes a timeout for each of them and again after
each suspension, so a third of the requests lost a timeout for as long as the cut lasted. Two
engines of one domain that accept no connection, or acknowledge nothing on a kept one, put the whole
domain in doubt; one request at a time then tests it, until one of its engines answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# One upstream that accepts no connection may be at fault itself.
LEAST_LOST = 2
# Longer than a connection takes to time out, so that one request at a time tests the domain.
FIRST_HOLD_S = 0.6
MAX_HOLD_S = 1.2


@dataclass(slots=True)
class DomainTrack:
    """Holds what was seen of a domain since one of its upstreams last answered."""

    lost: set[str] = field(default_factory=set)
    held_until_s: float = 0.0
    hold_s: float = 0.0


class DomainTracks:
    """Holds the tracks of all failure domains; times are seconds since boot."""

    def __init__(self) -> None:
        self._tracks: dict[str, DomainTrack] = {}

    def record_lost(self, domain: str, incarnation: str, now_s: float) -> bool:
        """Count an upstream whose host does not react; tell whether doubt begins."""
        track = self._tracks.setdefault(domain, DomainTrack())
        doubted = self.is_doubted(domain)
        track.lost.add(incarnation)
        if not self.is_doubted(domain):
            return False
        track.hold_s = min(MAX_HOLD_S, max(FIRST_HOLD_S, 2 * track.hold_s))
        track.held_until_s = now_s + track.hold_s
        return not doubted

    def record_reached(self, domain: str) -> bool:
        """Note that an upstream answered; tell whether doubt ends."""
        doubted = self.is_doubted(domain)
        self._tracks.pop(domain, None)
        return doubted

    def is_doubted(self, domain: str) -> bool:
        """Tell whether the domain seems to be out of reach."""
        track = self._tracks.get(domain)
        return track is not None and len(track.lost) >= LEAST_LOST

    def has_lost(self, domain: str) -> bool:
        """Tell whether an upstream was lost since the domain last answered."""
        return domain in self._tracks

    def is_held(self, domain: str, now_s: float) -> bool:
        """Tell whether requests go to other domains if they can."""
        return self.is_doubted(domain) and now_s < self._tracks[domain].held_until_s

    def note_test(self, domain: str, now_s: float) -> None:
        """Keep other requests away while one tests a domain in doubt."""
        if self.is_doubted(domain):
            track = self._tracks[domain]
            track.held_until_s = now_s + track.hold_s
