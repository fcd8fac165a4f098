"""Tests that span several packages, many of them with real processes."""
