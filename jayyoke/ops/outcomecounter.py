"""Counts of request outcomes by version and route while a move is active."""

from __future__ import annotations

from collections.abc import Mapping

from jayyoke.core.move import Move, OutcomeCounts
from jayyoke.wire.gen.ttypes import Evidence, RouteEvidence


class OutcomeCounter:
    """Keeps this instance's totals for each active move; costs nothing without a move."""

    __slots__ = ("_counts", "_sent")

    def __init__(self) -> None:
        self._counts: dict[str, dict[tuple[str, str], OutcomeCounts]] = {}
        self._sent: dict[str, dict[tuple[str, str], OutcomeCounts]] = {}

    def retain_active(self, moves: Mapping[str, Move]) -> None:
        """Drop the counts of moves that are not active; `moves` are the active ones by id."""
        for move_id in list(self._counts):
            if move_id not in moves:
                del self._counts[move_id]
                self._sent.pop(move_id, None)

    def add(self, move_id: str, version: str, route: str, counts: OutcomeCounts) -> None:
        """Add outcomes of one version on one route."""
        totals = self._counts.setdefault(move_id, {})
        key = (version, route)
        totals[key] = totals.get(key, OutcomeCounts()).add(counts)

    def totals(self, move_id: str) -> dict[tuple[str, str], OutcomeCounts]:
        """Return the totals of a move by version and route."""
        return self._counts.get(move_id, {})

    def build_messages(self) -> list[Evidence]:
        """Return messages with the totals that changed since the last call."""
        messages = []
        for move_id, totals in self._counts.items():
            if totals == self._sent.get(move_id):
                continue
            self._sent[move_id] = dict(totals)
            messages.extend(format_evidence(move_id, totals))
        return messages

    def resend_all(self) -> None:
        """Include everything in the next messages, for example for a new reader."""
        self._sent.clear()


def format_evidence(
    move_id: str, totals: Mapping[tuple[str, str], OutcomeCounts]
) -> list[Evidence]:
    """Return one message for each version."""
    by_version: dict[str, list[RouteEvidence]] = {}
    for (version, route), counts in totals.items():
        entry = RouteEvidence(route, counts.requests, counts.failures, counts.slow)
        by_version.setdefault(version, []).append(entry)
    return [Evidence(move_id, version, routes) for version, routes in by_version.items()]


def parse_evidence(message: Evidence) -> dict[tuple[str, str], OutcomeCounts]:
    """Return the totals of a message by version and route."""
    totals = {}
    for entry in message.routes or ():
        counts = OutcomeCounts(entry.requests or 0, entry.failures or 0, entry.slow or 0)
        totals[(message.version, entry.route)] = counts
    return totals
