"""Load of engines, as stewards report it in digests."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from jayyoke.core.clock import Clock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member
from jayyoke.core.upstream import UpstreamState
from jayyoke.ops.loadbound import (
    WORK_HEADROOM_SHARE,
    MeanLoad,
    compute_admission_multiple,
    compute_bound,
)
from jayyoke.ops.versions import EngineVersions
from jayyoke.wire.gen.ttypes import Digest, EngineLoad, EngineName, Granted

MEAN_AGE_S = 0.05
MIN_CACHED_ENGINES = 33  # With fewer, one request changes the mean, and summing is cheap.
FULL_EVERY = 10  # A full digest every 10 s makes up for deltas that a receiver missed.
MAX_ENGINES = 4096
_STATES = (UpstreamState.LIVE, UpstreamState.LEAVING, UpstreamState.DOWN)


@dataclass(frozen=True, slots=True)
class Load:
    """Holds the load of one engine as its steward last reported it."""

    requests: int = 0
    work_tokens: int = 0
    limit_tokens: int = 0
    state: UpstreamState = UpstreamState.LIVE
    incarnation: int = 0
    seen_s: float = -1.0


def state_number(state: UpstreamState) -> int:
    """Return the number of a state in a digest."""
    return _STATES.index(state)


class Loads:
    """Keeps the last known load of every engine of the placement group."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self.reporting_members: set[str] = set()
        self.versions = EngineVersions()
        # Counters of changes, by which callers know whether values derived from states or limits
        # are still valid.
        self.state_changes = 0
        self.limit_changes = 0
        self._loads: dict[str, Load] = {}
        self._engine_names: dict[str, dict[int, str]] = {}
        self._incarnations: dict[str, int] = {}
        self._mean_cache: dict[str, tuple[float, MeanLoad]] = {}

    def find(self, engine: str) -> Load | None:
        """Return the last known load of an engine."""
        return self._loads.get(engine)

    def mean(self, service: str, engines: Iterable[str]) -> MeanLoad:
        """Return the mean load of a service's engines, at most 50 ms old."""
        now_s = self._clock.now_s()
        cached = self._mean_cache.get(service)
        fresh = cached is not None and now_s - cached[0] < MEAN_AGE_S
        if cached is not None and fresh and cached[1].engines >= MIN_CACHED_ENGINES:
            return cached[1]
        count = requests = work = 0
        for name in engines:
            count += 1
            load = self._loads.get(name)
            if load is not None:
                requests += load.requests
                work += load.work_tokens
        divisor = max(count, 1)
        mean = MeanLoad(count, requests / divisor, work / divisor)
        self._mean_cache[service] = (now_s, mean)
        return mean

    def build_utilisation(self, service: ServiceSpec, mean: MeanLoad) -> Callable[[str], float]:
        """Return a function that computes which share of its bound or limit an engine uses.

        An engine at 1 or more is full.
        """
        multiple = compute_admission_multiple(service.load_bound)
        bound = compute_bound(multiple, mean.add(0).requests)
        work_bound = (
            compute_admission_multiple(service.load_bound, WORK_HEADROOM_SHARE) * mean.work_tokens
        )
        find = self._loads.get

        def compute_utilisation(engine: str) -> float:
            load = find(engine)
            if load is None:
                return 0.0
            utilisation = load.requests / bound
            if load.work_tokens > mean.work_tokens > 0:
                utilisation = max(utilisation, load.work_tokens / work_bound)
            if load.work_tokens > load.limit_tokens * utilisation > 0:
                utilisation = load.work_tokens / load.limit_tokens
            return utilisation

        return compute_utilisation

    def put(self, engine: str, load: Load) -> None:
        """Record the load of an engine and count changes of its state and limit."""
        known = self._loads.get(engine)
        if known is None and len(self._loads) >= MAX_ENGINES:
            return
        if known is None or known.state is not load.state:
            self.state_changes += 1
        if known is None or known.limit_tokens != load.limit_tokens:
            self.limit_changes += 1
        self._loads[engine] = load

    def record_granted(self, engine: str, granted: Granted) -> None:
        """Record the load in a steward's answer, which is newer than the steward's digest."""
        known = self._loads.get(engine, Load())
        load = Load(
            granted.requests,
            granted.work_tokens,
            granted.limit_tokens,
            known.state,
            known.incarnation,
            self._clock.now_s(),
        )
        self.put(engine, load)

    def accept_loads(self, sender: Member, digest: Digest) -> list[str]:
        """Record the loads of a received digest and return the engines with a new incarnation."""
        if self._incarnations.get(sender.name) != sender.incarnation:
            self._incarnations[sender.name] = sender.incarnation
            self._engine_names[sender.name] = {}
        names = self._engine_names[sender.name]
        self.reporting_members.add(sender.name)
        for name in (digest.names or [])[:MAX_ENGINES]:
            names[name.index] = name.upstream
            self.versions.learn(name.upstream, name.version or "")
        restarted = []
        now_s = self._clock.now_s()
        for entry in (*(digest.loads or [])[:MAX_ENGINES], *_read_changes(digest)):
            engine = names.get(entry.index)
            if engine is None or not 0 <= (entry.state or 0) < len(_STATES):
                continue
            known = self._loads.get(engine)
            changed = known is not None and known.incarnation not in (0, entry.incarnation)
            if changed and entry.incarnation:
                restarted.append(engine)
            load = _merge(known, entry, now_s)
            self.put(engine, load)
        return restarted


