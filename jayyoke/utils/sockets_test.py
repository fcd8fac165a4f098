"""Tests of sockets with a source address."""

from __future__ import annotations

import socket

import pytest

from jayyoke.utils.sockets import open_socket


class TestOpenSocket:
    @pytest.mark.parametrize(
        ("family", "source", "expected"),
        [
            (socket.AF_INET, "127.20.0.1", "127.20.0.1"),
            (socket.AF_INET, "", "0.0.0.0"),
            (socket.AF_INET, "0.0.0.0", "0.0.0.0"),
            (socket.AF_INET, "::1", "0.0.0.0"),
        ],
    )
    def test_binds_to_a_usable_source_only(self, family, source, expected):
        """Guards against an instance that cannot connect because its source is not usable."""
        with open_socket(family, source) as opened:
            assert opened.getsockname()[0] == expected
