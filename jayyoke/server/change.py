"""Changes that operators make: whole documents and domains, each safe to repeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from absl import logging

from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, InvalidDocument, StoreUnavailable
from jayyoke.ops.domain import Domains
from jayyoke.ops.node import Node
from jayyoke.parser.configuration import parse_plain
from jayyoke.server.reply import OperatorProblem, explain_findings, explain_outage

MAX_CONFLICTS = 5
_PARTS = ("services", "classes", "teams")


@dataclass(frozen=True, slots=True)
class Accepted:
    """Holds the version in force after an operator's request and what the request changed."""

    version: int
    changes: dict[str, dict[str, list[str]]]

    @property
    def changed(self) -> bool:
        """Tell whether the request made a new version."""
        return bool(self.changes)


async def apply_document(node: Node, plain: Any, if_match: int | None) -> Accepted:
    """Put a whole document in force; an equal document in force makes no new version."""
    try:
        wanted = parse_plain(plain)
    except InvalidDocument as error:
        raise explain_findings(error) from error
    current = await _refresh(node, lambda known: not compare(known, wanted))
    changes = compare(current, wanted)
    if not changes:
        return Accepted(current.version, {})
    if if_match is not None and if_match != current.version:
        raise _changed(f"version {current.version} is in force, not {if_match}", current.version)
    wanted = replace(wanted, domains_out=current.domains_out)
    try:
        return Accepted(await _accept(node, wanted, current.version), changes)
    except OperatorProblem:
        # The other change may be this very document, sent again after its answer was lost.
        current = node.control.configuration
        if compare(current, wanted):
            raise
        return Accepted(current.version, {})


async def set_domain(node: Node, name: str, out: bool, force: bool) -> Accepted:
    """Take a domain out or back; a domain already in that state makes no new version.

    Without the table, a domain goes out by an interim drain, and the version stays.
    """
    if node.domains is not None:
        return await _set_by_domains(node, node.domains, name, out, force)
    for _ in range(MAX_CONFLICTS):
        try:
            return await _set_domain(node, name, out, force)
        except OperatorProblem as problem:
            # The change concerns one domain only, so it can follow any other change.
            if problem.status != 409:
                raise
    raise _changed("other changes were accepted first", node.control.configuration.version)


async def _set_domain(node: Node, name: str, out: bool, force: bool) -> Accepted:
    current = await _refresh(node, lambda known: (name in known.domains_out) == out)
    if (name in current.domains_out) == out:
        if not out:
            _check_domain(node, name, force)
        return Accepted(current.version, {})
    if out:
        _check_domain(node, name, force)
    names = current.domains_out | {name} if out else current.domains_out - {name}
    wanted = replace(current, domains_out=frozenset(names))
    version = await _accept(node, wanted, current.version)
    return Accepted(version, {"domains": {"out" if out else "back": [name]}})


async def _set_by_domains(
    node: Node, domains: Domains, name: str, out: bool, force: bool
) -> Accepted:
    try:
        await node.control.refresh()
    except StoreUnavailable as error:
        logging.info("domain %s is set without the newest version: %s", name, error)
    unchanged = (name in domains.domains_out()) == out
    if out or unchanged:
        _check_domain(node, name, force or (out and unchanged))
    if unchanged:
        return Accepted(node.control.configuration.version, {})
    try:
        version = await (domains.take_out(name) if out else domains.bring_back(name))
    except Conflict as error:
        version = node.control.configuration.version
        raise _changed("another change of the domain was accepted first", version) from error
    except StoreUnavailable as error:
        raise explain_outage(error) from error
    version = version or node.control.configuration.version
    return Accepted(version, {"domains": {"out" if out else "back": [name]}})


def known_domains(node: Node) -> frozenset[str]:
    """Return the domains of this instance, its peers, the listed workers and those out."""
    configuration = node.control.configuration
    names = {node.settings.domain} | configuration.domains_out
    if node.peers is not None:
        names.update(member.domain for member in node.peers.members())
    for service in configuration.services:
        names.update(upstream.domain for upstream in node.health.candidates(service))
    return frozenset(names)


def compare(old: Configuration, new: Configuration) -> dict[str, dict[str, list[str]]]:
    """Return the names that were added, changed and removed; empty if nothing differs."""
    changes = {}
    for part in _PARTS:
        found = _compare_part(getattr(old, part), getattr(new, part))
        if found:
            changes[part] = found
    return changes


def _compare_part(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, list[str]]:
    found = {
        "added": sorted(name for name in new if name not in old),
        "changed": sorted(name for name in new if name in old and new[name] != old[name]),
        "removed": sorted(name for name in old if name not in new),
    }
    return {kind: names for kind, names in found.items() if names}


async def _refresh(node: Node, satisfied) -> Configuration:
    """Return the newest configuration; without the table, the known one if it satisfies."""
    try:
        await node.control.refresh()
    except StoreUnavailable as error:
        if satisfied(node.control.configuration):
            return node.control.configuration
        raise explain_outage(error) from error
    return node.control.configuration


async def _accept(node: Node, wanted: Configuration, base: int) -> int:
    try:
        return await node.control.accept(wanted, base=base)
    except Conflict as error:
        version = node.control.configuration.version
        raise _changed("another change was accepted first", version) from error
    except StoreUnavailable as error:
        raise explain_outage(error) from error


def _changed(detail: str, version: int) -> OperatorProblem:
    return OperatorProblem(409, "configuration-changed", detail, {"version": version})


def _check_domain(node: Node, name: str, force: bool) -> None:
    known = sorted(known_domains(node))
    if not force and name not in known:
        detail = f"domain {name!r} is not known here; known: {', '.join(known)}"
        raise OperatorProblem(404, "unknown-domain", detail, {"known": known})