def _read_changes(digest: Digest) -> Iterator[EngineLoad]:
    """Yield the changes of a digest as loads; skip an incomplete last one."""
    numbers = (digest.changes or [])[: 3 * MAX_ENGINES]
    for at in range(0, len(numbers) - 2, 3):
        yield EngineLoad(*numbers[at : at + 3])


def _merge(known: Load | None, entry: EngineLoad, now_s: float) -> Load:
    """Return a reported load, with the known value of each field that the sender left out."""
    known = Load() if known is None else known
    return Load(
        max(entry.requests or 0, 0),
        max(entry.work_tokens or 0, 0),
        known.limit_tokens if entry.limit_tokens is None else entry.limit_tokens,
        known.state if entry.state is None else _STATES[entry.state],
        known.incarnation if entry.incarnation is None else entry.incarnation,
        now_s,
    )


class LoadReporter:
    """Builds the loads of this instance's digests: all in every tenth digest, else changes only."""

    def __init__(self, list_loads: Callable[[], dict[str, Load]], versions: EngineVersions):
        self._list_loads = list_loads
        self._versions = versions
        self._sent_versions: dict[str, str] = {}
        self._indexes: dict[str, int] = {}
        self._sent_values: dict[str, tuple[int, int, int, int, int]] = {}
        self._digest_count = 0

    def require_full(self) -> None:
        """Include every name and load in the next digest, for instance for a new member."""
        self._digest_count = 0

    def fill(self, digest: Digest, only_engine: str | None = None) -> None:
        """Set the names and loads of the next digest, or the changes of `only_engine`."""
        full = self._digest_count % FULL_EVERY == 0 and only_engine is None
        self._digest_count += only_engine is None
        if full:
            self._sent_values.clear()
        names = []
        loads = []
        changes: list[int] = []
        for engine, load in self._list_loads().items():
            if only_engine not in (None, engine):
                continue
            index = self._indexes.get(engine)
            version = self._versions.find(engine)
            if index is None or full or self._sent_versions.get(engine) != version:
                index = self._indexes.setdefault(engine, len(self._indexes))
                names.append(EngineName(index, engine, version or None))
                self._sent_versions[engine] = version
            values = (
                load.requests,
                load.work_tokens,
                load.limit_tokens,
                state_number(load.state),
                load.incarnation,
            )
            if self._sent_values.get(engine) == values:
                continue
            before = self._sent_values.get(engine, (None,) * len(values))
            self._sent_values[engine] = values
            # Limit, state and incarnation rarely change; omitting them halves the digest.
            rare = [v if v != b else None for v, b in zip(values[2:], before[2:], strict=True)]
            if any(value is not None for value in rare):
                loads.append(EngineLoad(index, *values[:2], *rare))
                continue
            # Three bare numbers take about half the bytes of a struct.
            changes += (index, *values[:2])
        digest.names = names or None
        digest.loads = loads or None
        digest.changes = changes or None
