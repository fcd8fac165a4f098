"""Test of the drawn import graph."""

from __future__ import annotations

from bench.imports import PAGE, draw


class TestPage:
    def test_page_shows_the_imports_of_the_code(self):
        """Guards against a drawing that no longer matches the code."""
        assert PAGE.read_text(encoding="utf-8") == draw()
