"""Decodes the settings file that the platform writes for each process."""

from __future__ import annotations

import math
import tomllib
from typing import Any

from jayyoke.core.entrysettings import (
    AdmissionSettings,
    Bounds,
    DutyService,
    EntrySettings,
    HomeScope,
    StoreProfile,
    ZoneSettings,
)
from jayyoke.core.error import InvalidDocument
from jayyoke.core.finding import Finding
from jayyoke.core.machine import DEFAULT_MEMORY_BYTES
from jayyoke.platform.address import is_address

_REQUIRED = {
    "nodeName": "the name of the machine",
    "az": "a failure domain",
    "region": "a region",
}
_REQUIRED_LISTEN = {
    "http": "HOST:PORT for callers",
    "readiness": "HOST:PORT for readiness checks",
    "admin": "HOST:PORT for other instances",
}


def parse_boot_settings(text: str, file: str) -> EntrySettings:
    """Return the settings of this process; raise InvalidDocument with every finding."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidDocument([Finding(file, 0, "", str(error), "a TOML document")]) from error
    listen = _get_table(document, "listen")
    store = _get_table(document, "platform")
    findings = _find_missing(document, _REQUIRED, "", file)
    findings += _find_missing(listen, _REQUIRED_LISTEN, "listen.", file)
    findings += _find_missing(store, {"address": "HOST:PORT of the store"}, "platform.", file)
    zones = _parse_zones(_get_table(document, "domains"), file, findings)
    admission = _parse_admission(_get_table(document, "admission"), file, findings)
    if findings:
        raise InvalidDocument(findings)
    limits = _get_table(document, "limits")
    regions = {str(name): str(region) for name, region in _get_table(document, "zones").items()}
    return EntrySettings(
        instance=document["nodeName"],
        domain=document["az"],
        region=document["region"],
        caller_address=listen["http"],
        ready_address=listen["readiness"],
        peer_address=listen["admin"],
        store=StoreProfile(
            address=store["address"],
        ),
        regions=regions,
        seeds=tuple(seed for seed in document.get("seeds", ()) if isinstance(seed, str)),
        first_start=document.get("bootstrap") is True,
        bounds=_parse_bounds(_get_table(document, "bounds")),
        link_bytes_per_s=_get_number(limits, "bandwidthMbps", 1000.0) * 1e6 / 8,
        memory_bytes=_parse_memory(limits),
        duty_service=_parse_duty_service(_get_table(document, "cloudApi")),
        zones=zones,
        admission=admission,
    )


def _parse_memory(limits: dict[str, Any]) -> int:
    memory_bytes = _get_number(limits, "ramMb", 0.0) * 1e6
    return int(memory_bytes) if 0 < memory_bytes < math.inf else DEFAULT_MEMORY_BYTES


def _parse_zones(table: dict[str, Any], file: str, findings: list[Finding]) -> ZoneSettings:
    """Return which requests prefer a failure domain, from a table of the operator's own."""
    default = ZoneSettings()
    return ZoneSettings(
        fetch_max_bytes=_get_number(table, "fetchMaxBytes", default.fetch_max_bytes),
        short_homes=_get_scope(table, "shortHomes", file, findings),
        long_homes=_get_scope(table, "longHomes", file, findings),
        plain=_get_flag(table, "plain", "domains.", file, findings),
        crossing_cost_s=_get_number(table, "crossingCostMs", default.crossing_cost_s * 1000) / 1000,
    )


def _parse_admission(
    table: dict[str, Any], file: str, findings: list[Finding]
) -> AdmissionSettings:
    """Return which decisions on admission are in force, from a table of the operator's own."""
    return AdmissionSettings(
        enabled=_get_flag(table, "enabled", "admission.", file, findings),
        send_priority=_get_flag(table, "sendPriority", "admission.", file, findings),
    )


def _parse_duty_service(table: dict[str, Any]) -> DutyService | None:
    """Return the service of the duties, or None if the settings name none that can be called."""
    address = table.get("address")
    if not isinstance(address, str) or not is_address(address):
        return None
    duties = table.get("duties")
    wanted = duties if isinstance(duties, list) else []
    return DutyService(
        address=address,
        calls_per_s=_get_number(table, "dutyPerS", 50.0),
        metering="metering" in wanted,
        scaling="scaling" in wanted,
    )


def _parse_bounds(table: dict[str, Any]) -> Bounds:
    default = Bounds()

    def seconds(name: str, fallback_s: float) -> float:
        return _get_number(table, name, fallback_s * 1000) / 1000

    return Bounds(
        stop_grace_s=_get_number(table, "graceS", default.stop_grace_s),
        converge_s=seconds("convergeMs", default.converge_s),
        retry_ratio=_get_number(table, "retryRatio", default.retry_ratio),
        retry_window_s=_get_number(table, "retryWindowS", default.retry_window_s),
        retry_extra=_get_number(table, "retryExtra", default.retry_extra),
        canary_share=_get_number(table, "canaryShare", default.canary_share),
        canary_extra=_get_number(table, "canaryExtra", default.canary_extra),
        warm_up_excess=_get_number(table, "warmupExcess", default.warm_up_excess),
        warm_up_extra=_get_number(table, "warmupExtra", default.warm_up_extra),
        load_factor=_get_number(table, "capFactor", default.load_factor),
        fencing=table.get("fencing") is True,
        lease_s=seconds("leaseMs", default.lease_s),
        thaw_s=seconds("thawMs", default.thaw_s),
        report_window_s=_get_number(table, "reportWindowS", default.report_window_s),
        usage_tolerance=_get_number(table, "usageOff", default.usage_tolerance),
        usage_delay_s=_get_number(table, "usageDelayS", default.usage_delay_s),
    )


def _find_missing(
    table: dict[str, Any], required: dict[str, str], prefix: str, file: str
) -> list[Finding]:
    findings = []
    for key, expected in required.items():
        given = table.get(key)
        if isinstance(given, str) and given:
            continue
        findings.append(Finding(file, 0, prefix + key, repr(given), expected))
    return findings


def _get_table(document: dict[str, Any], name: str) -> dict[str, Any]:
    found = document.get(name)
    return found if isinstance(found, dict) else {}


def _get_flag(
    table: dict[str, Any], name: str, prefix: str, file: str, findings: list[Finding]
) -> bool:
    found = table.get(name, False)
    if not isinstance(found, bool):
        findings.append(Finding(file, 0, prefix + name, repr(found), "true or false"))
    return found is True


def _get_scope(table: dict[str, Any], name: str, file: str, findings: list[Finding]) -> HomeScope:
    found = table.get(name, HomeScope.ALL.value)
    try:
        return HomeScope(found)
    except ValueError:
        words = ", ".join(scope.value for scope in HomeScope)
        findings.append(Finding(file, 0, f"domains.{name}", repr(found), f"one of {words}"))
        return HomeScope.ALL


def _get_number(table: dict[str, Any], name: str, fallback: float) -> float:
    found = table.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float):
        return fallback
    return float(found)
