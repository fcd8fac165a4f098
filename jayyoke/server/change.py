"""Operators' changes of the whole configuration or of one domain, each safe to repeat."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from absl import logging

from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, InvalidDocument, StoreUnavailable
from jayyoke.ops.domain import Domains
from jayyoke.ops.node import Node
from jayyoke.parser.configuration import parse_document
from jayyoke.server.operatorproblem import OperatorProblem, explain_findings, explain_outage

MAX_ATTEMPTS = 5
_SECTIONS = ("services", "classes", "teams")


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
    """Put a whole document in force; make no new version if it equals the one in force."""
    try:
        wanted = parse_document(plain)
    except InvalidDocument as error:
        raise explain_findings(error) from error
    current = await _refresh(node, lambda known: not compare(known, wanted))
    changes = compare(current, wanted)
    if not changes:
        return Accepted(current.version, {})
    if if_match is not None and if_match != current.version:
        raise _explain_conflict(
            f"version {current.version} is in force, not {if_match}", current.version
        )
    wanted = replace(wanted, domains_out=current.domains_out)
    try:
        return Accepted(await _accept(node, wanted, current.version), changes)
    except OperatorProblem:
        # The change accepted first may be this same document, sent again after a lost answer.
        current = node.change_log.configuration
        if compare(current, wanted):
            raise
        return Accepted(current.version, {})


async def set_domain(node: Node, name: str, out: bool, force: bool) -> Accepted:
    """Take a domain out or back; make no new version if it is in that state already.

    Without the table, a domain goes out by an interim drain, and the version stays.
    """
    if node.domains is not None:
        return await _set_by_domains_part(node, node.domains, name, out, force)
    for _ in range(MAX_ATTEMPTS):
        try:
            return await _set_in_configuration(node, name, out, force)
        except OperatorProblem as problem:
            # The change concerns one domain only, so it can be made after any other change.
            if problem.status != 409:
                raise
    raise _explain_conflict(
        "other changes were accepted first", node.change_log.configuration.version
    )


async def _set_in_configuration(node: Node, name: str, out: bool, force: bool) -> Accepted:
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


async def _set_by_domains_part(
    node: Node, domains: Domains, name: str, out: bool, force: bool
) -> Accepted:
    try:
        await node.change_log.refresh()
    except StoreUnavailable as error:
        logging.info("domain %s is changed without reading the newest version: %s", name, error)
    unchanged = (name in domains.domains_out()) == out
    if out or unchanged:
        _check_domain(node, name, force or (out and unchanged))
    if unchanged:
        return Accepted(node.change_log.configuration.version, {})
    try:
        version = await (domains.take_out(name) if out else domains.bring_back(name))
    except Conflict as error:
        version = node.change_log.configuration.version
        raise _explain_conflict(
            "another change of the domain was accepted first", version
        ) from error
    except StoreUnavailable as error:
        raise explain_outage(error) from error
    version = version or node.change_log.configuration.version
    return Accepted(version, {"domains": {"out" if out else "back": [name]}})


def known_domains(node: Node) -> frozenset[str]:
    """Return the domains of this instance, its peers and the listed upstreams, and those out."""
    configuration = node.change_log.configuration
    names = {node.settings.domain} | configuration.domains_out
    if node.peers is not None:
        names.update(member.domain for member in node.peers.members())
    for service in configuration.services:
        names.update(upstream.domain for upstream in node.health.candidates(service))
    return frozenset(names)


def compare(old: Configuration, new: Configuration) -> dict[str, dict[str, list[str]]]:
    """Return the names that were added, changed and removed; empty if nothing differs."""
    changes = {}
    for section in _SECTIONS:
        found = _compare_section(getattr(old, section), getattr(new, section))
        if found:
            changes[section] = found
    return changes


def _compare_section(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, list[str]]:
    found = {
        "added": sorted(name for name in new if name not in old),
        "changed": sorted(name for name in new if name in old and new[name] != old[name]),
        "removed": sorted(name for name in old if name not in new),
    }
    return {kind: names for kind, names in found.items() if names}


async def _refresh(node: Node, acceptable) -> Configuration:
    """Return the newest configuration; without the table, the known one if that is acceptable."""
    try:
        await node.change_log.refresh()
    except StoreUnavailable as error:
        if acceptable(node.change_log.configuration):
            return node.change_log.configuration
        raise explain_outage(error) from error
    return node.change_log.configuration


async def _accept(node: Node, wanted: Configuration, base: int) -> int:
    try:
        return await node.change_log.append_configuration(wanted, base=base)
    except Conflict as error:
        version = node.change_log.configuration.version
        raise _explain_conflict("another change was accepted first", version) from error
    except StoreUnavailable as error:
        raise explain_outage(error) from error


def _explain_conflict(detail: str, version: int) -> OperatorProblem:
    return OperatorProblem(409, "configuration-changed", detail, {"version": version})


def _check_domain(node: Node, name: str, force: bool) -> None:
    known = sorted(known_domains(node))
    if not force and name not in known:
        detail = f"domain {name!r} is not known here; known: {', '.join(known)}"
        raise OperatorProblem(404, "unknown-domain", detail, {"known": known})
