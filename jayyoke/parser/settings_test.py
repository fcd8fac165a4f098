"""Tests of reading the settings of an instance."""

from __future__ import annotations

import pytest
import yaml

from jayyoke.core.error import InvalidDocument
from jayyoke.parser.settings import parse_settings

GOOD = {
    "instance": "luzern-a-0",
    "region": "ch-central",
    "domain": "luzern-a",
    "caller_address": "127.0.0.1:8000",
    "operator_address": "127.0.0.1:8001",
    "peer_address": "[::1]:8002",
    "table_url": "http://127.0.0.1:7000/",
    "objects_url": "http://127.0.0.1:7001",
    "listing_url": "http://127.0.0.1:7002",
    "weights_url": "http://127.0.0.1:7003",
    "peer_key": "secret-peer-key",
    "operator_key_sha256": "a" * 64,
    "seeds": ["127.0.0.1:8012"],
}


class TestSettings:
    def test_good(self):
        """Guards against settings that lose or change a value."""
        settings = parse_settings(yaml.safe_dump(GOOD), "file.yaml")
        assert settings.table_url == "http://127.0.0.1:7000"
        assert (settings.seeds, settings.policy) == (("127.0.0.1:8012",), "owner")
        assert (settings.source, settings.peer_listener) == ("127.0.0.1", "[::1]:8002")

    def test_source_and_listener_differ_from_what_is_advertised(self):
        """Guards against an instance behind a proxy that binds the proxy's address."""
        own = {"source_address": "127.20.0.1", "peer_listen_address": "127.20.0.1:9"}
        settings = parse_settings(yaml.safe_dump(GOOD | own), "file.yaml")
        assert (settings.source, settings.peer_listener) == ("127.20.0.1", "127.20.0.1:9")

    def test_memory_is_in_bytes(self):
        """Guards against limits that are derived from another machine's memory."""
        settings = parse_settings(yaml.safe_dump(GOOD | {"memory_bytes": "200M"}), "file.yaml")
        assert settings.memory_bytes == 200_000_000
        assert parse_settings(yaml.safe_dump(GOOD), "file.yaml").memory_bytes == 300_000_000
        with pytest.raises(InvalidDocument):
            parse_settings(yaml.safe_dump(GOOD | {"memory_bytes": 5}), "file.yaml")

    @pytest.mark.parametrize(
        "changes",
        [
            dict.fromkeys(GOOD),
            {"caller_address": "localhost:80", "peer_address": "127.0.0.1:0", "seeds": ["x", 3]},
            {"operator_address": "127.0.0.1:8000", "table_url": "ftp://x", "log_level": "loud"},
            {"source_address": "localhost", "peer_listen_address": "127.0.0.1:8000"},
            {"peer_key": 12345, "operator_key_sha256": "secret", "instnace": "a", "policy": []},
        ],
    )
    def test_bad(self, changes, snapshot):
        """Guards against an instance that starts with settings that cannot work."""
        values = {key: value for key, value in (GOOD | changes).items() if value is not None}
        with pytest.raises(InvalidDocument) as caught:
            parse_settings(yaml.safe_dump(values, sort_keys=False), "file.yaml")
        text = str(caught.value)
        assert text == snapshot
        assert "12345" not in text
        assert "secret'" not in text
