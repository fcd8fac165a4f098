"""Records of the configuration that operators declare."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


class ClassKind(enum.Enum):
    """What a class guarantees; the values are the names of class plug-ins."""

    CHAT = "chat"
    LOOKUP = "lookup"
    TAG = "tag"
    ONCE = "once"
    LATE = "late"


class SettlementMethod(enum.Enum):
    """How the unknown outcome of a once-only call can be determined."""

    DEDUPLICATES = "deduplicates"
    LOOKUP = "lookup"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Declares a service: its upstream protocol and what its upstreams support."""

    name: str
    protocol: str
    settle: SettlementMethod = SettlementMethod.NONE
    checks_fencing: bool = False
    stores_durably: bool = False
    load_bound: float = 1.25
    cold_work_tokens: int = 2000
    full_work_tokens: int = 16000
    warm_up_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """Declares a class of work and its targets; all times are in seconds."""

    name: str
    kind: ClassKind
    service: str
    within_s: float
    first_token_within_s: float = 1.0
    between_tokens_within_s: float = 0.036
    target_share: float = 0.99
    max_repeats: int = 0
    stale_for_s: float = 0.0
    keep_s: float = 3600.0
    priority: int = 5
    model: str = ""


@dataclass(frozen=True, slots=True)
class TeamSpec:
    """Declares a team by the SHA-256 of its bearer key and the classes it may call."""

    name: str
    key_sha256: str
    classes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """Holds one version of everything that operators declared.

    `halts` holds the keys of halted moves and versions. `drains` holds the ids of drains that were
    ordered while the platform was unreachable and have been added to the change log since.
    `team_by_key` holds the teams by the SHA-256 of their keys.
    """

    version: int = 0
    services: Mapping[str, ServiceSpec] = field(default_factory=lambda: MappingProxyType({}))
    classes: Mapping[str, ClassSpec] = field(default_factory=lambda: MappingProxyType({}))
    teams: Mapping[str, TeamSpec] = field(default_factory=lambda: MappingProxyType({}))
    domains_out: frozenset[str] = frozenset()
    halts: frozenset[str] = frozenset()
    drains: frozenset[str] = frozenset()
    team_by_key: Mapping[str, TeamSpec] = field(default_factory=lambda: MappingProxyType({}))

    def __post_init__(self) -> None:
        """Build the index of team keys unless the caller derived it from the last version's."""
        if self.teams and not self.team_by_key:
            index = {team.key_sha256: team for team in self.teams.values()}
            object.__setattr__(self, "team_by_key", index)
