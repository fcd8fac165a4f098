"""Gateway between placement groups: asks a chat's home domain and answers other domains."""

from __future__ import annotations

from collections import OrderedDict

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.error import PeerUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.owner import Choice, Owner, parse_placed
from jayyoke.ops.rendezvous import choose, rank
from jayyoke.wire.gen.ttypes import Abandoned, Ask, Placed

FORWARD_TIMEOUT_S = 0.025
OTHER_DOMAIN_TIMEOUT_S = 0.05  # Two hops, each as long as one within the group.
MISS_BACKOFF_S = 1.0
MAX_FORWARDED = 4096


class Gateway:
    """Places chats in their home domain over links between groups.

    A request crosses such a link at most once.
    """

    def __init__(self, clock: Clock, peers: Peers, owner: Owner):
        self._clock = clock
        self._peers = peers
        self._owner = owner
        self._missed_s: dict[str, float] = {}
        self._forwarded: OrderedDict[tuple[str, str], str] = OrderedDict()
        peers.serve(Ask, self._serve_ask)
        peers.serve(Abandoned, self._serve_abandoned)

    async def ask(self, domain: str, ask: Ask) -> Choice | None:
        """Return the choice of a domain, or None if it gives no answer."""
        now_s = self._clock.now_s()
        connected = [member.name for member in self._peers.connected_members(domain)]
        for name in rank(str(ask.chat), connected):
            if now_s - self._missed_s.get(name, -1e9) < MISS_BACKOFF_S:
                continue
            try:
                return parse_placed(await self._peers.ask(name, ask, OTHER_DOMAIN_TIMEOUT_S))
            except PeerUnavailable:
                # No second attempt is made, since it would double the delay.
                self._missed_s[name] = now_s
                self._peers.tell(name, Abandoned([ask.request_id]))
                logging.debug("instance %s of domain %s did not answer", name, domain)
                return None
        return None

    async def _serve_ask(self, sender: Member, ask: Ask) -> Placed:
        entry = ask.entry or sender.name
        owner = self._find_owner(sender, ask)
        if not owner:
            return await self._owner.answer(entry, ask)
        ask.entry = entry
        self._forwarded[(entry, ask.request_id)] = owner
        if len(self._forwarded) > MAX_FORWARDED:
            self._forwarded.popitem(last=False)
        try:
            return await self._peers.ask(owner, ask, FORWARD_TIMEOUT_S)
        except PeerUnavailable:
            del self._forwarded[(entry, ask.request_id)]
            self._peers.tell(owner, Abandoned([ask.request_id], entry))
            # The entry can still place the chat in its own domain.
            return Placed("", "owner-unreachable", 0, 0, 0, None)

    def _find_owner(self, sender: Member, ask: Ask) -> str:
        """Return the owner to forward to, or an empty string if this instance answers itself."""
        members = self._peers.members()
        if sender in members:
            return ""
        owner = choose(str(ask.chat), (member.name for member in members))
        return "" if owner is None or owner == self._peers.me.name else owner

    async def _serve_abandoned(self, sender: Member, message: Abandoned) -> None:
        entry = message.entry or sender.name
        for request_id in message.request_ids:
            owner = self._forwarded.pop((entry, request_id), None)
            if owner is None:
                self._owner.abandon(entry, request_id)
                continue
            self._peers.tell(owner, Abandoned([request_id], entry))
