"""Membership: which instances are live, and which of them this instance connects to."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from absl import logging
from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.clock import Clock
from jayyoke.core.error import StoreUnavailable
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.listing import ListedInstance, Listing
from jayyoke.wire.gen.ttypes import Digest

HEARTBEAT_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 3.0
DEAD_AFTER_S = 5.0
FORGET_AFTER_S = 60.0
LISTING_INTERVAL_S = 2.0
# A check this late means that the process was paused: messages wait unread, and silence proves
# nothing.
PAUSE_THRESHOLD_S = 2.0
MAX_REGION_GROUP = 32
LINKS_PER_DOMAIN = 2
_REACHABLE_STATES = (MemberState.LIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class _PeerView:
    member: Member
    state: MemberState
    last_contact_s: float


class Membership:
    """Keeps the view of other instances from hellos, digests and the platform's list."""

    def __init__(self, me: Member, clock: Clock, seeds: Sequence[str] = ()):
        self._me = me
        self._clock = clock
        self._seeds = tuple(seed for seed in seeds if seed != me.peer_address)
        self._views: dict[str, _PeerView] = {}
        self._listed: dict[str, ListedInstance] = {}
        self._changes: Subject[MemberChange] = Subject()
        self._checked_s = clock.now_s()
        # Caches of what each request derives from the views; None once the views changed.
        self._group: tuple[Member, ...] | None = None
        self._domains: frozenset[str] | None = None

    @property
    def me(self) -> Member:
        """Return this instance."""
        return self._me

    @property
    def changes(self) -> Observable[MemberChange]:
        """Return the stream of changes of the view."""
        return self._changes

    def state(self, name: str) -> MemberState | None:
        """Return the known state of an instance, or None if it is unknown."""
        view = self._views.get(name)
        return None if view is None else view.state

    def members(self) -> tuple[Member, ...]:
        """Return the placement group by name: live and suspect instances, self included."""
        if self._group is not None:
            return self._group
        whole_region = self._group_is_region()
        found = [self._me]
        for member in self.reachable_peers():
            if self._in_group(member.domain, member.region, whole_region):
                found.append(member)
        self._group = tuple(sorted(found, key=lambda member: member.name))
        return self._group

    def reachable_peers(self) -> tuple[Member, ...]:
        """Return every other live or suspect instance, of any domain."""
        return tuple(
            view.member for view in self._views.values() if view.state in _REACHABLE_STATES
        )

    def list_known(self) -> list[str]:
        """Return the names of all instances of any domain that may send requests."""
        return [self._me.name, *self._candidates()]

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains with a live or suspect instance, the own one included."""
        if self._domains is None:
            domains = {member.domain for member in self.reachable_peers()}
            self._domains = frozenset({self._me.domain} | domains)
        return self._domains

    def record_contact(self, member: Member) -> bool:
        """Record a contact; return False if it is of an earlier incarnation or this instance."""
        if member.name == self._me.name:
            return False
        view = self._views.get(member.name)
        now_s = self._clock.now_s()
        if view is None:
            self._views[member.name] = _PeerView(member, MemberState.LIVE, now_s)
            self._clear_caches()
            self._changes.on_next(MemberChange(member, MemberState.LIVE))
            return True
        if member.incarnation < view.member.incarnation:
            return False
        if member.incarnation > view.member.incarnation:
            if view.state is not MemberState.DEAD:
                self._set_state(view, MemberState.DEAD)
            view.member = member
            view.state = MemberState.DEAD
            self._clear_caches()
        view.last_contact_s = now_s
        if view.state is not MemberState.LEFT:
            self._set_state(view, MemberState.LIVE)
        return True

    def on_digest(self, sender: Member, digest: Digest) -> None:
        """Record a heartbeat and, if it says so, that its sender is leaving."""
        if self.record_contact(sender) and digest.leaving:
            self._set_state(self._views[sender.name], MemberState.LEFT)

    def check(self) -> None:
        """Mark silent instances as suspect or dead; call it every heartbeat interval."""
        now_s = self._clock.now_s()
        paused = now_s - self._checked_s > HEARTBEAT_INTERVAL_S + PAUSE_THRESHOLD_S
        self._checked_s = now_s
        self._clear_caches()
        if paused:
            return
        for name, view in list(self._views.items()):
            silent_s = now_s - view.last_contact_s
            if view.state in _REACHABLE_STATES and silent_s >= DEAD_AFTER_S:
                self._set_state(view, MemberState.DEAD)
            elif view.state is MemberState.LIVE and silent_s >= SUSPECT_AFTER_S:
                self._set_state(view, MemberState.SUSPECT)
            elif silent_s >= FORGET_AFTER_S and name not in self._listed:
                del self._views[name]
                self._clear_caches()

    def update_listing(self, instances: Sequence[ListedInstance]) -> None:
        """Replace the instances that the platform lists."""
        self._listed = {
            listed.name: listed
            for listed in instances
            if listed.name != self._me.name and not listed.leaving
        }
        self._clear_caches()

    def link_addresses(self) -> frozenset[str]:
        """Return the peer addresses to keep a connection to."""
        candidates = self._candidates()
        whole_region = self._group_is_region()
        addresses = set()
        others: dict[str, list[str]] = {}
        for name, (address, domain, region) in candidates.items():
            if self._in_group(domain, region, whole_region):
                addresses.add(address)
                continue
            others.setdefault(domain, []).append(name)
        for names in others.values():
            # Live instances come first, so that no link is spent on a dead one.
            ranked = rank(self._me.name, names)
            ranked.sort(key=lambda name: self.state(name) not in (None, *_REACHABLE_STATES))
            addresses.update(candidates[name][0] for name in ranked[:LINKS_PER_DOMAIN])
        known = {address for address, _, _ in candidates.values()}
        addresses.update(seed for seed in self._seeds if seed not in known)
        return frozenset(addresses - {self._me.peer_address, ""})

    async def follow_listing(self, listing: Listing) -> None:
        """Read the platform's list until cancelled; the last list stays during an outage."""
        while True:
            try:
                self.update_listing((await listing.read()).instances)
            except StoreUnavailable as error:
                logging.warning("instances cannot be listed: %s", error)
            await asyncio.sleep(LISTING_INTERVAL_S)

    def _candidates(self) -> dict[str, tuple[str, str, str]]:
        found = {}
        for listed in self._listed.values():
            found[listed.name] = (listed.peer_address, listed.domain, listed.region)
        for name, view in self._views.items():
            if view.state is MemberState.DEAD and name in self._listed:
                continue
            if view.state is MemberState.LEFT and self._is_silent(view):
                found.pop(name, None)
                continue
            member = view.member
            found[name] = (member.peer_address, member.domain, member.region)
        return found

    def _is_silent(self, view: _PeerView) -> bool:
        return self._clock.now_s() - view.last_contact_s >= DEAD_AFTER_S

    def _group_is_region(self) -> bool:
        names = 1
        for _, domain, region in self._candidates().values():
            names += self._in_group(domain, region, whole_region=True)
        return names <= MAX_REGION_GROUP

    def _in_group(self, domain: str, region: str, whole_region: bool) -> bool:
        # An instance without a region counts as one of the own region.
        if whole_region:
            return region in ("", self._me.region) or self._me.region == ""
        return domain == self._me.domain

    def _clear_caches(self) -> None:
        self._group = None
        self._domains = None

    def _set_state(self, view: _PeerView, state: MemberState) -> None:
        if view.state is state:
            return
        view.state = state
        self._clear_caches()
        logging.info("instance %s is %s", view.member.name, state.value)
        self._changes.on_next(MemberChange(view.member, state))
