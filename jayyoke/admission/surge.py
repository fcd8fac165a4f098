"""Finds teams that send much more than usual while the others do not.

Designed for 24 teams of very uneven size, one of which sends 7.5 times its usual amount. Equal
shares would not do: the largest team would lose requests in each shortage, and the smallest could
take many times its usual amount from the others.
"""

from __future__ import annotations

from collections.abc import Mapping

from jayyoke.admission.share import find_fair_share

# A team surges from this multiple of its usual amount on, relative to the others' growth, until it
# is below the second one. Amounts over 2 s of a small team vary by half by chance.
SURGE_FACTOR = 2.0
END_FACTOR = 1.5
# A team that was never seen before keeps this part of an equal share.
NEW_TEAM_FRACTION = 0.25


def find_kept(
    teams: Mapping[str, tuple[float, float]], surging: frozenset[str], capacity: float
) -> dict[str, float]:
    """Return the part of each surging team's requests that counts as usual.

    `teams` holds the recent and the usual requests a second, `surging` the teams that surged
    before, `capacity` how many have room. A team that is alone does not surge.
    """
    share = find_fair_share(((recent, 1.0) for recent, _ in teams.values()), capacity)
    floor = NEW_TEAM_FRACTION * min(share, capacity / max(1, len(teams)))
    kept = {}
    for name, (recent, usual) in teams.items():
        factor = END_FACTOR if name in surging else SURGE_FACTOR
        if recent <= factor * max(usual, floor):
            continue
        growth = _find_growth(teams, name)
        if growth is None:
            continue
        allowed = max(usual * max(1.0, growth), floor)
        if recent > factor * allowed:
            kept[name] = min(1.0, allowed / recent)
    return kept


def _find_growth(teams: Mapping[str, tuple[float, float]], but: str) -> float | None:
    """Return the median growth of the other teams, weighted by their usual amounts."""
    ratios = []
    total = 0.0
    for name, (recent, usual) in teams.items():
        if name != but and usual > 0.0:
            ratios.append((recent / usual, usual))
            total += usual
    below = 0.0
    for ratio, usual in sorted(ratios):
        below += usual
        if 2.0 * below >= total:
            return ratio
    return None
