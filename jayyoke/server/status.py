"""Status of this instance and of its live peers."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from jayyoke.core.error import PeerError, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.ops.node import Node
from jayyoke.platform.listing import ListedInstance
from jayyoke.utils.jsontext import parse_json
from jayyoke.wire.gen.ttypes import Status, StatusRequest

ASK_TIMEOUT_S = 1.0
MAX_CONCURRENT_ASKS = 32
MAX_STATUS_BYTES = 4096


def describe_instance(node: Node) -> dict[str, Any]:
    """Return the status of this instance; ages are in seconds."""
    incarnation = node.peers.me.incarnation if node.peers is not None else 0
    age_s = node.change_log.confirmed_age_s
    return {
        "instance": node.settings.instance,
        "domain": node.settings.domain,
        "incarnation": incarnation,
        "configuration": node.change_log.configuration.version,
        "confirmed_age_s": None if age_s is None else round(age_s, 3),
        "ready": node.ready,
        "answers": True,
    }


def serve_status(node: Node) -> None:
    """Answer status requests of peers."""
    if node.peers is None:
        return

    async def answer(sender: Member, message: StatusRequest) -> Status:
        return Status(body=json.dumps(describe_instance(node)).encode())

    node.peers.serve(StatusRequest, answer)


async def collect_status(node: Node) -> list[dict[str, Any]]:
    """Return the status of all live instances by name; `answers` is false for one that is silent.

    Instances that the platform lists as live count too: one that this instance cannot reach may
    still serve callers with an old configuration.
    """
    found = [describe_instance(node)]
    if node.peers is not None:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_ASKS)
        others = [item for item in node.peers.members() if item.name != node.peers.me.name]
        found += await asyncio.gather(*(_ask_status(node, member, semaphore) for member in others))
    names = {status["instance"] for status in found}
    for listed in await _read_listing(node):
        if listed.name not in names and not listed.leaving:
            found.append(_describe_silent(listed.name, listed.domain, None))
    return sorted(found, key=lambda status: status["instance"])


def find_unconfirmed(statuses: list[dict[str, Any]], version: int) -> list[str]:
    """Return the live instances at which this configuration version is not known to be in force."""
    names = []
    for status in statuses:
        known = status["configuration"]
        if not isinstance(known, int) or known < version:
            names.append(status["instance"])
    return names


async def _ask_status(node: Node, member: Member, semaphore: asyncio.Semaphore) -> dict[str, Any]:
    silent = _describe_silent(member.name, member.domain, member.incarnation)
    try:
        async with semaphore:
            answer = await node.peers.ask(member.name, StatusRequest(), ASK_TIMEOUT_S)
        if len(answer.body) > MAX_STATUS_BYTES:
            return silent
        body = parse_json(answer.body)
        # Name and domain come from the membership, which authenticated the peer.
        known = {key: body[key] for key in ("configuration", "confirmed_age_s", "ready")}
    except (PeerError, TimeoutError, ValueError, KeyError, TypeError, AttributeError):
        return silent
    return silent | known | {"answers": True}


async def _read_listing(node: Node) -> tuple[ListedInstance, ...]:
    try:
        return (await node.listing.read()).instances
    except StoreUnavailable:
        return ()


def _describe_silent(name: str, domain: str, incarnation: int | None) -> dict[str, Any]:
    return {
        "instance": name,
        "domain": domain,
        "incarnation": incarnation,
        "configuration": None,
        "confirmed_age_s": None,
        "ready": False,
        "answers": False,
    }
