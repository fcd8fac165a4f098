"""The change log: accepted configuration changes in order, applied and never reverted."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from absl import logging
from reactivex import Observable, operators
from reactivex.subject import Subject

from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, PeerUnavailable, StoreUnavailable
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.peering import Peers
from jayyoke.ops.change import (
    Delta,
    EntryKey,
    InvalidChange,
    apply_delta,
    decode_delta,
    decode_snapshot,
    diff_configurations,
    encode_delta,
    encode_snapshot,
    find_dangling,
)
from jayyoke.ops.changerows import SNAPSHOT_KEY, change_key, put_change, put_snapshot
from jayyoke.ops.digest import Digests
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.table import Table
from jayyoke.wire.gen.ttypes import Change, ChangeNotice, Changes, Digest, PullChanges

POLL_INTERVAL_S = 1.0
# An instance that is not its domain's reader reads the log itself if nothing confirmed its
# version for this long.
UNCONFIRMED_POLL_S = 5.0
START_WINDOW_S = 9.0
PULL_TIMEOUT_S = 1.0
PAGE_ROWS = 100
MAX_PULLED_CHANGES = 100
MAX_PULLED_BYTES = 2 << 20
RECENT_CHANGES = 256
SNAPSHOT_INTERVAL = 100
ACCEPT_ATTEMPTS = 8


class ChangeLog:
    """Follows the change log and holds the newest configuration that this instance knows."""

    def __init__(
        self,
        table: Table,
        peers: Peers | None = None,
        digests: Digests | None = None,
        clock: Clock | None = None,
    ):
        self._table = table
        self._peers = peers
        self._clock = clock or SystemClock()
        self._configuration = Configuration()
        self._changes: Subject[Configuration] = Subject()
        self._recent: dict[int, bytes] = {}
        self._peer_versions: dict[str, int] = {}
        self._started_s = self._clock.now_s()
        self._confirmed_s: float | None = None
        self._polled_s: float | None = None
        self._ready = False
        self._announced_version = 0
        self._pulled_peers: set[str] = set()
        self._snapshot_read = False
        self._snapshot_due = False
        self._snapshot = (0, b"")
        self._pulling: asyncio.Task[None] | None = None
        if peers is not None:
            peers.changes.subscribe(self._forget_dead)
            peers.serve(PullChanges, self._serve_pull)
            peers.serve(ChangeNotice, self._on_notice)
        if digests is not None:
            digests.add_fields(self._fill_digest)
            digests.add_handler(self._on_digest)

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
        return self._configuration

    @property
    def changes(self) -> Observable[Configuration]:
        """Return the stream of configurations that come into force here."""
        return self._changes

    @property
    def versions(self) -> Observable[int]:
        """Return the stream of versions that come into force here."""
        return self._changes.pipe(operators.map(lambda configuration: configuration.version))

    @property
    def ready(self) -> bool:
        """Tell whether the start is complete, with the newest version that could be found."""
        return self._ready

    @property
    def confirmed(self) -> bool:
        """Tell whether the platform confirmed the version since the start."""
        return self._confirmed_s is not None

    @property
    def confirmed_age_s(self) -> float | None:
        """Return the seconds since the platform confirmed the version, or None if it never did."""
        if self._confirmed_s is None:
            return None
        return max(0.0, self._clock.now_s() - self._confirmed_s)

    @property
    def peer_versions(self) -> Mapping[str, int]:
        """Return the last version that each peer reported, by name."""
        return self._peer_versions

    def find_unconfirmed(self, version: int) -> tuple[str, ...]:
        """Return the members of the group that have not reported this version yet, by name."""
        found = []
        for member in self._members():
            known = self._peer_versions.get(member.name, 0)
            if self._peers is not None and member.name == self._peers.me.name:
                known = self._configuration.version
            if known < version:
                found.append(member.name)
        return tuple(found)

    def is_chosen(self, key: str, domain: str | None = None) -> bool:
        """Tell whether this instance is the group's (or a domain's) rendezvous choice for a key."""
        if self._peers is None:
            return True
        names = [m.name for m in self._members() if domain in (None, m.domain)]
        return not names or rank(key, names)[0] == self._peers.me.name

    async def run(self) -> None:
        """Follow the change log until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def step(self) -> None:
        """Poll the table if this instance is due to, and complete the start."""
        try:
            if self._is_poll_due():
                self._polled_s = self._clock.now_s()
                await self.refresh()
            if self._snapshot_due:
                await self._write_snapshot()
        except StoreUnavailable as error:
            logging.warning("change log cannot be read: %s", error)
        if not self._ready:
            await self._pull_from_everyone()
            waited_s = self._clock.now_s() - self._started_s
            self._ready = waited_s >= START_WINDOW_S and self._configuration.version > 0

    async def refresh(self) -> None:
        """Apply every change that the table holds; raise StoreUnavailable."""
        if not self._snapshot_read:
            row = await self._table.get(SNAPSHOT_KEY)
            if row is not None:
                self._apply_snapshot(row.value)
            self._snapshot_read = True
        while True:
            read_s = self._clock.now_s()
            after = change_key(self._configuration.version)
            rows = await self._table.scan("change/", after, PAGE_ROWS)
            for row in rows:
                version = int(row.key.rpartition("/")[2])
                if not self._apply(version, row.value):
                    raise StoreUnavailable(f"change {version} cannot be applied")
            if len(rows) < PAGE_ROWS:
                self._confirm(read_s)
                self._ready = True
                self._announce()
                return

    async def append_configuration(
        self, configuration: Configuration, base: int | None = None
    ) -> int:
        """Append what differs from the newest configuration and return the version.

        Raise Conflict (also if `base` is given and not the newest version), InvalidChange or
        StoreUnavailable.
        """
        await self.refresh()
        current = self._configuration
        if base is not None and base != current.version:
            raise Conflict([0])
        entries = diff_configurations(current, configuration)
        if not entries:
            return current.version
        return await self.append(entries, current.version)

    async def append(self, entries: Mapping[EntryKey, Any], base: int | None = None) -> int:
        """Append a delta of entries made against version `base` and return its version.

        The delta is rebased onto newer versions that change other entries. Raise Conflict if one
        changes the same entry, InvalidChange, or StoreUnavailable with the effect of the write.
        """
        await self.refresh()
        delta = Delta(entries)
        body = encode_delta(delta)
        checked_version = self._configuration.version if base is None else base
        for _ in range(ACCEPT_ATTEMPTS):
            self._check_overlap(delta, checked_version)
            checked_version = self._configuration.version
            self._check_result(delta)
            put_s = self._clock.now_s()
            if await put_change(self._table, checked_version + 1, body):
                self._apply(checked_version + 1, body)
                self._confirm(put_s)
                self._announce()
                self._snapshot_due |= (checked_version + 1) % SNAPSHOT_INTERVAL == 0
                return checked_version + 1
            await self.refresh()
        raise Conflict([0])

    def _check_overlap(self, delta: Delta, checked_version: int) -> None:
        for version in range(checked_version + 1, self._configuration.version + 1):
            body = self._recent.get(version)
            if body is None or decode_delta(body).entries.keys() & delta.entries.keys():
                raise Conflict([0])

    def _check_result(self, delta: Delta) -> None:
        current = self._configuration
        result = apply_delta(current, delta, current.version + 1)
        dangling = find_dangling(result, delta)
        if dangling:
            raise InvalidChange(f"entries name others that do not exist: {dangling}")
        if len(result.team_by_key) != len(result.teams):
            raise InvalidChange("two teams have the same key")

    async def _write_snapshot(self) -> None:
        try:
            await put_snapshot(self._table, self._configuration)
        except Conflict:
            logging.info("another instance wrote a snapshot first")
        self._snapshot_due = False

    def _apply(self, version: int, body: bytes) -> bool:
        """Apply the next change; return False if it leaves a gap or cannot be applied."""
        current = self._configuration
        if version <= current.version:
            return True
        if version != current.version + 1:
            logging.warning("change %d does not follow version %d", version, current.version)
            return False
        try:
            configuration = apply_delta(current, decode_delta(body), version)
        except InvalidChange as error:
            logging.error("change %d cannot be applied: %s", version, error)
            return False
        self._recent[version] = body
        self._recent.pop(version - RECENT_CHANGES, None)
        self._advance(configuration)
        return True

    def _apply_snapshot(self, body: bytes) -> None:
        try:
            configuration = decode_snapshot(body)
        except InvalidChange as error:
            logging.error("snapshot cannot be applied: %s", error)
            return
        if configuration.version > self._configuration.version:
            self._recent.clear()
            self._advance(configuration)

    def _advance(self, configuration: Configuration) -> None:
        self._configuration = configuration
        logging.info("configuration %d is in force", configuration.version)
        self._changes.on_next(configuration)

    def _announce(self) -> None:
        """Announce a newer version to peers at once; the heartbeats repeat it."""
        version = self._configuration.version
        if self._peers is not None and version > self._announced_version:
            self._announced_version = version
            self._peers.broadcast(ChangeNotice(version))

    def _forget_dead(self, change: MemberChange) -> None:
        if change.state is MemberState.DEAD:
            self._peer_versions.pop(change.member.name, None)

    def _confirm(self, seen_s: float) -> None:
        self._confirmed_s = max(seen_s, self._confirmed_s or seen_s)

    def _is_poll_due(self) -> bool:
        if not self._ready or self._peers is None:
            return True
        if self.is_chosen("change-reader", self._peers.me.domain):
            return True
        now_s = self._clock.now_s()
        last_s = max(self._confirmed_s or 0.0, self._polled_s or 0.0)
        return now_s - last_s >= UNCONFIRMED_POLL_S

    def _members(self) -> tuple[Member, ...]:
        return () if self._peers is None else self._peers.members()

    def _fill_digest(self, digest: Digest) -> None:
        digest.control_version = self._configuration.version
        age_s = self.confirmed_age_s
        if age_s is not None:
            digest.confirmed_age_ms = int(age_s * 1000)

    def _on_digest(self, sender: Member, digest: Digest) -> None:
        if digest.control_version is None:
            return
        self._confirm_by_peer(digest.control_version, digest.confirmed_age_ms)
        self._record_peer_version(sender.name, digest.control_version)

    async def _on_notice(self, sender: Member, notice: ChangeNotice) -> None:
        self._record_peer_version(sender.name, notice.version or 0)

    def _record_peer_version(self, name: str, version: int) -> None:
        self._peer_versions[name] = version
        if version <= self._configuration.version:
            return
        if self._pulling is None or self._pulling.done():
            self._pulling = asyncio.ensure_future(self._pull_newest())

    async def _pull_newest(self) -> None:
        failed: set[str] = set()
        while True:
            ahead = [
                (version, name)
                for name, version in self._peer_versions.items()
                if version > self._configuration.version and name not in failed
            ]
            if not ahead:
                return
            name = max(ahead)[1]
            before = self._configuration.version
            await self._pull(name)
            if self._configuration.version == before:
                failed.add(name)

    async def _pull(self, name: str) -> bool:
        """Fetch and apply a peer's newer changes; return whether it answered."""
        request = PullChanges(self._configuration.version, MAX_PULLED_CHANGES)
        try:
            answer = await self._peers.ask(name, request, PULL_TIMEOUT_S)
        except (PeerUnavailable, TimeoutError) as error:
            logging.info("changes cannot be pulled from %s: %s", name, error)
            return False
        if not isinstance(answer, Changes):
            return False
        if answer.snapshot is not None and answer.snapshot.body is not None:
            self._apply_snapshot(answer.snapshot.body)
        for change in answer.changes or ():
            if not self._apply(change.version or 0, change.body or b""):
                break
        self._announce()
        if answer.latest is not None:
            self._peer_versions[name] = answer.latest
            self._confirm_by_peer(answer.latest, answer.confirmed_age_ms)
        return True

    def _confirm_by_peer(self, version: int, age_ms: int | None) -> None:
        """Adopt a peer's confirmation unless it is of a newer version than the own one."""
        if age_ms is None or age_ms < 0 or version > self._configuration.version:
            return
        self._confirm(self._clock.now_s() - age_ms / 1000)

    async def _pull_from_everyone(self) -> None:
        pulls = []
        for member in self._members():
            if self._peers is not None and member.name != self._peers.me.name:
                pulls.append(self._pull_once(member.name))
        await asyncio.gather(*pulls)

    async def _pull_once(self, name: str) -> None:
        if name not in self._pulled_peers and await self._pull(name):
            self._pulled_peers.add(name)

    async def _serve_pull(self, sender: Member, request: PullChanges) -> Changes:
        after = request.after or 0
        answer = Changes([], self._configuration.version, -1)
        if self.confirmed_age_s is not None:
            answer.confirmed_age_ms = int(self.confirmed_age_s * 1000)
        if after < self._configuration.version and after + 1 not in self._recent:
            answer.snapshot = Change(*self._find_snapshot())
            after = answer.snapshot.version
        remaining_bytes = MAX_PULLED_BYTES
        for version in range(after + 1, after + 1 + min(request.limit or 0, MAX_PULLED_CHANGES)):
            body = self._recent.get(version)
            if body is None or len(body) > remaining_bytes:
                break
            remaining_bytes -= len(body)
            answer.changes.append(Change(version, body))
        return answer

    def _find_snapshot(self) -> tuple[int, bytes]:
        """Return a snapshot from which the kept changes lead to the newest version."""
        version = self._configuration.version
        if self._snapshot[0] != version and self._snapshot[0] + 1 not in self._recent:
            self._snapshot = (version, encode_snapshot(self._configuration))
        return self._snapshot
