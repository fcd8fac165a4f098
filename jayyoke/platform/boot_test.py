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
