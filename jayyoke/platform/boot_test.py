"""Tests of the settings file that the platform writes."""

from __future__ import annotations

import pytest

from jayyoke.core.entrysettings import AdmissionSettings, HomeScope, ZoneSettings
from jayyoke.core.error import InvalidDocument
from jayyoke.platform.boot import parse_boot_settings

TEXT = """
nodeName = "edge-1"
az = "a"
region = "r"
seeds = ["10.0.0.1:9"]
novel = {field = 1}
[listen]
http = "10.0.0.2:1"
readiness = "10.0.0.2:2"
admin = "10.0.0.2:3"
[platform]
address = "10.9.0.1:4"
[bounds]
convergeMs = 2500
graceS = 9
"""


class TestBootSettings:
    def test_unknown_fields_are_ignored_and_units_are_seconds(self):
        settings = parse_boot_settings(TEXT, "boot.toml")
        assert settings.instance == "edge-1"
        assert (settings.bounds.converge_s, settings.bounds.stop_grace_s) == (2.5, 9.0)
        assert settings.seeds == ("10.0.0.1:9",)

    def test_every_missing_field_is_reported(self):
        with pytest.raises(InvalidDocument) as caught:
            parse_boot_settings("az = 7", "boot.toml")
        keys = {finding.key for finding in caught.value.findings}
        assert {"nodeName", "az", "region", "listen.http", "platform.address"} <= keys

    def test_text_that_is_no_toml_is_a_finding(self):
        with pytest.raises(InvalidDocument):
            parse_boot_settings("= =", "boot.toml")


DUTIES = """
[cloudApi]
address = "10.9.0.2:5"
ratePerS = 20
dutyPerS = 40
duties = ["metering", "novel"]
"""


class TestDutySettings:
    def test_duties_are_wanted_only_with_an_address(self):
        """Guards against a lease and messages in deployments that want no duties."""
        assert parse_boot_settings(TEXT, "boot.toml").duty_service is None
        unusable = TEXT + '[cloudApi]\naddress = "nowhere"\nduties = ["metering"]\n'
        assert parse_boot_settings(unusable, "boot.toml").duty_service is None

    def test_settings_of_the_duties(self):
        """Guards against bounds in other units, and duties that are not wanted."""
        text = TEXT + "leaseMs = 1500\nthawMs = 200\nfencing = true\n" + DUTIES
        settings = parse_boot_settings(text, "boot.toml")
        service = settings.duty_service
        assert (service.address, service.calls_per_s) == ("10.9.0.2:5", 40.0)
        assert (service.metering, service.scaling) == (True, False)
        bounds = settings.bounds
        assert (bounds.lease_s, bounds.thaw_s, bounds.fencing) == (1.5, 0.2, True)
        assert (bounds.report_window_s, bounds.usage_delay_s) == (5.0, 10.0)


class TestOwnSettings:
    """Tests the tables of the product's own decisions."""

    def test_decisions_are_off_without_their_tables(self):
        """Guards against deployments that are served in another way without asking for it."""
        settings = parse_boot_settings(TEXT, "boot.toml")
        assert settings.admission == AdmissionSettings()
        assert settings.zones == ZoneSettings()

    def test_tables_switch_decisions_on(self):
        """Guards against settings that have no effect."""
        text = TEXT + "[admission]\nenabled = true\nsendPriority = true\n"
        text += '[domains]\nplain = true\nshortHomes = "own"\nfetchMaxBytes = 0\n'
        settings = parse_boot_settings(text, "boot.toml")
        assert settings.admission == AdmissionSettings(enabled=True, send_priority=True)
        zones = settings.zones
        assert (zones.plain, zones.short_homes, zones.long_homes) == (
            True,
            HomeScope.OWN,
            HomeScope.ALL,
        )
        assert zones.fetch_max_bytes == 0.0

    def test_unusable_values_are_all_reported(self):
        """Guards against a misspelt setting that leaves a decision off."""
        text = TEXT + "[admission]\nenabled = 1\n" + '[domains]\nlongHomes = "near"\n'
        with pytest.raises(InvalidDocument) as caught:
            parse_boot_settings(text, "boot.toml")
        keys = {finding.key for finding in caught.value.findings}
        assert keys == {"admission.enabled", "domains.longHomes"}


class TestMemory:
    """Tests the memory of the machine."""

    @pytest.mark.parametrize(
        ("text", "expected_bytes"),
        [("200", 200_000_000), ("0.5", 500_000), ("0", 300_000_000), ("inf", 300_000_000)],
    )
    def test_memory_is_in_bytes(self, text, expected_bytes):
        """Guards against limits that are derived from no memory."""
        settings = parse_boot_settings(f"{TEXT}[limits]\nramMb = {text}\n", "boot.toml")
        assert settings.memory_bytes == expected_bytes
        assert parse_boot_settings(TEXT, "boot.toml").memory_bytes == 300_000_000
