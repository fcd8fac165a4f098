"""Version that each engine runs, as seen in probes, digests and answers."""

from __future__ import annotations

MAX_ENGINES = 4096


class EngineVersions:
    """Keeps the last known version of each engine by name."""

    __slots__ = ("_versions",)

    def __init__(self) -> None:
        self._versions: dict[str, str] = {}

    def learn(self, engine: str, version: str) -> None:
        """Record the version that an engine runs; ignore an empty version."""
        if version and (engine in self._versions or len(self._versions) < MAX_ENGINES):
            self._versions[engine] = version

    def find(self, engine: str) -> str:
        """Return the version of an engine, or an empty string while it is unknown."""
        return self._versions.get(engine, "")

    def retain(self, engines: set[str]) -> None:
        """Remove all engines but these."""
        for engine in list(self._versions):
            if engine not in engines:
                del self._versions[engine]
