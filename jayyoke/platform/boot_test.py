"""Tests of the settings file that the platform writes."""

from __future__ import annotations

import pytest

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
