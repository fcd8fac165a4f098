"""Test of the import graph in docs/imports.md."""

from __future__ import annotations

from bench.imports import PAGE, build_page


class TestPage:
    def test_page_shows_the_imports_of_the_code(self):
        """Guards against a page that no longer matches the code."""
        assert PAGE.read_text(encoding="utf-8") == build_page()
