"""Records of instances of the fleet."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Member:
    """Identifies one run of an instance; incarnation grows with each restart."""

    name: str
    domain: str
    incarnation: int
    peer_address: str
    operator_address: str = ""
    region: str = ""


class MemberState(enum.Enum):
    """What an instance believes of a peer."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """Reports that the view of a member changed."""

    member: Member
    state: MemberState
