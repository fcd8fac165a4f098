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
    """State of a peer in an instance's membership view."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberChange:
    """Reports a member's new state in an instance's membership view."""

    member: Member
    state: MemberState
